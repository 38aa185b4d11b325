package keeper

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"radishweir.org/lib/divider"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/wire"
)

const (
	// reviewDelay is the pause before the records are read, so that several changes
	// of the registrations lead to one read.
	reviewDelay = 300 * time.Millisecond
	// reviewInterval is the pause between two reads of the records while open jobs
	// of lost holders remain.
	reviewInterval = 2 * time.Second
	// holderStopGrace is the shortest time from the start of a takeover to its first
	// write. Within that time a holder that is still alive notices by its own clock
	// that its lease has ended, and stops its runs.
	holderStopGrace = 1500 * time.Millisecond
	// lateWriteDelay is the longest delay after which a write sent by the old
	// holder can still take effect.
	lateWriteDelay = 8 * time.Second
	// listTimeout bounds a read of all records.
	listTimeout = 5 * time.Second
)

// TriggerReview makes Run check for open jobs whose holder is gone.
func (k *Keeper) TriggerReview() {
	select {
	case k.review <- struct{}{}:
	default:
	}
}

// ReviewDeparture makes Run check for open jobs whose holder is gone, now and once no
// write that a departed holder sent can be carried out any more.
func (k *Keeper) ReviewDeparture() {
	k.TriggerReview()
	time.AfterFunc(lateWriteDelay, k.TriggerReview)
}

// Run takes over the jobs of lost holders, and compares the jobs of this entry and the ends
// that it knows with the records, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var background sync.WaitGroup
	background.Go(func() { k.verify(ctx) })
	background.Go(func() { k.settle(ctx) })
	background.Go(func() { k.announce(ctx) })
	defer background.Wait()
	reviewed := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.review:
		}
		// Until kept jobs are known to exist, the read at the start is enough.
		if reviewed && !k.keptJobsExist.Load() {
			continue
		}
		for again := true; again && ctx.Err() == nil; {
			pause(ctx, reviewDelay)
			again = k.reviewRecords(ctx)
			reviewed = true
			if again {
				pause(ctx, reviewInterval)
			}
		}
	}
}

// reviewRecords reads all records and starts the takeovers that are assigned to
// this entry. It reports whether open jobs without a live holder remain, so
// that the records must be read again.
func (k *Keeper) reviewRecords(ctx context.Context) (again bool) {
	names := k.Peers.Incarnations()
	for names[k.Self] == "" && ctx.Err() == nil {
		pause(ctx, reviewDelay)
		names = k.Peers.Incarnations()
	}
	known := k.unheldJobs()
	records, err := k.list(ctx)
	if err != nil {
		k.Log.Warn().Err(err).Msg("kept_jobs_unreadable")
		return true
	}
	if len(records) > 0 {
		k.SetKeptJobsExist()
		k.Peers.AnnounceKeptJobs()
	} else if !k.keptJobsExist.Load() {
		k.Peers.ReportNoKeptJobs()
	}
	live := k.Identity.Holders()
	members := make([]divider.Member, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		members = append(members, divider.Member{Name: name})
	}
	unheld, mine, others := make(map[string]unheldJob), make(map[string]bool), make(map[string]string)
	for _, kv := range records {
		r, id := decode(kv.Value), strings.TrimPrefix(kv.Key, Prefix)
		holder := r.GetHolder()
		if r.GetState() != wire.KeptJob_open {
			continue
		}
		if !live[holder] {
			again = true
			owner, ok := divider.Owner(holder, "", members)
			mine[holder] = ok && owner == k.Self
			if ok && owner != k.Self {
				others[owner] = id
			}
		}
		if live[holder] && holder == k.Identity.Holder() {
			k.adopt(id, kv.Revision, r)
		}
		if len(r.GetDone()) == 0 && (mine[holder] || live[holder] && known[id].holder == holder) {
			unheld[id] = unheldJob{queue: r.GetQueue(), holder: holder, revision: kv.Revision}
		}
	}
	k.replaceUnheld(known, unheld)
	for owner, id := range others {
		// That entry may have read the records before the job was stored.
		k.Peers.Notify(owner, id)
	}
	for _, holder := range slices.Sorted(maps.Keys(mine)) {
		if mine[holder] {
			k.startTakeover(ctx, holder)
		}
	}
	return again
}

// adopt takes over a job of this entry's own holder that this entry does not run. Nobody
// else would.
func (k *Keeper) adopt(id string, revision int64, r *wire.KeptJob) {
	k.mu.Lock()
	runs := k.jobs[id] != nil
	k.mu.Unlock()
	if runs {
		return
	}
	k.Log.Error().Str("job", id).Msg("job_without_runner")
	k.takeOverJob(id, revision, r, r.GetHolder())
}

// list reads all records.
func (k *Keeper) list(ctx context.Context) ([]platform.KeyValue, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s, err := k.Store.List(call, Prefix)
	return s.KeyValues, err
}

