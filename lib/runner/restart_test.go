package runner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// expectDone requests a run of 500 ms that the upstream carries out, and fails the
// test unless it ends as done.
func expectDone(ctx context.Context, t *testing.T, b *harness, f *simulator.Fleet, during func()) {
	t.Helper()
	f.SetRunTime(func(string) time.Duration { return 500 * time.Millisecond })
	b.ask(ctx, "u0", "t", 1, false)
	time.Sleep(20 * time.Millisecond)
	during()
	time.Sleep(400 * time.Millisecond)
	if got := b.end("t/1"); got != 0 {
		t.Errorf("the run ended as %v while it was at work", got)
	}
	time.Sleep(400 * time.Millisecond)
	if got := b.end("t/1"); got != wire.RunEnd_done {
		t.Errorf("the run ended as %v, want done", got)
	}
	if n := f.Starts("t"); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

func TestRunOnRestartedUpstreamIsNotLost(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		f.Restart("u0", 2)
		expectDone(ctx, t, b, f, func() {})
	})
}

func TestRunIsNotLostWhenListIsOlderThanUpstream(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		old := f.List()
		b.ask(ctx, "u0", "before", 1, false)
		f.Restart("u0", 2)
		time.Sleep(time.Second)
		expectDone(ctx, t, b, f, func() {
			// Any change of the fleet hands over the list again.
			old[0].Labels = runner.JoinLabels([]string{"changed"})
			b.SetOwned(ctx, 1, old)
		})
	})
}

func TestEndsOnRestartedUpstreamAreNotSkipped(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		f.Kept = func(string) bool { return true }
		b := newHarness(ctx, f, 1)
		time.Sleep(50 * time.Millisecond)
		for i := range 4 {
			b.ask(ctx, "u0", fmt.Sprintf("before%d", i), 1, false)
			time.Sleep(150 * time.Millisecond)
		}
		f.Restart("u0", 2)
		b.SetOwned(ctx, 1, f.List())
		time.Sleep(50 * time.Millisecond)
		expectDone(ctx, t, b, f, func() {})
	})
}

// heldClient holds back the answers to polls that were sent before a moment.
type heldClient struct {
	runner.Client
	mu    sync.Mutex
	until time.Time
}

func (c *heldClient) Poll(ctx context.Context, u runner.Upstream, p runner.Poll) (runner.Report, error) {
	rep, err := c.Client.Poll(ctx, u, p)
	c.mu.Lock()
	until := c.until
	c.mu.Unlock()
	time.Sleep(time.Until(until))
	return rep, err
}

func TestLateAnswerOfFormerIncarnationLosesNoRun(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(1)
		c := &heldClient{Client: f}
		b := &harness{ends: make(map[string]wire.RunEnd_Cause)}
		b.Runner = &runner.Runner{Client: c, Ended: b.ended, Changed: func(string) {}, Log: zerolog.Nop()}
		b.SetOwned(ctx, 1, f.List())
		time.Sleep(50 * time.Millisecond)
		b.ask(ctx, "u0", "before", 1, false)
		c.mu.Lock()
		c.until = time.Now().Add(200 * time.Millisecond)
		c.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		f.Restart("u0", 2)
		c.mu.Lock()
		c.until = time.Time{}
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		expectDone(ctx, t, b, f, func() {})
	})
}

// Upstreams restart under their names at random moments, their owner has lists that are
// up to a second old, and requests and answers get lost; no task runs twice at a time.
func TestRandomRestarts(t *testing.T) {
	for seed := range uint64(30) {
		inBubble(t, func(t *testing.T, ctx context.Context) {
			rng, faults := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
			var mu sync.Mutex
			f := newFleet(4)
			f.RunTime = func(string) time.Duration { return 150 * time.Millisecond }
			f.Fault = func(simulator.Operation, string) simulator.Fault {
				mu.Lock()
				defer mu.Unlock()
				if faults.IntN(12) > 0 {
					return simulator.None
				}
				return [...]simulator.Fault{simulator.Lost, simulator.Unanswered}[faults.IntN(2)]
			}
			b := newHarness(ctx, f, 1)
			lists := [][]runner.Upstream{f.List()}
			runs, done := make(map[string]uint64), 0
			for step := range 400 {
				if step%10 == 9 {
					f.Restart(fmt.Sprintf("u%d", rng.IntN(4)), int64(step))
				}
				lists = append(lists, f.List())
				if step%7 == 6 {
					b.SetOwned(ctx, int64(1+step), lists[max(0, len(lists)-1-rng.IntN(40))])
				}
				task := fmt.Sprintf("job%d.0.0.0", rng.IntN(12))
				switch b.end(fmt.Sprintf("%s/%d", task, runs[task])) {
				case 0:
					if runs[task] > 0 {
						break
					}
					fallthrough
				default:
					runs[task]++
					b.ask(ctx, fmt.Sprintf("u%d", rng.IntN(4)), task, runs[task], false)
				}
				time.Sleep(time.Duration(rng.IntN(25)) * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
			for _, v := range f.Violations() {
				t.Errorf("seed %d: %s", seed, v)
			}
			if n := f.Running(); n > 0 {
				t.Errorf("seed %d: %d runs continue after the end of the test", seed, n)
			}
			for task, run := range runs {
				if b.end(fmt.Sprintf("%s/%d", task, run)) == 0 {
					t.Errorf("seed %d: run %d of %s got no end", seed, run, task)
				}
			}
			b.mu.Lock()
			for _, cause := range b.ends {
				if cause == wire.RunEnd_done {
					done++
				}
			}
			b.mu.Unlock()
			if done == 0 {
				t.Errorf("seed %d: no run is done", seed)
			}
		})
	}
}
