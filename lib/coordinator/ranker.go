package coordinator

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the time constant with which the arrivals of a kind decay.
	arrivalWindow = 10 * time.Second
	// sizeWeight is the weight of one job in the moving mean of its kind's sizes.
	sizeWeight = 0.02
	// servedWeight is the weight of one answer in the served share of its kind.
	servedWeight = 0.02
	// servedFloor limits how much a low served share raises a rank.
	servedFloor = 0.01
	// fixedValueShare is the part of a job's value that doesn't depend on its size.
	fixedValueShare = 0.3
)

// kindStats holds statistics of the jobs of one queue.
type kindStats struct {
	// service and priority are those of the kind's last job.
	service  string
	priority int
	// arrivals is the number of arrivals as of lastArrival; it decays with
	// arrivalWindow.
	arrivals    float64
	lastArrival time.Time
	// meanSize is the mean size in core-seconds.
	meanSize float64
	// served is the share of recent jobs that were not refused.
	served float64
}

// countAnswer counts one answered job.
func (k *kindStats) countAnswer(refused bool) {
	share := 1.0
	if refused {
		share = 0
	}
	k.served += servedWeight * (share - k.served)
}

// countArrival counts one job of the given size in core-seconds.
func (k *kindStats) countArrival(now time.Time, size float64) {
	k.arrivals = 1 + k.arrivals*math.Exp(-now.Sub(k.lastArrival).Seconds()/arrivalWindow.Seconds())
	k.lastArrival = now
	if k.meanSize == 0 {
		k.meanSize = size
	}
	k.meanSize += sizeWeight * (size - k.meanSize)
}

// value returns the value of a job per core-second of its work. All kinds have the
// same total value, so that a frequent kind does not crowd out a rare one. Within
// a kind small jobs come first, so that more callers are served.
func (k *kindStats) value(size float64) float64 {
	if size <= 0 || k.meanSize <= 0 {
		return math.Inf(1)
	}
	return (fixedValueShare + (1-fixedValueShare)*size/k.meanSize) / max(k.arrivals, 1) / size
}

// rank returns the rank of a waiting job of the given value; the lower the served
// share of its kind, the higher its rank. The square root is a compromise between
// the highest total value (exponent 0) and equal shares of the capacity
// (exponent 1).
func (k *kindStats) rank(value float64) float64 { return value / math.Sqrt(max(k.served, servedFloor)) }

// workOf returns the work of a job in core-seconds.
func workOf(j *Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += j.Steps[i].work()
	}
	return sum
}

// startWindow is the time constant with which started work decays.
const startWindow = time.Second

// decayingRate measures the rate at which an entry starts work, in core-seconds or
// in cores.
type decayingRate struct {
	// sum is the amount as of lastAdded; it decays with startWindow.
	sum       float64
	lastAdded time.Time
}

// add counts started work.
func (f *decayingRate) add(now time.Time, work float64) {
	f.sum = f.sum*math.Exp(-now.Sub(f.lastAdded).Seconds()/startWindow.Seconds()) + work
	f.lastAdded = now
}

// rate returns the started work per second.
func (f *decayingRate) rate(now time.Time) float64 {
	return f.sum * math.Exp(-now.Sub(f.lastAdded).Seconds()/startWindow.Seconds()) / startWindow.Seconds()
}
