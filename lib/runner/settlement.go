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
	// untoldRetention is how long an end is kept of which no requester was told.
	untoldRetention = 30 * time.Second
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

// mayBeServed reports whether a former owner that is not registered may serve the upstream: it has not
// answered this owner, or had not answered its last one as it vanished from the list. The caller holds the
// lock.
func (h *ownedUpstream) mayBeServed() bool { return h.unlisted || !h.released && !h.synced }

// isUnreached is mayBeServed for callers that do not hold the lock.
func (h *ownedUpstream) isUnreached() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mayBeServed()
}

// withholdEnd makes nobody but an adopter learn that a run was stopped or has lapsed if its holder is
// retired or unknown. A holder that does not know yet that it is lost would start the task again. As
// nobody does, the run is the last one of its task. The caller holds the lock.
func (h *ownedUpstream) withholdEnd(k key, r *run, cause wire.RunEnd_Cause) {
	if cause != wire.RunEnd_stopped && cause != wire.RunEnd_lost {
		return
	}
	switch {
	case h.runner.isRetired(r.request.GetHolder()):
		r.requester = ""
	case r.requester != "" || !r.inherited || h.runner.discardsOrphaned():
		return
	}
	h.untold[k] = time.Now().Add(untoldRetention)
}

// appendUntold appends the runs that were stopped or have lapsed and of which no requester was told, as
// ends of a holder's runs.
func (h *ownedUpstream) appendUntold(out []*wire.RunEnd, holder string) []*wire.RunEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || h.token == h.refusedToken {
		// Another owner may have told a requester.
		return out
	}
	for k := range h.untold {
		out = append(out, &wire.RunEnd{Task: k.task, Run: k.run, Upstream: h.upstream.Name, Cause: wire.RunEnd_stopped, Holder: holder})
	}
	return out
}

// reportUntoldEnds tells the adopter of a retired holder which runs, the holder's or orphaned ones, were
// stopped or have lapsed without the knowledge of their requesters, but not again those that were told before.
func (r *Runner) reportUntoldEnds(adopter, holder string, told map[key]bool) {
	var list []*wire.RunEnd
	for _, h := range r.ownedUpstreams() {
		list = h.appendUntold(list, holder)
	}
	for _, e := range list {
		if k := (key{e.GetTask(), e.GetRun()}); !told[k] {
			told[k] = true
			r.Ended(adopter, e)
		}
	}
}

// reportRetainedEnds tells an adopter all retained ends that may be a lost holder's, also successes on
// upstreams that this entry gave up.
func (r *Runner) reportRetainedEnds(adopter, holder string) {
	for _, h := range append(r.ownedUpstreams(), r.releasedUpstreams()...) {
		h.resendEnds(func(e retainedEnd) bool {
			return (e.holder == holder || e.holder == "") && (e.cause == wire.RunEnd_done || !h.released)
		}, adopter)
	}
}

// isSettled reports whether nothing of an upstream that this entry gave up matters any more.
func (h *ownedUpstream) isSettled() bool {
	if h.mayHaveRuns() || h.hasUnansweredStarts() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.unlisted {
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
// is left. Meanwhile the adopter is told what is known, so that it need not wait for all with jobs of which
// nothing can be left on unreached upstreams.
func (r *Runner) awaitRetirement(ctx context.Context, adopter, holder string, retiredAt time.Time) {
	began, logged, told, reported := time.Now(), false, make(map[key]bool), false
	for ctx.Err() == nil {
		known, all := r.stopHolder(ctx, holder, retiredAt)
		r.reportUntoldEnds(adopter, holder, told)
		if all {
			break
		}
		if known && !reported {
			reported = true
			r.reportRetainedEnds(adopter, holder)
		}
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
