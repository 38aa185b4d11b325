package coordinator_test

import (
	"context"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/delegator/codec"
	"radishweir.org/lib/wire"
)

// Guards against callers that wait for jobs of an entry that stops, and against runs that
// outlast it.
func TestOpenJobsEndBeforeStop(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 1)
		s.fleet.RunTime = func(string) time.Duration { return 10 * time.Second }
		s.submit(ctx, "check", "begun", 2, 10*time.Second, 30*time.Second)
		time.Sleep(50 * time.Millisecond)
		waiting := linkedJob("waiting")
		waiting.Due, waiting.Deadline = waiting.Arrived.Add(5*time.Minute), waiting.Arrived.Add(5*time.Minute)
		got := make(chan coordinator.Answer, 1)
		go func() { got <- s.Submit(ctx, waiting) }()
		time.Sleep(50 * time.Millisecond)
		s.StopAt(time.Now().Add(time.Second))
		time.Sleep(900 * time.Millisecond)
		if open, _ := s.Counts(); open == 0 || s.fleet.Running() != 2 {
			t.Errorf("%d jobs are open and %d tasks run before the stop, want at least 1 and 2", open, s.fleet.Running())
		}
		time.Sleep(110 * time.Millisecond)
		if a := s.answerOf(t, "begun"); a.state != coordinator.Expired || s.fleet.Running() != 0 {
			t.Errorf("the job that has begun ended as %v, and %d tasks run; want expired and none", a.state, s.fleet.Running())
		}
		if a := answerNow(got); a.State != coordinator.Refused || a.RetryAfter <= 0 || a.RetryAfter > 3*time.Second || s.fleet.Starts("waiting.0.0.0") != 0 {
			t.Errorf("the job that has not begun ended as %v, retry after %v, with %d starts", a.State, a.RetryAfter, s.fleet.Starts("waiting.0.0.0"))
		}
	})
}

// Guards against a job that begins although this entry stops before its end, and against the
// refusal of one that can still be served.
func TestJobThatWouldOutlastTheStopDoesNotBegin(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		s.StopAt(time.Now().Add(500 * time.Millisecond))
		s.submit(ctx, "check", "long", 1, time.Second, 30*time.Second)
		s.submit(ctx, "check", "short", 1, 100*time.Millisecond, 30*time.Second)
		time.Sleep(499 * time.Millisecond)
		if a := s.answerOf(t, "long"); a.state != coordinator.Refused || a.after > 0 || s.fleet.Starts("long.0.0.0") != 0 {
			t.Errorf("the long job ended as %v after %v with %d starts", a.state, a.after, s.fleet.Starts("long.0.0.0"))
		}
		if a := s.answerOf(t, "short"); a.state != coordinator.Complete {
			t.Errorf("the short job ended as %v", a.state)
		}
		time.Sleep(time.Millisecond)
		s.submit(ctx, "check", "late", 1, time.Millisecond, 30*time.Second)
		time.Sleep(time.Millisecond)
		if a := s.answerOf(t, "late"); a.state != coordinator.Refused || s.fleet.Starts("late.0.0.0") != 0 {
			t.Errorf("the job after the stop ended as %v with %d starts", a.state, s.fleet.Starts("late.0.0.0"))
		}
	})
}

// Guards against a kept job that is stopped by the entry that hands it over.
func TestKeptJobGoesOnAtStop(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newLinkedEntry(ctx, true, 16000)
		kept := linkedJob("kept")
		kept.Holder, kept.Deadline = "entry-1@1", time.Time{}
		s.SubmitKept(kept)
		s.StopAt(time.Now())
		time.Sleep(time.Second)
		if open, _ := s.Counts(); open != 1 || len(s.runRequests()) != 1 {
			t.Errorf("%d jobs are open with %d run requests, want the kept one that runs", open, len(s.runRequests()))
		}
	})
}

// Guards against a caller that waits for a peer when this entry stops, and against a peer
// that goes on with a job for which nobody waits.
func TestDelegatedJobEndsBeforeStop(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newLinkedEntry(ctx, true, 0)
		got := s.begin(ctx, linkedJob("a"))
		s.StopAt(time.Now().Add(100 * time.Millisecond))
		time.Sleep(101 * time.Millisecond)
		_, numbers, cancelled := s.delegated("a")
		if a := answerNow(got); a.State != coordinator.Expired || len(numbers) != 1 || len(cancelled) != 1 {
			t.Errorf("ended as %v, delegated as %v, cancelled as %v", a.State, numbers, cancelled)
		}
	})
}

// Guards against a job that is lost with the peer that it waits at: it goes on at the entry
// of its caller when the peer stops.
func TestJobThatWaitsAtStoppingPeerGoesOnHere(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s, peer := newLinkedEntry(ctx, true, 0), newTestEntry(ctx, 1)
		peer.fleet.RunTime = func(string) time.Duration { return 10 * time.Second }
		peer.submit(ctx, "check", "long", 2, 10*time.Second, 30*time.Second)
		time.Sleep(20 * time.Millisecond)
		s.tellLoads()
		s.mu.Lock()
		s.sent = func(name string, m *wire.DelegatedJob) {
			j, err := codec.JobFromWire(m, time.Now())
			if err != nil {
				t.Error(err)
			}
			j.Delegated = true
			s.DelegateAnswered(name, j.ID, m.GetNumber(), peer.Submit(ctx, j))
		}
		s.mu.Unlock()
		got := s.begin(ctx, linkedJob("a"))
		if _, numbers, _ := s.delegated("a"); len(numbers) != 1 {
			t.Fatalf("%d delegations, want 1", len(numbers))
		}
		s.setFree(16000)
		peer.StopAt(time.Now().Add(50 * time.Millisecond))
		time.Sleep(60 * time.Millisecond)
		if len(s.runRequests()) != 1 || answerNow(got).State != 0 {
			t.Errorf("%d run requests, want 1; ended as %v", len(s.runRequests()), answerNow(got).State)
		}
	})
}
