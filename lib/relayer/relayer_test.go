package relayer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/relayer"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// store is a list in a store with a delay for each entry that reads it.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]string
	log      []platform.Event
}

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = value
	s.log = append(s.log, platform.Event{KeyValue: platform.KeyValue{Key: key, Value: []byte(value), Revision: s.revision}})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.log = append(s.log, platform.Event{KeyValue: platform.KeyValue{Key: key, Revision: s.revision}, Deleted: true})
}

// node is an entry with its list of upstreams.
type node struct {
	*relayer.Relayer
	store *store

	mu      sync.Mutex
	list    map[string]string
	readAt  time.Time
	reading int
	reads   int
	// cut is true while the node cannot reach the store.
	cut bool
}

const readInterval = 100 * time.Millisecond

// newNode starts a node.
func newNode(ctx context.Context, s *store, name string, readers ...string) *node {
	n := &node{store: s, list: make(map[string]string)}
	n.Relayer = &relayer.Relayer{Self: name, Apply: n.apply, Read: n.read, ReadAt: n.lastRead, Log: zerolog.Nop()}
	n.SetReaders(readers)
	go n.Run(ctx)
	return n
}

func (n *node) apply(u watcher.Update) {
	n.mu.Lock()
	if u.Reset {
		n.list = make(map[string]string)
	}
	for _, e := range u.Events {
		if e.Deleted {
			delete(n.list, e.Key)
		} else {
			n.list[e.Key] = string(e.Value)
		}
	}
	n.mu.Unlock()
	n.Relay(u)
}

func (n *node) lastRead() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readAt
}

// read lists the store once and follows its log until ctx ends.
func (n *node) read(ctx context.Context) {
	n.mu.Lock()
	n.reading++
	n.reads++
	n.mu.Unlock()
	position := -1
	for ctx.Err() == nil {
		n.mu.Lock()
		cut := n.cut
		n.mu.Unlock()
		if !cut {
			u := n.next(&position)
			n.mu.Lock()
			n.readAt = time.Now()
			n.mu.Unlock()
			if u.Reset || len(u.Events) > 0 {
				n.FromStore(u)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(readInterval):
		}
	}
	n.mu.Lock()
	n.reading--
	n.mu.Unlock()
}

// next returns the whole list first, then the changes since the last call.
func (n *node) next(position *int) watcher.Update {
	s := n.store
	s.mu.Lock()
	defer s.mu.Unlock()
	u := watcher.Update{Revision: s.revision}
	if *position < 0 {
		u.Reset = true
		for key, value := range s.items {
			u.Events = append(u.Events, platform.Event{KeyValue: platform.KeyValue{Key: key, Value: []byte(value), Revision: s.revision}})
		}
	} else {
		u.Events = append(u.Events, s.log[*position:]...)
	}
	*position = len(s.log)
	return u
}

func (n *node) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// value returns the node's view of a key.
func (n *node) value(key string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list[key]
}

func (n *node) isReading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reading > 0
}

// exchange sends frames between two nodes every 100 ms until ctx ends.
func exchange(ctx context.Context, a, b *node) {
	a.PeerUp(b.Self)
	b.PeerUp(a.Self)
	for ctx.Err() == nil {
		fromA, fromB := &wire.PeerFrame{}, &wire.PeerFrame{}
		a.Fill(b.Self, fromA)
		b.Fill(a.Self, fromB)
		b.Handle(a.Self, fromA)
		a.Handle(b.Self, fromB)
		time.Sleep(100 * time.Millisecond)
	}
	a.PeerDown(b.Self)
	b.PeerDown(a.Self)
}

// withFakeTime runs a test in a bubble with fake time.
func withFakeTime(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		test(t, ctx)
	})
}

func newStore() *store {
	s := &store{items: make(map[string]string)}
	s.put("u1", "ready")
	s.put("u2", "ready")
	return s
}

