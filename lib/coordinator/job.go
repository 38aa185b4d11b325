package coordinator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/wire"
)

// Step is a set of equal tasks of a job.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Need is the capacity that each task reserves.
	Need packer.Amount
	// Expected is the declared run time of a task; it may be far off.
	Expected time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Label is a label that the upstream must have; empty for none.
	Label string
	// Data is the label of the upstreams near the step's data; on others its tasks
	// take longer. Empty for none.
	Data string
	// Image names what the tasks run; tasks of one image behave alike. Empty if unknown.
	Image string
	// MaxPerUpstream limits the tasks of the step that run on one upstream at
	// the same time; 0 for no limit.
	MaxPerUpstream int
}

// expected returns the declared run time of a task, at least one millisecond. It
// is taken as the run time on an upstream of average speed.
func (s *Step) expected() time.Duration { return max(s.Expected, time.Millisecond) }

// work returns the work of all tasks of the step in core-seconds.
func (s *Step) work() float64 {
	return float64(s.Tasks) * s.expected().Seconds() * float64(s.Need.CPU) / 1000
}

// Job is a set of steps that is answered as a whole.
type Job struct {
	// ID is chosen by the caller.
	ID string
	// Kind is the name of the configured queue that the job was submitted to.
	Kind string
	// Service is the name of the service whose upstreams may run the job.
	Service string
	// Priority is that of the queue; 0 for the most urgent ones.
	Priority int
	// Spec is handed to the upstreams unchanged.
	Spec string
	// Steps are the parts of the job. A step may depend only on earlier ones.
	Steps []Step
	// Arrived is the time of the submission.
	Arrived time.Time
	// Due is the time up to which an answer counts as in time.
	Due time.Time
	// Deadline is the time after which the caller no longer waits. Kept jobs have
	// none.
	Deadline time.Time
	// MaxFailures is the number of failed runs of one task that fail the job.
	MaxFailures int
	// Delegated is true if the job came from another entry, which holds its caller. It is
	// not handed on.
	Delegated bool
	// CallerGone reports whether the caller's connection has ended, which may be
	// before the end of the context that Submit got; nil if that is unknown.
	CallerGone func() bool

	// Holder is the leased identity of the entry that runs the job, if the job is
	// kept: its answer is only in the store, and it runs whether or not a caller
	// waits. Empty for jobs that are cancelled when their callers leave.
	Holder string
	// Done lists the tasks of a kept job that are done already, numbered over all
	// steps.
	Done []uint32
	// Failures counts the earlier failed runs of a kept job by task number.
	Failures map[uint32]uint32
	// Lost holds the upstreams that went down under tasks of a kept job, by task
	// number.
	Lost map[uint32][]LostUpstream
	// RunBase is the number below the first run number of a kept job's tasks.
	RunBase uint64
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

const (
	// taskMemory and stepMemory are the memory in bytes that a task and a step of an open
	// job take.
	taskMemory = 512
	stepMemory = 512
)

// MemoryBytes returns the memory in bytes that the job takes while it is open.
func (j *Job) MemoryBytes() int64 {
	n := len(j.Spec) + j.Tasks()*taskMemory
	for i := range j.Steps {
		n += stepMemory + 8*len(j.Steps[i].After)
	}
	return int64(n)
}

// CriticalPath returns the expected run time of the longest chain of dependent
// steps.
func (j *Job) CriticalPath() time.Duration {
	out := time.Duration(0)
	for _, d := range j.timesToEnd() {
		out = max(out, d)
	}
	return out
}

// timesToEnd returns for each step the expected time from its start to the end
// of the job.
func (j *Job) timesToEnd() []time.Duration {
	out := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		out[i] += j.Steps[i].expected()
		for _, dependency := range j.Steps[i].After {
			out[dependency] = max(out[dependency], out[i])
		}
	}
	return out
}

// kept reports whether the job is a kept one.
func (j *Job) kept() bool { return j.Holder != "" }

// State is the outcome of a job.
type State int

// Outcomes of a job.
const (
	// Complete means that every task is done.
	Complete State = iota + 1
	// Failed means that a task failed too often.
	Failed
	// Refused means that no task has run or will run.
	Refused
	// Expired means that the caller's deadline passed after a task may have started,
	// or, for a kept job, that it is unknown whether the job was stored.
	Expired
	// Cancelled means that all callers left, or that this entry no longer runs a
	// kept job.
	Cancelled
	// Accepted means that the job is stored and will be run.
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
	// RetryAfter is the time after which the caller may submit a refused job again.
	RetryAfter time.Duration
}

