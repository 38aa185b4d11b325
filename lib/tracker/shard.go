package tracker

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/wire"
)

// answerMargin is how long past a job's deadline an earlier home that runs the
// job may still send the answer.
const answerMargin = time.Second

// phase is the state of a shard at this entry.
type phase int

const (
	serving phase = iota
	// paused means that the shard is being handed over; no job is started.
	paused
	// released means that the shard has another home.
	released
)

// jobKey identifies a job within a shard.
type jobKey struct{ tenant, id string }

// shard is the state of one shard.
type shard struct {
	name placer.Shard

	mu    sync.Mutex
	phase phase
	epoch uint64
	// takenAt is when the epoch began.
	takenAt time.Time
	// recordsMissing is true if records of the present epoch are missing;
	// takenAt is then when they were lost.
	recordsMissing bool
	jobs           map[jobKey]*Job
	// pauseEnded is closed when the pause ends.
	pauseEnded chan struct{}
}

// stagedShard holds records that a handover sent before the shard table names
// this entry as the shard's home.
type stagedShard struct {
	handoverID string
	records    *wire.ShardRecords
}

// certainlyNew reports whether it is certain that no earlier home started a job that
// has no record here. The caller holds the lock.
//
// The records are complete for an identifier that placer.Issue made in the present
// epoch, and for every job in a shard's first epoch. Otherwise an earlier home may
// have run this attempt or, if this attempt was delayed in transit, a later one.
// That is ruled out once the resubmission window has passed since the epoch began, and
// for a first attempt whose deadline is so late that it was sent in this epoch.
// A later change of the failure domains counts as the start of the epoch for an
// identifier that was not issued, because the change may have moved the
// identifier to this shard.
func (sh *shard) certainlyNew(sub Submission, now time.Time) bool {
	deliveredElsewhere := sub.DeliveredEpoch != 0 && (sub.DeliveredEpoch != sh.epoch || sh.recordsMissing)
	s, epoch, issued := placer.ParseIssued(sub.Request.GetJobId())
	if issued && s == sh.name && epoch == sh.epoch && !sh.recordsMissing {
		return true
	}
	completeSince := sh.takenAt
	if placed := sub.Service.GetPlacedAt().AsTime(); placed.After(completeSince) && !issued {
		completeSince = placed
	}
	if completeSince.Unix() <= 0 {
		return !deliveredElsewhere
	}
	window := time.Duration(sub.Service.GetResubmissionWindowMs()) * time.Millisecond
	if now.After(completeSince.Add(window + clockMargin)) {
		return true
	}
	sentSince := sub.Request.GetDeadline().AsTime().After(completeSince.Add(sub.maxTransit()))
	return sub.Request.GetAttempt() == 1 && !deliveredElsewhere && sentSince
}

// precedes reports whether an identifier was issued in a later epoch of the shard: this entry
// has been taken for dead, or has not opened the shard in that epoch yet.
func (sh *shard) precedes(id string) bool {
	s, epoch, issued := placer.ParseIssued(id)
	return issued && s == sh.name && epoch > sh.epoch
}

// lockServing locks the shard. Before that it waits while the shard is paused, also
// in several pauses, for at most maxPauseWait. It does not wait for a job that has a
// record.
func (sh *shard) lockServing(ctx context.Context, sub Submission) {
	var expired <-chan time.Time
	for {
		sh.mu.Lock()
		_, known := sh.jobs[jobKey{sub.Tenant, sub.Request.GetJobId()}]
		if sh.phase != paused || known {
			return
		}
		changed := sh.pauseEnded
		sh.mu.Unlock()
		if expired == nil {
			expired = time.After(maxPauseWait)
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		case <-expired:
		}
		sh.mu.Lock()
		return
	}
}

// handleNotServing handles a submission to a shard that starts no jobs: it
// returns a job that has a record and refuses any other. The caller holds the
// lock.
func (sh *shard) handleNotServing(sub Submission) (*Job, error) {
	if sh.phase == released {
		return nil, ErrNotHome
	}
	if j := sh.jobs[jobKey{sub.Tenant, sub.Request.GetJobId()}]; j != nil {
		return j, nil
	}
	return nil, newRefusal(sub, "the job's home is being handed over")
}

