// Package scheduler computes the response times of ideal schedulers.
//
// Both schedulers know every run time in advance. IdleResponse is for a job that
// has all slots to itself. Replay is for a central scheduler that serves the same
// arrivals in order and runs each task on the slot where it ends first.
//
// # Usage
//
//	ideal := scheduler.IdleResponse(slots, job)
//	replay := scheduler.Replay(slots, jobs)
package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Slots are the slots of upstreams with one speed.
type Slots struct {
	// Speed divides the run time of a task.
	Speed float64
	// Count is the number of slots.
	Count int
}

// Job is one arrival.
type Job struct {
	// At is the time of the arrival since the start of the run.
	At time.Duration
	// Runs are the run times of its tasks at speed 1.
	Runs []time.Duration
}

// speedClass holds the slots of one speed as a heap of the times at which they
// become free.
type speedClass struct {
	speed float64
	free  timeHeap
}

type timeHeap []time.Duration

func (t timeHeap) Len() int           { return len(t) }
func (t timeHeap) Less(i, j int) bool { return t[i] < t[j] }
func (t timeHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push appends a time; only package heap calls it.
func (t *timeHeap) Push(x any) {
	d, _ := x.(time.Duration)
	*t = append(*t, d)
}

// Pop removes the last time; only package heap calls it.
func (t *timeHeap) Pop() any {
	old := *t
	d := old[len(old)-1]
	*t = old[:len(old)-1]
	return d
}

func newClasses(slots []Slots) []*speedClass {
	var out []*speedClass
	for _, s := range slots {
		if s.Count > 0 {
			out = append(out, &speedClass{s.Speed, make(timeHeap, s.Count)})
		}
	}
	return out
}

// placeTask runs one task on the slot where it ends first and returns its end.
func placeTask(cs []*speedClass, at, run time.Duration) time.Duration {
	var best *speedClass
	var end time.Duration
	for _, c := range cs {
		e := max(at, c.free[0]) + time.Duration(float64(run)/c.speed)
		if best == nil || e < end {
			best, end = c, e
		}
	}
	best.free[0] = end
	heap.Fix(&best.free, 0)
	return end
}

// scheduleJob runs all tasks of a job, the longest first, and returns its response
// time.
func scheduleJob(cs []*speedClass, j Job) time.Duration {
	runs := slices.Clone(j.Runs)
	slices.SortFunc(runs, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	var last time.Duration
	for _, r := range runs {
		last = max(last, placeTask(cs, j.At, r))
	}
	return last - j.At
}

// IdleResponse returns the response time of a job on an idle fleet.
func IdleResponse(slots []Slots, j Job) time.Duration {
	j.At = 0
	return scheduleJob(newClasses(slots), j)
}

// Replay returns the response time of each job when all arrive at their times.
func Replay(slots []Slots, jobs []Job) []time.Duration {
	cs := newClasses(slots)
	out := make([]time.Duration, len(jobs))
	for i, j := range jobs {
		out[i] = scheduleJob(cs, j)
	}
	return out
}
