package coordinator

import (
	"time"

	"radishweir.org/lib/wire"
)

const (
	// lateKeptRemaining replaces the remaining time of a kept job that is late,
	// as such a job is run all the same.
	lateKeptRemaining = time.Hour
	// lateWeight multiplies the rank of a kept job that is late. overdueWeight
	// does so once the time since its arrival exceeds overdueFactor times the
	// time from arrival to due time: such a job need only be done eventually.
	lateWeight    = 0.2
	overdueWeight = 0.01
	overdueFactor = 3
	// keptWaitFactor limits the wait for a kept job's start to that multiple of
	// the time from its arrival to its due time; a result later than that is
	// worth nothing.
	keptWaitFactor = overdueFactor
	// failedTooOftenReason is the reason of the failure of a job of which a task failed
	// MaxFailures times.
	failedTooOftenReason = "a task failed too often"
)

// End identifies a kept job's run that ended and that its upstream still lists.
type End struct {
	Upstream string
	Task     string
	Run      uint64
}

// Keeper stores the progress of kept jobs. Its methods are called with the
// coordinator's lock held, so they must not call the coordinator before they
// return.
type Keeper interface {
	// Holder returns the identity whose jobs may be run now; empty if none may.
	Holder() string
	// TaskEnded reports that a run of a task is done or failed; index numbers the
	// tasks over all steps. The keeper calls ReleaseEnds once that is stored.
	TaskEnded(job string, index uint32, done bool, e End)
	// UpstreamLost reports all upstreams lost under a task, numbered over all steps,
	// after one more was lost.
	UpstreamLost(job string, index uint32, lost []LostUpstream)
	// LossStored reports whether the job's record holds what UpstreamLost last reported of
	// a task. The keeper calls Wake when that changes.
	LossStored(job string, index uint32) bool
	// JobEnded reports that a job is Complete or Failed.
	JobEnded(job string, s State)
	// OrphanedEnd reports the end of a run that no placed task of this entry
	// waits for, by the step of the task and its index in that step.
	OrphanedEnd(job string, step, index int, done bool, e End)
}

// SubmitKept accepts a stored job. Its outcome is reported to the Keeper.
func (c *Coordinator) SubmitKept(in Job) {
	c.mu.Lock()
	if c.jobs[in.ID] != nil {
		c.mu.Unlock()
		return
	}
	j := newJob(in, in.RunBase)
	c.jobs[j.ID] = j
	c.openKept++
	c.keptMemory += j.MemoryBytes()
	var out []message
	switch {
	case j.done == len(j.tasks):
		out = c.endJob(j, Answer{State: Complete})
	case j.failedTooOften():
		out = c.endJob(j, Answer{State: Failed, Reason: failedTooOftenReason})
	case len(j.Lost) > 0:
		j.started, j.ran = true, true
	default:
		c.updateFit(j)
		c.enqueue(j)
	}
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	c.Wake()
}

// failedTooOften reports whether a task failed MaxFailures times.
func (j *job) failedTooOften() bool {
	for _, t := range j.tasks {
		if t.failures >= max(j.MaxFailures, 1) {
			return true
		}
	}
	return false
}

// Release abandons a kept job: its runs are stopped and the Keeper gets no report.
func (c *Coordinator) Release(id string) {
	c.mu.Lock()
	var out []message
	if j := c.jobs[id]; j != nil && j.kept() {
		out = c.close(j, Answer{State: Cancelled, Reason: "released"})
	}
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
}

// ReleaseEnds tells the owners of upstreams that ends are stored and may be
// forgotten.
func (c *Coordinator) ReleaseEnds(list []End) {
	c.mu.Lock()
	var out []message
	for _, e := range list {
		if s := c.upstreams[e.Upstream]; s != nil {
			out = append(out, message{owner: s.owner, release: &wire.RunSafe{Upstream: e.Upstream, Task: e.Task, Run: e.Run}})
		}
	}
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
}

// MarkDone marks a task of a kept job as done, after a run that the coordinator no
// longer waited for has succeeded. The number counts the tasks of all steps. Another
// run of the task is stopped.
func (c *Coordinator) MarkDone(id string, number int) {
	c.mu.Lock()
	var out []message
	if j := c.jobs[id]; j != nil && j.kept() && number < len(j.tasks) && !j.tasks[number].done {
		t := j.tasks[number]
		if t.placed {
			t.placed = false
			j.placed--
			out = append(out, t.cancelRun()...)
		}
		j.ran = true
		j.markDone(t)
		if j.done == len(j.tasks) {
			out = append(out, c.endJob(j, Answer{State: Complete})...)
		}
	}
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	c.Wake()
}

