package runner_test

import (
	"context"
	"testing"
	"time"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
)

// Guards against tasks that run twice at the same time: a former owner that is cut off
// with the upstream notices only after the holder's death that the holder is unreachable,
// however long ago the upstream got its new owner.
func TestUnreachedUpstreamDelaysRetirementOfHolder(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.SetFault(func(simulator.Operation, string) simulator.Fault { return simulator.Lost })
		b := newHarness(ctx, f, 2)
		time.Sleep(10 * time.Second)
		retired := time.Now()
		done := make(chan time.Duration, 1)
		b.RetireHolder(ctx, "entry-3", "entry-2@1", func() { done <- time.Since(retired) })
		// The former owner may take 0.5 s to notice, and then StopTimeout to stop the run.
		least := 500*time.Millisecond + runner.StopTimeout + runner.LeaseTTL + runner.ClockMargin
		if took := <-done; took < least {
			t.Errorf("the holder counts as retired after %v, want at least %v", took, least)
		}
	})
}
