package dispatcher

import "time"

const (
	// learnRate is the weight of the newest run time in the moving average.
	learnRate = 0.05
	// failureLimit is the number of failures in a row that ejects an upstream.
	failureLimit = 5
	// firstEjection is the length of the first ejection.
	firstEjection = 2 * time.Second
	// lastEjection is the longest ejection.
	lastEjection = time.Minute
)

// Target is an upstream with the slots on it that belong to this entry.
type Target struct {
	// Name and Instance come from the VM list; a new instance is a new upstream.
	Name, Instance string
	// Address is the upstream's IP number and port.
	Address string
	// Slots is the number of tasks that this entry may run there at once.
	Slots int
	// Leaving is true when the upstream gets no new work.
	Leaving bool
}

// slots is an upstream as seen by a pool; the pool's lock guards it.
type slots struct {
	Target
	busy int
	// lent counts own slots that another entry uses.
	lent int
	// loan is set on slots that another entry lent.
	loan *loan
	// seconds is the moving average of the run time of successful tasks.
	seconds float64
	// runs counts the run times in the average, beside the first guess.
	runs int
	// failures counts failures in a row.
	failures int
	// ejectedUntil keeps the upstream out of the choice.
	ejectedUntil time.Time
	// ejection is the length of the last ejection.
	ejection time.Duration
	// saidLeaving is true once the upstream itself said that it is leaving.
	saidLeaving bool
	// removed is true once the VM list or a new instance replaced it.
	removed bool
	// prior returns the estimate of an upstream that has not answered yet.
	prior func() float64
}

// Estimate returns the expected run time in seconds.
func (s *slots) Estimate() float64 {
	if s.seconds == 0 {
		return s.prior()
	}
	return s.seconds
}

// free reports whether the upstream can take a task now.
func (s *slots) free(now time.Time) bool {
	if s.removed || s.Leaving || s.busy+s.lent >= s.Slots || now.Before(s.ejectedUntil) {
		return false
	}
	if s.loan != nil && !now.Before(s.loan.until) {
		return false
	}
	// After an ejection a single task probes the upstream.
	return s.failures < failureLimit || s.busy == 0
}

// rate returns the tasks per second that the upstream's slots can run.
func (s *slots) rate() float64 {
	if e := s.Estimate(); e > 0 {
		return float64(s.Slots-s.lent) / e
	}
	return 0
}

// succeed learns the run time of a successful task.
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

// eject keeps the upstream out of the choice, longer each time.
func (s *slots) eject(now time.Time) {
	s.ejection = min(max(2*s.ejection, firstEjection), lastEjection)
	s.ejectedUntil = now.Add(s.ejection)
}
