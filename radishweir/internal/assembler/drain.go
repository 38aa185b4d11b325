package assembler

import (
	"context"
	"os"
	"time"

	"radishweir.org/lib/loader"
)

const (
	// settleTries and settleInterval bound the delivery of an answer to the
	// shard's present home; settleTimeout bounds one try.
	settleTries    = 10
	settleInterval = 200 * time.Millisecond
	settleTimeout  = 2 * time.Second
	// drainInterval is the time between two looks at what is still open.
	drainInterval = 50 * time.Millisecond
	// lastAnswers is the time that answers get after the drain was cut short.
	lastAnswers = 2 * time.Second
	// leaveTimeout bounds the removal of the registration.
	leaveTimeout = time.Second
)

// drain ends the entry's work in order: not ready, balancer wait, handover of
// the shards, end of the open jobs and of the callers' requests.
func (e *Entry) drain(ctx context.Context, signals <-chan os.Signal) {
	e.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, loader.Duration(e.DrainLimit))
	defer cancel()
	go func() {
		select {
		case sig := <-signals:
			e.Log.Warn().Str("signal", sig.String()).Msg("drain_cut_short")
			cancel()
		case <-ctx.Done():
		}
	}()
	e.heartbeater.Round(ctx, true)
	pause(ctx, loader.Duration(e.BalancerWait))
	e.handOver(ctx)
	e.finish(ctx)
	e.entryServer.Shutdown(ctx)
	leaving, done := context.WithTimeout(context.Background(), leaveTimeout)
	defer done()
	if err := e.registrar.Leave(leaving); err != nil {
		e.Log.Warn().Err(err).Msg("registration_not_removed")
	}
}

// handOver gives away the shards while that is possible.
func (e *Entry) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.placer.Drain(ctx)
		if err == nil {
			return
		}
		e.Log.Info().Err(err).Msg("drain_handover")
		if e.alone() {
			return
		}
		pause(ctx, drainInterval)
	}
}

// alone reports whether no other entry of the failure domain can take over.
func (e *Entry) alone() bool {
	for _, m := range e.registrar.Members() {
		if m.GetName() != e.Name && m.GetFailureDomain() == e.FailureDomain &&
			m.Registered && !m.Draining && m.Reachable(time.Now()) {
			return false
		}
	}
	return true
}

// finish waits for the open jobs and the callers' requests. When ctx ends it
// gives each open job its verdict.
func (e *Entry) finish(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		if e.callers.Shutdown(ctx) != nil {
			e.tracker.CancelAll("the entry was stopped before the job ended")
			last, cancel := context.WithTimeout(context.Background(), lastAnswers)
			defer cancel()
			_ = e.callers.Shutdown(last)
		}
		close(closed)
	}()
	for ctx.Err() == nil && e.tracker.OpenJobs() > 0 {
		pause(ctx, drainInterval)
	}
	<-closed
	if n := e.tracker.OpenJobs(); n > 0 {
		e.tracker.CancelAll("the entry was stopped before the job ended")
		e.Log.Warn().Int("jobs", n).Msg("open_jobs_ended")
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