// task is one task of an open job.
type task struct {
	job *job
	// stepIndex is the index of the task's step, index that of the task in its step,
	// and number that of the task in the job.
	stepIndex int
	index     int
	number    int
	// run is the number of the last run; before the first run it is the number
	// below that of the first run.
	run uint64
	// sequence is the number of requests for the task so far.
	sequence uint64
	upstream string
	owner    string
	// ownedAt is when the owner became known as the one of the run.
	ownedAt time.Time
	// formerOwners are the earlier owners of the run's upstream that were asked for the run.
	formerOwners []string
	placed       bool
	done         bool
	failures     int
	// avoid holds the names of upstreams on which a run of this task did not
	// succeed.
	avoid map[string]bool
	// incarnation is that of the upstream of the last run, reserved the capacity
	// taken for that run, and isolated is true if that is all of the upstream's.
	incarnation int64
	reserved    packer.Amount
	isolated    bool
	// lost are the upstreams that went down under the task and have not been found
	// alive since. storingLoss is true while the last of them is not stored.
	lost        []LostUpstream
	storingLoss bool
	// onHold is true while the lost upstreams forbid a start. Each pass determines it anew.
	onHold bool
	// isolateUntil is the time until which a suspect waits for an idle upstream;
	// zero if it does not wait.
	isolateUntil time.Time
}

// name returns the task's identifier at upstreams: job, occurrence (always 0),
// step and index, separated by dots.
func (t *task) name() string {
	return TaskName(t.job.ID, t.stepIndex, t.index)
}

// TaskName returns the name of a task; ParseTask is its inverse.
func TaskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// step returns the step of the task.
func (t *task) step() *Step { return &t.job.Steps[t.stepIndex] }

// job is a Job that has no answer yet.
type job struct {
	Job
	tasks  []*task
	placed int
	done   int
	// remaining is the number of tasks of each step that are not done, timeToEnd the
	// expected time from the start of each step to the end of the job.
	remaining []int
	timeToEnd []time.Duration
	// firstTask is the number of the first task of each step.
	firstTask []int
	// fits is true for each step whose tasks fit an idle upstream.
	fits []bool
	// started is true while a task may have been started; such a job is never
	// refused.
	started bool
	// firstPlacedAt and lastPlacedAt are the times at which a task was sent to an upstream
	// for the first and for the last time; zero before.
	firstPlacedAt time.Time
	lastPlacedAt  time.Time
	// placedAtOnce is the number of tasks that were sent together with the first one, and
	// rejected the number of runs that did not start for want of room.
	placedAtOnce int
	rejected     int
	// ran is true once a run may have started, for this entry or for another one.
	ran bool
	// hasSuspects is true once an upstream went down under a task.
	hasSuspects bool
	// value is the value of the job per core-second, see kindStats.value.
	value  float64
	answer chan Answer
	delegation
	// callers is the number of callers that wait for the answer, callersGone holds
	// the CallerGone of all that came.
	callers     int
	callersGone []func() bool
}

// addCaller adds a caller that waits for the answer.
func (j *job) addCaller(gone func() bool) {
	if gone == nil {
		gone = func() bool { return false }
	}
	j.callers++
	j.callersGone = append(j.callersGone, gone)
}

// abandoned reports whether nobody waits for the answer of a job that is not kept.
func (j *job) abandoned() bool {
	if j.kept() || len(j.callersGone) == 0 {
		return false
	}
	for _, gone := range j.callersGone {
		if !gone() {
			return false
		}
	}
	return true
}

