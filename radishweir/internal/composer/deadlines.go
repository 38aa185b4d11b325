package composer

import "time"

const (
	// answerTime is the time before the end of the work in which the callers of the jobs
	// that are open until then get their answers, also on a VM with a tenth of a core.
	answerTime = 250 * time.Millisecond
	// releaseTime is the time before the drain limit in which the last frames are sent to
	// peers and the holder of kept jobs is removed, for which the other entries wait.
	releaseTime = 250 * time.Millisecond
)

// drainDeadlines are the deadlines of a drain, in the order in which they pass.
type drainDeadlines struct {
	// balancer is the time from which no new connections are expected.
	balancer time.Time
	// jobs is the time by which every best-effort job has its answer.
	jobs time.Time
	// work is the time at which this entry waits no longer for callers, kept jobs, and the
	// runs and jobs of other entries.
	work time.Time
	// limit is the time at which the drain ends.
	limit time.Time
}

// newDrainDeadlines returns the deadlines of a drain that starts now, of the given limit
// and wait for the load balancer. Short limits are divided in half.
func newDrainDeadlines(now time.Time, limit, balancerWait time.Duration) drainDeadlines {
	reserved := min(answerTime+releaseTime, limit/2)
	d := drainDeadlines{limit: now.Add(limit)}
	d.jobs = d.limit.Add(-reserved)
	d.work = d.jobs.Add(reserved * answerTime / (answerTime + releaseTime))
	d.balancer = now.Add(min(balancerWait, limit-reserved))
	return d
}
