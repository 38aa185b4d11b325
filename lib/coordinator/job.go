package coordinator

import (
	"slices"
	"strconv"
	"time"

	"radishweir.org/lib/packer"
)

// Step is a set of equal tasks of a job.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Need is what each task takes.
	Need packer.Amount
	// Expected is the declared run time of a task; it may be far off.
	Expected time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Label is one that the upstream must have; empty for none.
	Label string
	// Data is the label of upstreams near the step's data; on others its tasks take
	// longer. Empty for none.
	Data string
	// MostTogether bounds the tasks of the step on one upstream; 0 for no bound.
	MostTogether int
}

// expected is the run time that is expected of a task on an average upstream.
func (s *Step) expected() time.Duration { return max(s.Expected, time.Millisecond) }

// size is the work of the step in core-seconds.
func (s *Step) size() float64 {
	return float64(s.Tasks) * s.expected().Seconds() * float64(s.Need.CPU) / 1000
}

// Job is one or more steps with one answer.
type Job struct {
	// ID is chosen by the caller.
	ID string
	// Kind names the queue of the configuration that the job came to.
	Kind string
	// Service names the upstreams that may run it.
	Service string
	// Spec is handed to the upstreams unchanged.
	Spec string
	// Steps are the parts of the job, each after those that it names.
	Steps []Step
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
	// Done holds the tasks of a kept job that were done before, counted over all
	// steps.
	Done []uint32
	// Failures holds the failed runs of its tasks before.
	Failures map[uint32]uint32
	// FirstRun is the number below its first run.
	FirstRun uint64
}

// Tasks is the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// Chain is the longest time that the steps take one after the other.
func (j *Job) Chain() time.Duration {
	out := time.Duration(0)
	for _, d := range j.chains() {
		out = max(out, d)
	}
	return out
}

// chains returns for each step the longest time from its beginning to the end of
// the job.
func (j *Job) chains() []time.Duration {
	out := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		out[i] += j.Steps[i].expected()
		for _, before := range j.Steps[i].After {
			out[before] = max(out[before], out[i])
		}
	}
	return out
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
	job *job
	// step is that of the task, index counts within it, number over all steps.
	step   int
	index  int
	number int
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
func (t *task) name() string {
	return t.job.ID + ".0." + strconv.Itoa(t.step) + "." + strconv.Itoa(t.index)
}

// spec is the step of the task.
func (t *task) spec() *Step { return &t.job.Steps[t.step] }

// job is a Job until its answer.
type job struct {
	Job
	tasks  []*task
	placed int
	done   int
	// left counts the tasks of each step that are not done, rest is the longest time
	// from the beginning of each step to the end of the job.
	left []int
	rest []time.Duration
	// first is the number of the first task of each step.
	first []int
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
	out := &job{Job: j, answer: make(chan Answer, 1), rest: j.chains(), left: make([]int, len(j.Steps)), first: make([]int, len(j.Steps))}
	for s := range j.Steps {
		out.left[s], out.first[s] = j.Steps[s].Tasks, len(out.tasks)
		for i := range j.Steps[s].Tasks {
			n := len(out.tasks)
			out.tasks = append(out.tasks, &task{job: out, step: s, index: i, number: n, run: run, failures: int(j.Failures[uint32(n)])})
		}
	}
	for _, n := range j.Done {
		if int(n) < len(out.tasks) && !out.tasks[n].done {
			out.finish(out.tasks[n])
		}
	}
	return out
}

// finish notes that a task is done.
func (j *job) finish(t *task) {
	t.done = true
	j.done++
	j.left[t.step]--
}

// due reports whether all steps that come before a step are done.
func (j *job) due(step int) bool {
	for _, s := range j.Steps[step].After {
		if j.left[s] > 0 {
			return false
		}
	}
	return true
}

// waits reports whether a task waits for an upstream.
func (t *task) waits() bool { return !t.placed && !t.done && t.job.due(t.step) }

// open lists the tasks that wait for an upstream, by step.
func (j *job) open() []*task {
	out := make([]*task, 0, len(j.tasks))
	for _, t := range j.tasks {
		if t.waits() {
			out = append(out, t)
		}
	}
	return out
}

// isOpen reports whether any task waits for an upstream.
func (j *job) isOpen() bool {
	if len(j.Steps) == 1 {
		return j.placed+j.done < len(j.tasks)
	}
	for _, t := range j.tasks {
		if t.waits() {
			return true
		}
	}
	return false
}

// chain is the longest time that is expected until the end of the job on average
// upstreams.
func (j *job) chain() time.Duration {
	out := time.Millisecond
	for s, n := range j.left {
		if n > 0 {
			out = max(out, j.rest[s])
		}
	}
	return out
}

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
