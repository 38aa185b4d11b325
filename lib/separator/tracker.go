package separator

import "time"

// Tracker records which kinds run beside which on one upstream. The zero value is
// ready.
type Tracker struct {
	runs  map[string]trackedRun
	kinds map[string]*presence
}

// trackedRun is a run that has not ended.
type trackedRun struct {
	kind      string
	startedAt time.Time
	// before holds, for each kind, how long it had been present when the run started.
	before map[string]time.Duration
}

// presence is how long a kind has been on the upstream.
type presence struct {
	// count is the number of its runs.
	count int
	// once and twice are the times with at least one run and with at least two, up to
	// at.
	once, twice time.Duration
	at          time.Time
}

// advance brings the times up to date.
func (p *presence) advance(now time.Time) {
	if d := now.Sub(p.at); d > 0 {
		if p.count > 0 {
			p.once += d
		}
		if p.count > 1 {
			p.twice += d
		}
		p.at = now
	}
}

// beside returns how long the kind was present beside a run; own tells that the run
// is of this kind.
func (p *presence) beside(own bool) time.Duration {
	if own {
		return p.twice
	}
	return p.once
}

// Start records the start of a run. A run that has started before is left as it is.
func (t *Tracker) Start(run, kind string, now time.Time) {
	if t.runs == nil {
		t.runs, t.kinds = make(map[string]trackedRun), make(map[string]*presence)
	}
	if _, ok := t.runs[run]; ok {
		return
	}
	p := t.kinds[kind]
	if p == nil {
		p = &presence{at: now}
		t.kinds[kind] = p
	}
	r := trackedRun{kind: kind, startedAt: now, before: make(map[string]time.Duration, len(t.kinds))}
	for name, p := range t.kinds {
		p.advance(now)
		r.before[name] = p.beside(name == kind)
	}
	p.count++
	t.runs[run] = r
}

// End records the end of a run and returns, by kind, the share of its time in which
// at least one other run of this kind was present; nil if the run is not known.
func (t *Tracker) End(run string, now time.Time) map[string]float64 {
	r, ok := t.runs[run]
	if !ok {
		return nil
	}
	delete(t.runs, run)
	took := now.Sub(r.startedAt)
	beside := make(map[string]float64, len(t.kinds))
	for name, p := range t.kinds {
		p.advance(now)
		if d := p.beside(name == r.kind) - r.before[name]; d > 0 && took > 0 {
			beside[name] = min(float64(d)/float64(took), 1)
		}
	}
	t.kinds[r.kind].count--
	if len(t.runs) == 0 {
		clear(t.kinds)
	}
	return beside
}

// Kinds returns the number of runs by kind, as Factor takes them.
func (t *Tracker) Kinds() map[string]int {
	out := make(map[string]int, len(t.kinds))
	for name, p := range t.kinds {
		if p.count > 0 {
			out[name] = p.count
		}
	}
	return out
}
