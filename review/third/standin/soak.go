package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soak plays random disruptions, to look for broken rules.
func soak(args []string) {
	fs := flag.NewFlagSet("soak", flag.ExitOnError)
	seed := fs.Uint64("seed", 1, "")
	seconds := fs.Int("seconds", 60, "")
	kinds := fs.String("kinds", "", "comma list; empty: all")
	program := fs.String("program", "target/radishweir", "")
	rate := fs.Float64("rate", 15, "jobs a second")
	every := fs.Float64("every", 2.5, "mean pause between disruptions")
	kept := fs.Float64("kept", 0.8, "")
	nw := fs.Int("workers", 12, "")
	same := fs.Bool("same", true, "workers restart under their id")
	guards := fs.Bool("guards", true, "")
	ne := fs.Int("entries", 5, "")
	serial := fs.Bool("serial", false, "one disruption at a time")
	dirFlag := fs.String("dir", "", "")
	_ = fs.Parse(args)
	dir := *dirFlag
	if dir == "" {
		dir, _ = os.MkdirTemp("", "soak")
	}
	_ = os.MkdirAll(dir, 0o755)
	f, _ := os.Create(filepath.Join(dir, "record.txt"))
	rng := rand.New(rand.NewPCG(*seed, 9))
	zones := []string{"z-a", "z-a", "z-b", "z-b", "z-c"}
	for i := 5; i < *ne; i++ {
		zones = append(zones, []string{"z-a", "z-b", "z-c"}[i%3])
	}
	w := newWorld(*program, dir, f, zones)
	w.queues = []*queue{
		{name: "r-one", host: "one.example", prefix: "/one/", service: "svc", priority: 1, attempts: 3, stretch: 1.6, target: 60},
		{name: "r-two", host: "two.example", prefix: "/two/", service: "svc", priority: 0, attempts: 4, stretch: 1.6, target: 60},
	}
	w.guards = *guards
	w.configure()
	for i := range *nw {
		w.workers = append(w.workers, newWorker(w, i, "svc", []string{"z-a", "z-b", "z-c"}[i%3], []string{"a", fmt.Sprintf("r-%d", i/4)}, 16000))
	}
	for _, k := range w.workers {
		k.mu.Lock()
		k.guards = *guards
		k.mu.Unlock()
	}
	for _, e := range w.entries {
		e.start()
	}
	defer w.stopAll()
	if err := w.waitReady(15 * time.Second); err != nil {
		fmt.Println(err)
		return
	}
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	var clients, troubles sync.WaitGroup
	clients.Go(func() {
		for time.Now().Before(end) {
			s := rng.Uint64()
			clients.Go(func() { oneClient(w, rand.New(rand.NewPCG(s, 3)), *kept) })
			time.Sleep(time.Duration(rng.ExpFloat64() / *rate * float64(time.Second)))
		}
	})
	list := []string{"kill", "freeze", "term", "front", "revoke", "down", "lapse", "slow", "lost", "late", "crash", "dark", "gone", "wcut", "wsilent", "grey", "hang", "wlate", "pcut", "preset", "zcut", "herd", "drain", "wslow"}
	if *kinds != "" {
		list = strings.Split(*kinds, ",")
	}
	troubles.Go(func() {
		r := rand.New(rand.NewPCG(*seed, 77))
		time.Sleep(2 * time.Second)
		for time.Now().Before(end.Add(-8 * time.Second)) {
			k := list[r.IntN(len(list))]
			s := r.Uint64()
			if *serial {
				trouble(w, rand.New(rand.NewPCG(s, 5)), k, *same)
			} else {
				troubles.Go(func() { trouble(w, rand.New(rand.NewPCG(s, 5)), k, *same) })
			}
			time.Sleep(time.Duration((0.3 + r.ExpFloat64()) * *every * float64(time.Second)))
		}
	})
	troubles.Wait()
	clients.Wait()
	time.Sleep(14 * time.Second)
	w.finish()
	c := w.check
	c.mu.Lock()
	defer c.mu.Unlock()
	states := map[string]int{}
	for _, j := range c.jobs {
		if j.kept {
			states[j.state]++
		}
	}
	fmt.Printf("seed %d: %d jobs, %d starts, %d ends, %d noted, kept %v, broken %d %s\n", *seed, len(c.jobs), c.started_, c.ended_, c.noted_, states, len(c.bad), dir)
	for _, b := range c.bad[:min(len(c.bad), 12)] {
		fmt.Println("  ", b)
	}
}

