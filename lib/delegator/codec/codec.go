// Package codec converts delegated jobs and their answers to and from the messages
// between entries.
//
// It is separate from package delegator so that the coordinator can use the latter.
//
// # Usage
//
//	m, err := codec.JobToWire(job, number, time.Now())
//	job, err := codec.JobFromWire(m, time.Now())
//	a, err := codec.AnswerFromWire(codec.AnswerToWire(job.ID, number, answer))
//
// Times in messages are relative to the time of the conversion, as the clocks of entries
// differ; the time that a message is on its way is not subtracted. Sizes in messages are
// bounded, since what a peer sends is placed and held in memory. Both directions check
// the bounds, so that a job which the peer would reject is not sent.
package codec

import (
	"math"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

const (
	// maxSpecBytes bounds the specification of a job; a frame of 8 MB holds several.
	maxSpecBytes = 1 << 20
	// maxNameBytes bounds identifiers, names and labels; callers' identifiers have at
	// most 128 bytes.
	maxNameBytes = 256
	// maxTasks bounds the tasks of a job, and so its steps; submissions have at most 390.
	maxTasks = 1024
	// maxReasonBytes bounds the reason of an answer, which goes into a log line.
	maxReasonBytes = 256
	// maxCount bounds the other counts: failures, priorities and tasks on one upstream.
	maxCount = 1 << 16
	// maxAmount bounds each resource that a task needs, in thousandths of a core,
	// megabytes or accelerators, so that sums over all tasks do not overflow.
	maxAmount = 1 << 40
	// maxExpected bounds the declared run time of a task in milliseconds: one day.
	maxExpected = 24 * 60 * 60 * 1000
	// maxAge bounds the time in milliseconds since a job arrived: an hour, far longer than any
	// caller waits. Statistics of arrivals count from that time.
	maxAge = 60 * 60 * 1000
	// maxRetryAfter bounds the time after which a refused caller may retry; entries ask
	// for at most 12 s.
	maxRetryAfter = time.Minute
)

// invalid returns an error that names what is wrong.
func invalid(what string) error { return errors.New("invalid delegation: " + what) }

// JobToWire converts a job that is delegated at the given time. It returns an error if
// the job cannot be delegated: kept jobs, jobs without a deadline, and jobs that exceed
// the bounds.
func JobToWire(j coordinator.Job, number uint64, now time.Time) (*wire.DelegatedJob, error) {
	switch {
	case j.Holder != "":
		return nil, invalid("the job is kept")
	case j.Deadline.IsZero():
		return nil, invalid("no deadline")
	case j.MaxFailures < 0 || j.MaxFailures > maxCount || j.Priority < 0 || j.Priority > maxCount:
		return nil, invalid("a count is out of range")
	}
	out := &wire.DelegatedJob{
		Job: j.ID, Kind: j.Kind, Service: j.Service, Spec: j.Spec, Number: number,
		MaxFailures: uint32(j.MaxFailures), Priority: uint32(j.Priority),
		AgeMs:   uint32(min(max(now.Sub(j.Arrived).Milliseconds(), 0), math.MaxUint32)),
		DueInMs: millisecondsUntil(j.Due, now), DeadlineInMs: millisecondsUntil(j.Deadline, now),
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Tasks < 0 || s.Tasks > maxTasks || s.MaxPerUpstream < 0 || s.MaxPerUpstream > maxCount {
			return nil, invalid("a step is out of range")
		}
		step := &wire.KeptStep{
			Tasks: uint32(s.Tasks), Need: runner.AmountToWire(s.Need), ExpectedMs: float64(s.Expected) / float64(time.Millisecond),
			Label: s.Label, Data: s.Data, MostTogether: uint32(s.MaxPerUpstream),
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				return nil, invalid("a step depends on a later one")
			}
			step.After = append(step.After, uint32(before))
		}
		out.Steps = append(out.Steps, step)
	}
	if err := check(out); err != nil {
		return nil, err
	}
	return out, nil
}

// millisecondsUntil returns the time until t in milliseconds, rounded down.
func millisecondsUntil(t, now time.Time) int32 {
	ms := math.Floor(float64(t.Sub(now)) / float64(time.Millisecond))
	return int32(min(max(ms, math.MinInt32), math.MaxInt32))
}

