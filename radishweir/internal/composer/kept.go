package composer

import (
	"context"
	"sync"
	"time"

	"radishweir.org/lib/committer"
	"radishweir.org/lib/divider"
	"radishweir.org/lib/keeper"
	"radishweir.org/lib/wire"
)

const (
	// commitShare is the fraction of the store's writes that kept jobs may use.
	// They must not take more than half.
	commitShare = 0.49
	// longestCommitInterval bounds the delay of an acceptance when many entries
	// share few writes.
	longestCommitInterval = 100 * time.Millisecond
	// registrationPoll is the time between two checks whether this entry is
	// registered.
	registrationPoll = 50 * time.Millisecond
)

// buildKeeper builds the components for kept jobs.
func (e *Entry) buildKeeper() {
	e.committer = &committer.Committer{Store: e.store, Interval: e.commitInterval, Log: e.Log}
	e.keeper = &keeper.Keeper{
		Self: e.Name, Store: e.store, Committer: e.committer, Jobs: e.coordinator, Runs: e.runner, Identity: e.enroller, Peers: (*peers)(e), Log: e.Log,
	}
	e.keeper.Init()
	e.coordinator.Keeper = e.keeper
	e.enroller.HolderLost = e.keeper.AbandonOpenJobs
	e.enroller.RegistrationLapsed = e.cancelUnreachable
	e.enroller.Departed = func() {
		// The holders of this entry's earlier incarnations are known only after
		// the first read of the store.
		go e.enroller.RemoveOldHolders(e.ctx)
		e.keeper.ReviewDeparture()
	}
}

// commitInterval returns the time between two commits that gives each entry an
// equal share of the store's writes.
func (e *Entry) commitInterval() time.Duration {
	members, _ := e.enroller.Members()
	perEntry := commitShare * float64(e.StoreWrites) / float64(max(len(members), 1))
	return min(time.Duration(float64(time.Second)/perEntry), longestCommitInterval)
}

// peers implements keeper.Peers, through which the keeper reaches all entries.
type peers Entry

// Incarnations implements keeper.Peers.
func (p *peers) Incarnations() map[string]string {
	members, _ := p.enroller.Members()
	out := incarnationsOf(members)
	if !p.enroller.Registered() {
		delete(out, p.Name)
	}
	return out
}

// Confirm implements keeper.Peers.
func (p *peers) Confirm(ctx context.Context) (bool, error) { return p.confirmer.Confirm(ctx) }

// incarnationsOf returns the incarnations of entries by name.
func incarnationsOf(members []*wire.Registration) map[string]string {
	out := make(map[string]string, len(members))
	for _, m := range members {
		out[m.GetName()] = m.GetIncarnation()
	}
	return out
}

// Claim implements keeper.Peers.
func (p *peers) Claim(peer, holder string) {
	e, incarnation := (*Entry)(p), p.Incarnations()[peer]
	if peer == p.Name {
		p.keeper.ClaimSent(peer, incarnation, holder)
		e.retireHolder(p.Name, holder, func(view divider.View) { p.keeper.ClaimAnswered(peer, incarnation, holder, view) })
		return
	}
	if p.messenger.Send(peer, func(f *wire.PeerFrame) { f.Claims = append(f.Claims, &wire.Holder{Holder: holder}) }) {
		p.keeper.ClaimSent(peer, incarnation, holder)
	}
}

// Notify implements keeper.Peers.
func (p *peers) Notify(peer, job string) {
	p.messenger.Send(peer, func(f *wire.PeerFrame) { f.Notices = append(f.Notices, &wire.KeptNotice{Job: job}) })
}

// SendCancellation implements keeper.Peers.
func (p *peers) SendCancellation(peer string, c keeper.Cancellation) bool {
	n := &wire.KeptNotice{Job: c.Job, CancelledAt: c.Revision, Holder: c.Holder}
	return p.messenger.Send(peer, func(f *wire.PeerFrame) { f.Notices = append(f.Notices, n) })
}

// ConfirmCancellation implements keeper.Peers.
func (p *peers) ConfirmCancellation(peer, job string) {
	// If this gets lost, the peer sends the cancellation again.
	p.messenger.Send(peer, func(f *wire.PeerFrame) { f.Released = append(f.Released, job) })
}

// AnnounceKeptJobs implements keeper.Peers.
func (p *peers) AnnounceKeptJobs() {
	p.runner.RetainOrphanedEnds()
	p.keptJobsExist.Store(true)
}

// ReportNoKeptJobs implements keeper.Peers.
func (p *peers) ReportNoKeptJobs() {
	if !p.keptJobsExist.Load() {
		p.runner.DiscardOrphanedEnds()
	}
}

