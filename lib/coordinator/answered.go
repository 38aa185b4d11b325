package coordinator

import "time"

const (
	// answerRetention is how long an answered job is remembered; callers resubmit within
	// seconds.
	answerRetention = 10 * time.Second
	// maxAnswered limits the remembered jobs; at the peak load of today's sites an
	// entry answers fewer within answerRetention.
	maxAnswered = 20000
)

// answeredJob is what is kept of an answered job.
type answeredJob struct {
	answer Answer
	// run is the highest number of its runs.
	run   uint64
	until time.Time
}

// remember stores the answer and the highest run number of a job in case it is
// submitted again; the caller holds the lock.
func (c *Coordinator) remember(j *job, a Answer) {
	now := time.Now()
	c.forget(now)
	p := answeredJob{answer: a, until: now.Add(answerRetention)}
	for _, t := range j.tasks {
		p.run = max(p.run, t.run)
	}
	if p.run > 0 && len(c.answered) < maxAnswered {
		c.answered[j.ID] = p
	}
}

// forget removes expired jobs, at most once a second; the caller holds the lock.
func (c *Coordinator) forget(now time.Time) {
	if now.Sub(c.purgedAt) < time.Second {
		return
	}
	c.purgedAt = now
	for id, p := range c.answered {
		if now.After(p.until) {
			delete(c.answered, id)
		}
	}
}