// finish asks for all accepted kept jobs, and looks for those that nobody runs.
func (w *World) finish() {
	c := w.check
	c.mu.Lock()
	var open []*job
	for _, j := range c.jobs {
		if j.kept && !j.accepted.IsZero() && j.cancelled.IsZero() && j.completeAt.IsZero() && j.state != "failed" {
			open = append(open, j)
		}
	}
	c.mu.Unlock()
	idleSince := map[string]time.Time{}
	starts := map[string]int{}
	deadline := time.Now().Add(25 * time.Second)
	for len(open) > 0 && time.Now().Before(deadline) {
		var left []*job
		for _, j := range open {
			s := ""
			for i := 0; i < 3 && s == ""; i++ {
				s = w.get(j, w.entries[rand.IntN(len(w.entries))])
			}
			c.mu.Lock()
			switch {
			case s == "":
				c.broken("LOST %s gets no answer at the end", j.id)
			case s == "gone" && j.cancelSent.IsZero():
				c.broken("LOST %s is not known at the end", j.id)
			case s == "queued" || s == "running":
				n, active := 0, 0
				for si, st := range j.steps {
					for i := range st.count {
						t := c.task(fmt.Sprintf("%s.0.%d.%d", j.id, si, i))
						n += t.starts
						active += len(t.active)
					}
				}
				if active > 0 || n != starts[j.id] || idleSince[j.id].IsZero() {
					idleSince[j.id] = time.Now()
				}
				starts[j.id] = n
				if time.Since(idleSince[j.id]) > 3*time.Second {
					c.broken("LOST %s (%s) has nothing running for 3 s", j.id, s)
				} else {
					left = append(left, j)
				}
			}
			c.mu.Unlock()
		}
		open = left
		time.Sleep(200 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.tasks {
		id, _ := splitTask(name)
		j := c.jobs[id]
		if j != nil && !j.cancelled.IsZero() && len(t.active) > 0 && time.Since(j.cancelled) > 4*time.Second {
			c.broken("UNASKED %s still runs %.1f s after its cancelling was acknowledged", name, time.Since(j.cancelled).Seconds())
		}
	}
	for _, j := range c.jobs {
		if j.attempts > 0 && j.attempts == j.rejected && j.accepted.IsZero() {
			for s, st := range j.steps {
				for i := range st.count {
					if c.task(fmt.Sprintf("%s.0.%d.%d", j.id, s, i)).starts > 0 {
						c.broken("REFUSED %s: all %d attempts were rejected, and task %d.%d started", j.id, j.attempts, s, i)
					}
				}
			}
		}
	}
}

// oneClient hands one job in, asks for its state and may cancel it.
func oneClient(w *World, r *rand.Rand, kept float64) {
	j := &job{id: fmt.Sprintf("%016x", r.Uint64()), queue: w.queues[r.IntN(len(w.queues))], kept: r.Float64() < kept, fails: r.Float64() < 0.03, firstAt: time.Now()}
	j.spec = "spec of " + j.id
	est := []float64{60, 200, 900}[r.IntN(3)]
	if j.kept && r.Float64() < 0.2 {
		est = 4000
	}
	n := 1
	if r.Float64() < 0.4 {
		n = 2 + r.IntN(2)
	}
	for i := range n {
		s := step{count: 1 + r.IntN(5), cpu: 1000 + 500*r.IntN(8), estimate: est, work: time.Duration(est * (0.6 + 0.8*r.Float64()) * float64(time.Millisecond))}
		if i > 0 {
			s.after = []int{i - 1}
		}
		if r.Float64() < 0.1 {
			s.anti = 1
		}
		j.steps = append(j.steps, s)
	}
	w.add(j)
	wait := 1500 * time.Millisecond
	if !j.kept && est > 500 {
		wait = 6 * time.Second
	}
	pick := func() *entry { return w.entries[r.IntN(len(w.entries))] }
	status := 0
	for range 4 {
		status = w.submit(j, pick(), wait)
		if status/100 == 2 || status == 429 || status == 503 || status == 404 || status == 400 || status == 410 {
			break
		}
		time.Sleep(1300 * time.Millisecond)
	}
	if status/100 != 2 || !j.kept {
		return
	}
	if r.Float64() < 0.05 {
		go func() {
			time.Sleep(time.Second + time.Duration(r.Int64N(int64(2*time.Second))))
			w.submit(j, pick(), wait)
		}()
	}
	cancelAt := time.Duration(0)
	if r.Float64() < 0.12 {
		cancelAt = time.Duration(r.ExpFloat64() * float64(700*time.Millisecond))
	}
	begin := time.Now()
	for time.Since(begin) < 40*time.Second {
		if cancelAt > 0 && time.Since(begin) >= cancelAt {
			if st := w.cancel(j, pick()); st/100 == 2 || st == 410 {
				return
			}
			time.Sleep(300 * time.Millisecond)
			continue
		}
		if s := w.get(j, pick()); s == "complete" || s == "failed" || s == "cancelled" {
			return
		}
		time.Sleep(time.Duration(200+r.IntN(800)) * time.Millisecond)
	}
}

func sleepS(s float64) { time.Sleep(time.Duration(s * float64(time.Second))) }

// trouble plays one disruption.
func trouble(w *World, r *rand.Rand, kind string, same bool) {
	e := w.entries[r.IntN(len(w.entries))]
	k := w.workers[r.IntN(len(w.workers))]
	secs := 0.5 + 5*r.Float64()
	w.check.note("trouble %s entry %s worker %s %.1f s", kind, e.name, k.id, secs)
	defer w.check.note("trouble %s is over (entry %s, worker %d)", kind, e.name, k.index)
	switch kind {
	case "kill":
		e.mu.Lock()
		busy := e.stopped
		e.mu.Unlock()
		if busy {
			return
		}
		e.mu.Lock()
		e.stopped = true
		e.mu.Unlock()
		e.kill()
		sleepS(secs * 0.7)
		e.start()
		e.mu.Lock()
		e.stopped = false
		e.mu.Unlock()
	case "freeze":
		e.mu.Lock()
		busy := e.stopped
		e.stopped = true
		e.mu.Unlock()
		if busy {
			return
		}
		e.signal(syscall.SIGSTOP)
		sleepS(min(secs, 4))
		e.signal(syscall.SIGCONT)
		e.mu.Lock()
		e.stopped = false
		e.mu.Unlock()
	case "term":
		e.mu.Lock()
		busy := e.stopped
		e.stopped = true
		e.mu.Unlock()
		if busy {
			return
		}
		e.stop()
		sleepS(0.3)
		e.start()
		e.mu.Lock()
		e.stopped = false
		e.mu.Unlock()
	case "herd":
		for _, e := range w.entries {
			e.mu.Lock()
			busy := e.stopped
			e.mu.Unlock()
			if busy {
				return
			}
		}
		for _, e := range w.entries {
			e.mu.Lock()
			e.stopped = true
			e.mu.Unlock()
			e.kill()
		}
		sleepS(1)
		for _, e := range w.entries {
			e.start()
			e.mu.Lock()
			e.stopped = false
			e.mu.Unlock()
		}
	case "front", "revoke":
		e.front.set([]string{"busy", "many", "silent", "reset"}[r.IntN(4)])
		if kind == "revoke" {
			for _, key := range w.store.keys("/radishweir/entries/" + e.name) {
				w.store.drop(key)
			}
		}
		sleepS(9 * r.Float64())
		e.front.set("")
	case "down", "lapse":
		w.store.setDown([]string{"busy", "silent", "reset"}[r.IntN(3)], kind == "down")
		sleepS(min(secs, 4.5))
		w.store.setDown("", kind == "down")
	case "slow":
		w.store.setDelay(240 * time.Millisecond)
		sleepS(min(secs, 4.5))
		w.store.setDelay(0)
	case "lost", "late":
		w.store.setLost(0.35, kind == "late")
		sleepS(min(secs, 4.5))
		w.store.setLost(0, false)
	case "crash":
		k.crash(false)
		sleepS(secs * r.Float64() * 0.9)
		k.restart(!same)
	case "dark":
		k.crash(true)
		sleepS(secs * r.Float64() * 0.9)
		k.restart(!same)
	case "gone":
		k.crash(true)
		sleepS(8)
		k.restart(true)
	case "wcut":
		n := r.IntN(len(w.entries))
		k.setCut(n, true)
		sleepS(secs)
		k.setCut(n, false)
	case "wsilent":
		k.mu.Lock()
		k.silent = true
		k.mu.Unlock()
		sleepS(secs)
		k.mu.Lock()
		k.silent = false
		k.mu.Unlock()
	case "grey", "hang":
		k.mu.Lock()
		k.grey = map[string]string{"grey": "errors", "hang": "hang"}[kind]
		k.mu.Unlock()
		sleepS(secs)
		k.mu.Lock()
		k.grey = ""
		for _, r := range k.runs {
			if r.hung {
				k.end(r, "failed")
			}
		}
		k.mu.Unlock()
	case "wlate":
		for _, k := range w.workers {
			k.mu.Lock()
			k.late = 0.06
			k.mu.Unlock()
		}
		sleepS(secs)
		for _, k := range w.workers {
			k.mu.Lock()
			k.late = 0
			k.mu.Unlock()
		}
	case "pcut", "preset":
		o := w.entries[r.IntN(len(w.entries))]
		mode := map[string]string{"pcut": "silent", "preset": "reset"}[kind]
		both := r.IntN(2) == 0
		e.links[o.index].set(mode)
		if both {
			o.links[e.index].set(mode)
		}
		sleepS(secs)
		e.links[o.index].set("")
		o.links[e.index].set("")
	case "zcut":
		// The zone of e is cut off from the other zones and their workers.
		set := func(mode string) {
			for _, a := range w.entries {
				for _, b := range w.entries {
					if (a.zone == e.zone) != (b.zone == e.zone) {
						a.links[b.index].set(mode)
					}
				}
				for _, k := range w.workers {
					if (k.zone == e.zone) != (a.zone == e.zone) {
						k.setCut(a.index, mode != "")
					}
				}
				if a.zone == e.zone {
					a.front.set(mode)
				}
			}
		}
		set("silent")
		sleepS(min(secs, 5.5))
		set("")
	case "ncut":
		// The machine is cut off from the other machines and the store.
		set := func(mode string) {
			for _, o := range w.entries {
				if o != e {
					o.links[e.index].set(mode)
					e.links[o.index].set(mode)
				}
			}
			e.front.set(mode)
		}
		set("silent")
		sleepS(3 + 9*r.Float64())
		set("")
	case "drain":
		k.mu.Lock()
		if !k.up || k.draining {
			k.mu.Unlock()
			return
		}
		k.draining = true
		k.mu.Unlock()
		k.writeEntry()
		sleepS(2.5)
		k.crash(false)
		w.store.drop("servers/" + k.id)
		sleepS(1)
		k.restart(true)
	case "wslow":
		k.mu.Lock()
		k.slow = 6.5
		k.mu.Unlock()
		sleepS(secs)
		k.mu.Lock()
		k.slow = 1
		k.mu.Unlock()
	}
}

func (k *Worker) setCut(i int, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[i+1] = cut
}
