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
	// fixedValue is the part of a job's value that doesn't depend on its size.
	fixedValue = 0.3
)

// kind is what is known of the jobs of one queue.
type kind struct {
	// count decays with rateWindow.
	count float64
	at    time.Time
	size  float64
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

// rank is the value of a job for each core-second that it takes. All kinds
// together count the same, so a rare kind is not drowned by a frequent one, and
// within a kind small jobs come first, so that more callers are served.
func (k *kind) rank(size float64) float64 {
	if size <= 0 || k.size <= 0 {
		return math.Inf(1)
	}
	value := (fixedValue + (1-fixedValue)*size/k.size) / max(k.count, 1)
	return value / size
}

// size is the work of a job in core-seconds.
func size(j *Job) float64 {
	return float64(j.Tasks) * max(j.Expected, time.Millisecond).Seconds() * float64(j.Need.CPU) / 1000
}
