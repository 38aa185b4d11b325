package runner

import (
	"context"
	"maps"
	"time"
)

const (
	// watchWait is how long a poll that watches for a restart waits, the longest that
	// upstreams grant.
	watchWait = 2 * time.Second
	// minWatchConnections is the least bound on the connections to an upstream with which one
	// may be taken by a poll that watches for a restart.
	minWatchConnections = 4
	// maxWatchDoublings is how often the pause after such a poll without an answer is doubled; more
	// exceed watchWait.
	maxWatchDoublings = 6
)

// mayGetLateStart reports whether the upstream may still carry out a start that got no answer, be it
// one of a former owner, which this one does not know. The caller holds the lock.
func (h *ownedUpstream) mayGetLateStart(now time.Time) bool {
	if now.Sub(h.acquiredAt) < lateOrderLimit {
		return true
	}
	for _, sent := range h.unansweredStarts {
		if now.Sub(sent) < lateOrderLimit {
			return true
		}
	}
	return false
}

// hasUnansweredStarts reports whether a start that got no answer may still arrive.
func (h *ownedUpstream) hasUnansweredStarts() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, sent := range h.unansweredStarts {
		if time.Since(sent) < lateOrderLimit {
			return true
		}
	}
	return false
}

// inheritStarts makes the starts without an answer known that this entry sent before it gave the
// same upstream up. If its token is still the same, the upstream does not refuse them by that once
// it has restarted. It is called before the first poll.
func (h *ownedUpstream) inheritStarts(former *ownedUpstream) {
	former.mu.Lock()
	defer former.mu.Unlock()
	if former.upstream.Name != h.upstream.Name {
		return
	}
	maps.Copy(h.unansweredStarts, former.unansweredStarts)
	for k, r := range former.runs {
		if r.phase == starting {
			// Its answer, if any, only reaches the former state.
			h.unansweredStarts[k] = r.startedAt
		}
	}
	if former.incarnation != 0 {
		h.incarnation = former.incarnation
	}
}

// isWatch reports whether a poll is one of watchRestart; others wait for less.
func isWatch(p Poll) bool { return p.Wait >= watchWait }

// watchRestart keeps a waiting poll open at an idle upstream while a late start may arrive there.
// Its connection breaks as the upstream restarts, which forgets that the run was stopped, and the
// token. The caller holds the lock.
func (h *ownedUpstream) watchRestart(ctx context.Context) {
	now, u := time.Now(), h.upstream
	switch {
	case h.watching || h.checkingRestart || !h.mayGetLateStart(now):
		return
	case !h.synced || h.token == h.refusedToken || h.unresponsive(now):
		return
	case h.unacknowledged || len(h.retainedEnds) > 0:
		// The upstream would answer at once.
		return
	case u.Connections > 0 && u.Connections < minWatchConnections:
		return
	}
	h.watching = true
	p, last := Poll{Token: h.token, Wait: watchWait}, h.lastEnd
	go func() {
		err := h.poll(ctx, u, p)
		h.mu.Lock()
		news := h.lastEnd != last
		broken := h.brokenWatches
		if err != nil && refusalReason(err) == 0 {
			h.brokenWatches++
		} else {
			h.brokenWatches = 0
		}
		h.mu.Unlock()
		switch {
		case err != nil && refusalReason(err) == 0:
			pause(ctx, retryInterval<<min(broken, maxWatchDoublings))
		case err != nil || !news:
			pause(ctx, time.Until(now.Add(watchWait)))
		}
		h.mu.Lock()
		h.watching = false
		h.mu.Unlock()
		h.signal()
	}()
}

// owns reports whether this entry still owns the upstream. The answer to a poll that watches for
// a restart may come when the leases of the runs have ended under nobody's care.
func (h *ownedUpstream) owns() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.released && h.token != h.refusedToken
}

// suspectRestart finds out soon after a waiting poll got no answer whether the upstream has
// restarted, if a late start may arrive there.
func (h *ownedUpstream) suspectRestart(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checkingRestart || !h.mayGetLateStart(time.Now()) {
		return
	}
	h.checkingRestart = true
	go func() {
		h.checkRestart(ctx)
		h.mu.Lock()
		h.checkingRestart = false
		h.mu.Unlock()
		h.signal()
	}()
}

// checkRestart polls at growing intervals until the upstream answers. The answer to a poll may be
// lost, so the next one does not wait for it. An upstream that stays silent is left to the polling
// loop.
func (h *ownedUpstream) checkRestart(ctx context.Context) {
	answered := make(chan struct{}, 1)
	for delay := retryInterval; delay < ackDelay; delay *= 2 {
		h.mu.Lock()
		p, u, released := Poll{Token: h.token}, h.upstream, h.released
		h.mu.Unlock()
		if released {
			return
		}
		go func() {
			if err := h.poll(ctx, u, p); err == nil || refusalReason(err) != 0 {
				select {
				case answered <- struct{}{}:
				default:
				}
			}
		}()
		select {
		case <-ctx.Done():
			return
		case <-answered:
			return
		case <-time.After(delay):
		}
	}
}
