// Package runner manages the runs on the upstreams that this entry owns.
//
// An upstream has one owner at a time. The owner renews the lease of all runs
// there, starts and stops runs for any entry (the requester), and tells it how
// they ended. The commands to start or stop a run are called orders; a poll
// renews the lease and returns the runs and ends of an upstream. Every order and
// poll carries a fencing token that increases with every change of owner, so that
// an upstream refuses an owner that was replaced.
//
// Ends of runs of kept jobs need more care. A kept job is a durable job whose
// record is in the platform's store from acceptance to end; its holder is the
// leased identity of the entry that runs it. The owner retains such an end: it
// does not acknowledge the end to the upstream, which lists it in every report
// until its effect is stored.
//
// # Usage
//
//	r := &runner.Runner{Client: client, Ended: send, Changed: publish, Log: log}
//	r.SetOwned(ctx, token, upstreams)
//	r.Request(ctx, "entry-2", request)
//
// A new owner first polls the upstream for its runs. Runs to which no requester
// attaches within orphanGrace are stopped.
package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/wire"
)

const (
	// LeaseTTL is the duration of a lease on runs, the longest that upstreams
	// grant.
	LeaseTTL = time.Second
	// minPollWait and maxPollWait bound how long a poll waits for an end. Two
	// polls of maxPollWait fit into a lease.
	minPollWait = 60 * time.Millisecond
	maxPollWait = 400 * time.Millisecond
	// pollMargin is the part of half a lease that a poll does not wait: several round trips.
	pollMargin = 50 * time.Millisecond
	// minStartLease is the shortest lease with which a run starts. The next poll renews it.
	minStartLease = 300 * time.Millisecond
	// callTimeout limits the time for the answer to an order, and to a poll after
	// the poll's wait; a hundred times the usual round trip.
	callTimeout = 200 * time.Millisecond
	// StopTimeout is the time after which a run whose stop was not confirmed counts as
	// one that cannot be stopped. The lease on its upstream is not renewed any more.
	StopTimeout = 100 * time.Millisecond
	// answerTimeout is the shortest time without an answer after which the upstream is
	// polled for the outcome of a start, and a stop is sent again: a lost start goes
	// elsewhere within 0.1 s. Upstreams that answer slowly get more (roundTrip).
	answerTimeout = 20 * time.Millisecond
	// pollSlack is the time past a poll's wait after which the next poll is sent
	// even without an answer; several times the usual round trip.
	pollSlack = 10 * time.Millisecond
	// overdueFactor is the multiple of its expected run time after which a run
	// gets an extra poll; about a quarter of all runs take that long.
	overdueFactor = 1.3
	// ackDelay is how long the ends on an idle upstream wait to be acknowledged
	// by the poll of a next run before a separate poll acknowledges them; an eighth
	// of the time that is allowed.
	ackDelay = 500 * time.Millisecond
	// minRestartTime is less than the time in which an upstream can restart and carry out
	// a run; it exceeds the pauses between polls.
	minRestartTime = 50 * time.Millisecond
	// silenceLimit is the time since the first unanswered order or poll after
	// which an upstream gets no new runs and polls no longer renew its lease.
	silenceLimit = 250 * time.Millisecond
	// resolveInterval is the pause between polls that resolve runs of uncertain
	// outcome, and between checks whether the runs of a dead holder have ended.
	resolveInterval = 10 * time.Millisecond
	// retryInterval is the pause after a failed poll or stop.
	retryInterval = 30 * time.Millisecond
	// lateOrderLimit is the time after which an order without an answer counts as never
	// carried out; the platform says "seconds later".
	lateOrderLimit = 15 * time.Second
	// maxClockLag is the share by which an upstream's clock may be slow.
	maxClockLag = 0.02
	// ClockMargin covers a lease on a clock that is slow by maxClockLag, and network
	// delay.
	ClockMargin = 60 * time.Millisecond
	// clockInterval is the age at which the clock of an idle upstream is read again; it
	// bounds what maxClockLag takes off the next lease to a tenth.
	clockInterval = 5 * time.Second
	// orphanGrace is how long a run without a requester may continue.
	orphanGrace = 300 * time.Millisecond
	// concludedPerSecond limits the log lines about runs whose ends this owner concluded, or
	// which it did not start for want of a lease, as that may happen to many at once.
	concludedPerSecond = 10
	// unansweredPerSecond limits the log lines about runs that were stopped because their
	// starts got no answer, as all starts on a slow upstream may.
	unansweredPerSecond = 10
	// unlistedDelay is the time after which a run is refused whose holder is not listed. The holder
	// may be newer than what this entry has read, and its entry asks again at once.
	unlistedDelay = 50 * time.Millisecond
	// unlistedRetention is how long an attachment waits for its holder to be listed: longer than a
	// holder that is lost goes on.
	unlistedRetention = 10 * time.Second
	// endRetention is how long an end is remembered, and how long an attachment
	// waits for the ownership of its upstream.
	endRetention = 2 * time.Second
)

