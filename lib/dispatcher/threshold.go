package dispatcher

import "time"

// loadRate is the weight of the newest sample in the average of the load.
const loadRate = 0.01

// threshold decides whether a waiting task should take a slow slot that is free
// or wait for a faster one that is busy.
//
// A task at the end of the queue would be served by the faster slots after
// about length / rate + run, where rate and run are theirs. A slow slot is worth
// taking only if it ends earlier. Waiting leaves the slow slot idle, which
// later arrivals pay for, so the allowance shrinks as the load grows.
type threshold struct {
	// load is the moving average of the used share of the capacity.
	load float64
}

// observe samples the used share of the capacity.
func (h *threshold) observe(order []*slots) {
	used, all := 0.0, 0.0
	for _, s := range order {
		e := s.Estimate()
		if s.loan != nil || s.Leaving || e == 0 {
			continue
		}
		used += float64(s.busy+s.lent) / e
		all += float64(s.Slots) / e
	}
	if all > 0 {
		h.load += loadRate * (used/all - h.load)
	}
}

// worth reports whether the slot s should be taken for a task queued at the
// given time while length tasks wait. idle returns the number of faster slots
// that could be borrowed. If the slot is not worth taking, worth returns how
// long the task can be expected to wait at the most.
func (h *threshold) worth(s *slots, order []*slots, length int, idle func(below float64) int, queued, now time.Time) (bool, time.Duration) {
	rate, run := 0.0, 0.0
	for _, o := range order {
		if o.Leaving || now.Before(o.ejectedUntil) || o.Estimate() >= s.Estimate() {
			continue
		}
		r := o.rate()
		rate += r
		run += r * o.Estimate()
	}
	gain := s.Estimate()
	if rate > 0 {
		gain -= run / rate
	}
	left := time.Duration(gain*float64(time.Second)) - now.Sub(queued)
	if left <= 0 {
		return true, 0
	}
	allowed := gain * rate * max(0, 1-h.load)
	if float64(length) <= allowed || float64(length-idle(s.Estimate())) <= allowed {
		return false, left
	}
	return true, 0
}
