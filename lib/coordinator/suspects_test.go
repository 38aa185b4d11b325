package coordinator_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/simulator"
)

// followList tells the entry of changes of the upstreams' registrations until ctx ends.
func (s *testEntry) followList(ctx context.Context) {
	go func() {
		for ctx.Err() == nil {
			time.Sleep(400 * time.Millisecond)
			s.SetUpstreams(s.fleet.List())
			s.runner.SetOwned(ctx, 1, s.fleet.List())
		}
	}()
}

// countAnswers returns the number of answers of each state, and of those in time.
func (s *testEntry) countAnswers(prefix string) (states map[coordinator.State]int, inTime int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	states = make(map[coordinator.State]int)
	for _, a := range s.answers {
		if !strings.HasPrefix(a.id, prefix) {
			continue
		}
		states[a.state]++
		if a.state == coordinator.Complete && a.after <= a.due {
			inTime++
		}
	}
	return states, inTime
}

// Each deadly task may take down two upstreams at most, and no job beside it may fail.
func TestJobsBesideDeadlyOnesNeverFail(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 16)
		s.followList(ctx)
		s.fleet.SetDeadly(func(task string) bool { return strings.HasPrefix(task, "deadly") })
		for i := range 40 {
			s.submit(ctx, "submission", fmt.Sprintf("a%02d", i), 2, 300*time.Millisecond, 30*time.Second)
			if i%10 == 5 {
				s.submit(ctx, "check", fmt.Sprintf("deadly%02d", i), 1, 60*time.Millisecond, 30*time.Second)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		if states, _ := s.countAnswers("a"); states[coordinator.Complete] != 40 {
			t.Errorf("jobs beside deadly ones ended as %v, want 40 complete", states)
		}
		if states, _ := s.countAnswers("deadly"); states[coordinator.Failed] != 4 {
			t.Errorf("deadly jobs ended as %v, want 4 failed", states)
		}
		for i := 5; i < 40; i += 10 {
			if n := s.fleet.Starts(fmt.Sprintf("deadly%02d.0.0.0", i)); n > 2 {
				t.Errorf("deadly task of job %d was started %d times, want at most 2", i, n)
			}
		}
	})
}

// A task that was beside a deadly one must not be beside it, or any other, again.
func TestSuspectRunsAlone(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 3)
		s.followList(ctx)
		s.fleet.SetDeadly(func(task string) bool { return strings.HasPrefix(task, "deadly") })
		s.fleet.SetRunTime(func(string) time.Duration { return 4 * time.Second })
		s.submit(ctx, "submission", "a", 1, 4*time.Second, 30*time.Second)
		time.Sleep(50 * time.Millisecond)
		s.submit(ctx, "check", "deadly", 1, 4*time.Second, 30*time.Second)
		time.Sleep(2 * time.Second)
		s.submit(ctx, "check", "b", 1, 100*time.Millisecond, 30*time.Second)
		s.submit(ctx, "check", "c", 1, 100*time.Millisecond, 30*time.Second)
		time.Sleep(100 * time.Millisecond)
		if n := s.fleet.Running(); n != 1 {
			t.Errorf("%d runs on the upstream of the suspect, want 1", n)
		}
		time.Sleep(29 * time.Second)
		if a := s.answerOf(t, "a"); a.state != coordinator.Complete {
			t.Errorf("the job beside the deadly one is %v, want complete", a.state)
		}
		if n := s.fleet.Starts("a.0.0.0"); n != 2 {
			t.Errorf("its task was started %d times, want 2", n)
		}
		if a := s.answerOf(t, "deadly"); a.state != coordinator.Failed {
			t.Errorf("the deadly job is %v, want failed", a.state)
		}
	})
}

// When a failure domain is cut off, the suspects that this makes must not keep the jobs
// that come after it from being served.
func TestCutFailureDomainLeavesRoomForNewJobs(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 32)
		s.followList(ctx)
		s.fleet.RunTime = func(string) time.Duration { return 100 * time.Millisecond }
		cut := func(unreachable bool) {
			for i := range 8 {
				s.fleet.Update(fmt.Sprintf("u%02d", i), func(u *simulator.Upstream) { u.Unreachable = unreachable })
			}
		}
		for i := range 600 {
			switch i {
			case 100:
				cut(true)
			case 400:
				cut(false)
			}
			prefix := "near"
			if i >= 130 {
				prefix = "later"
			}
			s.submit(ctx, "check", fmt.Sprintf("%s%03d", prefix, i), 2, 100*time.Millisecond, 10*time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		near, _ := s.countAnswers("near")
		later, inTime := s.countAnswers("later")
		if near[coordinator.Complete] != 130 || later[coordinator.Complete] != 470 {
			t.Errorf("jobs ended as %v and %v, want all complete", near, later)
		}
		if inTime < 423 {
			t.Errorf("%d of 470 jobs after the cut were in time, want at least 9 of 10", inTime)
		}
	})
}
