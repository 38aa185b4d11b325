package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"radishweir.org/standin/proxier"
)

func init() { cases["soak"] = playSoak }

// disruption is one kind of disruption; it returns what ends it.
type disruption struct {
	name string
	play func(t *trial, rng *rand.Rand) (end func(), length time.Duration)
}

func (t *trial) someEntry(rng *rand.Rand) string {
	names := t.list()
	return names[rng.IntN(len(names))]
}

func seconds(rng *rand.Rand, from, to float64) time.Duration {
	return time.Duration((from + rng.Float64()*(to-from)) * float64(time.Second))
}

var disruptions = []disruption{
	{"node_kill", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name := t.someEntry(rng)
		t.judge.note("trouble: kill %s", name)
		t.kill(name)
		return func() { t.startEntry(name) }, seconds(rng, 0.3, 3.5)
	}},
	{"node_freeze", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name := t.someEntry(rng)
		t.judge.note("trouble: freeze %s", name)
		t.signal(name, syscall.SIGSTOP)
		return func() { t.signal(name, syscall.SIGCONT) }, seconds(rng, 0.5, 4)
	}},
	{"roll_term", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name := t.someEntry(rng)
		t.judge.note("trouble: SIGTERM of %s", name)
		t.signal(name, syscall.SIGTERM)
		return func() {
			select {
			case <-t.entries[name].done:
			default:
				t.kill(name)
			}
			t.startEntry(name)
		}, 6 * time.Second
	}},
	{"herd_kill", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		t.judge.note("trouble: kill all")
		for _, name := range t.list() {
			t.signal(name, syscall.SIGKILL)
		}
		for _, name := range t.list() {
			<-t.entries[name].done
		}
		return func() {
			for _, name := range t.list() {
				t.startEntry(name)
			}
		}, seconds(rng, 0.5, 9.5)
	}},
	{"core_cut", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name, r := t.someEntry(rng), []refusal{busy, silent}[rng.IntN(2)]
		t.judge.note("trouble: store refuses %s (%d)", name, r)
		t.store.setRefusal(name, r)
		return func() { t.store.setRefusal(name, serving) }, seconds(rng, 1, 9)
	}},
	{"revoke", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name, r := t.someEntry(rng), []refusal{busy, silent}[rng.IntN(2)]
		t.judge.note("trouble: store refuses %s (%d) and takes its keys away", name, r)
		t.store.setRefusal(name, r)
		t.store.removeMatching(func(key string) bool {
			own := "/radishweir/entries/" + name
			return key == own || strings.HasPrefix(key, own+"@")
		})
		return func() { t.store.setRefusal(name, serving) }, seconds(rng, 1, 9)
	}},
	{"platform_down", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		r := []refusal{busy, silent}[rng.IntN(2)]
		t.judge.note("trouble: store down (%d)", r)
		for _, name := range t.list() {
			t.store.setRefusal(name, r)
		}
		return func() {
			for _, name := range t.list() {
				t.store.setRefusal(name, serving)
			}
		}, seconds(rng, 1, 4.5)
	}},
	{"platform_lost", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		t.judge.note("trouble: store loses answers, late")
		t.store.mu.Lock()
		t.store.lost, t.store.lateBy = 0.35, []time.Duration{0, 6 * time.Second}[rng.IntN(2)]
		t.store.mu.Unlock()
		return func() {
			t.store.mu.Lock()
			t.store.lost = 0
			t.store.mu.Unlock()
		}, seconds(rng, 1, 4.5)
	}},
	{"srv_crash", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		w := t.pool()[rng.IntN(len(t.pool()))]
		t.judge.note("trouble: crash of %s", w.id)
		w.crash()
		return w.start, seconds(rng, 0.2, 3)
	}},
	{"srv_cut", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		w := t.pool()[rng.IntN(len(t.pool()))]
		one := rng.IntN(2) == 0
		t.judge.note("trouble: %s is cut off, one way %v", w.id, one)
		set := func(cut bool) {
			for _, name := range t.list() {
				t.network.set(name, w.id, func(s *proxier.State) {
					s.Forth, s.Back = proxier.Passing, proxier.Passing
					if cut {
						s.Back = proxier.Losing
						if !one {
							s.Forth = proxier.Losing
						}
					}
				})
			}
		}
		set(true)
		return func() { set(false) }, seconds(rng, 0.5, 5.5)
	}},
	{"srv_lossy_path", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		w, name := t.pool()[rng.IntN(len(t.pool()))], t.someEntry(rng)
		t.judge.note("trouble: %s and %s lose their path", w.id, name)
		t.network.cut(name, w.id, true)
		return func() { t.network.cut(name, w.id, false) }, seconds(rng, 0.5, 5.5)
	}},
	{"pair_cut", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name := t.someEntry(rng)
		t.judge.note("trouble: %s is cut off from the other entries", name)
		set := func(cut bool) {
			for _, other := range t.list() {
				t.network.cut(name, other, cut)
				t.network.cut(other, name, cut)
			}
		}
		set(true)
		return func() { set(false) }, seconds(rng, 0.5, 5.5)
	}},
	{"node_cut", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name := t.someEntry(rng)
		t.judge.note("trouble: %s is cut off from all but clients", name)
		set := func(cut bool) {
			for _, other := range t.list() {
				t.network.cut(name, other, cut)
				t.network.cut(other, name, cut)
			}
			for _, w := range t.pool() {
				t.network.cut(name, w.id, cut)
			}
			r := serving
			if cut {
				r = silent
			}
			t.store.setRefusal(name, r)
		}
		set(true)
		return func() { set(false) }, seconds(rng, 0.5, 12)
	}},
	{"replace_core", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name := t.someEntry(rng)
		t.judge.note("trouble: %s is removed for good", name)
		t.kill(name)
		t.drop(name)
		return func() {
			fresh := fmt.Sprintf("edge-%d", len(t.entries)+1)
			t.judge.note("trouble: %s comes", fresh)
			t.addEntry(fresh, t.entries[name].zone)
		}, seconds(rng, 1, 4)
	}},
	{"scale_in", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		w := t.pool()[rng.IntN(len(t.pool()))]
		t.judge.note("trouble: %s drains", w.id)
		w.mu.Lock()
		w.draining = true
		up := w.up
		w.mu.Unlock()
		if up {
			w.register()
		}
		return func() {
			w.mu.Lock()
			up := w.up
			w.mu.Unlock()
			if up {
				w.crash()
			}
			t.store.removeMatching(func(key string) bool { return key == "servers/"+w.id })
			t.replaceWorker(w, newWorker(w.id+"b", w.zone, w.rack, w.cpu, t.store, t.judge))
		}, seconds(rng, 2.1, 5)
	}},
	{"platform_compact", func(t *trial, _ *rand.Rand) (func(), time.Duration) {
		t.judge.note("trouble: the store forgets its history")
		t.store.compact()
		return func() {}, 0
	}},
	{"zone_cut", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		t.judge.note("trouble: zone-a is cut off")
		t.cutZone("zone-a", true)
		return func() { t.cutZone("zone-a", false) }, seconds(rng, 1, 6.4)
	}},
	{"reset_conns", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		name := t.someEntry(rng)
		t.judge.note("trouble: connections of %s are reset", name)
		for _, other := range t.list() {
			t.network.reset(name, other)
			t.network.reset(other, name)
		}
		for _, w := range t.pool() {
			t.network.reset(name, w.id)
		}
		return func() {}, 0
	}},
	{"applied_late", func(t *trial, rng *rand.Rand) (func(), time.Duration) {
		share, what := 0.06, "late"
		if rng.IntN(2) == 0 {
			share, what = 0.03, "lost"
		}
		t.judge.note("trouble: orders %s", what)
		fault := rand.New(rand.NewPCG(rng.Uint64(), 1))
		var mu sync.Mutex
		for _, w := range t.pool() {
			w.mu.Lock()
			w.fault = func(*worker, string) (string, time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				if fault.Float64() < share {
					return what, seconds(fault, 2, 12)
				}
				return "", 0
			}
			w.mu.Unlock()
		}
		return func() {
			for _, w := range t.pool() {
				w.mu.Lock()
				w.fault = nil
				w.mu.Unlock()
			}
		}, seconds(rng, 1, 5.5)
	}},
}

