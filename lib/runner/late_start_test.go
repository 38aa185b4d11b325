package runner_test

import (
	"context"
	"testing"
	"time"

	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

func TestLateStartIsNotCarriedOutByRestartedUpstream(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newHarness(ctx, f, 1)
		// The clock of the former process is ahead of that of the new one.
		time.Sleep(10 * time.Second)
		f.SetFault(func(op simulator.Operation, _ string) simulator.Fault {
			if op == simulator.Start {
				return simulator.Late
			}
			return simulator.None
		})
		b.ask(ctx, "u0", "t", 1, false)
		time.Sleep(500 * time.Millisecond)
		if got := b.end("t/1"); got != wire.RunEnd_refused {
			t.Errorf("the run ended as %v, want refused after its confirmed stop", got)
		}
		f.SetFault(nil)
		f.Restart("u0", 2)
		time.Sleep(300 * time.Millisecond)
		b.SetOwned(ctx, 1, f.List())
		time.Sleep(4 * time.Second)
		if n := f.Starts("t"); n != 0 {
			t.Errorf("%d starts of a run that counted as refused, want none", n)
		}
		b.ask(ctx, "u0", "t", 2, false)
		time.Sleep(200 * time.Millisecond)
		if got := b.end("t/2"); got != wire.RunEnd_done {
			t.Errorf("the next run ended as %v, want done", got)
		}
	})
}
