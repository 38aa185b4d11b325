package keeper_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/imitator"
	"radishweir.org/lib/platform"
)

// seeds is the number of random histories in TestRandomHistories.
var seeds = flag.Int("seeds", 12, "number of random histories in TestRandomHistories")

// job is a job of two steps.
func job(id string, tasks int) coordinator.Job {
	now := time.Now()
	st := coordinator.Step{Tasks: tasks, Need: need, Expected: 100 * time.Millisecond}
	last := st
	last.Tasks, last.After = 1, []int{0}
	return coordinator.Job{
		ID: id, Kind: "check", Service: "claims", Steps: []coordinator.Step{st, last},
		Arrived: now, Due: now.Add(time.Second), Deadline: now.Add(3 * time.Second), MaxFailures: 3,
	}
}

// submit hands a job in at an entry, and reports whether it was accepted; an entry
// that died gives no answer.
func (x *node) submit(id string, tasks int) coordinator.State {
	ctx, cancel := context.WithTimeout(x.ctx, 3*time.Second)
	defer cancel()
	return x.keeper.Submit(ctx, job(id, tasks)).State
}

// inBubble runs a test in fake time.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		// Timers and retries end before the bubble does.
		time.Sleep(3 * time.Minute)
	})
}

// stop ends all entries.
func (w *world) stop() {
	for _, x := range w.alive() {
		x.cancel()
	}
}

// check waits until the jobs have ended and reports what must not be.
func (w *world) check(accepted []string, cancelled map[string]bool, wait time.Duration) {
	w.t.Helper()
	end := time.Now().Add(wait)
	last := make(map[string]string)
	open := slices.Clone(accepted)
	for len(open) > 0 && time.Now().Before(end) {
		time.Sleep(200 * time.Millisecond)
		nodes := w.alive()
		open = slices.DeleteFunc(open, func(id string) bool {
			state, err := nodes[len(last)%len(nodes)].keeper.State(w.t.Context(), id)
			last[id] = fmt.Sprintf("%s %v", state, err)
			return state == "complete" || (state == "cancelled" && cancelled[id])
		})
	}
	for _, id := range open {
		w.t.Errorf("the accepted job %s ends as %s", id, last[id])
	}
	for _, v := range w.fleet.Violations() {
		w.t.Error(v)
	}
}

// A job is accepted once it is in the store, and its state can be read anywhere.
func TestKeptJob(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 1, 3, 6)
		defer w.stop()
		if s := w.alive()[0].submit("a", 3); s != coordinator.Accepted {
			t.Fatalf("the job is %v", s)
		}
		if kv, err := w.store.Get(t.Context(), keeperKey("a")); err != nil || kv.Revision == 0 {
			t.Error("the job was accepted and is not in the store")
		}
		for _, x := range w.alive() {
			if state, err := x.keeper.State(t.Context(), "a"); err != nil || state == "" {
				t.Errorf("%s says %q, %v", x.name, state, err)
			}
			if state, err := x.keeper.State(t.Context(), "b"); err != nil || state != "" {
				t.Errorf("%s says %q of a job that nobody submitted, %v", x.name, state, err)
			}
		}
		w.check([]string{"a"}, nil, 2*time.Second)
		for i := range 3 {
			if n := w.fleet.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
	})
}

// The same job at several entries at once, and again after its end, is one job.
func TestSameJobAtSeveralEntries(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 2, 3, 6)
		defer w.stop()
		var work sync.WaitGroup
		for _, x := range w.alive() {
			work.Go(func() {
				if s := x.submit("a", 2); s != coordinator.Accepted {
					t.Errorf("%s answers %v", x.name, s)
				}
			})
		}
		work.Wait()
		w.check([]string{"a"}, nil, 2*time.Second)
		for _, x := range w.alive() {
			if s := x.submit("a", 2); s != coordinator.Accepted {
				t.Errorf("%s answers %v after the end", x.name, s)
			}
		}
		time.Sleep(time.Second)
		if n := w.fleet.Starts("a.0.0.0"); n != 1 {
			t.Errorf("the task started %d times", n)
		}
	})
}

// A job is refused only if it is certainly not stored.
func TestRefusedWhileTheStoreIsDown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 3, 2, 4)
		defer w.stop()
		w.alive()[0].submit("a", 1)
		w.store.setDown(true)
		if s := w.alive()[0].submit("b", 1); s != coordinator.Refused {
			t.Errorf("the job is %v while the store is down", s)
		}
		w.store.setDown(false)
		time.Sleep(time.Second)
		if n := w.fleet.Starts("b.0.0.0"); n != 0 {
			t.Errorf("the refused job started %d times", n)
		}
	})
}

