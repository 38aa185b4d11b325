// Package coordinator brings the jobs of this entry's callers to upstreams.
//
// A job waits until enough upstreams have room for its tasks, then its tasks
// are sent to the owners of these upstreams. A job that can no longer be
// answered in time and of which nothing was started is refused. A job that was
// started stays until all its tasks are done, one failed too often, or the
// caller's deadline passed.
//
// # Usage
//
//	c := &coordinator.Coordinator{Self: "entry-1", Domain: "domain-1", Local: runner, Remote: peers, Log: log}
//	go c.Run(ctx)
//	answer := c.Submit(ctx, job)
//
// The state of the fleet comes through Upstreams, Update, Up and Down, the ends
// of runs through Ended. Nothing here knows of the network.
package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/wire"
)

// Local runs tasks on the upstreams that this entry owns.
type Local interface {
	Request(ctx context.Context, requester string, q *wire.RunRequest)
	Cancel(ctx context.Context, c *wire.RunCancel)
	// Safe tells that the end of a kept run may be forgotten.
	Safe(s *wire.RunSafe)
}

// Remote sends messages to the owners of other upstreams; false if a peer is
// down.
type Remote interface {
	Send(peer string, add func(f *wire.PeerFrame)) bool
}

// Observer counts jobs.
type Observer interface {
	// Job tells the outcome of a job and the time until its answer.
	Job(kind, state, reason string, total time.Duration)
	// Placed tells that a task was sent to an upstream: one of this entry's own or
	// not, in its failure domain or not.
	Placed(own, near bool)
	// Retry tells that a task must run again, and how its run ended.
	Retry(cause string)
	// LeftOut tells that the line about a job was not written.
	LeftOut(state string)
}

// Coordinator holds the open jobs of one entry. Exported fields are set before
// Run.
type Coordinator struct {
	// Self is the name of this entry.
	Self string
	// Domain is its failure domain.
	Domain string
	// PeerSilence is how long a peer may be silent before it is down.
	PeerSilence time.Duration
	// FarFactor is how many times as long tasks take away from their data.
	FarFactor float64
	Local     Local
	Remote    Remote
	Observer  Observer
	// Keeper stores what becomes of kept jobs; nil if there are none.
	Keeper Keeper
	// Log receives events.
	Log zerolog.Logger

	wake     chan struct{}
	ctx      context.Context
	refusals zerolog.Logger
	leftOut  leftOut

	mu   sync.Mutex
	jobs map[string]*job
	// keptOpen counts the kept ones, holder is the identity whose jobs may be run.
	keptOpen int
	holder   string
	waiting  []*job
	sites    map[string]*site
	services map[string][]*site
	links    map[string]*link
	kinds    map[string]*kind
	// past holds answered jobs for pastMemory.
	past  map[string]past
	swept time.Time
	// started counts core-seconds of started work, rooms the cores.
	started flow
	rooms   flow
	// surveys are those of the last pass by service. The rate is the work that this
	// entry gets started, in core-seconds for each second: what it got lately, or
	// its share of the fleet if that is more.
	surveys  map[string]*survey
	lookedAt time.Time
	rate     float64
	scratch  []packer.Candidate
}

// message is a request or a cancellation for the owner of an upstream.
type message struct {
	owner  string
	start  *wire.RunRequest
	cancel *wire.RunCancel
	safe   *wire.RunSafe
}

// Init prepares the coordinator; it is called once before any other method.
func (c *Coordinator) Init(ctx context.Context) {
	c.ctx = ctx
	c.leftOut.observer = c.Observer
	c.refusals = c.Log.Sample(&zerolog.BurstSampler{Burst: refusalsPerSecond, Period: time.Second, NextSampler: &c.leftOut})
	c.wake = make(chan struct{}, 1)
	c.jobs, c.sites = make(map[string]*job), make(map[string]*site)
	c.past = make(map[string]past)
	c.links, c.kinds = make(map[string]*link), make(map[string]*kind)
}

// Run places waiting tasks until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	var last time.Time
	t, second := time.NewTimer(0), time.NewTicker(time.Second)
	defer t.Stop()
	defer second.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-second.C:
			c.reportLeftOut()
			continue
		case <-c.wake:
			// Everything that happens within the gap is taken in one pass.
			if gap := time.Until(last.Add(passGap)); gap > 0 {
				t.Reset(gap)
				continue
			}
		case <-t.C:
		}
		last = time.Now()
		t.Reset(c.Pass(last))
	}
}

