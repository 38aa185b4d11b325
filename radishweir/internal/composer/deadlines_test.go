package composer

import (
	"testing"
	"time"
)

// Guards against a drain whose early steps use up the time of the later ones.
func TestDrainDeadlinesLeaveTimeForEachStep(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ limit, wait, balancer, jobs, work time.Duration }{
		{5500, 2500, 2500, 5000, 5250},
		{5500, 6000, 5000, 5000, 5250},
		{1000, 0, 0, 500, 750},
		{400, 300, 200, 200, 300},
	} {
		d := newDrainDeadlines(now, c.limit*time.Millisecond, c.wait*time.Millisecond)
		for name, got := range map[string][2]time.Duration{
			"balancer": {d.balancer.Sub(now), c.balancer}, "jobs": {d.jobs.Sub(now), c.jobs}, "work": {d.work.Sub(now), c.work}, "limit": {d.limit.Sub(now), c.limit},
		} {
			if got[0] != got[1]*time.Millisecond {
				t.Errorf("limit %d ms, wait %d ms: %s after %v, want %d ms", c.limit, c.wait, name, got[0], got[1])
			}
		}
	}
}
