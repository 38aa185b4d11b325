// Package predictor learns the run times of each kind of task from the ends of runs.
//
// It handles the load of Viti Coast Press and Red Austral: declared run times are off
// by 40% a job, and 3% of the tasks take 7 times as long, while due times and
// admission rely on the expected run time. A kind is the name of a queue.
//
// The logarithm of the run time is predicted from that of the declared one: by how
// much a declared time counts is learned, between not at all (the kind's mean is the
// prediction) and fully. The prediction is corrected by the median of what it missed
// recently, so that rare long runs do not shift it. If runs suddenly take longer or
// shorter, older samples lose their weight at once.
//
// # Usage
//
//	p := &predictor.Predictor{}
//	p.Observe(now, kind, declared, time.Duration(float64(took)/slowness/slowdown))
//	expected := p.Predict(kind, declared).Median
//
// Slowness is that of the upstream and slowdown that by other kinds beside the run
// (separator.Slowdown). Only complete runs are observed. Predict may be called at any
// time; calls of Observe must not overlap.
//
// The integration counts predictions, those that are the declared time for lack of
// samples, and sudden changes (Prediction.Changes).
package predictor

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// halfLife is the time in which a sample loses half of its weight.
	halfLife = 30 * time.Second
	// minSamples is the number of samples below which the declared time is better, as
	// 50 tasks may come from only 7 jobs.
	minSamples = 50
	// priorSamples is the weight, in samples, of the assumption that declared run times
	// are right in proportion.
	priorSamples = 10
	// maxResidual bounds the logarithm of a run time relative to the predicted one, 2.5
	// times the spread of declared run times. Tasks that take 7 times as long exceed it.
	maxResidual = 1.0
	// recentHalfLife is that of the recent mean residual, which shows a sudden change.
	// A change must be followed within 5 s.
	recentHalfLife = 1500 * time.Millisecond
	// changeErrors is the number of its usual deviations by which the recent mean must
	// differ from 0 to count as a change; less happens by chance several times an hour.
	changeErrors = 4
	// minChange is the least logarithm of a change that is followed at once: 25%, which
	// is within the margin of due times.
	minChange = 0.22
	// maxKinds bounds memory to about 3 MB.
	maxKinds = 256
	// settleTime is the time after a change in which no other is looked for: the recent
	// mean starts anew from few jobs, whose tasks are off alike.
	settleTime = 2 * time.Second
	// publishInterval is the number of samples of a kind between two updates of its
	// predictions.
	publishInterval = 16
	// scale is the histogram's value of a run time as predicted; 1 to maxValue stand for
	// a thousandth to a hundred times as long.
	scale    = 1000
	maxValue = 100 * scale
	// sampleCount is the histogram's count of a new sample; it allows for halving.
	sampleCount = 64
	// steps is the number of intervals between the quantiles of a prediction.
	steps = 100
)

// Prediction is an expected run time on an average upstream.
type Prediction struct {
	// Median is the run time that half of the runs exceed; the declared time if there
	// are too few samples.
	Median time.Duration
	// Mean is the mean run time. The work in a queue is the sum of means; medians leave
	// out the rare long runs. It is the declared time if there are too few samples.
	Mean time.Duration
	// Samples is the number of samples, after decay; 0 if the kind is not known.
	Samples float64
	// Changes is the number of sudden changes of the kind's run times so far.
	Changes int

	center float64
	table  *table
}

// Quantile returns the run time that the given share of the runs does not exceed; the
// declared time if there are too few samples.
func (p Prediction) Quantile(q float64) time.Duration {
	if p.table == nil {
		return p.Median
	}
	return duration(p.center + p.table.quantile(q))
}

// table is what Predict needs of a kind; it is never changed.
type table struct {
	samples float64
	changes int
	// A declared time with the logarithm x has the prediction level + slope*(x-declared).
	declared, level, slope float64
	// mean is the logarithm of the mean run time over the prediction.
	mean float64
	// quantiles are those of the logarithm of the run time over the prediction.
	quantiles [steps + 1]float64
}

// quantile returns a quantile of the logarithm of the run time over the prediction.
func (t *table) quantile(q float64) float64 {
	if !(q > 0) {
		return t.quantiles[0]
	}
	at := min(q, 1) * steps
	i := min(int(at), steps-1)
	return t.quantiles[i] + (at-float64(i))*(t.quantiles[i+1]-t.quantiles[i])
}

// kind is what was learned of one kind.
type kind struct {
	seenAt time.Time
	// weight is the number of samples in the means and sums; a change lowers it.
	weight, samples float64
	// declared and level are the means of the logarithms of declared and actual times.
	declared, level float64
	// variance and covariance are sums over the deviations of declared times, and of
	// these and actual times.
	variance, covariance float64
	// recent is the mean residual of the last second or so, with the given weight;
	// spread is its mean square.
	recent, recentWeight, spread float64
	changes                      int
	// settledAt is the time from which another change is looked for.
	settledAt time.Time
	// residuals counts actual over predicted times.
	residuals   *hdrhistogram.Histogram
	halvedAt    time.Time
	unpublished int
	table       atomic.Pointer[table]
}

// Predictor learns run times by kind. The zero value is ready.
type Predictor struct {
	kinds sync.Map // string to *kind
	n     int
}