// Wake makes Run look at the waiting tasks.
func (c *Coordinator) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Submit takes a job and waits for its answer. A second submission of an open
// job gets the same answer. When ctx ends the caller has left.
func (c *Coordinator) Submit(ctx context.Context, in Job) Answer {
	c.mu.Lock()
	j := c.jobs[in.ID]
	if j == nil {
		past := c.past[in.ID]
		if past.answer.State == Complete || past.answer.State == Failed {
			c.mu.Unlock()
			return past.answer
		}
		j = newJob(in, past.run)
		if !c.possible(j) {
			defer c.mu.Unlock()
			return c.refuse(j, "no upstream is large enough")
		}
		c.jobs[j.ID] = j
		c.enqueue(j)
	}
	j.joined++
	c.mu.Unlock()
	c.Wake()
	select {
	case a := <-j.answer:
		j.answer <- a
		return a
	case <-ctx.Done():
		return c.leave(j)
	}
}

// enqueue ranks a job and puts it into the queue; the caller holds the lock.
func (c *Coordinator) enqueue(j *job) {
	k := c.kinds[j.Kind]
	if k == nil {
		k = &kind{at: j.Arrived, served: 1}
		c.kinds[j.Kind] = k
	}
	s := size(&j.Job)
	k.arrive(j.Arrived, s)
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
	rank := func(j *job) float64 { return j.value * ranks[j.Kind] * lateness(j, now) }
	slices.SortFunc(c.waiting, func(a, b *job) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), a.Arrived.Compare(b.Arrived))
	})
}

// leave takes a caller that does not wait any longer.
func (c *Coordinator) leave(j *job) Answer {
	c.mu.Lock()
	j.joined--
	var out []message
	if j.joined == 0 && c.jobs[j.ID] == j {
		out = c.close(j, Answer{State: Cancelled, Reason: "the caller left"})
	}
	c.mu.Unlock()
	c.emit(out)
	return Answer{State: Cancelled}
}

// close answers a job and returns the cancellations of what still runs; the
// caller holds the lock.
func (c *Coordinator) close(j *job, a Answer) []message {
	delete(c.jobs, j.ID)
	if j.kept() {
		c.keptOpen--
	} else {
		c.remember(j, a)
	}
	if i := slices.Index(c.waiting, j); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
	var out []message
	for _, t := range j.tasks {
		if t.placed {
			out = append(out, message{owner: t.owner, cancel: &wire.RunCancel{Upstream: t.upstream, Task: t.name(), Run: t.run}})
		}
	}
	c.observe(j, a)
	if k := c.kinds[j.Kind]; k != nil {
		k.answer(a.State == Refused)
	}
	j.answer <- a
	return out
}

// observe counts and logs an answer; the caller holds the lock.
func (c *Coordinator) observe(j *job, a Answer) {
	now := time.Now()
	if c.Observer != nil {
		c.Observer.Job(j.Kind, a.State.String(), a.Reason, now.Sub(j.Arrived))
	}
	late := now.Sub(j.Due)
	if a.State == Complete && late <= 0 {
		return
	}
	log := &c.Log
	if a.State == Refused {
		// Refusals come in floods; the counters hold them all.
		log = &c.refusals
	}
	line := log.Info()
	if !line.Enabled() {
		return
	}
	usable, peers := c.reach(j.Service)
	line.Str("job", j.ID).Str("kind", j.Kind).Stringer("state", a.State).Str("reason", a.Reason).
		Int64("after_ms", now.Sub(j.Arrived).Milliseconds()).Int64("late_ms", late.Milliseconds()).
		Int("tasks", len(j.tasks)).Int("done", j.done).Int("placed", j.placed).Bool("begun", j.begun).
		Strs("missed_at", j.missed()).Int("waiting", len(c.waiting)).
		Int("upstreams_usable", usable).Int("peers_up", peers).Msg("job_ended")
}

// refuse answers a job of which nothing was started; the caller holds the lock.
func (c *Coordinator) refuse(j *job, reason string) Answer {
	a := Answer{State: Refused, Reason: reason, RetryAfter: longestRetry}
	c.observe(j, a)
	return a
}

// emit sends messages; the caller does not hold the lock.
func (c *Coordinator) emit(list []message) {
	for _, m := range list {
		switch {
		case m.safe != nil && m.owner == c.Self:
			c.Local.Safe(m.safe)
		case m.safe != nil:
			c.Remote.Send(m.owner, func(f *wire.PeerFrame) { f.Safe = append(f.Safe, m.safe) })
		case m.owner == c.Self && m.start != nil:
			c.Local.Request(c.ctx, c.Self, m.start)
		case m.owner == c.Self:
			c.Local.Cancel(c.ctx, m.cancel)
		case m.start != nil:
			c.Remote.Send(m.owner, func(f *wire.PeerFrame) { f.Requests = append(f.Requests, m.start) })
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
