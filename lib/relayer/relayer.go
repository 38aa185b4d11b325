// Package relayer passes the list of upstreams from the entries that read it in the
// store to near entries.
//
// Every upstream renews its registration about every second, and an entry that
// watches the list receives all of these renewals. In a large fleet only a few
// entries of each failure domain read the list. They send the changes that matter,
// which are rare, to their followers, with the age of what they read. A follower
// that gets no fresh list reads the store itself until it does. The list of an
// entry never goes back to an earlier revision when its source changes.
//
// # Usage
//
//	r := &relayer.Relayer{Self: "entry-1", Apply: roster.Apply, Read: w.Run, ReadAt: w.Heard, Log: log}
//	roster.Relay = r.Relay
//	w.On(prefix, r.FromStore)
//	go r.Run(ctx)
//	r.SetReaders([]string{"entry-2", "entry-3"})
//
// Fill completes each frame to a peer and Handle processes each frame from one.
package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

const (
	// maxAge is the age up to which a relayed list counts as fresh. It exceeds the
	// longest time between two answers to a reader's watch, and is well below the
	// time within which a leaving upstream must get its last run.
	maxAge = 2 * time.Second
	// subscribeTimeout is the time within which a reader must answer a subscription.
	subscribeTimeout = time.Second
	// checkInterval is the time between two checks of the source.
	checkInterval = 250 * time.Millisecond
)

// Relayer decides whether this entry reads the list or follows a reader, and
// serves its followers. Exported fields are set before Run.
type Relayer struct {
	// Self is the name of this entry.
	Self string
	// Apply applies an update to this entry's list.
	Apply func(watcher.Update)
	// Read reads the list from the store until ctx ends; FromStore gets its updates.
	Read func(ctx context.Context)
	// ReadAt returns the time of the last answer of the store to Read.
	ReadAt func() time.Time
	// Log receives events.
	Log zerolog.Logger

	// applyMu orders the updates from the store and from readers. It is locked
	// before mu.
	applyMu sync.Mutex
	mu      sync.Mutex
	ctx     context.Context
	// readers are the entries that read the list, in order of preference; this entry
	// reads if it is one of them or if there are none.
	readers []string
	up      map[string]bool
	// stopReading ends Read, nil while this entry does not read.
	stopReading context.CancelFunc

	// source is the reader that this entry has subscribed to, empty if none.
	source       string
	subscription uint64
	subscribedAt time.Time
	// following is true while the list comes from source.
	following bool
	// freshAt is the time as of which the relayed list is known to be current.
	freshAt time.Time
	// revision is the store's revision that this entry's list reflects.
	revision int64

	// items holds the list by key as read from the store, for followers.
	items     map[string]*wire.ListItem
	followers map[string]*follower
}

// follower is a peer that has subscribed to this entry.
type follower struct {
	subscription uint64
	// from is the lowest revision of the list that the follower accepts.
	from int64
	// sentWhole is true once the whole list has been sent.
	sentWhole bool
	changes   []*wire.ListItem
}

// Run keeps a source until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		r.check(time.Now())
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// SetReaders sets the entries that read the list, in order of preference.
func (r *Relayer) SetReaders(names []string) {
	r.mu.Lock()
	r.readers = names
	r.mu.Unlock()
	r.check(time.Now())
}

// PeerUp records that a peer can be reached.
func (r *Relayer) PeerUp(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up == nil {
		r.up = make(map[string]bool)
	}
	r.up[peer] = true
}

// PeerDown records that a peer can no longer be reached.
func (r *Relayer) PeerDown(peer string) {
	r.mu.Lock()
	delete(r.up, peer)
	delete(r.followers, peer)
	if r.source == peer {
		r.source = ""
	}
	r.mu.Unlock()
	r.check(time.Now())
}

// check chooses the source: the store for a reader and for a follower whose list is
// no longer fresh, otherwise a reader that can be reached.
func (r *Relayer) check(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	if len(r.readers) == 0 || slices.Contains(r.readers, r.Self) {
		r.source, r.following = "", false
		r.startReading()
		return
	}
	if r.following && now.Sub(r.freshAt) > maxAge {
		r.Log.Warn().Str("source", r.source).Msg("list_source_lost")
		r.source, r.following = "", false
	}
	if !r.following {
		r.startReading()
	}
	answered := r.following || now.Sub(r.subscribedAt) < subscribeTimeout
	if r.source == "" || !slices.Contains(r.readers, r.source) || !answered {
		r.subscribe(now)
	}
}

// CurrentAt returns the time as of which this entry's list is known to be that of the
// store; zero if it has none.
func (r *Relayer) CurrentAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.following {
		return r.freshAt
	}
	return r.ReadAt()
}

// startReading starts to read the list from the store; the caller holds the lock.
func (r *Relayer) startReading() {
	if r.stopReading != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.stopReading = cancel
	go r.Read(ctx)
}

// subscribe subscribes to the next reader that can be reached; the caller holds the
// lock.
func (r *Relayer) subscribe(now time.Time) {
	n := len(r.readers)
	last := slices.Index(r.readers, r.source)
	r.source = ""
	for i := range n {
		if name := r.readers[(last+1+i)%n]; r.up[name] {
			r.source = name
			break
		}
	}
	r.subscription++
	r.subscribedAt = now
}

// FromStore handles an update that Read delivered.
func (r *Relayer) FromStore(u watcher.Update) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.mu.Lock()
	following := r.following
	r.mu.Unlock()
	if following {
		// Read is about to end.
		return
	}
	r.Apply(u)
	r.mu.Lock()
	r.revision = u.Revision
	r.mu.Unlock()
}

// Relay stores what changed in this entry's list and queues it for the followers.
// The list calls it for each update, with only the events that changed something.
func (r *Relayer) Relay(u watcher.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Reset || r.items == nil {
		r.items = make(map[string]*wire.ListItem)
		for _, f := range r.followers {
			f.sentWhole, f.changes = false, nil
		}
	}
	for _, e := range u.Events {
		item := &wire.ListItem{Key: e.Key, Value: e.Value, Deleted: e.Deleted, Revision: e.Revision}
		if e.Deleted {
			delete(r.items, e.Key)
		} else {
			r.items[e.Key] = item
		}
		for _, f := range r.followers {
			if f.sentWhole {
				f.changes = append(f.changes, item)
			}
		}
	}
}
