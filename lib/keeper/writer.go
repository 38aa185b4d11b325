package keeper

import (
	"context"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/wire"
)

// TaskEnded implements coordinator.Keeper.
func (k *Keeper) TaskEnded(id string, index uint32, done bool, e coordinator.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.jobs[id]
	if x == nil {
		return
	}
	x.recordEnd(index, done)
	x.unwrittenEnds = append(x.unwrittenEnds, e)
	if x.flushScheduled || x.writing {
		x.dirty = true
		return
	}
	x.flushScheduled, x.dirty = true, true
	time.AfterFunc(progressDelay, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		x.flushScheduled = false
		k.flush(x)
	})
}

// recordEnd adds the end of a run to the record.
func (x *keptJob) recordEnd(index uint32, done bool) {
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

// flush starts a write of the record if it has changed and no write is in
// progress. The caller holds the lock.
func (k *Keeper) flush(x *keptJob) {
	if x.writing || !x.dirty || k.jobs[x.id] != x {
		return
	}
	x.writing, x.dirty = true, false
	x.pendingEnds, x.unwrittenEnds = append(x.pendingEnds, x.unwrittenEnds...), nil
	if x.record.GetState() != wire.KeptJob_open {
		// An ended job is never run again, so these fields are not needed.
		x.record.Spec, x.record.Done, x.record.Failures = "", nil, nil
	}
	state := x.record.GetState()
	w := platform.Write{Key: Prefix + x.id, Value: encode(x.record), Expected: x.revision}
	k.Committer.Commit(w, func(revision int64, err error) { k.writeDone(x, state, revision, err) })
}

// writeDone handles the result of a write.
func (k *Keeper) writeDone(x *keptJob, state wire.KeptJob_State, revision int64, err error) {
	k.mu.Lock()
	x.writing = false
	switch {
	case err == nil:
		written := x.pendingEnds
		x.revision, x.storedState, x.pendingEnds = revision, state, nil
		k.flush(x)
		if state != wire.KeptJob_open && !x.writing {
			time.AfterFunc(outcomeRetention, func() { k.removeRecord(x) })
		}
		k.mu.Unlock()
		k.Jobs.Safe(written)
	case isConflict(err):
		// The unwritten changes stay queued. reload either writes them at the current
		// revision or drops the job.
		x.dirty = true
		k.mu.Unlock()
		go k.reloadRecord(x)
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

// removeRecord deletes the record of an ended job after its retention.
func (k *Keeper) removeRecord(x *keptJob) {
	k.forget(x)
	k.Committer.Commit(platform.Write{Key: Prefix + x.id, Expected: x.revision, Delete: true}, func(int64, error) {
		// A conflict needs no retry: the entry that changed the record removes it.
	})
}

// reloadRecord reads the record of a job again after a conflict or a notice that it was
// changed. If another entry cancelled the job or took it over, this entry stops
// running it; otherwise the pending changes are written.
func (k *Keeper) reloadRecord(x *keptJob) {
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
		// No other entry changed the job.
		x.revision = revision
		k.flush(x)
		k.mu.Unlock()
		return
	}
	cancelled := record.GetState() == wire.KeptJob_cancelled
	safe := append(x.pendingEnds, x.unwrittenEnds...)
	x.pendingEnds, x.unwrittenEnds = nil, nil
	if cancelled {
		x.record, x.storedState, x.revision = record, record.GetState(), revision
		time.AfterFunc(outcomeRetention, func() { k.removeRecord(x) })
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