// Open starts serving a shard in the epoch of the owner record o of the shard
// table. A shard that arrives by a handover gets the records staged for it.
func (t *Tracker) Open(s placer.Shard, o *wire.ShardOwner) {
	sh := &shard{
		name: s, epoch: o.GetEpoch(), takenAt: o.GetTakenAt().AsTime(),
		jobs: make(map[jobKey]*Job), pauseEnded: make(chan struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shards == nil {
		t.shards = make(map[placer.Shard]*shard)
	}
	if o.GetHandoverId() != "" {
		t.loadStaged(sh, o)
	}
	delete(t.staged, s)
	t.shards[s] = sh
}

// loadStaged fills a shard with the records that were staged for the handover in
// o. If there are none, it marks the shard's records as missing. The caller holds
// the tracker's lock.
func (t *Tracker) loadStaged(sh *shard, o *wire.ShardOwner) {
	st := t.staged[sh.name]
	if st == nil || st.handoverID != o.GetHandoverId() {
		sh.recordsMissing = true
		sh.takenAt = time.Now()
		t.Log.Error().Str("shard", sh.name.String()).Msg("handover_records_missing")
		return
	}
	if at := st.records.GetBrokenAt(); at != nil {
		sh.recordsMissing, sh.takenAt = true, at.AsTime()
	}
	for _, r := range st.records.GetRecords() {
		j := jobFromRecord(r)
		sh.jobs[j.key] = j
		t.counts.add(j.service, 1)
	}
}

// Stage keeps the records of a handover until the shard table names this entry
// as the home of the shards.
func (t *Tracker) Stage(h *wire.Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.staged == nil {
		t.staged = make(map[placer.Shard]*stagedShard)
	}
	for _, r := range h.GetShards() {
		if s, ok := placer.ParseShard(r.GetShard()); ok {
			t.staged[s] = &stagedShard{h.GetId(), r}
		}
	}
}

// Pause stops starting jobs in the shards and returns their records.
func (t *Tracker) Pause(shards []placer.Shard) []*wire.ShardRecords {
	var out []*wire.ShardRecords
	for _, s := range shards {
		sh := t.shard(s)
		if sh == nil {
			continue
		}
		sh.mu.Lock()
		if sh.phase == serving {
			sh.phase = paused
			sh.pauseEnded = make(chan struct{})
		}
		r := &wire.ShardRecords{Shard: s.String(), Epoch: sh.epoch}
		if sh.recordsMissing {
			r.BrokenAt = timestamppb.New(sh.takenAt)
		}
		for _, j := range sh.jobs {
			r.Records = append(r.Records, j.record(t.Self))
		}
		sh.mu.Unlock()
		out = append(out, r)
	}
	return out
}

// Resume serves the shards again after an abandoned handover.
func (t *Tracker) Resume(shards []placer.Shard) { t.endPause(shards, serving) }

// Release stops serving the shards after a handover. Jobs that run here run to
// their end.
func (t *Tracker) Release(shards []placer.Shard) { t.endPause(shards, released) }

// endPause ends the pause of the shards, which are next served or released.
func (t *Tracker) endPause(shards []placer.Shard, next phase) {
	for _, s := range shards {
		sh := t.shard(s)
		if sh == nil {
			continue
		}
		sh.mu.Lock()
		if sh.phase == paused {
			sh.phase = next
			close(sh.pauseEnded)
		}
		ended := sh.removeEnded(next)
		sh.mu.Unlock()
		for _, r := range ended {
			t.SendAnswer(s, r)
		}
	}
}

// removeEnded removes the finished jobs of a released shard and returns the records
// of those that ended after the handover's records were taken. The caller holds
// the lock.
func (sh *shard) removeEnded(next phase) []*wire.JobRecord {
	if next != released {
		return nil
	}
	var out []*wire.JobRecord
	for k, j := range sh.jobs {
		if !j.ended() {
			continue
		}
		if j.handedOver {
			out = append(out, j.record(""))
		}
		delete(sh.jobs, k)
	}
	return out
}

// ReceiveAnswer records the answer of a job that an earlier home of the shard ran to
// its end.
func (t *Tracker) ReceiveAnswer(s placer.Shard, r *wire.JobRecord) error {
	sh := t.shard(s)
	if sh == nil {
		return ErrNotHome
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j := sh.jobs[jobKey{r.GetTenant(), r.GetJobId()}]
	if j == nil || sh.phase == released {
		return ErrNotHome
	}
	if j.runner != "" {
		j.setAnswer(r.GetAnswer())
	}
	return nil
}

// jobFromRecord returns the job of a record that another entry handed over. A
// job whose runner sends no answer ends with may_have_run shortly after its
// deadline.
func jobFromRecord(r *wire.JobRecord) *Job {
	j := &Job{
		key: jobKey{r.GetTenant(), r.GetJobId()}, service: r.GetService(), attempt: r.GetAttempt(),
		expiresAt: r.GetForgetAt().AsTime(), runner: r.GetRunner(), done: make(chan struct{}),
	}
	j.Deadline = r.GetDeadline().AsTime()
	if r.GetRunner() == "" {
		j.setAnswer(r.GetAnswer())
		return j
	}
	j.timer = time.AfterFunc(time.Until(j.Deadline)+answerMargin, func() {
		j.setAnswer(&wire.JobAnswer{
			JobId: j.key.id, State: wire.JobState_failed, Verdict: classifier.MayHaveRun,
			Reason: "the entry that ran the job did not report its end",
		})
	})
	return j
}

// record returns the job's record for another home. If the job still runs, the
// record names the entry that runs it, which will send the answer later: runner,
// unless another entry is known to run it.
func (j *Job) record(runner string) *wire.JobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &wire.JobRecord{
		Tenant: j.key.tenant, JobId: j.key.id, Service: j.service, Attempt: j.attempt,
		ForgetAt: timestamppb.New(j.expiresAt), Answer: j.answer, Deadline: timestamppb.New(j.Deadline),
	}
	j.handedOver = false
	if j.answer == nil {
		r.Runner = runner
		if j.runner != "" {
			r.Runner = j.runner
		}
		j.handedOver = true
	}
	return r
}
