package keeper_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/divider"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/simulator"
)

var seeds = flag.Int("seeds", 12, "number of random histories in TestRandomHistories")

// job returns a job of two steps: the given number of tasks, then a single one.
func job(id string, tasks int) coordinator.Job {
	now := time.Now()
	step := coordinator.Step{Tasks: tasks, Need: need, Expected: 100 * time.Millisecond}
	last := step
	last.Tasks, last.After = 1, []int{0}
	return coordinator.Job{
		ID: id, Kind: "check", Service: "claims", Steps: []coordinator.Step{step, last},
		Arrived: now, Due: now.Add(time.Second), Deadline: now.Add(3 * time.Second), MaxFailures: 3,
	}
}

// submit submits a job to an entry and returns the state that it answers. The
// answer of an entry that is killed meanwhile means nothing.
func (n *node) submit(id string, tasks int) coordinator.State {
	ctx, cancel := context.WithTimeout(n.ctx, 3*time.Second)
	defer cancel()
	return n.keeper.Submit(ctx, job(id, tasks)).State
}

// withFakeTime runs a test in a synctest bubble, that is, in fake time.
func withFakeTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		// Lets timers and retries end before the bubble does.
		time.Sleep(3 * time.Minute)
	})
}

// stop ends all entries.
func (c *cluster) stop() {
	for _, n := range c.alive() {
		n.cancel()
	}
}

// checkJobs waits until the accepted jobs have ended, and fails the test for jobs
// that have not and for violations of the upstreams' rules.
func (c *cluster) checkJobs(accepted []string, cancelled map[string]bool, timeout time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	lastStates := make(map[string]string)
	open := slices.Clone(accepted)
	for len(open) > 0 && time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		nodes := slices.DeleteFunc(c.alive(), func(n *node) bool { return c.isIsolated(n.name) })
		open = slices.DeleteFunc(open, func(id string) bool {
			state, err := nodes[len(lastStates)%len(nodes)].keeper.State(c.t.Context(), id)
			lastStates[id] = fmt.Sprintf("%s %v", state, err)
			return state == "complete" || (state == "cancelled" && cancelled[id])
		})
	}
	for _, id := range open {
		c.t.Errorf("accepted job %s: last state %s, want complete, or cancelled after a cancellation", id, lastStates[id])
	}
	for _, v := range c.fleet.Violations() {
		c.t.Error(v)
	}
}

// An accepted job must be in the store, and every entry must return its state.
func TestKeptJob(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 6)
		defer c.stop()
		if s := c.alive()[0].submit("a", 3); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		if kv, err := c.store.Get(t.Context(), recordKey("a")); err != nil || kv.Revision == 0 {
			t.Error("the accepted job is not in the store")
		}
		for _, n := range c.alive() {
			if state, err := n.keeper.State(t.Context(), "a"); err != nil || state == "" {
				t.Errorf("%s: state %q, %v; want a state", n.name, state, err)
			}
			if state, err := n.keeper.State(t.Context(), "b"); err != nil || state != "" {
				t.Errorf("%s: state %q, %v for a job that was never submitted; want none", n.name, state, err)
			}
		}
		c.checkJobs([]string{"a"}, nil, 2*time.Second)
		for i := range 3 {
			if n := c.fleet.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times, want 1", i, n)
			}
		}
	})
}

// A job submitted to several entries at once, and again after its end, must run
// only once.
func TestSameJobAtSeveralEntries(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 3, 6)
		defer c.stop()
		var submissions sync.WaitGroup
		for _, n := range c.alive() {
			submissions.Go(func() {
				if s := n.submit("a", 2); s != coordinator.Accepted {
					t.Errorf("%s: state %v, want accepted", n.name, s)
				}
			})
		}
		submissions.Wait()
		c.checkJobs([]string{"a"}, nil, 2*time.Second)
		for _, n := range c.alive() {
			if s := n.submit("a", 2); s != coordinator.Accepted {
				t.Errorf("%s: state %v after the end, want accepted", n.name, s)
			}
		}
		time.Sleep(time.Second)
		for i := range 2 {
			if n := c.fleet.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times, want 1", i, n)
			}
		}
	})
}

