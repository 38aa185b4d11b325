// Package coordinator schedules the jobs of this entry's callers on upstreams.
//
// A job waits until enough upstreams have free capacity for its tasks. Then run
// requests for the tasks are sent to the owners of these upstreams. A job that
// can no longer be answered in time is refused, unless one of its tasks may have
// been started. A started job stays open until all its tasks are done, one of
// them failed too often, or the caller's deadline passed.
//
// A kept job is a durable job: its record is in the platform's store from
// acceptance to end, and it runs whether or not a caller waits for it.
//
// # Usage
//
//	c := &coordinator.Coordinator{Self: "entry-1", Domain: "domain-1", Local: runner, Remote: peers, Log: log}
//	c.Init(ctx)
//	go c.Run(ctx)
//	answer := c.Submit(ctx, job)
//
// SetUpstreams, UpdateStates, PeerUp and PeerDown report the state of the fleet,
// and RunEnded reports the ends of runs. The package does no network I/O itself.
package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/delegator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/prober"
	"radishweir.org/lib/throttler"
	"radishweir.org/lib/wire"
)

// Local runs tasks on the upstreams that this entry owns.
type Local interface {
	Request(ctx context.Context, requester string, q *wire.RunRequest)
	Cancel(ctx context.Context, requester string, c *wire.RunCancel)
	// Safe reports that the end of a kept job's run is stored, so that the upstream
	// may forget it.
	Safe(s *wire.RunSafe)
}

// Remote sends messages to other entries, the owners of the other upstreams.
type Remote interface {
	// Send adds a message to the next frame for a peer; it returns false if the peer
	// is down.
	Send(peer string, add func(f *wire.PeerFrame)) bool
}

// Observer records metrics about jobs and tasks.
type Observer interface {
	// Job records the outcome of a job and the time until its answer.
	Job(kind, state, reason string, total time.Duration)
	// Placed records that a task was sent to an upstream, whether this entry owns
	// the upstream, and whether both are in the same failure domain.
	Placed(own, sameDomain bool)
	// Retry records that a task must run again, and how its last run ended.
	Retry(cause string)
	// Delegation records a step of handing a job to a peer: sent, answered, refused or
	// lost.
	Delegation(result string)
	// LogLineSuppressed records that a log line about a job in the given state, or about
	// a run, was not written.
	LogLineSuppressed(state string)
}

