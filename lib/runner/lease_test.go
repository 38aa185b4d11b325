package runner_test

import (
	"context"
	"testing"
	"time"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

func TestLostRunThatIsAtWorkAfterAllIsStopped(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.Update("u0", func(u *simulator.Upstream) { u.ClockRate = 0.2 })
		b := startLongRun(ctx, f)
		f.Update("u0", func(u *simulator.Upstream) { u.Unreachable = true })
		for b.end("t/1") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		f.Update("u0", func(u *simulator.Upstream) { u.Unreachable = false })
		if f.Running() == 0 {
			t.Fatal("the run has ended with its lease")
		}
		// Any other run makes the owner poll the upstream and renew the lease.
		for i := uint64(1); f.Starts("other") == 0; i++ {
			b.ask(ctx, "u0", "other", i, false)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		for _, task := range b.running(t, f) {
			if task == "t" {
				t.Error("a run that was reported as lost goes on")
			}
		}
	})
}

// running returns the tasks that run on u0.
func (b *harness) running(t *testing.T, f *simulator.Fleet) []string {
	t.Helper()
	rep, err := f.Poll(t.Context(), f.List()[0], runner.Poll{Token: 1})
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, r := range rep.Running {
		out = append(out, r.Task)
	}
	return out
}

func TestLeaseOnUpstreamWithSlowClockEndsInTime(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 30 * time.Second, 10 * time.Minute} {
		inBubble(t, func(t *testing.T, ctx context.Context) {
			f := newFleet(1)
			f.RunTime = func(string) time.Duration { return 10 * time.Second }
			f.Update("u0", func(u *simulator.Upstream) { u.ClockRate = 0.98 })
			b := newHarness(ctx, f, 1)
			time.Sleep(idle)
			f.SetFault(func(op simulator.Operation, _ string) simulator.Fault {
				if op == simulator.Start {
					return simulator.Delayed
				}
				return simulator.Lost
			})
			b.ask(ctx, "u0", "t", 1, false)
			for b.end("t/1") == 0 {
				time.Sleep(time.Millisecond)
			}
			if got := b.end("t/1"); got != wire.RunEnd_lost || f.Running() > 0 {
				t.Errorf("idle for %v: %d runs at work when the run ended as %v", idle, f.Running(), got)
			}
			f.SetFault(nil)
		})
	}
}

func TestStartOnIdleUpstreamWithSlowClockIsNotTooLate(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.Update("u0", func(u *simulator.Upstream) { u.ClockRate = 0.98 })
		b := newHarness(ctx, f, 1)
		time.Sleep(10 * time.Minute)
		b.ask(ctx, "u0", "t", 1, false)
		time.Sleep(200 * time.Millisecond)
		if got := b.end("t/1"); got != wire.RunEnd_done {
			t.Errorf("the run ended as %v, want done", got)
		}
	})
}
