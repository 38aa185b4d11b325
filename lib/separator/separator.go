// Package separator learns which kinds of tasks slow each other down on one upstream
// and tells by how much, so that placement keeps them apart where there is room.
//
// It handles the load of Viti Coast Press and Red Austral: several queues share
// upstreams, declared run times are off by 40% a job, the tasks of a job are off
// alike, some tasks take 7 times as long, upstreams differ in speed, and busy
// upstreams hold more kinds than idle ones. A kind is the name of a queue.
//
// For each kind, a regression over its runs explains the logarithm of the ratio of
// actual to expected run time by the shares of the run's time that other kinds ran
// beside it. Both are taken relative to the kind's recent means, so neither a wrong
// declared run time nor a load that changes over time counts as interference. A
// further variable is the deviation of the upstream's slowness from its mean, since
// an error of the slowness changes both the ratio and what runs on the upstream. What
// the regression attributes to one pair is summed up by pair, with its variance.
// Runs of one job and runs that end on one upstream within a few seconds are not
// independent, so they count as fewer runs.
//
// # Usage
//
//	var t separator.Tracker // one for each upstream
//	t.Start(task, kind, now)
//	beside := t.End(task, now)
//
//	s := &separator.Separator{}
//	ratio := took / (expected * slowness) // slowness when the run started
//	s.Observe(now, separator.Run{
//		Kind: kind, Ratio: ratio, Beside: beside, Slowness: slowness, Job: job, Upstream: upstream,
//	})
//	slowness.update(took / expected / s.Slowdown(kind, beside))
//
//	candidate.Slowness *= s.Factor(kind, kindsOnUpstream)
//
// Once a second the next frame to each peer carries ToWire(s.Drain()), the same to all,
// and Merge takes FromWire of what a peer sent. Only the order of candidates may depend on Factor, not whether an
// upstream is one. Runs that started under another owner of the upstream are left out.
// Factor and Slowdown may be called at any time; the other methods
// of one Separator must not run at the same time.
//
// The integration counts placements that Factor changed, runs that end beside a kind
// that interferes, pairs found and pairs dropped.
package separator

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// halfLife is the time in which an observation loses half of its weight; a change
	// of what the callers' tasks do is followed within a few of it.
	halfLife = 60 * time.Second
	// baselineHalfLife is the half-life of a kind's mean ratio and mean shares. Load
	// that rises or falls over a minute must not count as interference.
	baselineHalfLife = 10 * time.Second
	// groupInterval is the time within which runs that end on one upstream count as
	// dependent: a change of its speed is measured after about 20 runs, some 2 s.
	groupInterval = 5 * time.Second
	// speedHalfLife is the half-life of an upstream's mean slowness, with which the
	// slowness of each run is compared.
	speedHalfLife = 30 * time.Second
	// slownessSpread is the usual error of the logarithm of a measured slowness, with
	// declared run times off by 40% a job and some 20 runs in the mean.
	slownessSpread = 0.1
	// minExcess is the slowdown from which callers profit from separation; less is
	// within the spread of run times within one job.
	minExcess = 0.10
	// keptExcess is the slowdown below which a pair that was found is dropped; the
	// distance to minExcess keeps placement from alternating.
	keptExcess = 0.05
	// minRuns is the number of independent runs required to find a pair.
	minRuns = 30
	// keptRuns is the number of runs required to keep a pair. Separated kinds hardly
	// meet, so the weight of their runs decays although nothing has changed.
	keptRuns = 5
	// errorRate is the probability that any pair is found by chance in an hour.
	errorRate = 0.01
	// looksPerHour is the number of half-lives in an hour; about as many times does
	// the test of one pair get independent data.
	looksPerHour = 60
	// minSpread is the least spread of run times assumed, that within one job. A few
	// runs that happen to agree must not look certain.
	minSpread = 0.15
	// maxResidual bounds the logarithm of a run's ratio relative to what is expected:
	// 2.5 times the spread of declared run times. A task that takes 7 times as long
	// would otherwise outweigh 20 others.
	maxResidual = 1.0
	// maxLog bounds the logarithm of a ratio, as the runner bounds slowness to 8.
	maxLog = 2.08
	// maxSamples bounds what Drain returns, as it goes to every peer.
	maxSamples = 64
	// maxSampleRuns is the number of runs above which a sample is not plausible: an
	// entry observes some 100 runs/s and sends samples every second.
	maxSampleRuns = 10000
	// maxSampleErrors is the number of standard errors by which the mean of a plausible
	// sample may exceed the highest excess.
	maxSampleErrors = 5
	// priorRuns is the weight, in runs, of the assumption that kinds do not
	// interfere. It keeps the regression stable while few runs are known.
	priorRuns = 2.0
	// solveInterval is the number of runs of a kind between two solutions of its
	// regression; pairs are re-examined as often.
	solveInterval = 16
	// maxKinds bounds memory and time, and the frames to peers, to maxKinds² pairs.
	maxKinds = 32
	// columns is the number of variables of a regression: the slowness and the kinds.
	columns = maxKinds + 1
	// maxUpstreams bounds the upstreams whose mean slowness is known; an entry owns
	// fewer than 100.
	maxUpstreams = 1024
	// maxGroups bounds the memory for dependent runs; 100 runs/s of 32 kinds need
	// 32,000.
	maxGroups = 1 << 15
	// forgetAfter is the time after which a kind without runs may be replaced.
	forgetAfter = 10 * time.Minute
)

