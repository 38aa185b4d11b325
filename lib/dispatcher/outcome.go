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
	// inquiryInterval is the mean time between status queries for an attempt
	// whose answer was lost.
	inquiryInterval = 200 * time.Millisecond
	// inquiryMisses is the number of consecutive status queries without a
	// conclusive reply after which the outcome counts as unknown.
	inquiryMisses = 4
	// inquiryTimeout bounds one status query or cancel request.
	inquiryTimeout = time.Second
)

// decide ends an attempt, then settles its task or queues it again. Only the
// first call for an attempt has an effect.
func (p *Pool) decide(a *attempt, res upstream.Result, err error) {
	t := a.task
	verdict := classifier.Ran
	if err != nil {
		verdict = classifier.Of(err)
	}
	first, left := t.end(a, verdict == classifier.NotRun)
	if !first {
		if err == nil {
			p.Recorder.Message(p.name, t.Tenant, MessageDropped)
		}
		return
	}
	a.stop()
	p.learn(a, res, err)
	switch {
	case err == nil:
		p.succeed(t, res)
	case left > 0:
		// Another attempt at the task is still running and decides its outcome.
	default:
		p.fail(a, verdict, err)
	}
	p.dispatch()
	if a.slot.loan != nil {
		p.giveBackSoon()
	}
}

// stop stops the attempt's timers.
func (a *attempt) stop() {
	a.task.mu.Lock()
	defer a.task.mu.Unlock()
	if a.watch != nil {
		a.watch.Stop()
	}
	if a.hedge != nil {
		a.hedge.Stop()
	}
}

// succeed settles a task as successful and stops its other attempts.
func (p *Pool) succeed(t *Task, res upstream.Result) {
	if !p.settle(t, Outcome{Verdict: classifier.Ran, OK: true, Output: res.Output}) {
		p.Recorder.Message(p.name, t.Tenant, MessageDropped)
		return
	}
	p.stopRunning(t)
}

// fail settles a task whose last attempt failed, or queues it again.
func (p *Pool) fail(a *attempt, verdict classifier.Verdict, err error) {
	t := a.task
	repeatable := p.cfg.Load().GetRepeatable()
	t.mu.Lock()
	t.ran = t.ran || verdict == classifier.Ran
	tries := t.attempts
	t.mu.Unlock()
	again := verdict == classifier.NotRun || repeatable && p.retries.spend()
	if again && tries < maxAttempts && time.Now().Before(t.Deadline) && p.requeue(t) {
		return
	}
	p.settle(t, Outcome{Verdict: t.verdict(), Reason: err.Error()})
}

