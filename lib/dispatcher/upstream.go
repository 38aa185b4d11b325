package dispatcher

import "time"

const (
	// learnRate is the weight of the newest run time in the moving average.
	learnRate = 0.05
	// failureLimit is the number of consecutive failures after which an upstream
	// is ejected.
	failureLimit = 5
	// firstEjection is the duration of the first ejection.
	firstEjection = 2 * time.Second
	// lastEjection is the maximum duration of an ejection.
	lastEjection = time.Minute
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

// slots is a pool's view of an upstream, guarded by the pool's lock. Slots
// borrowed from another entry have a value of their own.
type slots struct {
	Target
	// busy counts the slots in use.
	busy int
	// lent counts the slots lent to other entries.
	lent int
	// loan is set if the slots are borrowed from another entry.
	loan *loan
	// seconds is the moving average of the run time of successful tasks, 0 while
	// there is none.
	seconds float64
	// runs counts the run times included in seconds, apart from the prior.
	runs int
	// failures counts consecutive failures.
	failures int
	// ejectedUntil is the time before which no task is started.
	ejectedUntil time.Time
	// ejection is the duration of the last ejection, 0 after a success.
	ejection time.Duration
	// saidLeaving is true once the upstream itself announced that it is leaving.
	saidLeaving bool
	// removed is true once the upstream is no longer assigned or was replaced by a
	// new instance.
	removed bool
	// prior returns the estimate used before the first successful task.
	prior func() float64
}

// Estimate returns the expected run time in seconds.
func (s *slots) Estimate() float64 {
	if s.seconds == 0 {
		return s.prior()
	}
	return s.seconds
}

// free reports whether a task can be started on the upstream now.
func (s *slots) free(now time.Time) bool {
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
func (s *slots) rate() float64 {
	if e := s.Estimate(); e > 0 {
		return float64(s.Slots-s.lent) / e
	}
	return 0
}

// succeed records the run time of a successful task.
func (s *slots) succeed(d time.Duration) {
	s.failures = 0
	s.ejection = 0
	if s.seconds == 0 {
		s.seconds = s.prior()
	}
	s.runs++
	rate := max(1/float64(s.runs+1), learnRate)
	s.seconds += rate * (d.Seconds() - s.seconds)
}

// fail counts a failure and reports whether the upstream should be ejected.
func (s *slots) fail() bool {
	s.failures++
	return s.failures >= failureLimit
}

// eject excludes the upstream from new starts, each time for twice as long, up to
// lastEjection.
func (s *slots) eject(now time.Time) {
	s.ejection = min(max(2*s.ejection, firstEjection), lastEjection)
	s.ejectedUntil = now.Add(s.ejection)
}
