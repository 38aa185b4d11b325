package keeper

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"radishweir.org/lib/coordinator"
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
	// settleAfter is the age from which on the record of a job with orphaned ends is
	// read, to find out whether it needs them, settleInterval the time between two
	// such checks, and maxSettled the maximum number of records read in one.
	settleAfter    = 4 * time.Second
	settleInterval = 2 * time.Second
	maxSettled     = 8
	// claimInterval is the time between two checks of the answers to a claim.
	claimInterval = 50 * time.Millisecond
	// listTimeout bounds a read of all records.
	listTimeout = 5 * time.Second
)

// orphanedEnd is the end of a run whose job this entry does not hold.
type orphanedEnd struct {
	step     int
	index    int
	done     bool
	holder   string
	end      coordinator.End
	received time.Time
}

// takeover is a takeover, in progress, of the jobs of one holder.
type takeover struct {
	// sent holds the incarnations, by entry name, to which the claim was sent and which
	// have not answered it since, answered the last answers.
	sent     map[string]string
	answered map[string]claimAnswer
}

// claimAnswer is the answer of an entry to a claim.
type claimAnswer struct {
	incarnation string
	// view is the one from which the entry had computed which upstreams it owns, 0 if
	// unknown.
	view divider.View
}

// covers reports whether an entry has answered for all upstreams that it owns by a view.
func (a claimAnswer) covers(incarnation string, view divider.View) bool {
	return a.incarnation == incarnation && (a.view == view || a.view == 0)
}

// OrphanedEnd implements coordinator.Keeper.
func (k *Keeper) OrphanedEnd(id string, step, index int, done bool, holder string, e coordinator.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j != nil && j.storedState == wire.KeptJob_open && j.record.GetHolder() != k.Identity.Holder() {
		// The holder under which this entry ran the job was lost, so the job is
		// about to be abandoned here.
		j = nil
	}
	switch {
	case j == nil && (holder == "" || holder != k.Identity.Holder()):
		k.addOrphan(id, orphanedEnd{step: step, index: index, done: done, holder: holder, end: e, received: time.Now()})
	case j != nil && (slices.Contains(j.unwrittenEnds, e) || slices.Contains(j.pendingEnds, e)):
	case j != nil && k.recordLateEnd(j, step, index, done, e):
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
	if !ok || j.record.GetState() != wire.KeptJob_open || slices.Contains(j.record.GetDone(), n) || (!done && j.countsFailure(n, e.Run)) {
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

// Run takes over the jobs of lost holders, and compares the jobs of this entry with their
// records, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var verification sync.WaitGroup
	verification.Go(func() { k.verify(ctx) })
	defer verification.Wait()
	reviewed := false
	settle := time.NewTicker(settleInterval)
	defer settle.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-settle.C:
			k.settleOrphans(ctx)
			continue
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
	k.takeovers[holder] = &takeover{sent: make(map[string]string), answered: make(map[string]claimAnswer)}
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
		for ctx.Err() == nil && !k.sendClaims(holder) {
			pause(ctx, claimInterval)
		}
		pause(ctx, time.Until(started.Add(holderStopGrace)))
		n, err := k.takeOverJobs(ctx, holder)
		// A late write of the old holder may still add a job.
		time.AfterFunc(lateWriteDelay, k.TriggerReview)
		k.Log.Info().Str("holder", holder).Int("jobs", n).Err(err).Int64("after_ms", time.Since(started).Milliseconds()).Msg("takeover_ended")
	}()
}

// sendClaims sends the claim on a holder to every registered entry that has not got it
// yet, or has answered it before the owners of the upstreams changed. It reports whether
// the answers of all registered entries cover all upstreams.
func (k *Keeper) sendClaims(holder string) bool {
	names := k.Peers.Incarnations()
	view := divider.NewView(names)
	k.mu.Lock()
	t := k.takeovers[holder]
	var unsent []string
	allAnswered := len(names) > 0
	for name, incarnation := range names {
		if t.answered[name].covers(incarnation, view) {
			continue
		}
		allAnswered = false
		if t.sent[name] != incarnation {
			unsent = append(unsent, name)
		}
	}
	k.mu.Unlock()
	for _, name := range unsent {
		k.Peers.Claim(name, holder)
	}
	return allAnswered
}

// ClaimAnswered records that an entry has answered the claim on a holder: it
// has stopped the holder's runs on the upstreams that it owns by a view, and reported
// their ends. The view is 0 if unknown.
func (k *Keeper) ClaimAnswered(peer, incarnation, holder string, view divider.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.takeovers[holder]; t != nil {
		t.answered[peer] = claimAnswer{incarnation, view}
		delete(t.sent, peer)
	}
}

// ClaimSent records that the claim on a holder was sent to this incarnation of an
// entry, so that it is not sent again until the entry has answered.
func (k *Keeper) ClaimSent(peer, incarnation, holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.takeovers[holder]; t != nil {
		t.sent[peer] = incarnation
	}
}

// ResendClaims makes unanswered claims be sent again to an entry whose
// connection was lost.
func (k *Keeper) ResendClaims(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.takeovers {
		delete(t.sent, peer)
	}
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
	k.dropOrphans(holder)
	return n, nil
}

// takeOverJob writes the holder self into one record, together with the ends of
// the job's runs that were reported so far.
func (k *Keeper) takeOverJob(id string, revision int64, r *wire.KeptJob, self string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.jobs[id] != nil {
		return
	}
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
		}
	})
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
		case !ok || (!s.done && j.countsFailure(n, s.end.Run)):
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

// dropOrphans drops the ends of a holder's runs that were not added to any record,
// which their upstreams may then forget.
func (k *Keeper) dropOrphans(holder string) {
	k.mu.Lock()
	var dropped []coordinator.End
	for id, ends := range k.orphans {
		for _, s := range ends {
			if s.holder == holder {
				dropped = append(dropped, s.end)
			}
		}
		k.setOrphans(id, slices.DeleteFunc(ends, func(s orphanedEnd) bool { return s.holder == holder }))
	}
	k.mu.Unlock()
	k.Jobs.ReleaseEnds(dropped)
}

// setOrphans replaces the orphaned ends of a job; the caller holds the lock.
func (k *Keeper) setOrphans(id string, ends []orphanedEnd) {
	if len(ends) == 0 {
		delete(k.orphans, id)
		return
	}
	k.orphans[id] = ends
}

// settleOrphans releases the old ends that no record needs any more: their jobs have
// ended, or their records include them. Until then their upstreams list them.
func (k *Keeper) settleOrphans(ctx context.Context) {
	k.mu.Lock()
	var ids []string
	for id, ends := range k.orphans {
		if time.Since(ends[0].received) > settleAfter && len(ids) < maxSettled {
			ids = append(ids, id)
		}
	}
	k.mu.Unlock()
	for _, id := range ids {
		record, revision, err := k.read(ctx, id)
		if err != nil {
			k.Log.Debug().Str("job", id).Err(err).Msg("orphaned_ends_unsettled")
			return
		}
		ended := revision == 0 || record.GetState() != wire.KeptJob_open
		k.mu.Lock()
		var settled []coordinator.End
		k.setOrphans(id, slices.DeleteFunc(k.orphans[id], func(s orphanedEnd) bool {
			n, ok := taskNumber(record, s.step, s.index)
			if !ended && ok && !(s.done && slices.Contains(record.GetDone(), n)) {
				return false
			}
			settled = append(settled, s.end)
			return true
		}))
		k.mu.Unlock()
		k.Jobs.ReleaseEnds(settled)
	}
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
