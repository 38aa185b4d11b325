package coordinator

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which the arrivals of a kind decay.
	rateWindow = 10 * time.Second
	// sizeWeight is the weight of one job in the moving mean of its kind's sizes.
	sizeWeight = 0.02
	// servedWeight is the weight of one answer in the served share of its kind.
	servedWeight = 0.02
	// servedFloor limits how much a low served share raises a rank.
	servedFloor = 0.01
	// fixedValue is the part of a job's value that doesn't depend on its size.
	fixedValue = 0.3
)

// kindStats holds statistics of the jobs of one queue.
type kindStats struct {
	// count is the number of arrivals as of at, the last one; it decays with
	// rateWindow.
	count float64
	at    time.Time
	// size is the mean size in core-seconds.
	size float64
	// served is the share of recent jobs that were not refused.
	served float64
}

// answer counts one answered job.
func (k *kindStats) answer(refused bool) {
	share := 1.0
	if refused {
		share = 0
	}
	k.served += servedWeight * (share - k.served)
}

// arrive counts one job of the given size in core-seconds.
func (k *kindStats) arrive(now time.Time, size float64) {
	k.count = 1 + k.count*math.Exp(-now.Sub(k.at).Seconds()/rateWindow.Seconds())
	k.at = now
	if k.size == 0 {
		k.size = size
	}
	k.size += sizeWeight * (size - k.size)
}

// value returns the value of a job per core-second of its work. All kinds have the
// same total value, so that a frequent kind does not crowd out a rare one. Within
// a kind small jobs come first, so that more callers are served.
func (k *kindStats) value(size float64) float64 {
	if size <= 0 || k.size <= 0 {
		return math.Inf(1)
	}
	return (fixedValue + (1-fixedValue)*size/k.size) / max(k.count, 1) / size
}

// rank returns the rank of a waiting job of the given value; the lower the served
// share of its kind, the higher its rank. The square root is a compromise between
// the highest total value (exponent 0) and equal shares of the capacity
// (exponent 1).
func (k *kindStats) rank(value float64) float64 { return value / math.Sqrt(max(k.served, servedFloor)) }

// size returns the work of a job in core-seconds.
func size(j *Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += j.Steps[i].work()
	}
	return sum
}

// flowWindow is the time constant with which started work decays.
const flowWindow = time.Second

// flow measures the rate at which an entry starts work, in core-seconds or in
// cores.
type flow struct {
	// sum is the amount as of at, the last addition; it decays with flowWindow.
	sum float64
	at  time.Time
}

// add counts started work.
func (f *flow) add(now time.Time, work float64) {
	f.sum = f.sum*math.Exp(-now.Sub(f.at).Seconds()/flowWindow.Seconds()) + work
	f.at = now
}

// rate returns the started work per second.
func (f *flow) rate(now time.Time) float64 {
	return f.sum * math.Exp(-now.Sub(f.at).Seconds()/flowWindow.Seconds()) / flowWindow.Seconds()
}