// playSoak plays a load of jobs with disruptions at random times. The environment variable
// SOAK names the disruptions, SOAK_GAP the seconds between them.
func playSoak(t *trial) {
	rng := rand.New(rand.NewPCG(t.seed, 7))
	t.small(4, 8)
	chosen := disruptions
	if names := os.Getenv("SOAK"); names != "" {
		list := strings.Split(names, ",")
		chosen = nil
		for _, d := range disruptions {
			if slices.Contains(list, d.name) {
				chosen = append(chosen, d)
			}
		}
	}
	gap := 1.5
	if g := os.Getenv("SOAK_GAP"); g != "" {
		_, _ = fmt.Sscan(g, &gap)
	}
	stop := time.Now().Add(t.length)
	var work sync.WaitGroup
	work.Go(func() { t.load(stop) })
	var ends sync.WaitGroup
	busyKinds := make(map[string]bool)
	var mu sync.Mutex
	for time.Now().Before(stop) {
		time.Sleep(seconds(rng, 0, 2*gap))
		d := chosen[rng.IntN(len(chosen))]
		mu.Lock()
		exclusive := entryKinds[d.name]
		taken := busyKinds[d.name] || (exclusive && busyKinds["entry"])
		if !taken {
			busyKinds[d.name] = true
			if exclusive {
				busyKinds["entry"] = true
			}
		}
		mu.Unlock()
		if taken || !t.trouble {
			continue
		}
		end, length := d.play(t, rng)
		ends.Go(func() {
			time.Sleep(length)
			end()
			t.judge.note("trouble: end of %s", d.name)
			mu.Lock()
			defer mu.Unlock()
			delete(busyKinds, d.name)
			if exclusive {
				delete(busyKinds, "entry")
			}
		})
	}
	ends.Wait()
	work.Wait()
	t.judge.note("the traffic ends")
	time.Sleep(14 * time.Second)
	t.checkJobs(15 * time.Second)
}

