package keeper_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/simulator"
)

var disturbedSeeds = flag.Int("disturbed-seeds", 4, "number of random histories in TestRandomDisturbances")

const (
	// contact is the time after which an entry without a disturbance counts as in touch.
	contact = 3 * time.Second
	// disturbedTime is the time in which jobs come and disturbances begin.
	disturbedTime = 40 * time.Second
)

// history is what a random history checks at its end.
type history struct {
	*cluster
	mu sync.Mutex
	// accepted are the jobs that were accepted, acceptedBy the same by entry, asked those that
	// were to be cancelled, and acknowledged the times at which that was acknowledged.
	accepted     []string
	acceptedBy   map[string][]string
	asked        map[string]bool
	acknowledged map[string]time.Time
	// disturbed holds the end of the last disturbance of each entry, "" stands for the store.
	disturbed map[string]time.Time
}

// Every accepted job must end, no task may start after its success was acknowledged, and no
// entry that is in touch may start a task of a job 3 s after its cancellation, while
// disturbances of all kinds come in series and overlap.
func TestRandomDisturbances(t *testing.T) {
	for seed := range *disturbedSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) { randomDisturbances(t, uint64(seed)) })
		})
	}
}

func randomDisturbances(t *testing.T, seed uint64) {
	h := &history{
		cluster: newCluster(t, 1000+seed, 5, 16), acceptedBy: make(map[string][]string), asked: make(map[string]bool),
		acknowledged: make(map[string]time.Time), disturbed: make(map[string]time.Time),
	}
	c := h.cluster
	defer c.stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.followList(ctx)
	c.fleet.SetRunTime(func(string) time.Duration { return 700 * time.Millisecond })
	c.fleet.SetObserve(h.observe)
	var calls sync.WaitGroup
	rareness, began := 3+9*int(seed%4), time.Now()
	for i := 0; time.Since(began) < disturbedTime; i++ {
		time.Sleep(time.Duration(50+c.rng.IntN(350)) * time.Millisecond)
		nodes := c.alive()
		if len(nodes) == 0 {
			continue
		}
		n, other := nodes[c.rng.IntN(len(nodes))], nodes[c.rng.IntN(len(nodes))]
		j := h.chain(fmt.Sprintf("j%03d", i), 1+c.rng.IntN(8), 1+c.rng.IntN(3))
		cancelAfter, again := time.Duration(c.rng.IntN(8000))*time.Millisecond, c.rng.IntN(10) == 0
		if c.rng.IntN(3) > 0 {
			cancelAfter = 0
		}
		calls.Go(func() { h.run(n, other, j, cancelAfter, again) })
		if c.rng.IntN(rareness) == 0 {
			h.disturb(&calls)
		}
	}
	calls.Wait()
	time.Sleep(contact)
	c.checkJobs(h.accepted, h.asked, time.Minute)
	for id, at := range h.acknowledged {
		for _, n := range c.alive() {
			if state, err := n.keeper.State(t.Context(), id); state != "cancelled" && time.Since(at) < 2*time.Minute {
				t.Errorf("%s: state %q, %v, of cancelled job %s", n.name, state, err, id)
			}
		}
	}
	if len(h.accepted) < 40 {
		t.Errorf("%d jobs accepted, want at least 40", len(h.accepted))
	}
}

