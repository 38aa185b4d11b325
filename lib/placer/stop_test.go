package placer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/entry"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// slowStore holds one key and answers a write a second after it took effect.
type slowStore struct {
	platform.Store
	mu sync.Mutex
	kv platform.KeyValue
}

func (s *slowStore) Get(ctx context.Context, _ string) (platform.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kv, ctx.Err()
}

func (s *slowStore) Swap(ctx context.Context, w ...platform.Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w[0].Expected != s.kv.Revision {
		return 0, platform.ErrConflict
	}
	s.kv = platform.KeyValue{Key: w[0].Key, Value: w[0].Value, Revision: s.kv.Revision + 1}
	select {
	case <-ctx.Done():
		return 0, platform.ErrUnknown
	case <-time.After(time.Second):
		return s.kv.Revision, nil
	}
}

// pauses counts the paused shards.
type pauses struct {
	Tracker
	mu     sync.Mutex
	paused map[Shard]bool
}

func (*pauses) Open(Shard, *wire.ShardOwner) {}

func (k *pauses) Pause(shards []Shard) []*wire.ShardRecords {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range shards {
		k.paused[s] = true
	}
	return nil
}

func (k *pauses) Resume(shards []Shard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range shards {
		delete(k.paused, s)
	}
}

func (k *pauses) Release(shards []Shard) { k.Resume(shards) }

func (k *pauses) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.paused)
}

// fixedMembers are live entries.
type fixedMembers struct{ list []registrar.Member }

func (m fixedMembers) Members() []registrar.Member { return m.list }
func (fixedMembers) Dead(string, string) bool      { return false }

// accepting is a Caller whose peers accept every message.
type accepting struct{}

func (accepting) Call(context.Context, entry.Peer, *wire.Envelope) (*wire.Reply, error) {
	return &wire.Reply{}, nil
}

// TestStopDuringHandover guards against shards that stay paused because a drain began
// while the table that gives them away was being written.
func TestStopDuringHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &pauses{paused: map[Shard]bool{}}
		var list []registrar.Member
		for _, n := range []string{"a", "b"} {
			g := &wire.Registration{Name: n, Incarnation: n + "-1", FailureDomain: "north"}
			list = append(list, registrar.Member{Registration: g, Registered: true, ReachableUntil: time.Now().Add(time.Hour)})
		}
		store := &slowStore{}
		p := &Placer{Self: list[0].Registration, Store: store, Members: fixedMembers{list}, Tracker: k, Caller: accepting{}, Log: zerolog.Nop()}
		table := &wire.ShardTable{FailureDomain: "north", Version: 1}
		for range ShardsPerDomain {
			table.Shards = append(table.Shards, &wire.ShardOwner{Name: "a", Incarnation: "a-1", Epoch: 1})
		}
		p.Offer(&wire.ConfigurationSet{Tables: []*wire.ShardTable{table}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		time.Sleep(100 * time.Millisecond)
		if n := k.count(); n != ShardsPerDomain/2 {
			t.Fatalf("%d shards paused in the handover, want %d", n, ShardsPerDomain/2)
		}
		p.Stop()
		<-done
		// The watch reports the table.
		kv, err := store.Get(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		p.Apply(watcher.Update{Events: []platform.Event{{KeyValue: kv}}})
		for range 10 {
			if p.Drain(t.Context()) == nil {
				break
			}
		}
		if n := k.count(); n > 0 {
			t.Errorf("%d shards still paused after the drain", n)
		}
		cancel()
	})
}
