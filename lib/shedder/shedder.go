// Package shedder decides what an entry that is short of CPU time sheds: ownership of
// upstreams, jobs and new connections.
//
// It handles two loads. Callers are spread evenly over entries of unequal size, so a
// small entry spends most of its CPU time on callers; Weight leaves it fewer upstreams.
// And an entry may have less CPU time than its settings say, or more work than others;
// Monitor notices that its timers fire late and derives its state.
//
// An entry sheds in this order:
//
//  1. Busy: a quarter of its weight in the division of the upstreams, and three quarters
//     once it is overloaded. The weight changes at most once in 5 s, as each change moves
//     upstreams, and returns in quarters, each after the entry was well for a minute.
//  2. Busy or overloaded: jobs, by package delegator, which reads Lag.
//  3. Overloaded for 2 s: new connections, for 1 s in 10, unless more than a third of
//     the entries of the failure domain are overloaded, or their states are unknown.
//
// Weights and states change no job: every upstream has an owner under any weights, and
// an entry that is not ready serves the connections that it has.
//
// # Usage
//
//	m := &shedder.Monitor{Enabled: settings.OverloadControl}
//	full := shedder.Weight(cores, callerCores)
//	// Every SampleInterval, by a timer due at the given time:
//	if m.Add(shedder.Sample{At: now, Lag: now.Sub(due)}) { log(m.State()) }
//	// Every second: register if the weight differs from the registered one.
//	w := m.Weight(now, full, overloadedPeers, peers)
//	// For each request of the balancer for readiness, and for nothing else:
//	ready := m.Ready(now, overloadedPeers, peers)
//
// A Monitor is not safe for concurrent use. The peers are the other entries of the
// failure domain that are up; those that told no lag within StateAge are left out of both
// numbers. Those that told one above OverloadedLag are overloaded.
//
// The integration counts the time in each state, the changes of the registered weight,
// the upstreams that these changes moved and the answers that the entry is not ready.
package shedder

import (
	"math"
	"time"
)

const (
	// SampleInterval is the time between two samples: shorter than the least slack of an
	// urgent job (96 ms), so that no lag which makes such jobs late goes unseen.
	SampleInterval = 50 * time.Millisecond
	// smoothing is the time constant of the mean lag. Batches of arrivals last well below
	// a second and pass by themselves; nothing should be shed for them.
	smoothing = time.Second
	// isolatedLag limits what one sample counts. A single pause of the whole VM is no lack
	// of CPU time: its smoothed lag must fall below busyLag within enterDelay.
	isolatedLag = 200 * time.Millisecond
	// growth is the factor by which one sample may exceed the mean beyond isolatedLag, so
	// that a lag that lasts is measured in full.
	growth = 4
	// busyLag is the mean lag above which the entry is busy. The median job has 8 ms from
	// submission to its first start; 15 ms more are a sixth of an urgent job's slack.
	busyLag = 15 * time.Millisecond
	// OverloadedLag is the mean lag above which the entry is overloaded, and a peer that
	// reports it. A job passes two entries, its first and the upstream's owner, whose lags
	// would use up most of its slack.
	OverloadedLag = 40 * time.Millisecond
	// StateAge is the age of a peer's last frame up to which its state counts as known.
	// Frames between far entries come once a second.
	StateAge = 1500 * time.Millisecond
	// enterDelay is how long the lag must be above the threshold of a state.
	enterDelay = time.Second
	// leaveDelay is how long the lag must be below half of it. It covers the pause
	// between two bursts of a caller that resubmits after 1.3 s.
	leaveDelay = 2 * time.Second
)

// State is how short of CPU time the entry is.
type State int

// The states, from the least to the most short of CPU time.
const (
	Normal State = iota
	Busy
	Overloaded
)

// String returns the name of the state, for logs and metrics.
func (s State) String() string { return [...]string{"normal", "busy", "overloaded"}[s] }

// Sample is one measurement of the entry's timers.
type Sample struct {
	// At is the time at which the timer fired.
	At time.Time
	// Lag is the time by which it fired late.
	Lag time.Duration
}

// level is a state that is entered and left with hysteresis.
type level struct {
	active bool
	// enterAt and leaveAt are the times at which the level becomes active or inactive if
	// the lag stays as it is; zero if it stays.
	enterAt, leaveAt time.Time
}

