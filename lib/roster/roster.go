// Package roster keeps the list of upstreams that register themselves in the
// store.
//
// Registrations may expire during an outage of the store although their
// upstreams are alive. A registration that is missing after an outage therefore
// stays listed for outageGrace.
//
// # Usage
//
//	r := &roster.Roster{Prefix: prefix, Decode: decode, Changed: divide, Log: log}
//	w.On(prefix, r.Apply)
//	for _, u := range r.Upstreams() { ... }
package roster

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/retainer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/watcher"
)

// outageGrace is the time within which upstreams register again after an outage
// of the store; the platform documents about two seconds.
const outageGrace = 2500 * time.Millisecond

// Roster is the list of registered upstreams. Exported fields are set before
// Apply.
type Roster struct {
	// Decode decodes a registration.
	Decode func(key string, value []byte) (runner.Upstream, error)
	// Changed is called after the list changed.
	Changed func()
	// Relay is called after each update with the events that changed the store's
	// list, and in their order; nil if nobody needs them.
	Relay func(watcher.Update)
	// Log receives events.
	Log zerolog.Logger

	mu   sync.Mutex
	list retainer.Retainer[runner.Upstream]
}

// Apply applies an update from the store to the list.
func (r *Roster) Apply(u watcher.Update) {
	now := time.Now()
	r.mu.Lock()
	r.list.Grace = outageGrace
	if u.Reset && r.list.Reset(now) {
		time.AfterFunc(outageGrace, func() { r.Changed() })
	}
	changed := u.Reset
	relayed := watcher.Update{Reset: u.Reset, Regressed: u.Regressed, Revision: u.Revision}
	for _, e := range u.Events {
		c, readable := r.apply(e, now)
		if c || (u.Reset && readable) || e.Deleted {
			relayed.Events = append(relayed.Events, e)
		}
		changed = c || changed
	}
	r.mu.Unlock()
	if r.Relay != nil && (u.Reset || len(relayed.Events) > 0) {
		r.Relay(relayed)
	}
	if changed {
		r.Changed()
	}
}

// apply applies one event and reports whether the list changed, and whether the event
// holds a readable registration; the caller holds the lock.
func (r *Roster) apply(e platform.Event, now time.Time) (changed, readable bool) {
	if !e.Deleted {
		up, err := r.Decode(e.Key, e.Value)
		if err == nil {
			return r.put(e.Key, up), true
		}
		r.Log.Debug().Str("key", e.Key).Err(err).Msg("upstream_unreadable")
	}
	gone := r.list.Drop(e.Key, now)
	if gone {
		r.Log.Info().Str("key", e.Key).Msg("upstream_gone")
	}
	return gone, false
}

// put adds or replaces one registration and reports whether the list changed; the
// caller holds the lock.
func (r *Roster) put(key string, up runner.Upstream) bool {
	old, present := r.list.Put(key, up)
	if !present || old.Leaving != up.Leaving {
		r.Log.Info().Str("upstream", up.Name).Bool("leaving", up.Leaving).Msg("upstream_listed")
	}
	return !present || old != up
}

// Upstreams returns the list in the order of keys.
func (r *Roster) Upstreams() []runner.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.All(time.Now())
}