// A cancelled job stops soon, wherever the cancellation arrives.
func TestCancel(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 4, 3, 6)
		defer w.stop()
		w.fleet.SetLength(func(string) time.Duration { return 5 * time.Second })
		w.alive()[0].submit("a", 3)
		time.Sleep(200 * time.Millisecond)
		if ok, err := w.alive()[2].keeper.Cancel(t.Context(), "a"); !ok || err != nil {
			t.Fatalf("cancelled=%v, %v", ok, err)
		}
		time.Sleep(200 * time.Millisecond)
		if n := w.fleet.Running(); n != 0 {
			t.Errorf("%d runs 200 ms after the cancellation", n)
		}
		if ok, _ := w.alive()[1].keeper.Cancel(t.Context(), "b"); ok {
			t.Error("a job that does not exist was cancelled")
		}
		if state, _ := w.alive()[1].keeper.State(t.Context(), "a"); state != "cancelled" {
			t.Errorf("the job is %s", state)
		}
	})
}

// A cancellation may come at any moment around the acceptance; what it ended does
// not run on.
func TestCancelAtAnyMoment(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 6, 3, 6)
		defer w.stop()
		w.fleet.SetLength(func(string) time.Duration { return time.Second })
		cancelled := 0
		for i := range 120 {
			id := fmt.Sprintf("j%d", i)
			var work sync.WaitGroup
			work.Go(func() { w.alive()[0].submit(id, 1) })
			time.Sleep(time.Duration(i) * 250 * time.Microsecond)
			ok, err := w.alive()[2].keeper.Cancel(t.Context(), id)
			work.Wait()
			time.Sleep(100 * time.Millisecond)
			if n := w.fleet.Running(); ok && err == nil && n > 0 {
				t.Errorf("%d runs after a cancellation %v after the submission", n, time.Duration(i)*250*time.Microsecond)
			}
			if ok {
				cancelled++
			} else {
				time.Sleep(2500 * time.Millisecond)
			}
		}
		if cancelled < 40 {
			t.Errorf("%d of 120 jobs were cancelled", cancelled)
		}
	})
}

// The jobs of a dead entry are taken over, and what was done is not done again.
func TestTakeover(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 5, 3, 6)
		defer w.stop()
		w.fleet.SetLength(func(task string) time.Duration {
			if task == "a.0.0.0" {
				return 100 * time.Millisecond
			}
			return 3 * time.Second
		})
		w.alive()[0].submit("a", 3)
		time.Sleep(500 * time.Millisecond)
		w.kill("entry-1")
		w.check([]string{"a"}, nil, 30*time.Second)
		if n := w.fleet.Starts("a.0.0.0"); n != 1 {
			t.Errorf("the task that was done started %d times", n)
		}
	})
}

// Random kills, also of all entries, store outages, lost answers of the store and
// late orders: every accepted job ends, and no task starts after its end was taken
// note of.
func TestRandomHistories(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { randomHistory(t, uint64(seed)) })
		})
	}
}

func randomHistory(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 4, 8)
	defer w.stop()
	var mu sync.Mutex
	var accepted []string
	cancelled := make(map[string]bool)
	orders := w.rng.IntN(1000)
	w.fleet.SetFault(func(imitator.Kind, string) imitator.Fault {
		mu.Lock()
		defer mu.Unlock()
		if orders = (orders*1103515245 + 12345) & 0x7fffffff; orders%50 == 0 {
			return imitator.Fault(1 + orders/50%3)
		}
		return imitator.None
	})
	var work sync.WaitGroup
	for i := range 300 {
		time.Sleep(time.Duration(w.rng.IntN(120)) * time.Millisecond)
		nodes := w.alive()
		if len(nodes) == 0 {
			continue
		}
		x, tasks, cancel := nodes[w.rng.IntN(len(nodes))], 1+w.rng.IntN(3), w.rng.IntN(12) == 0
		id := fmt.Sprintf("j%03d", i)
		work.Go(func() {
			if x.submit(id, tasks) != coordinator.Accepted || x.ctx.Err() != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, id)
			cancelled[id] = cancel
			mu.Unlock()
			if cancel {
				_, _ = x.keeper.Cancel(x.ctx, id)
			}
		})
		switch w.rng.IntN(60) {
		case 0, 1:
			w.restart(x.name)
		case 2:
			for _, x := range w.alive() {
				w.restart(x.name)
			}
		case 3, 4:
			w.store.setDown(true)
			time.AfterFunc(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { w.store.setDown(false) })
		}
	}
	work.Wait()
	time.Sleep(4 * time.Second)
	w.fleet.SetFault(nil)
	w.check(accepted, cancelled, time.Minute)
	if len(accepted) < 20 {
		t.Errorf("only %d of 300 jobs were accepted", len(accepted))
	}
}

// restart kills an entry and starts it again a little later.
func (w *world) restart(name string) {
	if w.lifeOf(name) == "" {
		return
	}
	w.kill(name)
	pause := time.Duration(w.rng.IntN(4000)) * time.Millisecond
	time.AfterFunc(pause, func() {
		if w.lifeOf(name) == "" && w.t.Context().Err() == nil {
			w.start(name)
		}
	})
}

func keeperKey(id string) string { return platform.Prefix + "jobs/" + id }