// Run is the end of a run.
type Run struct {
	Kind string
	// Ratio is the actual run time divided by the expected one.
	Ratio float64
	// Beside holds, by kind, the share of the run's time in which at least one run of
	// this kind ran on the same upstream.
	Beside map[string]float64
	// Slowness is the slowness of the upstream that the expected run time contains, 0 if
	// it is not known. That when the run started is better than that at its end, which
	// contains what slowed the run down.
	Slowness float64
	// Job and Upstream name the job and the upstream of the run. Runs without one
	// count as independent.
	Job, Upstream string
}

// Sample is what was measured of one pair of kinds.
type Sample struct {
	// Kind is the kind whose run times were measured, Beside the one next to it.
	Kind, Beside string
	// Runs is the number of independent runs; Sum and SumOfSquares are those of the
	// logarithms of their run time over that without the other kind.
	Runs, Sum, SumOfSquares float64
}

// Pair is what is known of one pair of kinds.
type Pair struct {
	Kind, Beside string
	// Runs is the number of independent runs, after decay.
	Runs float64
	// Excess is the mean logarithm of the run time over that without Beside.
	Excess float64
	// Error is the standard error of Excess.
	Error float64
	// Interferes is true while Factor takes the pair into account.
	Interferes bool
}

// sums are the decayed sums of one pair: the number of runs, the sum of the logarithms
// of their excess, and the sum of squares of what the excess does not explain.
type sums struct{ runs, sum, rest float64 }

// add adds o times f.
func (s *sums) add(o sums, f float64) {
	s.runs += f * o.runs
	s.sum += f * o.sum
	s.rest += f * o.rest
}

// pair is what is known of one ordered pair.
type pair struct {
	at time.Time
	// own counts each run; unsent is the part of it that Drain has not returned.
	own, unsent sums
	// merged holds the samples of other entries.
	merged sums
	// byRun, byJob and byUpstream are the sums of squares of the residuals of single
	// runs, of the sums for each job, and of the sums for each upstream.
	byRun, byJob, byUpstream float64
	found                    bool
}

// kind is the regression of one kind.
type kind struct {
	name string
	// seenAt is when a run of the kind, or one beside it, last ended.
	seenAt time.Time
	// at is when the sums below were last decayed.
	at time.Time
	// samples counts the runs in the means.
	samples float64
	meanLog float64
	mean    variables
	// products and target are the normal equations, inverse and effect their solution
	// at the last solve.
	products, inverse [columns]variables
	target, effect    variables
	unsolved          int
}

// variables holds a value for each variable of a regression: first the slowness of the
// upstream relative to its mean, then the share of each kind.
type variables [columns]float64

// speed is the mean logarithm of an upstream's slowness.
type speed struct {
	samples, mean float64
	at            time.Time
}

// group identifies dependent runs of a pair.
type group struct {
	kind, beside int
	upstream     bool
	name         string
}

