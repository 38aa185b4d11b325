// Package keeper runs kept jobs: durable jobs whose record is in the platform's
// store from acceptance to end. It also takes over the kept jobs of entries that
// are gone.
//
// A job is accepted once its record is in the store. The record names the holder
// of the job, which is the leased identity of the entry that runs it. The result
// of a run is stored before the upstream is allowed to forget the run's end. An end
// that is listed for long is compared with the record of its job, which shows
// whether the job needs it. Any entry may cancel a job; it tells the holder until
// that has confirmed it, as the holder may be unable to read the record.
//
// When a holder is gone, one of the registered entries takes over its open jobs.
// That entry first asks every entry to stop the holder's runs and to report the
// ends that its upstreams still list, and then writes its own holder into the
// records. Entries that own an upstream which they cannot reach answer once package
// relinquisher says that no former owner serves it. Every write is conditional on the revision last read, so if two
// entries act on the same job, one write fails and that entry abandons the job.
//
// # Usage
//
//	k := &keeper.Keeper{Self: "entry-1", Store: store, Committer: committer, Jobs: coordinator, Runs: runner, Identity: enroller, Peers: peers, Log: log}
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

// Prefix is the key prefix of the records of kept jobs.
const Prefix = platform.Prefix + "jobs/"

// States of a job that has not ended.
const (
	// Queued is the state of a job of which no task has started.
	Queued = "queued"
	// Running is the state of a job of which a task may have started.
	Running = "running"
)

const (
	// progressDelay is how long ends of tasks are collected before the record is
	// written. The end of the job is written at once.
	progressDelay = 150 * time.Millisecond
	// outcomeRetention is how long the record of an ended job stays readable.
	outcomeRetention = 150 * time.Second
	// retryInterval is the pause after a failed read or write of the store.
	retryInterval = 200 * time.Millisecond
	// callTimeout bounds the read of one record.
	callTimeout = 1500 * time.Millisecond
	// termShift is the number of low bits of a run number that count a task's runs
	// within one term; the bits above them are the term, which counts the takeovers
	// of the job. A task is started far less than 1<<termShift times in a term.
	termShift = 16
	// maxHolderChecks is the maximum number of attempts to read who holds a job that was
	// stored before. The reviews after the departure of a holder find the job too.
	maxHolderChecks = 5
	// maxCancelAttempts is the most attempts to cancel a job whose record keeps
	// changing.
	maxCancelAttempts = 20
)

// Jobs runs the jobs; coordinator.Coordinator implements it.
type Jobs interface {
	SubmitKept(j coordinator.Job)
	Release(id string)
	ReleaseEnds(list []coordinator.End)
	Wake()
	MarkDone(id string, number int)
	MarkFailed(id string, number int)
	MayHaveStarted(id string) bool
	Pending() map[string]int64
	Refuses(j coordinator.Job) (coordinator.Answer, bool)
}

// Identity provides the holder of this entry and those of the other entries.
type Identity interface {
	// EnsureHolder returns the holder of this entry and acquires one if there
	// is none.
	EnsureHolder(ctx context.Context) (string, error)
	// Holder returns the holder of this entry, or "" if other entries may have
	// taken over its jobs.
	Holder() string
	// Holders returns the holders that are in the store, as far as this entry knows.
	Holders() map[string]bool
	// HolderExists reads from the store whether a holder is there.
	HolderExists(ctx context.Context, holder string) (bool, error)
}

// Peers gives access to the registered entries.
type Peers interface {
	// Incarnations returns the incarnations of the registered entries by name,
	// this entry included.
	Incarnations() map[string]string
	// Confirm reads the registered entries from the store and reports whether Incarnations returns
	// the same.
	Confirm(ctx context.Context) (bool, error)
	// Claim asks an entry to stop the runs of a holder and to report their ends that
	// its upstreams still list. ClaimAnswered is called when the entry has answered.
	Claim(peer, holder string)
	// Notify tells an entry to read the record of a job again.
	Notify(peer, job string)
	// SendCancellation tells an entry that a job is cancelled. It returns false if the entry
	// cannot be reached.
	SendCancellation(peer string, c Cancellation) bool
	// ConfirmCancellation tells an entry that this one does not run a cancelled job any more.
	ConfirmCancellation(peer, job string)
	// AnnounceKeptJobs tells all entries that kept jobs exist.
	AnnounceKeptJobs()
	// ReportNoKeptJobs tells this entry that no kept jobs exist, so that its runner
	// need not retain orphaned ends.
	ReportNoKeptJobs()
}