// A start is carried out between the poll that does not list its run and the stop.
func TestTaskStartsAgainAfterStopOfUnansweredStart(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 3, 6)
		defer c.stop()
		var orders atomic.Int32
		c.fleet.SetFault(func(op simulator.Operation, _ string) simulator.Fault {
			if op == simulator.Start && orders.Add(1) <= 2 {
				time.Sleep(21 * time.Millisecond)
			}
			return simulator.None
		})
		var got []string
		c.fleet.SetObserve(func(e simulator.Event) {
			if e.Task == "a.0.0.0" && (e.What == "start" || e.What == "end") {
				got = append(got, strings.TrimSpace(e.What+" "+e.Result))
			}
		})
		var submissions sync.WaitGroup
		for _, n := range c.alive() {
			submissions.Go(func() { n.submit("a", 1) })
		}
		submissions.Wait()
		c.checkJobs([]string{"a"}, nil, 2*time.Second)
		if want := []string{"start", "end stopped", "start", "end stopped", "start", "end done"}; !slices.Equal(got, want) {
			t.Errorf("the events are %v, want %v", got, want)
		}
	})
}

// A refused job must not have been stored, so that it never runs.
func TestRefusedWhileTheStoreIsDown(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 4)
		defer c.stop()
		c.alive()[0].submit("a", 1)
		c.store.setDown(true)
		if s := c.alive()[0].submit("b", 1); s != coordinator.Refused {
			t.Errorf("state %v while the store is down, want refused", s)
		}
		c.store.setDown(false)
		time.Sleep(time.Second)
		if n := c.fleet.Starts("b.0.0.0"); n != 0 {
			t.Errorf("refused job started %d times", n)
		}
	})
}

// Guards against jobs that run although the answer to a later attempt was that they never will.
func TestStoredJobIsNotRefusedWhileWritesAreRejected(t *testing.T) {
	for name, hasHolder := range map[string]bool{"with a holder": true, "without a holder": false} {
		t.Run(name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2, 4)
				defer c.stop()
				c.alive()[0].submit("a", 1)
				n := c.alive()[1]
				if hasHolder {
					n.submit("b", 1)
				}
				c.store.setRejectsWrites(true)
				if s := n.submit("a", 1); s != coordinator.Accepted {
					t.Errorf("state %v of a stored job, want accepted", s)
				}
				if s := n.submit("c", 1); s != coordinator.Refused {
					t.Errorf("state %v of a job that cannot be stored, want refused", s)
				}
				c.store.setRejectsWrites(false)
				c.checkJobs([]string{"a"}, nil, 2*time.Second)
				if n := c.fleet.Starts("c.0.0.0"); n != 0 {
					t.Errorf("refused job started %d times", n)
				}
			})
		})
	}
}

// The runs of a cancelled job must stop soon, whichever entry gets the cancellation.
func TestCancel(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 3, 6)
		defer c.stop()
		c.fleet.SetRunTime(func(string) time.Duration { return 5 * time.Second })
		c.alive()[0].submit("a", 3)
		time.Sleep(200 * time.Millisecond)
		if ok, err := c.alive()[2].keeper.Cancel(t.Context(), "a"); !ok || err != nil {
			t.Fatalf("cancelled=%v, %v", ok, err)
		}
		time.Sleep(200 * time.Millisecond)
		if n := c.fleet.Running(); n != 0 {
			t.Errorf("%d runs left 200 ms after the cancellation", n)
		}
		if ok, _ := c.alive()[1].keeper.Cancel(t.Context(), "b"); ok {
			t.Error("cancelled a job that does not exist")
		}
		if state, _ := c.alive()[1].keeper.State(t.Context(), "a"); state != "cancelled" {
			t.Errorf("state %q, want cancelled", state)
		}
	})
}

// A successful cancellation must stop the job's runs, at whatever time around the
// acceptance it arrives.
func TestCancelAtAnyMoment(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 6, 3, 6)
		defer c.stop()
		c.fleet.SetRunTime(func(string) time.Duration { return time.Second })
		cancelled := 0
		for i := range 120 {
			id := fmt.Sprintf("j%d", i)
			var submission sync.WaitGroup
			submission.Go(func() { c.alive()[0].submit(id, 1) })
			time.Sleep(time.Duration(i) * 250 * time.Microsecond)
			ok, err := c.alive()[2].keeper.Cancel(t.Context(), id)
			submission.Wait()
			time.Sleep(100 * time.Millisecond)
			if n := c.fleet.Running(); ok && err == nil && n > 0 {
				t.Errorf("%d runs left after a cancellation %v after the submission", n, time.Duration(i)*250*time.Microsecond)
			}
			if ok {
				cancelled++
			} else {
				time.Sleep(2500 * time.Millisecond)
			}
		}
		if cancelled < 40 {
			t.Errorf("%d of 120 jobs cancelled, want at least 40", cancelled)
		}
	})
}

