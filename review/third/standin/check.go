package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskSpec is what a worker does for a task.
type taskSpec struct {
	cpu   int
	work  time.Duration
	fails bool
}

// step is a step of a job.
type step struct {
	count    int
	cpu      int
	work     time.Duration
	estimate float64
	after    []int
	requires string
	affinity string
	anti     int
}

// job is a job as the clients and the workers know it.
type job struct {
	id       string
	queue    *queue
	spec     string
	steps    []step
	kept     bool
	fails    bool // its first task always fails
	firstAt  time.Time
	accepted time.Time // the time of a 2xx
	rejected int       // attempts answered 429, 503 or 404
	attempts int
	// cancelSent and cancelled are the times of the first DELETE and of its acknowledgement.
	cancelSent, cancelled time.Time
	state                 string // last state shown
	stateAt               time.Time
	completeAt            time.Time
	answered              time.Time
}

// taskState is what happened to a task.
type taskState struct {
	active   map[string]*activeRun // by worker and run
	starts   int
	doneAt   []doneEnd
	failed   int // noted ends failed
	lastSeen time.Time
	reported bool
}

type activeRun struct {
	worker  string
	number  int
	started time.Time
}

type doneEnd struct {
	at     time.Time
	run    int
	worker string
	noted  bool
	later  []string // starts after it
	byRule bool
}

// Check records what clients, workers and the store see, and finds broken rules.
type Check struct {
	mu    sync.Mutex
	out   io.Writer
	begin time.Time
	jobs  map[string]*job
	tasks map[string]*taskState
	bad   []string
	quiet bool
	// counts by kind
	started_, ended_, noted_ int
	// failures counts the ends failed by task.
	failures map[string]int
}

func newCheck(out io.Writer) *Check {
	return &Check{out: out, begin: time.Now(), jobs: map[string]*job{}, tasks: map[string]*taskState{}, failures: map[string]int{}}
}

func (c *Check) line(format string, args ...any) {
	fmt.Fprintf(c.out, "%8.3f "+format+"\n", append([]any{time.Since(c.begin).Seconds()}, args...)...)
}

// note writes a line to the record.
func (c *Check) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(format, args...)
}

// broken records a broken rule; the caller holds the lock.
func (c *Check) broken(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	c.bad = append(c.bad, s)
	c.line("BROKEN %s", s)
}

func (c *Check) task(name string) *taskState {
	t := c.tasks[name]
	if t == nil {
		t = &taskState{active: map[string]*activeRun{}}
		c.tasks[name] = t
	}
	return t
}

func splitTask(name string) (id string, step int) {
	p := strings.Split(name, ".")
	if len(p) == 4 {
		step, _ = strconv.Atoi(p[2])
	}
	return p[0], step
}

