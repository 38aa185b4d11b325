package dispatcher

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/watcher"
)

const (
	// shortestCheck is the minimum time before the status of a silent attempt is
	// queried.
	shortestCheck = time.Second
	// checkFactor times the 99th percentile of run times is the time after which
	// the status of an attempt is queried.
	checkFactor = 2
	// hedgeQuantile is the percentile of run times that the hedge delay is based
	// on.
	hedgeQuantile = 95
	// hedgeFactor times that percentile is the time after which a task is hedged.
	hedgeFactor = 1.5
	// learnedRuns is the minimum number of runs for a percentile estimate.
	learnedRuns = 100
	// windowRuns is the number of runs in a full histogram.
	windowRuns = 4000
)

// runTimes keeps the distribution of recent run times. Percentiles come from the
// last full histogram, or from the current one while there is none.
type runTimes struct {
	now, before *hdrhistogram.Histogram
}

// newHistogram returns a histogram in units of 0.1 ms that covers run times up to
// one hour with two significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/(100*time.Microsecond)), 2)
}

// add records one run.
func (r *runTimes) add(d time.Duration) {
	if r.now == nil {
		r.now = newHistogram()
	}
	_ = r.now.RecordValue(int64(d / (100 * time.Microsecond)))
	if r.now.TotalCount() >= windowRuns {
		r.before, r.now = r.now, newHistogram()
	}
}

// at returns the given percentile of the run times, or 0 while there are too few
// of them.
func (r *runTimes) at(percentile float64) time.Duration {
	h := r.now
	if r.before != nil {
		h = r.before
	}
	if h == nil || h.TotalCount() < learnedRuns {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(percentile)) * 100 * time.Microsecond
}

// guard starts the timers that detect silent connections and stragglers.
func (p *Pool) guard(a *attempt) {
	p.mu.Lock()
	check := max(shortestCheck, checkFactor*p.runs.at(99))
	hedge := time.Duration(hedgeFactor * float64(p.runs.at(hedgeQuantile)))
	p.mu.Unlock()
	t := a.task
	t.mu.Lock()
	defer t.mu.Unlock()
	a.watch = time.AfterFunc(check, func() { p.check(a, check) })
	cfg := p.cfg.Load()
	if cfg.GetRepeatable() && cfg.GetHedgePermille() > 0 && hedge > 0 && a.kind != MessageHedge {
		a.hedge = time.AfterFunc(hedge, func() { p.startHedge(a) })
	}
}

// check queries, on a new connection, the status of an attempt that has not been
// answered for a long time. A conclusive reply ends the attempt, and so do
// several queries without a conclusive reply. While the task is still running,
// the next check follows after twice the time.
func (p *Pool) check(a *attempt, after time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), a.task.Deadline)
	defer cancel()
	for misses := 0; misses < inquiryMisses; misses++ {
		if a.over() || ctx.Err() != nil {
			return
		}
		res, running, err := p.ask(ctx, a)
		if running {
			p.rearm(a, 2*after)
			return
		}
		if err == nil || classifier.Of(err) != classifier.MayHaveRun {
			p.Log.Warn().Str("service", p.name).Str("upstream", a.slot.Name).Msg("silent_connection_replaced")
			p.decide(a, res, err)
			a.cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(watcher.Jitter(inquiryInterval)):
		}
	}
	a.silent.Store(true)
	a.cancel()
}

// rearm schedules the next check of a running attempt.
func (p *Pool) rearm(a *attempt, after time.Duration) {
	t := a.task
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.decided {
		a.watch = time.AfterFunc(after, func() { p.check(a, after) })
	}
}

// over reports whether the attempt has ended.
func (a *attempt) over() bool {
	a.task.mu.Lock()
	defer a.task.mu.Unlock()
	return a.decided
}

// startHedge starts a second attempt at a straggling task if another upstream
// has a free slot, no task is waiting and the hedge budget allows it.
func (p *Pool) startHedge(a *attempt) {
	t := a.task
	if a.over() || t.settled() {
		return
	}
	p.mu.Lock()
	free := p.freeSlots()
	var other []*slots
	for _, s := range free {
		if s != a.slot {
			other = append(other, s)
		}
	}
	if p.queue.Len() > 0 || len(other) == 0 || !p.hedges.spend() {
		p.mu.Unlock()
		return
	}
	s := p.policy.Pick(other)
	s.busy++
	p.running++
	p.mu.Unlock()
	p.run(t, s, MessageHedge)
}
