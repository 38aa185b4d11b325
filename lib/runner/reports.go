package runner

import (
	"context"
	"time"

	"radishweir.org/lib/wire"
)

// handlePollError processes the error of a poll that was sent to an upstream with the
// given token at the given time.
func (h *ownedUpstream) handlePollError(err error, u Upstream, token int64, sent time.Time) {
	now := time.Now()
	h.mu.Lock()
	defer h.unlock()
	switch why := refusalReason(err); why {
	case Fenced:
		h.markFenced(token)
	case Replaced:
		if u.Address != h.upstream.Address || sent.Before(h.incarnationAt) {
			// The answer is about a former incarnation.
			return
		}
		h.endAllAsLost("replaced by another upstream")
		h.resetReports()
	case 0:
		if len(h.runs) > 0 || !h.isSilent() {
			h.recordNoAnswer(now)
			// The polling loop finds out soon whether the upstream answers again.
			h.signal()
		}
		h.reviewExpired(now)
	default:
		h.recordRefusal(why, now)
	}
}

// markFenced stops using an upstream that refused a token until there is a newer
// token; the caller holds the lock.
func (h *ownedUpstream) markFenced(token int64) {
	if token < h.token {
		return
	}
	if h.refusedToken != h.token {
		h.runner.Log.Warn().Str("upstream", h.upstream.Name).Int64("token", h.token).Msg("upstream_has_newer_owner")
	}
	h.refusedToken = h.token
	h.synced = false
	for _, r := range h.runs {
		// The newer owner may acknowledge the end of a run before it is listed here.
		r.mayHaveRun = true
	}
}

// endAllAsLost ends all runs as lost; the caller holds the lock.
func (h *ownedUpstream) endAllAsLost(reason string) {
	h.endAsLost(reason, func(*run) bool { return true })
}

// endExpired ends the runs on an upstream that is silent since its lease has ended as lost; the
// caller holds the lock. A requester that asks for its run again and again does not delay the
// ends of others. The run of a kept job may have ended as done under another owner.
func (h *ownedUpstream) endExpired(now time.Time) {
	h.endAsLost("silent until its lease ended", func(r *run) bool {
		return now.After(r.leaseEnd) && (!h.mayBeKept(r) || h.runner.confirmedSince(latest(h.leaseEnd, r.leaseEnd)))
	})
}

// endAsLost ends the matching runs as lost; the caller holds the lock.
func (h *ownedUpstream) endAsLost(reason string, match func(*run) bool) {
	n := 0
	for k, r := range h.runs {
		if !match(r) {
			continue
		}
		n++
		h.logConcluded(k, wire.RunEnd_lost, reason)
		h.endRun(k, wire.RunEnd_lost, false)
	}
	if n > 0 {
		h.runner.Log.Warn().Str("upstream", h.upstream.Name).Str("reason", reason).Int("runs", n).
			Int64("incarnation", h.incarnation).Msg("runs_lost")
	}
}

// logConcluded logs that a run ends by what this owner concludes, as the upstream did not
// list its end. The caller holds the lock.
func (h *ownedUpstream) logConcluded(k key, cause wire.RunEnd_Cause, reason string) {
	r, now := h.runs[k], time.Now()
	h.runner.concluded.Info().Str("task", k.task).Uint64("run", k.run).Str("upstream", h.upstream.Name).Stringer("cause", cause).Str("reason", reason).
		Str("requester", r.requester).Stringer("phase", r.phase).Bool("stop_sent", r.stopping).Bool("stop_confirmed", !r.stoppedAt.IsZero()).
		Int64("token", h.token).Bool("synced", h.synced).Int64("owned_ms", now.Sub(h.acquiredAt).Milliseconds()).
		Int64("answered_ms", sinceOrNever(h.answeredAt, now)).Int64("lease_ended_ms", sinceOrNever(h.leaseEnd, now)).Msg("run_end_concluded")
}

