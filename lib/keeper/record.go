package keeper

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// newRecord returns the record of a newly submitted job.
func newRecord(j coordinator.Job, holder string) *wire.KeptJob {
	out := &wire.KeptJob{
		Queue: j.Kind, Service: j.Service, Spec: j.Spec, Holder: holder, MaxFailures: uint32(j.MaxFailures),
		ArrivedMs: j.Arrived.UnixMilli(), DueMs: j.Due.UnixMilli(),
	}
	for _, s := range j.Steps {
		step := &wire.KeptStep{
			Tasks: uint32(s.Tasks), Need: runner.AmountToWire(s.Need), ExpectedMs: float64(s.Expected) / float64(time.Millisecond),
			Label: s.Label, Data: s.Data, MostTogether: uint32(s.MaxPerUpstream),
		}
		for _, before := range s.After {
			step.After = append(step.After, uint32(before))
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

// taskNumber returns the number of a task counted over all steps, or false if the
// record has no such task.
func taskNumber(r *wire.KeptJob, step, index int) (uint32, bool) {
	if step >= len(r.GetSteps()) || index >= int(r.GetSteps()[step].GetTasks()) {
		return 0, false
	}
	n := uint32(index)
	for _, s := range r.GetSteps()[:step] {
		n += s.GetTasks()
	}
	return n, true
}

// jobOf returns the job that a record describes.
func jobOf(id string, r *wire.KeptJob) coordinator.Job {
	var steps []coordinator.Step
	for _, s := range r.GetSteps() {
		step := coordinator.Step{
			Tasks: int(s.GetTasks()), Need: runner.AmountFromWire(s.GetNeed()),
			Expected: time.Duration(s.GetExpectedMs() * float64(time.Millisecond)),
			Label:    s.GetLabel(), Data: s.GetData(), MaxPerUpstream: int(s.GetMostTogether()),
		}
		for _, before := range s.GetAfter() {
			step.After = append(step.After, int(before))
		}
		steps = append(steps, step)
	}
	return coordinator.Job{
		ID: id, Kind: r.GetQueue(), Service: r.GetService(), Spec: r.GetSpec(), Holder: r.GetHolder(),
		Steps:   steps,
		Arrived: time.UnixMilli(r.GetArrivedMs()), Due: time.UnixMilli(r.GetDueMs()),
		MaxFailures: int(r.GetMaxFailures()), Done: r.GetDone(), Failures: r.GetFailures(), Lost: lostUpstreams(r), RunBase: uint64(r.GetTerm()) << termShift,
	}
}

// lostToWire converts an upstream lost under a task to its form in a record.
func lostToWire(task uint32, l coordinator.LostUpstream) *wire.LostUpstream {
	return &wire.LostUpstream{
		Task: task, Upstream: l.Upstream, Address: l.Address, Incarnation: l.Incarnation, Isolated: l.Isolated, LostMs: l.At.UnixMilli(),
	}
}

// lostUpstreams returns the upstreams lost under the tasks of a job by task number.
func lostUpstreams(r *wire.KeptJob) map[uint32][]coordinator.LostUpstream {
	out := make(map[uint32][]coordinator.LostUpstream)
	for _, l := range r.GetLost() {
		out[l.GetTask()] = append(out[l.GetTask()], coordinator.LostUpstream{
			Upstream: l.GetUpstream(), Address: l.GetAddress(), Incarnation: l.GetIncarnation(), Isolated: l.GetIsolated(),
			At: time.UnixMilli(l.GetLostMs()),
		})
	}
	return out
}

// isConflict reports whether a write failed because another one came first.
func isConflict(err error) bool { return errors.Is(err, platform.ErrConflict) }

// isUnavailable reports whether a write failed before anything was written.
func isUnavailable(err error) bool { return errors.Is(err, platform.ErrUnavailable) }

// encode serializes a record. Marshalling a KeptJob cannot fail.
func encode(r *wire.KeptJob) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// decode parses a record. It returns an empty record if data is invalid.
func decode(data []byte) *wire.KeptJob {
	r := &wire.KeptJob{}
	if err := proto.Unmarshal(data, r); err != nil {
		return &wire.KeptJob{}
	}
	return r
}
