package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// An entry that does not know of an evacuation yet, as it cannot reach the store, must
// not start runs there through the owner.
func TestOwnerRefusesRunsOnEvacuatedDomain(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		var evacuated atomic.Bool
		h := &harness{ends: make(map[string]wire.RunEnd_Cause)}
		h.Runner = &runner.Runner{
			Client: f, Ended: h.ended, Changed: func(string) {}, Log: zerolog.Nop(),
			Evacuated: func(string) bool { return evacuated.Load() },
		}
		h.SetOwned(ctx, 1, f.List())
		time.Sleep(50 * time.Millisecond)
		h.ask(ctx, "u0", "a.0.0.0", 1, false)
		time.Sleep(20 * time.Millisecond)
		evacuated.Store(true)
		h.EvacuationChanged()
		if h.State("u0").GetUsable() {
			t.Error("the owner reports the upstream as usable")
		}
		h.ask(ctx, "u0", "b.0.0.0", 1, false)
		time.Sleep(time.Second)
		if got := h.end("b.0.0.0/1"); got != wire.RunEnd_refused {
			t.Errorf("the run requested during the evacuation ended as %v, want refused", got)
		}
		if got := h.end("a.0.0.0/1"); got != wire.RunEnd_done {
			t.Errorf("the run that was at work ended as %v, want done", got)
		}
		evacuated.Store(false)
		h.EvacuationChanged()
		if !h.State("u0").GetUsable() {
			t.Error("the upstream is not usable after the evacuation")
		}
	})
}
