package keeper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"radishweir.org/lib/wire"
)

const (
	// verifyInterval is the age from which on what this entry knows of a record is
	// compared with the store. Tasks of a cancelled job must end within a few seconds,
	// also if nobody could tell the entries that run them.
	verifyInterval = time.Second
	// maxVerified is the maximum number of records read in one verifyInterval. It bounds
	// the share of the store's reads; while there are more open jobs, each is verified
	// less often.
	maxVerified = 32
)

// Runs are the runs on the upstreams of this entry; runner.Runner implements it.
type Runs interface {
	// UnattendedJobs returns the kept jobs with runs whose requester is unreachable, so
	// that it could not stop them.
	UnattendedJobs() []string
	// CancelJob stops all runs of a job, refuses further ones until the given time and returns
	// the number of those stopped.
	CancelJob(ctx context.Context, job string, until time.Time) int
	// UnsettledEnds returns the ends that upstreams have listed for a while.
	UnsettledEnds() []*wire.RunEnd
	// AssignEnd sends an end to the entry that holds the run's job, until Safe is called.
	AssignEnd(e *wire.RunEnd, requester, holder string)
	// Safe lets an upstream drop the end of a run.
	Safe(s *wire.RunSafe)
}

// verify compares the jobs that this entry runs, and the runs that it supervises for
// others, with the records until ctx ends. An entry that changes a record tells the
// holder, but such a notice may be lost, and the holder may be gone.
func (k *Keeper) verify(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, verifyInterval)
		if !k.keptJobsExist.Load() {
			continue
		}
		// Neither kind may take all reads.
		if n, err := k.verifyHeldJobs(ctx, maxVerified/2); err == nil {
			k.verifyUnattendedRuns(ctx, maxVerified-n)
		}
	}
}

// verifyHeldJobs compares up to n open jobs of this entry with their records, those first
// that were compared the longest time ago. It returns the number of records read.
func (k *Keeper) verifyHeldJobs(ctx context.Context, n int) (int, error) {
	type held struct {
		job      *keptJob
		verifyAt time.Time
	}
	now := time.Now()
	k.mu.Lock()
	var list []held
	for _, j := range k.jobs {
		if j.storedState == wire.KeptJob_open && j.revision != 0 && !j.writing && now.After(j.verifyAt) {
			list = append(list, held{j, j.verifyAt})
		}
	}
	k.mu.Unlock()
	slices.SortFunc(list, func(a, b held) int { return cmp.Or(a.verifyAt.Compare(b.verifyAt), cmp.Compare(a.job.id, b.job.id)) })
	list = list[:min(n, len(list))]
	for i, h := range list {
		_, revision, err := k.read(ctx, h.job.id)
		if err != nil {
			k.Log.Debug().Str("job", h.job.id).Err(err).Msg("record_not_verified")
			return i, err
		}
		k.mu.Lock()
		h.job.verifyAt = time.Now().Add(verifyInterval)
		// A record that is older than the last write was read before that write.
		changed := k.jobs[h.job.id] == h.job && !h.job.writing && (revision == 0 || revision > h.job.revision)
		k.mu.Unlock()
		if changed {
			go k.reloadRecord(h.job)
		}
	}
	return len(list), nil
}

// verifyUnattendedRuns stops the runs of up to n jobs that have ended by their records
// while the requester of the runs is unreachable.
func (k *Keeper) verifyUnattendedRuns(ctx context.Context, n int) {
	ids := k.Runs.UnattendedJobs()
	if len(ids) > n {
		// The first ones would be verified again and again.
		k.verifyFrom = k.verifyFrom % len(ids)
		ids = slices.Concat(ids[k.verifyFrom:], ids[:k.verifyFrom])[:n]
		k.verifyFrom += n
	}
	for _, id := range ids {
		record, revision, err := k.read(ctx, id)
		if err != nil {
			k.Log.Debug().Str("job", id).Err(err).Msg("record_not_verified")
			return
		}
		state := record.GetState()
		if revision != 0 && state == wire.KeptJob_open {
			continue
		}
		if stopped := k.Runs.CancelJob(ctx, id, time.Now().Add(outcomeRetention)); stopped > 0 {
			k.Log.Info().Str("job", id).Stringer("state", state).Int("runs", stopped).Msg("unattended_runs_stopped")
		}
	}
}
