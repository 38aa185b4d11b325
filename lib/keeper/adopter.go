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
	// reviewDelay gathers changes of the registrations before the records are
	// read.
	reviewDelay = 300 * time.Millisecond
	// reviewInterval is the time between two readings while jobs of holders that
	// are gone remain.
	reviewInterval = 2 * time.Second
	// dropGrace is how long after a holder is gone its jobs are left alone: the
	// holder stops its runs by its own clock, which takes no longer.
	dropGrace = 1500 * time.Millisecond
	// lateWrite is how long a write may take to be carried out.
	lateWrite = 8 * time.Second
	// strayMemory is how long ends of unknown jobs are kept; takeovers are over
	// sooner.
	strayMemory = 30 * time.Second
	// claimInterval is the time between two looks at the answers to a claim.
	claimInterval = 50 * time.Millisecond
	// listTimeout bounds the reading of all records.
	listTimeout = 5 * time.Second
)

// stray is an end of a job that this entry does not hold.
type stray struct {
	step   int
	index  int
	done   bool
	holder string
	end    coordinator.End
	at     time.Time
}

// claim is the takeover of the jobs of one holder.
type claim struct {
	// asked and answered are incarnations of entries by name.
	asked, answered map[string]string
}

// OrphanedEnd implements coordinator.Keeper.
func (k *Keeper) OrphanedEnd(id string, step, index int, done bool, holder string, e coordinator.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.jobs[id]
	if x != nil && x.stored == wire.KeptJob_open && x.record.GetHolder() != k.Identity.Holder() {
		// It is about to be given up.
		x = nil
	}
	switch {
	case x == nil && (holder == "" || holder != k.Identity.Holder()):
		if !slices.ContainsFunc(k.strays[id], func(s stray) bool { return s.end == e }) {
			k.strays[id] = append(k.strays[id], stray{step, index, done, holder, e, time.Now()})
		}
	case x != nil && (slices.Contains(x.ends, e) || slices.Contains(x.pending, e)):
	default:
		// It was stored before, or the job is over.
		go k.Jobs.ReleaseEnds([]coordinator.End{e})
	}
}

// Review makes Run look for jobs whose holder is gone.
func (k *Keeper) Review() {
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
		// Without kept jobs a single look, at the start, is enough.
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

// look reads all records and begins to take over those that fall to this entry.
// It reports whether to look again.
func (k *Keeper) look(ctx context.Context) (again bool) {
	names := k.Peers.Names()
	for names[k.Self] == "" && ctx.Err() == nil {
		pause(ctx, reviewDelay)
		names = k.Peers.Names()
	}
	records, err := k.list(ctx)
	if err != nil {
		k.Log.Warn().Err(err).Msg("kept_jobs_unreadable")
		return true
	}
	if len(records) > 0 {
		k.KeepJobs()
		k.Peers.KeepJobs()
	} else if !k.keeping.Load() {
		k.Peers.KeepNothing()
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

// begin takes over the jobs of a holder, unless that is under way.
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
		// A write of the holder may still be on its way.
		time.AfterFunc(lateWrite, k.Review)
		k.mu.Lock()
		delete(k.claims, holder)
		k.mu.Unlock()
		k.Log.Info().Str("holder", holder).Int("jobs", n).Err(err).Int64("after_ms", time.Since(gone).Milliseconds()).Msg("takeover_ended")
	}()
}

// isClaimed asks every registered entry to end the runs of a holder, and reports
// whether all have answered.
func (k *Keeper) isClaimed(holder string) bool {
	names := k.Peers.Names()
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

// Claimed takes the answer of an entry to a claim.
func (k *Keeper) Claimed(peer, incarnation, holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.claims[holder]; c != nil {
		c.answered[peer] = incarnation
	}
}

// Asked notes that a claim is on its way to this life of an entry; it is not
// sent again.
func (k *Keeper) Asked(peer, incarnation, holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.claims[holder]; c != nil {
		c.asked[peer] = incarnation
	}
}

// Unasked forgets the claims that were on their way to an entry whose connection
// broke.
func (k *Keeper) Unasked(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.claims {
		delete(c.asked, peer)
	}
}

// adopt writes this entry into the records of a holder that is gone.
func (k *Keeper) adopt(ctx context.Context, holder string) (int, error) {
	self, err := k.Identity.Hold(ctx)
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

// take writes this entry into one record, with the ends that were told.
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
	k.Commits.Commit(platform.Write{Key: Prefix + id, Value: encode(r), Expected: revision}, func(revision int64, err error) {
		if err != nil {
			// Somebody else was faster, or the next review finds it again. A write
			// of the holder may have counted failures already.
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

// restore puts ends back that were taken for a record that was not written.
func (k *Keeper) restore(id string, list []stray, onlyDone bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range list {
		if s.done || !onlyDone {
			k.strays[id] = append(k.strays[id], s)
		}
	}
}

// dropStrays lets go of ends of a holder's jobs that are over.
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

// Lose gives up all open jobs after the identity ended; whoever takes them over
// runs them again.
func (k *Keeper) Lose() {
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
	k.Review()
}

// Open counts the jobs of this entry that have not ended.
func (k *Keeper) Open() int {
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
