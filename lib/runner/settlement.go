package runner

import (
	"context"
	"time"

	"radishweir.org/lib/wire"
)

const (
	// waitLoggedAfter is the time after which the wait for the runs of a lost holder is logged.
	waitLoggedAfter = time.Second
	// endsKeptAfterRelease is how long the ends of kept jobs are kept that an upstream listed before
	// this entry gave it up. A takeover of their jobs begins sooner.
	endsKeptAfterRelease = 30 * time.Second
)

// confirmedSince reports whether this entry certainly owned its upstreams at the given time.
func (r *Runner) confirmedSince(at time.Time) bool {
	return r.MembersConfirmedSince == nil || r.MembersConfirmedSince(at)
}

// ReviewExpired ends the runs whose leases have ended on upstreams that are silent. It must be called
// once MembersConfirmedSince may return true.
func (r *Runner) ReviewExpired() {
	now := time.Now()
	for _, h := range r.ownedUpstreams() {
		h.mu.Lock()
		h.reviewExpired(now)
		h.unlock()
	}
}

// reviewExpired ends the runs on the upstream if it is silent since its lease has ended. Before the
// first answer to a poll, the former owner may still be renewing the lease. The caller holds the
// lock.
func (h *ownedUpstream) reviewExpired(now time.Time) {
	if h.synced && !h.released && h.unresponsive(now) && now.After(h.leaseEnd) {
		h.endExpired(now)
	}
}

// settledAt returns the time from which on no former owner that is not registered renews the lease
// of an upstream that this entry owns since the given time.
func (r *Runner) settledAt(acquiredAt time.Time) time.Time {
	if r.SettledAt == nil {
		return time.Time{}
	}
	return r.SettledAt(acquiredAt)
}

// isOverdue reports whether this entry is not registered for so long that others count on the end
// of its leases.
func (r *Runner) isOverdue(now time.Time) bool {
	if r.RenewableUntil == nil {
		return false
	}
	until := r.RenewableUntil()
	return !until.IsZero() && !now.Before(until)
}

// relinquishes reports whether the lease must not be renewed, so that it expires: this entry is not
// registered for long, and others may start tasks again whose ends only this upstream lists, or that
// are at work there. Once it has expired, these ends are void, and the upstream serves other jobs.
// The caller holds the lock.
func (h *ownedUpstream) relinquishes(now time.Time) bool {
	if !h.relinquishing && !h.relinquished && !h.concernsKeptJobs() {
		return false
	}
	switch {
	case !h.runner.isOverdue(now):
		h.relinquishing, h.relinquished = false, false
	case h.relinquishing && now.After(h.leaseEnd):
		h.relinquishing, h.relinquished = false, true
		h.outdated = true
	case !h.relinquishing && !h.relinquished:
		h.relinquishing, h.outdated = true, true
		h.runner.Log.Warn().Str("upstream", h.upstream.Name).Int("runs", len(h.runs)).Int("ends", len(h.retainedEnds)).Msg("lease_relinquished")
		if h.runner.Observer != nil {
			h.runner.Observer.LeaseRelinquished()
		}
	}
	return h.relinquishing
}

// concernsKeptJobs reports whether the upstream lists ends, or has runs, of kept jobs; the caller
// holds the lock.
func (h *ownedUpstream) concernsKeptJobs() bool {
	if len(h.retainedEnds) > 0 {
		return true
	}
	for _, r := range h.runs {
		if h.mayBeKept(r) {
			return true
		}
	}
	return false
}

// mayBeKept reports whether a run may belong to a kept job; the caller holds the lock.
func (h *ownedUpstream) mayBeKept(r *run) bool {
	if r.requester == "" {
		return !h.runner.discardsOrphaned()
	}
	return r.request.GetHolder() != ""
}

// isUnreachedSettled reports whether nothing of a lost holder, retired at the given time, can be
// left on an upstream that has not answered this owner: a former owner that is alive has noticed
// that the holder is unreachable and has stopped its runs, and one that is not registered has let
// the leases expire. The caller holds the lock.
func (h *ownedUpstream) isUnreachedSettled(retiredAt, now time.Time) bool {
	return now.Sub(latest(h.acquiredAt, retiredAt)) > leasesExpiredAfter && now.After(h.runner.settledAt(h.acquiredAt))
}

// isUnreached reports whether the upstream has not answered this owner.
func (h *ownedUpstream) isUnreached() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.synced && (!h.released || !h.reached)
}

// isReleased reports whether this entry gave the upstream up.
func (h *ownedUpstream) isReleased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

// isSettled reports whether nothing of an upstream that this entry gave up matters any more.
func (h *ownedUpstream) isSettled() bool {
	if h.mayHaveRuns() || h.hasUnansweredStarts() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.reached {
		return h.isUnreachedSettled(h.acquiredAt, now)
	}
	for _, e := range h.retainedEnds {
		if e.cause == wire.RunEnd_done {
			return now.Sub(h.releasedAt) > endsKeptAfterRelease
		}
	}
	return true
}

// unreachedUpstreams returns the names of upstreams that have not answered this owner.
func (r *Runner) unreachedUpstreams() []string {
	var out []string
	for _, h := range append(r.ownedUpstreams(), r.releasedUpstreams()...) {
		if h.isUnreached() {
			out = append(out, h.name())
		}
	}
	return out
}

// awaitRetirement stops the runs of a lost holder, retired at the given time, and waits until none
// is left.
func (r *Runner) awaitRetirement(ctx context.Context, holder string, retiredAt time.Time) {
	began, logged := time.Now(), false
	for ctx.Err() == nil && !r.stopHolder(ctx, holder, retiredAt) {
		if !logged && time.Since(began) > waitLoggedAfter {
			logged = true
			r.Log.Info().Str("holder", holder).Strs("unreached", r.unreachedUpstreams()).Time("settled_at", r.settledAt(time.Now())).Msg("holder_retirement_waits")
		}
		pause(ctx, resolveInterval)
	}
	if ctx.Err() != nil {
		return
	}
	unreached := r.unreachedUpstreams()
	if logged {
		r.Log.Info().Str("holder", holder).Int64("after_ms", time.Since(began).Milliseconds()).Strs("unreached", unreached).Msg("holder_retired")
	}
	if r.Observer != nil {
		r.Observer.HolderRetired(len(unreached) > 0)
	}
}
