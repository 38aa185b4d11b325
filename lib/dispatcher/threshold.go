package dispatcher

import "time"

// loadRate is the weight of the newest sample in the moving average of the load.
const loadRate = 0.01

// threshold decides whether a waiting task should use a free slow slot or wait
// for a faster one that is busy.
//
// The faster slots would finish the task at the end of the queue after about
// length/rate + run, where rate is their combined throughput and run their mean
// run time. The slow slot is worth taking only if it finishes earlier. Waiting
// leaves the slow slot idle at the expense of later arrivals, so the queue
// length up to which tasks wait shrinks as the load grows.
type threshold struct {
	// load is the moving average of the share of the capacity in use.
	load float64
}

// observe samples the share of the capacity in use.
func (h *threshold) observe(upstreams []*upstreamState) {
	used, all := 0.0, 0.0
	for _, s := range upstreams {
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

// worthTaking reports whether the free slot s should be used for a task that was
// queued at the given time; waiting is the length of the queue and borrowable
// returns the number of slots with a run time less than below that could be
// borrowed. If the task should wait, worthTaking also returns after how much more
// time waiting no longer pays.
func (h *threshold) worthTaking(s *upstreamState, upstreams []*upstreamState, waiting int, borrowable func(below float64) int, queued, now time.Time) (bool, time.Duration) {
	rate, run := 0.0, 0.0
	for _, o := range upstreams {
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
	if float64(waiting) <= allowed || float64(waiting-borrowable(s.Estimate())) <= allowed {
		return false, left
	}
	return true, 0
}
