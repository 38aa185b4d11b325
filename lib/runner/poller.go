package runner

import (
	"context"
	"time"
)

// pollLoop polls the upstream while it has runs, until the release.
func (h *ownedUpstream) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		p, u, ok := h.nextPoll()
		if !ok {
			return
		}
		if p == nil {
			if !h.acknowledgesNow() && !h.waitIdle(ctx) {
				continue
			}
			p = h.idlePoll()
		}
		answer := make(chan error, 1)
		go func() { answer <- h.poll(ctx, u, *p) }()
		select {
		case err := <-answer:
			switch {
			case err != nil:
				pause(ctx, max(retryInterval, h.silentPause()))
			case h.hasRetainedEnds():
				// The upstream answers at once while it lists ends, so polls
				// need a pause.
				pause(ctx, retentionPollInterval)
			}
		case <-time.After(p.Wait + pollSlack):
			// The answer may be lost, so the next poll does not wait for it. An
			// answer that comes late is still processed.
			pause(ctx, h.silentPause())
		}
	}
}

// waitIdle waits for a signal while the upstream has no runs, and reports whether it
// must be polled first, to acknowledge ends, to read its clock, or to find out whether it
// answers again.
func (h *ownedUpstream) waitIdle(ctx context.Context) bool {
	h.mu.Lock()
	h.watchRestart(ctx)
	var after <-chan time.Time
	if h.synced && h.token != h.refusedToken {
		wait := time.Until(h.clockDue)
		if h.unacknowledged || h.isSilent() {
			wait = min(wait, ackDelay)
		}
		if h.unacknowledged && !h.checkingRestart && time.Since(h.aliveAt) < ackDelay && len(h.unansweredStarts) > 0 {
			// The upstream answers at once while it lists ends, so a poll cannot wait there.
			wait = min(wait, time.Until(h.idlePolledAt.Add(minRestartTime)))
		}
		t := time.NewTimer(wait)
		defer t.Stop()
		after = t.C
	}
	h.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-h.wake:
	case <-after:
		return true
	}
	return false
}

// idlePoll returns a poll that only acknowledges ends and reads the clock.
func (h *ownedUpstream) idlePoll() *Poll {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idlePolledAt = time.Now()
	h.clockDue = h.idlePolledAt.Add(clockInterval)
	return &Poll{Token: h.token}
}

// poll sends one poll, which acknowledges ends if that is safe, and processes its answer. One
// that watches for a restart may wait at a process whose ends are numbered anew.
func (h *ownedUpstream) poll(ctx context.Context, u Upstream, p Poll) error {
	sent := time.Now()
	h.mu.Lock()
	if by := h.currentUntil(); !isWatch(p) && !sent.After(by) {
		p.Acknowledged, p.AcknowledgeBy = h.acknowledged(), by
	}
	if p.Acknowledged > 0 {
		h.acknowledgedAt = sent
	}
	h.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, p.Wait+callTimeout)
	defer cancel()
	rep, err := h.runner.Client.Poll(call, u, p)
	if isWatch(p) && !h.owns() {
		return nil
	}
	if err != nil {
		h.handlePollError(err, u, p.Token, sent)
		if p.Wait > 0 && refusalReason(err) == 0 {
			h.suspectRestart(ctx)
		}
		return err
	}
	if p.Wait == 0 {
		h.mu.Lock()
		h.requests.observe(time.Since(sent))
		h.mu.Unlock()
	}
	h.applyReport(ctx, rep, p, sent)
	return nil
}

// currentUntil returns the time up to which a poll certainly reaches the process that listed
// the ends, or at least one that has carried out no run. A process that restarted numbers its
// ends anew, and would drop one that nobody has read: the end of a run of this owner, of another
// one before the first report to this owner, or of a former one that knows of no other. It
// returns zero if a poll may already reach another process. The caller holds the lock.
func (h *ownedUpstream) currentUntil() time.Time {
	if !h.synced || h.checkingRestart {
		return time.Time{}
	}
	limit := minRestartTime
	if len(h.runs) == 0 {
		// Ends on an idle upstream are acknowledged right after the answer to another poll,
		// however long that takes.
		limit = max(limit, h.requests.timeout())
	}
	return h.aliveAt.Add(limit)
}

// acknowledgesNow reports whether an idle upstream lists ends that the answer to the last poll
// allows to acknowledge. Such a poll came ackDelay after the end and did not acknowledge it
// itself, as the answer before it was too old.
func (h *ownedUpstream) acknowledgesNow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unacknowledged && h.acknowledgedAt.Before(h.idlePolledAt) && !time.Now().After(h.currentUntil())
}

