// Package roster keeps the list of upstreams that register themselves in the
// store.
//
// Registrations may lapse while the store is away, although their upstreams
// live. What is missing after an outage is therefore kept for outageGrace and
// only then counts as gone.
//
// # Usage
//
//	r := &roster.Roster{Prefix: prefix, Decode: decode, Changed: divide, Log: log}
//	w.On(prefix, r.Apply)
//	for _, u := range r.Upstreams() { ... }
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/watcher"
)

// outageGrace is the time within which upstreams register again after the store
// was away (the platform's page says about two seconds).
const outageGrace = 2500 * time.Millisecond

// record is one upstream of the list.
type record struct {
	runner.Upstream
	// until is the end of the grace of a missing registration; zero while it is
	// there.
	until time.Time
}

// Roster holds the list. Exported fields are set before Apply.
type Roster struct {
	// Decode reads a registration.
	Decode func(key string, value []byte) (runner.Upstream, error)
	// Changed is called after the list changed.
	Changed func()
	// Log receives events.
	Log zerolog.Logger

	mu      sync.Mutex
	records map[string]record
	reset   time.Time
	at      time.Time
}

// Apply takes registrations from the store.
func (r *Roster) Apply(u watcher.Update) {
	now := time.Now()
	r.mu.Lock()
	if u.Reset {
		r.suspect(now)
	}
	changed := u.Reset
	for _, e := range u.Events {
		if e.Deleted {
			changed = r.remove(e.Key, now) || changed
			continue
		}
		up, err := r.Decode(e.Key, e.Value)
		if err != nil {
			r.Log.Debug().Str("key", e.Key).Err(err).Msg("upstream_unreadable")
			changed = r.remove(e.Key, now) || changed
			continue
		}
		old, known := r.records[e.Key]
		r.records[e.Key] = record{Upstream: up}
		if !known || old.Upstream != up || !old.until.IsZero() {
			changed = true
		}
		if !known || old.Leaving != up.Leaving {
			r.Log.Info().Str("upstream", up.Name).Bool("leaving", up.Leaving).Msg("upstream_listed")
		}
	}
	r.at = now
	r.mu.Unlock()
	if changed {
		r.Changed()
	}
}

// suspect lets every record lapse after the grace unless it is listed; the
// caller holds the lock.
func (r *Roster) suspect(now time.Time) {
	if r.records == nil {
		r.records = make(map[string]record)
		return
	}
	r.reset = now.Add(outageGrace)
	for key, v := range r.records {
		if v.until.IsZero() {
			v.until = r.reset
			r.records[key] = v
		}
	}
	time.AfterFunc(outageGrace, func() { r.Changed() })
}

// remove drops a record, after the grace if the store was away; the caller
// holds the lock.
func (r *Roster) remove(key string, now time.Time) bool {
	v, ok := r.records[key]
	if !ok {
		return false
	}
	if now.Before(r.reset) {
		v.until = r.reset
		r.records[key] = v
		return false
	}
	delete(r.records, key)
	r.Log.Info().Str("upstream", v.Name).Msg("upstream_gone")
	return true
}

// Upstreams returns the list by name.
func (r *Roster) Upstreams() []runner.Upstream {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]runner.Upstream, 0, len(r.records))
	for key, v := range r.records {
		if !v.until.IsZero() && !now.Before(v.until) {
			delete(r.records, key)
			r.Log.Info().Str("upstream", v.Name).Msg("upstream_gone")
			continue
		}
		out = append(out, v.Upstream)
	}
	slices.SortFunc(out, func(a, b runner.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ReadAt returns the time of the last news from the store.
func (r *Roster) ReadAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}
