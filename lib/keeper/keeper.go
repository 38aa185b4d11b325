// Package keeper keeps jobs in the platform's store from their acceptance to
// their end, and takes them over from entries that are gone.
//
// A job is accepted once its record is in the store. The record names its
// holder: the identity, under a lease, of the entry that runs it. What the end of
// a run means is stored before the upstream may forget the end. When a holder is
// gone, one of the registered entries takes its open jobs over: it lets every
// entry end the holder's runs and tell what is listed of them, then writes itself
// into the records. Records change only from one known revision to the next, so
// of two entries that differ about a job one gives it up.
//
// # Usage
//
//	k := &keeper.Keeper{Self: "entry-1", Store: store, Commits: committer, Jobs: coordinator, Identity: enroller, Peers: peers, Log: log}
//	k.Init()
//	go k.Run(ctx)
//	answer := k.Submit(ctx, job)
//	state, err := k.State(ctx, id)
//	cancelled, err := k.Cancel(ctx, id)
package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/wire"
)

// Prefix is common to the keys of kept jobs.
const Prefix = platform.Prefix + "jobs/"

// States of a job that has not ended.
const (
	// Queued: no task has started.
	Queued = "queued"
	// Running: a task may have started.
	Running = "running"
)

const (
	// progressDelay gathers the ends of a job's tasks before they are stored; the
	// last one is stored at once.
	progressDelay = 150 * time.Millisecond
	// retention is how long the outcome of a job can be read.
	retention = 150 * time.Second
	// retryInterval is the pause after a write that the store refused.
	retryInterval = 200 * time.Millisecond
	// callTimeout bounds a read of the store.
	callTimeout = 1500 * time.Millisecond
	// termShift makes room for the runs of one term; a task is started far less
	// often.
	termShift = 16
	// cancelTries bounds how often a cancellation is tried against other writes.
	cancelTries = 20
)

// Jobs runs jobs; a coordinator.Coordinator does.
type Jobs interface {
	SubmitKept(j coordinator.Job)
	Release(id string)
	ReleaseEnds(list []coordinator.End)
	MayHaveStarted(id string) bool
	Refuses(j coordinator.Job) (coordinator.Answer, bool)
}

// Identity is the identity of this entry and those of the others.
type Identity interface {
	// Hold returns the identity, and takes one if there is none.
	Hold(ctx context.Context) (string, error)
	// Holder returns it; empty if others may have taken the jobs over.
	Holder() string
	// Holders returns those that are in the store.
	Holders() map[string]bool
}

// Peers are the registered entries.
type Peers interface {
	// Names returns the incarnation of each by its name, this entry included.
	Names() map[string]string
	// Claim asks an entry to end the runs of a holder; Claimed is called in turn.
	Claim(peer, holder string)
	// Notify tells an entry that somebody changed the record of a job.
	Notify(peer, job string)
	// KeepJobs tells all entries that there are kept jobs, KeepNothing this one that
	// there are none.
	KeepJobs()
	KeepNothing()
}

// Commits writes changes; a committer.Committer does.
type Commits interface {
	Commit(w platform.Write, done func(revision int64, err error))
}

// Keeper holds the kept jobs of this entry. Exported fields are set before Run.
type Keeper struct {
	Self     string
	Store    platform.Store
	Commits  Commits
	Jobs     Jobs
	Identity Identity
	Peers    Peers
	// Log receives events.
	Log zerolog.Logger

	mu   sync.Mutex
	jobs map[string]*kept
	// strays are ends of jobs that this entry does not hold yet.
	strays map[string][]stray
	// claims are the holders whose jobs this entry takes over.
	claims map[string]*claim
	review chan struct{}
	// keeping is true once there are kept jobs somewhere.
	keeping atomic.Bool
}

// kept is one job of this entry.
type kept struct {
	id     string
	record *wire.KeptJob
	// revision is that of the stored record, 0 before the first write.
	revision int64
	// stored is the state in the store.
	stored wire.KeptJob_State
	// writing is true while a write is under way, dirty if there is more to write.
	writing, dirty, timed bool
	// ends are not stored yet.
	ends []coordinator.End
	// pending are the ends of the write that is under way.
	pending []coordinator.End
	// ready is closed once the acceptance is decided.
	ready  chan struct{}
	answer coordinator.Answer
}

