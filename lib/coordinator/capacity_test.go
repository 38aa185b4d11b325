package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
)

// submitPatient submits a job of one step whose caller waits for the given time.
func (s *testEntry) submitPatient(ctx context.Context, id string, tasks int, amount packer.Amount, patience time.Duration) {
	now := time.Now()
	j := coordinator.Job{
		ID: id, Kind: "batch", Service: "claims",
		Steps:   []coordinator.Step{{Tasks: tasks, Need: amount, Expected: time.Second}},
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
					s.submitPatient(ctx, fmt.Sprintf("j%d", i), 1, need, time.Minute)
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
				s.submitPatient(ctx, fmt.Sprintf("j%d", i), 1, need, time.Minute)
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

// setCapacity changes the capacity of an upstream and its registration.
func (s *testEntry) setCapacity(ctx context.Context, upstream string, c packer.Amount) {
	s.fleet.SetCapacity(upstream, c, 0)
	s.relist(ctx, s.fleet.List())
}

// relist makes the entry read a list of upstreams.
func (s *testEntry) relist(ctx context.Context, list []runner.Upstream) {
	s.runner.SetOwned(ctx, 1, list)
	s.SetUpstreams(list)
	s.UpdateStates("entry-1", true, s.runner.States())
}

// keep submits a kept job of one task.
func (s *testEntry) keep(id string, amount packer.Amount, expected time.Duration) {
	s.SubmitKept(keptJob(id, amount, expected))
}

// keptJob returns a kept job of one task.
func keptJob(id string, amount packer.Amount, expected time.Duration) coordinator.Job {
	now := time.Now()
	return coordinator.Job{
		ID: id, Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: 1, Need: amount, Expected: expected}},
		Arrived: now, Due: now.Add(time.Second), MaxFailures: 3, Holder: "entry-1@1",
	}
}

// halfCapacity holds one task of need and none of wideNeed; the upstreams of newTestEntry
// hold one task of wideNeed.
var (
	halfCapacity = packer.Amount{CPU: 8000, Memory: 65536}
	fullCapacity = packer.Amount{CPU: 16000, Memory: 65536}
	wideNeed     = packer.Amount{CPU: 12000, Memory: 64}
)

func TestKeptJobWaitsUntilAnUpstreamHasGrownAgain(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 1)
		s.fleet.Amount = wideNeed
		s.fleet.SetRunTime(func(string) time.Duration { return 2 * time.Second })
		k := &memoryKeeper{ended: make(map[string]time.Time)}
		s.Keeper = k
		s.keep("running", wideNeed, 2*time.Second)
		time.Sleep(100 * time.Millisecond)
		s.keep("waiting", wideNeed, 2*time.Second)
		s.setCapacity(ctx, "u00", halfCapacity)
		s.keep("late", wideNeed, 2*time.Second)
		time.Sleep(30 * time.Second)
		k.mu.Lock()
		if len(k.ended) != 1 || k.ended["running"].IsZero() {
			t.Errorf("ended on the shrunk upstream: %v, want only the job that ran", k.ended)
		}
		k.mu.Unlock()
		s.setCapacity(ctx, "u00", fullCapacity)
		time.Sleep(5 * time.Second)
		k.mu.Lock()
		defer k.mu.Unlock()
		if len(k.ended) != 3 {
			t.Errorf("ended after the upstream had grown: %v, want all three jobs", k.ended)
		}
		if n := s.fleet.Starts("running.0.0.0"); n != 1 {
			t.Errorf("the task on the shrunk upstream was started %d times, want once", n)
		}
	})
}

func TestJobTooLargeForShrunkUpstreamsIsRefusedAtOnce(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 1)
		s.fleet.SetRunTime(func(string) time.Duration { return 2 * time.Second })
		s.submitPatient(ctx, "running", 1, need, time.Minute)
		s.submitPatient(ctx, "beside", 1, need, time.Minute)
		time.Sleep(100 * time.Millisecond)
		s.submitPatient(ctx, "before", 1, wideNeed, time.Minute)
		time.Sleep(100 * time.Millisecond)
		s.setCapacity(ctx, "u00", halfCapacity)
		s.submitPatient(ctx, "after", 1, wideNeed, time.Minute)
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"before", "after"} {
			if a := s.answerOf(t, id); a.state != coordinator.Refused {
				t.Errorf("job %s got %v, want refused", id, a.state)
			}
		}
		if _, refused := s.Refuses(keptJob("kept", wideNeed, time.Second)); !refused {
			t.Error("a kept job that fits no upstream was accepted")
		}
		time.Sleep(3 * time.Second)
		for _, id := range []string{"running", "beside"} {
			if a := s.answerOf(t, id); a.state != coordinator.Complete {
				t.Errorf("job %s got %v, want complete", id, a.state)
			}
		}
	})
}

