package dispatcher

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/watcher"
)

const (
	// minCheckDelay is the minimum time before the status of a silent attempt is
	// queried.
	minCheckDelay = time.Second
	// checkFactor times the 99th percentile of run times is the time after which
	// the status of an attempt is queried.
	checkFactor = 2
	// hedgePercentile is the percentile of run times that the hedge delay is based
	// on.
	hedgePercentile = 95
	// hedgeFactor times that percentile is the time after which a task is hedged.
	hedgeFactor = 1.5
	// minRuns is the minimum number of runs for a percentile estimate.
	minRuns = 100
	// histogramRuns is the number of runs in a full histogram.
	histogramRuns = 4000
)

// runTimes keeps the distribution of recent run times. Percentiles come from the
// last full histogram, or from the current one while there is none.
type runTimes struct {
	current, previous *hdrhistogram.Histogram
}

// newHistogram returns a histogram in units of 0.1 ms that covers run times up to
// one hour with two significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/(100*time.Microsecond)), 2)
}

// add records one run.
func (r *runTimes) add(d time.Duration) {
	if r.current == nil {
		r.current = newHistogram()
	}
	_ = r.current.RecordValue(int64(d / (100 * time.Microsecond)))
	if r.current.TotalCount() >= histogramRuns {
		r.previous, r.current = r.current, newHistogram()
	}
}

// percentile returns the percentile q of the run times, or 0 while there are too
// few of them.
func (r *runTimes) percentile(q float64) time.Duration {
	h := r.current
	if r.previous != nil {
		h = r.previous
	}
	if h == nil || h.TotalCount() < minRuns {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(q)) * 100 * time.Microsecond
}

// startTimers starts the timers that detect silent connections and stragglers.
func (p *Pool) startTimers(a *attempt) {
	p.mu.Lock()
	check := max(minCheckDelay, checkFactor*p.runs.percentile(99))
	hedge := time.Duration(hedgeFactor * float64(p.runs.percentile(hedgePercentile)))
	p.mu.Unlock()
	t := a.task
	t.mu.Lock()
	defer t.mu.Unlock()
	a.checkTimer = time.AfterFunc(check, func() { p.checkStatus(a, check) })
	cfg := p.cfg.Load()
	if cfg.GetRepeatable() && cfg.GetHedgePermille() > 0 && hedge > 0 && a.kind != MessageHedge {
		a.hedgeTimer = time.AfterFunc(hedge, func() { p.startHedge(a) })
	}
}

// checkStatus queries, on a new connection, the status of an attempt that has not
// been answered for a long time. A conclusive reply ends the attempt, and so do
// several queries without a conclusive reply. While the task is still running,
// the next check follows after twice the time.
func (p *Pool) checkStatus(a *attempt, after time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), a.task.Deadline)
	defer cancel()
	for misses := 0; misses < maxStatusMisses; misses++ {
		if a.hasEnded() || ctx.Err() != nil {
			return
		}
		res, running, err := p.queryStatus(ctx, a)
		if running {
			p.scheduleCheck(a, 2*after)
			return
		}
		if err == nil || classifier.Of(err) != classifier.MayHaveRun {
			p.Log.Warn().Str("service", p.name).Str("upstream", a.upstream.Name).Msg("silent_connection_replaced")
			p.finishAttempt(a, res, err)
			a.cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(watcher.Jitter(statusInterval)):
		}
	}
	a.unresponsive.Store(true)
	a.cancel()
}

// scheduleCheck schedules the next check of a running attempt.
func (p *Pool) scheduleCheck(a *attempt, after time.Duration) {
	t := a.task
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.ended {
		a.checkTimer = time.AfterFunc(after, func() { p.checkStatus(a, after) })
	}
}

// hasEnded reports whether the attempt has ended.
func (a *attempt) hasEnded() bool {
	a.task.mu.Lock()
	defer a.task.mu.Unlock()
	return a.ended
}

// startHedge starts a second attempt at a straggling task if another upstream
// has a free slot, no task is waiting and the hedge budget allows it.
func (p *Pool) startHedge(a *attempt) {
	t := a.task
	if a.hasEnded() || t.settled() {
		return
	}
	p.mu.Lock()
	free := p.freeSlots()
	var others []*upstreamState
	for _, s := range free {
		if s != a.upstream {
			others = append(others, s)
		}
	}
	if p.queue.Len() > 0 || len(others) == 0 || !p.hedges.spend() {
		p.mu.Unlock()
		return
	}
	s := p.policy.Pick(others)
	s.busy++
	p.running++
	p.mu.Unlock()
	p.run(t, s, MessageHedge)
}
