// Package tracker keeps the records of the jobs whose home is this entry.
//
// Records are kept per shard, each shard under its own lock. A job without a
// record is started only if it is certain that no earlier home started it;
// otherwise it is answered with may_have_run and never run. The answer of a
// job is assembled once and kept until the resubmission window of the job's
// service, which begins at the job's deadline, has ended and no submission from that
// window can be on its way.
//
// # Usage
//
//	t := &tracker.Tracker{Self: name, Runner: dispatcher, Log: log}
//	job, err := t.Submit(ctx, shard, submission)
//	answer := job.Wait(ctx)
//
// The error of Submit is ErrNotHome or a classifier.Error whose verdict holds
// for the job's identifier, not only for this attempt.
package tracker

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/wire"
)

const (
	// clockMargin is the largest expected difference between the clocks of two
	// VMs.
	clockMargin = time.Minute
	// maxPauseWait bounds how long a submission waits for a handover to end.
	maxPauseWait = 2 * time.Second
	// sweepInterval is the time between removals of expired records.
	sweepInterval = 10 * time.Second
)

// ErrNotHome reports that this entry is not the home of the shard and did
// nothing for the job.
var ErrNotHome = errors.New("this entry is not the home of the job")

// ErrOtherService reports an identifier that is in use for a job of another
// service. The submission did not run in the requested service.
var ErrOtherService = classifier.New(classifier.NotRun, "the job identifier belongs to another service")

// Runner starts tasks; a dispatcher.Dispatcher is one.
type Runner interface {
	Submit(service string, tasks []*dispatcher.Task) error
	Cancel(service string, tasks []*dispatcher.Task, stop bool)
}

// Submission is one attempt at a job, as its home receives it.
type Submission struct {
	// Tenant owns the job.
	Tenant string
	// Weight is the tenant's weight in the service.
	Weight uint32
	// Service is the configuration in force.
	Service *wire.ServiceConfiguration
	// Request is the job with its identifier and deadline set.
	Request *wire.JobRequest
	// DeliveredEpoch is the shard's epoch in which an earlier message with this
	// attempt may have reached a home; 0 if none did.
	DeliveredEpoch uint64
}

// maxTransit returns the longest time, by the clock of an entry, from the sending of a
// submission to its deadline.
func (s *Submission) maxTransit() time.Duration {
	return time.Duration(s.Service.GetDefaultDeadlineMs()+s.Service.GetClockMarginMs()) * time.Millisecond
}

// Tracker holds the job records. Exported fields are set before the first call.
type Tracker struct {
	// Self is the name of this entry.
	Self string
	// Runner starts the tasks.
	Runner Runner
	// SendAnswer sends the answer of a job to the present home of its shard, which
	// moved to another entry while the job was running here.
	SendAnswer func(shard placer.Shard, r *wire.JobRecord)
	// Ended is called with the answer of each job that ends here; may be nil.
	Ended func(j *Job, answer *wire.JobAnswer)
	// Log receives events.
	Log zerolog.Logger

	mu     sync.RWMutex
	shards map[placer.Shard]*shard
	staged map[placer.Shard]*stagedShard
	counts counter
}

// LocalShard is the shard of repeatable jobs that run at this entry because their
// home cannot be reached.
var LocalShard = placer.Shard{FailureDomain: "local"}

// shard returns the state of s, or nil if this entry never was its home. LocalShard
// is created on demand.
func (t *Tracker) shard(s placer.Shard) *shard {
	t.mu.RLock()
	sh := t.shards[s]
	t.mu.RUnlock()
	if sh != nil || s != LocalShard {
		return sh
	}
	t.Open(LocalShard, &wire.ShardOwner{Epoch: 1})
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.shards[s]
}

// Submit returns the job if it has a record and otherwise creates and starts
// it.
func (t *Tracker) Submit(ctx context.Context, s placer.Shard, sub Submission) (*Job, error) {
	sh := t.shard(s)
	if sh == nil {
		return nil, ErrNotHome
	}
	sh.lockServing(ctx, sub)
	if sh.phase != serving {
		defer sh.mu.Unlock()
		return sh.handleNotServing(sub)
	}
	j, create, err := t.findOrCreate(sh, sub)
	if err != nil || !create {
		sh.mu.Unlock()
		return j, err
	}
	j.tracker, j.shard = t, sh
	tasks := j.prepare(sub)
	sh.jobs[j.key] = j
	sh.mu.Unlock()
	return t.start(j, sub, tasks)
}

// findOrCreate returns the recorded job that sub belongs to, a new job with
// create set if one is to be started, or a refusal. The caller holds the
// shard's lock.
func (t *Tracker) findOrCreate(sh *shard, sub Submission) (j *Job, create bool, err error) {
	k := jobKey{sub.Tenant, sub.Request.GetJobId()}
	existing := sh.jobs[k]
	if existing != nil && existing.service != sub.Service.GetService() {
		return nil, false, ErrOtherService
	}
	if existing != nil && !existing.restartedBy(sub) {
		return existing, false, nil
	}
	if existing == nil && !sub.Service.GetRepeatable() && sh.precedes(sub.Request.GetJobId()) {
		return nil, false, ErrNotHome
	}
	if existing == nil && !sub.Service.GetRepeatable() && !sh.certainlyNew(sub, time.Now()) {
		j := t.newUnknownJob(k, sub)
		if t.makeRoom(sh, sub.Service) {
			sh.jobs[k] = j
			t.counts.add(j.service, 1)
		}
		return j, false, nil
	}
	if existing == nil && !t.makeRoom(sh, sub.Service) {
		return nil, false, newRefusal(sub, "the home has no memory for more jobs")
	}
	if existing == nil {
		t.counts.add(sub.Service.GetService(), 1)
	}
	return newJob(k, sub), true, nil
}