// resolveRuns polls, without waiting for ends, until no run is uncertain or
// orphaned. It runs beside the polling loop, whose poll may be waiting for an
// end.
func (h *ownedUpstream) resolveRuns(ctx context.Context) {
	h.mu.Lock()
	busy := h.resolving
	h.resolving = true
	h.mu.Unlock()
	if busy {
		return
	}
	for ctx.Err() == nil {
		h.mu.Lock()
		if !h.hasUnresolved() || !h.synced || h.released {
			h.resolving = false
			h.mu.Unlock()
			return
		}
		p, u := Poll{Token: h.token}, h.upstream
		h.mu.Unlock()
		answer := make(chan error, 1)
		go func() { answer <- h.poll(ctx, u, p) }()
		select {
		case <-answer:
		case <-time.After(pollSlack):
		}
		pause(ctx, max(resolveInterval, h.silentPause()))
	}
}

// silentPause returns the pause before the next poll of an upstream that is unresponsive,
// else 0. It grows with the silence, so that polls that are given up do not keep an
// upstream busy that is only slow.
func (h *ownedUpstream) silentPause() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.unresponsive(now) {
		return 0
	}
	return min(h.silence(now)/10, callTimeout)
}

// scheduleOverduePoll schedules an extra poll for when a run is overdue, as the
// answer to a waiting poll may be lost, and then more at growing intervals; the
// caller holds the lock.
func (h *ownedUpstream) scheduleOverduePoll(ctx context.Context, k key, r *run, now time.Time) {
	due := time.Duration(overdueFactor * r.request.GetExpectedMs() * h.slowness * float64(time.Millisecond))
	if took := now.Sub(r.startedAt); due < took {
		due = time.Duration(overdueFactor * float64(took))
	}
	time.AfterFunc(r.startedAt.Add(due).Sub(now)+pollSlack, func() {
		h.mu.Lock()
		overdue := h.runs[k] == r && !h.released && ctx.Err() == nil
		p, u := Poll{Token: h.token}, h.upstream
		h.mu.Unlock()
		if !overdue {
			return
		}
		// poll records a failure itself, and pollLoop continues.
		_ = h.poll(ctx, u, p)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.runs[k] == r {
			h.scheduleOverduePoll(ctx, k, r, time.Now())
		}
	})
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// nextPoll returns the next poll, nil if none is due, and false after the release.
func (h *ownedUpstream) nextPoll() (*Poll, Upstream, bool) {
	newest := h.runner.latestToken()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return nil, h.upstream, false
	}
	if h.token == h.refusedToken {
		if newest <= h.token {
			return nil, h.upstream, true
		}
		now := time.Now()
		h.token, h.acquiredAt = newest, now
		h.forgetRequesters(now)
	}
	p := &Poll{Token: h.token}
	if !h.synced || !h.unverifiedSince.IsZero() {
		return p, h.upstream, true
	}
	if len(h.runs) == 0 {
		return nil, h.upstream, true
	}
	// The lease of an unreachable upstream is not renewed, so that its runs end at
	// a known time.
	now := time.Now()
	if !h.unresponsive(now) {
		limit := h.leaseLimit(now)
		if !h.stopsOverdue(now) && !h.relinquishes(now) {
			p.Expires = h.extendLease(limit, now)
		}
		p.Wait = h.pollWait(limit, now)
	}
	return p, h.upstream, true
}

// pollWait returns how long a poll may wait for an end: somewhat longer than
// until the next expected end, so that a lost answer does not hide that end for
// long, and so short that two polls fit into a lease up to the given limit. The caller holds
// the lock.
func (h *ownedUpstream) pollWait(limit, now time.Time) time.Duration {
	next := min(maxPollWait, max(limit.Sub(now)/2-pollMargin, minPollWait))
	for _, r := range h.runs {
		expected := time.Duration(r.request.GetExpectedMs() * h.slowness * float64(time.Millisecond))
		left := expected - now.Sub(r.startedAt)
		next = min(next, max(left*3/2, minPollWait))
	}
	return next
}

// hasUnresolved reports whether any run is uncertain or orphaned; the caller
// holds the lock.
func (h *ownedUpstream) hasUnresolved() bool {
	for _, r := range h.runs {
		if r.phase == uncertain || r.requester == "" {
			return true
		}
	}
	return false
}
