// Package prober decides when a job starts although it is expected to be late, so that run
// times are measured again.
//
// Run times are estimated from what callers declare and from the measured ratio of run times
// to declared ones. It answers a load of jobs whose callers declare far too little: the ratio
// grows until every job seems to be late, and if all were refused then, no run would ever
// correct the ratio. With a Prober, one job for each key and interval starts, and callers get
// answers again soon after the others have left.
//
// # Usage
//
//	p := prober.Prober[string]{Interval: time.Second}
//	start := p.Allow("claims", now)
//
// A Prober is not safe for concurrent use.
package prober

import "time"

// Prober allows one probe for each key and interval.
type Prober[K comparable] struct {
	// Interval is the least time between two probes of one key.
	Interval time.Duration

	next map[K]time.Time
}

// Allow reports whether a probe may start now.
func (p *Prober[K]) Allow(k K, now time.Time) bool {
	if now.Before(p.next[k]) {
		return false
	}
	if p.next == nil {
		p.next = make(map[K]time.Time)
	}
	p.next[k] = now.Add(p.Interval)
	return true
}