// JobFromWire converts a delegated job that was received at the given time. It returns
// an error if the message is malformed or exceeds the bounds.
func JobFromWire(m *wire.DelegatedJob, now time.Time) (coordinator.Job, error) {
	if err := check(m); err != nil {
		return coordinator.Job{}, err
	}
	out := coordinator.Job{
		ID: m.GetJob(), Kind: m.GetKind(), Service: m.GetService(), Spec: m.GetSpec(),
		MaxFailures: int(m.GetMaxFailures()), Priority: int(m.GetPriority()),
		Arrived:  now.Add(-time.Duration(min(m.GetAgeMs(), maxAge)) * time.Millisecond),
		Due:      now.Add(time.Duration(m.GetDueInMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.GetDeadlineInMs()) * time.Millisecond),
	}
	for _, s := range m.GetSteps() {
		step := coordinator.Step{
			Tasks: int(s.GetTasks()), Need: runner.AmountFromWire(s.GetNeed()),
			Expected: time.Duration(s.GetExpectedMs() * float64(time.Millisecond)),
			Label:    s.GetLabel(), Data: s.GetData(), MaxPerUpstream: int(s.GetMostTogether()),
		}
		for _, before := range s.GetAfter() {
			step.After = append(step.After, int(before))
		}
		out.Steps = append(out.Steps, step)
	}
	return out, nil
}

// check returns an error if a message is malformed or exceeds the bounds.
func check(m *wire.DelegatedJob) error {
	switch {
	case m.GetJob() == "" || m.GetNumber() == 0:
		return invalid("no job or number")
	case !validName(m.GetJob()) || !validName(m.GetKind()) || !validName(m.GetService()):
		return invalid("a name is too long")
	case len(m.GetSpec()) > maxSpecBytes || !utf8.ValidString(m.GetSpec()):
		return invalid("the specification is too long or no text")
	case m.GetMaxFailures() > maxCount || m.GetPriority() > maxCount:
		return invalid("a count is out of range")
	case len(m.GetSteps()) == 0 || len(m.GetSteps()) > maxTasks:
		return invalid("no steps or too many")
	}
	tasks := 0
	for i, s := range m.GetSteps() {
		if err := checkStep(i, s); err != nil {
			return err
		}
		tasks += int(s.GetTasks())
	}
	if tasks > maxTasks {
		return invalid("too many tasks")
	}
	return nil
}

// checkStep returns an error if the step with the given index is malformed or exceeds
// the bounds.
func checkStep(index int, s *wire.KeptStep) error {
	need, expected := runner.AmountFromWire(s.GetNeed()), s.GetExpectedMs()
	most := packer.Amount{CPU: maxAmount, Memory: maxAmount, GPU: maxAmount}
	switch {
	case s.GetTasks() == 0 || s.GetTasks() > maxTasks || s.GetMostTogether() > maxCount:
		return invalid("a count of a step is out of range")
	case !need.Holds(packer.Amount{}) || !most.Holds(need):
		return invalid("the need of a step is out of range")
	case !(expected >= 0 && expected <= maxExpected): // also true if it is no number
		return invalid("the run time of a step is out of range")
	case !validName(s.GetLabel()) || !validName(s.GetData()):
		return invalid("a label is too long")
	case len(s.GetAfter()) > index:
		return invalid("a step depends on too many others")
	}
	for _, before := range s.GetAfter() {
		if int64(before) >= int64(index) {
			return invalid("a step depends on a later one")
		}
	}
	return nil
}

// validName reports whether a name is short and can be sent.
func validName(s string) bool { return len(s) <= maxNameBytes && utf8.ValidString(s) }

// AnswerToWire converts the answer to a delegated job. A reason that is too long is cut
// off.
func AnswerToWire(job string, number uint64, a coordinator.Answer) *wire.DelegatedAnswer {
	reason := a.Reason[:min(len(a.Reason), maxReasonBytes)]
	retry := min(max(a.RetryAfter, 0), maxRetryAfter)
	return &wire.DelegatedAnswer{
		Job: job, Number: number, State: uint32(a.State), Reason: strings.ToValidUTF8(reason, ""),
		RetryAfterMs: uint32((retry + time.Millisecond - 1) / time.Millisecond),
	}
}

// AnswerFromWire converts the answer to a delegated job. It returns an error if the
// message is malformed; the job may have run then.
func AnswerFromWire(m *wire.DelegatedAnswer) (coordinator.Answer, error) {
	switch state := coordinator.State(m.GetState()); state {
	case coordinator.Complete, coordinator.Failed, coordinator.Refused, coordinator.Expired, coordinator.Cancelled:
	default:
		return coordinator.Answer{}, invalid("unknown state")
	}
	if len(m.GetReason()) > maxReasonBytes || m.GetRetryAfterMs() > uint32(maxRetryAfter/time.Millisecond) {
		return coordinator.Answer{}, invalid("the reason or the retry time is too long")
	}
	return coordinator.Answer{
		State: coordinator.State(m.GetState()), Reason: m.GetReason(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}, nil
}
