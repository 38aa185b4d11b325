package runner

import (
	"context"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/wire"
)

// start starts a run if it fits.
func (h *ownedUpstream) start(ctx context.Context, requester string, q *wire.RunRequest) {
	k := key{q.GetTask(), q.GetRun()}
	amount := AmountFromWire(q.GetAmount())
	h.mu.Lock()
	now := time.Now()
	until := h.leaseLimit(now)
	if own := h.runner.renewableUntil(requester, q.GetHolder(), now); own.Before(until) {
		until = own
	}
	cause := h.startRefusal(k, q.GetHolder(), amount)
	if cause == 0 && until.Sub(now) < minStartLease {
		h.runner.concluded.Info().Str("task", k.task).Str("upstream", h.upstream.Name).Str("requester", requester).
			Int64("lease_ms", until.Sub(now).Milliseconds()).Msg("start_lease_too_short")
		cause = wire.RunEnd_refused
	}
	if cause != 0 {
		h.mu.Unlock()
		h.runner.reportEnd(requester, q, cause)
		return
	}
	withdrawn := make(chan struct{})
	h.runs[k] = &run{request: q, requester: requester, amount: amount, startedAt: now, slowness: h.slowness, withdrawn: withdrawn}
	h.trackStart(k, q, now)
	h.free = h.free.Minus(amount)
	o := Order{Task: k.task, Run: k.run, Spec: q.GetSpec(), Token: h.token, Expires: h.extendLease(until, now), Withdrawn: withdrawn}
	u, timeout := h.upstream, h.startTimeout()
	h.refreshPublication(now)
	h.mu.Unlock()
	// The coordinator of this entry must know of the run before it places the next one.
	h.runner.Changed(u.Name)
	h.signal()
	go h.sendStart(ctx, u, k, o, timeout)
}

// startRefusal returns the cause for which a run cannot start, 0 if it can; the
// caller holds the lock.
func (h *ownedUpstream) startRefusal(k key, holder string, amount packer.Amount) wire.RunEnd_Cause {
	switch {
	case h.runner.isRetired(holder):
		// stopHolder may have found no run here already.
		return wire.RunEnd_refused
	case holder != "" && h.runner.isCancelled(k.task):
		// The holder may not know that.
		return wire.RunEnd_refused
	case holder != "" && h.runner.isOverdue(time.Now()):
		// Others do not wait for its end any more.
		return wire.RunEnd_refused
	case h.runs[k] != nil:
		return wire.RunEnd_superseded
	case !h.usable(time.Now()):
		return wire.RunEnd_refused
	case !h.available().Holds(amount):
		return wire.RunEnd_no_room
	}
	return 0
}

// sendStart sends the start of a run and processes the answer, which is missing after the
// timeout.
func (h *ownedUpstream) sendStart(ctx context.Context, u Upstream, k key, o Order, timeout time.Duration) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	late := time.AfterFunc(timeout, func() { h.markUncertain(ctx, k) })
	sent := time.Now()
	rep, err := h.runner.Client.Start(call, u, o)
	late.Stop()
	why := refusalReason(err)
	if err != nil {
		h.runner.Log.Debug().Str("task", k.task).Str("upstream", u.Name).Err(err).Msg("start_failed")
	} else {
		h.runner.Log.Debug().Str("task", k.task).Str("upstream", u.Name).Int64("incarnation", u.Incarnation).
			Int64("answered_by", rep.Incarnation).Msg("start_answered")
	}
	h.mu.Lock()
	r := h.runs[k]
	if err != nil && why == 0 {
		h.unansweredStarts[k] = sent
	} else {
		delete(h.unansweredStarts, k)
		if why != Withdrawn {
			h.observeStart(time.Since(sent))
		}
	}
	if err == nil {
		if !sent.Before(h.incarnationAt) {
			h.setClock(rep.Clock)
		}
		h.recordAnswer()
	}
	switch {
	case r == nil || h.released:
	case err == nil:
		if r.phase != running {
			r.phase, r.confirmedAt = running, time.Now()
		}
		if r.stopping {
			h.runner.Log.Info().Str("task", k.task).Uint64("run", k.run).Str("upstream", u.Name).Msg("cancelled_run_started")
		}
		h.endRoomCheck()
		h.scheduleOverduePoll(ctx, k, r, time.Now())
	case why == 0:
		if r.phase == starting {
			r.phase, r.uncertainAt = uncertain, time.Now()
		}
		h.recordNoAnswer(time.Now())
		go h.resolveRuns(ctx)
	default:
		if why != Withdrawn {
			h.recordRefusal(why, time.Now())
		}
		if why == Fenced {
			h.markFenced(o.Token)
		}
		if r.phase == running {
			// The upstream has listed it, whatever answered the start.
			h.runner.Log.Warn().Str("task", k.task).Uint64("run", k.run).Str("upstream", u.Name).Err(err).Msg("listed_run_refused")
			break
		}
		if why == Superseded && r.stopping {
			// The stop may have come first. Polls show that the run is absent after it.
			r.phase, r.uncertainAt = uncertain, time.Now()
			go h.resolveRuns(ctx)
			break
		}
		if why == Superseded {
			h.logConcluded(k, wire.RunEnd_superseded, "the upstream has seen a higher run")
		}
		h.endRun(k, refusalCause(why), false)
		if why == NoRoom {
			h.withholdRoom(r.amount)
		}
	}
	h.unlock()
	h.signal()
}

// markUncertain marks a start that got no answer as uncertain and polls for its
// outcome.
func (h *ownedUpstream) markUncertain(ctx context.Context, k key) {
	h.mu.Lock()
	if r := h.runs[k]; r != nil && r.phase == starting {
		r.phase, r.uncertainAt = uncertain, time.Now()
		h.unansweredStarts[k] = r.startedAt
		h.recordNoAnswer(time.Now())
		h.endRoomCheck()
	}
	h.unlock()
	h.resolveRuns(ctx)
}

// refusalCause returns the cause of the end of a run whose start was refused.
func refusalCause(why Reason) wire.RunEnd_Cause {
	switch why {
	case NoRoom:
		return wire.RunEnd_no_room
	case Superseded:
		return wire.RunEnd_superseded
	}
	return wire.RunEnd_refused
}
