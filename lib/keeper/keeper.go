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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

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
	Keep(j coordinator.Job)
	Release(id string)
	Safe(list []coordinator.End)
	Begun(id string) bool
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
	k.Jobs.Keep(job)
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

// TaskEnded implements coordinator.Keeper.
func (k *Keeper) TaskEnded(id string, index uint32, done bool, e coordinator.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.jobs[id]
	if x == nil {
		return
	}
	x.count(index, done)
	x.ends = append(x.ends, e)
	if x.timed || x.writing {
		x.dirty = true
		return
	}
	x.timed, x.dirty = true, true
	time.AfterFunc(progressDelay, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		x.timed = false
		k.flush(x)
	})
}

// count notes the end of a run in the record.
func (x *kept) count(index uint32, done bool) {
	if done {
		x.record.Done = append(x.record.Done, index)
		return
	}
	if x.record.Failures == nil {
		x.record.Failures = make(map[uint32]uint32)
	}
	x.record.Failures[index]++
}

// JobEnded implements coordinator.Keeper.
func (k *Keeper) JobEnded(id string, s coordinator.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.jobs[id]
	if x == nil || x.record.GetState() != wire.KeptJob_open {
		return
	}
	x.record.State = wire.KeptJob_complete
	if s == coordinator.Failed {
		x.record.State = wire.KeptJob_failed
	}
	x.dirty = true
	k.flush(x)
}

// flush writes the record if it changed; the caller holds the lock.
func (k *Keeper) flush(x *kept) {
	if x.writing || !x.dirty || k.jobs[x.id] != x {
		return
	}
	x.writing, x.dirty = true, false
	x.pending, x.ends = append(x.pending, x.ends...), nil
	if x.record.GetState() != wire.KeptJob_open {
		// Nobody runs it any more.
		x.record.Spec, x.record.Done, x.record.Failures = "", nil, nil
	}
	state := x.record.GetState()
	w := platform.Write{Key: Prefix + x.id, Value: encode(x.record), Expected: x.revision}
	k.Commits.Commit(w, func(revision int64, err error) { k.flushed(x, state, revision, err) })
}

// flushed takes the fate of a write.
func (k *Keeper) flushed(x *kept, state wire.KeptJob_State, revision int64, err error) {
	k.mu.Lock()
	x.writing = false
	switch {
	case err == nil:
		safe := x.pending
		x.revision, x.stored, x.pending = revision, state, nil
		k.flush(x)
		if state != wire.KeptJob_open && !x.writing {
			time.AfterFunc(retention, func() { k.remove(x) })
		}
		k.mu.Unlock()
		k.Jobs.Safe(safe)
	case isConflict(err):
		// What was to be written is written with the next change.
		x.dirty = true
		k.mu.Unlock()
		go k.reload(x)
	default:
		x.dirty = true
		time.AfterFunc(retryInterval, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.flush(x)
		})
		k.mu.Unlock()
	}
}

// remove deletes a job whose outcome was kept for long enough.
func (k *Keeper) remove(x *kept) {
	k.forget(x)
	k.Commits.Commit(platform.Write{Key: Prefix + x.id, Expected: x.revision, Delete: true}, func(int64, error) {
		// Whoever changed the record since removes it.
	})
}