// Observer counts ends of runs and changes of ownership.
type Observer interface {
	// RunEnded records how a run ended, and the core-seconds that it used without a
	// result.
	RunEnded(cause string, wasted float64)
	// Takeover records that this entry became the owner of an upstream.
	Takeover()
	// LeaseRelinquished records that this entry lets the lease of an upstream expire, as it is not
	// registered.
	LeaseRelinquished()
	// HolderRetired records that the runs of a lost holder are over, and whether that was concluded
	// for an upstream that did not answer.
	HolderRetired(concluded bool)
}

// Runner owns upstreams. Exported fields are set before the first call.
type Runner struct {
	// Client sends orders and polls to upstreams.
	Client Client
	// Ended tells the requester how a run ended.
	Ended func(requester string, e *wire.RunEnd)
	// Changed is called after the state of an upstream changed.
	Changed func(upstream string)
	// LastSeen returns the time at which a requester was last known to be alive, earlier by the
	// time in which this VM was suspended since. The runs of its best-effort jobs end LeaseTTL
	// after that at the latest, also if this entry is paused and cannot stop them. nil means
	// that all requesters are alive.
	LastSeen func(requester string) time.Time
	// Registered reports whether this entry certainly is registered; nil means that it always
	// is. Entries that take over a kept job ask the registered entries only to stop its runs.
	Registered func() bool
	// MembersConfirmedSince reports whether the store has shown since the given time that the
	// upstreams given to SetOwned still are those of this entry, and finds that out if not. Only then
	// the silence of an upstream until the end of its lease means that a kept job's run is over:
	// another owner may have renewed the lease. nil means that this entry always is the owner.
	MembersConfirmedSince func(at time.Time) bool
	// SettledAt returns the time from which on no former owner that is not registered renews the
	// lease of an upstream that this entry owns since the given time; nil means that none ever does.
	SettledAt func(acquiredAt time.Time) time.Time
	// HasAnswered reports whether an upstream has answered the entry that owns it now. It may lock the
	// coordinator. nil means that none has.
	HasAnswered func(u Upstream) bool
	// UnseenUntil returns the time up to which former owners may serve upstreams that vanished from
	// the list before this entry started; zero if there are none. nil means that there never are.
	UnseenUntil func() time.Time
	// RenewableUntil returns the time up to which this entry may renew the leases of upstreams that
	// list ends of kept jobs, as its registration lapsed; zero while it is registered. nil means
	// that it always is.
	RenewableUntil func() time.Time
	// HolderListed reports whether a holder was in the store when this entry last read it. Runs
	// for others do not start: another entry takes over their jobs, and may have asked an earlier
	// process of this entry to refuse them. nil means that all holders are listed.
	HolderListed func(holder string) bool
	// Evacuated reports whether no run may start on the upstreams of a failure domain;
	// nil means that none is evacuated.
	Evacuated func(domain string) bool
	// Interference measures which kinds of runs slow each other down; nil to measure
	// nothing.
	Interference *Interference
	// Observer may be nil.
	Observer Observer
	// Log receives events.
	Log zerolog.Logger

	// concluded writes concludedPerSecond lines a second.
	concluded zerolog.Logger
	// unanswered writes unansweredPerSecond lines a second.
	unanswered zerolog.Logger

	mu    sync.RWMutex
	owned map[string]*ownedUpstream
	// released holds the upstreams that this entry gave up and where leases may last, starts may
	// arrive late, or ends of kept jobs were listed; also those given to SetUnlisted.
	released []*ownedUpstream
	token    int64
	// noKeptJobs is true once it is known that there were no kept jobs, keptJobsExist once there
	// may be. Orphaned ends need not be retained while only the first is true.
	noKeptJobs, keptJobsExist atomic.Bool
	// pendingAttachments holds attachments to upstreams that this entry does not
	// own yet.
	pendingAttachments []attachment

	// retiredMu is also locked while the lock of an upstream is held, unlike mu.
	retiredMu sync.RWMutex
	// retiredHolders holds, with the time, the holders whose jobs were taken over.
	retiredHolders map[string]time.Time
	// cancelledJobs holds, with the time until then, the jobs whose runs are refused.
	cancelledJobs map[string]time.Time
}

