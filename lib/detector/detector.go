// Package detector detects pauses of this process and decides since when it counts as alive.
//
// It handles a process that is stopped, or gets no CPU time, for up to a second. What arrived
// meanwhile, such as the reset of a caller's connection, is read only some milliseconds after
// the process goes on. Until then its last sign of life is the one from before the pause, so
// that it does not renew the leases of runs for which nobody waits any more.
//
// A process that is short of CPU time is late again and again and must keep its leases. So gaps
// of up to pauseLimit are no pauses, a pause makes way for the next one even before settleTime
// is over, and the last sign of life is never more than maxAge older than the end of the
// pause: a lease of 1 s from it can be renewed in time, and runs start with it.
//
// # Usage
//
//	var p detector.Pauses
//	// By a timer, several times within pauseLimit:
//	p.Observe(time.Now())
//	// Before a lease is renewed:
//	expires := p.LastSeen(time.Now()).Add(ttl)
//
// Pauses is not safe for concurrent use.
package detector

import "time"

const (
	// pauseLimit is the longest time between two observations that is no pause. A lease of
	// 1 s that is renewed right after it, and 0.1 s late, ends before a caller is back that left
	// during that time (1.3 s).
	pauseLimit = 200 * time.Millisecond
	// settleTime is the time in which the process reads what arrived during a pause.
	settleTime = 50 * time.Millisecond
	// maxAge is the longest time from the last sign of life to the end of a pause. A lease of
	// 1 s then lasts at least 0.3 s during settleTime, so that runs start.
	maxAge = 650 * time.Millisecond
)

// Pauses holds the last pause of this process. The zero value is ready for use.
type Pauses struct {
	// observedAt is the last time at which the process certainly ran.
	observedAt time.Time
	// seenAt is the last sign of life until settledAt.
	seenAt, settledAt time.Time
}

// Observe records that the process runs.
func (p *Pauses) Observe(now time.Time) {
	if !p.observedAt.IsZero() && now.Sub(p.observedAt) > pauseLimit {
		p.seenAt, p.settledAt = p.observedAt, now.Add(settleTime)
		if earliest := now.Add(-maxAge); p.seenAt.Before(earliest) {
			p.seenAt = earliest
		}
	}
	p.observedAt = now
}

// LastSeen returns the last sign of life of the process, which also observes it: now, or the
// one from before a pause that has just ended.
func (p *Pauses) LastSeen(now time.Time) time.Time {
	p.Observe(now)
	if now.Before(p.settledAt) {
		return p.seenAt
	}
	return now
}
