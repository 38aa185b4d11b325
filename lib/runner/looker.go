package runner

import (
	"context"
	"time"
)

// loop looks at the upstream while something runs there.
func (h *held) loop(ctx context.Context) {
	for ctx.Err() == nil {
		l, u, ok := h.next()
		if !ok {
			return
		}
		if l == nil {
			if !h.idle(ctx) {
				continue
			}
			// Nothing was started for a while; the ends are taken note of by themselves.
			l = h.confirmation()
		}
		answer := make(chan error, 1)
		go func() { answer <- h.look(ctx, u, *l) }()
		select {
		case err := <-answer:
			switch {
			case err != nil:
				pause(ctx, retryInterval)
			case h.keeps():
				// The upstream answers at once while it lists ends.
				pause(ctx, keptInterval)
			}
		case <-time.After(l.Wait + lookSlack):
			// The next look does not wait for an answer that may be lost; one that
			// comes late is taken all the same.
		}
	}
}

// idle waits while nothing runs on the upstream, and reports whether ends are to
// be taken note of by a look of their own.
func (h *held) idle(ctx context.Context) bool {
	h.mu.Lock()
	due := h.unconfirmed && h.open && h.token != h.refusedToken
	h.mu.Unlock()
	var after <-chan time.Time
	if due {
		t := time.NewTimer(confirmDelay)
		defer t.Stop()
		after = t.C
	}
	select {
	case <-ctx.Done():
	case <-h.wake:
	case <-after:
		return true
	}
	return false
}

// confirmation is a look that only takes note of ends.
func (h *held) confirmation() *Look {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Look{Token: h.token, Observed: h.observed()}
}

// look sends one look and takes its answer.
func (h *held) look(ctx context.Context, u Upstream, l Look) error {
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, l.Wait+callTimeout)
	defer cancel()
	rep, err := h.runner.Client.Look(call, u, l)
	if err != nil {
		h.failed(err)
		return err
	}
	h.take(ctx, rep, sent)
	return nil
}

// settle looks without waiting until no run's fate is open. The loop may be
// waiting for an end meanwhile.
func (h *held) settle(ctx context.Context) {
	h.mu.Lock()
	busy := h.settling
	h.settling = true
	h.mu.Unlock()
	if busy {
		return
	}
	for ctx.Err() == nil {
		h.mu.Lock()
		if !h.unsettled() || !h.open || h.released {
			h.settling = false
			h.mu.Unlock()
			return
		}
		l, u := Look{Token: h.token, Observed: h.observed()}, h.upstream
		h.mu.Unlock()
		answer := make(chan error, 1)
		go func() { answer <- h.look(ctx, u, l) }()
		select {
		case <-answer:
		case <-time.After(lookSlack):
		}
		pause(ctx, settleInterval)
	}
}

// recheck looks once more when a run is overdue, as the answer of a waiting look
// may be lost, and again at growing intervals; the caller holds the lock.
func (h *held) recheck(ctx context.Context, k key, r *run, now time.Time) {
	due := time.Duration(overdueFactor * r.request.GetExpectedMs() * h.slowness * float64(time.Millisecond))
	if took := now.Sub(r.since); due < took {
		due = time.Duration(overdueFactor * float64(took))
	}
	time.AfterFunc(r.since.Add(due).Sub(now)+lookSlack, func() {
		h.mu.Lock()
		overdue := h.runs[k] == r && !h.released && ctx.Err() == nil
		l, u := Look{Token: h.token, Observed: h.observed()}, h.upstream
		h.mu.Unlock()
		if !overdue {
			return
		}
		// A failure is noted by look; the loop goes on looking.
		_ = h.look(ctx, u, l)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.runs[k] == r {
			h.recheck(ctx, k, r, time.Now())
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

// next returns the next look, nil if none is due; false after the release.
func (h *held) next() (*Look, Upstream, bool) {
	newest := h.runner.newest()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return nil, h.upstream, false
	}
	if h.token == h.refusedToken {
		if newest <= h.token {
			return nil, h.upstream, true
		}
		h.token = newest
	}
	l := &Look{Token: h.token, Observed: h.observed()}
	if !h.open {
		return l, h.upstream, true
	}
	if len(h.runs) == 0 {
		return nil, h.upstream, true
	}
	// The lease of an upstream that cannot be reached is left to run out, so that
	// its runs end at a known time.
	now := time.Now()
	if !h.silentTooLong(now) {
		l.Expires = h.lease(now)
		l.Wait = h.wait(now)
	}
	return l, h.upstream, true
}

// wait is how long a look may wait: until somewhat after the next expected end,
// so that a look that gets no answer doesn't hide it for long; the caller holds
// the lock.
func (h *held) wait(now time.Time) time.Duration {
	next := longestWait
	for _, r := range h.runs {
		expected := time.Duration(r.request.GetExpectedMs() * h.slowness * float64(time.Millisecond))
		left := expected - now.Sub(r.since)
		next = min(next, max(left*3/2, shortestWait))
	}
	return next
}

// unsettled reports whether a run's fate is open; the caller holds the lock.
func (h *held) unsettled() bool {
	for _, r := range h.runs {
		if r.phase == uncertain || r.requester == "" {
			return true
		}
	}
	return false
}
