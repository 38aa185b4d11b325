package dispatcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/upstream"
	"radishweir.org/lib/watcher"
)

const (
	// statusInterval is the mean time between status queries for an attempt
	// whose answer was lost.
	statusInterval = 200 * time.Millisecond
	// maxStatusMisses is the number of consecutive status queries without a
	// conclusive reply after which the outcome counts as unknown.
	maxStatusMisses = 4
	// statusTimeout bounds one status query or cancel request.
	statusTimeout = time.Second
)

// finishAttempt ends an attempt, then settles its task or queues it again. Only
// the first call for an attempt has an effect.
func (p *Pool) finishAttempt(a *attempt, res upstream.Result, err error) {
	t := a.task
	verdict := classifier.Ran
	if err != nil {
		verdict = classifier.Of(err)
	}
	first, left := t.endAttempt(a, verdict == classifier.NotRun)
	if !first {
		if err == nil {
			p.Recorder.Message(p.name, t.Tenant, MessageDropped)
		}
		return
	}
	a.stopTimers()
	p.recordResult(a, res, err)
	switch {
	case err == nil:
		p.settleSuccess(t, res)
	case left > 0:
		// Another attempt at the task is still running and decides its outcome.
	default:
		p.retryOrSettle(a, verdict, err)
	}
	p.dispatch()
	if a.upstream.loan != nil {
		p.scheduleReturn()
	}
}

// stopTimers stops the attempt's timers.
func (a *attempt) stopTimers() {
	a.task.mu.Lock()
	defer a.task.mu.Unlock()
	if a.checkTimer != nil {
		a.checkTimer.Stop()
	}
	if a.hedgeTimer != nil {
		a.hedgeTimer.Stop()
	}
}

// settleSuccess settles a task as successful and stops its other attempts.
func (p *Pool) settleSuccess(t *Task, res upstream.Result) {
	if !p.settle(t, Outcome{Verdict: classifier.Ran, OK: true, Output: res.Output}) {
		p.Recorder.Message(p.name, t.Tenant, MessageDropped)
		return
	}
	p.cancelAttempts(t)
}

// retryOrSettle settles a task whose last attempt failed, or queues it again.
func (p *Pool) retryOrSettle(a *attempt, verdict classifier.Verdict, err error) {
	t := a.task
	repeatable := p.cfg.Load().GetRepeatable()
	t.mu.Lock()
	t.failed = t.failed || verdict == classifier.Ran
	attempts := t.attempts
	t.mu.Unlock()
	retryable := verdict == classifier.NotRun || repeatable && p.retries.spend()
	if retryable && attempts < maxAttempts && time.Now().Before(t.Deadline) && p.requeue(t) {
		return
	}
	p.settle(t, Outcome{Verdict: t.verdict(), Reason: err.Error()})
}

// requeue puts the task back into the queue. It returns false if the task has
// already been settled.
func (p *Pool) requeue(t *Task) bool {
	if !t.markWaiting() {
		return false
	}
	p.mu.Lock()
	p.queue.Push(t.Tenant, t.Weight, t.Deadline, t)
	p.mu.Unlock()
	return true
}

// settle ends a task with the given outcome. It returns false if the task has
// already been settled.
func (p *Pool) settle(t *Task, o Outcome) bool {
	if !t.markSettled() {
		return false
	}
	p.reportOutcome(t, o)
	return true
}

// reportOutcome removes a task that was just marked as settled from the tenant's
// open tasks and reports its outcome.
func (p *Pool) reportOutcome(t *Task, o Outcome) {
	t.mu.Lock()
	o.Upstream = t.lastUpstream
	t.mu.Unlock()
	p.mu.Lock()
	p.openTasks[t.Tenant]--
	if p.openTasks[t.Tenant] == 0 {
		delete(p.openTasks, t.Tenant)
	}
	p.mu.Unlock()
	t.Settle(o)
}

