package driver

import (
	"context"
	"math/rand/v2"
	"time"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/upstream"
	"radishweir.org/lib/wire"
)

// sendDirect runs the tasks of a job one after another, each on a random upstream
// and without an entry.
func (d *driver) sendDirect(ctx context.Context, req *wire.JobRequest, res Result, at time.Time) Result {
	a := &wire.JobAnswer{JobId: req.GetJobId(), State: wire.JobState_complete, Verdict: classifier.Ran}
	for i, t := range req.GetTasks() {
		out, err := d.upstreams.Start(ctx, d.Upstreams[rand.IntN(len(d.Upstreams))], upstream.Task{
			ID: res.Tenant + "/" + req.GetJobId() + "/0", Service: d.Service, Attempt: 1,
			Deadline: req.GetDeadline().AsTime(), Input: t.GetInput(),
		})
		if err != nil {
			a.State, a.Verdict, a.Reason = wire.JobState_failed, classifier.Of(err), err.Error()
			break
		}
		a.Tasks = append(a.Tasks, &wire.TaskAnswer{Index: uint32(i), Verdict: classifier.Ran, Output: out.Output})
	}
	res.Answer, res.Attempts, res.Response = a, 1, time.Since(at)
	return res
}
