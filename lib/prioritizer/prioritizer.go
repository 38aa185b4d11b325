// Package prioritizer orders the waiting jobs of queues of different priority and keeps
// capacity free for urgent ones.
//
// It is meant for a load in which callers of several queues compete for too little
// capacity, and the urgent queue has short jobs of many tasks: such a job needs many
// places at once, and tasks that run longer would occupy them. Without the part an
// urgent job waits until as many places are free by chance.
//
// An entry sees only its own jobs, while it shares the places with its near peers. As
// callers' connections are spread evenly over the entries, the part takes the arrivals
// at the peers to be like its own.
//
// # Usage
//
//	p := &prioritizer.Policy{Enabled: true}
//	p.SetPlaces(places, entries)                     // as the fleet changes
//	p.Arrived(now, job.Priority, tasks, expected)    // for each submitted job
//	p.Sort(waiting)                                  // in each pass
//	if p.MayStart(now, waiting[i], latest, tasks, free) {
//		p.Started(now, job.Priority, tasks, now.Sub(job.Arrived))
//	}
//
// The latest start is the job's due time less its expected run time. MayStart only
// delays a start. It is no reason to refuse a job, and a started job doesn't ask.
//
// The integration counts the starts that the reserve delayed and exports the reserve,
// both by priority.
//
// A Policy is not safe for concurrent use; the caller's lock protects it.
package prioritizer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the time constant with which arrivals and starts decay. Bursts last
	// several seconds; a longer one would follow a burst when its callers have left.
	window = 2 * time.Second
	// guaranteedShare is the share of the started work below which a queue with waiting
	// jobs goes first, so that its callers are served under any load of urgent queues.
	guaranteedShare = 0.1
	// guaranteedTotal limits the sum of the guaranteed shares where there are many
	// priorities, so that callers of the most urgent queue get at least half.
	guaranteedTotal = 0.5
	// maxReservedShare limits the places that are kept free, so that callers of other
	// queues keep three quarters of them whatever the estimate.
	maxReservedShare = 0.25
	// shortageWait is the time to a start above which capacity is short: well above that
	// of a job that finds free places, and below the slack of the shortest jobs.
	shortageWait = 15 * time.Millisecond
	// shortagePeriod is the time for which a shortage lasts after the last start that
	// was late, so that the reserve isn't given up between two bursts of arrivals.
	shortagePeriod = time.Second
	// holdShare is the part of the time between a job's arrival and its latest start in
	// which the reserve may delay it; the rest covers run times that are longer than
	// declared. With 0.5 the urgent queue is the worst served at 1.6 times the capacity;
	// with 0.7 callers get less in all at 0.95 times than without the reserve.
	holdShare = 0.6
)

// Waiting is a job that waits for capacity.
type Waiting struct {
	// Index identifies the job for the caller.
	Index int
	// Priority is that of the job's queue; 0 is the most urgent.
	Priority int
	// Rank is the job's value per core-second, by which jobs of equal priority are
	// ordered; higher ranks go first.
	Rank float64
	// Arrived is the time of the submission.
	Arrived time.Time
	// Due is the time up to which an answer counts as in time.
	Due time.Time
}

// queueStats holds decaying sums over the jobs of the queues of one priority.
type queueStats struct {
	priority int
	// tasks is the number of tasks that arrived, work their expected task-seconds, and
	// squares the sum of each job's task-seconds times its number of tasks.
	tasks, work, squares float64
	// started is the task-seconds of the tasks that were started.
	started float64
	// running is the estimated number of this entry's tasks that run now.
	running float64
}

// runTime returns the mean expected run time in seconds.
func (q *queueStats) runTime() float64 { return q.work / max(q.tasks, 1e-9) }

// Policy orders jobs and computes reserves. Exported fields are set before use.
type Policy struct {
	// Enabled is false where priorities are off: jobs are ordered by rank, and nothing
	// is reserved.
	Enabled bool

	places, entries int
	now             time.Time
	// queues is ordered by priority, the most urgent first.
	queues        []*queueStats
	shortageUntil time.Time
}

