package dispatcher

import "time"

const (
	// averageRate is the weight of the newest run time in the moving average.
	averageRate = 0.05
	// failureLimit is the number of consecutive failures after which an upstream
	// is ejected.
	failureLimit = 5
	// firstEjection is the duration of the first ejection.
	firstEjection = 2 * time.Second
	// maxEjection is the maximum duration of an ejection.
	maxEjection = time.Minute
)

// Target is an upstream with the slots on it that belong to this entry.
type Target struct {
	// Name and Instance come from the VM list; an upstream with a new instance
	// counts as a new upstream.
	Name, Instance string
	// Address is the upstream's IP address and port.
	Address string
	// Slots is the number of tasks that this entry may run there concurrently.
	Slots int
	// Leaving is true if the upstream must not receive new tasks.
	Leaving bool
}

// upstreamState is a pool's view of an upstream, guarded by the pool's lock. Slots
// borrowed from another entry have a value of their own.
type upstreamState struct {
	Target
	// busy counts the slots in use.
	busy int
	// lent counts the slots lent to other entries.
	lent int
	// loan is set if the slots are borrowed from another entry.
	loan *borrowedLoan
	// runSeconds is the moving average of the run time of successful tasks, 0 while
	// there is none.
	runSeconds float64
	// runs counts the run times included in runSeconds, apart from the prior.
	runs int
	// failures counts consecutive failures.
	failures int
	// ejectedUntil is the time before which no task is started.
	ejectedUntil time.Time
	// ejection is the duration of the last ejection, 0 after a success.
	ejection time.Duration
	// announcedLeaving is true once the upstream itself announced that it is
	// leaving.
	announcedLeaving bool
	// removed is true once the upstream is no longer assigned or was replaced by a
	// new instance.
	removed bool
	// prior returns the estimate used before the first successful task.
	prior func() float64
}

// Estimate returns the expected run time in seconds.
func (s *upstreamState) Estimate() float64 {
	if s.runSeconds == 0 {
		return s.prior()
	}
	return s.runSeconds
}

// hasFreeSlot reports whether a task can be started on the upstream now.
func (s *upstreamState) hasFreeSlot(now time.Time) bool {
	if s.removed || s.Leaving || s.busy+s.lent >= s.Slots || now.Before(s.ejectedUntil) {
		return false
	}
	if s.loan != nil && !now.Before(s.loan.until) {
		return false
	}
	// After an ejection, only one task at a time probes the upstream.
	return s.failures < failureLimit || s.busy == 0
}

// rate returns the number of tasks per second that the upstream's slots can run.
func (s *upstreamState) rate() float64 {
	if e := s.Estimate(); e > 0 {
		return float64(s.Slots-s.lent) / e
	}
	return 0
}

// recordSuccess records the run time of a successful task.
func (s *upstreamState) recordSuccess(d time.Duration) {
	s.failures = 0
	s.ejection = 0
	if s.runSeconds == 0 {
		s.runSeconds = s.prior()
	}
	s.runs++
	rate := max(1/float64(s.runs+1), averageRate)
	s.runSeconds += rate * (d.Seconds() - s.runSeconds)
}

// recordFailure counts a failure and reports whether the upstream should be
// ejected.
func (s *upstreamState) recordFailure() bool {
	s.failures++
	return s.failures >= failureLimit
}

// eject excludes the upstream from new starts, each time for twice as long, up to
// maxEjection.
func (s *upstreamState) eject(now time.Time) {
	s.ejection = min(max(2*s.ejection, firstEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejection)
}
