package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseRun is one run of a case.
type caseRun struct {
	*World
	trouble bool
	// only leaves out all disruptions but one, if it is not empty.
	only string
	rng  *rand.Rand
}

// scenario is what a case plays; it returns an error if the case could not run.
type scenario struct {
	zones   []string
	workers int
	cpu     int
	queues  []*queue
	play    func(c *caseRun) error
}

func oneQueue() []*queue {
	return []*queue{{name: "r-one", host: "one.example", prefix: "/one/", service: "svc", priority: 1, attempts: 3, stretch: 1.6, target: 60}}
}

var scenarios = map[string]scenario{}

// runCase plays a case and returns its exit code: 1 if a rule was broken, 0 if they held, 2 if
// the case could not run.
func runCase(name, program, recordPath string, trouble bool) (code int) {
	sc := scenarios[name]
	dir, remove := os.Getenv("KEEP"), func() {}
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Println(err)
			return 2
		}
		remove = func() { _ = os.RemoveAll(dir) }
	}
	defer remove()
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = f.Close() }()
	w := newWorld(program, dir, f, sc.zones)
	w.queues = sc.queues
	w.configure()
	for i := range sc.workers {
		zone := []string{"z-a", "z-b", "z-c"}[i%3]
		w.workers = append(w.workers, newWorker(w, i, "svc", zone, []string{"a", fmt.Sprintf("r-%d", i/4)}, sc.cpu))
	}
	c := &caseRun{World: w, trouble: trouble, only: os.Getenv("ONLY"), rng: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))}
	for _, e := range w.entries {
		e.start()
	}
	defer w.stopAll()
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-sigs; w.stopAll(); remove(); os.Exit(2) }()
	w.check.note("case %s, with the disruption: %v; %d machines, %d workers", name, trouble, len(w.entries), len(w.workers))
	if err := w.waitReady(20 * time.Second); err != nil {
		w.check.note("%v", err)
		return 2
	}
	time.Sleep(time.Second)
	if err := sc.play(c); err != nil {
		w.check.note("the case could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.line("%d jobs, %d starts, %d ends, %d broken rules", len(w.check.jobs), w.check.started_, w.check.ended_, len(w.check.bad))
	for _, b := range w.check.bad[:min(5, len(w.check.bad))] {
		fmt.Println(b)
	}
	if len(w.check.bad) > 0 {
		return 1
	}
	return 0
}

// plays reports whether a disruption of the case is played.
func (c *caseRun) plays(name string) bool { return c.trouble && (c.only == "" || c.only == name) }

// newJob returns a kept job of one step.
func (c *caseRun) newJob(count, cpu int, work time.Duration) *job {
	j := &job{id: fmt.Sprintf("%016x", c.rng.Uint64()), queue: c.queues[0], kept: true, firstAt: time.Now()}
	j.spec = "spec of " + j.id
	j.steps = []step{{count: count, cpu: cpu, work: work, estimate: float64(work.Milliseconds())}}
	c.add(j)
	return j
}

// handIn submits a job until it is accepted.
func (c *caseRun) handIn(j *job, e *entry) error {
	for range 5 {
		if c.submit(j, e, 1500*time.Millisecond)/100 == 2 {
			return nil
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// follow asks the machines for the states of jobs until all have ended or the time is over.
func (c *caseRun) follow(jobs []*job, ask []*entry, until time.Time) {
	for time.Now().Before(until) {
		open := 0
		for _, j := range jobs {
			if j.state == "complete" || j.state == "failed" {
				continue
			}
			open++
			_ = c.get(j, ask[c.rng.IntN(len(ask))])
		}
		if open == 0 {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func init() {
	// The store turns two of six machines away and takes their keys away, serves them again 5.5 s later.
	scenarios["revoked"] = scenario{zones: []string{"z-a", "z-a", "z-b", "z-b", "z-c", "z-c"}, workers: 12, cpu: 16000, queues: oneQueue(), play: func(c *caseRun) error {
		away := []*entry{c.entries[0], c.entries[3]}
		others := []*entry{c.entries[1], c.entries[2], c.entries[4], c.entries[5]}
		var jobs []*job
		for range 80 {
			jobs = append(jobs, c.newJob(1, 2000, 2500*time.Millisecond))
		}
		errs := make(chan error, len(away))
		for i, x := range away {
			go func() {
				for k := i; k < len(jobs); k += len(away) {
					if err := c.handIn(jobs[k], x); err != nil {
						errs <- err
						return
					}
				}
				errs <- nil
			}()
		}
		for range away {
			if err := <-errs; err != nil {
				return err
			}
		}
		for _, x := range away {
			if !c.trouble {
				break
			}
			c.check.note("the store turns %s away (reset) and its keys are taken away", x.name)
			x.front.set("reset")
			for _, key := range c.store.keys("/radishweir/entries/" + x.name) {
				c.check.note("key %s is taken away", key)
				c.store.drop(key)
			}
		}
		begin := time.Now()
		go c.follow(jobs, others, begin.Add(25*time.Second))
		time.Sleep(5500 * time.Millisecond)
		for _, x := range away {
			c.check.note("the store serves %s again", x.name)
			x.front.set("")
		}
		time.Sleep(time.Until(begin.Add(20 * time.Second)))
		return nil
	}}
}

func caseMain(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: third NAME PROGRAM RECORD")
		return 2
	}
	if _, ok := scenarios[args[0]]; !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	if _, err := os.Stat(args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	program, err := filepath.Abs(args[1])
	if err != nil {
		return 2
	}
	return runCase(args[0], program, args[2], os.Getenv("TROUBLE") != "0")
}
