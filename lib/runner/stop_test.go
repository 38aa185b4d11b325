package runner_test

import (
	"context"
	"testing"
	"time"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// startLongRun returns the owner of an upstream on which a run of ten minutes is at
// work.
func startLongRun(ctx context.Context, f *simulator.Fleet) *harness {
	f.RunTime = func(string) time.Duration { return 10 * time.Minute }
	b := newHarness(ctx, f, 1)
	time.Sleep(50 * time.Millisecond)
	b.Request(ctx, "entry-1", &wire.RunRequest{Upstream: "u0", Task: "t", Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 600000})
	time.Sleep(50 * time.Millisecond)
	return b
}

func TestStopIsRepeatedAfterRefusal(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := startLongRun(ctx, f)
		f.SetFault(func(op simulator.Operation, _ string) simulator.Fault {
			if op == simulator.Stop {
				return simulator.Refused
			}
			return simulator.None
		})
		b.Cancel(ctx, &wire.RunCancel{Upstream: "u0", Task: "t", Run: 1})
		time.Sleep(100 * time.Millisecond)
		f.SetFault(nil)
		time.Sleep(200 * time.Millisecond)
		if n := f.Running(); n > 0 {
			t.Errorf("%d runs go on after they were cancelled", n)
		}
		if got := b.end("t/1"); got != wire.RunEnd_stopped {
			t.Errorf("the run ended as %v, want stopped", got)
		}
	})
}
