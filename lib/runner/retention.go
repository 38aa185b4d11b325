package runner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"radishweir.org/lib/wire"
)

const (
	// retentionPollInterval is the pause between polls of an upstream with retained
	// ends; the effects of these are stored within several intervals.
	retentionPollInterval = 20 * time.Millisecond
	// settleAfter is the age from which on a retained end counts as unsettled. By then its
	// requester has usually stored its effect.
	settleAfter = 4 * time.Second
	// maxUnacknowledgedEnds is the number of ends that an upstream may list, those of
	// its current runs included, while it gets new runs. It leaves a margin to
	// MaxListedEnds.
	maxUnacknowledgedEnds = 400
	// resendInterval is the time after which a retained end is sent to its requester
	// again. The requester may no longer run the job, and then finds out whether the
	// upstream may drop the end.
	resendInterval = 3 * time.Second
	// earlyReleaseRetention is how long a RunSafe waits for the end of its run to
	// be listed. It comes first when a former owner reported the end.
	earlyReleaseRetention = 10 * time.Second
	// leasesExpiredAfter is the time after which a dead holder has no runs left on an
	// upstream that has not answered its owner: by then a former owner that is still
	// alive has noticed that it is not registered and that the holder is unreachable, and
	// the leases of the runs that it could not stop have expired.
	leasesExpiredAfter = 2 * LeaseTTL
)

// retainedEnd is a retained end: a listed end that the upstream must not drop
// before its effect on a kept job is stored.
type retainedEnd struct {
	key
	cause wire.RunEnd_Cause
	// requester is empty while it is unknown.
	requester string
	// holder is empty while it is unknown whether the run's job is kept.
	holder string
	// settleAt is when the end counts as unsettled.
	settleAt time.Time
	// resendAt is when the end is sent to its requester again.
	resendAt time.Time
}

// message converts the end to its wire form.
func (e retainedEnd) message(upstream string) *wire.RunEnd {
	return &wire.RunEnd{Task: e.task, Run: e.run, Upstream: upstream, Cause: e.cause, Holder: e.holder}
}

// acknowledged returns the number up to which the upstream may drop ends: all
// that were processed and precede the first retained one, and none while it may be
// another incarnation than the one that listed them. The caller holds the lock.
func (h *ownedUpstream) acknowledged() uint64 {
	if !h.unverifiedSince.IsZero() {
		return 0
	}
	out := h.lastEnd
	for n := range h.retainedEnds {
		out = min(out, n-1)
	}
	return out
}

// listedEnds returns the number of ends that the upstream lists until the next
// acknowledgement; the caller holds the lock.
func (h *ownedUpstream) listedEnds() uint64 { return h.lastEnd - min(h.lastEnd, h.acknowledged()) }

// hasRetainedEnds reports whether there are retained ends.
func (h *ownedUpstream) hasRetainedEnds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.retainedEnds) > 0
}

// retainEnd retains a listed end that can affect a kept job; the caller holds the
// lock. Only done and failed ends can: any other cause just means that the task
// must run again.
func (h *ownedUpstream) retainEnd(e EndedRun, r *run, now time.Time) {
	k := key{e.Task, e.Run}
	if _, ok := h.earlyReleases[k]; ok {
		delete(h.earlyReleases, k)
		return
	}
	if e.Cause != wire.RunEnd_done && e.Cause != wire.RunEnd_failed {
		return
	}
	out := retainedEnd{key: k, cause: e.Cause, settleAt: now.Add(settleAfter), resendAt: now.Add(resendInterval)}
	switch {
	case r == nil || r.requester == "":
		if h.runner.discardsOrphaned() {
			return
		}
	case r.request.GetHolder() == "":
		return
	default:
		out.requester, out.holder = r.requester, r.request.GetHolder()
	}
	h.retainedEnds[e.Number] = out
}

// reviewRetainedEnds drops orphaned ends if no kept jobs exist, and early RunSafe messages
// whose ends were not listed, and sends old ends again; the caller holds the lock.
func (h *ownedUpstream) reviewRetainedEnds(now time.Time) {
	for n, e := range h.retainedEnds {
		if e.holder == "" && h.runner.discardsOrphaned() {
			delete(h.retainedEnds, n)
		}
		if e.holder != "" && now.After(e.resendAt) {
			e.resendAt = now.Add(resendInterval)
			h.retainedEnds[n] = e
			go h.runner.Ended(e.requester, e.message(h.upstream.Name))
		}
	}
	for k, at := range h.earlyReleases {
		if now.Sub(at) > earlyReleaseRetention {
			delete(h.earlyReleases, k)
		}
	}
}

