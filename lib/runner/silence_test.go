package runner_test

import (
	"context"
	"testing"
	"time"

	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// An idle upstream that went silent must get no run until it answers again, and must
// then soon be usable.
func TestSilentIdleUpstreamGetsNoRuns(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.RunTime = func(string) time.Duration { return 10 * time.Second }
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		b.ask(ctx, "u0", "t", 1, false)
		time.Sleep(50 * time.Millisecond)
		f.Update("u0", func(u *simulator.Upstream) { u.Unreachable = true })
		time.Sleep(4 * time.Second)
		if s := b.State("u0"); s.GetUsable() || s.GetAnswering() {
			t.Errorf("state of a silent upstream is %v, want neither usable nor answering", s)
		}
		b.ask(ctx, "u0", "t", 2, false)
		time.Sleep(10 * time.Millisecond)
		if got := b.end("t/2"); got != wire.RunEnd_refused {
			t.Errorf("a run for a silent upstream ended as %v, want refused", got)
		}
		f.Update("u0", func(u *simulator.Upstream) { u.Unreachable = false })
		time.Sleep(time.Second)
		if s := b.State("u0"); !s.GetUsable() || !s.GetAnswering() {
			t.Errorf("state of an upstream that answers again is %v, want usable and answering", s)
		}
	})
}
