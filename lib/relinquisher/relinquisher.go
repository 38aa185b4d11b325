// Package relinquisher decides when the leases on the upstreams of an entry that is not
// registered any more have ended.
//
// An entry that is cut off with its upstreams goes on renewing their leases for its own failure
// domain. Entries on the other side become the owners of these upstreams and cannot ask them what
// ended there. If the holder of a kept job is lost meanwhile, a task of the job may have ended as
// done on such an upstream, or may still run there. It must not start again before the upstream
// has been asked, or the former owner has certainly let the lease expire, which voids what ended
// under it.
//
// Both sides follow the same deadlines. The former owner renews until Deadline. The others count
// on the expiry from Ledger.SettledAt on, unless the former owner registers again and answers for
// its upstreams itself, or is known to have ended. Until then callers wait for the tasks of the
// lost holder; after it they are served even if the upstream never returns.
//
// # Usage
//
//	l := &relinquisher.Ledger{Domains: domains}
//	l.Apply(now, entries)
//	if now.After(l.SettledAt(acquiredAt)) { ... }
//	mayRenew := now.Before(relinquisher.Deadline(lapsedAt))
package relinquisher

import (
	"slices"
	"sync"
	"time"

	"radishweir.org/lib/runner"
)

const (
	// RegistrationTTL is the time to live of a registration. One that is removed early may be
	// taken for valid by its entry for that long.
	RegistrationTTL = 2 * time.Second
	// Grace is how long an entry whose registration lapsed renews the leases of upstreams that
	// list ends of kept jobs. Callers keep the results of most cuts, as these are shorter.
	Grace = 6 * time.Second
	// expiry is the time from the last renewal of a lease to its end, and margin the time in which
	// an entry notices that its registration lapsed.
	expiry = runner.LeaseTTL + runner.ClockMargin
	margin = 150 * time.Millisecond
	// settledAfter is the time from the departure of an entry to the end of its leases.
	settledAfter = RegistrationTTL + Grace + expiry + margin
)

// Deadline returns the time up to which an entry whose registration lapsed renews the leases of
// upstreams that list ends of kept jobs.
func Deadline(lapsedAt time.Time) time.Time { return lapsedAt.Add(Grace) }

// Entry is a registered entry.
type Entry struct {
	// Incarnation identifies one run of its process.
	Incarnation string
	// Domain is its failure domain.
	Domain string
}

// member is an entry since its registration.
type member struct {
	Entry
	joinedAt time.Time
}

// departure is an entry that is not registered any more.
type departure struct {
	member
	name string
	// settledAt is when the entry's leases have ended.
	settledAt time.Time
}

// Ledger records which entries left. It is safe for concurrent use. Exported fields are set before
// the first call.
type Ledger struct {
	// Domains are the failure domains that have entries; nil if unknown.
	Domains []string

	mu      sync.Mutex
	members map[string]member
	left    []departure
	// unknownUntil is when the leases of entries have ended that left before the first call of
	// Apply.
	unknownUntil time.Time
}

// Apply records the registered entries by name.
func (l *Ledger) Apply(now time.Time, entries map[string]Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		l.members, l.unknownUntil = make(map[string]member), now.Add(settledAfter)
	}
	for name, m := range l.members {
		if entries[name].Incarnation != m.Incarnation {
			l.left = append(l.left, departure{member: m, name: name, settledAt: now.Add(settledAfter)})
			delete(l.members, name)
		}
	}
	kept := l.left[:0]
	for _, d := range l.left {
		e, registered := entries[d.name]
		switch {
		case now.After(d.settledAt):
			continue
		case registered && e.Incarnation == d.Incarnation:
			// It answers for its upstreams itself.
			l.members[d.name] = d.member
			continue
		case registered && d.settledAt.After(now.Add(expiry+margin)):
			// Its process has ended.
			d.settledAt = now.Add(expiry + margin)
		}
		kept = append(kept, d)
	}
	l.left = kept
	for name, e := range entries {
		if _, known := l.members[name]; !known {
			l.members[name] = member{e, now}
		}
	}
}

// UnseenUntil returns the time up to which an entry that left before the first call of Apply may serve
// upstreams that the list lacks since then; zero if none can: a whole failure domain is cut off then,
// and has no registered entry.
func (l *Ledger) UnseenUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]bool)
	for _, m := range l.members {
		present[m.Domain] = true
	}
	if slices.ContainsFunc(l.Domains, func(domain string) bool { return !present[domain] }) {
		return l.unknownUntil
	}
	return time.Time{}
}

// SettledAt returns the time from which on no entry that left renews the lease of an upstream
// that the caller owns since the given time. Entries that joined later never owned it.
func (l *Ledger) SettledAt(acquiredAt time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.unknownUntil
	for _, d := range l.left {
		if !d.joinedAt.After(acquiredAt) && d.settledAt.After(out) {
			out = d.settledAt
		}
	}
	return out
}

// vanishedRetention is how long an upstream that vanished from the list counts as one that an entry
// which leaves then may still serve. An entry that was in touch with the store for longer has given
// it up itself.
const vanishedRetention = RegistrationTTL + 2*time.Second

// Vanished tracks the upstreams that vanished from the list a short time ago. Its zero value is
// ready for use. It is not safe for concurrent use.
type Vanished struct {
	listed []runner.Upstream
	gone   []vanished
}

type vanished struct {
	runner.Upstream
	// until is the end of vanishedRetention.
	until time.Time
}

// Apply records the list of upstreams and returns those that vanished a short time ago.
func (v *Vanished) Apply(now time.Time, list []runner.Upstream) []runner.Upstream {
	names := make(map[string]bool, len(list))
	for i := range list {
		names[list[i].Name] = true
	}
	for i := range v.listed {
		if !names[v.listed[i].Name] {
			v.gone = append(v.gone, vanished{v.listed[i], now.Add(vanishedRetention)})
		}
	}
	v.listed = list
	v.gone = slices.DeleteFunc(v.gone, func(g vanished) bool { return names[g.Name] || now.After(g.until) })
	out := make([]runner.Upstream, 0, len(v.gone))
	for _, g := range v.gone {
		out = append(out, g.Upstream)
	}
	return out
}
