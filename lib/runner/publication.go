package runner

import (
	"time"

	"radishweir.org/lib/packer"
)

// publicState is the part of an upstream's state that decides whether other entries send runs
// to it. It is zero until the upstream has reported its runs to this owner.
type publicState struct {
	usable, answering  bool
	free               packer.Amount
	token, incarnation int64
}

// publication tracks what the other entries were told of an upstream.
type publication struct {
	// published is the state as of the last call of Runner.Changed.
	published publicState
	// outdated is true if something outside publicState has changed since, such as the
	// slowness.
	outdated bool
	// timer runs at publishAt, the time at which the state changes without an event; zero
	// if it does not.
	timer     *time.Timer
	publishAt time.Time
}

// unlock publishes the state of the upstream if it has changed, and releases the lock. All
// methods that change what other entries are told release the lock by it.
func (h *ownedUpstream) unlock() {
	h.publish(time.Now())
	h.mu.Unlock()
}

// publish publishes the state if it has changed; the caller holds the lock.
func (h *ownedUpstream) publish(now time.Time) {
	if h.refreshPublication(now) {
		go h.runner.Changed(h.upstream.Name)
	}
}

// refreshPublication reports whether the state differs from the published one, so that the caller
// must call Runner.Changed, and schedules the publication of the next change by time alone.
// Requests come only to upstreams that are published as usable, so no other event would publish
// the end of an ejection. The caller holds the lock.
func (h *ownedUpstream) refreshPublication(now time.Time) bool {
	if h.released {
		// SetOwned publishes the release.
		h.publishAfter(time.Time{}, now)
		return false
	}
	s := h.publicState(now)
	changed := s != h.published || h.outdated
	if s.usable != h.published.usable {
		h.log.Debug().Bool("usable", s.usable).Bool("probing", h.probing).Int("runs", len(h.runs)).Msg("upstream_usable_changed")
	}
	h.published, h.outdated = s, false
	h.publishAfter(h.nextTransition(now), now)
	return changed
}

// publishAfter sets the time of the next publication without an event, zero for none; the
// caller holds the lock.
func (h *ownedUpstream) publishAfter(at, now time.Time) {
	if at.Equal(h.publishAt) {
		return
	}
	h.publishAt = at
	switch {
	case h.timer == nil:
		h.timer = time.AfterFunc(at.Sub(now), func() {
			h.mu.Lock()
			h.publishAt = time.Time{}
			h.unlock()
		})
	case at.IsZero():
		h.timer.Stop()
	default:
		h.timer.Reset(at.Sub(now))
	}
}

// publicState returns the state that other entries are to be told; the caller holds the lock.
func (h *ownedUpstream) publicState(now time.Time) publicState {
	if !h.synced {
		return publicState{}
	}
	return publicState{
		usable: h.usable(now), answering: !h.isSilent(), free: h.available(),
		token: h.token, incarnation: h.incarnation,
	}
}

// nextTransition returns the earliest time at which usable may change without an event, zero if
// there is none; the caller holds the lock.
func (h *ownedUpstream) nextTransition(now time.Time) time.Time {
	next := time.Time{}
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	consider(h.ejectedUntil)
	if h.isSilent() {
		consider(h.unansweredSince.Add(silenceLimit))
	}
	if h.relinquishing {
		consider(h.leaseEnd.Add(time.Millisecond))
	}
	for _, r := range h.runs {
		if r.stopping && r.stoppedAt.IsZero() {
			consider(r.stopDeadline)
		}
	}
	return next
}