// Observe learns from a run of a kind with the given declared run time, which took the
// given time on an average upstream.
func (p *Predictor) Observe(now time.Time, name string, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	k := p.kind(now, name)
	k.observe(now, math.Log(float64(declared)), math.Log(float64(took)))
	if k.unpublished++; k.unpublished >= publishInterval {
		k.unpublished = 0
		k.publish()
	}
}

// Predict returns the expected run time for a declared one.
func (p *Predictor) Predict(name string, declared time.Duration) Prediction {
	out := Prediction{Median: declared, Mean: declared}
	v, ok := p.kinds.Load(name)
	if !ok {
		return out
	}
	t := v.(*kind).table.Load()
	if t == nil {
		return out
	}
	out.Samples, out.Changes = t.samples, t.changes
	if t.samples < minSamples || declared <= 0 {
		return out
	}
	out.table = t
	out.center = t.level + t.slope*(math.Log(float64(declared))-t.declared)
	out.Median = out.Quantile(0.5)
	out.Mean = duration(out.center + t.mean)
	return out
}

// kind returns a kind; a new one replaces the one without runs for the longest time if
// there are too many.
func (p *Predictor) kind(now time.Time, name string) *kind {
	if v, ok := p.kinds.Load(name); ok {
		return v.(*kind)
	}
	if p.n >= maxKinds {
		var oldest any
		var at time.Time
		p.kinds.Range(func(key, v any) bool {
			if k := v.(*kind); oldest == nil || k.seenAt.Before(at) {
				oldest, at = key, k.seenAt
			}
			return true
		})
		p.kinds.Delete(oldest)
		p.n--
	}
	k := &kind{seenAt: now, halvedAt: now, residuals: hdrhistogram.New(1, maxValue, 2)}
	p.kinds.Store(name, k)
	p.n++
	return k
}

// slope returns by how much the logarithm of the run time grows with that of the
// declared one.
func (k *kind) slope() float64 {
	// A declared time is assumed to vary as much as it is off.
	const prior = priorSamples * 0.4 * 0.4
	return min(max((k.covariance+prior)/(k.variance+prior), 0), 1)
}

// observe learns from the logarithms of a declared and an actual run time.
func (k *kind) observe(now time.Time, declared, took float64) {
	passed := now.Sub(k.seenAt)
	k.seenAt = now
	f := decay(passed, halfLife)
	k.weight *= f
	k.samples *= f
	k.variance *= f
	k.covariance *= f
	if k.samples == 0 {
		k.declared, k.level = declared, took
	}
	d := declared - k.declared
	residual := took - k.level - k.slope()*d
	k.recordResidual(now, residual)
	residual = min(max(residual, -maxResidual), maxResidual)
	k.variance += d * d
	k.covariance += d * (k.slope()*d + residual)
	k.weight++
	k.samples++
	k.declared += d / k.weight
	// The level is that of the mean declared time, which has moved.
	k.level += (k.slope()*d + residual) / k.weight
	k.follow(now, passed, residual)
}

// follow drops the weight of older samples if runs suddenly take longer or shorter.
func (k *kind) follow(now time.Time, passed time.Duration, residual float64) {
	f := decay(passed, recentHalfLife)
	k.recentWeight = f*k.recentWeight + 1
	k.recent += (residual - k.recent) / k.recentWeight
	if k.samples < minSamples || now.Before(k.settledAt) {
		return
	}
	square := k.recent * k.recent
	if k.spread == 0 {
		k.spread = max(square, minChange*minChange/changeErrors/changeErrors)
	}
	limit := max(changeErrors*math.Sqrt(k.spread), minChange)
	// A change in progress must not raise its own limit much.
	w := max(1-decay(passed, halfLife), 0)
	k.spread += w * (min(square, 4*k.spread) - k.spread)
	if math.Abs(k.recent) < limit {
		return
	}
	k.level += k.recent
	k.weight = min(k.weight, 1+k.recentWeight/4)
	k.recent, k.recentWeight = 0, 0
	k.settledAt = now.Add(settleTime)
	k.changes++
	k.publish()
}

// recordResidual counts an actual over a predicted time.
func (k *kind) recordResidual(now time.Time, residual float64) {
	if n := now.Sub(k.halvedAt) / halfLife; n > 0 {
		k.halvedAt = now
		s := k.residuals.Export()
		for i := range s.Counts {
			s.Counts[i] >>= min(n, 62)
		}
		k.residuals = hdrhistogram.Import(s)
	}
	v := min(max(math.Exp(residual)*scale, 1), maxValue)
	// The value is within the bounds, so there is no error.
	_ = k.residuals.RecordValues(int64(v), sampleCount)
}

// publish makes what was learned known to Predict.
func (k *kind) publish() {
	t := &table{samples: k.samples, changes: k.changes, declared: k.declared, level: k.level, slope: k.slope()}
	t.mean = math.Log(max(k.residuals.Mean(), 1) / scale)
	percents := make([]float64, steps+1)
	for i := range percents {
		percents[i] = float64(i) * 100 / steps
	}
	for i, v := range k.residuals.ValueAtPercentilesSlice(percents) {
		t.quantiles[i] = math.Log(float64(max(v, 1)) / scale)
	}
	k.table.Store(t)
}

// duration returns the time with the given logarithm.
func duration(log float64) time.Duration {
	return time.Duration(min(math.Exp(log), float64(math.MaxInt64/2)))
}

// decay returns the weight that is left of a sample after a time.
func decay(passed, halfLife time.Duration) float64 {
	if passed <= 0 {
		return 1
	}
	return math.Exp2(-float64(passed) / float64(halfLife))
}
