package runner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// The restarted upstream has carried out a run of a kept job before its owner reads its runs.
func TestEndOnRestartedUpstreamIsNotForgottenUnread(t *testing.T) {
	for _, c := range []struct {
		name string
		// working is true if a run is at work on the upstream when it restarts.
		working bool
		// fault affects the polls until the run is done.
		fault simulator.Fault
	}{
		{"idle, polls lost", false, simulator.Lost},
		{"idle, polls late", false, simulator.Delayed},
		{"idle, reports lost", false, simulator.Unanswered},
		{"working, polls lost", true, simulator.Lost},
		{"working, reports lost", true, simulator.Unanswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				f := newFleet(1)
				f.Kept = func(task string) bool { return task == "t" }
				f.RunTime = func(string) time.Duration { return 30 * time.Millisecond }
				b := newHarness(ctx, f, 1)
				time.Sleep(50 * time.Millisecond)
				for i := range 4 {
					b.ask(ctx, "u0", fmt.Sprintf("before%d", i), 1, false)
					time.Sleep(150 * time.Millisecond)
				}
				if c.working {
					f.SetRunTime(func(string) time.Duration { return 10 * time.Second })
					b.ask(ctx, "u0", "long", 1, false)
					time.Sleep(300 * time.Millisecond)
					f.SetRunTime(func(string) time.Duration { return 30 * time.Millisecond })
				}
				f.SetFault(func(op simulator.Operation, _ string) simulator.Fault {
					if op == simulator.Poll {
						return c.fault
					}
					return simulator.None
				})
				f.Restart("u0", 2)
				time.Sleep(30 * time.Millisecond)
				b.ask(ctx, "u0", "t", 1, false)
				time.Sleep(100 * time.Millisecond)
				f.SetFault(nil)
				time.Sleep(3 * time.Second)
				if got := b.end("t/1"); got != wire.RunEnd_done {
					t.Errorf("the run ended as %v, want done", got)
				}
			})
		})
	}
}
