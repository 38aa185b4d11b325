package runner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// An upstream lists only so many ends at a time. While one that must be retained
// holds back the acknowledgement of all later ones, a run whose end doesn't fit into
// the list must not count as lost, as its task would run twice.
func TestMoreEndsThanAreListed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.RunTime = func(string) time.Duration { return 5 * time.Millisecond }
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		start := func(task string) {
			b.Request(ctx, "entry-1", &wire.RunRequest{
				Upstream: "u0", Task: task, Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 5, Holder: "entry-1@1",
			})
		}
		for i := range 2 * runner.MaxListedEnds {
			start(fmt.Sprintf("t%d", i))
			time.Sleep(30 * time.Millisecond)
			if i > 0 {
				// The end of the first run is never safe.
				b.Safe(&wire.RunSafe{Upstream: "u0", Task: fmt.Sprintf("t%d", i), Run: 1})
			}
		}
		time.Sleep(5 * time.Second)
		counts := make(map[wire.RunEnd_Cause]int)
		for i := range 2 * runner.MaxListedEnds {
			task := fmt.Sprintf("t%d", i)
			cause := b.end(task + "/1")
			counts[cause]++
			if cause != wire.RunEnd_done && f.Starts(task) > 0 {
				t.Fatalf("%s ran and ended as %v, want done", task, cause)
			}
		}
		if counts[wire.RunEnd_done] < 100 {
			t.Errorf("ends by cause: %v, want at least 100 done", counts)
		}
		b.Safe(&wire.RunSafe{Upstream: "u0", Task: "t0", Run: 1})
		time.Sleep(time.Second)
		if !b.State("u0").GetUsable() {
			t.Error("the upstream is not usable after all ends are safe")
		}
	})
}

// Guards against two runs of a kept job's task: its holder is retired while a request is checked.
func TestRetiredHolderStartsNoRunThatWasCheckedBefore(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		retired := make(chan struct{})
		b.RetireHolder(ctx, "entry-3", "entry-2@1", func() { close(retired) })
		<-retired
		b.StartChecked(ctx, "entry-2", &wire.RunRequest{
			Upstream: "u0", Task: "t", Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 100, Holder: "entry-2@1",
		})
		time.Sleep(50 * time.Millisecond)
		if got := b.end("t/1"); got != wire.RunEnd_refused || f.Starts("t") != 0 {
			t.Errorf("the run ended as %v after %d starts, want refused and none", got, f.Starts("t"))
		}
	})
}

// Guards against tasks of kept jobs that run again: a holder appears after a list without kept jobs was read.
func TestOlderListDoesNotDiscardOrphanedEnds(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		former := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		former.Request(ctx, "entry-1", &wire.RunRequest{
			Upstream: "u0", Task: "t", Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 100, Holder: "entry-1@1",
		})
		time.Sleep(200 * time.Millisecond)
		former.SetOwned(ctx, 2, nil)
		b := newHarness(ctx, simulator.New(), 2)
		b.Client = f
		b.RetainOrphanedEnds()
		b.DiscardOrphanedEnds()
		b.SetOwned(ctx, 2, f.List())
		time.Sleep(3 * time.Second)
		b.RetireHolder(ctx, "entry-3", "entry-1@1", func() {})
		time.Sleep(50 * time.Millisecond)
		if got := b.end("t/1"); got != wire.RunEnd_done {
			t.Errorf("the adopter learned of the run's end as %v, want done", got)
		}
	})
}

// Guards against TWICE: a holder that does not know yet that its jobs were taken over asks for a run
// that is done, takes the refusal for a run that never began, and starts the task elsewhere.
func TestAttachmentOfRetiredHolderGetsNoEnd(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		q := &wire.RunRequest{Upstream: "u0", Task: "t", Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 100, Holder: "entry-2@1"}
		b.Request(ctx, "entry-2", q)
		time.Sleep(time.Second)
		done := make(chan struct{})
		b.RetireHolder(ctx, "entry-3", "entry-2@1", func() { close(done) })
		<-done
		b.forget("t/1")
		q.Attach = true
		b.Request(ctx, "entry-2", q)
		time.Sleep(time.Second)
		if cause := b.end("t/1"); cause != 0 {
			t.Errorf("the run of a retired holder ended as %v, want no end", cause)
		}
	})
}

// Guards against LOST: an entry that stands still as it tells the adopter of a holder's jobs which runs
// have failed, so that no takeover ends any more.
func TestRetirementOfHolderWithFailedRunEnds(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.Update("u0", func(u *simulator.Upstream) { u.Failing = true })
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		b.Request(ctx, "entry-2", &wire.RunRequest{
			Upstream: "u0", Task: "t", Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 100, Holder: "entry-2@1",
		})
		time.Sleep(time.Second)
		b.forget("t/1")
		done := make(chan struct{})
		b.RetireHolder(ctx, "entry-3", "entry-2@1", func() { close(done) })
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Error("the retirement has not ended after 5 s")
		}
		if cause := b.end("t/1"); cause != wire.RunEnd_failed {
			t.Errorf("the adopter was told %v of the run, want failed", cause)
		}
	})
}

// Guards against TWICE: an owner that has just started does not know that a holder is retired, and
// tells it that a run is over of which it learns as lost.
func TestAttachmentWaitsForHolderToBeListed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newHarness(ctx, f, 1)
		var listed atomic.Bool
		b.HolderListed = func(string) bool { return listed.Load() }
		time.Sleep(50 * time.Millisecond)
		b.Request(ctx, "entry-2", &wire.RunRequest{
			Upstream: "u0", Task: "t", Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 100, Holder: "entry-2@1", Attach: true,
		})
		time.Sleep(time.Second)
		if cause := b.end("t/1"); cause != 0 {
			t.Errorf("the run of a holder that is not listed ended as %v, want no end", cause)
		}
		listed.Store(true)
		b.SetOwned(ctx, 1, f.List())
		time.Sleep(time.Second)
		if cause := b.end("t/1"); cause != wire.RunEnd_lost {
			t.Errorf("the run ended as %v once its holder is listed, want lost", cause)
		}
	})
}