// Coordinator holds the open jobs of one entry. Exported fields are set before
// Run.
type Coordinator struct {
	// Self is the name of this entry.
	Self string
	// Domain is the failure domain of this entry.
	Domain string
	// PeerTimeout is how long a peer may be silent before it counts as down.
	PeerTimeout time.Duration
	// FarFactor is the factor by which the run time of a task grows on an upstream
	// that is not near the task's data.
	FarFactor float64
	Local     Local
	Remote    Remote
	Observer  Observer
	// Evacuated reports whether no run may start on the upstreams of a failure domain.
	// It is called with locks held and must be fast; nil means that none is evacuated.
	Evacuated func(domain string) bool
	// Throttle decides how much capacity is left free for jobs that have begun and for
	// the most urgent ones.
	Throttle throttler.Throttler
	// Interference returns by how much the slowness of an upstream counts more for a task of
	// a kind, with the given numbers of runs by kind there; nil if that is not measured.
	Interference func(kind string, beside map[string]uint32) float64
	// TightPacking chooses upstreams by the capacity that stays unused while capacity is
	// short.
	TightPacking bool
	// Delegation decides which jobs are handed to other entries. EncodeDelegation builds
	// the message that does so.
	Delegation       delegator.Policy
	EncodeDelegation func(j Job, number uint64, now time.Time) (*wire.DelegatedJob, error)
	// Keeper stores the progress of kept jobs; nil if there are none.
	Keeper Keeper
	// MaxKeptMemory is the memory in bytes that open kept jobs may take before no further
	// ones are accepted; 0 for no limit.
	MaxKeptMemory int64
	// Log receives events.
	Log zerolog.Logger

	wake       chan struct{}
	ctx        context.Context
	refusals   limitedLog
	givenUp    limitedLog
	rejections limitedLog

	mu   sync.Mutex
	jobs map[string]*job
	// openKept is the number of kept jobs in jobs.
	openKept int
	// keptMemory is the memory in bytes of the kept jobs in jobs.
	keptMemory int64
	// holder is the leased identity under which this entry may place tasks of kept
	// jobs; empty if it may place none.
	holder  string
	waiting []*job
	// stopAt is the time by which all best-effort jobs are answered; zero unless this
	// entry stops.
	stopAt time.Time
	// upstreams holds the listed and the recently unlisted upstreams by name,
	// services only the listed ones by service, and addresses those with the latest
	// incarnation by address.
	upstreams map[string]*upstreamState
	services  map[string][]*upstreamState
	addresses map[string]*upstreamState
	// hasUnlisted is true while upstreams may hold one that is not listed.
	hasUnlisted bool
	peers       map[string]*peerState
	kinds       map[string]*kindStats
	// answered holds recently answered jobs by ID; purgedAt is the time of its last
	// purge.
	answered map[string]answeredJob
	purgedAt time.Time
	// startedWork measures the work of the placed tasks in core-seconds,
	// startedCores the cores that they reserve.
	startedWork  decayingRate
	startedCores decayingRate
	// near holds the names of the near peers: those that tell this entry at once of
	// each change of their upstreams.
	near map[string]bool
	// snapshots are the snapshots of the last pass by service, fleetSeenAt the time
	// at which their parts about the whole fleet were updated; zero if they must be
	// updated in the next pass.
	snapshots   map[string]*snapshot
	fleetSeenAt time.Time
	// startRate is the work that this entry can start, in core-seconds per
	// second: what it started recently, or its share of the fleet if that is
	// more.
	startRate float64
	delegationState
	// probes decides by service which jobs start although they are expected to be late.
	probes prober.Prober[string]
	// short is true while waiting jobs find no capacity, sizes holds the needs of recent
	// tasks.
	short bool
	sizes packer.Sizes
	// placedInPass is the number of tasks that the current pass has placed.
	placedInPass int
	// marginLogged is true while the log says that new jobs leave capacity free.
	marginLogged bool
	// outbox holds the messages to send, in order; sending is true while a call of
	// sendQueued sends them.
	outbox  []message
	sending bool
	// candidateBuf is reused by each call of candidates.
	candidateBuf []packer.Candidate
}

// message is a message for the owner of an upstream: a run request, a
// cancellation, or a release, which says that the end of a run is stored; or with add
// one for another entry about a delegated job, which delegated holds if it is handed on.
// Exactly one of request, cancel, release and add is set.
type message struct {
	owner   string
	request *wire.RunRequest
	cancel  *wire.RunCancel
	release *wire.RunSafe
	add     func(f *wire.PeerFrame)

	delegated *wire.DelegatedJob
}

// Init prepares the coordinator; it is called once before any other method.
func (c *Coordinator) Init(ctx context.Context) {
	c.ctx = ctx
	c.refusals.init(c.Log, Refused.String(), refusalsPerSecond, c.Observer)
	c.givenUp.init(c.Log, "run_given_up", runsPerSecond, c.Observer)
	c.rejections.init(c.Log, "run_rejected", runsPerSecond, c.Observer)
	c.wake = make(chan struct{}, 1)
	c.probes.Interval = probeInterval
	c.jobs, c.upstreams = make(map[string]*job), make(map[string]*upstreamState)
	c.answered = make(map[string]answeredJob)
	c.peers, c.kinds = make(map[string]*peerState), make(map[string]*kindStats)
}

// Run places waiting tasks until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	var earliest time.Time
	t, second := time.NewTimer(0), time.NewTicker(time.Second)
	defer t.Stop()
	defer second.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-second.C:
			c.reportSuppressed()
			continue
		case <-c.wake:
			// One pass handles all events until the next one is allowed.
			if gap := time.Until(earliest); gap > 0 {
				t.Reset(gap)
				continue
			}
		case <-t.C:
		}
		began := time.Now()
		t.Reset(c.Pass(began))
		earliest = nextPassAllowed(began, time.Now())
	}
}

// nextPassAllowed returns the earliest time of the pass after one of the given
// duration, such that passes take at most maxPassShare of the time also on a slow
// or busy VM.
func nextPassAllowed(began, ended time.Time) time.Time {
	gap := time.Duration(float64(ended.Sub(began)) / maxPassShare)
	return began.Add(min(max(gap, minPassInterval), maxPassGap))
}