// attachRetainedEnd sets the requester and the holder of a retained end and returns
// that end; it is no longer retained if the job is not kept. Unless the upstream is known to be
// the process that listed the end, only a success is returned: after a failure, the next process
// may have a run of the same number at work. The caller holds the lock.
func (h *ownedUpstream) attachRetainedEnd(requester string, q *wire.RunRequest, current bool) (retainedEnd, bool) {
	for n, e := range h.retainedEnds {
		if e.key != (key{q.GetTask(), q.GetRun()}) {
			continue
		}
		if e.cause != wire.RunEnd_done && !current {
			break
		}
		e.requester, e.holder = requester, q.GetHolder()
		h.retainedEnds[n] = e
		if e.holder == "" {
			delete(h.retainedEnds, n)
		}
		return e, true
	}
	return retainedEnd{}, false
}

// releaseEnd lets the upstream drop the end of a run. If the end is not listed yet,
// the release is remembered for it.
func (h *ownedUpstream) releaseEnd(k key) {
	h.mu.Lock()
	found := false
	for n, e := range h.retainedEnds {
		if e.key == k {
			delete(h.retainedEnds, n)
			found = true
		}
	}
	if !found {
		h.earlyReleases[k] = time.Now()
	}
	h.unacknowledged = true
	h.unlock()
	h.signal()
}

// resendEnds assigns all matching retained ends to the requester and sends them
// to it. It calls match with the lock held.
func (h *ownedUpstream) resendEnds(match func(retainedEnd) bool, requester string) {
	h.mu.Lock()
	var list []*wire.RunEnd
	for n, e := range h.retainedEnds {
		if !match(e) {
			continue
		}
		e.requester = requester
		h.retainedEnds[n] = e
		list = append(list, e.message(h.upstream.Name))
	}
	h.mu.Unlock()
	for _, e := range list {
		h.runner.Ended(requester, e)
	}
}

// appendUnsettled appends the unsettled ends.
func (h *ownedUpstream) appendUnsettled(out []*wire.RunEnd, now time.Time) []*wire.RunEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.retainedEnds {
		if now.After(e.settleAt) {
			out = append(out, e.message(h.upstream.Name))
		}
	}
	return out
}

// assignEnd sets the requester and the holder of a retained end and sends the end to that
// requester, unless they are the same already.
func (h *ownedUpstream) assignEnd(k key, requester, holder string) {
	h.mu.Lock()
	var assigned *wire.RunEnd
	for n, e := range h.retainedEnds {
		if e.key == k && (e.requester != requester || e.holder != holder) {
			e.requester, e.holder, e.resendAt = requester, holder, time.Now().Add(resendInterval)
			h.retainedEnds[n] = e
			assigned = e.message(h.upstream.Name)
		}
	}
	h.mu.Unlock()
	if assigned != nil {
		h.runner.Ended(requester, assigned)
	}
}

// stopHolder stops the runs of a dead holder, which was retired at the given time, and
// reports whether none is left. It also waits for orphaned runs, which may be the
// holder's. After a release it waits for the end of their lease, as the upstream may be given
// up because its registration is missing, and get no other owner. One that has not
// answered may have runs, or list ends, of which only a former owner knows.
func (h *ownedUpstream) stopHolder(ctx context.Context, holder string, retiredAt time.Time) bool {
	h.mu.Lock()
	defer h.unlock()
	if h.mayBeServed() {
		return h.isUnreachedSettled(retiredAt, time.Now())
	}
	left := false
	for k, r := range h.runs {
		if r.requester != "" && r.request.GetHolder() != holder {
			continue
		}
		if h.released {
			left = left || h.mayRun(r, time.Now())
			continue
		}
		left = true
		if !r.stopping && r.requester != "" {
			h.stopLocked(ctx, k, r)
		}
	}
	return !left
}

// mayRun reports whether the lease lasts that this owner, or one before it, gave a run; the
// caller holds the lock.
func (h *ownedUpstream) mayRun(r *run, now time.Time) bool {
	return !now.After(latest(h.leaseEnd, r.leaseEnd))
}

// mayHaveRuns reports whether the lease of any run lasts.
func (h *ownedUpstream) mayHaveRuns() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, r := range h.runs {
		if h.mayRun(r, now) {
			return true
		}
	}
	return false
}

// RetainOrphanedEnds makes the owner retain orphaned ends, those of runs
// without a known requester, as they may belong to kept jobs, from now on. This is
// the default.
func (r *Runner) RetainOrphanedEnds() { r.keptJobsExist.Store(true) }

// DiscardOrphanedEnds makes the owner let upstreams drop orphaned ends. It is
// called when there were no kept jobs, and has no effect once RetainOrphanedEnds was
// called: what it is based on may be older.
func (r *Runner) DiscardOrphanedEnds() { r.noKeptJobs.Store(true) }

// discardsOrphaned reports whether orphaned ends need not be retained.
func (r *Runner) discardsOrphaned() bool { return r.noKeptJobs.Load() && !r.keptJobsExist.Load() }

// Safe lets an upstream drop the end of a kept job's run, whose effect is stored.
func (r *Runner) Safe(s *wire.RunSafe) {
	if h := r.find(s.GetUpstream()); h != nil {
		h.releaseEnd(key{s.GetTask(), s.GetRun()})
	}
}