// Separator learns the interference between kinds. The zero value is ready.
type Separator struct {
	kinds    []*kind
	pairs    [maxKinds][maxKinds]pair
	groups   map[group]float64
	groupsAt time.Time
	speeds   map[string]*speed
	table    atomic.Pointer[table]
}

// index returns the index of a kind, or -1 if there are too many.
func (s *Separator) index(now time.Time, name string) int {
	oldest := -1
	for i, k := range s.kinds {
		if k.name == name {
			k.seenAt = now
			return i
		}
		if now.Sub(k.seenAt) > forgetAfter && (oldest < 0 || k.seenAt.Before(s.kinds[oldest].seenAt)) {
			oldest = i
		}
	}
	k := newKind(name, now)
	if len(s.kinds) < maxKinds {
		s.kinds = append(s.kinds, k)
		return len(s.kinds) - 1
	}
	if oldest >= 0 {
		s.forget(oldest)
		s.kinds[oldest] = k
	}
	return oldest
}

// newKind returns a kind without runs.
func newKind(name string, now time.Time) *kind {
	k := &kind{name: name, seenAt: now, at: now}
	for i := range k.inverse {
		k.inverse[i][i] = 1 / priorRuns
	}
	return k
}

// forget drops what is known of a kind.
func (s *Separator) forget(i int) {
	for j, k := range s.kinds {
		s.pairs[i][j], s.pairs[j][i] = pair{}, pair{}
		k.mean[i+1], k.target[i+1], k.effect[i+1] = 0, 0, 0
		for l := range k.products {
			k.products[i+1][l], k.products[l][i+1] = 0, 0
		}
		k.unsolved = solveInterval
	}
	clear(s.groups)
	s.publish()
}

// Observe learns from the end of a run.
func (s *Separator) Observe(now time.Time, r Run) {
	if !(r.Ratio > 0) || math.IsInf(r.Ratio, 0) || r.Kind == "" {
		return
	}
	i := s.index(now, r.Kind)
	if i < 0 {
		return
	}
	var x variables
	for name, v := range r.Beside {
		if name == "" || !(v > 0) {
			continue
		}
		if j := s.index(now, name); j >= 0 {
			x[j+1] = min(v, 1)
		}
	}
	if s.groups == nil || now.Sub(s.groupsAt) >= groupInterval || len(s.groups) >= maxGroups {
		s.groups, s.groupsAt = make(map[group]float64, len(s.groups)), now
	}
	x[0] = s.deviation(now, r.Upstream, r.Slowness)
	k, n := s.kinds[i], len(s.kinds)+1
	residual, ok := k.observe(now, min(max(math.Log(r.Ratio), -maxLog), maxLog), &x, n)
	if !ok {
		return
	}
	for j := range s.kinds {
		s.observePair(now, i, j, &x, residual, r)
	}
	if k.unsolved++; k.unsolved >= solveInterval {
		k.unsolved = 0
		k.solve(n)
		s.examine(now)
	}
}

// deviation returns by how many usual errors the slowness of an upstream exceeds its
// mean. Placement prefers upstreams whose slowness is measured too low: runs there
// exceed what is expected, and have more kinds beside them. With the deviation among
// the variables, this is not attributed to these kinds.
func (s *Separator) deviation(now time.Time, upstream string, slowness float64) float64 {
	if upstream == "" || !(slowness > 0) || math.IsInf(slowness, 0) {
		return 0
	}
	u := s.speeds[upstream]
	if u == nil {
		if s.speeds == nil || len(s.speeds) >= maxUpstreams {
			s.speeds = make(map[string]*speed)
		}
		u = &speed{at: now}
		s.speeds[upstream] = u
	}
	log := min(max(math.Log(slowness), -maxLog), maxLog)
	w := max(1/(u.samples+1), 1-decay(now.Sub(u.at), speedHalfLife))
	u.samples++
	u.at = now
	u.mean += w * (log - u.mean)
	return (log - u.mean) / slownessSpread
}