// Wake makes Run start a pass soon.
func (c *Coordinator) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Submit accepts a job and waits for its answer. A second submission of an open or
// recently completed or failed job gets the same answer. The end of ctx means that
// the caller left; the job is cancelled when its last caller leaves.
func (c *Coordinator) Submit(ctx context.Context, in Job) Answer {
	c.mu.Lock()
	j := c.jobs[in.ID]
	if j == nil {
		earlier := c.answered[in.ID]
		if earlier.answer.State == Complete || earlier.answer.State == Failed {
			c.mu.Unlock()
			return earlier.answer
		}
		if c.ledger.At(in.ID, time.Now()) {
			// An earlier attempt may still run at the entry that it was handed to.
			c.mu.Unlock()
			return Answer{State: Expired, Reason: "an earlier attempt may still run"}
		}
		j = newJob(in, earlier.lastRun)
		j.receivedAt = time.Now()
		c.updateFit(j)
		if !j.fitsUpstreams() {
			defer c.mu.Unlock()
			return c.refuse(j, noLargeUpstream)
		}
		c.limitToStop(j)
		if c.endsAfterStop(j, j.receivedAt) {
			defer c.mu.Unlock()
			a := c.refusal(j, stopReason, 0)
			c.recordAnswer(j, a)
			return a
		}
		c.jobs[j.ID] = j
		c.enqueue(j)
	}
	// A job that a peer delegated to this entry too is not handed on.
	j.Delegated = j.Delegated || in.Delegated
	j.addCaller(in.CallerGone)
	c.mu.Unlock()
	c.Wake()
	select {
	case a := <-j.answer:
		j.answer <- a
		return a
	case <-ctx.Done():
		return c.callerLeft(j)
	}
}

// enqueue computes the value of a job and adds it to the waiting jobs; the caller
// holds the lock.
func (c *Coordinator) enqueue(j *job) {
	k := c.kinds[j.Kind]
	if k == nil {
		k = &kindStats{lastArrival: j.Arrived, served: 1}
		c.kinds[j.Kind] = k
	}
	k.service, k.priority = j.Service, j.Priority
	s := workOf(&j.Job)
	k.countArrival(j.Arrived, s)
	j.value = k.value(s)
	c.waiting = append(c.waiting, j)
}

// sortWaiting orders the waiting jobs by rank; the caller holds the lock.
func (c *Coordinator) sortWaiting() {
	now := time.Now()
	ranks := make(map[string]float64, len(c.kinds))
	for name, k := range c.kinds {
		ranks[name] = k.rank(1)
	}
	rank := func(j *job) float64 { return j.value * ranks[j.Kind] * lateFactor(j, now) }
	slices.SortFunc(c.waiting, func(a, b *job) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), a.Arrived.Compare(b.Arrived))
	})
}

// callerGone is the answer to a job for which nobody waits any more.
var callerGone = Answer{State: Cancelled, Reason: "the caller left"}

// callerLeft removes a caller that no longer waits, and cancels the job if it
// was the last one.
func (c *Coordinator) callerLeft(j *job) Answer {
	c.mu.Lock()
	j.callers--
	var out []message
	if j.callers == 0 && c.jobs[j.ID] == j {
		out = c.close(j, callerGone)
	}
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	return Answer{State: Cancelled}
}

// close answers a job and returns the cancellations of its remaining runs; the
// caller holds the lock.
func (c *Coordinator) close(j *job, a Answer) []message {
	delete(c.jobs, j.ID)
	if j.kept() {
		c.openKept--
		c.keptMemory -= j.MemoryBytes()
	} else {
		c.rememberAnswer(j, a)
	}
	c.removeWaiting(j)
	var out []message
	if j.delegate != "" {
		out = append(out, c.cancelDelegation(j)...)
	}
	for _, t := range j.tasks {
		if t.placed {
			out = append(out, t.cancelRun()...)
		}
	}
	c.recordAnswer(j, a)
	if k := c.kinds[j.Kind]; k != nil {
		k.countAnswer(a.State == Refused)
	}
	j.answer <- a
	return out
}

