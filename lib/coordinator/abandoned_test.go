package coordinator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
)

// jobOfCaller returns a job of the given number of tasks, whose caller is gone once gone
// is set.
func jobOfCaller(id string, tasks int, gone *atomic.Bool) coordinator.Job {
	now := time.Now()
	return coordinator.Job{
		ID: id, Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: tasks, Need: need, Expected: 300 * time.Millisecond}},
		Arrived: now, Due: now.Add(2 * time.Second), Deadline: now.Add(3 * time.Second), MaxFailures: 3, CallerGone: gone.Load,
	}
}

func TestJobOfCallerWhoseConnectionEndedDoesNotStart(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		var gone atomic.Bool
		gone.Store(true)
		a := s.Submit(ctx, jobOfCaller("a", 1, &gone))
		if n := s.fleet.Starts("a.0.0.0"); n != 0 || a.State != coordinator.Cancelled {
			t.Errorf("%d starts and answer %v, want none and cancelled", n, a.State)
		}
	})
}

func TestNextStepOfCallerWhoseConnectionEndedDoesNotStart(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 1)
		var gone atomic.Bool
		j := jobOfCaller("a", 1, &gone)
		j.Steps = append(j.Steps, j.Steps[0])
		j.Steps[1].After = []int{0}
		answer := make(chan coordinator.Answer, 1)
		go func() { answer <- s.Submit(ctx, j) }()
		time.Sleep(50 * time.Millisecond)
		gone.Store(true)
		a := <-answer
		if first, next := s.fleet.Starts("a.0.0.0"), s.fleet.Starts("a.0.1.0"); first != 1 || next != 0 || a.State != coordinator.Cancelled {
			t.Errorf("%d starts of the first step, %d of the next one and answer %v, want 1, 0 and cancelled", first, next, a.State)
		}
	})
}

func TestJobGoesOnForAnotherCallerWhoStays(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 1)
		var gone, stays atomic.Bool
		s.submit(ctx, "check", "b", 2, 200*time.Millisecond, 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		go s.Submit(ctx, jobOfCaller("a", 1, &gone))
		time.Sleep(20 * time.Millisecond)
		gone.Store(true)
		if a := s.Submit(ctx, jobOfCaller("a", 1, &stays)); a.State != coordinator.Complete {
			t.Errorf("the job ended as %v, want complete", a.State)
		}
	})
}

func TestSuspectOfCallerWhoseConnectionEndedDoesNotStart(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 3)
		s.followList(ctx)
		deadly := true
		s.fleet.SetDeadly(func(string) bool {
			first := deadly
			deadly = false
			return first
		})
		var gone atomic.Bool
		j := jobOfCaller("a", 1, &gone)
		j.Due, j.Deadline = j.Arrived.Add(20*time.Second), j.Arrived.Add(30*time.Second)
		answer := make(chan coordinator.Answer, 1)
		go func() { answer <- s.Submit(ctx, j) }()
		time.Sleep(20 * time.Millisecond)
		gone.Store(true)
		a := <-answer
		if n := s.fleet.Starts("a.0.0.0"); n != 1 || a.State != coordinator.Cancelled {
			t.Errorf("%d starts and answer %v, want 1 and cancelled", n, a.State)
		}
	})
}
