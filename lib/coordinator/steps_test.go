package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
)

// submitSteps submits a job of several steps whose caller waits for ten seconds, and
// records its answer.
func (s *testEntry) submitSteps(ctx context.Context, id string, steps ...coordinator.Step) {
	now := time.Now()
	j := coordinator.Job{
		ID: id, Kind: "check", Service: "claims", Steps: steps, Arrived: now, Due: now.Add(5 * time.Second),
		Deadline: now.Add(10 * time.Second), MaxFailures: 3,
	}
	go func() {
		a := s.Submit(ctx, j)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers = append(s.answers, answer{"check", id, a.State, time.Since(now), 5 * time.Second})
	}()
}

// step returns a step of n tasks of 100 ms.
func step(n int, after ...int) coordinator.Step {
	return coordinator.Step{Tasks: n, Need: need, Expected: 100 * time.Millisecond, After: after}
}

// A step starts as soon as all tasks of the steps that it depends on are done, and
// not before; independent steps run concurrently.
func TestStepOrder(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 8)
		s.fleet.RunTime = func(task string) time.Duration {
			if task == "a.0.0.1" {
				return 300 * time.Millisecond
			}
			return 100 * time.Millisecond
		}
		s.submitSteps(ctx, "a", step(3), step(2), step(4, 0, 1), step(1, 2))
		time.Sleep(250 * time.Millisecond)
		if s.fleet.Starts("a.0.1.1") != 1 || s.fleet.Starts("a.0.2.0") != 0 {
			t.Errorf("at 250 ms: %d starts of an independent step, want 1; %d of a step whose dependency still runs, want 0",
				s.fleet.Starts("a.0.1.1"), s.fleet.Starts("a.0.2.0"))
		}
		time.Sleep(120 * time.Millisecond)
		if s.fleet.Starts("a.0.2.0") != 1 || s.fleet.Starts("a.0.3.0") != 0 {
			t.Errorf("at 370 ms: %d starts of the third step, want 1; %d of the fourth, want 0", s.fleet.Starts("a.0.2.0"), s.fleet.Starts("a.0.3.0"))
		}
		time.Sleep(time.Second)
		if a := s.answerOf(t, "a"); a.state != coordinator.Complete || a.after > 600*time.Millisecond {
			t.Errorf("the job is %v after %v, want complete within 600 ms", a.state, a.after)
		}
	})
}

// The tasks of a step run only on upstreams with its label, preferably near its
// data, and no more of them than allowed on one upstream at a time.
func TestStepPlacement(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 0)
		s.FarFactor = 2
		for i := range 6 {
			s.fleet.Add(runner.Upstream{
				Name: fmt.Sprintf("v%d", i), Service: "claims", Incarnation: 1, Capacity: packer.Amount{CPU: 32000, Memory: 65536},
				Labels: runner.JoinLabels([]string{fmt.Sprintf("rack-%d", i%2), fmt.Sprintf("kind-%d", i/3)}),
			}, 1)
		}
		s.SetUpstreams(s.fleet.List())
		s.runner.SetOwned(ctx, 2, s.fleet.List())
		time.Sleep(50 * time.Millisecond)
		st := step(4)
		st.Label, st.MaxPerUpstream = "kind-1", 2
		s.submitSteps(ctx, "a", st)
		time.Sleep(50 * time.Millisecond)
		for _, u := range s.fleet.List() {
			s.fleet.Update(u.Name, func(u *simulator.Upstream) {
				if u.Started > 2 || (u.Started > 0 && !u.HasLabel("kind-1")) {
					t.Errorf("%s with labels %s got %d tasks, want at most 2 and only with kind-1", u.Name, u.Labels, u.Started)
				}
				u.Started = 0
			})
		}
		time.Sleep(time.Second)
		near := step(4)
		near.Data = "rack-1"
		s.submitSteps(ctx, "b", near)
		time.Sleep(50 * time.Millisecond)
		for _, u := range s.fleet.List() {
			s.fleet.Update(u.Name, func(u *simulator.Upstream) {
				if u.Started > 0 && !u.HasLabel("rack-1") {
					t.Errorf("%s with labels %s got %d tasks, want none away from their data", u.Name, u.Labels, u.Started)
				}
			})
		}
		unplaceable := step(1)
		unplaceable.Label = "kind-9"
		s.submitSteps(ctx, "c", unplaceable)
		time.Sleep(time.Second)
		if a := s.answerOf(t, "c"); a.state != coordinator.Refused {
			t.Errorf("a job whose label no upstream has is %v, want refused", a.state)
		}
	})
}
