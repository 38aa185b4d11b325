package coordinator

import "time"

// stopReason is the reason of the answers to jobs that end, or do not begin, because this
// entry stops.
const stopReason = "the entry is stopping"

// StopAt makes the coordinator answer every best-effort job by the given time. A job that
// is not expected to end by then does not begin and is refused at once. A job that is open
// at that time expires if it has begun, and its runs are cancelled; otherwise it is
// refused. Kept jobs go on.
func (c *Coordinator) StopAt(at time.Time) {
	c.mu.Lock()
	c.stopAt = at
	for _, j := range c.jobs {
		c.limitToStop(j)
	}
	c.mu.Unlock()
	c.Wake()
}

// limitToStop moves the deadline of a best-effort job to the time at which this entry
// stops, unless it is earlier; the caller holds the lock.
func (c *Coordinator) limitToStop(j *job) {
	if !j.kept() && !c.stopAt.IsZero() && c.stopAt.Before(j.Deadline) {
		j.Deadline = c.stopAt
	}
}

// limitedByStop reports whether the deadline of a job is the time at which this entry
// stops; the caller holds the lock.
func (c *Coordinator) limitedByStop(j *job) bool {
	return !c.stopAt.IsZero() && j.Deadline.Equal(c.stopAt)
}

// endsAfterStop reports whether a new job is not expected to end before this entry stops;
// the caller holds the lock.
func (c *Coordinator) endsAfterStop(j *job, now time.Time) bool {
	return c.limitedByStop(j) && j.Deadline.Sub(now)-startMargin < c.shortestTimeToEnd(j)
}

// refusal returns the answer to a job that cannot begin in time, with the expected wait of
// others like it. If that is because this entry stops, other entries may run the job at once.
func (c *Coordinator) refusal(j *job, reason string, wait time.Duration) Answer {
	if c.limitedByStop(j) && !j.Due.Before(c.stopAt) {
		reason, wait = stopReason, 0
	}
	return Answer{State: Refused, Reason: reason, RetryAfter: retryAfter(wait)}
}