// sinceOrNever returns the milliseconds from a time until now, -1 if it is zero.
func sinceOrNever(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

// resetReports drops what earlier reports of the upstream said; the caller holds the
// lock.
func (h *ownedUpstream) resetReports() {
	h.lastEnd, h.clock, h.synced = 0, 0, false
	clear(h.retainedEnds)
	clear(h.untold)
	// A release may belong to a run of the former process.
	clear(h.earlyReleases)
	h.restoreRoom()
	h.health = newHealth(h.log)
}

// acceptReport reports whether a report comes from the current incarnation. If a new one
// sent it, the state of the former one is dropped first. The caller holds the lock.
func (h *ownedUpstream) acceptReport(ctx context.Context, incarnation int64, sent, now time.Time) bool {
	if incarnation != 0 && incarnation != h.incarnation {
		if sent.Before(h.incarnationAt) {
			return false
		}
		if h.incarnation != 0 {
			h.restarted(ctx, incarnation)
		}
		h.incarnation, h.incarnationAt = incarnation, now
	}
	if !sent.Before(h.unverifiedSince) {
		h.unverifiedSince = time.Time{}
	}
	return true
}

// restarted drops the state of an incarnation that has ended; the caller holds the lock.
// Its runs stay until a report of the new one is reconciled, as an order may have reached
// either.
func (h *ownedUpstream) restarted(ctx context.Context, incarnation int64) {
	h.runner.Log.Info().Str("upstream", h.upstream.Name).Int64("incarnation", h.incarnation).
		Int64("answered_by", incarnation).Int("runs", len(h.runs)).Msg("upstream_restarted")
	h.resetReports()
	for k, r := range h.runs {
		r.mayHaveRun = true
		if !r.stoppedAt.IsZero() {
			r.stoppedAt = time.Time{}
			h.stopLocked(ctx, k, r)
		}
	}
	for k, e := range h.recentEnds {
		e.former = e.listed
		h.recentEnds[k] = e
	}
	for k, sent := range h.unansweredStarts {
		if h.runs[k] == nil && time.Since(sent) < lateOrderLimit {
			go h.preventStart(ctx, k)
		}
	}
}

// preventStart has a restarted upstream refuse a run whose start may still arrive there.
// The former process has confirmed a stop, or has ended, but the new one knows nothing
// of it.
func (h *ownedUpstream) preventStart(ctx context.Context, k key) {
	until := time.Now().Add(lateOrderLimit)
	for attempt := 0; ctx.Err() == nil && time.Now().Before(until); attempt++ {
		h.mu.Lock()
		u, o, learned := h.upstream, Order{Task: k.task, Run: k.run, Token: h.token}, h.incarnationAt
		over := h.released || h.token == h.refusedToken || h.runs[k] != nil
		h.mu.Unlock()
		if over {
			return
		}
		sent := time.Now()
		err := h.callStop(ctx, u, o, attempt)
		if (err == nil || refusalReason(err) == Fenced) && !sent.Before(learned) {
			return
		}
		pause(ctx, retryInterval)
	}
}

// applyReport processes the answer to a poll that was sent at the given time.
func (h *ownedUpstream) applyReport(ctx context.Context, rep Report, p Poll, sent time.Time) {
	now := time.Now()
	h.mu.Lock()
	defer h.unlock()
	if !h.acceptReport(ctx, rep.Incarnation, sent, now) {
		return
	}
	h.setClock(rep.Clock)
	// This entry may have been paused since the answer came.
	h.aliveAt = now
	if latest := sent.Add(p.Wait + pollSlack); latest.Before(now) {
		h.aliveAt = latest
	}
	h.recordAnswer()
	for _, e := range rep.Ended {
		h.applyEnd(e, now)
	}
	h.reviewRetainedEnds(now)
	h.unacknowledged = false
	for _, e := range rep.Ended {
		h.unacknowledged = h.unacknowledged || e.Number <= h.acknowledged()
	}
	// The answer to a poll with a former token may be older than the orders of another owner.
	acquired := !h.synced && p.Token == h.token && h.token != h.refusedToken
	if acquired {
		h.awaitRequesters(now)
	}
	h.reconcileRuns(ctx, rep, sent, now)
	for k, e := range h.recentEnds {
		if now.After(e.expires) {
			delete(h.recentEnds, k)
		}
	}
	for k, until := range h.untold {
		if now.After(until) {
			delete(h.untold, k)
		}
	}
	for k, at := range h.unansweredStarts {
		if now.Sub(at) > lateOrderLimit {
			delete(h.unansweredStarts, k)
		}
	}
	if acquired {
		h.synced = true
		// Until this poll, another owner may have renewed the lease.
		h.recordRenewal(now)
		for k, r := range h.runs {
			if r.stopFenced {
				h.stopLocked(ctx, k, r)
			}
		}
		go h.resolveRuns(ctx)
	}
}

// applyEnd processes a listed end, once; the caller holds the lock.
func (h *ownedUpstream) applyEnd(e EndedRun, now time.Time) {
	if e.Number <= h.lastEnd {
		return
	}
	h.lastEnd = e.Number
	k := key{e.Task, e.Run}
	r := h.runs[k]
	h.retainEnd(e, r, now)
	if r == nil {
		h.recentEnds[k] = recentEnd{cause: e.Cause, endedAt: now, expires: now.Add(endRetention), listed: true}
		return
	}
	if r.unanswered && e.Cause == wire.RunEnd_stopped {
		h.runner.unanswered.Info().Str("task", k.task).Uint64("run", k.run).Str("upstream", h.upstream.Name).
			Int64("after_ms", now.Sub(r.startedAt).Milliseconds()).Msg("unanswered_run_stopped")
	}
	h.recordEnd(r, e.Cause, now, h.trackEnd(k, r, e.Cause == wire.RunEnd_done, now))
	h.withholdEnd(k, r, e.Cause)
	h.endRun(k, e.Cause, true)
}

// reconcileRuns reconciles the known runs with the listed ones; the caller holds
// the lock.
func (h *ownedUpstream) reconcileRuns(ctx context.Context, rep Report, sent, now time.Time) {
	// The end of a run that is listed nowhere may not have fitted into a full list.
	allEnds := len(rep.Ended) < MaxListedEnds
	listed := make(map[key]ActiveRun, len(rep.Running))
	for _, l := range rep.Running {
		k := key{l.Task, l.Run}
		listed[k] = l
		end, ended := h.recentEnds[k]
		if h.runs[k] != nil || (end.listed && !end.former) || (ended && !sent.After(end.endedAt)) {
			continue
		}
		r := &run{
			request: &wire.RunRequest{Upstream: h.upstream.Name, Task: k.task, Run: k.run},
			phase:   running, startedAt: now, confirmedAt: now, attachDeadline: now.Add(orphanGrace), inherited: !h.synced && !ended,
		}
		h.runs[k] = r
		if ended && !end.listed {
			h.runner.Log.Warn().Str("task", k.task).Uint64("run", k.run).Str("upstream", h.upstream.Name).
				Stringer("cause", end.cause).Msg("ended_run_at_work")
			h.stopLocked(ctx, k, r)
		}
	}
	for k, r := range h.runs {
		l, found := listed[k]
		end := h.recentEnds[k]
		if !found && r.phase == uncertain && r.request.GetAttach() {
			if e, ok := h.attachRetainedEnd(r.requester, r.request, true); ok {
				h.endRun(k, e.cause, true)
				continue
			}
		}
		switch {
		case found:
			h.updateRun(ctx, k, r, l, now)
		case r.phase == uncertain && r.request.GetAttach() && !sent.Before(r.uncertainAt) && end.listed && !end.former:
			h.endRun(k, end.cause, true)
		case !allEnds:
		case r.phase == running && r.confirmedAt.Before(sent):
			h.logConcluded(k, wire.RunEnd_lost, "it was confirmed and is not listed")
			h.endRun(k, wire.RunEnd_lost, false)
		case r.phase == uncertain && !r.stopping && !sent.Before(r.uncertainAt):
			r.unanswered = !r.request.GetAttach()
			h.stopLocked(ctx, k, r)
		case r.phase == uncertain && !r.stoppedAt.IsZero() && r.stoppedAt.Before(sent):
			// A run that is absent after a confirmed stop will never start.
			// Whether it ran before is known only of runs that this owner
			// started.
			cause := wire.RunEnd_refused
			if r.request.GetAttach() || r.mayHaveRun {
				cause = wire.RunEnd_lost
			}
			h.logConcluded(k, cause, "it is absent after its stop")
			h.endRun(k, cause, false)
		}
	}
}

// updateRun updates a run that is listed, and stops it if it is orphaned for too
// long, stalled, or of a cancelled job whose holder asked for it again; the caller holds the
// lock.
func (h *ownedUpstream) updateRun(ctx context.Context, k key, r *run, l ActiveRun, now time.Time) {
	if r.phase != running {
		r.phase, r.confirmedAt = running, now
	}
	abandoned := r.requester == "" && now.After(r.attachDeadline)
	cancelled := r.request.GetHolder() != "" && h.runner.isCancelled(k.task)
	if !r.stopping && (abandoned || cancelled || h.ejectIfStalled(r, l.Percent, now)) {
		h.stopLocked(ctx, k, r)
	}
}

// stopLocked sends a stop order for a run; the caller holds the lock.
func (h *ownedUpstream) stopLocked(ctx context.Context, k key, r *run) {
	now := time.Now()
	if r.stopLeaseLimit.IsZero() {
		r.stopLeaseLimit = h.wantedUntil(r, now)
	}
	r.stopping, r.stopFenced, r.stopDeadline = true, false, now.Add(StopTimeout)
	r.withdraw()
	go h.sendStop(ctx, k)
}
