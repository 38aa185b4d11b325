package assembler

import (
	"context"
	"os"
	"time"

	"radishweir.org/lib/loader"
)

const (
	// answerAttempts and answerRetryInterval limit the delivery of an answer to the
	// current home of its shard; answerAttemptTimeout limits one attempt.
	answerAttempts       = 10
	answerRetryInterval  = 200 * time.Millisecond
	answerAttemptTimeout = 2 * time.Second
	// drainPollInterval is the time between two attempts to hand over the remaining
	// shards, and between two checks for open jobs.
	drainPollInterval = 50 * time.Millisecond
	// finalAnswerTimeout limits the sending of the last answers after the drain was
	// cut short.
	finalAnswerTimeout = 2 * time.Second
	// deregisterTimeout limits the removal of the registration.
	deregisterTimeout = time.Second
)

// drain ends the entry's work in this order: it reports the entry as not ready,
// tells its peers, gives load balancers time to notice, hands over the shards,
// waits for the open jobs and the callers' requests, stops the server for other
// entries and removes the registration. A handover that is in progress ends first;
// drain calls stopPlacer when its limit is reached.
func (e *Entry) drain(ctx context.Context, signals <-chan os.Signal, stopPlacer context.CancelFunc) {
	e.draining.Store(true)
	e.callerServer.Retire()
	ctx, cancel := context.WithTimeout(ctx, loader.Duration(e.DrainLimit))
	defer cancel()
	defer context.AfterFunc(ctx, stopPlacer)()
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
	e.handOverShards(ctx)
	e.endRequests(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancelLeave()
	if err := e.registrar.Leave(leaveCtx); err != nil {
		e.Log.Warn().Err(err).Msg("registration_not_removed")
	}
}

// handOverShards hands over this entry's shards until none remain, no other entry
// can take them or ctx ends.
func (e *Entry) handOverShards(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.placer.Drain(ctx)
		if err == nil {
			return
		}
		e.Log.Info().Err(err).Msg("drain_handover")
		if e.withoutSuccessor() {
			return
		}
		pause(ctx, drainPollInterval)
	}
}

// withoutSuccessor reports whether no other entry in the failure domain can take
// over the shards.
func (e *Entry) withoutSuccessor() bool {
	for _, m := range e.registrar.Members() {
		if m.GetName() != e.Name && m.GetFailureDomain() == e.FailureDomain &&
			m.Registered && !m.Draining && m.Reachable(time.Now()) {
			return false
		}
	}
	return true
}

// endRequests waits for the callers' requests, the open jobs and the requests of other
// entries to end. When ctx ends, it cancels the jobs and answers the requests that are still
// open, so that each gets a verdict within finalAnswerTimeout.
func (e *Entry) endRequests(ctx context.Context) {
	final, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		time.AfterFunc(finalAnswerTimeout, cancel)
		e.cancelOpenJobs(final)
	})()
	if err := e.callerServer.Drain(final); err != nil {
		e.Log.Error().Err(err).Msg("callers_not_answered")
	}
	e.waitForOpenJobs(final)
	e.entryServer.Shutdown(final)
	e.waitForOpenJobs(final)
	if n := e.tracker.OpenJobs(); n > 0 {
		e.Log.Error().Int("jobs", n).Msg("open_jobs_without_verdict")
	}
	if n := e.unsentAnswers.Load(); n > 0 {
		e.Log.Error().Int64("answers", n).Msg("answers_not_delivered")
	}
}

// cancelOpenJobs cancels the open jobs and the callers' requests until ctx ends. A request
// that is being read may still submit a job.
func (e *Entry) cancelOpenJobs(ctx context.Context) {
	if n := e.tracker.OpenJobs(); n > 0 {
		e.Log.Warn().Int("jobs", n).Msg("open_jobs_ended")
	}
	for ctx.Err() == nil {
		e.tracker.CancelAll("the entry was stopped before the job ended")
		e.callerServer.CancelRequests()
		pause(ctx, drainPollInterval)
	}
}

// waitForOpenJobs waits until no job is open and the answers of those that were handed over
// have reached their homes, or ctx ends.
func (e *Entry) waitForOpenJobs(ctx context.Context) {
	for ctx.Err() == nil && (e.tracker.OpenJobs() > 0 || e.unsentAnswers.Load() > 0) {
		pause(ctx, drainPollInterval)
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
