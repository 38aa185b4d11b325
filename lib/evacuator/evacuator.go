// Package evacuator tracks which failure domains are evacuated: at the operators'
// request no run starts on their upstreams, and what runs there ends by itself.
//
// The requests are keys in the platform's store, one for each failure domain, which
// only operators write and delete. Every entry keeps the set that it has seen last, so
// that an outage of the store changes nothing. An entry that has seen none yet, as it
// has just started, takes every failure domain for evacuated: it may own upstreams
// before it knows of a request that all others follow.
//
// # Usage
//
//	e := &evacuator.Evacuator{Prefix: prefix, Changed: refresh, Log: log}
//	w.On(prefix, e.Apply)
//	if e.Evacuated("domain-1") { ... }
//
// Evacuated is called for every upstream in each pass of the coordinator, so it takes
// no lock.
package evacuator

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"radishweir.org/lib/watcher"
)

// Evacuator holds the set of evacuated failure domains. Exported fields are set
// before Apply.
type Evacuator struct {
	// Prefix is the prefix of the keys that request evacuations; the name of the
	// failure domain follows it.
	Prefix string
	// Changed is called after the set became known or changed.
	Changed func()
	// Log receives events.
	Log zerolog.Logger

	mu       sync.Mutex
	domains  atomic.Pointer[map[string]bool]
	revision int64
}

// Evacuated reports whether a failure domain takes no new runs.
func (e *Evacuator) Evacuated(domain string) bool {
	set := e.domains.Load()
	return set == nil || (*set)[domain]
}

// Domains returns the evacuated failure domains in the order of their names, and the
// revision of the store at which they were last known to change.
func (e *Evacuator) Domains() (names []string, revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.current())), e.revision
}

// Apply applies an update from the store.
func (e *Evacuator) Apply(u watcher.Update) {
	e.mu.Lock()
	next := maps.Clone(e.current())
	// A store that went back to an earlier state is no proof that a request was
	// withdrawn.
	if u.Reset && !u.Regressed {
		clear(next)
	}
	for _, v := range u.Events {
		domain := strings.TrimPrefix(v.Key, e.Prefix)
		if v.Deleted {
			delete(next, domain)
		} else {
			next[domain] = true
		}
	}
	e.revision = max(e.revision, u.Revision)
	changed := e.replace(next)
	e.mu.Unlock()
	if changed {
		e.Changed()
	}
}

// current returns the set in force; the caller holds the lock and does not change it.
func (e *Evacuator) current() map[string]bool {
	if set := e.domains.Load(); set != nil {
		return *set
	}
	return map[string]bool{}
}

// replace puts a set in force and reports whether that changes anything; the caller
// holds the lock.
func (e *Evacuator) replace(next map[string]bool) bool {
	known, last := e.domains.Load() != nil, e.current()
	if known && maps.Equal(last, next) {
		return false
	}
	e.domains.Store(&next)
	e.logDifference(next, last, "evacuation_in_force")
	e.logDifference(last, next, "evacuation_ended")
	return true
}

// logDifference logs an event for each failure domain that is only in the first set.
func (e *Evacuator) logDifference(set, other map[string]bool, event string) {
	for domain := range set {
		if !other[domain] {
			e.Log.Info().Str("failure_domain", domain).Int64("revision", e.revision).Msg(event)
		}
	}
}