// Committer writes to the store; committer.Committer implements it.
type Committer interface {
	Commit(w platform.Write, done func(revision int64, err error))
}

// Keeper manages the kept jobs of this entry. Exported fields are set before Run.
type Keeper struct {
	Self      string
	Store     platform.Store
	Committer Committer
	Jobs      Jobs
	Runs      Runs
	Identity  Identity
	Peers     Peers
	// Log receives events.
	Log zerolog.Logger

	mu   sync.Mutex
	jobs map[string]*keptJob
	// orphans holds the ends of runs whose jobs this entry does not hold, by job.
	orphans map[string][]orphanedEnd
	// takeovers holds the takeovers in progress, by holder.
	takeovers map[string]*takeover
	// unheld holds the jobs of lost holders that this entry counts as pending.
	unheld map[string]unheldJob
	review chan struct{}
	// announcements holds the cancellations that their holders have not confirmed, by job,
	// and announced wakes announce.
	announcements map[string]*announcement
	announced     chan struct{}
	// verifyFrom is the position at which the next unattended runs are verified.
	verifyFrom int
	// keptJobsExist is true once any entry is known to have kept jobs.
	keptJobsExist atomic.Bool
}

// keptJob is a kept job of this entry.
type keptJob struct {
	id     string
	record *wire.KeptJob
	// revision is the revision of the stored record, 0 before the first write.
	revision int64
	// storedState is the job's state in the stored record.
	storedState wire.KeptJob_State
	// verifyAt is the time at which the record is compared with the stored one.
	verifyAt time.Time
	// writing is true while a write is in progress, dirty while record has
	// changes that no write includes yet, and flushScheduled while a delayed
	// flush is scheduled.
	writing, dirty, flushScheduled bool
	// unwrittenEnds are the ends that no write includes yet.
	unwrittenEnds []coordinator.End
	// pendingEnds are the ends in writes that have not succeeded yet.
	pendingEnds []coordinator.End
	// unwrittenLosses and pendingLosses are the same for the tasks under which an
	// upstream was lost.
	unwrittenLosses []uint32
	pendingLosses   []uint32
	// ready is closed once answer is set.
	ready  chan struct{}
	answer coordinator.Answer
}

// acceptedAnswer is the answer to the submission of a job that is in the store.
var acceptedAnswer = coordinator.Answer{State: coordinator.Accepted}

// unwrittenAnswer is the answer to the submission of a job that the store did not take.
var unwrittenAnswer = coordinator.Answer{State: coordinator.Refused, Reason: "the store cannot be reached", RetryAfter: time.Second}

// Init prepares the keeper. It must be called once before any other method.
func (k *Keeper) Init() {
	k.jobs, k.orphans = make(map[string]*keptJob), make(map[string][]orphanedEnd)
	k.takeovers, k.unheld = make(map[string]*takeover), make(map[string]unheldJob)
	k.announcements = make(map[string]*announcement)
	k.review, k.announced = make(chan struct{}, 1), make(chan struct{}, 1)
}

// Holder implements coordinator.Keeper.
func (k *Keeper) Holder() string { return k.Identity.Holder() }

// SetKeptJobsExist records that kept jobs exist on some entry. From then on Run
// reads the records whenever TriggerReview is called.
func (k *Keeper) SetKeptJobsExist() { k.keptJobsExist.Store(true) }

// Submit stores a job and returns Accepted if it is stored, Refused if this submission
// certainly did not store it, or Expired if the outcome is unknown. A refused job is not
// stored by an earlier submission either, unless the store could not be read.
func (k *Keeper) Submit(ctx context.Context, in coordinator.Job) coordinator.Answer {
	k.mu.Lock()
	j := k.jobs[in.ID]
	k.mu.Unlock()
	if j == nil {
		if a, refused := k.Jobs.Refuses(in); refused {
			return k.refuse(ctx, in.ID, a)
		}
		holder, err := k.Identity.EnsureHolder(ctx)
		if err != nil {
			k.Log.Warn().Str("job", in.ID).Err(err).Msg("job_not_stored")
			return k.refuseUnwritten(ctx, in.ID)
		}
		k.SetKeptJobsExist()
		k.Peers.AnnounceKeptJobs()
		j = k.startFirstWrite(in, holder)
	}
	select {
	case <-j.ready:
		if j.answer.State == coordinator.Refused {
			return k.refuseUnwritten(ctx, in.ID)
		}
		return j.answer
	case <-ctx.Done():
		return coordinator.Answer{State: coordinator.Expired, Reason: "the store has not answered"}
	}
}

