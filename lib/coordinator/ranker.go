package coordinator

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which the arrivals of a kind are counted.
	rateWindow = 10 * time.Second
	// sizeWeight is the weight of one job in the mean size of its kind.
	sizeWeight = 0.02
	// servedWeight is the weight of one answer in the served share of its kind.
	servedWeight = 0.02
	// servedFloor bounds what a low served share does to a rank.
	servedFloor = 0.01
	// fixedValue is the part of a job's value that doesn't depend on its size.
	fixedValue = 0.3
)

// kind is what is known of the jobs of one queue.
type kind struct {
	// count decays with rateWindow.
	count float64
	at    time.Time
	size  float64
	// served is the share of jobs that were not refused lately.
	served float64
}

// answer counts an answer.
func (k *kind) answer(refused bool) {
	share := 1.0
	if refused {
		share = 0
	}
	k.served += servedWeight * (share - k.served)
}

// arrive counts a job of the given size, in core-seconds.
func (k *kind) arrive(now time.Time, size float64) {
	k.count = 1 + k.count*math.Exp(-now.Sub(k.at).Seconds()/rateWindow.Seconds())
	k.at = now
	if k.size == 0 {
		k.size = size
	}
	k.size += sizeWeight * (size - k.size)
}

// value is what a job counts for each core-second that it takes. All kinds
// together count the same, so a rare kind is not drowned by a frequent one, and
// within a kind small jobs come first, so that more callers are served.
func (k *kind) value(size float64) float64 {
	if size <= 0 || k.size <= 0 {
		return math.Inf(1)
	}
	return (fixedValue + (1-fixedValue)*size/k.size) / max(k.count, 1) / size
}

// rank orders waiting jobs: by value, more so the less of their kind is served.
// The root is the fairness between the most value in all (exponent 0) and equal
// shares of the room (exponent 1).
func (k *kind) rank(value float64) float64 { return value / math.Sqrt(max(k.served, servedFloor)) }

// size is the work of a job in core-seconds.
func size(j *Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += j.Steps[i].size()
	}
	return sum
}

// flowWindow is the time over which started work is counted.
const flowWindow = time.Second

// flow counts the work that an entry gets started.
type flow struct {
	// sum is in core-seconds and decays with flowWindow.
	sum float64
	at  time.Time
}

// add counts started work, in core-seconds.
func (f *flow) add(now time.Time, work float64) {
	f.sum = f.sum*math.Exp(-now.Sub(f.at).Seconds()/flowWindow.Seconds()) + work
	f.at = now
}

// rate returns core-seconds for each second.
func (f *flow) rate(now time.Time) float64 {
	return f.sum * math.Exp(-now.Sub(f.at).Seconds()/flowWindow.Seconds()) / flowWindow.Seconds()
}
