package composer

import (
	"context"
	"time"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/separator"
	"radishweir.org/lib/wire"
)

// sampleInterval is the time between two exchanges of measured interference. A pair is
// found after seconds of work, so more frequent exchanges would not find it sooner.
const sampleInterval = time.Second

// buildSeparation makes the runner measure which kinds of tasks slow each other down, and
// the coordinator keep them apart where there is room.
func (e *Entry) buildSeparation() {
	if !e.Separation {
		return
	}
	e.interference = &runner.Interference{}
	e.runner.Interference = e.interference
	e.coordinator.Interference = e.interference.Factor
}

// exchangeInterference sends the peers what was measured since the last time, and logs
// the pairs of kinds that are found or dropped, until ctx ends.
func (e *Entry) exchangeInterference(ctx context.Context) {
	if e.interference == nil {
		return
	}
	known := make(map[[2]string]bool)
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if list := e.interference.Drain(); len(list) > 0 {
				for _, peer := range e.reachablePeers() {
					e.messenger.Append(peer, func(f *wire.PeerFrame) { f.Interference = append(f.Interference, list...) })
				}
			}
			for _, p := range e.interference.Pairs(now) {
				e.logPair(known, p)
			}
		}
	}
}

// logPair logs a pair of kinds that is found or dropped.
func (e *Entry) logPair(known map[[2]string]bool, p separator.Pair) {
	key := [2]string{p.Kind, p.Beside}
	if known[key] == p.Interferes {
		return
	}
	known[key] = p.Interferes
	event := "interference_found"
	if !p.Interferes {
		event = "interference_dropped"
	}
	e.Log.Info().Str("kind", p.Kind).Str("beside", p.Beside).Float64("excess", p.Excess).Float64("error", p.Error).
		Float64("runs", p.Runs).Msg(event)
}

// reachablePeers returns the names of the registered peers that are up.
func (e *Entry) reachablePeers() []string {
	members, _ := e.enroller.Members()
	var out []string
	for _, m := range members {
		if m.GetName() != e.Name && e.coordinator.Reachable(m.GetName()) {
			out = append(out, m.GetName())
		}
	}
	return out
}

// interferingPairs returns the number of pairs of kinds that are kept apart.
func (e *Entry) interferingPairs() int {
	if e.interference == nil {
		return 0
	}
	n := 0
	for _, p := range e.interference.Pairs(time.Now()) {
		if p.Interferes {
			n++
		}
	}
	return n
}
