package keeper

import (
	"context"
	"slices"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/wire"
)

// TaskEnded implements coordinator.Keeper.
func (k *Keeper) TaskEnded(id string, index uint32, done bool, e coordinator.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil {
		// The job was abandoned. The upstream's owner reports the end again, which
		// then counts as orphaned.
		return
	}
	k.recordTaskEnd(j, index, done, e)
}

// recordTaskEnd adds the end of a run to the record and schedules a write; the
// caller holds the lock.
func (k *Keeper) recordTaskEnd(j *keptJob, index uint32, done bool, e coordinator.End) {
	j.recordEnd(index, done, e.Run)
	j.unwrittenEnds = append(j.unwrittenEnds, e)
	if j.flushScheduled || j.writing {
		j.dirty = true
		return
	}
	j.flushScheduled, j.dirty = true, true
	time.AfterFunc(progressDelay, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		j.flushScheduled = false
		k.flush(j)
	})
}

// recordEnd adds the end of a run of a task to the record.
func (j *keptJob) recordEnd(index uint32, done bool, run uint64) {
	if done {
		j.record.Done = append(j.record.Done, index)
		return
	}
	if j.record.Failures == nil {
		j.record.Failures = make(map[uint32]uint32)
	}
	j.record.Failures[index]++
	j.record.FailedRuns = append(j.record.FailedRuns, &wire.FailedRun{Task: index, Run: run})
}

// countsFailure reports whether a record counts a failed run of a task.
func countsFailure(r *wire.KeptJob, index uint32, run uint64) bool {
	return slices.ContainsFunc(r.GetFailedRuns(), func(f *wire.FailedRun) bool { return f.GetTask() == index && f.GetRun() == run })
}

// UpstreamLost implements coordinator.Keeper.
func (k *Keeper) UpstreamLost(id string, index uint32, lost []coordinator.LostUpstream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil {
		return
	}
	j.record.Lost = slices.DeleteFunc(j.record.Lost, func(l *wire.LostUpstream) bool { return l.GetTask() == index })
	for _, l := range lost {
		j.record.Lost = append(j.record.Lost, lostToWire(index, l))
	}
	j.unwrittenLosses = append(j.unwrittenLosses, index)
	j.dirty = true
	k.flush(j)
}

// LossStored implements coordinator.Keeper.
func (k *Keeper) LossStored(id string, index uint32) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	return j != nil && !slices.Contains(j.unwrittenLosses, index) && !slices.Contains(j.pendingLosses, index)
}

// JobEnded implements coordinator.Keeper.
func (k *Keeper) JobEnded(id string, s coordinator.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil || j.record.GetState() != wire.KeptJob_open {
		return
	}
	j.record.State = wire.KeptJob_complete
	if s == coordinator.Failed {
		j.record.State = wire.KeptJob_failed
	}
	j.dirty = true
	k.flush(j)
}

// flush starts a write of the record if it has changed and no write is in
// progress. The caller holds the lock.
func (k *Keeper) flush(j *keptJob) {
	if j.writing || !j.dirty || k.jobs[j.id] != j {
		return
	}
	j.writing, j.dirty = true, false
	j.pendingEnds, j.unwrittenEnds = append(j.pendingEnds, j.unwrittenEnds...), nil
	j.pendingLosses, j.unwrittenLosses = append(j.pendingLosses, j.unwrittenLosses...), nil
	if j.record.GetState() != wire.KeptJob_open {
		// An ended job is never run again, so these fields are not needed.
		j.record.Spec, j.record.Done, j.record.Failures, j.record.FailedRuns, j.record.Lost = "", nil, nil, nil, nil
	}
	state := j.record.GetState()
	w := platform.Write{Key: Prefix + j.id, Value: encode(j.record), Expected: j.revision}
	k.Committer.Commit(w, func(revision int64, err error) { k.writeDone(j, state, revision, err) })
}

// writeDone handles the result of a write.
func (k *Keeper) writeDone(j *keptJob, state wire.KeptJob_State, revision int64, err error) {
	k.mu.Lock()
	j.writing = false
	switch {
	case j.storedState == wire.KeptJob_cancelled:
		// The write came before the one that cancelled the job, or failed.
		k.mu.Unlock()
	case err == nil:
		written, losses := j.pendingEnds, j.pendingLosses
		j.stored(revision)
		j.storedState, j.pendingEnds, j.pendingLosses = state, nil, nil
		k.flush(j)
		if state != wire.KeptJob_open && !j.writing {
			time.AfterFunc(outcomeRetention, func() { k.removeRecord(j) })
		}
		k.mu.Unlock()
		k.Jobs.ReleaseEnds(written)
		if len(losses) > 0 {
			k.Jobs.Wake()
		}
	case isConflict(err):
		// The unwritten changes stay queued. reloadRecord either writes them at the
		// current revision or drops the job.
		j.dirty = true
		k.mu.Unlock()
		go k.reloadRecord(j)
	default:
		j.dirty = true
		time.AfterFunc(retryInterval, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.flush(j)
		})
		k.mu.Unlock()
	}
}

// removeRecord deletes the record of an ended job after its retention.
func (k *Keeper) removeRecord(j *keptJob) {
	k.forget(j)
	k.Committer.Commit(platform.Write{Key: Prefix + j.id, Expected: j.revision, Delete: true}, func(int64, error) {
		// A conflict needs no retry: the entry that changed the record removes it.
	})
}

// stored records that the store holds the record at a revision; the caller holds the
// keeper's lock.
func (j *keptJob) stored(revision int64) {
	j.revision, j.verifyAt = revision, time.Now().Add(verifyInterval)
}

// reloadRecord reads the record of a job again after a conflict or a notice
// that it was changed. If another entry cancelled the job or took it over, this
// entry stops running it; otherwise the pending changes are written.
func (k *Keeper) reloadRecord(j *keptJob) {
	k.mu.Lock()
	holder, known := j.record.GetHolder(), j.revision
	k.mu.Unlock()
	var record *wire.KeptJob
	var revision int64
	for {
		var err error
		if record, revision, err = k.read(context.Background(), j.id); err == nil {
			break
		}
		if k.Identity.Holder() != holder {
			break
		}
		time.Sleep(retryInterval)
	}
	k.mu.Lock()
	if k.jobs[j.id] != j || j.record.GetState() == wire.KeptJob_cancelled {
		k.mu.Unlock()
		return
	}
	outdated := j.writing || known == 0 || j.revision != known
	if outdated && record.GetState() == wire.KeptJob_open {
		// The read may have come before a write of this entry, which then tells whether
		// another entry changed the record first.
		k.mu.Unlock()
		return
	}
	if revision != 0 && record.GetState() == wire.KeptJob_open && record.GetHolder() == holder {
		// No other entry changed the job.
		j.stored(revision)
		k.flush(j)
		k.mu.Unlock()
		return
	}
	cancelled := record.GetState() == wire.KeptJob_cancelled
	var ends []coordinator.End
	if cancelled {
		ends = k.setCancelled(j, record, revision)
	} else {
		delete(k.jobs, j.id)
	}
	k.mu.Unlock()
	k.Log.Info().Str("job", j.id).Bool("cancelled", cancelled).Str("holder", record.GetHolder()).Msg("job_changed_elsewhere")
	k.Jobs.Release(j.id)
	k.Jobs.ReleaseEnds(ends)
}
