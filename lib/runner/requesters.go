package runner

import (
	"context"
	"time"

	"radishweir.org/lib/wire"
)

// attach makes the requester receive the end of a run that was started before.
func (h *ownedUpstream) attach(ctx context.Context, requester string, q *wire.RunRequest) {
	k := key{q.GetTask(), q.GetRun()}
	h.mu.Lock()
	defer h.unlock()
	delete(h.untold, k)
	now := time.Now()
	// Another owner may have given the upstream up just before the requester asked.
	leaseEnd := now.Add(LeaseTTL + ClockMargin)
	if r := h.runs[k]; r != nil {
		r.leaseEnd = leaseEnd
		h.free = h.free.Plus(r.amount)
		r.requester, r.request, r.amount = requester, q, AmountFromWire(q.GetAmount())
		r.detachedAt = time.Time{}
		h.free = h.free.Minus(r.amount)
		return
	}
	if e, ok := h.attachRetainedEnd(requester, q, !now.After(h.currentUntil())); ok {
		go h.runner.reportEnd(requester, q, e.cause)
		return
	}
	// Other ends may not hold any more: another owner may have renewed the lease since, or, after a
	// restart, started a run of the same number for another entry.
	if e, ok := h.recentEnds[k]; ok && e.listed && e.cause == wire.RunEnd_done {
		go h.runner.reportEnd(requester, q, e.cause)
		return
	}
	// Only a poll with the newest token can prove that the run is absent: what this
	// owner knows may be older than the start.
	h.runs[k] = &run{
		request: q, requester: requester, amount: AmountFromWire(q.GetAmount()), phase: uncertain,
		startedAt: now, uncertainAt: now, leaseEnd: leaseEnd,
	}
	h.free = h.free.Minus(AmountFromWire(q.GetAmount()))
	h.signal()
	go h.resolveRuns(ctx)
}

// hasRunsOf reports whether there are runs of a requester.
func (h *ownedUpstream) hasRunsOf(requester string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs {
		if r.requester == requester {
			return true
		}
	}
	return false
}

// hasOrphans reports whether there are runs without a requester, whose amounts are
// unknown; the caller holds the lock.
func (h *ownedUpstream) hasOrphans() bool {
	for _, r := range h.runs {
		if r.requester == "" {
			return true
		}
	}
	return false
}

// detach records that the connection to a requester was lost.
func (h *ownedUpstream) detach(requester string, now time.Time) {
	seen := h.runner.lastSeen(requester, now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs {
		if r.requester == requester && r.detachedAt.IsZero() {
			r.detachedAt, r.detachedSeen = now, seen
		}
	}
}

// forgetRequesters makes the runs of best-effort jobs wait for their requesters as after a
// takeover: a cancellation may have gone to the owner in between. The caller holds the lock.
func (h *ownedUpstream) forgetRequesters(now time.Time) {
	for _, r := range h.runs {
		if r.request.GetHolder() == "" && !r.stopping {
			r.requester, r.detachedAt = "", time.Time{}
		}
	}
	h.awaitRequesters(now)
}

// awaitRequesters lets the requesters of runs without one attach from now on; the caller holds
// the lock.
func (h *ownedUpstream) awaitRequesters(now time.Time) {
	for _, r := range h.runs {
		if r.requester == "" {
			r.attachDeadline = now.Add(orphanGrace)
		}
	}
}

// cancelDetached stops the runs of a requester that were detached by the given time
// and not attached to since, with kept also those of kept jobs, and returns their number.
func (h *ownedUpstream) cancelDetached(ctx context.Context, requester string, by time.Time, kept bool) int {
	h.mu.Lock()
	var list []key
	for k, r := range h.runs {
		if r.requester == requester && !r.stopping && !r.detachedAt.IsZero() && !r.detachedAt.After(by) && (kept || r.request.GetHolder() == "") {
			list = append(list, k)
		}
	}
	h.mu.Unlock()
	for _, k := range list {
		h.cancel(ctx, requester, k)
	}
	return len(list)
}
