package composer

import (
	"context"
	"sync"
	"time"

	"radishweir.org/lib/shedder"
)

// overload holds the monitor of this entry's CPU time and the lags that peers of its
// failure domain told.
type overload struct {
	mu      sync.Mutex
	monitor shedder.Monitor
	peers   map[string]peerLag
}

// peerLag is the lag that a peer told, and when.
type peerLag struct {
	lag time.Duration
	at  time.Time
}

// monitorLag measures by how much this entry's timers fire late, and notices its pauses,
// until ctx ends.
func (e *Entry) monitorLag(ctx context.Context) {
	e.overload.mu.Lock()
	e.overload.monitor.Enabled = e.OverloadControl
	e.overload.mu.Unlock()
	due := time.Now().Add(shedder.SampleInterval)
	t := time.NewTimer(shedder.SampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e.life.lastSeen()
		now := time.Now()
		if e.OverloadControl {
			e.addLag(shedder.Sample{At: now, Lag: now.Sub(due)})
		}
		due = now.Add(shedder.SampleInterval)
		t.Reset(shedder.SampleInterval)
	}
}

// addLag applies a measurement of this entry's timers.
func (e *Entry) addLag(s shedder.Sample) {
	e.overload.mu.Lock()
	m := &e.overload.monitor
	changed := m.Add(s)
	state, lag := m.State(), m.Lag()
	e.overload.mu.Unlock()
	if changed {
		e.Log.Info().Stringer("state", state).Int64("lag_ms", lag.Milliseconds()).Msg("cpu_state_changed")
	}
	if state == shedder.Normal {
		lag = 0
	}
	e.coordinator.SetLag(lag)
}

// recordPeerLag records the lag that a peer of this failure domain told.
func (e *Entry) recordPeerLag(peer string, lag time.Duration) {
	if !e.OverloadControl || e.coordinator.DomainOf(peer) != e.FailureDomain {
		return
	}
	e.overload.mu.Lock()
	defer e.overload.mu.Unlock()
	if e.overload.peers == nil {
		e.overload.peers = make(map[string]peerLag)
	}
	e.overload.peers[peer] = peerLag{lag, time.Now()}
}

// acceptsConnections reports whether this entry takes new connections. It is called for
// the balancer's checks only, as an answer may begin a pause.
func (e *Entry) acceptsConnections() bool {
	if !e.OverloadControl {
		return true
	}
	now := time.Now()
	e.overload.mu.Lock()
	defer e.overload.mu.Unlock()
	overloaded, known := 0, 0
	for _, p := range e.overload.peers {
		if now.Sub(p.at) > shedder.StateAge {
			continue
		}
		known++
		if p.lag > shedder.OverloadedLag {
			overloaded++
		}
	}
	ready := e.overload.monitor.Ready(now, overloaded, known)
	if !ready {
		e.Log.Info().Int("overloaded_peers", overloaded).Int("peers", known).Msg("new_connections_shed")
	}
	return ready
}

// cpuState returns the state of this entry's CPU time.
func (e *Entry) cpuState() shedder.State {
	e.overload.mu.Lock()
	defer e.overload.mu.Unlock()
	return e.overload.monitor.State()
}