// attachment is a request for the end of a run that was started before.
type attachment struct {
	requester string
	request   *wire.RunRequest
	// expires is the time at which the attachment is dropped.
	expires time.Time
}

// SetOwned replaces the set of upstreams that this entry owns. The token is the
// revision of the registrations from which the ownership was computed.
func (r *Runner) SetOwned(ctx context.Context, token int64, list []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owned == nil {
		r.owned = make(map[string]*ownedUpstream)
		r.concluded = r.Log.Sample(&zerolog.BurstSampler{Burst: concludedPerSecond, Period: time.Second})
		r.unanswered = r.Log.Sample(&zerolog.BurstSampler{Burst: unansweredPerSecond, Period: time.Second})
	}
	r.token = max(r.token, token)
	listed := make(map[string]bool, len(list))
	gained, lost := 0, 0
	for _, u := range list {
		listed[u.Name] = true
		if h := r.owned[u.Name]; h != nil {
			h.update(u)
			continue
		}
		h := newOwnedUpstream(r, u, r.token)
		for _, former := range r.released {
			h.inheritStarts(former)
		}
		r.owned[u.Name] = h
		gained++
		if r.Observer != nil {
			r.Observer.Takeover()
		}
		go h.pollLoop(ctx)
	}
	r.attachPending(ctx)
	r.released = slices.DeleteFunc(r.released, (*ownedUpstream).isSettled)
	for name, h := range r.owned {
		if !listed[name] {
			h.release()
			r.released = append(r.released, h)
			delete(r.owned, name)
			lost++
			go r.Changed(name)
		}
	}
	if gained+lost > 0 {
		r.Log.Info().Int64("token", r.token).Int("gained", gained).Int("lost", lost).Int("owned", len(r.owned)).Msg("ownership_changed")
	}
}

// SetUnlisted names upstreams that have vanished from the list and are not known to have answered
// their last owner, so that a former one that is not registered may still serve them. All entries
// wait for these until HasAnswered, also once they are listed again: their owner may be restarted and know
// nothing of them, or have been asked before it read the list.
func (r *Runner) SetUnlisted(list []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[string]bool)
	for _, h := range r.released {
		if h.unlisted {
			known[h.name()] = true
		}
	}
	for _, u := range list {
		if known[u.Name] {
			continue
		}
		h := newOwnedUpstream(r, u, r.token)
		h.released, h.unlisted = true, true
		r.released = append(r.released, h)
	}
}

