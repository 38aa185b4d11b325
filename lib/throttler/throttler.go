// Package throttler decides how much capacity an entry leaves free when it starts jobs.
//
// It answers a shortage of capacity in a fleet whose entries place tasks independently.
// Each entry sees a place that comes free and requests it, the owner of the upstream
// accepts one of them and rejects the others, and jobs of which some tasks have started
// wait for the rest while other entries start new jobs. Callers get late answers at full
// load. As in congestion control of networks, the share of rejected requests is the
// signal: while it is above a target, the entry leaves more capacity free for tasks of
// jobs that have begun and for the most urgent jobs, and less when it falls below.
//
// # Usage
//
//	t := throttler.Throttler{Enabled: true}
//	t.Sent(now, 3)
//	t.Rejected(now, 1)
//	if free >= t.Margin(now)*total { start() }
package throttler

import (
	"math"
	"time"
)

const (
	// window is the time constant of the share of rejections: several times what an
	// owner's report of a change takes to reach all entries.
	window = 300 * time.Millisecond
	// target is the share of rejections at which the margin stays as it is. Each
	// rejection costs a task a round trip and both entries CPU time.
	target = 0.1
	// minSent is the number of requests in the window below which the share says nothing.
	minSent = 5
	// gain is the margin, as a share of the capacity, that a share of rejections of 1 above
	// the target would bring.
	gain = 0.2
	// maxMargin bounds the capacity that is left free.
	maxMargin = 0.25
)

// Throttler derives the margin from rejected run requests. Its zero value leaves nothing
// free.
type Throttler struct {
	// Enabled is false to leave nothing free.
	Enabled bool

	sent, rejected float64
	margin         float64
	updatedAt      time.Time
}

// Sent counts run requests.
func (t *Throttler) Sent(now time.Time, n int) {
	t.update(now)
	t.sent += float64(n)
}

// Rejected counts requests that were rejected for want of capacity.
func (t *Throttler) Rejected(now time.Time, n int) {
	t.update(now)
	t.rejected += float64(n)
}

// Margin returns the share of the capacity that new jobs leave free, from 0 to 1.
func (t *Throttler) Margin(now time.Time) float64 {
	if !t.Enabled {
		return 0
	}
	t.update(now)
	return t.margin
}

// update applies the time since the last call.
func (t *Throttler) update(now time.Time) {
	passed := now.Sub(t.updatedAt)
	if passed <= 0 {
		return
	}
	t.updatedAt = now
	fade := math.Exp(-passed.Seconds() / window.Seconds())
	t.sent *= fade
	t.rejected *= fade
	t.margin = 0
	if t.sent >= minSent {
		t.margin = min(max(gain*(t.rejected/t.sent-target), 0), maxMargin)
	}
}