// startTakeover starts the takeover of the jobs of a holder unless it is in
// progress.
func (k *Keeper) startTakeover(ctx context.Context, holder string) {
	k.mu.Lock()
	if k.takeovers[holder] != nil {
		k.mu.Unlock()
		return
	}
	t := &takeover{sent: make(map[string]string), answered: make(map[string]claimAnswer), stopped: make(map[string]bool), graceEnd: time.Now().Add(holderStopGrace)}
	k.takeovers[holder] = t
	k.mu.Unlock()
	go func() {
		defer func() {
			k.mu.Lock()
			delete(k.takeovers, holder)
			k.mu.Unlock()
		}()
		// What this entry knows of the holders may be older than the records.
		if exists, err := k.Identity.HolderExists(ctx, holder); err != nil || exists {
			k.Log.Info().Str("holder", holder).Bool("exists", exists).Err(err).Msg("takeover_not_begun")
			return
		}
		k.Log.Info().Str("holder", holder).Msg("takeover_begun")
		started := time.Now()
		for ctx.Err() == nil && !k.claimsSettled(ctx, holder) {
			if t.isGraceOver(time.Now()) {
				k.takeOverSettledJobs(ctx, holder)
			}
			pause(ctx, claimInterval)
		}
		pause(ctx, time.Until(t.graceEnd))
		n, err := k.takeOverJobs(ctx, holder)
		// A late write of the old holder may still add a job.
		time.AfterFunc(lateWriteDelay, k.TriggerReview)
		k.Log.Info().Str("holder", holder).Int("jobs", n).Err(err).Int64("after_ms", time.Since(started).Milliseconds()).Msg("takeover_ended")
	}()
}

// takeOverJobs takes over all open jobs of a lost holder and returns their number.
func (k *Keeper) takeOverJobs(ctx context.Context, holder string) (int, error) {
	self, err := k.Identity.EnsureHolder(ctx)
	if err != nil {
		return 0, err
	}
	records, err := k.list(ctx)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, kv := range records {
		r := decode(kv.Value)
		if r.GetHolder() != holder || r.GetState() != wire.KeptJob_open {
			continue
		}
		n++
		k.takeOverJob(strings.TrimPrefix(kv.Key, Prefix), kv.Revision, r, self)
	}
	return n, nil
}

// takeOverJob writes the holder self into one record, together with the ends of
// the job's runs that were reported so far.
func (k *Keeper) takeOverJob(id string, revision int64, r *wire.KeptJob, self string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j := k.jobs[id]; j != nil && j.revision != 0 {
		return
	}
	// This replaces another submission of the job whose first write is under way. That write
	// fails, as there is a record.
	j := &keptJob{id: id, record: r, revision: revision, ready: make(chan struct{}), answer: acceptedAnswer}
	close(j.ready)
	r.Holder = self
	r.Term++
	ends := k.orphans[id]
	j.recordOrphans(ends)
	delete(k.orphans, id)
	j.writing = true
	k.jobs[id] = j
	k.Committer.Commit(platform.Write{Key: Prefix + id, Value: encode(r), Expected: revision}, func(revision int64, err error) {
		if err != nil {
			// Another entry changed the record first, or the next review finds the job again.
			k.forget(j)
			k.restoreOrphans(id, ends)
			return
		}
		// The record may include ends that were reported during the write.
		k.mu.Lock()
		job := jobOf(id, r)
		k.mu.Unlock()
		k.writeDone(j, wire.KeptJob_open, revision, nil)
		if k.Identity.Holder() == self {
			k.startJob(j, job)
			return
		}
		// The holder may have been lost before this entry knew the job, which AbandonOpenJobs
		// then did not find.
		k.forget(j)
		k.TriggerReview()
	})
}

// AbandonOpenJobs abandons all open jobs after the holder of this entry was
// lost. The entry that takes them over runs them again.
func (k *Keeper) AbandonOpenJobs() {
	k.mu.Lock()
	var abandoned []*keptJob
	for id, j := range k.jobs {
		if j.storedState == wire.KeptJob_open && j.revision != 0 {
			abandoned = append(abandoned, j)
			delete(k.jobs, id)
		}
	}
	k.mu.Unlock()
	for _, j := range abandoned {
		started := k.Jobs.MayHaveStarted(j.id)
		k.Jobs.Release(j.id)
		k.mu.Lock()
		if !started && j.record.GetState() == wire.KeptJob_open && len(j.record.GetDone()) == 0 {
			k.countUnheld(j)
		}
		k.mu.Unlock()
	}
	if len(abandoned) > 0 {
		k.Log.Warn().Int("jobs", len(abandoned)).Msg("kept_jobs_given_up")
	}
	k.TriggerReview()
}

// OpenJobs returns the number of jobs of this entry that have not ended.
func (k *Keeper) OpenJobs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, j := range k.jobs {
		if j.storedState == wire.KeptJob_open {
			n++
		}
	}
	return n
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
