package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/simulator"
)

// submitPatient submits a job of one task whose caller waits for the given time.
func (s *testEntry) submitPatient(ctx context.Context, id string, amount packer.Amount, patience time.Duration) {
	now := time.Now()
	j := coordinator.Job{
		ID: id, Kind: "batch", Service: "claims",
		Steps:   []coordinator.Step{{Tasks: 1, Need: amount, Expected: time.Second}},
		Arrived: now, Due: now.Add(patience), Deadline: now.Add(patience), MaxFailures: 3,
	}
	go func() {
		a := s.Submit(ctx, j)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers = append(s.answers, answer{j.Kind, id, a.State, time.Since(now), patience})
	}()
}

// counts returns how many runs an upstream has started, and how many it has refused
// because they did not fit.
func (s *testEntry) counts(upstream string) (started, refused int) {
	s.fleet.Update(upstream, func(u *simulator.Upstream) { started, refused = u.Started, u.NoRoom })
	return started, refused
}

// A refused start per heartbeat of an upstream is enough to notice that it has grown.
func TestUpstreamWithoutRoomIsNotAskedAgainAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		capacity packer.Amount
		started  int
	}{
		"one task": {packer.Amount{CPU: 8000, Memory: 65536}, 55},
		"memory":   {packer.Amount{CPU: 16000, Memory: 100}, 55},
		"nothing":  {},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T, ctx context.Context) {
				s := newTestEntry(ctx, 2)
				s.fleet.SetRunTime(func(string) time.Duration { return time.Second })
				s.fleet.SetCapacity("u00", c.capacity, 0)
				for i := range 600 {
					s.submitPatient(ctx, fmt.Sprintf("j%d", i), need, time.Minute)
					time.Sleep(100 * time.Millisecond)
				}
				started, refused := s.counts("u00")
				t.Logf("%d runs started, %d refused in a minute", started, refused)
				if refused > 60 || started < c.started {
					t.Errorf("%d runs started and %d refused in a minute, want at least %d and at most 60", started, refused, c.started)
				}
			})
		})
	}
}

// The registration may not show that an upstream shrank and has grown again.
func TestUpstreamThatHasRoomAgainIsUsed(t *testing.T) {
	for _, fault := range []simulator.Fault{simulator.None, simulator.Lost, simulator.Unanswered} {
		withFakeTime(t, func(t *testing.T, ctx context.Context) {
			s := newTestEntry(ctx, 1)
			s.fleet.SetRunTime(func(string) time.Duration { return 5 * time.Second })
			s.fleet.SetCapacity("u00", packer.Amount{}, 0)
			for i := range 20 {
				s.submitPatient(ctx, fmt.Sprintf("j%d", i), need, time.Minute)
			}
			time.Sleep(time.Second)
			s.fleet.SetCapacity("u00", packer.Amount{CPU: 16000, Memory: 65536}, 0)
			var once sync.Once
			s.fleet.SetFault(func(op simulator.Operation, _ string) simulator.Fault {
				out := simulator.None
				if op == simulator.Start {
					once.Do(func() { out = fault })
				}
				return out
			})
			time.Sleep(2 * time.Second)
			if started, _ := s.counts("u00"); started != 2 {
				t.Errorf("fault %v of the first start: %d runs started, want 2", fault, started)
			}
		})
	}
}
