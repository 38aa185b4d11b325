package composer

import (
	"context"
	"time"

	"radishweir.org/lib/loader"
)

const (
	// deregisterTimeout bounds the removal of the registration and, separately,
	// that of the holder.
	deregisterTimeout = time.Second
	// drainInterval is the time between two checks for open jobs and runs.
	drainInterval = 20 * time.Millisecond
)

// drain shuts the entry down in order: it reports not ready, hands its upstreams
// to other owners, waits for the load balancer, and lets the open jobs end.
func (e *Entry) drain(ctx context.Context) {
	e.draining.Store(true)
	e.callerServer.Retire()
	settings := e.current.Load()
	d := newDrainDeadlines(time.Now(), loader.Duration(settings.DrainLimit), loader.Duration(settings.BalancerWait))
	e.coordinator.StopAt(d.jobs)
	defer time.AfterFunc(time.Until(d.jobs), e.endCalls).Stop()
	ctx, cancel := context.WithDeadline(ctx, d.limit)
	defer cancel()
	work, cancelWork := context.WithDeadline(ctx, d.work)
	defer cancelWork()
	e.enroller.StopRenewing()
	deregisterCtx, cancelDeregister := context.WithTimeout(work, deregisterTimeout)
	if err := e.enroller.Deregister(deregisterCtx); err != nil {
		e.Log.Warn().Err(err).Msg("registration_not_removed")
	}
	cancelDeregister()
	select {
	case <-work.Done():
	case <-time.After(time.Until(d.balancer)):
	}
	answered := e.callerServer.Drain(work)
	if answered != nil {
		open, _ := e.coordinator.Counts()
		e.Log.Warn().Int("jobs", open).Err(answered).Msg("open_jobs_ended")
	}
	e.drainKeptJobs(ctx, d.work)
	e.drainRuns(work)
	if answered != nil {
		// The last answers have the rest of the time; connections_left tells whether it was enough.
		_ = e.callerServer.Drain(ctx)
	}
}

// drainRuns waits for the runs of other entries and the jobs that they delegated.
func (e *Entry) drainRuns(ctx context.Context) {
	for ctx.Err() == nil && e.runner.RunCount()+e.received.open() > 0 {
		time.Sleep(drainInterval)
	}
	if e.Delegation {
		// The answer to the last job may still wait for the frame that carries it.
		time.Sleep(drainInterval)
	}
}
