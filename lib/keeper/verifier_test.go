package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
)

// cancelTime is the time in which the tasks of a cancelled job must end.
const cancelTime = 3 * time.Second

// submitLong submits n jobs with a task of ten seconds to an entry and returns their names.
func (c *cluster) submitLong(entry *node, n int) []string {
	c.t.Helper()
	before := c.fleet.Running()
	c.fleet.SetRunTime(func(string) time.Duration { return 10 * time.Second })
	var ids []string
	for i := range n {
		id := fmt.Sprintf("%s-%d", entry.name, i)
		if s := entry.submit(id, 1); s != coordinator.Accepted {
			c.t.Fatalf("submitted job: state %v, want accepted", s)
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	if got := c.fleet.Running() - before; got != n {
		c.t.Fatalf("%d runs, want %d", got, n)
	}
	return ids
}

// cancelAll cancels jobs at an entry, and fails the test if any is not acknowledged.
func (c *cluster) cancelAll(entry *node, ids []string) {
	c.t.Helper()
	for _, id := range ids {
		if ok, err := entry.keeper.Cancel(c.t.Context(), id); !ok || err != nil {
			c.t.Fatalf("cancelled=%v, %v", ok, err)
		}
	}
}

// checkStopped fails the test if after cancelTime other than the given number of runs are
// left.
func (c *cluster) checkStopped(want int) {
	c.t.Helper()
	time.Sleep(cancelTime)
	if n := c.fleet.Running(); n != want {
		c.t.Errorf("%d runs left %v after the cancellations, want %d", n, cancelTime, want)
	}
}

// Guards against cancelled jobs that run on: the caller leaves before the answer to the
// write comes, and its next attempt finds the job cancelled already.
func TestCancellationWithLateAnswerStopsTheJob(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 3, 6)
		defer c.stop()
		ids := c.submitLong(c.alive()[0], 1)
		c.store.setAnswersLate(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if ok, _ := c.alive()[1].keeper.Cancel(ctx, ids[0]); ok {
			t.Error("the cancellation is acknowledged before the store has answered")
		}
		c.store.setAnswersLate(0)
		c.cancelAll(c.alive()[2], ids)
		time.Sleep(100 * time.Millisecond)
		if n := c.fleet.Running(); n != 0 {
			t.Errorf("%d runs left 100 ms after the cancellation", n)
		}
	})
}

// The caller of a cancellation leaves before the answer to the write comes, and does not
// try again.
func TestCancellationOfCallerThatLeftStopsTheJob(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 3, 6)
		defer c.stop()
		c.submitLong(c.alive()[0], 1)
		c.store.setAnswersLate(200 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if ok, _ := c.alive()[1].keeper.Cancel(ctx, "entry-1-0"); ok {
			t.Error("the cancellation is acknowledged before the store has answered")
		}
		time.Sleep(300 * time.Millisecond)
		if n := c.fleet.Running(); n != 0 {
			t.Errorf("%d runs left 200 ms after the write was answered", n)
		}
	})
}

// Guards against cancelled jobs that run on: the notice to the holder is lost.
func TestLostNoticeOfCancellation(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 3, 6)
		defer c.stop()
		ids := c.submitLong(c.alive()[0], 4)
		c.alive()[1].losesNotices.Store(true)
		c.cancelAll(c.alive()[1], ids)
		c.checkStopped(0)
	})
}

// Guards against cancelled jobs that run on: their holder is dead, and no open record
// leads to a takeover that would stop their runs.
func TestCancelledJobsOfDeadHolderStop(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 3, 6)
		defer c.stop()
		ids := c.submitLong(c.alive()[0], 8)
		c.kill("entry-1")
		time.Sleep(time.Second)
		c.cancelAll(c.alive()[0], ids)
		c.checkStopped(0)
	})
}

// Guards against cancelled jobs that run on: open jobs must not take all reads.
func TestCancelledJobsOfDeadHolderStopBesideManyOpenJobs(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, 50)
		defer c.stop()
		// These fill the upstreams of their own entry and some of the other one.
		ids := c.submitLong(c.alive()[0], 60)
		busy := c.alive()[1]
		c.submitLong(busy, 40)
		c.kill("entry-1")
		time.Sleep(500 * time.Millisecond)
		c.cancelAll(busy, ids)
		c.checkStopped(40)
	})
}