// removeWaiting removes a job from the waiting ones; the caller holds the lock.
func (c *Coordinator) removeWaiting(j *job) {
	if i := slices.Index(c.waiting, j); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

// recordAnswer counts and logs an answer; the caller holds the lock.
func (c *Coordinator) recordAnswer(j *job, a Answer) {
	now := time.Now()
	if c.Observer != nil {
		c.Observer.Job(j.Kind, a.State.String(), a.Reason, now.Sub(j.Arrived))
	}
	late, lastRun := now.Sub(j.Due), j.lastRun()
	gone := a.State == Complete && j.abandoned()
	if a.State == Complete && late <= 0 && !gone {
		return
	}
	log := &c.Log
	// Refusals come in floods, so their log lines are limited; the metrics count all of
	// them.
	switch {
	case a.State == Refused && lastRun > 0:
		log = &c.givenUp.Logger
	case a.State == Refused:
		log = &c.refusals.Logger
	}
	line := log.Info()
	if !line.Enabled() {
		return
	}
	usable, peers := c.countReachable(j.Service)
	line.Str("job", j.ID).Str("kind", j.Kind).Stringer("state", a.State).Str("reason", a.Reason).
		Int64("after_ms", now.Sub(j.Arrived).Milliseconds()).Int64("late_ms", late.Milliseconds()).
		Int64("first_start_ms", sinceOrNever(j.firstPlacedAt, j.Arrived)).Int64("last_start_ms", sinceOrNever(j.lastPlacedAt, j.Arrived)).
		Uint64("last_run", lastRun).Bool("caller_gone", gone).Int("placed_at_once", j.placedAtOnce).Int("rejected", j.rejected).Strs("refused_by", j.refusedBy).
		Int("tasks", len(j.tasks)).Int("done", j.done).Int("placed", j.placed).Bool("begun", j.started).
		Strs("missed_at", j.failedOrActiveUpstreams()).Int("waiting", len(c.waiting)).
		Int("upstreams_usable", usable).Int("peers_up", peers).Msg("job_ended")
}

// sinceOrNever returns the milliseconds from one time to another, -1 if the latter is
// zero.
func sinceOrNever(t, from time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(from).Milliseconds()
}

// refuse returns the answer to a job that is not accepted; the caller holds the
// lock.
func (c *Coordinator) refuse(j *job, reason string) Answer {
	a := Answer{State: Refused, Reason: reason, RetryAfter: maxRetryWait}
	c.recordAnswer(j, a)
	return a
}

// enqueueMessages queues messages that the caller sends with sendQueued once it has
// released the lock. A cancellation that overtook its request would have no effect.
func (c *Coordinator) enqueueMessages(list []message) { c.outbox = append(c.outbox, list...) }

// sendQueued sends the queued messages in order unless another call is doing that; the
// caller does not hold the lock.
func (c *Coordinator) sendQueued() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending {
		return
	}
	c.sending = true
	for len(c.outbox) > 0 {
		list := c.outbox
		c.outbox = nil
		c.mu.Unlock()
		c.send(list)
		c.mu.Lock()
	}
	c.sending = false
}

// send sends messages to the owners of upstreams; the caller does not hold the
// lock.
func (c *Coordinator) send(list []message) {
	for _, m := range list {
		switch {
		case m.delegated != nil:
			c.sendDelegation(m)
		case m.add != nil:
			// PeerDown ends the delegations to a peer to which the message cannot be sent.
			c.Remote.Send(m.owner, m.add)
		case m.release != nil && m.owner == c.Self:
			c.Local.Safe(m.release)
		case m.release != nil:
			c.Remote.Send(m.owner, func(f *wire.PeerFrame) { f.Safe = append(f.Safe, m.release) })
		case m.owner == c.Self && m.request != nil:
			c.Local.Request(c.ctx, c.Self, m.request)
		case m.owner == c.Self:
			c.Local.Cancel(c.ctx, c.Self, m.cancel)
		case m.request != nil:
			c.Remote.Send(m.owner, func(f *wire.PeerFrame) { f.Requests = append(f.Requests, m.request) })
		default:
			c.Remote.Send(m.owner, func(f *wire.PeerFrame) { f.Cancels = append(f.Cancels, m.cancel) })
		}
	}
}

// Counts returns the number of open and of waiting jobs.
func (c *Coordinator) Counts() (open, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs), len(c.waiting)
}