// refuse returns the refusal a, unless an earlier submission of the job was stored.
func (k *Keeper) refuse(ctx context.Context, id string, a coordinator.Answer) coordinator.Answer {
	_, revision, err := k.read(ctx, id)
	switch {
	case err != nil:
		k.Log.Info().Str("job", id).Err(err).Msg("refusal_not_certain")
		return coordinator.Answer{State: coordinator.Expired, Reason: "the store has not answered"}
	case revision != 0:
		return acceptedAnswer
	}
	return a
}

// refuseUnwritten returns the refusal of a job that the store did not take, unless an earlier
// submission of it was stored.
func (k *Keeper) refuseUnwritten(ctx context.Context, id string) coordinator.Answer {
	_, revision, err := k.read(ctx, id)
	switch {
	case err != nil:
		k.Log.Info().Str("job", id).Err(err).Msg("earlier_submission_unknown")
	case revision != 0:
		return acceptedAnswer
	}
	return unwrittenAnswer
}

// startFirstWrite starts the first write of a job, unless the job is already known.
func (k *Keeper) startFirstWrite(in coordinator.Job, holder string) *keptJob {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j := k.jobs[in.ID]; j != nil {
		return j
	}
	j := &keptJob{id: in.ID, record: newRecord(in, holder), ready: make(chan struct{})}
	k.jobs[in.ID] = j
	k.Committer.Commit(platform.Write{Key: Prefix + in.ID, Value: encode(j.record)}, func(revision int64, err error) {
		k.firstWriteDone(j, revision, err)
	})
	return j
}

// firstWriteDone handles the result of the first write of a job.
func (k *Keeper) firstWriteDone(j *keptJob, revision int64, err error) {
	switch {
	case err == nil:
		k.mu.Lock()
		j.answer = acceptedAnswer
		if j.storedState == wire.KeptJob_cancelled {
			// A later write has cancelled the job already.
			k.mu.Unlock()
			close(j.ready)
			return
		}
		j.stored(revision)
		// If the holder was lost during the write, the entry that takes over
		// its jobs runs this one too.
		current := k.jobs[j.id] == j && k.Identity.Holder() == j.record.GetHolder()
		if !current && k.jobs[j.id] == j {
			delete(k.jobs, j.id)
			k.countUnheld(j)
		}
		job := jobOf(j.id, j.record)
		k.mu.Unlock()
		if current {
			k.startJob(j, job)
		} else {
			k.TriggerReview()
		}
		close(j.ready)
		return
	case isConflict(err):
		// Another entry, or an earlier incarnation of this one, stored the job
		// before.
		j.answer = acceptedAnswer
		go k.checkHolder(j.id)
	case isUnavailable(err):
		j.answer = unwrittenAnswer
	default:
		j.answer = coordinator.Answer{State: coordinator.Expired, Reason: "the store has not answered"}
	}
	k.forget(j)
	close(j.ready)
}

// checkHolder reads the record of a job that this entry does not hold, so that the job is
// taken over if its holder is gone, and not counted as pending if it has ended.
func (k *Keeper) checkHolder(id string) {
	for range maxHolderChecks {
		record, _, err := k.read(context.Background(), id)
		if err == nil {
			if record.GetState() != wire.KeptJob_open {
				k.mu.Lock()
				delete(k.unheld, id)
				k.mu.Unlock()
			}
			return
		}
		k.Log.Debug().Str("job", id).Err(err).Msg("holder_not_checked")
		time.Sleep(retryInterval)
	}
}

// startJob submits a stored job to the coordinator, unless the job was cancelled or abandoned
// in the meantime, and releases it there if that happens while it is submitted.
func (k *Keeper) startJob(j *keptJob, job coordinator.Job) {
	if k.isDropped(j) {
		return
	}
	k.Jobs.SubmitKept(job)
	k.mu.Lock()
	delete(k.unheld, j.id)
	k.mu.Unlock()
	if k.isDropped(j) {
		k.Jobs.Release(j.id)
	}
}

// isDropped reports whether this entry must not run a stored job any more.
func (k *Keeper) isDropped(j *keptJob) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.jobs[j.id] != j || j.record.GetState() == wire.KeptJob_cancelled
}

// forget drops a job from memory.
func (k *Keeper) forget(j *keptJob) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.jobs[j.id] == j {
		delete(k.jobs, j.id)
	}
}
