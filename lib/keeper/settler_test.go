package keeper_test

import (
	"fmt"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
)

// submitBeforeKill submits jobs whose first tasks end just after entry-1 is killed, while their
// second step keeps the jobs open.
func (c *cluster) submitBeforeKill(jobs int) []string {
	c.fleet.SetRunTime(func(string) time.Duration { return 900 * time.Millisecond })
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		if s := c.alive()[0].submit(id, 4); s != coordinator.Accepted {
			c.t.Fatalf("submitted job: state %v, want accepted", s)
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	c.kill("entry-1")
	return ids
}

// Guards against TWICE: an upstream drops the end of a dead entry's run before the takeover of
// the job, which comes late because the store is down.
func TestEndsWaitForLateTakeover(t *testing.T) {
	for _, down := range []time.Duration{4 * time.Second, 10 * time.Second, 60 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 13, 3, 12)
				defer c.stop()
				ids := c.submitBeforeKill(4)
				time.Sleep(7 * time.Second)
				c.store.setDown(true)
				time.Sleep(down)
				c.store.setDown(false)
				c.checkJobs(ids, nil, 30*time.Second)
				c.checkStarts(ids, 4)
			})
		})
	}
}

// Guards against TWICE: the takeover of a job comes late because one entry after the other is
// lost before it writes the record.
func TestEndsWaitForTakeoverBySecondEntry(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 14, 5, 12)
		defer c.stop()
		ids := c.submitBeforeKill(4)
		time.Sleep(7 * time.Second)
		c.store.setDown(true)
		for _, name := range []string{"entry-2", "entry-3"} {
			time.Sleep(3 * time.Second)
			c.kill(name)
		}
		time.Sleep(3 * time.Second)
		c.store.setDown(false)
		c.checkJobs(ids, nil, 40*time.Second)
		c.checkStarts(ids, 4)
	})
}

// checkStarts checks that each task of the first step was started once.
func (c *cluster) checkStarts(ids []string, tasks int) {
	c.t.Helper()
	for _, id := range ids {
		for i := range tasks {
			if n := c.fleet.Starts(fmt.Sprintf("%s.0.0.%d", id, i)); n != 1 {
				c.t.Errorf("task %d of %s was started %d times, want 1", i, id, n)
			}
		}
	}
}