// observe adds a run to the kind's means and normal equations. It replaces the
// variables by their deviations from the means and returns what they do not explain of
// the logarithm of the run's ratio.
func (k *kind) observe(now time.Time, log float64, x *variables, n int) (residual float64, ok bool) {
	passed := max(now.Sub(k.at), 0)
	k.at = now
	f := decay(passed, halfLife)
	w := max(1/(k.samples+1), 1-decay(passed, baselineHalfLife))
	k.samples++
	fit := 0.0
	for j := range n {
		d := x[j] - k.mean[j]
		k.mean[j] += w * d
		x[j] = d
		fit += k.effect[j] * d
	}
	if k.samples == 1 {
		k.meanLog = log
		return 0, false
	}
	residual = min(max(log-k.meanLog-fit, -maxResidual), maxResidual)
	k.meanLog += w * (fit + residual)
	for j := range n {
		for l := range n {
			k.products[j][l] = f*k.products[j][l] + x[j]*x[l]
		}
		k.target[j] = f*k.target[j] + x[j]*(fit+residual)
	}
	return residual, true
}

// solve solves the normal equations. They are symmetric and positive definite, so
// elimination needs no pivot search.
func (k *kind) solve(n int) {
	var a [columns]variables
	inv := &k.inverse
	for i := range n {
		a[i] = k.products[i]
		a[i][i] += priorRuns
		inv[i] = variables{}
		inv[i][i] = 1
	}
	for i := range n {
		p := 1 / a[i][i]
		for l := range n {
			a[i][l] *= p
			inv[i][l] *= p
		}
		for j := range n {
			f := a[j][i]
			if j == i || f == 0 {
				continue
			}
			for l := range n {
				a[j][l] -= f * a[i][l]
				inv[j][l] -= f * inv[i][l]
			}
		}
	}
	for i := range n {
		k.effect[i] = 0
		for l := range n {
			k.effect[i] += inv[i][l] * k.target[l]
		}
	}
}

// observePair adds a run of kind i to its pair with kind j. The run counts by the
// part of its share beside j that the other variables do not explain.
func (s *Separator) observePair(now time.Time, i, j int, x *variables, residual float64, r Run) {
	k, own := s.kinds[i], 0.0
	inverse := &k.inverse[j+1]
	for l := range len(s.kinds) + 1 {
		own += inverse[l] * x[l]
	}
	own /= inverse[j+1]
	if own == 0 {
		return
	}
	p := &s.pairs[i][j]
	p.decay(now)
	w, v, effect := own*own, own*residual, k.effect[j+1]
	one := sums{runs: w, sum: w*effect + v, rest: v * v}
	p.own.add(one, 1)
	p.unsent.add(one, 1)
	p.byRun += v * v
	p.byJob += s.addToGroup(group{kind: i, beside: j, name: r.Job}, v)
	p.byUpstream += s.addToGroup(group{kind: i, beside: j, upstream: true, name: r.Upstream}, v)
}

// addToGroup adds v to the sum of a group and returns by how much its square grows.
func (s *Separator) addToGroup(g group, v float64) float64 {
	if g.name == "" {
		return v * v
	}
	sum := s.groups[g]
	s.groups[g] = sum + v
	return v * (v + 2*sum)
}

// decay brings the sums of a pair up to date.
func (p *pair) decay(now time.Time) {
	f := decay(now.Sub(p.at), halfLife)
	if p.at = now; f == 1 {
		return
	}
	for _, s := range []*sums{&p.own, &p.unsent, &p.merged} {
		*s = sums{f * s.runs, f * s.sum, f * s.rest}
	}
	p.byRun, p.byJob, p.byUpstream = f*p.byRun, f*p.byJob, f*p.byUpstream
}

// design returns the number of own runs that are worth one independent run: the
// variance of the sum of residuals, with those of one job and of one upstream taken
// as dependent, over the variance if all were independent.
func (p *pair) design() float64 {
	if p.byRun == 0 {
		return 1
	}
	return max(1, (p.byJob+p.byUpstream-p.byRun)/p.byRun)
}

// total returns the sums of the runs of all entries, in independent runs.
func (p *pair) total() sums {
	t := p.merged
	t.add(p.own, 1/p.design())
	return t
}

