package runner

import (
	"sync"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/separator"
	"radishweir.org/lib/wire"
)

// key identifies a run on one upstream.
type key struct {
	task string
	run  uint64
}

// phase is the progress of a run.
type phase int

const (
	// starting means that the order was sent and not answered yet.
	starting phase = iota
	// uncertain means that the order got no answer and may still be carried out.
	uncertain
	// running means that the upstream confirmed the start.
	running
)

// String returns the phase's name in logs.
func (p phase) String() string { return [...]string{"starting", "uncertain", "running"}[p] }

// run is one run on an owned upstream.
type run struct {
	request *wire.RunRequest
	// requester is empty while no entry has attached to an orphaned run.
	requester string
	amount    packer.Amount
	phase     phase
	// startedAt is the time of the start, or of the first report of the run.
	startedAt time.Time
	// uncertainAt is the time at which the run became uncertain. Only polls sent since then
	// show that it is absent.
	uncertainAt time.Time
	// confirmedAt is the time at which the upstream confirmed the start.
	confirmedAt time.Time
	// attachDeadline is the deadline for a requester to attach.
	attachDeadline time.Time
	// detachedAt is when the connection to the requester was lost; zero if the
	// requester has asked for the run since.
	detachedAt time.Time
	// detachedSeen is when the requester of a detached run was last known to be alive.
	detachedSeen time.Time
	// slowness is that of the upstream when this owner started the run.
	slowness float64
	// leaseEnd is the end of the lease that another owner may have given the run before its
	// requester asked for it here.
	leaseEnd time.Time
	stopping bool
	// inherited is true if the first report to this owner listed the run, so that no start that was
	// given up has been carried out late.
	inherited bool
	// unanswered is true if the run is stopped because its start got no answer.
	unanswered bool
	// stopFenced is true if the stop waits for a newer fencing token.
	stopFenced bool
	// stopDeadline is when a run that is to be stopped counts as one that cannot be.
	stopDeadline time.Time
	// stopLeaseLimit is the time up to which the lease may be renewed until a stop is
	// confirmed: what is known of the requester since then does not count for the run. It is
	// zero if no requester was known.
	stopLeaseLimit time.Time
	// stoppedAt is the time at which the upstream confirmed a stop.
	stoppedAt time.Time
	// withdrawn is closed once the order to start the run must not be sent any more; nil
	// if this owner did not order the run.
	withdrawn chan struct{}
	// mayHaveRun is true if a former incarnation of the upstream may have carried out
	// the run, or its end may have been listed to another owner.
	mayHaveRun bool
}

// withdraw keeps the order to start the run from being sent if it was not sent yet.
func (r *run) withdraw() {
	if r.withdrawn != nil {
		close(r.withdrawn)
		r.withdrawn = nil
	}
}

// recentEnd is the end of a run, remembered for late reports that list the run. One that the
// upstream listed is also told to a requester that attaches after a lost connection, and to the
// entry that takes over a job.
type recentEnd struct {
	cause   wire.RunEnd_Cause
	endedAt time.Time
	expires time.Time
	// listed is true if the upstream itself listed the end.
	listed bool
	// former is true if the process that listed the end is gone. The next one may carry out a run
	// of the same number, by order of an owner in between.
	former bool
}

// ownedUpstream is the state of one upstream that this entry owns.
type ownedUpstream struct {
	runner *Runner
	wake   chan struct{}

	mu         sync.Mutex
	upstream   Upstream
	token      int64
	free       packer.Amount
	runs       map[key]*run
	recentEnds map[key]recentEnd
	// lastEnd is the number of the last end that was processed.
	lastEnd uint64
	// retainedEnds holds the retained ends by number: those that must stay listed
	// at the upstream.
	retainedEnds map[uint64]retainedEnd
	// untold holds the runs that the upstream listed as stopped or lapsed and of which no requester
	// was told, with the times at which they are forgotten.
	untold map[key]time.Time
	// earlyReleases holds, with its time, each RunSafe that came before the end of
	// its run was listed.
	earlyReleases map[key]time.Time
	// unacknowledged is true while the upstream lists ends that the next poll
	// acknowledges.
	unacknowledged bool
	// acquiredAt is the time at which the ownership began, again with a newer token after a
	// refusal.
	acquiredAt time.Time
	// synced is true once the upstream has reported its runs to this owner.
	synced   bool
	released bool
	// releasedAt is when the ownership ended.
	releasedAt time.Time
	// unlisted is true if the upstream was given to SetUnlisted. It does not change.
	unlisted bool
	// relinquishing is true while the lease is left to expire, as this entry is not registered.
	relinquishing bool
	// relinquished is true once it has expired for that reason, until this entry is registered again.
	relinquished bool
	// resolving is true while resolveRuns is active.
	resolving bool
	// incarnation is the one that the runs, ends and clock above belong to. It follows
	// the upstream's reports, as the list may be older than these.
	incarnation int64
	// incarnationAt is when this owner learned of the incarnation; requests sent before
	// may be answered by a former one.
	incarnationAt time.Time
	// unverifiedSince is when the list named an incarnation that no report has
	// confirmed or refuted since; zero otherwise.
	unverifiedSince time.Time
	// unansweredStarts holds, with its time, each start that got no answer within
	// startTimeout, and none since: it may be carried out later.
	unansweredStarts map[key]time.Time
	// watching is true while watchRestart has a poll open.
	watching bool
	// brokenWatches counts the polls of watchRestart in a row that got no answer.
	brokenWatches int
	// checkingRestart is true while checkRestart is active. Polls may then reach a new process.
	checkingRestart bool
	// aliveAt is the last time at which the incarnation certainly was alive; zero if it
	// has sent no report.
	aliveAt time.Time
	// refusedToken is the token that the upstream refused as too low.
	refusedToken int64
	// clock is the upstream's clock in milliseconds as of clockAt.
	clock   int64
	clockAt time.Time
	// clockDue is when the clock of an idle upstream is read again.
	clockDue time.Time
	// idlePolledAt is when the upstream was last polled without runs there.
	idlePolledAt time.Time
	// acknowledgedAt is when ends were last acknowledged.
	acknowledgedAt time.Time
	// leaseEnd is the time at which all runs have certainly ended unless another
	// order or poll renews the lease.
	leaseEnd time.Time
	// starts and requests estimate the times to the answers to starts, and to other requests:
	// stops and polls that do not wait.
	starts, requests roundTrip
	room             room
	tracker          separator.Tracker
	health
	publication
}