// accepted is the answer for a job that is in the store.
var accepted = coordinator.Answer{State: coordinator.Accepted}

// Init prepares the keeper; it is called once before any other method.
func (k *Keeper) Init() {
	k.jobs, k.strays = make(map[string]*kept), make(map[string][]stray)
	k.claims, k.review = make(map[string]*claim), make(chan struct{}, 1)
}

// Holder implements coordinator.Keeper.
func (k *Keeper) Holder() string { return k.Identity.Holder() }

// KeepJobs tells that there are kept jobs somewhere.
func (k *Keeper) KeepJobs() { k.keeping.Store(true) }

// Submit stores a job and answers once its fate is known: Accepted, Refused if it
// is certainly not stored, or Expired if that is not known.
func (k *Keeper) Submit(ctx context.Context, in coordinator.Job) coordinator.Answer {
	k.mu.Lock()
	x := k.jobs[in.ID]
	k.mu.Unlock()
	if x == nil {
		if a, refused := k.Jobs.Refuses(in); refused {
			return k.refuse(ctx, in.ID, a)
		}
		holder, err := k.Identity.Hold(ctx)
		if err != nil {
			k.Log.Warn().Str("job", in.ID).Err(err).Msg("job_not_stored")
			return coordinator.Answer{State: coordinator.Refused, Reason: "the store cannot be reached", RetryAfter: time.Second}
		}
		k.KeepJobs()
		k.Peers.KeepJobs()
		x = k.accept(in, holder)
	}
	select {
	case <-x.ready:
		return x.answer
	case <-ctx.Done():
		return coordinator.Answer{State: coordinator.Expired, Reason: "the store has not answered"}
	}
}

// refuse turns a job away unless an earlier attempt was stored.
func (k *Keeper) refuse(ctx context.Context, id string, a coordinator.Answer) coordinator.Answer {
	kv, err := k.read(ctx, id)
	switch {
	case err != nil:
		k.Log.Info().Str("job", id).Err(err).Msg("refusal_not_certain")
		return coordinator.Answer{State: coordinator.Expired, Reason: "the store has not answered"}
	case kv.Revision != 0:
		return accepted
	}
	return a
}

// accept begins to store a job, unless that is under way.
func (k *Keeper) accept(in coordinator.Job, holder string) *kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.jobs[in.ID]; x != nil {
		return x
	}
	x := &kept{id: in.ID, record: recordOf(in, holder), ready: make(chan struct{})}
	k.jobs[in.ID] = x
	k.Commits.Commit(platform.Write{Key: Prefix + in.ID, Value: encode(x.record)}, func(revision int64, err error) {
		k.accepted(x, revision, err)
	})
	return x
}

// accepted takes the fate of the first write of a job.
func (k *Keeper) accepted(x *kept, revision int64, err error) {
	switch {
	case err == nil:
		k.mu.Lock()
		x.revision, x.answer = revision, accepted
		// An identity that ended meanwhile leaves the job to whoever takes it over.
		current := k.jobs[x.id] == x && k.Identity.Holder() == x.record.GetHolder()
		if !current && k.jobs[x.id] == x {
			delete(k.jobs, x.id)
		}
		job := jobOf(x.id, x.record)
		k.mu.Unlock()
		if current {
			k.keep(x, job)
		}
		close(x.ready)
		return
	case isConflict(err):
		// Another entry stored it before, or this one in an earlier life.
		x.answer = accepted
	case isUnavailable(err):
		x.answer = coordinator.Answer{State: coordinator.Refused, Reason: "the store cannot be reached", RetryAfter: time.Second}
	default:
		x.answer = coordinator.Answer{State: coordinator.Expired, Reason: "the store has not answered"}
	}
	k.forget(x)
	close(x.ready)
}

// keep gives a stored job to those that run it, unless it was cancelled or given
// up meanwhile.
func (k *Keeper) keep(x *kept, job coordinator.Job) {
	k.Jobs.SubmitKept(job)
	k.mu.Lock()
	over := k.jobs[x.id] != x || x.record.GetState() == wire.KeptJob_cancelled
	k.mu.Unlock()
	if over {
		k.Jobs.Release(x.id)
	}
}

// forget drops a job from memory.
func (k *Keeper) forget(x *kept) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.jobs[x.id] == x {
		delete(k.jobs, x.id)
	}
}