// Request starts a run for a requester, or attaches the requester to a run that
// was started before. Ended is called in either case, also for a run that did
// not start.
func (r *Runner) Request(ctx context.Context, requester string, q *wire.RunRequest) {
	r.Log.Debug().Str("task", q.GetTask()).Uint64("run", q.GetRun()).Str("upstream", q.GetUpstream()).
		Str("requester", requester).Bool("attach", q.GetAttach()).Msg("run_requested")
	if r.isRetired(q.GetHolder()) {
		if !q.GetAttach() {
			r.reportEnd(requester, q, wire.RunEnd_refused)
		}
		// A run that was started before may be done. The requester learns soon that its holder is lost,
		// and must not start the task again until then.
		return
	}
	if q.GetAttach() {
		r.attach(ctx, requester, q)
		return
	}
	if !r.isListed(q.GetHolder()) {
		time.AfterFunc(unlistedDelay, func() { r.reportEnd(requester, q, wire.RunEnd_refused) })
		return
	}
	h := r.find(q.GetUpstream())
	if h == nil {
		r.reportEnd(requester, q, wire.RunEnd_refused)
		return
	}
	h.start(ctx, requester, q)
}

// attach makes the requester receive the end of a run that was started before.
// The requester may learn that this entry owns the upstream before the entry
// does. The attachment is then stored, as only the owner can tell that a run is
// absent. So is that of a holder that is not listed: an earlier process of this entry may have retired
// it, and it must not learn that the run is over and start the task again.
func (r *Runner) attach(ctx context.Context, requester string, q *wire.RunRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := attachment{requester, q, time.Now().Add(endRetention)}
	if !r.isListed(q.GetHolder()) {
		a.expires = time.Now().Add(unlistedRetention)
	} else if h := r.owned[q.GetUpstream()]; h != nil {
		h.attach(ctx, requester, q)
		return
	}
	r.pendingAttachments = append(r.pendingAttachments, a)
}

// attachPending applies the attachments that waited for the ownership of their
// upstreams, or for their holders, and drops expired ones; the caller holds the lock.
func (r *Runner) attachPending(ctx context.Context) {
	now := time.Now()
	r.pendingAttachments = slices.DeleteFunc(r.pendingAttachments, func(a attachment) bool {
		h := r.owned[a.request.GetUpstream()]
		attached := h != nil && r.isListed(a.request.GetHolder())
		if attached {
			h.attach(ctx, a.requester, a.request)
		}
		return attached || now.After(a.expires)
	})
}

// Cancel stops a run of a requester. Its end is reported as for any other run.
func (r *Runner) Cancel(ctx context.Context, requester string, c *wire.RunCancel) {
	r.Log.Debug().Str("task", c.GetTask()).Uint64("run", c.GetRun()).Str("upstream", c.GetUpstream()).
		Str("requester", requester).Msg("run_cancelled")
	r.dropPending(func(a attachment) bool {
		return a.requester == requester && a.request.GetUpstream() == c.GetUpstream() && a.request.GetTask() == c.GetTask() && a.request.GetRun() == c.GetRun()
	})
	if h := r.find(c.GetUpstream()); h != nil {
		h.cancel(ctx, requester, key{c.GetTask(), c.GetRun()})
	}
}

// dropPending drops the matching attachments that wait for an ownership.
func (r *Runner) dropPending(match func(attachment) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingAttachments = slices.DeleteFunc(r.pendingAttachments, match)
}

// Detach records that the connection to a requester was lost. A cancellation may have
// been lost with it, so the requester attaches to each of its runs that it still needs
// once it is connected again.
func (r *Runner) Detach(requester string) {
	r.dropPending(func(a attachment) bool { return a.requester == requester })
	now := time.Now()
	for _, h := range r.ownedUpstreams() {
		h.detach(requester, now)
	}
}

// CancelDetached stops the runs of a requester that were detached by the given time
// and that it has not attached to since, and returns their number. With kept it also
// stops those of kept jobs. These go on while their requester is unreachable, which may
// only be slow; if it is dead, the entry that takes over the job has them stopped by this
// one, as long as this one is registered.
func (r *Runner) CancelDetached(ctx context.Context, requester string, by time.Time, kept bool) int {
	n := 0
	for _, h := range r.ownedUpstreams() {
		n += h.cancelDetached(ctx, requester, by, kept)
	}
	return n
}

