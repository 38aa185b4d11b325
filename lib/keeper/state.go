package keeper

import (
	"context"
	"strings"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/wire"
)

// read reads one record and returns it with its revision, 0 if there is none. It triggers
// a review if the record is that of an open job that nobody runs: its holder is gone, as
// a write that is carried out late may store a job after the jobs of its holder were taken
// over, or its holder is this entry's and does not know it.
func (k *Keeper) read(ctx context.Context, id string) (*wire.KeptJob, int64, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := k.Store.Get(call, Prefix+id)
	if err != nil {
		return nil, 0, err
	}
	record := decode(kv.Value)
	if kv.Revision != 0 && record.GetState() == wire.KeptJob_open && !k.isHeld(id, record.GetHolder()) {
		k.TriggerReview()
	}
	return record, kv.Revision, nil
}

// isHeld reports whether a holder is in the store and, if it is that of this entry, this
// entry knows the job.
func (k *Keeper) isHeld(id, holder string) bool {
	if holder != k.Identity.Holder() {
		return k.Identity.Holders()[holder]
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.jobs[id] != nil
}

// State returns the state of a job (queued, running, complete, failed or
// cancelled), or "" if no such job exists.
func (k *Keeper) State(ctx context.Context, id string) (string, error) {
	k.mu.Lock()
	j := k.jobs[id]
	held := j != nil && j.revision != 0 && (j.storedState != wire.KeptJob_open || k.Identity.Holder() == j.record.GetHolder())
	if held {
		state := j.storedState
		k.mu.Unlock()
		return k.stateName(state, func() bool { return k.Jobs.MayHaveStarted(id) }), nil
	}
	k.mu.Unlock()
	record, revision, err := k.read(ctx, id)
	if err != nil || revision == 0 {
		return "", err
	}
	return k.stateName(record.GetState(), func() bool { return len(record.GetDone()) > 0 }), nil
}

// stateName returns the name of a state; begun distinguishes Running from Queued.
func (k *Keeper) stateName(s wire.KeptJob_State, begun func() bool) string {
	switch {
	case s != wire.KeptJob_open:
		return s.String()
	case begun():
		return Running
	}
	return Queued
}

// Cancel cancels a job and tells its holder. It returns false if no such job exists or
// the job has ended in another state. After an error the job may go on, or be cancelled
// later.
func (k *Keeper) Cancel(ctx context.Context, id string) (bool, error) {
	for range maxCancelAttempts {
		record, revision, err := k.read(ctx, id)
		if err != nil {
			return false, err
		}
		holder := record.GetHolder()
		if record.GetState() == wire.KeptJob_cancelled {
			// Whoever wrote that may not have been able to tell the holder.
			k.announceCancellation(Cancellation{Job: id, Holder: holder, Revision: revision}, true)
			return true, nil
		}
		if revision == 0 || record.GetState() != wire.KeptJob_open {
			return false, nil
		}
		record = &wire.KeptJob{State: wire.KeptJob_cancelled, Queue: record.GetQueue(), Holder: holder, Term: record.GetTerm()}
		result := make(chan error, 1)
		k.Committer.Commit(platform.Write{Key: Prefix + id, Value: encode(record), Expected: revision}, func(revision int64, err error) {
			if err == nil {
				// The caller may have left before the outcome of the write was known.
				k.announceCancellation(Cancellation{Job: id, Holder: holder, Revision: revision}, true)
			}
			result <- err
		})
		select {
		case err = <-result:
		case <-ctx.Done():
			return false, ctx.Err()
		}
		switch {
		case err == nil:
			return true, nil
		case !isConflict(err):
			return false, err
		}
	}
	return false, platform.ErrConflict
}

// entryOf returns the name of the entry that has or had a holder.
func entryOf(holder string) string {
	name, _, _ := strings.Cut(holder, "@")
	return name
}

// Reload reads the record of a job again in the background, after another entry found that
// its holder is gone.
func (k *Keeper) Reload(id string) {
	k.mu.Lock()
	j := k.jobs[id]
	k.mu.Unlock()
	if j == nil {
		go k.checkHolder(id)
		return
	}
	go k.reloadRecord(j)
}
