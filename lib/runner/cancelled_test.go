package runner_test

import (
	"context"
	"testing"
	"time"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// Guards against UNASKED: the holder of a cancelled job, which does not know of the cancellation,
// asks the next owner of an upstream for a run there, and for another one.
func TestNextOwnerStopsRunsOfCancelledJob(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.RunTime = func(string) time.Duration { return time.Minute }
		former := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		request := func(task string, attach bool) *wire.RunRequest {
			return &wire.RunRequest{
				Upstream: "u0", Task: task, Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 60000, Attach: attach, Holder: "entry-1@1",
			}
		}
		former.Request(ctx, "entry-1", request("a.0.0.0", false))
		former.Request(ctx, "entry-1", request("b.0.0.0", false))
		time.Sleep(200 * time.Millisecond)
		former.SetOwned(ctx, 2, nil)
		next := newHarness(ctx, simulator.New(), 2)
		next.Client = f
		if n := next.CancelJob(ctx, "a", time.Now().Add(time.Minute)); n != 0 {
			t.Errorf("%d runs stopped of an upstream that is not owned", n)
		}
		next.SetOwned(ctx, 2, f.List())
		for _, task := range []string{"a.0.0.0", "b.0.0.0"} {
			next.Request(ctx, "entry-1", request(task, true))
		}
		time.Sleep(time.Second)
		next.Request(ctx, "entry-1", request("a.0.0.1", false))
		time.Sleep(time.Second)
		if got := f.RunningTasks(); len(got) != 1 || got[0] != "b.0.0.0" {
			t.Errorf("runs of %v are left, want that of b.0.0.0", got)
		}
		if got := next.end("a.0.0.1/1"); got != wire.RunEnd_refused || f.Starts("a.0.0.1") != 0 {
			t.Errorf("the run ended as %v after %d starts, want refused and none", got, f.Starts("a.0.0.1"))
		}
	})
}
