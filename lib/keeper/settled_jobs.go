package keeper

import (
	"context"
	"slices"
	"strings"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/wire"
)

// RunStopped records that a run was stopped, or has lapsed, on an upstream, and that nobody who could
// have started its task again knows of that. It is told to the entry that takes over the jobs of the
// given holder, which is retired there, before the claim is answered. The run may be another holder's.
func (k *Keeper) RunStopped(e *wire.RunEnd) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.takeovers[e.GetHolder()]; t != nil {
		t.stopped[e.GetTask()] = true
	}
}

// takeOverSettledJobs takes over those jobs of a lost holder of which nothing can be left on an upstream
// that nobody has reached, while the takeover waits for such upstreams.
func (k *Keeper) takeOverSettledJobs(ctx context.Context, holder string) {
	k.mu.Lock()
	t := k.takeovers[holder]
	evidence := len(t.stopped)
	for _, ends := range k.orphans {
		evidence += len(ends)
	}
	news := evidence != t.evidence
	t.evidence = evidence
	k.mu.Unlock()
	if !news {
		return
	}
	self, err := k.Identity.EnsureHolder(ctx)
	if err != nil {
		// The takeover as a whole tries again.
		k.Log.Info().Str("holder", holder).Err(err).Msg("settled_jobs_not_taken_over")
		return
	}
	records, err := k.list(ctx)
	if err != nil {
		k.Log.Info().Str("holder", holder).Err(err).Msg("kept_jobs_unreadable")
		return
	}
	n := 0
	for _, kv := range records {
		r, id := decode(kv.Value), strings.TrimPrefix(kv.Key, Prefix)
		if r.GetHolder() == holder && r.GetState() == wire.KeptJob_open && k.isSettled(id, r, t) {
			n++
			k.takeOverJob(id, kv.Revision, r, self)
		}
	}
	if n > 0 {
		k.Log.Info().Str("holder", holder).Int("jobs", n).Msg("settled_jobs_taken_over")
	}
}

// isSettled reports whether the last run of each task of a lost holder's job is known to be over: the
// task is done, the run was stopped without the holder's knowledge, or the task's step cannot have
// started. A holder has one run of a task at a time.
func (k *Keeper) isSettled(id string, r *wire.KeptJob, t *takeover) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	done := make(map[uint32]bool)
	for _, n := range r.GetDone() {
		done[n] = true
	}
	for _, o := range k.orphans[id] {
		if n, ok := taskNumber(r, o.step, o.index); ok && o.done {
			done[n] = true
		}
	}
	complete := make([]bool, len(r.GetSteps()))
	for s, step := range r.GetSteps() {
		begun := !slices.ContainsFunc(step.GetAfter(), func(before uint32) bool { return int(before) >= len(complete) || !complete[before] })
		complete[s] = true
		for i := range int(step.GetTasks()) {
			n, _ := taskNumber(r, s, i)
			if done[n] {
				continue
			}
			complete[s] = false
			if begun && !t.stopped[coordinator.TaskName(id, s, i)] {
				return false
			}
		}
	}
	return true
}

// isGraceOver reports whether a holder that is still alive has noticed that it is lost.
func (t *takeover) isGraceOver(now time.Time) bool { return now.After(t.graceEnd) }
