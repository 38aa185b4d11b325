package dispatcher

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/watcher"
)

const (
	// shortestCheck is the least time before a silent attempt is questioned.
	shortestCheck = time.Second
	// checkFactor times the 99th percentile is when an attempt is questioned.
	checkFactor = 2
	// hedgeQuantile is the percentile of run times after which a task is hedged.
	hedgeQuantile = 95
	// hedgeFactor times that percentile is when a task is hedged.
	hedgeFactor = 1.5
	// learnedRuns is the number of runs from which quantiles are trusted.
	learnedRuns = 100
	// windowRuns is the number of runs after which old ones are forgotten.
	windowRuns = 4000
)

// runTimes keeps the distribution of recent run times.
type runTimes struct {
	now, before *hdrhistogram.Histogram
}

// newHistogram covers 0.1 ms to one hour with two digits.
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

// at returns a percentile, or 0 while too little is known.
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

// guard arms the timers that find silent connections and stragglers.
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

// check asks on a fresh connection about an attempt that has been silent for
// long. An upstream that no longer knows the task, or cannot be reached, ends
// the attempt; one that still runs it is asked again later.
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

// rearm sets the next check of a running attempt.
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

// startHedge starts a second attempt of a straggling task if a slot is idle,
// nothing waits for it and the budget allows.
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
