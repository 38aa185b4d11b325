package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// pausedClient holds back the starts of an owner that was paused between the check
// of its permission and the order.
type pausedClient struct {
	runner.Client
	pause time.Duration
}

func (c pausedClient) Start(_ context.Context, u runner.Upstream, o runner.Order) (runner.Report, error) {
	time.Sleep(c.pause)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Client.Start(ctx, u, o)
}

// newPausedHarness returns an owner whose starts leave only after a pause.
func newPausedHarness(ctx context.Context, f *simulator.Fleet, token int64, pause time.Duration) *harness {
	b := &harness{ends: make(map[string]wire.RunEnd_Cause)}
	b.Runner = &runner.Runner{Client: pausedClient{f, pause}, Ended: b.ended, Changed: func(string) {}, Log: zerolog.Nop()}
	b.SetOwned(ctx, token, f.List())
	return b
}

// A start that leaves seconds after it was decided must not run: its lease has ended,
// and the requester was told long ago that it has not run.
func TestStartAfterPause(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newPausedHarness(ctx, f, 1, 3*time.Second)
		time.Sleep(50 * time.Millisecond)
		b.ask(ctx, "u0", "t", 1, false)
		time.Sleep(2 * time.Second)
		if got := b.end("t/1"); got != wire.RunEnd_refused {
			t.Errorf("the run ended as %v before its start was sent, want refused", got)
		}
		time.Sleep(3 * time.Second)
		if n := f.Starts("t"); n != 0 {
			t.Errorf("%d starts after the pause, want 0", n)
		}
	})
}

// A former owner whose start is on its way while another entry takes over the upstream
// must not start the task beside the new owner.
func TestStartDuringHandover(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		for _, pause := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
			f := newFleet(1)
			f.RunTime = func(string) time.Duration { return 300 * time.Millisecond }
			old := newPausedHarness(ctx, f, 1, pause)
			time.Sleep(50 * time.Millisecond)
			old.ask(ctx, "u0", "t", 1, false)
			next := newHarness(ctx, f, 2)
			time.Sleep(50 * time.Millisecond)
			if old.end("t/1") == 0 {
				// The requester follows the upstream's new owner.
				next.ask(ctx, "u0", "t", 1, true)
			}
			time.Sleep(600 * time.Millisecond)
			if cause := next.end("t/1"); cause == wire.RunEnd_lost || cause == wire.RunEnd_refused || cause == wire.RunEnd_stopped {
				next.ask(ctx, "u0", "t", 2, false)
			}
			time.Sleep(2 * time.Second)
			for _, v := range f.Violations() {
				t.Errorf("pause of %v: %s", pause, v)
			}
			if n := f.Starts("t"); n > 1 && next.end("t/1") != wire.RunEnd_stopped {
				t.Errorf("pause of %v: %d starts, the first run ended as %v", pause, n, next.end("t/1"))
			}
		}
	})
}

// A holder whose jobs were taken over while it was paused starts nothing more.
func TestRequestOfRetiredHolder(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		retired := make(chan struct{})
		b.RetireHolder(ctx, "entry-2", "entry-1@1", func() { close(retired) })
		<-retired
		b.Request(ctx, "entry-1", &wire.RunRequest{
			Upstream: "u0", Task: "t", Run: 1, Amount: runner.AmountToWire(taskAmount), ExpectedMs: 100, Holder: "entry-1@1",
		})
		time.Sleep(time.Second)
		if got := b.end("t/1"); got != wire.RunEnd_refused || f.Starts("t") != 0 {
			t.Errorf("the run ended as %v after %d starts, want refused and none", got, f.Starts("t"))
		}
	})
}
