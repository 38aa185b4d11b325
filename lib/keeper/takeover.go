package keeper

import (
	"context"
	"maps"
	"slices"
	"strings"
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
	// dropGrace is the shortest time from the start of a takeover to its first
	// write. Within that time a holder that is still alive notices by its own clock
	// that its lease has ended, and stops its runs.
	dropGrace = 1500 * time.Millisecond
	// lateWrite is the longest delay after which a write sent by the old holder can
	// still take effect.
	lateWrite = 8 * time.Second
	// strayMemory is how long ends of runs of unknown jobs are kept. Takeovers take
	// less time.
	strayMemory = 30 * time.Second
	// claimInterval is the time between two checks of the answers to a claim.
	claimInterval = 50 * time.Millisecond
	// listTimeout bounds a read of all records.
	listTimeout = 5 * time.Second
)

// stray is the end of a run whose job this entry does not hold.
type stray struct {
	step   int
	index  int
	done   bool
	holder string
	end    coordinator.End
	at     time.Time
}

// claim is a takeover, in progress, of the jobs of one holder.
type claim struct {
	// asked and answered are the incarnations, by entry name, to which the claim was
	// sent and which have answered it.
	asked, answered map[string]string
}

// OrphanedEnd implements coordinator.Keeper.
func (k *Keeper) OrphanedEnd(id string, step, index int, done bool, holder string, e coordinator.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.jobs[id]
	if x != nil && x.stored == wire.KeptJob_open && x.record.GetHolder() != k.Identity.Holder() {
		// The holder under which this entry ran the job was lost, so the job is about
		// to be abandoned here.
		x = nil
	}
	switch {
	case x == nil && (holder == "" || holder != k.Identity.Holder()):
		if !slices.ContainsFunc(k.strays[id], func(s stray) bool { return s.end == e }) {
			k.strays[id] = append(k.strays[id], stray{step, index, done, holder, e, time.Now()})
		}
	case x != nil && (slices.Contains(x.ends, e) || slices.Contains(x.pending, e)):
	default:
		// The result is already stored, or the job has ended.
		go k.Jobs.ReleaseEnds([]coordinator.End{e})
	}
}

// TriggerReview makes Run check for open jobs whose holder is gone.
func (k *Keeper) TriggerReview() {
	select {
	case k.review <- struct{}{}:
	default:
	}
}

// Run takes over the jobs of holders that are gone until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	looked := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.review:
		}
		// Until kept jobs are known to exist, the read at the start is enough.
		if looked && !k.keeping.Load() {
			continue
		}
		for again := true; again && ctx.Err() == nil; {
			pause(ctx, reviewDelay)
			again = k.look(ctx)
			looked = true
			if again {
				pause(ctx, reviewInterval)
			}
		}
	}
}

// look reads all records and starts the takeovers that are assigned to this entry.
// It reports whether open jobs without a live holder remain, so that the records
// must be read again.
func (k *Keeper) look(ctx context.Context) (again bool) {
	names := k.Peers.Incarnations()
	for names[k.Self] == "" && ctx.Err() == nil {
		pause(ctx, reviewDelay)
		names = k.Peers.Incarnations()
	}
	records, err := k.list(ctx)
	if err != nil {
		k.Log.Warn().Err(err).Msg("kept_jobs_unreadable")
		return true
	}
	if len(records) > 0 {
		k.SetKeptJobsExist()
		k.Peers.AnnounceKeptJobs()
	} else if !k.keeping.Load() {
		k.Peers.ReportNoKeptJobs()
	}
	live := k.Identity.Holders()
	members := make([]divider.Member, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		members = append(members, divider.Member{Name: name})
	}
	for _, kv := range records {
		r := decode(kv.Value)
		if r.GetState() != wire.KeptJob_open || live[r.GetHolder()] {
			continue
		}
		again = true
		if owner, ok := divider.Owner(r.GetHolder(), "", members); ok && owner == k.Self {
			k.begin(ctx, r.GetHolder())
		}
	}
	return again
}

// list reads all records.
func (k *Keeper) list(ctx context.Context) ([]platform.KeyValue, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s, err := k.Store.List(call, Prefix)
	return s.KeyValues, err
}

// begin starts the takeover of the jobs of a holder unless it is in progress.
func (k *Keeper) begin(ctx context.Context, holder string) {
	k.mu.Lock()
	if k.claims[holder] != nil {
		k.mu.Unlock()
		return
	}
	k.claims[holder] = &claim{asked: make(map[string]string), answered: make(map[string]string)}
	k.mu.Unlock()
	k.Log.Info().Str("holder", holder).Msg("takeover_begun")
	go func() {
		gone := time.Now()
		for ctx.Err() == nil && !k.isClaimed(holder) {
			pause(ctx, claimInterval)
		}
		pause(ctx, time.Until(gone.Add(dropGrace)))
		n, err := k.adopt(ctx, holder)
		// A late write of the old holder may still add a job.
		time.AfterFunc(lateWrite, k.TriggerReview)
		k.mu.Lock()
		delete(k.claims, holder)
		k.mu.Unlock()
		k.Log.Info().Str("holder", holder).Int("jobs", n).Err(err).Int64("after_ms", time.Since(gone).Milliseconds()).Msg("takeover_ended")
	}()
}

