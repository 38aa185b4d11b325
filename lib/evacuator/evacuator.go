// Package evacuator tracks which failure domains are evacuated: at the operators'
// request no run starts on their upstreams, and what runs there ends by itself.
//
// The requests are keys in the platform's store, one for each failure domain, which
// only operators write and delete. Every entry keeps the set that it has seen last, so
// that an outage of the store changes nothing. Entries also tell each other the set and
// the store's revision that it reflects, so that an entry without access to the store
// follows those that have it. An entry that has seen no set yet, as it has just started,
// takes every failure domain for evacuated: it may own upstreams before it knows of a
// request that all others follow.
//
// # Usage
//
//	e := &evacuator.Evacuator{Prefix: prefix, Changed: refresh, Log: log}
//	w.On(prefix, e.Apply)
//	if e.Evacuated("domain-1") { ... }
//	frame.Evacuation = e.Message()
//	e.Learn(frame.GetEvacuation())
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
	"radishweir.org/lib/wire"
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

	// mu orders changes of the set.
	mu    sync.Mutex
	state atomic.Pointer[state]
}

// state is a set of evacuated failure domains. It is not changed after it was stored.
type state struct {
	domains map[string]bool
	// message tells peers the set and the revision of the store that it reflects.
	message *wire.Evacuation
}

// Evacuated reports whether a failure domain takes no new runs.
func (e *Evacuator) Evacuated(domain string) bool {
	s := e.state.Load()
	return s == nil || s.domains[domain]
}

// Message returns the message that tells peers the set; nil if it is not known yet. The
// caller does not change it.
func (e *Evacuator) Message() *wire.Evacuation {
	if s := e.state.Load(); s != nil {
		return s.message
	}
	return nil
}

// Apply applies an update from the store. Events that are older than the set are
// ignored, as a peer was faster.
func (e *Evacuator) Apply(u watcher.Update) {
	e.mu.Lock()
	revision, next := e.message().GetRevision(), e.domains()
	switch {
	case u.Reset && u.Regressed:
		// A store that went back to an earlier state is no proof that a request was
		// withdrawn. Its later changes have lower revisions than those seen before.
		revision = 0
	case u.Reset && u.Revision >= revision:
		clear(next)
		revision = 0
	}
	for _, v := range u.Events {
		domain := strings.TrimPrefix(v.Key, e.Prefix)
		switch {
		case v.Revision < revision:
		case v.Deleted:
			delete(next, domain)
		default:
			next[domain] = true
		}
	}
	changed := e.replace(next, max(revision, u.Revision))
	e.mu.Unlock()
	if changed {
		e.Changed()
	}
}

// Learn applies the set that a peer told if it reflects a later revision of the store;
// nil is ignored.
func (e *Evacuator) Learn(m *wire.Evacuation) {
	// Most messages repeat what is known.
	if m == nil || m.GetRevision() <= e.Message().GetRevision() {
		return
	}
	e.mu.Lock()
	changed := false
	if m.GetRevision() > e.message().GetRevision() {
		next := make(map[string]bool)
		for _, domain := range m.GetDomains() {
			next[domain] = true
		}
		changed = e.replace(next, m.GetRevision())
	}
	e.mu.Unlock()
	if changed {
		e.Changed()
	}
}

// message returns the current message; the caller holds the lock.
func (e *Evacuator) message() *wire.Evacuation { return e.Message() }

// domains returns a copy of the current set; the caller holds the lock.
func (e *Evacuator) domains() map[string]bool {
	if s := e.state.Load(); s != nil {
		return maps.Clone(s.domains)
	}
	return make(map[string]bool)
}

// replace puts a set in force and reports whether it differs from the one before; the
// caller holds the lock.
func (e *Evacuator) replace(next map[string]bool, revision int64) bool {
	known, last := e.state.Load() != nil, e.domains()
	e.state.Store(&state{
		domains: next,
		message: &wire.Evacuation{Revision: revision, Domains: slices.Sorted(maps.Keys(next))},
	})
	e.logDifference(next, last, revision, "evacuation_in_force")
	e.logDifference(last, next, revision, "evacuation_ended")
	return !known || !maps.Equal(last, next)
}

// logDifference logs an event for each failure domain that is only in the first set.
func (e *Evacuator) logDifference(set, other map[string]bool, revision int64, event string) {
	for domain := range set {
		if !other[domain] {
			e.Log.Info().Str("failure_domain", domain).Int64("revision", revision).Msg(event)
		}
	}
}