// UnsettledEnds returns the ends that upstreams have listed for a while, as nobody has told
// this owner that their effect is stored.
func (r *Runner) UnsettledEnds() []*wire.RunEnd {
	var out []*wire.RunEnd
	now := time.Now()
	for _, h := range r.ownedUpstreams() {
		out = h.appendUnsettled(out, now)
	}
	return out
}

// AssignEnd sends a retained end to the entry that holds the run's job, and again until the
// end is released.
func (r *Runner) AssignEnd(e *wire.RunEnd, requester, holder string) {
	if h := r.find(e.GetUpstream()); h != nil {
		h.assignEnd(key{e.GetTask(), e.GetRun()}, requester, holder)
	}
}

// ResendEnds sends a requester that was disconnected its retained ends again.
func (r *Runner) ResendEnds(requester string) {
	for _, h := range r.ownedUpstreams() {
		h.resendEnds(func(e retainedEnd) bool { return e.requester == requester }, requester)
	}
}

// RetireHolder prepares the takeover of a dead holder's jobs by the adopter, an
// entry. It refuses later requests of the holder, stops its runs, sends the
// adopter all retained ends that may be the holder's, and then calls done. The
// ownership of upstreams must have been computed before.
func (r *Runner) RetireHolder(ctx context.Context, adopter, holder string, done func()) {
	r.retiredMu.Lock()
	if r.retiredHolders == nil {
		r.retiredHolders = make(map[string]time.Time)
	}
	retiredAt, again := r.retiredHolders[holder]
	if !again {
		retiredAt = time.Now()
		r.retiredHolders[holder] = retiredAt
	}
	r.retiredMu.Unlock()
	r.RetainOrphanedEnds()
	go func() {
		r.awaitRetirement(ctx, adopter, holder, retiredAt)
		r.reportRetainedEnds(adopter, holder)
		done()
	}()
}

// stopHolder stops the runs of a holder, which was retired at the given time, on all
// owned upstreams and reports whether none is left, also on those that were given up. known is true
// if none is left but on upstreams that have not answered this owner.
func (r *Runner) stopHolder(ctx context.Context, holder string, retiredAt time.Time) (known, all bool) {
	known, all = true, r.UnseenUntil == nil || time.Now().After(r.UnseenUntil())
	for _, h := range append(r.ownedUpstreams(), r.releasedUpstreams()...) {
		if h.unlisted && r.HasAnswered != nil && r.HasAnswered(h.registration()) {
			continue
		}
		if !h.stopHolder(ctx, holder, retiredAt) {
			all = false
			known = known && h.isUnreached()
		}
	}
	return known, all
}

// UnattendedJobs returns the kept jobs with runs whose requester is unreachable, in order
// of their names.
func (r *Runner) UnattendedJobs() []string {
	var out []string
	for _, h := range r.ownedUpstreams() {
		out = h.appendUnattended(out)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// appendUnattended appends the jobs of the runs of kept jobs whose requester is
// unreachable.
func (h *ownedUpstream) appendUnattended(out []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, r := range h.runs {
		if r.request.GetHolder() != "" && !r.detachedAt.IsZero() && !r.stopping {
			out = append(out, jobOf(k.task))
		}
	}
	return out
}

// CancelJob stops all runs of a job that has ended, refuses further ones until the given time,
// and returns the number of those stopped.
func (r *Runner) CancelJob(ctx context.Context, job string, until time.Time) int {
	r.retiredMu.Lock()
	if r.cancelledJobs == nil {
		r.cancelledJobs = make(map[string]time.Time)
	}
	now := time.Now()
	maps.DeleteFunc(r.cancelledJobs, func(_ string, until time.Time) bool { return now.After(until) })
	r.cancelledJobs[job] = until
	r.retiredMu.Unlock()
	n := 0
	for _, h := range r.ownedUpstreams() {
		n += h.stopJob(ctx, job)
	}
	return n
}

func (h *ownedUpstream) stopJob(ctx context.Context, job string) int {
	h.mu.Lock()
	defer h.unlock()
	n := 0
	for k, r := range h.runs {
		if jobOf(k.task) == job && !r.stopping {
			h.stopLocked(ctx, k, r)
			n++
		}
	}
	return n
}

// jobOf returns the job of a task: its name begins with the job's identifier and a dot.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// isRetired reports whether the jobs of a holder were taken over.
func (r *Runner) isRetired(holder string) bool {
	r.retiredMu.RLock()
	defer r.retiredMu.RUnlock()
	return holder != "" && !r.retiredHolders[holder].IsZero()
}

// isListed reports whether a holder is in the store; runs of best-effort jobs have none.
func (r *Runner) isListed(holder string) bool {
	return holder == "" || r.HolderListed == nil || r.HolderListed(holder)
}

// isCancelled reports whether runs of a task are refused, as its job has ended.
func (r *Runner) isCancelled(task string) bool {
	r.retiredMu.RLock()
	defer r.retiredMu.RUnlock()
	return len(r.cancelledJobs) > 0 && time.Now().Before(r.cancelledJobs[jobOf(task)])
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