// recordResult frees the slot of an ended attempt and updates the metrics and the
// statistics of its upstream and of the service.
func (p *Pool) recordResult(a *attempt, res upstream.Result, err error) {
	d := time.Since(a.startedAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := a.upstream
	s.busy--
	p.running--
	if res.Leaving && !s.Leaving {
		s.Leaving, s.announcedLeaving = true, true
		p.Log.Info().Str("service", p.name).Str("upstream", s.Name).Msg("upstream_leaving")
	}
	switch {
	case err == nil:
		p.failureRate -= averageRate * p.failureRate
		s.recordSuccess(d)
		p.updateMean(d)
		p.runs.add(d)
		if a.kind == MessageStart {
			p.retries.credit()
			p.hedges.credit()
		}
		p.Recorder.Took(p.name, a.task.Tenant, d)
	case errors.Is(err, context.Canceled) && !a.unresponsive.Load():
		// This entry stopped the attempt, so it says nothing about the upstream.
	case classifier.Of(err) == classifier.NotRun:
		p.Recorder.Message(p.name, a.task.Tenant, MessageRefused)
		if res.Busy {
			pause := watcher.Jitter(p.meanRun() / 4)
			s.ejectedUntil = time.Now().Add(pause)
			time.AfterFunc(pause, p.dispatch)
			return
		}
		p.recordFailure(s)
	default:
		p.failureRate += averageRate * (1 - p.failureRate)
		p.recordFailure(s)
	}
}

// updateMean updates the mean run time of the service. The configured typical
// run time counts as a single run, so that a wrong value is soon corrected. The
// caller holds the lock.
func (p *Pool) updateMean(d time.Duration) {
	p.meanRuns++
	rate := max(1/float64(p.meanRuns+1), averageRate/4)
	p.mean += rate * (d.Seconds() - p.mean)
}

// recordFailure counts a failure of an upstream and ejects it after repeated
// failures, but never more than half of the upstreams: when that many fail, the
// cause probably lies elsewhere. The caller holds the lock.
func (p *Pool) recordFailure(s *upstreamState) {
	if !s.recordFailure() || s.removed {
		return
	}
	now := time.Now()
	ejected := 1
	for _, o := range p.upstreams {
		if o != s && now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	if 2*ejected > len(p.upstreams) {
		return
	}
	s.eject(now)
	p.Log.Warn().Str("service", p.name).Str("upstream", s.Name).Int("failures", s.failures).
		Dur("for_ms", s.ejection).Msg("upstream_ejected")
	time.AfterFunc(s.ejection, p.dispatch)
}

// needsStatusQuery reports whether err leaves the outcome of an unsettled,
// non-repeatable task unknown, so that its upstream must be queried.
func (p *Pool) needsStatusQuery(a *attempt, err error) bool {
	return err != nil && classifier.Of(err) == classifier.MayHaveRun &&
		!p.cfg.Load().GetRepeatable() && !a.task.settled()
}

// awaitOutcome queries the status of a task whose answer was lost, on new
// connections, until the task has ended, its deadline has passed or too many
// queries have failed. The attempt keeps its slot meanwhile. If the outcome
// remains unknown, awaitOutcome returns cause.
func (p *Pool) awaitOutcome(ctx context.Context, a *attempt, cause error) (upstream.Result, error) {
	for misses := 0; misses < maxStatusMisses && ctx.Err() == nil; {
		res, running, err := p.queryStatus(ctx, a)
		switch {
		case running:
			misses = 0
		case err == nil || classifier.Of(err) != classifier.MayHaveRun:
			return res, err
		default:
			misses++
		}
		select {
		case <-ctx.Done():
		case <-time.After(watcher.Jitter(statusInterval)):
		}
	}
	return upstream.Result{}, cause
}

// queryStatus sends one status query about a task to its upstream.
func (p *Pool) queryStatus(ctx context.Context, a *attempt) (upstream.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p.Recorder.Message(p.name, a.task.Tenant, MessageStatus)
	return p.Client.Status(ctx, a.upstream.Address, p.wireTask(a))
}

// cancel withdraws tasks. Waiting tasks are settled before running ones are
// stopped, so that a slot freed by a stopped task does not start another task of
// the same call.
func (p *Pool) cancel(tasks []*Task, stop bool) {
	settled := make(map[*Task]bool, len(tasks))
	for _, t := range tasks {
		settled[t] = p.withdraw(t, false)
	}
	if stop {
		for _, t := range tasks {
			settled[t] = p.withdraw(t, true) || settled[t]
		}
	}
	p.mu.Lock()
	p.queue.Remove(func(t *Task) bool { return settled[t] })
	p.mu.Unlock()
}

// withdraw settles a task that no upstream has received. If stop is true, it
// also settles a task that may be running and stops its attempts. It reports
// whether this call settled the task.
func (p *Pool) withdraw(t *Task, stop bool) bool {
	v, ok := t.markWithdrawn(stop)
	if !ok {
		return false
	}
	o := Outcome{Verdict: v, Reason: "withdrawn before its start"}
	if v != classifier.NotRun {
		o.Reason = "stopped while it ran"
		p.cancelAttempts(t)
	}
	p.reportOutcome(t, o)
	return true
}

// cancelAttempts stops the remaining attempts of a settled task at their
// upstreams.
func (p *Pool) cancelAttempts(t *Task) {
	t.mu.Lock()
	running := append([]*attempt(nil), t.running...)
	t.mu.Unlock()
	for _, a := range running {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
			defer cancel()
			p.Recorder.Message(p.name, t.Tenant, MessageCancel)
			_ = p.Client.Cancel(ctx, a.upstream.Address, t.ID)
			a.cancel()
		}()
	}
}