// The jobs of a killed entry must be taken over without repeating tasks that were
// done.
func TestTakeover(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6)
		defer c.stop()
		c.fleet.SetRunTime(func(task string) time.Duration {
			if task == "a.0.0.0" {
				return 100 * time.Millisecond
			}
			return 3 * time.Second
		})
		c.alive()[0].submit("a", 3)
		time.Sleep(500 * time.Millisecond)
		c.kill("entry-1")
		c.checkJobs([]string{"a"}, nil, 30*time.Second)
		if n := c.fleet.Starts("a.0.0.0"); n != 1 {
			t.Errorf("done task started %d times, want 1", n)
		}
	})
}

// Every accepted job must end, and no task may start after its end was
// acknowledged, despite random kills of one or all entries, store outages, lost
// answers of the store, and failed or delayed orders to upstreams.
func TestRandomHistories(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) { randomHistory(t, uint64(seed)) })
		})
	}
}

// randomHistory submits and cancels jobs while it injects random faults, and checks
// how the jobs end.
func randomHistory(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 4, 8)
	defer c.stop()
	var mu sync.Mutex
	var accepted []string
	cancelled := make(map[string]bool)
	faultState := c.rng.IntN(1000)
	c.fleet.SetFault(func(simulator.Operation, string) simulator.Fault {
		mu.Lock()
		defer mu.Unlock()
		if faultState = (faultState*1103515245 + 12345) & 0x7fffffff; faultState%50 == 0 {
			return simulator.Fault(1 + faultState/50%3)
		}
		return simulator.None
	})
	var submissions sync.WaitGroup
	for i := range 300 {
		time.Sleep(time.Duration(c.rng.IntN(120)) * time.Millisecond)
		nodes := c.alive()
		if len(nodes) == 0 {
			continue
		}
		n, tasks, cancel := nodes[c.rng.IntN(len(nodes))], 1+c.rng.IntN(3), c.rng.IntN(12) == 0
		id := fmt.Sprintf("j%03d", i)
		submissions.Go(func() {
			if n.submit(id, tasks) != coordinator.Accepted || n.ctx.Err() != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, id)
			cancelled[id] = cancel
			mu.Unlock()
			if cancel {
				_, _ = n.keeper.Cancel(n.ctx, id)
			}
		})
		switch c.rng.IntN(60) {
		case 0, 1:
			c.restart(n.name)
		case 2:
			for _, n := range c.alive() {
				c.restart(n.name)
			}
		case 3, 4:
			c.store.setDown(true)
			time.AfterFunc(time.Duration(c.rng.IntN(3000))*time.Millisecond, func() { c.store.setDown(false) })
		}
	}
	submissions.Wait()
	time.Sleep(4 * time.Second)
	c.fleet.SetFault(nil)
	c.checkJobs(accepted, cancelled, time.Minute)
	if len(accepted) < 20 {
		t.Errorf("%d of 300 jobs accepted, want at least 20", len(accepted))
	}
}

// restart kills an entry and starts it again after a random pause.
func (c *cluster) restart(name string) {
	if c.incarnationOf(name) == "" {
		return
	}
	c.kill(name)
	pause := time.Duration(c.rng.IntN(4000)) * time.Millisecond
	time.AfterFunc(pause, func() {
		if c.incarnationOf(name) == "" && c.t.Context().Err() == nil {
			c.start(name)
		}
	})
}

// Guards against tasks that run twice at the same time: an entry leaves during a takeover, and
// the other entries had answered for the upstreams that they owned before.
func TestTakeoverCoversUpstreamsOfEntryThatLeaves(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 4, 8)
		defer c.stop()
		c.fleet.SetRunTime(func(string) time.Duration { return 5 * time.Second })
		first := c.alive()[0]
		if s := first.submit("a", 8); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		time.Sleep(300 * time.Millisecond)
		var members []divider.Member
		for _, n := range c.alive() {
			members = append(members, divider.Member{Name: n.name})
		}
		claimant, _ := divider.Owner(first.Holder(), "", members)
		for _, n := range c.alive()[1:] {
			if n.name != claimant && n.runner.RunCount() > 0 {
				c.isolate(n.name)
				break
			}
		}
		c.kill("entry-1")
		time.Sleep(200 * time.Millisecond)
		c.start("entry-1")
		c.checkJobs([]string{"a"}, nil, 30*time.Second)
	})
}

