package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// Guards against TWICE: the owner takes the silence of an upstream for the loss of a kept job's run,
// although another entry may own the upstream by now and know that the run is done. Once it is
// certain that none does, the run is lost at once.
func TestRunOfKeptJobIsLostOnlyIfOwnershipIsConfirmed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.RunTime = func(string) time.Duration { return time.Minute }
		b := newHarness(ctx, f, 1)
		var confirmed atomic.Bool
		b.MembersConfirmedSince = func(time.Time) bool { return confirmed.Load() }
		time.Sleep(50 * time.Millisecond)
		for task, holder := range map[string]string{"kept": "entry-1@1", "other": ""} {
			b.Request(ctx, "entry-1", &wire.RunRequest{
				Upstream: "u0", Task: task, Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 60000, Holder: holder,
			})
		}
		time.Sleep(500 * time.Millisecond)
		f.SetFault(func(simulator.Operation, string) simulator.Fault { return simulator.Lost })
		time.Sleep(5 * time.Second)
		if got := b.end("kept/1"); got != 0 {
			t.Errorf("the run of a kept job ended as %v, want no end before the ownership is confirmed", got)
		}
		if got := b.end("other/1"); got != wire.RunEnd_lost {
			t.Errorf("the run of another job ended as %v, want lost", got)
		}
		confirmed.Store(true)
		b.ReviewExpired()
		time.Sleep(10 * time.Millisecond)
		if got := b.end("kept/1"); got != wire.RunEnd_lost {
			t.Errorf("the run of a kept job ended as %v once the ownership is confirmed, want lost", got)
		}
	})
}