// requeue puts the task back into the queue. It returns false if the task has
// already been settled.
func (p *Pool) requeue(t *Task) bool {
	if !t.wait() {
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
	if !t.seal() {
		return false
	}
	p.finish(t, o)
	return true
}

// finish removes a task that was just marked as settled from the tenant's open
// tasks and reports its outcome.
func (p *Pool) finish(t *Task, o Outcome) {
	t.mu.Lock()
	o.Upstream = t.last
	t.mu.Unlock()
	p.mu.Lock()
	p.open[t.Tenant]--
	if p.open[t.Tenant] == 0 {
		delete(p.open, t.Tenant)
	}
	p.mu.Unlock()
	t.Settle(o)
}

// learn frees the slot of an ended attempt and updates the metrics and the
// statistics of its upstream and of the service.
func (p *Pool) learn(a *attempt, res upstream.Result, err error) {
	d := time.Since(a.began)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := a.slot
	s.busy--
	p.running--
	if res.Leaving && !s.Leaving {
		s.Leaving, s.saidLeaving = true, true
		p.Log.Info().Str("service", p.name).Str("upstream", s.Name).Msg("upstream_leaving")
	}
	switch {
	case err == nil:
		p.failing -= learnRate * p.failing
		s.succeed(d)
		p.learnMean(d)
		p.runs.add(d)
		if a.kind == MessageStart {
			p.retries.earn()
			p.hedges.earn()
		}
		p.Recorder.Took(p.name, a.task.Tenant, d)
	case errors.Is(err, context.Canceled) && !a.silent.Load():
		// This entry stopped the attempt, so it says nothing about the upstream.
	case classifier.Of(err) == classifier.NotRun:
		p.Recorder.Message(p.name, a.task.Tenant, MessageRefused)
		if res.Busy {
			s.ejectedUntil = time.Now().Add(watcher.Jitter(p.meanRun() / 4))
			return
		}
		p.recordFailure(s)
	default:
		p.failing += learnRate * (1 - p.failing)
		p.recordFailure(s)
	}
}

// learnMean updates the mean run time of the service. The configured typical
// run time counts as a single run, so that a wrong value is soon corrected. The
// caller holds the lock.
func (p *Pool) learnMean(d time.Duration) {
	p.learned++
	rate := max(1/float64(p.learned+1), learnRate/4)
	p.mean += rate * (d.Seconds() - p.mean)
}

// recordFailure counts a failure of an upstream and ejects it after repeated
// failures, but never more than half of the upstreams: when that many fail, the
// cause probably lies elsewhere. The caller holds the lock.
func (p *Pool) recordFailure(s *slots) {
	if !s.fail() || s.removed {
		return
	}
	now := time.Now()
	out := 1
	for _, o := range p.order {
		if o != s && now.Before(o.ejectedUntil) {
			out++
		}
	}
	if 2*out > len(p.order) {
		return
	}
	s.eject(now)
	p.Log.Warn().Str("service", p.name).Str("upstream", s.Name).Int("failures", s.failures).
		Dur("for_ms", s.ejection).Msg("upstream_ejected")
	time.AfterFunc(s.ejection, p.dispatch)
}

// mustInquire reports whether err leaves the outcome of an unsettled,
// non-repeatable task unknown, so that its upstream must be queried.
func (p *Pool) mustInquire(a *attempt, err error) bool {
	return err != nil && classifier.Of(err) == classifier.MayHaveRun &&
		!p.cfg.Load().GetRepeatable() && !a.task.settled()
}

// inquire queries the status of a task whose answer was lost, on new
// connections, until the task has ended, its deadline has passed or too many
// queries have failed. The attempt keeps its slot meanwhile. If the outcome
// remains unknown, inquire returns cause.
func (p *Pool) inquire(ctx context.Context, a *attempt, cause error) (upstream.Result, error) {
	for misses := 0; misses < inquiryMisses && ctx.Err() == nil; {
		res, running, err := p.ask(ctx, a)
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
		case <-time.After(watcher.Jitter(inquiryInterval)):
		}
	}
	return upstream.Result{}, cause
}

// ask sends one status query about a task to its upstream.
func (p *Pool) ask(ctx context.Context, a *attempt) (upstream.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	p.Recorder.Message(p.name, a.task.Tenant, MessageStatus)
	return p.Client.Status(ctx, a.slot.Address, p.wireTask(a))
}

// cancel withdraws tasks. Waiting tasks are settled before running ones are
// stopped, so that a slot freed by a stopped task does not start another task of
// the same call.
func (p *Pool) cancel(tasks []*Task, stop bool) {
	ended := make(map[*Task]bool, len(tasks))
	for _, t := range tasks {
		ended[t] = p.withdraw(t, false)
	}
	if stop {
		for _, t := range tasks {
			ended[t] = p.withdraw(t, true) || ended[t]
		}
	}
	p.mu.Lock()
	p.queue.Remove(func(t *Task) bool { return ended[t] })
	p.mu.Unlock()
}

// withdraw settles a task that no upstream has received. If stop is true, it
// also settles a task that may be running and stops its attempts. It reports
// whether this call settled the task.
func (p *Pool) withdraw(t *Task, stop bool) bool {
	v, ok := t.close(stop)
	if !ok {
		return false
	}
	o := Outcome{Verdict: v, Reason: "withdrawn before its start"}
	if v != classifier.NotRun {
		o.Reason = "stopped while it ran"
		p.stopRunning(t)
	}
	p.finish(t, o)
	return true
}

// stopRunning stops the remaining attempts of a settled task at their upstreams.
func (p *Pool) stopRunning(t *Task) {
	t.mu.Lock()
	running := append([]*attempt(nil), t.running...)
	t.mu.Unlock()
	for _, a := range running {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), inquiryTimeout)
			defer cancel()
			p.Recorder.Message(p.name, t.Tenant, MessageCancel)
			_ = p.Client.Cancel(ctx, a.slot.Address, t.ID)
			a.cancel()
		}()
	}
}
