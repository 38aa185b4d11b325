package keeper

import (
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// recordOf describes a job that was just accepted.
func recordOf(j coordinator.Job, holder string) *wire.KeptJob {
	return &wire.KeptJob{
		Queue: j.Kind, Service: j.Service, Spec: j.Spec, Holder: holder, MaxFailures: uint32(j.MaxFailures),
		ArrivedMs: j.Arrived.UnixMilli(), DueMs: j.Due.UnixMilli(),
		Steps: []*wire.KeptStep{{
			Tasks: uint32(j.Tasks), Need: runner.MessageOf(j.Need), ExpectedMs: float64(j.Expected) / float64(time.Millisecond),
		}},
	}
}

// jobOf returns the job that a record describes.
func jobOf(id string, r *wire.KeptJob) coordinator.Job {
	step := r.GetSteps()[0]
	return coordinator.Job{
		ID: id, Kind: r.GetQueue(), Service: r.GetService(), Spec: r.GetSpec(), Holder: r.GetHolder(),
		Tasks: int(step.GetTasks()), Need: runner.AmountOf(step.GetNeed()),
		Expected: time.Duration(step.GetExpectedMs() * float64(time.Millisecond)),
		Arrived:  time.UnixMilli(r.GetArrivedMs()), Due: time.UnixMilli(r.GetDueMs()),
		MaxFailures: int(r.GetMaxFailures()), Done: r.GetDone(), Failures: r.GetFailures(), FirstRun: uint64(r.GetTerm()) << termShift,
	}
}

// isConflict reports that another write came first.
func isConflict(err error) bool { return errors.Is(err, platform.ErrConflict) }

// isUnavailable reports that nothing was written.
func isUnavailable(err error) bool { return errors.Is(err, platform.ErrUnavailable) }