// reload reads the record of a job that somebody else changed: the job was
// cancelled or taken over.
func (k *Keeper) reload(x *kept) {
	k.mu.Lock()
	holder := x.record.GetHolder()
	k.mu.Unlock()
	var record *wire.KeptJob
	var revision int64
	for {
		kv, err := k.read(context.Background(), x.id)
		if err == nil {
			record, revision = decode(kv.Value), kv.Revision
			break
		}
		if k.Identity.Holder() != holder {
			break
		}
		time.Sleep(retryInterval)
	}
	k.mu.Lock()
	if k.jobs[x.id] != x || x.record.GetState() == wire.KeptJob_cancelled {
		k.mu.Unlock()
		return
	}
	if revision != 0 && record.GetState() == wire.KeptJob_open && record.GetHolder() == holder {
		// Nobody else changed it.
		x.revision = revision
		k.flush(x)
		k.mu.Unlock()
		return
	}
	cancelled := record.GetState() == wire.KeptJob_cancelled
	safe := append(x.pending, x.ends...)
	x.pending, x.ends = nil, nil
	if cancelled {
		x.record, x.stored, x.revision = record, record.GetState(), revision
		time.AfterFunc(retention, func() { k.remove(x) })
	} else {
		delete(k.jobs, x.id)
	}
	k.mu.Unlock()
	k.Log.Info().Str("job", x.id).Bool("cancelled", cancelled).Str("holder", record.GetHolder()).Msg("job_changed_elsewhere")
	k.Jobs.Release(x.id)
	if cancelled {
		k.Jobs.Safe(safe)
	}
}

// read reads a record; a missing one has revision 0.
func (k *Keeper) read(ctx context.Context, id string) (platform.KeyValue, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Store.Get(call, Prefix+id)
}

// State returns the state of a job: queued, running, complete, failed or
// cancelled; empty if no such job exists.
func (k *Keeper) State(ctx context.Context, id string) (string, error) {
	k.mu.Lock()
	x := k.jobs[id]
	held := x != nil && x.revision != 0 && (x.stored != wire.KeptJob_open || k.Identity.Holder() == x.record.GetHolder())
	if held {
		state := x.stored
		k.mu.Unlock()
		return k.describe(state, func() bool { return k.Jobs.Begun(id) }), nil
	}
	k.mu.Unlock()
	kv, err := k.read(ctx, id)
	if err != nil || kv.Revision == 0 {
		return "", err
	}
	record := decode(kv.Value)
	return k.describe(record.GetState(), func() bool { return len(record.GetDone()) > 0 }), nil
}

// describe names a state.
func (k *Keeper) describe(s wire.KeptJob_State, begun func() bool) string {
	switch {
	case s != wire.KeptJob_open:
		return s.String()
	case begun():
		return Running
	}
	return Queued
}

// Cancel ends a job. It returns false if no such job exists or it has ended
// otherwise. An error means that it may go on.
func (k *Keeper) Cancel(ctx context.Context, id string) (bool, error) {
	for range cancelTries {
		kv, err := k.read(ctx, id)
		if err != nil {
			return false, err
		}
		record := decode(kv.Value)
		if kv.Revision == 0 || record.GetState() != wire.KeptJob_open {
			return record.GetState() == wire.KeptJob_cancelled, nil
		}
		holder := record.GetHolder()
		record = &wire.KeptJob{State: wire.KeptJob_cancelled, Queue: record.GetQueue(), Holder: holder, Term: record.GetTerm()}
		fate := make(chan error, 1)
		k.Commits.Commit(platform.Write{Key: Prefix + id, Value: encode(record), Expected: kv.Revision}, func(_ int64, err error) { fate <- err })
		select {
		case err = <-fate:
		case <-ctx.Done():
			return false, ctx.Err()
		}
		switch {
		case err == nil:
			k.changed(id, holder)
			return true, nil
		case !isConflict(err):
			return false, err
		}
	}
	return false, platform.ErrConflict
}

// changed tells the holder of a job that its record was changed here.
func (k *Keeper) changed(id, holder string) {
	name, _, _ := strings.Cut(holder, "@")
	if name == k.Self {
		k.Notice(id)
		return
	}
	k.Peers.Notify(name, id)
}

// Notice takes word that the record of a job was changed by another entry.
func (k *Keeper) Notice(id string) {
	k.mu.Lock()
	x := k.jobs[id]
	k.mu.Unlock()
	if x != nil {
		go k.reload(x)
	}
}

// encode serializes a record; it cannot fail for messages of this schema.
func encode(r *wire.KeptJob) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// decode reads a record; an unreadable one is empty.
func decode(data []byte) *wire.KeptJob {
	r := &wire.KeptJob{}
	if err := proto.Unmarshal(data, r); err != nil {
		return &wire.KeptJob{}
	}
	return r
}
