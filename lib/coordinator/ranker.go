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
