package keeper

import (
	"context"
	"maps"
	"slices"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/wire"
)

const (
	// announceInterval is the time between two attempts to tell the entries that do not
	// know of a cancellation yet.
	announceInterval = 100 * time.Millisecond
	// confirmationWait is how long the entry that cancelled a job waits for the holder
	// before it tells all other entries, too.
	confirmationWait = 300 * time.Millisecond
)

// Cancellation is a change of a job's record to cancelled, which is final.
type Cancellation struct {
	Job string
	// Holder is the holder that the record names. Its entry runs the job.
	Holder string
	// Revision is the one at which the record was changed.
	Revision int64
}

// announcement is a cancellation that the holder has not confirmed. The holder may be unable
// to read the record, so the other entries tell it, and start no run of the job.
type announcement struct {
	Cancellation
	// spreadAt is when all entries are told; zero if another entry does that.
	spreadAt time.Time
	// expires is when the announcement ends without a confirmation.
	expires time.Time
	// told holds the entries that were told since they were last connected.
	told map[string]bool
	// enforced is true once this entry has stopped the runs on its own upstreams.
	enforced bool
}

// announceCancellation tells the holder of a cancelled job until it has confirmed that, and
// with spread all other entries if it does not do so soon.
func (k *Keeper) announceCancellation(c Cancellation, spread bool) {
	if k.applyCancellation(c) {
		return
	}
	now := time.Now()
	a := &announcement{Cancellation: c, expires: now.Add(outcomeRetention), told: make(map[string]bool)}
	if spread {
		a.spreadAt = now.Add(confirmationWait)
	}
	k.mu.Lock()
	if old := k.announcements[c.Job]; old == nil || (spread && old.spreadAt.IsZero()) {
		k.announcements[c.Job] = a
	}
	k.mu.Unlock()
	select {
	case k.announced <- struct{}{}:
	default:
	}
}

// announce sends the announcements that are not confirmed until ctx ends.
func (k *Keeper) announce(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-k.announced:
		}
		for ctx.Err() == nil && k.sendAnnouncements(ctx) {
			pause(ctx, announceInterval)
		}
	}
}

// sendAnnouncements sends all announcements to the entries that have not been told, and
// reports whether any is left without a confirmation.
func (k *Keeper) sendAnnouncements(ctx context.Context) bool {
	now, names := time.Now(), slices.Sorted(maps.Keys(k.Peers.Incarnations()))
	unsent := make(map[string][]Cancellation)
	var enforced []string
	k.mu.Lock()
	for job, a := range k.announcements {
		if now.After(a.expires) {
			delete(k.announcements, job)
			continue
		}
		for _, name := range a.recipients(names, now) {
			if name != k.Self {
				unsent[name] = append(unsent[name], a.Cancellation)
			}
		}
		if a.isSpread(now) && !a.enforced {
			a.enforced = true
			enforced = append(enforced, job)
		}
	}
	left := len(k.announcements) > 0
	k.mu.Unlock()
	if len(enforced) > 0 {
		k.Log.Info().Int("jobs", len(enforced)).Msg("cancellations_unconfirmed")
	}
	for _, job := range enforced {
		k.cancelRuns(ctx, job)
	}
	for name, list := range unsent {
		for _, c := range list {
			if !k.Peers.SendCancellation(name, c) {
				break
			}
			k.markTold(name, c)
		}
	}
	return left
}

// isSpread reports whether all entries are to be told, not only the holder.
func (a *announcement) isSpread(now time.Time) bool {
	return !a.spreadAt.IsZero() && !now.Before(a.spreadAt)
}

// recipients returns the entries that are to be told and have not been, of all entries or the
// holder's alone.
func (a *announcement) recipients(all []string, now time.Time) []string {
	out := []string{entryOf(a.Holder)}
	if a.isSpread(now) {
		out = append(out, all...)
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(name string) bool { return a.told[name] })
}

// markTold records that an entry was told of a cancellation.
func (k *Keeper) markTold(name string, c Cancellation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.announcements[c.Job]; a != nil && a.Cancellation == c {
		a.told[name] = true
	}
}

// CancellationReceived handles the announcement of a cancellation by a peer. The entry that has
// the holder releases the job and confirms that. Any other one stops the runs on its own
// upstreams, and tells the holder, which the peer may be unable to reach.
func (k *Keeper) CancellationReceived(ctx context.Context, peer string, c Cancellation) {
	if k.applyCancellation(c) {
		k.Peers.ConfirmCancellation(peer, c.Job)
		return
	}
	k.cancelRuns(ctx, c.Job)
	k.announceCancellation(c, false)
}

// CancellationConfirmed records that the holder of a cancelled job does not run it any more.
func (k *Keeper) CancellationConfirmed(peer, job string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.announcements[job]; a != nil && entryOf(a.Holder) == peer {
		delete(k.announcements, job)
	}
}

// cancelRuns stops the runs of a cancelled job on the upstreams of this entry and refuses
// further ones while the holder may ask for them.
func (k *Keeper) cancelRuns(ctx context.Context, job string) {
	if n := k.Runs.CancelJob(ctx, job, time.Now().Add(outcomeRetention)); n > 0 {
		k.Log.Info().Str("job", job).Int("runs", n).Msg("runs_of_cancelled_job_stopped")
	}
}

// applyCancellation releases a job that this entry runs or counts as pending, without reading
// its record. It reports whether this entry has the job's holder, so that no other one runs the
// job.
func (k *Keeper) applyCancellation(c Cancellation) bool {
	holds := c.Holder == k.Identity.Holder()
	k.mu.Lock()
	delete(k.unheld, c.Job)
	j := k.jobs[c.Job]
	if j == nil || j.record.GetState() == wire.KeptJob_cancelled || c.Revision <= j.revision {
		k.mu.Unlock()
		return holds
	}
	record := &wire.KeptJob{State: wire.KeptJob_cancelled, Queue: j.record.GetQueue(), Holder: c.Holder, Term: j.record.GetTerm()}
	ends := k.setCancelled(j, record, c.Revision)
	k.mu.Unlock()
	k.Log.Info().Str("job", j.id).Bool("cancelled", true).Str("holder", c.Holder).Msg("job_changed_elsewhere")
	k.Jobs.Release(j.id)
	k.Jobs.ReleaseEnds(ends)
	return holds
}

// setCancelled replaces the record of a job by one that says that the job is cancelled, and
// returns the ends that were to be added to it. The caller holds the lock.
func (k *Keeper) setCancelled(j *keptJob, record *wire.KeptJob, revision int64) []coordinator.End {
	ends := append(j.pendingEnds, j.unwrittenEnds...)
	j.pendingEnds, j.unwrittenEnds, j.dirty = nil, nil, false
	j.record, j.storedState, j.revision = record, record.GetState(), revision
	time.AfterFunc(outcomeRetention, func() { k.removeRecord(j) })
	return ends
}
