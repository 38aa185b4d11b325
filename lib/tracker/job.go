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

// Job is the record of one job at its home.
type Job struct {
	key     jobKey
	service string
	attempt uint32
	// Deadline is the time after which the caller has no use for the answer.
	Deadline time.Time
	// AcceptedAt is when the home accepted the job.
	AcceptedAt time.Time

	tracker    *Tracker
	shard      *shard
	repeatable bool
	tasks      []*dispatcher.Task
	// timer cancels the job at its deadline. If another entry runs the job, it ends
	// the job answerMargin after the deadline instead.
	timer *time.Timer
	done  chan struct{}

	mu sync.Mutex
	// runner names the entry that still runs the job; empty if that is this
	// entry or the job has ended.
	runner     string
	outcomes   []dispatcher.Outcome
	hasOutcome []bool
	openTasks  int
	failure    string
	canceled   bool
	answer     *wire.JobAnswer
	expiresAt  time.Time
	// handedOver is true if the last handover of the record carried no answer, so
	// that the answer must be sent to the new home.
	handedOver bool
}

func newJob(k jobKey, sub Submission) *Job {
	now := time.Now()
	window := time.Duration(sub.Service.GetResubmissionWindowMs()) * time.Millisecond
	return &Job{
		key: k, service: sub.Service.GetService(), attempt: sub.Request.GetAttempt(),
		Deadline: sub.Request.GetDeadline().AsTime(), AcceptedAt: now,
		repeatable: sub.Service.GetRepeatable(), done: make(chan struct{}),
		expiresAt: sub.Request.GetDeadline().AsTime().Add(window + sub.maxTransit()),
	}
}

// Tenant returns the name of the tenant that owns the job.
func (j *Job) Tenant() string { return j.key.tenant }

// Service returns the name of the job's service.
func (j *Job) Service() string { return j.service }

// prepare builds the tasks that the runner gets.
func (j *Job) prepare(sub Submission) []*dispatcher.Task {
	n := len(sub.Request.GetTasks())
	j.outcomes = make([]dispatcher.Outcome, n)
	j.hasOutcome = make([]bool, n)
	j.openTasks = n
	j.tasks = make([]*dispatcher.Task, n)
	for i, t := range sub.Request.GetTasks() {
		j.tasks[i] = &dispatcher.Task{
			ID: j.taskID(i), Tenant: j.key.tenant, Weight: sub.Weight, Deadline: j.Deadline,
			Input: t.GetInput(), Settle: func(o dispatcher.Outcome) { j.recordOutcome(i, o) },
		}
	}
	return j.tasks
}

// taskID returns an identifier that is unique across tenants, jobs and tasks.
func (j *Job) taskID(i int) string {
	return j.key.tenant + "/" + j.key.id + "/" + strconv.Itoa(i)
}

// startDeadlineTimer starts the timer that cancels the job at its deadline.
func (j *Job) startDeadlineTimer() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer == nil {
		j.timer = time.AfterFunc(time.Until(j.Deadline), func() { j.Cancel("the deadline passed") })
	}
}

// recordOutcome records the outcome of one task; the job ends with its last
// task. The first failed task cancels the waiting tasks. It also stops the
// running ones if the job is repeatable; otherwise they run to their end, so
// that the verdict is exact.
func (j *Job) recordOutcome(i int, o dispatcher.Outcome) {
	j.mu.Lock()
	if j.hasOutcome[i] {
		j.mu.Unlock()
		return
	}
	j.hasOutcome[i] = true
	j.outcomes[i] = o
	j.openTasks--
	firstFailure := !o.OK && j.failure == ""
	if firstFailure {
		j.failure = o.Reason
	}
	last := j.openTasks == 0
	j.mu.Unlock()
	if last {
		j.assembleAnswer()
		return
	}
	if firstFailure {
		j.tracker.Runner.Cancel(j.service, j.tasks, j.repeatable)
	}
}

// Cancel withdraws the job's waiting tasks and stops its running ones.
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

// refuse ends a job that the runner did not accept.
func (j *Job) refuse(err error) {
	j.setAnswer(FailedAnswer(j.key.id, err))
}

// FailedAnswer returns the answer of a job that failed with err.
func FailedAnswer(id string, err error) *wire.JobAnswer {
	a := &wire.JobAnswer{
		JobId: id, State: wire.JobState_failed, Verdict: classifier.Of(err), Reason: err.Error(),
	}
	if e, ok := classifier.As(err); ok {
		a.RetryAfterMs = uint32(e.RetryAfter.Milliseconds())
	}
	return a
}

// assembleAnswer ends the job with an answer built from the outcomes of its tasks.
func (j *Job) assembleAnswer() {
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
		a.State, a.Reason, a.Verdict = wire.JobState_failed, j.failure, classifier.Combine(verdicts)
		for _, t := range a.GetTasks() {
			t.Output = nil
		}
	}
	j.mu.Unlock()
	j.setAnswer(a)
}

// setAnswer sets the answer, unless the job has one, and wakes the callers that
// wait for it.
func (j *Job) setAnswer(a *wire.JobAnswer) {
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
	exported := j.handedOver
	j.mu.Unlock()
	close(j.done)
	if j.tracker == nil {
		return
	}
	if j.tracker.Ended != nil {
		j.tracker.Ended(j, a)
	}
	if exported {
		j.tracker.sendAnswerIfMoved(j)
	}
}

// sendAnswerIfMoved sends the answer to the present home of the job's shard if
// the shard has moved.
func (t *Tracker) sendAnswerIfMoved(j *Job) {
	sh := j.shard
	sh.mu.Lock()
	moved := sh.phase == released
	if moved {
		delete(sh.jobs, j.key)
	}
	sh.mu.Unlock()
	if moved {
		t.SendAnswer(sh.name, j.record(""))
	}
}

// restartedBy reports whether sub starts the job again. A job that was answered
// with not_run can no longer run under any attempt so far, so a later one may
// run; if the job is repeatable, any attempt may.
func (j *Job) restartedBy(sub Submission) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer.GetVerdict() != classifier.NotRun || j.answer.GetState() != wire.JobState_failed {
		return false
	}
	return sub.Service.GetRepeatable() || sub.Request.GetAttempt() > j.attempt
}

// ended reports whether the job has ended.
func (j *Job) ended() bool {
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

// expired reports whether the record may be removed.
func (j *Job) expired(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answer != nil && now.After(j.expiresAt)
}

// Runner returns the name of the entry that still runs the job; empty if that
// is this entry or the job has ended.
func (j *Job) Runner() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runner
}

// Wait waits for the job's answer and returns it, or the progress if ctx ends
// first.
func (j *Job) Wait(ctx context.Context) *wire.JobAnswer {
	select {
	case <-j.done:
	case <-ctx.Done():
	}
	return j.Answer()
}

// Answer returns the job's answer, or its progress if it has not ended.
func (j *Job) Answer() *wire.JobAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer != nil {
		return j.answer
	}
	a := &wire.JobAnswer{
		JobId: j.key.id, State: wire.JobState_queued, Verdict: classifier.MayHaveRun,
		EndedTasks: uint32(len(j.outcomes) - j.openTasks),
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
