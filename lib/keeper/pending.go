package keeper

import "maps"

// unheldJob is an accepted job of a lost holder that has not started.
type unheldJob struct {
	queue  string
	holder string
	// revision is the revision of the job's record that names the holder.
	revision int64
}

// Pending counts the accepted jobs that have not started, by queue: those that this
// entry runs, and those that it counts until they are taken over. A job of a lost
// holder is counted by the entry that held it until another entry claims the holder,
// and then by the claimant.
func (k *Keeper) Pending() map[string]int64 {
	out := k.Jobs.Pending()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, u := range k.unheld {
		out[u.queue]++
	}
	return out
}

// HolderClaimed records that another entry claims a holder, whose jobs it counts as
// pending from then on.
func (k *Keeper) HolderClaimed(holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	maps.DeleteFunc(k.unheld, func(_ string, u unheldJob) bool { return u.holder == holder })
}

// countUnheld counts a job of this entry whose holder was lost as pending. The caller
// holds the lock.
func (k *Keeper) countUnheld(j *keptJob) {
	k.unheld[j.id] = unheldJob{queue: j.record.GetQueue(), holder: j.record.GetHolder(), revision: j.revision}
}

// unheldJobs returns the unheld jobs that this entry counts as pending.
func (k *Keeper) unheldJobs() map[string]unheldJob {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.unheld)
}

// replaceUnheld replaces the unheld jobs in old by those found in the records.
func (k *Keeper) replaceUnheld(old, found map[string]unheldJob) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range old {
		delete(k.unheld, id)
	}
	for id, u := range found {
		// A job that this entry has taken over since the records were read is not unheld.
		if j := k.jobs[id]; j == nil || j.revision <= u.revision {
			k.unheld[id] = u
		}
	}
}
