package coordinator_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/runner"
)

// A run must be followed up if its upstream vanishes from the list and is listed again
// while no entry comes or goes, so that its owner takes it again with the same token.
func TestRunAtUpstreamListedAgainIsFollowedUp(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		s.fleet.SetRunTime(func(string) time.Duration { return 4 * time.Second })
		s.submit(ctx, "submission", "a", 1, 4*time.Second, 20*time.Second)
		time.Sleep(500 * time.Millisecond)
		set := func(list []runner.Upstream) {
			s.runner.SetOwned(ctx, 1, list)
			s.SetUpstreams(list)
			s.UpdateStates("entry-1", true, s.runner.States())
		}
		all := s.fleet.List()
		set(slices.DeleteFunc(s.fleet.List(), func(u runner.Upstream) bool { return s.runner.State(u.Name).GetFree().GetCpu() < 16000 }))
		time.Sleep(2 * time.Second)
		set(all)
		time.Sleep(15 * time.Second)
		if a := s.answerOf(t, "a"); a.state != coordinator.Complete || a.after > 10*time.Second {
			t.Errorf("the job is %v after %v, want complete within 10 s", a.state, a.after)
		}
	})
}