// SetPlaces sets the number of tasks that the near upstreams hold when idle, and the
// number of entries that use these upstreams.
func (p *Policy) SetPlaces(places, entries int) { p.places, p.entries = places, max(entries, 1) }

// Arrived counts a submitted job.
func (p *Policy) Arrived(now time.Time, priority, tasks int, expected time.Duration) {
	p.decay(now)
	q, work := p.queue(priority), float64(tasks)*expected.Seconds()
	q.tasks += float64(tasks)
	q.work += work
	q.squares += work * float64(tasks)
}

// Started counts a started job that waited for the given time.
func (p *Policy) Started(now time.Time, priority, tasks int, waited time.Duration) {
	p.decay(now)
	q := p.queue(priority)
	q.started += float64(tasks) * q.runTime()
	q.running += float64(tasks)
	if waited > shortageWait {
		p.shortageUntil = now.Add(shortagePeriod)
	}
}

// Sort orders the waiting jobs: first those of queues that got less than their
// guaranteed share, then the more urgent, then those of higher rank, then the
// earlier ones.
func (p *Policy) Sort(list []Waiting) {
	starved := make(map[int]bool, len(p.queues))
	for _, q := range p.queues {
		starved[q.priority] = p.starved(q.priority)
	}
	slices.SortFunc(list, func(a, b Waiting) int {
		if p.Enabled && a.Priority != b.Priority {
			if x := starved[a.Priority]; x != starved[b.Priority] {
				if x {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.Priority, b.Priority)
		}
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), a.Arrived.Compare(b.Arrived), cmp.Compare(a.Index, b.Index))
	})
}

// Reserve returns the number of places to keep free for more urgent jobs when a job of
// the given priority is about to start.
func (p *Policy) Reserve(now time.Time, priority int) (places int) {
	if !p.Enabled || !now.Before(p.shortageUntil) {
		return 0
	}
	p.decay(now)
	if p.starved(priority) {
		return 0
	}
	mean, variance := 0.0, 0.0
	for _, q := range p.queues {
		if q.priority < priority {
			// The peers' tasks are taken to be the mean, as this entry doesn't know them.
			mean += q.work/window.Seconds() - q.running
			variance += q.squares / window.Seconds()
		}
	}
	need := mean + math.Sqrt(variance*float64(p.entries))
	return int(max(0, min(need, maxReservedShare*float64(p.places))))
}

// MayStart reports whether a waiting job may start its tasks now, with the given number of
// free places. It may if the reserve stays free, or after the share holdShare of the
// time between its arrival and its latest start in time.
func (p *Policy) MayStart(now time.Time, w Waiting, latest time.Time, tasks, free int) bool {
	slack := float64(latest.Sub(w.Arrived))
	return now.Sub(w.Arrived) >= time.Duration(holdShare*slack) || free-tasks >= p.Reserve(now, w.Priority)
}

// starved reports whether the queues of a priority got less than their guaranteed share.
func (p *Policy) starved(priority int) bool {
	total, own := 0.0, 0.0
	for _, q := range p.queues {
		total += q.started
		if q.priority == priority {
			own = q.started
		}
	}
	return own < total*min(guaranteedShare, guaranteedTotal/float64(max(len(p.queues), 1)))
}

// queue returns the statistics of a priority.
func (p *Policy) queue(priority int) *queueStats {
	i, ok := slices.BinarySearchFunc(p.queues, priority, func(q *queueStats, n int) int { return cmp.Compare(q.priority, n) })
	if !ok {
		p.queues = slices.Insert(p.queues, i, &queueStats{priority: priority})
	}
	return p.queues[i]
}

// decay brings all sums to the given time.
func (p *Policy) decay(now time.Time) {
	passed := now.Sub(p.now).Seconds()
	if p.now.IsZero() || passed <= 0 {
		p.now = later(p.now, now)
		return
	}
	p.now = now
	factor := math.Exp(-passed / window.Seconds())
	for _, q := range p.queues {
		if t := q.runTime(); t > 0 {
			q.running *= math.Exp(-passed / t)
		}
		q.tasks *= factor
		q.work *= factor
		q.squares *= factor
		q.started *= factor
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