func newOwnedUpstream(r *Runner, u Upstream, token int64) *ownedUpstream {
	return &ownedUpstream{
		runner: r, wake: make(chan struct{}, 1), upstream: u, token: token, free: u.Capacity,
		runs: make(map[key]*run), recentEnds: make(map[key]recentEnd), retainedEnds: make(map[uint64]retainedEnd), untold: make(map[key]time.Time), earlyReleases: make(map[key]time.Time),
		unansweredStarts: make(map[key]time.Time),
		acquiredAt:       time.Now(), incarnation: u.Incarnation, health: newHealth(r.Log.With().Str("upstream", u.Name).Logger()),
	}
}

// update replaces the upstream's registration.
func (h *ownedUpstream) update(u Upstream) {
	h.mu.Lock()
	old := h.upstream
	h.upstream = u
	if u.Incarnation != old.Incarnation && u.Incarnation != h.incarnation {
		h.unverifiedSince = time.Now()
	}
	if u.Capacity != old.Capacity {
		h.restoreRoom()
		h.free = h.free.Plus(u.Capacity).Minus(old.Capacity)
	}
	h.outdated = h.outdated || old != u
	h.unlock()
	h.signal()
}

// release ends the ownership. Runs continue under the next owner.
func (h *ownedUpstream) release() {
	h.mu.Lock()
	h.released, h.releasedAt = true, time.Now()
	for _, r := range h.runs {
		r.withdraw()
	}
	h.unlock()
	h.signal()
}

// signal wakes the polling goroutine.
func (h *ownedUpstream) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// state describes the upstream for other entries.
func (h *ownedUpstream) state() *wire.UpstreamState {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	// Whoever gets a state that differs from the published one must learn how it goes on.
	h.publish(now)
	return &wire.UpstreamState{
		Upstream: h.upstream.Name, Free: AmountToWire(h.available()), Slowness: h.currentSlowness(now, h.runs), Usable: h.usable(now), Token: h.token,
		Incarnation: h.incarnation, Answering: h.synced && !h.isSilent(), Kinds: h.kinds(),
	}
}

// usable reports whether new runs may be started; the caller holds the lock.
func (h *ownedUpstream) usable(now time.Time) bool {
	switch {
	case !h.synced || h.released || h.relinquishes(now) || h.upstream.Leaving || !h.unverifiedSince.IsZero():
		return false
	case h.unresponsive(now) || !h.admits(now, h.runs):
		return false
	case h.stopsOverdue(now) || h.hasOrphans():
		return false
	case h.runner.Evacuated != nil && h.runner.Evacuated(h.upstream.Domain):
		return false
	}
	return h.listedEnds()+uint64(len(h.runs)) < maxUnacknowledgedEnds
}

func (h *ownedUpstream) name() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upstream.Name
}

// registration returns the registration as this owner knows it.
func (h *ownedUpstream) registration() Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upstream
}

func (h *ownedUpstream) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs)
}

// endRun removes a run and tells its requester; listed is true if the upstream listed the
// end. The caller holds the lock.
func (h *ownedUpstream) endRun(k key, cause wire.RunEnd_Cause, listed bool) {
	r := h.runs[k]
	h.trackEnd(k, r, false, time.Now())
	r.withdraw()
	delete(h.runs, k)
	h.free = h.free.Plus(r.amount)
	now := time.Now()
	h.recentEnds[k] = recentEnd{cause: cause, endedAt: now, expires: now.Add(endRetention), listed: listed}
	if h.runner.Observer != nil {
		wasted := 0.0
		if cause != wire.RunEnd_done && r.phase == running {
			wasted = time.Since(r.startedAt).Seconds() * float64(r.amount.CPU) / 1000
		}
		h.runner.Observer.RunEnded(cause.String(), wasted)
	}
	if r.requester != "" {
		// The requester may call back into this upstream.
		go h.runner.sendEnd(r.requester, r.request, cause, r.phase == running)
	}
	h.outdated = true
}
