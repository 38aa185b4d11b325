package keeper_test

import (
	"fmt"
	"sync"
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

// Guards against UNASKED: the holder of cancelled jobs cannot read their records, so that tasks
// at work, queued or waiting for a step go on.
func TestCancellationReachesHolderWithoutTheStore(t *testing.T) {
	for _, jobs := range []int{4, 20, 60} {
		t.Run(fmt.Sprintf("%d jobs", jobs), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 16, 3, 6)
				defer c.stop()
				holder := c.alive()[0]
				// Of 20 or 60 jobs most wait, as 12 tasks fill the upstreams.
				ids := c.submitChains(holder, jobs)
				holder.parted.Store(true)
				time.Sleep(200 * time.Millisecond)
				c.cancelAll(c.alive()[1], ids)
				time.Sleep(100 * time.Millisecond)
				c.checkNoStartsFor(ids, 7*time.Second)
				holder.parted.Store(false)
				c.checkNoStartsFor(ids, 10*time.Second)
			})
		})
	}
}

// Guards against UNASKED: the entry that cancelled the jobs cannot reach their holder, which
// cannot read their records, and goes on asking the owners of the upstreams for runs.
func TestCancellationReachesHolderThroughOtherEntries(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 17, 4, 12)
		defer c.stop()
		nodes := c.alive()
		ids := c.submitChains(nodes[0], 8)
		nodes[0].parted.Store(true)
		c.cutPair("entry-1", "entry-2", true)
		c.cancelAll(nodes[1], ids)
		time.Sleep(time.Second)
		c.checkNoStartsFor(ids, 6*time.Second)
	})
}

// Guards against UNASKED: the holder of cancelled jobs is out of touch with everything but the
// upstreams, and back in touch with the others before it can read the records. The entry that
// cancelled the jobs is gone by then.
func TestCancellationReachesHolderThatIsBackLate(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 18, 4, 12)
		defer c.stop()
		nodes := c.alive()
		ids := c.submitChains(nodes[0], 8)
		nodes[0].parted.Store(true)
		for _, n := range nodes[1:] {
			c.cutPair("entry-1", n.name, true)
		}
		c.cancelAll(nodes[1], ids)
		time.Sleep(time.Second)
		c.kill("entry-2")
		time.Sleep(time.Second)
		for _, n := range nodes[1:] {
			c.cutPair("entry-1", n.name, false)
		}
		time.Sleep(200 * time.Millisecond)
		c.checkNoStartsFor(ids, 5*time.Second)
	})
}

// Guards against UNASKED: the holder's entry has restarted and knows nothing of the jobs, so that
// no takeover comes and the owners of the upstreams must stop them.
func TestCancelledJobsOfRestartedHolderStop(t *testing.T) {
	for _, by := range []int{0, 1} {
		t.Run(fmt.Sprintf("cancelled at entry %d", by+1), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 21, 3, 50)
				defer c.stop()
				ids := c.submitLong(c.alive()[0], 60)
				c.kill("entry-1")
				c.start("entry-1")
				time.Sleep(100 * time.Millisecond)
				var calls sync.WaitGroup
				for _, id := range ids {
					calls.Go(func() { c.cancelAll(c.alive()[by], []string{id}) })
				}
				calls.Wait()
				// All entries are told after 0.3 s, also of more jobs than the owners can verify.
				time.Sleep(time.Second)
				if n := c.fleet.Running(); n > 0 {
					t.Errorf("%d runs of cancelled jobs left after 1 s", n)
				}
			})
		})
	}
}

// Guards against UNASKED: the connection over which the holder was told breaks, again and again.
func TestCancellationIsSentAgainAfterBrokenConnections(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 19, 2, 12)
		defer c.stop()
		nodes := c.alive()
		ids := c.submitChains(nodes[0], 4)
		nodes[0].parted.Store(true)
		nodes[1].losesNotices.Store(true)
		c.cancelAll(nodes[1], ids)
		for range 3 {
			time.Sleep(200 * time.Millisecond)
			nodes[1].keeper.ResendTo("entry-1")
		}
		nodes[1].losesNotices.Store(false)
		nodes[1].keeper.ResendTo("entry-1")
		time.Sleep(200 * time.Millisecond)
		c.checkNoStartsFor(ids, 5*time.Second)
	})
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
