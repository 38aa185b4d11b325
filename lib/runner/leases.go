package runner

import (
	"time"
)

// leaseLimit returns the time up to which the lease may be renewed. All runs on the
// upstream share the lease, so the run whose requester was not seen for the longest time
// limits it. The caller holds the lock.
func (h *ownedUpstream) leaseLimit(now time.Time) time.Time {
	limit := now.Add(LeaseTTL)
	for _, r := range h.runs {
		if until := h.renewableUntil(r, now); until.Before(limit) {
			limit = until
		}
	}
	return limit
}

// renewableUntil returns the time up to which the lease may be renewed for a run. A sign of life
// of the requester since the run was cancelled does not count.
func (h *ownedUpstream) renewableUntil(r *run, now time.Time) time.Time {
	until := h.wantedUntil(r, now)
	if !r.stopLeaseLimit.IsZero() && r.stopLeaseLimit.Before(until) {
		return r.stopLeaseLimit
	}
	return until
}

// wantedUntil returns the time up to which the requester's signs of life allow the lease to be
// renewed. A run without a requester keeps the lease that a former owner gave it.
func (h *ownedUpstream) wantedUntil(r *run, now time.Time) time.Time {
	switch {
	case !r.stoppedAt.IsZero():
		// It ends by itself soon.
		return now.Add(LeaseTTL)
	case r.requester == "":
		return time.Time{}
	case !r.detachedAt.IsZero() && r.request.GetHolder() == "":
		// The requester may have restarted since, and know nothing of the run. If it has not,
		// LastSeen also counts the time in which this VM was suspended since.
		seen := h.runner.lastSeen(r.requester, now)
		if r.detachedSeen.Before(seen) {
			seen = r.detachedSeen
		}
		return seen.Add(LeaseTTL)
	}
	return h.runner.renewableUntil(r.requester, r.request.GetHolder(), now)
}

// extendLease extends the lease to the given time and returns that time on the upstream's
// clock, 0 if it has passed; the caller holds the lock.
func (h *ownedUpstream) extendLease(until, now time.Time) int64 {
	left := until.Sub(now)
	if left < time.Millisecond {
		return 0
	}
	h.leaseEnd = latest(h.leaseEnd, until.Add(ClockMargin))
	return h.minClock(now) + left.Milliseconds()
}

// recordRenewal records that this owner or another one may have renewed the lease up to
// the given time; the caller holds the lock.
func (h *ownedUpstream) recordRenewal(at time.Time) {
	h.leaseEnd = latest(h.leaseEnd, at.Add(LeaseTTL+ClockMargin))
}

// minClock returns the least time that the upstream's clock may show; the caller holds
// the lock. A later one would let an order that is delayed begin a lease beyond
// leaseEnd.
func (h *ownedUpstream) minClock(now time.Time) int64 {
	return h.clock + int64(float64(now.Sub(h.clockAt).Milliseconds())*(1-maxClockLag))
}

// setClock records the upstream's clock; the caller holds the lock.
func (h *ownedUpstream) setClock(clock int64) {
	if clock != 0 {
		now := time.Now()
		h.clock, h.clockAt, h.clockDue = clock, now, now.Add(clockInterval)
	}
}
