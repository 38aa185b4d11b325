package tracker

import (
	"context"
	"strconv"
	"sync"
	"time"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/wire"
)

// Job is one job at its home.
type Job struct {
	key     key
	service string
	attempt uint32
	// Deadline is the absolute time after which the answer is worthless.
	Deadline time.Time
	// Began is when the home took the job.
	Began time.Time

	tracker    *Tracker
	shard      *shard
	repeatable bool
	tasks      []*dispatcher.Task
	timer      *time.Timer
	done       chan struct{}

	mu sync.Mutex
	// runner names the entry that still runs the job; empty for this one.
	runner   string
	outcomes []dispatcher.Outcome
	settled  []bool
	open     int
	failure  string
	canceled bool
	answer   *wire.JobAnswer
	forgetAt time.Time
	// exported is true when a handover named this entry as the runner.
	exported bool
}

func newJob(k key, sub Submission) *Job {
	now := time.Now()
	window := time.Duration(sub.Service.GetResubmissionWindowMs()) * time.Millisecond
	return &Job{
		key: k, service: sub.Service.GetService(), attempt: sub.Request.GetAttempt(),
		Deadline: sub.Request.GetDeadline().AsTime(), Began: now,
		repeatable: sub.Service.GetRepeatable(), done: make(chan struct{}),
		forgetAt: sub.Request.GetDeadline().AsTime().Add(window),
	}
}

// Tenant returns the owner of the job.
func (j *Job) Tenant() string { return j.key.tenant }

// Service returns the name of the job's service.
func (j *Job) Service() string { return j.service }

// prepare builds the tasks.
func (j *Job) prepare(sub Submission) []*dispatcher.Task {
	n := len(sub.Request.GetTasks())
	j.outcomes = make([]dispatcher.Outcome, n)
	j.settled = make([]bool, n)
	j.open = n
	j.tasks = make([]*dispatcher.Task, n)
	for i, t := range sub.Request.GetTasks() {
		j.tasks[i] = &dispatcher.Task{
			ID: j.taskID(i), Tenant: j.key.tenant, Weight: sub.Weight, Deadline: j.Deadline,
			Input: t.GetInput(), Settle: func(o dispatcher.Outcome) { j.settle(i, o) },
		}
	}
	return j.tasks
}

// taskID is unique over tenants, jobs and tasks.
func (j *Job) taskID(i int) string {
	return j.key.tenant + "/" + j.key.id + "/" + strconv.Itoa(i)
}

// arm sets the timer that ends the job at its deadline.
func (j *Job) arm() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer == nil {
		j.timer = time.AfterFunc(time.Until(j.Deadline), func() { j.Cancel("the deadline passed") })
	}
}

// settle takes the outcome of one task. The job ends with its last task. A
// failed task ends a repeatable job at once; otherwise the tasks that run are
// awaited, so that the verdict is exact, and the waiting ones withdrawn.
func (j *Job) settle(i int, o dispatcher.Outcome) {
	j.mu.Lock()
	if j.settled[i] {
		j.mu.Unlock()
		return
	}
	j.settled[i] = true
	j.outcomes[i] = o
	j.open--
	firstFailure := !o.OK && j.failure == ""
	if firstFailure {
		j.failure = o.Reason
	}
	last := j.open == 0
	j.mu.Unlock()
	if last {
		j.assemble()
		return
	}
	if firstFailure {
		j.tracker.Runner.Cancel(j.service, j.tasks, j.repeatable)
	}
}

// Cancel ends the job: waiting tasks are withdrawn, running ones stopped.
func (j *Job) Cancel(reason string) {
	j.mu.Lock()
	if j.answer != nil || j.runner != "" {
		j.mu.Unlock()
		return
	}
	if j.failure == "" {
		j.failure = reason
	}
	j.mu.Unlock()
	j.tracker.Runner.Cancel(j.service, j.tasks, true)
}

// refuse ends a job that the runner did not take.
func (j *Job) refuse(err error) {
	j.conclude(Refusal(j.key.id, err))
}