// retireHolder stops the runs of a dead holder on the upstreams of this entry,
// for the adopter that takes over its jobs. It first waits until this entry is
// registered and has computed its upstreams. done gets the view from which these were
// computed.
func (e *Entry) retireHolder(adopter, holder string, done func(view divider.View)) {
	go func() {
		for e.ctx.Err() == nil && (!e.enroller.Registered() || e.view.Load() == 0) {
			time.Sleep(registrationPoll)
		}
		view := divider.View(e.view.Load())
		e.runner.RetireHolder(e.ctx, adopter, holder, func() { done(view) })
	}()
}

// handleKeptFields processes the fields of a frame that concern kept jobs.
func (e *Entry) handleKeptFields(peer string, f *wire.PeerFrame) {
	for _, s := range f.GetSafe() {
		e.runner.Safe(s)
	}
	if f.GetKeeping() && !e.keptJobsExist.Load() {
		e.keeper.SetKeptJobsExist()
		(*peers)(e).AnnounceKeptJobs()
	}
	if f.GetKeeping() {
		e.pending.put(peer, f.GetPending())
	}
	for _, c := range f.GetClaims() {
		e.keeper.HolderClaimed(c.GetHolder())
		e.retireHolder(peer, c.GetHolder(), func(view divider.View) {
			answer := &wire.Holder{Holder: c.GetHolder(), View: uint64(view)}
			e.messenger.Send(peer, func(f *wire.PeerFrame) { f.Claimed = append(f.Claimed, answer) })
		})
	}
	for _, c := range f.GetClaimed() {
		e.keeper.ClaimAnswered(peer, (*peers)(e).Incarnations()[peer], c.GetHolder(), divider.View(c.GetView()))
	}
	for _, n := range f.GetNotices() {
		if n.GetCancelledAt() == 0 {
			e.keeper.Reload(n.GetJob())
			continue
		}
		e.keeper.CancellationReceived(e.ctx, peer, keeper.Cancellation{Job: n.GetJob(), Holder: n.GetHolder(), Revision: n.GetCancelledAt()})
	}
	for _, job := range f.GetReleased() {
		e.keeper.CancellationConfirmed(peer, job)
	}
}

const (
	// pendingRefreshInterval is the age at which this entry's own count of
	// waiting jobs is refreshed.
	pendingRefreshInterval = 200 * time.Millisecond
	// maxPendingAge is the age from which on the last count of a silent peer is
	// included in the sum only while the peer has a holder, and pendingGrace the time for
	// which it still is once the holder is gone. By then the entry that takes over its jobs
	// has read the records and counts them.
	maxPendingAge = 3 * time.Second
	pendingGrace  = 2 * time.Second
)

// pending holds the numbers of kept jobs that have not started, by entry and
// queue.
type pending struct {
	mu     sync.Mutex
	counts map[string]pendingCount
}

type pendingCount struct {
	queues  map[string]int64
	takenAt time.Time
}

func (p *pending) put(entry string, queues map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = make(map[string]pendingCount)
	}
	p.counts[entry] = pendingCount{queues, time.Now()}
}

// refresh returns the count of this entry. It first calls fresh for a new count
// if the last one is older than pendingRefreshInterval.
func (p *pending) refresh(entry string, fresh func() map[string]int64) map[string]int64 {
	p.mu.Lock()
	c, ok := p.counts[entry]
	p.mu.Unlock()
	if !ok || time.Since(c.takenAt) > pendingRefreshInterval {
		c.queues = fresh()
		p.put(entry, c.queues)
	}
	return c.queues
}

// sum returns the number of waiting jobs of one queue on all entries. hadHolder reports
// whether an entry has a holder or had one after a time.
func (p *pending) sum(queue string, hadHolder func(entry string, after time.Time) bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, now := int64(0), time.Now()
	for entry, c := range p.counts {
		if now.Sub(c.takenAt) < maxPendingAge || hadHolder(entry, now.Add(-pendingGrace)) {
			n += c.queues[queue]
		}
	}
	return n
}

// Pending returns the number of kept jobs of a queue that have not started, on
// all entries. The platform's JobHandler calls it.
func (e *Entry) Pending(queue string) int64 {
	if !e.keptJobsExist.Load() {
		return 0
	}
	e.pending.refresh(e.Name, e.keeper.Pending)
	return e.pending.sum(queue, e.enroller.HadHolder)
}

// drainKeptJobs waits for the kept jobs to end, at most until the given time, and then
// releases the holder, so that other entries take over the jobs that are still open.
func (e *Entry) drainKeptJobs(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && time.Now().Before(until) && e.keeper.OpenJobs() > 0 {
		time.Sleep(drainInterval)
	}
	releaseCtx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := e.enroller.ReleaseHolder(releaseCtx); err != nil {
		e.Log.Warn().Err(err).Msg("holder_not_removed")
	}
}