func TestJobsThatFitNoUpstreamDelayNoOthers(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		s.fleet.SetRunTime(func(string) time.Duration { return time.Second })
		s.Keeper = &memoryKeeper{ended: make(map[string]time.Time)}
		s.setCapacity(ctx, "u00", halfCapacity)
		s.setCapacity(ctx, "u01", halfCapacity)
		for i := range 100 {
			s.keep(fmt.Sprintf("w%d", i), wideNeed, time.Second)
		}
		time.Sleep(time.Second)
		if a, refused := s.Refuses(keptJob("kept", need, time.Second)); refused {
			t.Errorf("a kept job that fits an idle upstream was refused: %s", a.Reason)
		}
		for i := range 4 {
			s.submitPatient(ctx, fmt.Sprintf("j%d", i), 1, need, 10*time.Second)
		}
		time.Sleep(5 * time.Second)
		for i := range 4 {
			if a := s.answerOf(t, fmt.Sprintf("j%d", i)); a.state != coordinator.Complete {
				t.Errorf("job %s got %v after %v, want complete", a.id, a.state, a.after)
			}
		}
	})
}

func TestStartedJobThatFitsNoUpstreamDelaysNoOthers(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		s.fleet.SetRunTime(func(string) time.Duration { return 200 * time.Millisecond })
		s.Keeper = &memoryKeeper{ended: make(map[string]time.Time)}
		for i := range 20 {
			in := keptJob(fmt.Sprintf("w%d", i), need, 200*time.Millisecond)
			in.Steps = append(in.Steps, coordinator.Step{Tasks: 4, Need: wideNeed, Expected: 200 * time.Millisecond, After: []int{0}})
			s.SubmitKept(in)
		}
		time.Sleep(400 * time.Millisecond)
		s.setCapacity(ctx, "u00", halfCapacity)
		s.setCapacity(ctx, "u01", halfCapacity)
		for i := range 60 {
			s.submit(ctx, "narrow", fmt.Sprintf("n%d", i), 1, 200*time.Millisecond, 3*time.Second)
			if i == 30 {
				s.submitPatient(ctx, "j", 4, need, 10*time.Second)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		if a := s.answerOf(t, "j"); a.state != coordinator.Complete {
			t.Errorf("got %v after %v, want complete", a.state, a.after)
		}
	})
}

func TestRunsOnUpstreamThatWasUnlistedForAMomentEnd(t *testing.T) {
	for _, gap := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		withFakeTime(t, func(t *testing.T, ctx context.Context) {
			s := newTestEntry(ctx, 1)
			s.fleet.SetRunTime(func(string) time.Duration { return 800 * time.Millisecond })
			k := &memoryKeeper{ended: make(map[string]time.Time)}
			s.Keeper = k
			s.keep("kept", need, 800*time.Millisecond)
			s.submitPatient(ctx, "j", 1, need, time.Minute)
			time.Sleep(100 * time.Millisecond)
			s.relist(ctx, nil)
			time.Sleep(gap)
			s.relist(ctx, s.fleet.List())
			time.Sleep(20 * time.Second)
			if a := s.answerOf(t, "j"); a.state != coordinator.Complete {
				t.Errorf("gap %v: got %v, want complete", gap, a.state)
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			if len(k.ended) != 1 {
				t.Errorf("gap %v: the kept job has not ended", gap)
			}
			for _, v := range s.fleet.Violations() {
				t.Errorf("gap %v: %s", gap, v)
			}
		})
	}
}

func TestRunsOnUpstreamThatIsGoneStartElsewhere(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		withFakeTime(t, func(t *testing.T, ctx context.Context) {
			s := newTestEntry(ctx, 2)
			s.fleet.SetRunTime(func(string) time.Duration { return 2 * time.Second })
			k := &memoryKeeper{ended: make(map[string]time.Time)}
			s.Keeper = k
			s.keep("k0", need, 2*time.Second)
			s.keep("k1", need, 2*time.Second)
			s.submitPatient(ctx, "j0", 1, need, time.Minute)
			s.submitPatient(ctx, "j1", 1, need, time.Minute)
			time.Sleep(100 * time.Millisecond)
			s.fleet.Update("u00", func(u *simulator.Upstream) { u.Unreachable = !reachable })
			s.relist(ctx, s.fleet.List()[1:])
			time.Sleep(10 * time.Second)
			for _, id := range []string{"j0", "j1"} {
				if a := s.answerOf(t, id); a.state != coordinator.Complete {
					t.Errorf("job %s got %v, want complete", id, a.state)
				}
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			if len(k.ended) != 2 {
				t.Errorf("%d kept jobs ended, want 2", len(k.ended))
			}
			for _, v := range s.fleet.Violations() {
				t.Error(v)
			}
		})
	}
}
