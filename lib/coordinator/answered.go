package coordinator

import "time"

const (
	// answerRetention is how long an answered job is remembered; callers
	// resubmit within seconds.
	answerRetention = 10 * time.Second
	// maxAnswered limits the remembered jobs; at the peak load of today's sites an
	// entry answers fewer within answerRetention.
	maxAnswered = 20000
)

// answeredJob is what an entry remembers of an answered job.
type answeredJob struct {
	answer Answer
	// lastRun is the highest run number of the job's tasks.
	lastRun   uint64
	expiresAt time.Time
}

// rememberAnswer stores the answer and the highest run number of a job in case it
// is submitted again. Jobs whose tasks were never placed are not stored unless a peer ran
// them to their end, nor any beyond maxAnswered. The caller holds the lock.
func (c *Coordinator) rememberAnswer(j *job, a Answer) {
	now := time.Now()
	c.purgeAnswered(now)
	p := answeredJob{answer: a, lastRun: j.lastRun(), expiresAt: now.Add(answerRetention)}
	if (p.lastRun > 0 || a.State == Complete || a.State == Failed) && len(c.answered) < maxAnswered {
		c.answered[j.ID] = p
	}
}

// purgeAnswered removes the expired answered jobs, at most once a second; the
// caller holds the lock.
func (c *Coordinator) purgeAnswered(now time.Time) {
	if now.Sub(c.purgedAt) < time.Second {
		return
	}
	c.purgedAt = now
	for id, p := range c.answered {
		if now.After(p.expiresAt) {
			delete(c.answered, id)
		}
	}
}