// started records that a worker has begun a task; the worker's lock is held.
func (c *Check) started(task string, number int, k *Worker, spec string, used int, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started_++
	now := time.Now()
	c.line("start %s run %d on %s token %d", task, number, k.id, token)
	t := c.task(task)
	t.starts++
	id, s := splitTask(task)
	j := c.jobs[id]
	switch {
	case j == nil:
		c.broken("UNASKED %s: no client sent the job", task)
		return
	case j.spec != spec:
		c.broken("UNASKED %s: another spec", task)
	case s >= len(j.steps):
		c.broken("UNASKED %s: no such step", task)
		return
	}
	for _, a := range t.active {
		c.broken("TWICE %s run %d on %s while run %d on %s, begun %.3f s before", task, number, k.id, a.number, a.worker, now.Sub(a.started).Seconds())
	}
	t.active[fmt.Sprint(k.id, "/", number)] = &activeRun{k.id, number, now}
	if j.kept {
		for i := range t.doneAt {
			d := &t.doneAt[i]
			d.later = append(d.later, fmt.Sprintf("run %d on %s %.3f s after the end of run %d on %s", number, k.id, now.Sub(d.at).Seconds(), d.run, d.worker))
			if d.noted && !d.byRule {
				d.byRule = true
				c.broken("TWICE %s: %s, which was taken note of", task, d.later[len(d.later)-1])
			}
		}
	}
	if !j.completeAt.IsZero() && now.Sub(j.completeAt) > time.Second {
		c.broken("TWICE %s: a start %.3f s after the job was shown as complete", task, now.Sub(j.completeAt).Seconds())
	}
	for _, b := range j.steps[s].after {
		for i := range j.steps[b].count {
			if len(c.task(fmt.Sprintf("%s.0.%d.%d", id, b, i)).doneAt) == 0 {
				c.broken("ORDER %s before task %d of step %d", task, i, b)
			}
		}
	}
	if r := j.steps[s].requires; r != "" {
		found := false
		for _, l := range k.labels {
			found = found || l == r
		}
		if !found {
			c.broken("ROUTE %s run %d on %s (%v) without the label %s, %.3f s after the worker's start", task, number, k.id, k.labels, r, now.Sub(k.bornAt).Seconds())
		}
	}
	if !k.guards && used > k.cpu {
		c.broken("LIMIT %s brings %s to %d of %d", task, k.id, used, k.cpu)
	}
	if n := j.steps[s].anti; n > 0 {
		same := 0
		for name := range k.runs {
			if i, s2 := splitTask(name); i == id && s2 == s {
				same++
			}
		}
		if same > n {
			c.broken("ROUTE %s on %s beyond anti_affinity %d", task, k.id, n)
		}
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > cancelMS {
		c.broken("UNASKED %s started %.3f s after the job's cancelling was acknowledged", task, now.Sub(j.cancelled).Seconds())
	}
	if j.kept && t.failed >= j.queue.attempts {
		c.broken("BUDGET %s run %d after %d failed runs", task, number, t.failed)
	}
}

// ended records the end of a run; the worker's lock is held.
func (c *Check) ended(task string, number int, worker, how string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended_++
	c.line("end %s run %d on %s: %s (%d)", task, number, worker, how, n)
	t := c.task(task)
	delete(t.active, fmt.Sprint(worker, "/", number))
	if how == "failed" {
		c.failures[task]++
	}
	if how == "done" {
		t.doneAt = append(t.doneAt, doneEnd{at: time.Now(), run: number, worker: worker})
	}
	t.lastSeen = time.Now()
}

// noted records that `observed` has reached an end.
func (c *Check) noted(task string, number int, how string, lapsed bool, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noted_++
	c.line("noted %s run %d: %s lapsed=%v", task, number, how, lapsed)
	if lapsed {
		return
	}
	t := c.task(task)
	if how == "failed" {
		t.failed++
	}
	for i := range t.doneAt {
		d := &t.doneAt[i]
		if d.run == number && d.worker == worker {
			d.noted = true
			id, _ := splitTask(task)
			if j := c.jobs[id]; j != nil && j.kept && len(d.later) > 0 && !d.byRule {
				d.byRule = true
				c.broken("TWICE %s: %s, which was taken note of later", task, d.later[0])
			}
		}
	}
}

// shown records a state that a client was shown.
func (c *Check) shown(j *job, state, by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.state != state {
		c.line("shown %s %s by %s", j.id, state, by)
	}
	j.state, j.stateAt = state, time.Now()
	switch state {
	case "complete":
		if j.completeAt.IsZero() {
			j.completeAt = time.Now()
		}
		for s, st := range j.steps {
			for i := range st.count {
				if len(c.task(fmt.Sprintf("%s.0.%d.%d", j.id, s, i)).doneAt) == 0 {
					c.broken("MIXED %s is shown as complete, task %d.%d has not ended so", j.id, s, i)
				}
			}
		}
	case "failed":
		if !c.failedOften(j) {
			c.broken("LOST %s is shown as failed by %s without cause: no task has %d ends failed", j.id, by, j.queue.attempts)
		}
	case "cancelled":
		if j.cancelSent.IsZero() {
			c.broken("LOST %s is shown as cancelled by %s without cause", j.id, by)
		}
	case "gone":
		if j.kept && j.cancelSent.IsZero() && !j.accepted.IsZero() && time.Since(j.accepted) > 3*time.Second {
			c.broken("LOST %s: 410 from %s", j.id, by)
		}
	}
}

// failedOften reports whether a task's runs ended failed max_attempts times.
func (c *Check) failedOften(j *job) bool {
	for s, st := range j.steps {
		for i := range st.count {
			name := fmt.Sprintf("%s.0.%d.%d", j.id, s, i)
			if c.failures[name] >= j.queue.attempts {
				return true
			}
		}
	}
	return false
}
