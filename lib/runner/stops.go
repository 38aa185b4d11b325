package runner

import (
	"context"
	"time"
)

// cancel stops a run of a requester or of an unknown one. Two entries that got the same job
// number their runs alike.
func (h *ownedUpstream) cancel(ctx context.Context, requester string, k key) {
	h.mu.Lock()
	defer h.unlock()
	if r := h.runs[k]; r != nil && !r.stopping && (r.requester == requester || r.requester == "") {
		h.stopLocked(ctx, k, r)
	}
}

// sendStop repeats a stop order until the upstream confirms it, the run has ended, or
// the ownership has. Each order goes to the upstream's current address with the current token.
func (h *ownedUpstream) sendStop(ctx context.Context, k key) {
	refused, overdue := false, time.Now().Add(StopTimeout)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		u, o, due := h.stopOrder(k)
		if !due {
			return
		}
		sent := time.Now()
		err := h.callStop(ctx, u, o, attempt)
		why := refusalReason(err)
		if h.stopEnded(k, o, err, sent) {
			return
		}
		if why != 0 && !refused {
			refused = true
			h.runner.Log.Info().Str("task", k.task).Str("upstream", u.Name).Err(err).Msg("stop_refused")
		}
		if !overdue.IsZero() && !time.Now().Before(overdue) {
			overdue = time.Time{}
			h.runner.Log.Warn().Str("task", k.task).Str("upstream", u.Name).AnErr("cause", err).Msg("stop_overdue")
		}
		pause(ctx, retryInterval)
	}
}

// callStop sends one order to stop a run. Each attempt, counted from 0, gets twice the time of
// the one before, as stops alone may be slow.
func (h *ownedUpstream) callStop(ctx context.Context, u Upstream, o Order, attempt int) error {
	h.mu.Lock()
	timeout := min(h.requests.timeout()<<min(attempt, maxDoublings), callTimeout)
	h.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	_, err := h.runner.Client.Stop(call, u, o)
	if err == nil || refusalReason(err) != 0 {
		h.mu.Lock()
		h.requests.observe(time.Since(sent))
		h.mu.Unlock()
	}
	return err
}

// stopOrder returns the order to stop a run, and false if the run is not this owner's to
// stop (any more).
func (h *ownedUpstream) stopOrder(k key) (Upstream, Order, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.runs[k]
	if r == nil || h.released {
		return Upstream{}, Order{}, false
	}
	if h.token == h.refusedToken {
		// The stop is sent again once there is a newer token.
		r.stopFenced = true
		return Upstream{}, Order{}, false
	}
	return h.upstream, Order{Task: k.task, Run: k.run, Token: h.token}, true
}

// stopEnded processes the answer to a stop and reports whether no further one is
// needed.
func (h *ownedUpstream) stopEnded(k key, o Order, err error, sent time.Time) bool {
	h.mu.Lock()
	defer h.unlock()
	defer h.signal()
	r := h.runs[k]
	switch why := refusalReason(err); {
	case r == nil, h.released:
		return true
	case why == Fenced:
		h.markFenced(o.Token)
		return false
	case err != nil, sent.Before(h.incarnationAt):
		// A former incarnation may have sent the answer.
		return false
	}
	r.stoppedAt, r.stopLeaseLimit = time.Now(), time.Time{}
	return true
}

// stopsOverdue reports whether any run cannot be stopped. The lease, which all runs of
// the upstream share, must then end: the requester relies on the end of the run. The
// caller holds the lock.
func (h *ownedUpstream) stopsOverdue(now time.Time) bool {
	for _, r := range h.runs {
		if r.stopping && r.stoppedAt.IsZero() && !now.Before(r.stopDeadline) {
			return true
		}
	}
	return false
}
