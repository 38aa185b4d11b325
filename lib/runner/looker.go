package runner

import (
	"context"
	"time"

	"radishweir.org/lib/wire"
)

// loop looks at the upstream while something runs there.
func (h *held) loop(ctx context.Context) {
	for ctx.Err() == nil {
		l, u, ok := h.next()
		if !ok {
			return
		}
		if l == nil {
			select {
			case <-ctx.Done():
			case <-h.wake:
			}
			continue
		}
		answer := make(chan error, 1)
		go func() { answer <- h.look(ctx, u, *l) }()
		select {
		case err := <-answer:
			if err != nil {
				pause(ctx, retryInterval)
			}
		case <-time.After(l.Wait + lookSlack):
			// The next look does not wait for an answer that may be lost; one that
			// comes late is taken all the same.
		}
	}
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
		l, u := Look{Token: h.token, Observed: h.observed}, h.upstream
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
		l, u := Look{Token: h.token, Observed: h.observed}, h.upstream
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
	l := &Look{Token: h.token, Observed: h.observed}
	if !h.open {
		return l, h.upstream, true
	}
	if len(h.runs) == 0 {
		if !h.unconfirmed {
			return nil, h.upstream, true
		}
		return l, h.upstream, true
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

// failed takes the failure of a look.
func (h *held) failed(err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch why := reason(err); why {
	case Fenced:
		h.fenced()
	case Replaced:
		h.loseAll()
		h.restarted(h.upstream.Incarnation)
	case 0:
		h.silent(now)
		// Before the first look the former owner may still hold the runs.
		if h.open && h.silentTooLong(now) && now.After(h.leased) {
			h.loseAll()
		}
	default:
		h.refused(why, now)
	}
}

// fenced stops the use of an upstream that refused the token until a newer one
// is there; the caller holds the lock.
func (h *held) fenced() {
	if h.refusedToken != h.token {
		h.runner.Log.Warn().Str("upstream", h.upstream.Name).Int64("token", h.token).Msg("upstream_has_newer_owner")
	}
	h.refusedToken = h.token
	h.open = false
	go h.runner.Changed(h.upstream.Name)
}

// loseAll ends every run as lost; the caller holds the lock.
func (h *held) loseAll() {
	if len(h.runs) > 0 {
		h.runner.Log.Warn().Str("upstream", h.upstream.Name).Int("runs", len(h.runs)).Msg("runs_lost")
	}
	for k := range h.runs {
		h.finish(k, wire.RunEnd_lost)
	}
}

// restarted forgets what belonged to an earlier incarnation; the caller holds
// the lock.
func (h *held) restarted(incarnation int64) {
	h.upstream.Incarnation = incarnation
	h.observed, h.clock, h.open = 0, 0, false
	h.health = newHealth()
}

// take takes the answer of a look that was sent at the given time.
func (h *held) take(ctx context.Context, rep Report, sent time.Time) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if rep.Incarnation != 0 && h.upstream.Incarnation != 0 && rep.Incarnation != h.upstream.Incarnation {
		h.loseAll()
		h.restarted(rep.Incarnation)
		return
	}
	h.heard(rep.Clock)
	h.answered()
	h.unconfirmed = len(rep.Ended) > 0
	for _, e := range rep.Ended {
		h.takeEnd(e, now)
	}
	h.takeRunning(ctx, rep.Running, sent, now)
	for k, e := range h.ends {
		if now.After(e.until) {
			delete(h.ends, k)
		}
	}
	if !h.open {
		h.open = true
		go h.runner.Changed(h.upstream.Name)
		go h.settle(ctx)
	}
}

// takeEnd takes one listed end; the caller holds the lock.
func (h *held) takeEnd(e Ended, now time.Time) {
	if e.Number <= h.observed {
		return
	}
	h.observed = e.Number
	k := key{e.Task, e.Run}
	r := h.runs[k]
	if r == nil {
		h.ends[k] = end{e.Cause, now.Add(endMemory)}
		return
	}
	h.observe(r, e.Cause, now)
	h.finish(k, e.Cause)
}

// takeRunning compares the listed runs with the known ones; the caller holds
// the lock.
func (h *held) takeRunning(ctx context.Context, list []Running, sent, now time.Time) {
	listed := make(map[key]Running, len(list))
	for _, l := range list {
		k := key{l.Task, l.Run}
		listed[k] = l
		if _, over := h.ends[k]; over {
			continue
		}
		if h.runs[k] == nil {
			h.runs[k] = &run{
				request: &wire.RunRequest{Upstream: h.upstream.Name, Task: k.task, Run: k.run},
				phase:   running, since: now, confirmed: now, orphaned: now.Add(orphanGrace),
			}
		}
	}
	for k, r := range h.runs {
		l, there := listed[k]
		switch {
		case there:
			h.takeRun(ctx, k, r, l, now)
		case r.phase == running && r.confirmed.Before(sent):
			h.finish(k, wire.RunEnd_lost)
		case r.phase == uncertain && !r.stopping:
			h.stopLocked(ctx, k, r)
		case r.phase == uncertain && !r.stopped.IsZero() && r.stopped.Before(sent):
			// A run that is not there after its stop never starts. Whether it ran
			// before is known only of runs that this owner ordered.
			cause := wire.RunEnd_refused
			if r.request.GetAttach() {
				cause = wire.RunEnd_lost
			}
			h.finish(k, cause)
		}
	}
}

// takeRun takes the progress of a run that is there; the caller holds the lock.
func (h *held) takeRun(ctx context.Context, k key, r *run, l Running, now time.Time) {
	if r.phase != running {
		r.phase, r.confirmed = running, now
	}
	abandoned := r.requester == "" && now.After(r.orphaned)
	if !r.stopping && (abandoned || h.stalled(r, l.Percent, now)) {
		h.stopLocked(ctx, k, r)
	}
}

// stopLocked stops a run; the caller holds the lock.
func (h *held) stopLocked(ctx context.Context, k key, r *run) {
	r.stopping = true
	go h.stop(ctx, h.upstream, k, Order{Task: k.task, Run: k.run, Token: h.token})
}