// HasRunsOf reports whether there are runs of a requester.
func (r *Runner) HasRunsOf(requester string) bool {
	for _, h := range r.ownedUpstreams() {
		if h.hasRunsOf(requester) {
			return true
		}
	}
	return false
}

// States describes all owned upstreams.
func (r *Runner) States() []*wire.UpstreamState {
	list := r.ownedUpstreams()
	out := make([]*wire.UpstreamState, 0, len(list))
	for _, h := range list {
		out = append(out, h.state())
	}
	return out
}

// State describes one upstream; the token is 0 if this entry does not own it.
func (r *Runner) State(name string) *wire.UpstreamState {
	if h := r.find(name); h != nil {
		return h.state()
	}
	return &wire.UpstreamState{Upstream: name}
}

// EvacuationChanged must be called after the result of Evacuated changed for any failure
// domain. It tells the other entries which upstreams are usable.
func (r *Runner) EvacuationChanged() {
	for _, h := range r.ownedUpstreams() {
		h.mu.Lock()
		h.refreshPublication(time.Now())
		h.mu.Unlock()
		r.Changed(h.name())
	}
}

// RunCount returns the number of runs on all owned upstreams.
func (r *Runner) RunCount() int {
	n := 0
	for _, h := range r.ownedUpstreams() {
		n += h.count()
	}
	return n
}

func (r *Runner) find(name string) *ownedUpstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.owned[name]
}

func (r *Runner) ownedUpstreams() []*ownedUpstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*ownedUpstream, 0, len(r.owned))
	for _, h := range r.owned {
		out = append(out, h)
	}
	return out
}

func (r *Runner) releasedUpstreams() []*ownedUpstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Clone(r.released)
}

// latestToken returns the highest fencing token that this entry may use.
func (r *Runner) latestToken() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.token
}

// lastSeen returns the time at which a requester was last known to be alive.
func (r *Runner) lastSeen(requester string, now time.Time) time.Time {
	if r.LastSeen == nil {
		return now
	}
	return r.LastSeen(requester)
}

// renewableUntil returns the time up to which the lease may be renewed for the runs of a
// requester. Those of kept jobs, which have a holder, go on while it is unreachable, as long as
// whoever takes the jobs over can have this entry stop them.
func (r *Runner) renewableUntil(requester, holder string, now time.Time) time.Time {
	if holder != "" && (r.Registered == nil || r.Registered()) {
		return now.Add(LeaseTTL)
	}
	return r.lastSeen(requester, now).Add(LeaseTTL)
}

// reportEnd tells a requester that its run has finished, and why.
func (r *Runner) reportEnd(requester string, q *wire.RunRequest, cause wire.RunEnd_Cause) {
	r.sendEnd(requester, q, cause, false)
}

// sendEnd is like reportEnd, and also tells whether the upstream is known to have
// started the run.
func (r *Runner) sendEnd(requester string, q *wire.RunRequest, cause wire.RunEnd_Cause, begun bool) {
	if requester == "" {
		return
	}
	r.Log.Debug().Str("task", q.GetTask()).Uint64("run", q.GetRun()).Str("upstream", q.GetUpstream()).
		Str("requester", requester).Stringer("cause", cause).Msg("run_ended")
	r.Ended(requester, &wire.RunEnd{
		Task: q.GetTask(), Run: q.GetRun(), Upstream: q.GetUpstream(), Cause: cause, Holder: q.GetHolder(), Begun: begun, Sequence: q.GetSequence(),
	})
}

// AmountFromWire converts an amount from its wire form.
func AmountFromWire(a *wire.Amount) packer.Amount {
	return packer.Amount{CPU: a.GetCpu(), Memory: a.GetMemory(), GPU: a.GetGpu()}
}

// AmountToWire converts an amount to its wire form.
func AmountToWire(a packer.Amount) *wire.Amount {
	return &wire.Amount{Cpu: a.CPU, Memory: a.Memory, Gpu: a.GPU}
}