// estimate returns the mean excess and its standard error.
func (s sums) estimate() (mean, err float64) {
	if s.runs <= 0 {
		return 0, math.Inf(1)
	}
	return s.sum / s.runs, math.Sqrt(max(s.rest/s.runs, minSpread*minSpread) / s.runs)
}

// examine decides for each pair whether it interferes.
func (s *Separator) examine(now time.Time) {
	tested := 0
	for i := range s.kinds {
		for j := range s.kinds {
			if p := &s.pairs[i][j]; p.own.runs+p.merged.runs > 0 {
				p.decay(now)
				tested++
			}
		}
	}
	z := math.Sqrt2 * math.Erfinv(1-2*errorRate/float64(max(tested, 1)*looksPerHour))
	for i := range s.kinds {
		for j := range s.kinds {
			p := &s.pairs[i][j]
			t := p.total()
			mean, err := t.estimate()
			if p.found {
				p.found = t.runs >= keptRuns && mean > math.Log1p(keptExcess)
			} else {
				p.found = t.runs >= minRuns && mean-z*err > math.Log1p(minExcess)
			}
		}
	}
	s.publish()
}

// Merge adds samples of another entry. Samples that are not plausible are left out.
func (s *Separator) Merge(now time.Time, list []Sample) {
	for _, m := range list {
		t, ok := m.sums()
		if !ok {
			continue
		}
		i, j := s.index(now, m.Kind), s.index(now, m.Beside)
		if i < 0 || j < 0 {
			continue
		}
		p := &s.pairs[i][j]
		p.decay(now)
		p.merged.add(t, 1)
	}
	if len(list) > 0 {
		s.examine(now)
	}
}

// sums returns the sums that a sample stands for, and whether they are plausible. A
// sample of few runs may have a mean far from 0, as its error is large.
func (m Sample) sums() (t sums, ok bool) {
	if m.Kind == "" || m.Beside == "" || !(m.Runs > 0) || m.Runs > maxSampleRuns {
		return t, false
	}
	t = sums{m.Runs, m.Sum, max(m.SumOfSquares-m.Sum*m.Sum/m.Runs, 0)}
	ok = math.Abs(t.sum) <= maxLog*t.runs+maxSampleErrors*maxResidual*math.Sqrt(t.runs) && t.rest <= 2*maxResidual*maxResidual*t.runs
	return t, ok
}

// Drain returns what this entry has measured since the last call, to be sent to all
// other entries. If there are too many pairs, those with the most runs are returned
// and the others later.
func (s *Separator) Drain() []Sample {
	type unsent struct {
		kind, beside int
		runs         float64
	}
	var list []unsent
	for i := range s.kinds {
		for j := range s.kinds {
			if n := s.pairs[i][j].unsent.runs; n > 0 {
				list = append(list, unsent{i, j, n})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b unsent) int { return cmp.Compare(b.runs, a.runs) })
	list = list[:min(len(list), maxSamples)]
	out := make([]Sample, len(list))
	for n, u := range list {
		p := &s.pairs[u.kind][u.beside]
		var t sums
		t.add(p.unsent, 1/p.design())
		p.unsent = sums{}
		out[n] = Sample{Kind: s.kinds[u.kind].name, Beside: s.kinds[u.beside].name, Runs: t.runs, Sum: t.sum, SumOfSquares: t.rest + t.sum*t.sum/t.runs}
	}
	return out
}

// Pairs returns all pairs of which a run is known, those with the highest excess
// first.
func (s *Separator) Pairs(now time.Time) []Pair {
	var out []Pair
	for i, k := range s.kinds {
		for j, b := range s.kinds {
			p := &s.pairs[i][j]
			p.decay(now)
			t := p.total()
			if t.runs == 0 {
				continue
			}
			mean, err := t.estimate()
			out = append(out, Pair{Kind: k.name, Beside: b.name, Runs: t.runs, Excess: mean, Error: err, Interferes: p.found})
		}
	}
	slices.SortStableFunc(out, func(a, b Pair) int { return cmp.Compare(b.Excess, a.Excess) })
	return out
}

// decay returns the weight that is left of an observation after a time.
func decay(passed, halfLife time.Duration) float64 {
	if passed <= 0 {
		return 1
	}
	return math.Exp2(-float64(passed) / float64(halfLife))
}
