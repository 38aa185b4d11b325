package coordinator

import (
	"slices"
	"strconv"
	"time"

	"radishweir.org/lib/packer"
)

// Job is a set of equal tasks with one answer.
type Job struct {
	// ID is chosen by the caller.
	ID string
	// Kind names the queue of the configuration that the job came to.
	Kind string
	// Service names the upstreams that may run it.
	Service string
	// Spec is handed to the upstreams unchanged.
	Spec string
	// Tasks is the number of tasks.
	Tasks int
	// Need is what each task takes.
	Need packer.Amount
	// Expected is the declared run time of a task; it may be far off.
	Expected time.Duration
	// Arrived is the time of the submission.
	Arrived time.Time
	// Due is the latest time for an answer in time.
	Due time.Time
	// Until is the time after which the caller waits no longer.
	Until time.Time
	// MaxFailures is the number of failed runs of a task that fail the job.
	MaxFailures int

	// Holder is the identity under which the job is kept: it has an answer only
	// in the store and runs whether or not a caller waits. Empty for jobs that
	// end with their callers.
	Holder string
	// Done holds the tasks of a kept job that were done before.
	Done []uint32
	// Failures holds the failed runs of its tasks before.
	Failures map[uint32]uint32
	// FirstRun is the number below its first run.
	FirstRun uint64
}

// kept reports whether the job outlives its callers.
func (j *Job) kept() bool { return j.Holder != "" }

// State is the outcome of a job.
type State int

// Outcomes of a job.
const (
	// Complete: every task is done.
	Complete State = iota + 1
	// Failed: a task failed too often.
	Failed
	// Refused: no task ran or will run.
	Refused
	// Expired: the caller's deadline passed after tasks had started.
	Expired
	// Cancelled: the caller left.
	Cancelled
	// Accepted: the job is stored and will be run.
	Accepted
)

// String returns the state's name in logs and metrics.
func (s State) String() string {
	return [...]string{"open", "complete", "failed", "refused", "expired", "cancelled", "accepted"}[s]
}

// Answer is the outcome of a job for its caller.
type Answer struct {
	State State
	// Reason says in a few words why a job was refused or failed.
	Reason string
	// RetryAfter is the time after which a refused job is worth another try.
	RetryAfter time.Duration
}

// task is one task of an open job.
type task struct {
	job   *job
	index int
	// run is the number of the last start, 0 before the first.
	run      uint64
	upstream string
	owner    string
	placed   bool
	done     bool
	failures int
	// avoid names upstreams on which a run of this task went wrong.
	avoid map[string]bool
}

// name is the task's identifier at upstreams: job, occurrence, step and index.
func (t *task) name() string { return t.job.ID + ".0.0." + strconv.Itoa(t.index) }

// job is a Job until its answer.
type job struct {
	Job
	tasks  []*task
	placed int
	done   int
	// begun is true once a task may have been started; such a job is never
	// refused.
	begun bool
	// ran is true once a run certainly started.
	ran bool
	// value is what the job counts for each core-second.
	value  float64
	answer chan Answer
	// joined counts the callers that wait for the answer.
	joined int
}

// newJob opens a job whose runs are numbered after the given one.
func newJob(j Job, run uint64) *job {
	out := &job{Job: j, answer: make(chan Answer, 1), tasks: make([]*task, j.Tasks)}
	for i := range out.tasks {
		out.tasks[i] = &task{job: out, index: i, run: run, failures: int(j.Failures[uint32(i)])}
	}
	for _, i := range j.Done {
		if int(i) < len(out.tasks) && !out.tasks[i].done {
			out.tasks[i].done = true
			out.done++
		}
	}
	return out
}

// open lists the tasks that wait for an upstream.
func (j *job) open() []*task {
	out := make([]*task, 0, len(j.tasks))
	for _, t := range j.tasks {
		if !t.placed && !t.done {
			out = append(out, t)
		}
	}
	return out
}

// expected is the run time that is expected of a task on an average upstream.
func (j *job) expected() time.Duration { return max(j.Expected, time.Millisecond) }

// latest is the time by which the job must end to be in time for a caller that
// still waits.
func (j *job) latest() time.Time {
	if j.Until.Before(j.Due) {
		return j.Until
	}
	return j.Due
}

// missed names the upstreams where runs went wrong and those where runs are at
// work.
func (j *job) missed() []string {
	var out []string
	for _, t := range j.tasks {
		for name := range t.avoid {
			out = append(out, name)
		}
		if t.placed {
			out = append(out, t.upstream)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