// Guards against accepted jobs that nobody runs: a notice that comes while the takeover of its
// job is being written finds the record of the former holder.
func TestNoticeDuringTakeoverKeepsTheJob(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 3, 30)
		defer c.stop()
		// The write of a takeover waits for those of other jobs.
		c.interval = 300 * time.Millisecond
		c.fleet.SetRunTime(func(task string) time.Duration {
			if len(task) == len("a.0.0.0") {
				return 3 * time.Second
			}
			return 50 * time.Millisecond
		})
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			if s := c.alive()[0].submit(id, 2); s != coordinator.Accepted {
				t.Fatalf("submitted job: state %v, want accepted", s)
			}
		}
		time.Sleep(300 * time.Millisecond)
		c.kill("entry-1")
		c.start("entry-1")
		for i := range 500 {
			for _, n := range c.alive() {
				for _, id := range ids {
					n.keeper.Reload(id)
				}
				if i%10 == 0 {
					go n.submit(fmt.Sprintf("other-%s-%d", n.name, i), 1)
				}
			}
			time.Sleep(7 * time.Millisecond)
		}
		c.checkJobs(ids, nil, 20*time.Second)
	})
}

// A notice that comes while the first record of a job is being written finds none.
func TestNoticeDuringFirstWriteKeepsTheJob(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, 6)
		defer c.stop()
		c.interval = 300 * time.Millisecond
		n := c.alive()[0]
		n.submit("before", 1)
		var submission sync.WaitGroup
		submission.Go(func() { n.submit("a", 2) })
		for range 100 {
			time.Sleep(3 * time.Millisecond)
			n.keeper.Reload("a")
		}
		submission.Wait()
		c.checkJobs([]string{"a"}, nil, 5*time.Second)
	})
}

// recordKey returns the store key of a job's record.
func recordKey(id string) string { return platform.Prefix + "jobs/" + id }

// A success that is reported when the job's holder no longer waits for that run is
// recorded, and the task does not run on.
func TestLateSuccessIsRecorded(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 4)
		defer c.stop()
		c.fleet.RunTime = func(task string) time.Duration {
			if task == "a.0.0.0" {
				return 5 * time.Second
			}
			return 50 * time.Millisecond
		}
		n := c.alive()[0]
		if s := n.submit("a", 2); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		time.Sleep(300 * time.Millisecond)
		n.keeper.OrphanedEnd("a", 0, 0, true, coordinator.End{Upstream: "u00", Task: "a.0.0.0", Run: 0})
		c.checkJobs([]string{"a"}, nil, 2*time.Second)
		if s := c.fleet.Starts("a.0.0.0"); s != 1 {
			t.Errorf("the task was started %d times, want 1", s)
		}
	})
}

// The running work of an entry that was only silent for a second is neither stopped
// nor started again elsewhere.
func TestSilentHolderKeepsItsRuns(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 3, 6)
		defer c.stop()
		c.fleet.RunTime = func(string) time.Duration { return 2500 * time.Millisecond }
		n := c.alive()[0]
		if s := n.submit("a", 6); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		time.Sleep(300 * time.Millisecond)
		for _, other := range c.alive()[1:] {
			other.PeerDown(n.name)
			n.PeerDown(other.name)
			other.runner.Detach(n.name)
			other.runner.CancelDetached(other.ctx, n.name, time.Now(), false)
		}
		time.Sleep(time.Second)
		for _, other := range c.alive()[1:] {
			other.PeerUp(n.name, 2)
			n.PeerUp(other.name, 2)
			other.runner.ResendEnds(n.name)
		}
		c.checkJobs([]string{"a"}, nil, 10*time.Second)
		for i := range 6 {
			if s := c.fleet.Starts(fmt.Sprintf("a.0.0.%d", i)); s != 1 {
				t.Errorf("task %d was started %d times, want 1", i, s)
			}
		}
	})
}
