package coordinator

import (
	"time"

	"radishweir.org/lib/wire"
)

const (
	// keptPatience stands in for the time that is left to a kept job that is late;
	// it is run all the same.
	keptPatience = time.Hour
	// lateShare and overdueShare are what a late kept job counts beside one in
	// time, and one that is later than worthlessAfter times its time; the latter
	// must only be done in the end.
	lateShare      = 0.2
	overdueShare   = 0.01
	worthlessAfter = 3
	// keptBacklog is how many times its own time the work before a kept job may
	// take before it is turned away; what is later than that is worth nothing.
	keptBacklog = worthlessAfter
)

// End is a listed end of a kept run.
type End struct {
	Upstream string
	Task     string
	Run      uint64
}

// Keeper stores what becomes of kept jobs. Its methods are called under the
// coordinator's lock and must not call back before they return.
type Keeper interface {
	// Holder is the identity whose jobs may be run now; empty if none may.
	Holder() string
	// TaskEnded tells that a run of a task is done or failed; tasks are counted over
	// all steps. Safe is called once that is stored.
	TaskEnded(job string, index uint32, done bool, e End)
	// JobEnded tells that a job is Complete or Failed.
	JobEnded(job string, s State)
	// Stray tells of the end of a run that is not expected here, by the task's step
	// and its index in that step.
	Stray(job string, step, index int, done bool, holder string, e End)
}

// Keep takes a stored job. Its outcome is told to the Keeper.
func (c *Coordinator) Keep(in Job) {
	c.mu.Lock()
	if c.jobs[in.ID] != nil {
		c.mu.Unlock()
		return
	}
	j := newJob(in, in.FirstRun)
	c.jobs[j.ID] = j
	c.keptOpen++
	var out []message
	switch {
	case j.done == len(j.tasks):
		out = c.end(j, Answer{State: Complete})
	case j.failedTooOften():
		out = c.end(j, Answer{State: Failed, Reason: "a task failed too often"})
	default:
		c.enqueue(j)
	}
	c.mu.Unlock()
	c.emit(out)
	c.Wake()
}

// failedTooOften reports whether a task used up its runs.
func (j *job) failedTooOften() bool {
	for _, t := range j.tasks {
		if t.failures >= max(j.MaxFailures, 1) {
			return true
		}
	}
	return false
}

// Release gives up a kept job: its runs are stopped and nothing is told.
func (c *Coordinator) Release(id string) {
	c.mu.Lock()
	var out []message
	if j := c.jobs[id]; j != nil && j.kept() {
		out = c.close(j, Answer{State: Cancelled, Reason: "released"})
	}
	c.mu.Unlock()
	c.emit(out)
}

// Safe lets the owners of upstreams forget ends that are stored.
func (c *Coordinator) Safe(list []End) {
	c.mu.Lock()
	var out []message
	for _, e := range list {
		if s := c.sites[e.Upstream]; s != nil {
			out = append(out, message{owner: s.owner, safe: &wire.RunSafe{Upstream: e.Upstream, Task: e.Task, Run: e.Run}})
		}
	}
	c.mu.Unlock()
	c.emit(out)
}

// Begun reports whether a task of a job may have been started.
func (c *Coordinator) Begun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	return j != nil && (j.begun || j.done > 0)
}

// Pending counts the kept jobs that have not begun, by kind.
func (c *Coordinator) Pending() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64)
	for _, j := range c.waiting {
		if j.kept() && j.done == 0 {
			out[j.Kind]++
		}
	}
	return out
}

// Refuses reports whether a job should not be kept: no upstream could hold a task
// of it, or the work before it takes too long.
func (c *Coordinator) Refuses(in Job) (Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := newJob(in, 0)
	if !c.possible(j) {
		return c.refuse(j, "no upstream is large enough"), true
	}
	if wait := c.backlog(); wait > keptBacklog*in.Due.Sub(in.Arrived) {
		a := Answer{State: Refused, Reason: "the queue is too long", RetryAfter: retryAfter(wait)}
		c.observe(j, a)
		return a, true
	}
	return Answer{}, false
}

// suspended reports whether a job must not get runs now, as another entry may
// have taken it over.
func (c *Coordinator) suspended(j *job) bool { return j.kept() && j.Holder != c.holder }

// checkHolder learns whose jobs may be run now, and drops those of an identity
// that was replaced; the caller holds the lock.
func (c *Coordinator) checkHolder() []message {
	if c.keptOpen == 0 {
		return nil
	}
	c.holder = c.Keeper.Holder()
	if c.holder == "" {
		return nil
	}
	var out []message
	for _, j := range c.jobs {
		if j.kept() && j.Holder != c.holder {
			out = append(out, c.close(j, Answer{State: Cancelled, Reason: "released"})...)
		}
	}
	return out
}

// lateness is what a job counts beside one in time.
func lateness(j *job, now time.Time) float64 {
	switch {
	case !j.kept() || now.Before(j.Due):
		return 1
	case now.Before(j.Arrived.Add(worthlessAfter * j.Due.Sub(j.Arrived))):
		return lateShare
	}
	return overdueShare
}

// meaningful reports whether a cause says more than that the task must run again.
func meaningful(cause wire.RunEnd_Cause) bool {
	return cause == wire.RunEnd_done || cause == wire.RunEnd_failed
}

// end answers a job that is over; the caller holds the lock.
func (c *Coordinator) end(j *job, a Answer) []message {
	out := c.close(j, a)
	if j.kept() && c.Keeper != nil {
		c.Keeper.JobEnded(j.ID, a.State)
	}
	return out
}

// taskEnded tells the keeper of a run that means something; the caller holds the
// lock.
func (c *Coordinator) taskEnded(t *task, e *wire.RunEnd) {
	if t.job.kept() && c.Keeper != nil {
		c.Keeper.TaskEnded(t.job.ID, uint32(t.number), e.GetCause() == wire.RunEnd_done, endOf(e))
	}
}

// stray tells the keeper of an end that no placed task waits for; the caller
// holds the lock.
func (c *Coordinator) stray(e *wire.RunEnd) {
	if id, step, i, ok := parseTask(e.GetTask()); ok && (c.jobs[id] == nil || c.jobs[id].kept()) {
		c.Keeper.Stray(id, step, i, e.GetCause() == wire.RunEnd_done, e.GetHolder(), endOf(e))
	}
}

func endOf(e *wire.RunEnd) End {
	return End{Upstream: e.GetUpstream(), Task: e.GetTask(), Run: e.GetRun()}
}