// MarkFailed counts a failed run of a task of a kept job that the coordinator no longer
// waited for. The number counts the tasks of all steps.
func (c *Coordinator) MarkFailed(id string, number int) {
	c.mu.Lock()
	if j := c.jobs[id]; j != nil && j.kept() && number < len(j.tasks) && !j.tasks[number].done {
		j.tasks[number].failures++
		if j.failedTooOften() {
			c.enqueueMessages(c.endJob(j, Answer{State: Failed, Reason: failedTooOftenReason}))
		}
	}
	c.mu.Unlock()
	c.sendQueued()
}

// MayHaveStarted reports whether a task of a job may have been started.
func (c *Coordinator) MayHaveStarted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	return j != nil && (j.started || j.done > 0)
}

// Pending counts the waiting kept jobs of which no task is done, by kind.
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

// Refuses reports whether a job must not be accepted as a kept one, and the answer
// to its caller: the tasks of one of its steps are too large for any upstream, there
// is no memory for it, or the waiting jobs take too long to start.
func (c *Coordinator) Refuses(in Job) (Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := newJob(in, 0)
	c.updateFit(j)
	if !j.fitsUpstreams() {
		return c.refuse(j, noLargeUpstream), true
	}
	if !c.hasKeptMemory(in.MemoryBytes()) {
		a := Answer{State: Refused, Reason: "the entry has no memory for the job", RetryAfter: retryAfter(c.backlog())}
		c.recordAnswer(j, a)
		return a, true
	}
	if wait := c.backlog(); wait > keptWaitFactor*in.Due.Sub(in.Arrived) {
		a := Answer{State: Refused, Reason: "the queue is too long", RetryAfter: retryAfter(wait)}
		c.recordAnswer(j, a)
		return a, true
	}
	return Answer{}, false
}

// hasKeptMemory reports whether there is memory for one more kept job of n bytes. A job gets
// at most half of what is left, so that there is room for smaller ones; the caller holds the
// lock.
func (c *Coordinator) hasKeptMemory(n int64) bool {
	return c.MaxKeptMemory == 0 || c.openKept == 0 || n <= (c.MaxKeptMemory-c.keptMemory)/2
}

// suspended reports whether no tasks of a job may be placed now, because another
// entry may have taken the job over.
func (c *Coordinator) suspended(j *job) bool { return j.kept() && j.Holder != c.holder }

// updateHolder asks the Keeper whose jobs may be run now, and abandons the jobs of
// an identity that was replaced; the caller holds the lock.
func (c *Coordinator) updateHolder() []message {
	if c.openKept == 0 {
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

// lateFactor returns the factor of a job's rank: below 1 for a late kept job, 1 for
// any other job.
func lateFactor(j *job, now time.Time) float64 {
	switch {
	case !j.kept() || now.Before(j.Due):
		return 1
	case now.Before(j.Arrived.Add(overdueFactor * j.Due.Sub(j.Arrived))):
		return lateWeight
	}
	return overdueWeight
}

// isResult reports whether a cause is a result of the task, which a kept job's
// record must hold; after other causes the task simply runs again.
func isResult(cause wire.RunEnd_Cause) bool {
	return cause == wire.RunEnd_done || cause == wire.RunEnd_failed
}

// endJob answers a job that is complete or failed, and reports it to the Keeper
// if it is kept; the caller holds the lock.
func (c *Coordinator) endJob(j *job, a Answer) []message {
	out := c.close(j, a)
	if j.kept() && c.Keeper != nil {
		c.Keeper.JobEnded(j.ID, a.State)
	}
	return out
}

// reportTaskEnd reports the result of a kept job's task to the Keeper; the
// caller holds the lock.
func (c *Coordinator) reportTaskEnd(t *task, e *wire.RunEnd) {
	if t.job.kept() && c.Keeper != nil {
		c.Keeper.TaskEnded(t.job.ID, uint32(t.number), e.GetCause() == wire.RunEnd_done, endOf(e))
	}
}

// reportOrphanedEnd reports to the Keeper an end that no placed task waits for,
// unless the job is an open one that is not kept; the caller holds the lock.
func (c *Coordinator) reportOrphanedEnd(e *wire.RunEnd) {
	if id, step, i, ok := ParseTask(e.GetTask()); ok && (c.jobs[id] == nil || c.jobs[id].kept()) {
		c.Keeper.OrphanedEnd(id, step, i, e.GetCause() == wire.RunEnd_done, endOf(e))
	}
}

func endOf(e *wire.RunEnd) End {
	return End{Upstream: e.GetUpstream(), Task: e.GetTask(), Run: e.GetRun()}
}