// Refusal is the answer to a job that failed with err.
func Refusal(id string, err error) *wire.JobAnswer {
	a := &wire.JobAnswer{
		JobId: id, State: wire.JobState_failed, Verdict: classifier.Of(err), Reason: err.Error(),
	}
	if e, ok := classifier.As(err); ok {
		a.RetryAfterMs = uint32(e.RetryAfter.Milliseconds())
	}
	return a
}

// assemble builds the answer from all outcomes.
func (j *Job) assemble() {
	j.mu.Lock()
	a := &wire.JobAnswer{
		JobId: j.key.id, State: wire.JobState_complete, Verdict: classifier.Ran,
		EndedTasks: uint32(len(j.outcomes)),
	}
	verdicts := make([]classifier.Verdict, len(j.outcomes))
	for i, o := range j.outcomes {
		verdicts[i] = o.Verdict
		a.Tasks = append(a.Tasks, &wire.TaskAnswer{
			Index: uint32(i), Verdict: o.Verdict, Output: o.Output, Reason: o.Reason, Upstream: o.Upstream,
		})
	}
	if j.failure != "" {
		a.State, a.Reason, a.Verdict = wire.JobState_failed, j.failure, classifier.Worst(verdicts)
		for _, t := range a.GetTasks() {
			t.Output = nil
		}
	}
	j.mu.Unlock()
	j.conclude(a)
}

// conclude sets the answer once and wakes those who wait.
func (j *Job) conclude(a *wire.JobAnswer) {
	j.mu.Lock()
	if j.answer != nil {
		j.mu.Unlock()
		return
	}
	j.answer = a
	j.runner = ""
	j.tasks = nil
	j.outcomes = nil
	if j.timer != nil {
		j.timer.Stop()
	}
	exported := j.exported
	j.mu.Unlock()
	close(j.done)
	if j.tracker == nil {
		return
	}
	if j.tracker.Ended != nil {
		j.tracker.Ended(j, a)
	}
	if exported {
		j.tracker.deliver(j)
	}
}

// deliver sends the answer to the shard's present home, if it has moved.
func (t *Tracker) deliver(j *Job) {
	sh := j.shard
	sh.mu.Lock()
	moved := sh.phase == released
	if moved {
		delete(sh.jobs, j.key)
	}
	sh.mu.Unlock()
	if moved {
		t.Settle(sh.name, j.record(""))
	}
}

// superseded reports whether a submission starts the job anew: every attempt
// that was refused can no longer run, so a later one may.
func (j *Job) superseded(sub Submission) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer.GetVerdict() != classifier.NotRun || j.answer.GetState() != wire.JobState_failed {
		return false
	}
	return sub.Service.GetRepeatable() || sub.Request.GetAttempt() > j.attempt
}

// over reports whether the job has its answer.
func (j *Job) over() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answer != nil
}

// runsHere reports whether this entry still runs the job.
func (j *Job) runsHere() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answer == nil && j.runner == ""
}

// expired reports whether the record may be forgotten.
func (j *Job) expired(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answer != nil && now.After(j.forgetAt)
}

// Runner names the entry that still runs the job; empty for this one.
func (j *Job) Runner() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runner
}

// Wait returns the answer, or the progress if ctx ends first.
func (j *Job) Wait(ctx context.Context) *wire.JobAnswer {
	select {
	case <-j.done:
	case <-ctx.Done():
	}
	return j.Answer()
}

// Answer returns the answer, or the progress so far.
func (j *Job) Answer() *wire.JobAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer != nil {
		return j.answer
	}
	a := &wire.JobAnswer{
		JobId: j.key.id, State: wire.JobState_queued, Verdict: classifier.MayHaveRun,
		EndedTasks: uint32(len(j.outcomes) - j.open),
	}
	if j.runner != "" {
		a.State = wire.JobState_running
	}
	for _, t := range j.tasks {
		if t.Started() {
			a.State = wire.JobState_running
			break
		}
	}
	return a
}