// A follower gets the list and each change from the reader, and does not read the
// store itself.
func TestFollowerGetsChanges(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newStore()
		reader, follower := newNode(ctx, s, "a", "a"), newNode(ctx, s, "b", "a")
		go exchange(ctx, reader, follower)
		time.Sleep(time.Second)
		if follower.isReading() || !reader.isReading() {
			t.Fatalf("the follower reads: %v, the reader: %v", follower.isReading(), reader.isReading())
		}
		s.put("u1", "draining")
		s.remove("u2")
		s.put("u3", "ready")
		time.Sleep(300 * time.Millisecond)
		for key, want := range map[string]string{"u1": "draining", "u2": "", "u3": "ready"} {
			if got := follower.value(key); got != want {
				t.Errorf("%s is %q at the follower, want %q", key, got, want)
			}
		}
		if follower.isReading() {
			t.Error("the follower reads the store")
		}
	})
}

// The age of a follower's list is that of the reader's, however long nothing changed.
func TestAgeOfFollowedList(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newStore()
		reader, follower := newNode(ctx, s, "a", "a"), newNode(ctx, s, "b", "a")
		go exchange(ctx, reader, follower)
		time.Sleep(time.Minute)
		if age := time.Since(follower.CurrentAt()); age > time.Second {
			t.Errorf("the list is %v old, want at most 1 s", age)
		}
		reader.setCut(true)
		follower.setCut(true)
		time.Sleep(10 * time.Second)
		for _, n := range []*node{reader, follower} {
			if age := time.Since(n.CurrentAt()); age < 9*time.Second {
				t.Errorf("%s: the list is %v old 10 s after the store was lost", n.Self, age)
			}
		}
	})
}

// When its reader is gone, a follower goes on with the next one without reading the
// store.
func TestNextReader(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newStore()
		first, second := newNode(ctx, s, "a", "a", "b"), newNode(ctx, s, "b", "a", "b")
		follower := newNode(ctx, s, "c", "a", "b")
		link, cut := context.WithCancel(ctx)
		go exchange(link, first, follower)
		time.Sleep(time.Second)
		go exchange(ctx, second, follower)
		time.Sleep(time.Second)
		cut()
		time.Sleep(200 * time.Millisecond)
		s.put("u1", "draining")
		time.Sleep(500 * time.Millisecond)
		if got := follower.value("u1"); got != "draining" {
			t.Errorf("u1 is %q at the follower, want draining", got)
		}
		if follower.isReading() {
			t.Error("the follower reads the store although the second reader can be reached")
		}
	})
}

// A follower whose reader has lost the store reads it itself in time, and follows
// again later.
func TestReaderWithoutStore(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newStore()
		reader, follower := newNode(ctx, s, "a", "a"), newNode(ctx, s, "b", "a")
		go exchange(ctx, reader, follower)
		time.Sleep(time.Second)
		reader.setCut(true)
		s.put("u1", "draining")
		time.Sleep(2500 * time.Millisecond)
		if got := follower.value("u1"); got != "draining" {
			t.Errorf("u1 is %q at the follower 2.5 s after the reader lost the store, want draining", got)
		}
		reader.setCut(false)
		time.Sleep(2 * time.Second)
		if follower.isReading() {
			t.Error("the follower still reads after its reader has reached the store again")
		}
	})
}

// A follower never takes an older list than it had: what left the store is not used
// again.
func TestListNeverGoesBack(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newStore()
		first, second := newNode(ctx, s, "a", "a", "b"), newNode(ctx, s, "b", "a", "b")
		follower := newNode(ctx, s, "c", "a", "b")
		link, cut := context.WithCancel(ctx)
		go exchange(link, first, follower)
		time.Sleep(time.Second)
		go exchange(ctx, second, follower)
		time.Sleep(time.Second)
		second.setCut(true)
		s.remove("u2")
		time.Sleep(300 * time.Millisecond)
		if got := follower.value("u2"); got != "" {
			t.Fatalf("u2 is %q at the follower after it left", got)
		}
		cut()
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			if got := follower.value("u2"); got != "" {
				t.Fatalf("u2 is %q at the follower again, after the change to a reader with an older list", got)
			}
		}
		time.Sleep(2 * time.Second)
		if !follower.isReading() {
			t.Error("the follower has no fresh list and does not read the store")
		}
	})
}