// entryKinds are the disruptions that act on processes; one of them at a time.
var entryKinds = map[string]bool{"node_kill": true, "node_freeze": true, "roll_term": true, "herd_kill": true, "replace_core": true, "srv_crash": false}

// load hands in jobs until a time, and cancels some.
func (t *trial) load(stop time.Time) {
	var work sync.WaitGroup
	for n := uint64(1); time.Now().Before(stop); n++ {
		rng := rand.New(rand.NewPCG(t.seed, 1000+n))
		work.Go(func() { t.oneJob(rng) })
		time.Sleep(120 * time.Millisecond)
	}
	work.Wait()
}

func (t *trial) oneJob(rng *rand.Rand) {
	id := t.newID()
	ms := []int{60, 60, 200, 900, 2500}[rng.IntN(5)]
	steps := []step{{Count: 1 + rng.IntN(3), CPU: 3400, Mem: 64, MS: ms}}
	if os.Getenv("SOAK_WIDE") == "1" {
		steps[0] = step{Count: 20 + rng.IntN(200), CPU: 400, Mem: 16, MS: 40 + rng.IntN(80)}
	}
	if rng.IntN(4) == 0 {
		steps = append(steps, step{Count: 1 + rng.IntN(2), CPU: 3400, Mem: 64, MS: ms, After: []int{0}})
	}
	fail := 0
	if rng.IntN(8) == 0 {
		fail = 1 + rng.IntN(2)
	}
	pick := func() string { return t.someEntry(rng) }
	if status := t.submit(id, fail, steps, pick); status != 200 {
		return
	}
	if rng.IntN(10) == 0 {
		time.Sleep(seconds(rng, 0, 0.6))
		t.cancel(id, pick())
		return
	}
	if rng.IntN(3) == 0 {
		time.Sleep(seconds(rng, 0, 3))
		t.state(id, pick())
	}
}

// checkJobs asks for all accepted jobs until they have ended.
func (t *trial) checkJobs(wait time.Duration) {
	t.judge.mu.Lock()
	open := make(map[string]bool)
	for id, v := range t.judge.jobs {
		if v.kept && !v.accepted.IsZero() && v.cancelSent.IsZero() {
			open[id] = true
		}
	}
	accepted := len(open)
	t.judge.mu.Unlock()
	end := time.Now().Add(wait)
	for round := 0; len(open) > 0 && time.Now().Before(end); round++ {
		for id := range open {
			if _, state := t.state(id, t.list()[round%len(t.list())]); state == "complete" || state == "failed" || state == "cancelled" {
				delete(open, id)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if len(open) > 0 {
		t.describeWorkers()
	}
	t.judge.mu.Lock()
	defer t.judge.mu.Unlock()
	for id := range open {
		t.judge.breaks("LOST", "the accepted job %s has not ended, it is shown as %q", id, t.judge.jobs[id].lastState)
	}
	for id, v := range t.judge.jobs {
		if v.rejected == v.attempts {
			for _, task := range v.tasks {
				if len(t.judge.tasks[task]) > 0 {
					t.judge.breaks("REFUSED", "%s has started, and all attempts to hand job %s in were rejected", task, id)
				}
			}
		}
	}
	t.judge.line("%d jobs, %d accepted and not cancelled, %d open", len(t.judge.jobs), accepted, len(open))
}

// describeWorkers writes the state of each worker to the record.
func (t *trial) describeWorkers() {
	for _, w := range t.pool() {
		w.mu.Lock()
		text := fmt.Sprintf("%s lists %d ends of %d, %d runs, token %d, lease %.1f s, last hold %.1f s ago observed %d by token %d",
			w.id, len(w.ends), w.count, len(w.runs), w.token, time.Until(w.leaseEnd).Seconds(), time.Since(w.heldAt).Seconds(), w.lastHold.Observed, w.lastHold.Token)
		w.mu.Unlock()
		t.judge.note("%s", text)
	}
}