// chain returns a job of steps that follow one another, of some tasks each.
func (h *history) chain(id string, steps, tasks int) coordinator.Job {
	j := job(id, tasks)
	j.Steps = nil
	for s := range steps {
		step := coordinator.Step{Tasks: tasks, Need: need, Expected: 700 * time.Millisecond}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	j.Due = j.Arrived.Add(20 * time.Second)
	return j
}

// run submits a job to an entry, with again also to another one, and cancels it there after a
// time unless that is 0.
func (h *history) run(n, other *node, j coordinator.Job, cancelAfter time.Duration, again bool) {
	a := n.keeper.Submit(n.ctx, j)
	if a.State != coordinator.Accepted || n.ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	h.accepted, h.acceptedBy[n.name] = append(h.accepted, j.ID), append(h.acceptedBy[n.name], j.ID)
	h.mu.Unlock()
	if again {
		time.Sleep(2 * time.Second)
		_ = other.keeper.Submit(other.ctx, j)
	}
	if cancelAfter == 0 {
		return
	}
	time.Sleep(cancelAfter)
	h.cancel(other, j.ID)
}

// cancel cancels a job at an entry.
func (h *history) cancel(n *node, id string) {
	h.mu.Lock()
	h.asked[id] = true
	h.mu.Unlock()
	if ok, err := n.keeper.Cancel(n.ctx, id); ok && err == nil && n.ctx.Err() == nil {
		h.mu.Lock()
		h.acknowledged[id] = time.Now()
		h.mu.Unlock()
	}
}

// cancelLast cancels the jobs that an entry accepted last at another one, a moment later.
func (h *history) cancelLast(accepted, at *node) {
	time.Sleep(300 * time.Millisecond)
	h.mu.Lock()
	list := h.acceptedBy[accepted.name]
	list = list[max(0, len(list)-4):]
	h.mu.Unlock()
	for _, id := range list {
		h.cancel(at, id)
	}
}

// disturb begins a random disturbance.
func (h *history) disturb(calls *sync.WaitGroup) {
	c := h.cluster
	nodes := c.alive()
	if len(nodes) < 3 {
		return
	}
	n, other := nodes[c.rng.IntN(len(nodes))], nodes[c.rng.IntN(len(nodes))]
	length := time.Duration(600+c.rng.IntN(4900)) * time.Millisecond
	switch c.rng.IntN(5) {
	case 0:
		n.parted.Store(true)
		h.note(length, n.name)
		time.AfterFunc(length, func() { n.parted.Store(false) })
		calls.Go(func() { h.cancelLast(n, other) })
	case 1:
		length = min(length, 4500*time.Millisecond)
		c.store.setDown(true)
		h.note(length, "")
		time.AfterFunc(length, func() { c.store.setDown(false) })
	case 2:
		first := c.rng.IntN(15)
		for i := range 2 {
			name := fmt.Sprintf("u%02d", first+i)
			c.fleet.Update(name, func(u *simulator.Upstream) { u.Unreachable = true })
			time.AfterFunc(length, func() { c.fleet.Update(name, func(u *simulator.Upstream) { u.Unreachable = false }) })
		}
	case 3:
		if n == other || c.isCut(n.name, other.name) {
			return
		}
		c.cutPair(n.name, other.name, true)
		h.note(length, n.name, other.name)
		time.AfterFunc(length, func() { c.cutPair(n.name, other.name, false) })
	case 4:
		c.kill(n.name)
		h.note(length, n.name)
		calls.Go(func() {
			time.Sleep(length)
			if c.incarnationOf(n.name) == "" {
				c.start(n.name)
			}
		})
	}
}

// note records that a disturbance lasts for a time from now.
func (h *history) note(d time.Duration, names ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		if end := time.Now().Add(d); end.After(h.disturbed[name]) {
			h.disturbed[name] = end
		}
	}
}

// observe fails the test if an entry that is in touch starts a task of a cancelled job too late.
func (h *history) observe(e simulator.Event) {
	if e.What != "start" || e.Result != "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	id, _, _ := strings.Cut(e.Task, ".")
	at, cancelled := h.acknowledged[id]
	calm := e.Time.Add(-contact)
	if cancelled && e.Time.Sub(at) > cancelTime && h.disturbed[e.Sender].Before(calm) && h.disturbed[""].Before(calm) {
		h.t.Errorf("%s starts %s %v after the acknowledgement of its cancellation", e.Sender, e.Task, e.Time.Sub(at))
	}
}
