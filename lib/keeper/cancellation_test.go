package keeper_test

import (
	"fmt"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
)

// chainSteps is the number of steps of the jobs of submitChains.
const chainSteps = 8

// submitChains submits n jobs to an entry, of steps of one task of a second each that follow one
// another.
func (c *cluster) submitChains(entry *node, n int) []string {
	c.t.Helper()
	c.fleet.SetRunTime(func(string) time.Duration { return time.Second })
	var ids []string
	for i := range n {
		j := job(fmt.Sprintf("j%d", i), 1)
		j.Steps = nil
		for s := range chainSteps {
			step := coordinator.Step{Tasks: 1, Need: need, Expected: time.Second}
			if s > 0 {
				step.After = []int{s - 1}
			}
			j.Steps = append(j.Steps, step)
		}
		j.Due = j.Arrived.Add(30 * time.Second)
		if a := entry.keeper.Submit(c.t.Context(), j); a.State != coordinator.Accepted {
			c.t.Fatalf("submitted job: state %v, want accepted", a.State)
		}
		ids = append(ids, j.ID)
	}
	return ids
}

// countStarts returns the number of starts of the tasks of such jobs.
func (c *cluster) countStarts(ids []string) int {
	n := 0
	for _, id := range ids {
		for s := range chainSteps {
			n += c.fleet.Starts(fmt.Sprintf("%s.0.%d.0", id, s))
		}
	}
	return n
}

// checkNoStartsFor fails the test if a task of the jobs starts within a time, or is left after it.
func (c *cluster) checkNoStartsFor(ids []string, d time.Duration) {
	c.t.Helper()
	before := c.countStarts(ids)
	time.Sleep(d)
	if n := c.countStarts(ids) - before; n > 0 {
		c.t.Errorf("%d starts of cancelled jobs", n)
	}
	if n := c.fleet.Running(); n > 0 {
		c.t.Errorf("%d runs of cancelled jobs left", n)
	}
}

// Guards against MIXED and records that stay for good: the answer to a write of the holder that
// came before the cancellation arrives after the notice of it.
func TestLateAnswerDoesNotRevokeCancellation(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("first write %v", first), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 20, 2, 12)
				defer c.stop()
				nodes := c.alive()
				ids := []string{"j0"}
				c.store.setAnswersLate(500 * time.Millisecond)
				if first {
					go c.submitChains(nodes[0], 1)
					time.Sleep(100 * time.Millisecond)
				} else {
					c.store.setAnswersLate(0)
					c.submitChains(nodes[0], 1)
					c.store.setAnswersLate(500 * time.Millisecond)
					// The end of the first task is written.
					time.Sleep(1200 * time.Millisecond)
				}
				c.store.setAnswersLate(0)
				c.cancelAll(nodes[1], ids)
				time.Sleep(2 * time.Second)
				for _, n := range nodes {
					if state, err := n.keeper.State(t.Context(), ids[0]); state != "cancelled" || err != nil {
						t.Errorf("%s: state %q, %v, want cancelled", n.name, state, err)
					}
				}
				c.checkNoStartsFor(ids, time.Second)
				time.Sleep(4 * time.Minute)
				if kv, err := c.store.Get(t.Context(), recordKey(ids[0])); err != nil || kv.Revision != 0 {
					t.Errorf("record of revision %d, %v, 4 minutes after the cancellation, want none", kv.Revision, err)
				}
			})
		})
	}
}
