package keeper

import (
	"context"
	"slices"
	"strings"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/wire"
)

const (
	// settleAfter is the age from which on the record of a job with orphaned ends is
	// read, to find out whether it needs them, and settleInterval the time between two
	// such checks.
	settleAfter    = 4 * time.Second
	settleInterval = 2 * time.Second
	// maxSingleReads is the number of records up to which each is read alone. More are
	// read in one list of all records.
	maxSingleReads = 8
)

// settle compares ends that upstreams still list with the records until ctx ends: those that
// this entry retains as the owner of the upstream, and those that were reported to it though
// it does not hold the job. An end is released only if the record shows that the job does not
// need it, however long that takes.
func (k *Keeper) settle(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, settleInterval)
		k.settleEnds(ctx)
	}
}

// settleEnds makes one such comparison.
func (k *Keeper) settleEnds(ctx context.Context) {
	retained, orphans := k.Runs.UnsettledEnds(), k.oldOrphans()
	ids := slices.Clone(orphans)
	for _, e := range retained {
		ids = append(ids, jobOfTask(e.GetTask()))
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) == 0 {
		return
	}
	records, err := k.readRecords(ctx, ids)
	if err != nil {
		k.Log.Info().Int("jobs", len(ids)).Err(err).Msg("ends_not_settled")
		return
	}
	holders := k.Identity.Holders()
	for _, id := range orphans {
		k.settleOrphans(id, records[id], holders)
	}
	if len(retained) > 0 {
		k.settleRetained(retained, records, holders)
	}
}

// settleRetained settles the ends that this entry retains as the owner of their upstreams.
func (k *Keeper) settleRetained(retained []*wire.RunEnd, records map[string]*wire.KeptJob, holders map[string]bool) {
	released, assigned := 0, 0
	for _, e := range retained {
		record := records[jobOfTask(e.GetTask())]
		holder := record.GetHolder()
		switch {
		case !lacksEnd(record, e):
			released++
			k.Runs.Safe(&wire.RunSafe{Upstream: e.GetUpstream(), Task: e.GetTask(), Run: e.GetRun()})
		case holders[holder]:
			assigned++
			k.Runs.AssignEnd(e, entryOf(holder), holder)
		default:
			// The entry that takes the holder's jobs over collects the end.
			k.TriggerReview()
		}
	}
	k.Log.Info().Int("released", released).Int("held", assigned).Int("waiting", len(retained)-released-assigned).Msg("ends_settled")
}

// readRecords reads the records of jobs, given in order of their names. Those that do not exist
// are left out.
func (k *Keeper) readRecords(ctx context.Context, ids []string) (map[string]*wire.KeptJob, error) {
	out := make(map[string]*wire.KeptJob)
	if len(ids) > maxSingleReads {
		list, err := k.list(ctx)
		for _, kv := range list {
			id := strings.TrimPrefix(kv.Key, Prefix)
			if _, found := slices.BinarySearch(ids, id); found {
				out[id] = decode(kv.Value)
			}
		}
		return out, err
	}
	for _, id := range ids {
		record, revision, err := k.read(ctx, id)
		if err != nil {
			return nil, err
		}
		if revision != 0 {
			out[id] = record
		}
	}
	return out, nil
}

// oldOrphans returns the jobs with orphaned ends that were reported a while ago.
func (k *Keeper) oldOrphans() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for id, ends := range k.orphans {
		if time.Since(ends[0].received) > settleAfter {
			out = append(out, id)
		}
	}
	return out
}

// settleOrphans drops the orphaned ends of a job that this entry need not add to the record
// at a takeover: those that the record does not lack, which it also releases, and all while
// the job has a holder, which the owners of the upstreams report the others to.
func (k *Keeper) settleOrphans(id string, record *wire.KeptJob, holders map[string]bool) {
	held := holders[record.GetHolder()]
	k.mu.Lock()
	var unneeded []coordinator.End
	k.setOrphans(id, slices.DeleteFunc(k.orphans[id], func(s orphanedEnd) bool {
		lacks := lacksResult(record, s.step, s.index, s.done, s.end.Run)
		if !lacks {
			unneeded = append(unneeded, s.end)
		}
		return held || !lacks
	}))
	k.mu.Unlock()
	k.Jobs.ReleaseEnds(unneeded)
}

// lacksEnd reports whether a record lacks an end that an upstream lists.
func lacksEnd(r *wire.KeptJob, e *wire.RunEnd) bool {
	_, step, index, ok := coordinator.ParseTask(e.GetTask())
	return ok && lacksResult(r, step, index, e.GetCause() == wire.RunEnd_done, e.GetRun())
}

// lacksResult reports whether a record, nil if there is none, lacks the result of a run of a
// task that is still needed.
func lacksResult(r *wire.KeptJob, step, index int, done bool, run uint64) bool {
	if r == nil || r.GetState() != wire.KeptJob_open {
		return false
	}
	n, ok := taskNumber(r, step, index)
	return ok && !slices.Contains(r.GetDone(), n) && (done || !countsFailure(r, n, run))
}

// jobOfTask returns the job of a task.
func jobOfTask(task string) string {
	id, _, _, _ := coordinator.ParseTask(task)
	return id
}
