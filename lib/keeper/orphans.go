package keeper

import (
	"maps"
	"slices"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/wire"
)

// orphanedEnd is the end of a run whose job this entry does not hold.
type orphanedEnd struct {
	step     int
	index    int
	done     bool
	end      coordinator.End
	received time.Time
}

// OrphanedEnd implements coordinator.Keeper.
func (k *Keeper) OrphanedEnd(id string, step, index int, done bool, e coordinator.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j != nil && j.storedState == wire.KeptJob_open && (j.revision == 0 || j.record.GetHolder() != k.Identity.Holder()) {
		// Either this is another submission of a job that is stored already, whose record
		// is not known here, or the holder under which this entry ran the job was lost and
		// the job is about to be abandoned here.
		j = nil
	}
	switch {
	case j == nil:
		k.addOrphan(id, orphanedEnd{step: step, index: index, done: done, end: e, received: time.Now()})
	case slices.Contains(j.unwrittenEnds, e) || slices.Contains(j.pendingEnds, e):
	case k.recordLateEnd(j, step, index, done, e):
	default:
		// The result is already stored, or the job has ended.
		go k.Jobs.ReleaseEnds([]coordinator.End{e})
	}
}

// addOrphan adds an orphaned end of a job unless it is held already; the caller holds
// the lock.
func (k *Keeper) addOrphan(id string, s orphanedEnd) {
	if !slices.ContainsFunc(k.orphans[id], func(o orphanedEnd) bool { return o.end == s.end }) {
		k.orphans[id] = append(k.orphans[id], s)
	}
}

// recordLateEnd records the result of a run that the coordinator no longer waits
// for: the end was reported after the job was taken over or the run was taken for
// lost. It returns false if the job has ended, the task is done already or the record
// counts the failed run. The caller holds the lock.
func (k *Keeper) recordLateEnd(j *keptJob, step, index int, done bool, e coordinator.End) bool {
	n, ok := taskNumber(j.record, step, index)
	if !ok || j.record.GetState() != wire.KeptJob_open || slices.Contains(j.record.GetDone(), n) || (!done && countsFailure(j.record, n, e.Run)) {
		return false
	}
	k.recordTaskEnd(j, n, done, e)
	if done {
		go k.Jobs.MarkDone(j.id, int(n))
	} else {
		go k.Jobs.MarkFailed(j.id, int(n))
	}
	return true
}

// recordOrphans adds the ends of a job's runs that were reported before its takeover to
// the record. The former holder may have stored a failed run without releasing its end;
// the record tells which runs it counts. One written by an earlier version may count
// some without telling which: as many reported ones are taken to be among them.
func (j *keptJob) recordOrphans(ends []orphanedEnd) {
	unnamed := maps.Clone(j.record.GetFailures())
	for _, f := range j.record.GetFailedRuns() {
		if unnamed[f.GetTask()] > 0 {
			unnamed[f.GetTask()]--
		}
	}
	for _, s := range ends {
		j.pendingEnds = append(j.pendingEnds, s.end)
		n, ok := taskNumber(j.record, s.step, s.index)
		switch {
		case !ok || (!s.done && countsFailure(j.record, n, s.end.Run)):
		case !s.done && unnamed[n] > 0:
			unnamed[n]--
		default:
			j.recordEnd(n, s.done, s.end.Run)
		}
	}
}

// restoreOrphans puts back the ends of a job whose record could not be written.
func (k *Keeper) restoreOrphans(id string, ends []orphanedEnd) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range ends {
		k.addOrphan(id, s)
	}
}

// setOrphans replaces the orphaned ends of a job; the caller holds the lock.
func (k *Keeper) setOrphans(id string, ends []orphanedEnd) {
	if len(ends) == 0 {
		delete(k.orphans, id)
		return
	}
	k.orphans[id] = ends
}
