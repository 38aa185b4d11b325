package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
)

// twoDomains is an entry that owns the upstreams of domain-0 and domain-1, one of which
// may be evacuated.
type twoDomains struct {
	*testEntry
	list []runner.Upstream

	mu     sync.Mutex
	starts map[string]int
}

// newTwoDomains starts an entry that owns n upstreams in each of two failure domains.
func newTwoDomains(ctx context.Context, n int) *twoDomains {
	s := &twoDomains{testEntry: newTestEntry(ctx, 2*n), starts: make(map[string]int)}
	s.list = s.fleet.List()
	domains := make(map[string]string)
	for i := range s.list {
		s.list[i].Domain = fmt.Sprintf("domain-%d", i%2)
		domains[s.list[i].Name] = s.list[i].Domain
	}
	s.fleet.SetFault(func(op simulator.Operation, upstream string) simulator.Fault {
		if op == simulator.Start {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.starts[domains[upstream]]++
		}
		return simulator.None
	})
	s.SetUpstreams(s.list)
	s.runner.SetOwned(ctx, 1, s.list)
	time.Sleep(50 * time.Millisecond)
	return s
}

// evacuate evacuates a failure domain; an empty name ends that.
func (s *twoDomains) evacuate(domain string) {
	s.evacuated.Store(domain)
	s.EvacuationChanged()
	s.runner.EvacuationChanged()
}

// startsIn returns the number of starts in a failure domain so far.
func (s *twoDomains) startsIn(domain string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[domain]
}

// Runs on an evacuated failure domain end by themselves, new ones start elsewhere, and
// the failure domain is used again after the evacuation.
func TestNoStartsOnEvacuatedDomain(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTwoDomains(ctx, 4)
		s.submit(ctx, "check", "before", 16, 400*time.Millisecond, 3*time.Second)
		time.Sleep(100 * time.Millisecond)
		s.evacuate("domain-1")
		before := s.startsIn("domain-1")
		time.Sleep(500 * time.Millisecond)
		s.submit(ctx, "check", "during", 8, 400*time.Millisecond, 3*time.Second)
		time.Sleep(2 * time.Second)
		for _, id := range []string{"before", "during"} {
			if a := s.answerOf(t, id); a.state != coordinator.Complete {
				t.Errorf("job %s ended as %v", id, a.state)
			}
		}
		if before == 0 || s.startsIn("domain-1") != before {
			t.Errorf("%d starts on the failure domain before its evacuation, %d more during it", before, s.startsIn("domain-1")-before)
		}
		s.evacuate("")
		s.submit(ctx, "check", "after", 16, 100*time.Millisecond, 3*time.Second)
		time.Sleep(time.Second)
		if s.startsIn("domain-1") == before {
			t.Error("no run started on the failure domain after its evacuation")
		}
	})
}

// A job for which only evacuated upstreams are large enough is refused at once instead of
// waiting until it is too late.
func TestJobThatFitsOnlyEvacuatedUpstreamsIsRefused(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTwoDomains(ctx, 1)
		s.list[1].Capacity.CPU = need.CPU - 1
		s.SetUpstreams(s.list)
		s.evacuate("domain-0")
		s.submit(ctx, "check", "a", 1, 100*time.Millisecond, 3*time.Second)
		time.Sleep(10 * time.Millisecond)
		if a := s.answerOf(t, "a"); a.state != coordinator.Refused {
			t.Errorf("the job ended as %v, want refused", a.state)
		}
	})
}