// makeRoom reports whether the service's limit allows one more record. At the
// limit it removes the oldest answer of a repeatable service, but never the
// record of a job that must not repeat. The caller holds the shard's lock.
func (t *Tracker) makeRoom(sh *shard, s *wire.ServiceConfiguration) bool {
	limit := int(s.GetMaxJobs())
	if limit == 0 || t.counts.of(s.GetService()) < limit {
		return true
	}
	if !s.GetRepeatable() {
		return false
	}
	for k, j := range sh.jobs {
		if j.service == s.GetService() && j.ended() {
			delete(sh.jobs, k)
			t.counts.add(j.service, -1)
			return true
		}
	}
	return false
}

// newRefusal returns the error for a submission that is refused without leaving a
// record. An earlier message may still be in transit and be accepted later, so
// for a job that must not repeat only the first message of the first attempt is
// answered with not_run.
func newRefusal(sub Submission, reason string) error {
	e := classifier.RetryLater(reason, time.Second)
	if !sub.Service.GetRepeatable() && !sub.isFirstMessage() {
		e.Verdict = classifier.MayHaveRun
	}
	return e
}

// isFirstMessage reports whether no earlier message about the job can be in transit.
func (s *Submission) isFirstMessage() bool {
	return s.Request.GetAttempt() <= 1 && s.DeliveredEpoch == 0
}

// newUnknownJob returns the finished record of a job that an earlier home may have
// started.
func (t *Tracker) newUnknownJob(k jobKey, sub Submission) *Job {
	j := newJob(k, sub)
	j.setAnswer(&wire.JobAnswer{
		JobId: k.id, State: wire.JobState_failed, Verdict: classifier.MayHaveRun,
		Reason: "an earlier home of the job was lost and may have started it",
	})
	t.Log.Warn().Str("tenant", k.tenant).Str("job", k.id).Msg("job_outcome_unknown")
	return j
}

// start hands a new job's tasks to the runner. The record of a refused job is
// kept only if an earlier message about the job may still be in transit.
func (t *Tracker) start(j *Job, sub Submission, tasks []*dispatcher.Task) (*Job, error) {
	err := t.Runner.Submit(j.service, tasks)
	if err == nil {
		j.startDeadlineTimer()
		return j, nil
	}
	j.refuse(err)
	if sub.Service.GetRepeatable() || sub.isFirstMessage() {
		t.remove(j)
	}
	return j, nil
}

// remove removes the record of a job.
func (t *Tracker) remove(j *Job) {
	j.shard.mu.Lock()
	defer j.shard.mu.Unlock()
	if j.shard.jobs[j.key] == j {
		delete(j.shard.jobs, j.key)
		t.counts.add(j.service, -1)
	}
}

// Find returns a job, or nil if it has no record.
func (t *Tracker) Find(s placer.Shard, tenant, id string) (*Job, error) {
	sh := t.shard(s)
	if sh == nil {
		return nil, ErrNotHome
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j := sh.jobs[jobKey{tenant, id}]
	if j == nil && sh.phase == released {
		return nil, ErrNotHome
	}
	return j, nil
}

// Run removes expired records until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			t.sweep(now)
		}
	}
}

// sweep removes the records that no submission can refer to any more.
func (t *Tracker) sweep(now time.Time) {
	for _, sh := range t.allShards() {
		sh.mu.Lock()
		for k, j := range sh.jobs {
			if j.expired(now) {
				delete(sh.jobs, k)
				t.counts.add(j.service, -1)
			}
		}
		sh.mu.Unlock()
	}
}

// allShards returns the states of all shards.
func (t *Tracker) allShards() []*shard {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*shard, 0, len(t.shards))
	for _, sh := range t.shards {
		out = append(out, sh)
	}
	return out
}

// OpenJobs returns the number of jobs that this entry runs and that have not
// ended.
func (t *Tracker) OpenJobs() int {
	n := 0
	for _, sh := range t.allShards() {
		sh.mu.Lock()
		for _, j := range sh.jobs {
			if j.runsHere() {
				n++
			}
		}
		sh.mu.Unlock()
	}
	return n
}

// CancelAll cancels every job that runs here. The answers carry the outcomes that
// are known.
func (t *Tracker) CancelAll(reason string) {
	for _, sh := range t.allShards() {
		sh.mu.Lock()
		var open []*Job
		for _, j := range sh.jobs {
			if !j.ended() {
				open = append(open, j)
			}
		}
		sh.mu.Unlock()
		for _, j := range open {
			j.Cancel(reason)
		}
	}
}