// isClaimed sends the claim on a holder to every registered entry that has not got
// it yet, and reports whether all registered entries have answered.
func (k *Keeper) isClaimed(holder string) bool {
	names := k.Peers.Incarnations()
	k.mu.Lock()
	c := k.claims[holder]
	var ask []string
	all := len(names) > 0
	for name, incarnation := range names {
		all = all && c.answered[name] == incarnation
		if c.answered[name] != incarnation && c.asked[name] != incarnation {
			ask = append(ask, name)
		}
	}
	k.mu.Unlock()
	for _, name := range ask {
		k.Peers.Claim(name, holder)
	}
	return all
}

// ClaimAnswered records that an entry has answered the claim on a holder: it has stopped
// the holder's runs and reported their ends.
func (k *Keeper) ClaimAnswered(peer, incarnation, holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.claims[holder]; c != nil {
		c.answered[peer] = incarnation
	}
}

// ClaimSent records that the claim on a holder was sent to this incarnation of an
// entry, so that it is not sent again.
func (k *Keeper) ClaimSent(peer, incarnation, holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.claims[holder]; c != nil {
		c.asked[peer] = incarnation
	}
}

// ResendClaims makes unanswered claims be sent again to an entry whose connection was
// lost.
func (k *Keeper) ResendClaims(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.claims {
		delete(c.asked, peer)
	}
}

// adopt takes over all open jobs of a lost holder and returns their number.
func (k *Keeper) adopt(ctx context.Context, holder string) (int, error) {
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
		k.take(strings.TrimPrefix(kv.Key, Prefix), kv.Revision, r, self)
	}
	k.dropStrays(holder)
	return n, nil
}

// take writes the holder self into one record, together with the ends of the job's
// runs that were reported so far.
func (k *Keeper) take(id string, revision int64, r *wire.KeptJob, self string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.jobs[id] != nil {
		return
	}
	x := &kept{id: id, record: r, revision: revision, ready: make(chan struct{}), answer: accepted}
	close(x.ready)
	r.Holder = self
	r.Term++
	told := k.strays[id]
	for _, s := range told {
		if n, ok := numberOf(r, s.step, s.index); ok {
			x.count(n, s.done)
		}
		x.pending = append(x.pending, s.end)
	}
	delete(k.strays, id)
	x.writing = true
	k.jobs[id] = x
	job := jobOf(id, r)
	k.Committer.Commit(platform.Write{Key: Prefix + id, Value: encode(r), Expected: revision}, func(revision int64, err error) {
		if err != nil {
			// Another entry was faster, or the next review finds the job again. After a
			// conflict failed runs aren't counted again, as a late write of the old holder
			// may include them.
			k.forget(x)
			k.restore(id, told, isConflict(err))
			return
		}
		k.flushed(x, wire.KeptJob_open, revision, nil)
		if k.Identity.Holder() == self {
			k.keep(x, job)
		}
	})
}

// restore puts back the ends of a job whose record could not be written; with
// onlyDone it leaves out failed runs.
func (k *Keeper) restore(id string, list []stray, onlyDone bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range list {
		if s.done || !onlyDone {
			k.strays[id] = append(k.strays[id], s)
		}
	}
}

// dropStrays drops the ends that no job took up: those of the holder's runs, which
// their upstreams may then forget, and those older than strayMemory.
func (k *Keeper) dropStrays(holder string) {
	k.mu.Lock()
	var list []coordinator.End
	for id, strays := range k.strays {
		for _, s := range strays {
			if s.holder == holder {
				list = append(list, s.end)
			}
		}
		k.strays[id] = slices.DeleteFunc(strays, func(s stray) bool {
			return s.holder == holder || time.Since(s.at) > strayMemory
		})
		if len(k.strays[id]) == 0 {
			delete(k.strays, id)
		}
	}
	k.mu.Unlock()
	k.Jobs.ReleaseEnds(list)
}

// AbandonOpenJobs abandons all open jobs after the holder of this entry was lost. The entry
// that takes them over runs them again.
func (k *Keeper) AbandonOpenJobs() {
	k.mu.Lock()
	var list []string
	for id, x := range k.jobs {
		if x.stored == wire.KeptJob_open && x.revision != 0 {
			list = append(list, id)
			delete(k.jobs, id)
		}
	}
	k.mu.Unlock()
	for _, id := range list {
		k.Jobs.Release(id)
	}
	if len(list) > 0 {
		k.Log.Warn().Int("jobs", len(list)).Msg("kept_jobs_given_up")
	}
	k.TriggerReview()
}

// OpenJobs returns the number of jobs of this entry that have not ended.
func (k *Keeper) OpenJobs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, x := range k.jobs {
		if x.stored == wire.KeptJob_open {
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