// update applies the lag at the given time.
func (l *level) update(now time.Time, lag, threshold time.Duration) {
	switch {
	case lag <= threshold:
		l.enterAt = time.Time{}
	case l.enterAt.IsZero():
		l.enterAt = now.Add(enterDelay)
	}
	switch {
	case lag >= threshold/2:
		l.leaveAt = time.Time{}
	case l.leaveAt.IsZero():
		l.leaveAt = now.Add(leaveDelay)
	}
	if !l.enterAt.IsZero() && !now.Before(l.enterAt) {
		l.active = true
	}
	if !l.leaveAt.IsZero() && !now.Before(l.leaveAt) {
		l.active = false
	}
}

// Monitor measures how late timers fire and decides what to shed. Exported fields are
// set before use.
type Monitor struct {
	// Enabled is false if the entry never sheds.
	Enabled bool

	lag              time.Duration
	sampledAt        time.Time
	busy, overloaded level

	// shedConnectionsAt is the time from which new connections may be refused: after the
	// entry became overloaded and after each pause in readiness.
	shedConnectionsAt time.Time
	// readyAt is the end of the pause in readiness.
	readyAt time.Time

	ownership
}

// Add applies a sample and reports whether the state changed.
func (m *Monitor) Add(s Sample) (changed bool) {
	if !m.Enabled {
		return false
	}
	before := m.State()
	if !m.sampledAt.IsZero() {
		// A sample after a pause counts no more than isolatedLag of time.
		passed := min(max(s.At.Sub(m.sampledAt), 0), isolatedLag)
		lag := min(max(s.Lag, 0), max(isolatedLag, growth*m.lag))
		share := 1 - math.Exp(-passed.Seconds()/smoothing.Seconds())
		m.lag += time.Duration(share * float64(lag-m.lag))
	}
	m.sampledAt = s.At
	m.busy.update(s.At, m.lag, busyLag)
	m.overloaded.update(s.At, m.lag, OverloadedLag)
	after := m.State()
	if after == Overloaded && before != Overloaded {
		if at := s.At.Add(connectionsDelay); at.After(m.shedConnectionsAt) {
			m.shedConnectionsAt = at
		}
	}
	return after != before
}

// State returns the state as of the last sample.
func (m *Monitor) State() State {
	switch {
	case m.overloaded.active:
		return Overloaded
	case m.busy.active:
		return Busy
	}
	return Normal
}

// Lag returns the smoothed lag, for the frames to peers and for the delegator.
func (m *Monitor) Lag() time.Duration { return m.lag }

const (
	// connectionsDelay is the time that ownership and jobs have to relieve an overloaded
	// entry before it refuses connections: a registration reaches all entries within
	// 0.1 s, and the mean lag follows within a second.
	connectionsDelay = 2 * time.Second
	// unreadyTime is how long the entry is not ready at a time. Callers wait 1.5 s, so
	// one whose connection was refused still gets its answer from the next entry.
	unreadyTime = time.Second
	// unreadyInterval is the least time between the starts of two such times. It keeps
	// nine tenths of new connections possible should all balancers see them.
	unreadyInterval = 10 * time.Second
)

// Ready reports whether the entry takes new connections. A pause begins with a call,
// so that the balancer that asks sees it whatever the interval of its requests.
func (m *Monitor) Ready(now time.Time, overloadedPeers, peers int) bool {
	if m.State() != Overloaded || !maySpareEntry(overloadedPeers, peers) {
		m.readyAt = time.Time{}
		return true
	}
	if !now.Before(m.shedConnectionsAt) {
		m.shedConnectionsAt = now.Add(unreadyInterval)
		m.readyAt = now.Add(unreadyTime)
	}
	return !now.Before(m.readyAt)
}

// maySpareEntry reports whether the failure domain can spare new connections at this
// overloaded entry: at most a third of its entries, this one included, are overloaded.
// Peers whose state is unknown don't count, so an entry that hears of fewer than two
// peers stays ready.
func maySpareEntry(overloadedPeers, peers int) bool {
	return 3*(overloadedPeers+1) <= peers+1
}