// newJob opens a job. The run numbers of its tasks are higher than the given one.
func newJob(j Job, run uint64) *job {
	out := &job{Job: j, answer: make(chan Answer, 1), timeToEnd: j.timesToEnd(), remaining: make([]int, len(j.Steps)), firstTask: make([]int, len(j.Steps)), fits: make([]bool, len(j.Steps))}
	out.hasSuspects = len(j.Lost) > 0
	for s := range j.Steps {
		out.remaining[s], out.firstTask[s] = j.Steps[s].Tasks, len(out.tasks)
		for i := range j.Steps[s].Tasks {
			n := len(out.tasks)
			out.tasks = append(out.tasks, &task{job: out, stepIndex: s, index: i, number: n, run: run, failures: int(j.Failures[uint32(n)]), lost: j.Lost[uint32(n)]})
		}
	}
	for _, n := range j.Done {
		if int(n) < len(out.tasks) && !out.tasks[n].done {
			out.markDone(out.tasks[n])
		}
	}
	return out
}

// markDone marks a task as done.
func (j *job) markDone(t *task) {
	t.done = true
	j.done++
	j.remaining[t.stepIndex]--
}

// taskKind returns the kind of the tasks of a step for the measurement of interference:
// their image, or the queue if the image is unknown.
func (j *job) taskKind(step int) string { return cmp.Or(j.Steps[step].Image, j.Kind) }

// ready reports whether all steps that a step depends on are done.
func (j *job) ready(step int) bool {
	for _, s := range j.Steps[step].After {
		if j.remaining[s] > 0 {
			return false
		}
	}
	return true
}

// fitsUpstreams reports whether the tasks of all steps that are not done fit an idle
// upstream.
func (j *job) fitsUpstreams() bool {
	for s, n := range j.remaining {
		if n > 0 && !j.fits[s] {
			return false
		}
	}
	return true
}

// isWaiting reports whether a task waits for an upstream.
func (t *task) isWaiting() bool {
	return !t.placed && !t.done && !t.onHold && t.job.ready(t.stepIndex)
}

// waitingTasks returns the tasks that wait for an upstream, ordered by step.
func (j *job) waitingTasks() []*task {
	out := make([]*task, 0, len(j.tasks))
	for _, t := range j.tasks {
		if t.isWaiting() {
			out = append(out, t)
		}
	}
	return out
}

// hasWaitingTasks reports whether any task waits for an upstream.
func (j *job) hasWaitingTasks() bool {
	if j.placed+j.done == len(j.tasks) || j.delegate != "" {
		return false
	}
	for _, t := range j.tasks {
		if t.isWaiting() {
			return true
		}
	}
	return false
}

// expectedRemaining returns the expected time until the end of the job on
// average upstreams.
func (j *job) expectedRemaining() time.Duration {
	out := time.Millisecond
	for s, n := range j.remaining {
		if n > 0 {
			out = max(out, j.timeToEnd[s])
		}
	}
	return out
}

// effectiveDue returns the time by which the job must end to be in time while
// the caller still waits.
func (j *job) effectiveDue() time.Time {
	if !j.Deadline.IsZero() && j.Deadline.Before(j.Due) {
		return j.Deadline
	}
	return j.Due
}

// setOwner records the owner of the upstream of a placed task.
func (t *task) setOwner(owner string, now time.Time) {
	if owner != t.owner && t.owner != "" && !slices.Contains(t.formerOwners, t.owner) {
		t.formerOwners = append(t.formerOwners, t.owner)
	}
	t.owner, t.ownedAt = owner, now
}

// cancelRun returns the cancellations of a placed task's run. They also go to former owners,
// which serve the upstream until the current one has reached it.
func (t *task) cancelRun() []message {
	return append([]message{t.cancelRunAt(t.owner)}, t.cancelAtFormerOwners()...)
}

// cancelAtFormerOwners returns the cancellations of a placed task's run at former owners.
func (t *task) cancelAtFormerOwners() []message {
	var out []message
	for _, o := range t.formerOwners {
		if o != t.owner {
			out = append(out, t.cancelRunAt(o))
		}
	}
	return out
}

// cancelRunAt returns the cancellation of a placed task's run at one owner.
func (t *task) cancelRunAt(owner string) message {
	return message{owner: owner, cancel: &wire.RunCancel{Upstream: t.upstream, Task: t.name(), Run: t.run}}
}

// lastRun returns the highest run number of the job's tasks.
func (j *job) lastRun() uint64 {
	n := uint64(0)
	for _, t := range j.tasks {
		n = max(n, t.run)
	}
	return n
}

// failedOrActiveUpstreams returns the names of the upstreams on which runs of
// the job did not succeed or are still at work.
func (j *job) failedOrActiveUpstreams() []string {
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
