package composer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"radishweir.org/lib/detector"
	"radishweir.org/lib/divider"
	"radishweir.org/lib/messenger"
	"radishweir.org/lib/relinquisher"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// smallFleet is the number of entries up to which all of them are near each other.
// In larger fleets only those of one cell of a failure domain are.
const smallFleet = 12

// maxCellSize is the maximum number of entries of a failure domain that are near each
// other, so that the cost of an entry doesn't grow with its failure domain.
const maxCellSize = 16

// listReaders is the number of entries of a cell that read the list of upstreams from
// the store, so that the loss of one does not make all others read it.
const listReaders = 2

// assignUpstreams recomputes which entry owns which upstream.
func (e *Entry) assignUpstreams() {
	e.assignMu.Lock()
	defer e.assignMu.Unlock()
	if len(e.enroller.Holders()) > 0 {
		e.runner.RetainOrphanedEnds()
	}
	registrations, token := e.enroller.Members()
	e.departures.Apply(time.Now(), departureEntries(registrations))
	group := e.nearGroup(registrations)
	var entries []divider.Member
	peers, near, domains := make(map[string]messenger.Peer), make(map[string]bool), make(map[string]string)
	for _, r := range registrations {
		entries = append(entries, divider.Member{Name: r.GetName(), Domain: r.GetFailureDomain(), Weight: int(r.GetWeight())})
		near[r.GetName()], domains[r.GetName()] = slices.Contains(group, r), r.GetFailureDomain()
		peers[r.GetName()] = messenger.Peer{Address: r.GetEntryAddress(), Near: near[r.GetName()]}
	}
	members := divider.NewMembers(entries)
	list := e.roster.Upstreams()
	var owned []runner.Upstream
	for i := range list {
		u := &list[i]
		s, _ := e.router.Service(u.Service)
		u.Connections = s.Connections
		if e.draining.Load() || !members.MayOwn(e.FailureDomain, u.Domain) {
			continue
		}
		if owner, ok := members.Owner(u.Name, u.Domain); ok && owner == e.Name {
			owned = append(owned, *u)
		}
	}
	e.members.Store(&members)
	vanished := slices.DeleteFunc(e.vanished.Apply(time.Now(), list), e.hasAnswered)
	e.coordinator.SetNear(near)
	e.coordinator.SetDomains(domains)
	e.messenger.SetPeers(e.ctx, peers)
	e.relayer.SetReaders(e.chooseListReaders(registrations, group))
	e.runner.SetOwned(e.ctx, token, owned)
	e.runner.SetUnlisted(vanished)
	if len(list) > 0 {
		// Without the list of upstreams, this entry would vouch for none of those that it
		// is about to own.
		e.view.Store(uint64(divider.NewView(incarnationsOf(registrations))))
	}
	e.coordinator.SetUpstreams(list)
	e.coordinator.UpdateOwnStates(true, e.runner.States)
}

// departureEntries converts registrations to the form in which departures are recorded.
func departureEntries(registrations []*wire.Registration) map[string]relinquisher.Entry {
	out := make(map[string]relinquisher.Entry, len(registrations))
	for _, r := range registrations {
		out[r.GetName()] = relinquisher.Entry{Incarnation: r.GetIncarnation(), Domain: r.GetFailureDomain()}
	}
	return out
}

// hasAnswered reports whether an upstream has answered the entry that owns it by the registrations.
func (e *Entry) hasAnswered(u runner.Upstream) bool {
	owner, ok := e.members.Load().Owner(u.Name, u.Domain)
	return ok && e.coordinator.IsReached(u.Name, owner)
}

// readView reads the registered entries from the store.
func (e *Entry) readView(ctx context.Context) (divider.View, error) {
	incarnations, err := e.enroller.ReadMembers(ctx)
	return divider.NewView(incarnations), err
}

// renewableUntil returns the time up to which this entry may renew the leases of upstreams that list
// ends of kept jobs; zero while it is registered.
func (e *Entry) renewableUntil() time.Time {
	if at := e.enroller.LapsedAt(); !at.IsZero() {
		return relinquisher.Deadline(at)
	}
	return time.Time{}
}

// nearGroup returns the entries that are near this one, itself included: all of a
// small fleet, otherwise those of its cell of its failure domain.
func (e *Entry) nearGroup(registrations []*wire.Registration) []*wire.Registration {
	if len(registrations) <= smallFleet {
		return registrations
	}
	var names []string
	for _, r := range registrations {
		if r.GetFailureDomain() == e.FailureDomain {
			names = append(names, r.GetName())
		}
	}
	cell := divider.Cell(e.Name, names, maxCellSize)
	return slices.DeleteFunc(slices.Clone(registrations), func(r *wire.Registration) bool {
		return r.GetFailureDomain() != e.FailureDomain || !slices.Contains(cell, r.GetName())
	})
}

// chooseListReaders returns the entries that read the list of upstreams from the store for
// the near group, those with the largest weight first: in a small fleet this entry
// itself.
func (e *Entry) chooseListReaders(registrations, group []*wire.Registration) []string {
	if len(registrations) <= smallFleet {
		return []string{e.Name}
	}
	list := slices.SortedFunc(slices.Values(group), func(a, b *wire.Registration) int {
		return cmp.Or(cmp.Compare(b.GetWeight(), a.GetWeight()), cmp.Compare(a.GetName(), b.GetName()))
	})
	var names []string
	for _, r := range list[:min(len(list), listReaders)] {
		names = append(names, r.GetName())
	}
	return names
}

// publishState passes the new state of an upstream of this entry to the
// coordinator and to all peers. A new claim is urgent: it makes the entries with
// runs on the upstream ask this entry for them.
func (e *Entry) publishState(name string) {
	var token int64
	e.coordinator.UpdateOwnStates(false, func() []*wire.UpstreamState {
		s := e.runner.State(name)
		token = s.GetToken()
		return []*wire.UpstreamState{s}
	})
	claimed, known := e.claims.Swap(name, token)
	e.messenger.Publish(name, token != 0 && (!known || claimed != token))
}

// Linked implements messenger.Handler.
func (e *Entry) Linked(peer string) bool {
	return e.coordinator.HasRunsAt(peer) || e.runner.HasRunsOf(peer) || e.received.from(peer)
}

// lastSeen returns the time at which an entry was last known to be alive.
func (e *Entry) lastSeen(name string) time.Time {
	if name == e.Name {
		return e.life.lastSeen()
	}
	return e.messenger.LastSeen(name)
}

// life holds the signs of life of this process.
type life struct {
	mu     sync.Mutex
	pauses detector.Pauses
}

// lastSeen returns the last sign of life of this process. After a pause that is one from
// before, until what arrived meanwhile was read: callers may have left.
func (l *life) lastSeen() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pauses.LastSeen(time.Now())
}

// runEnded passes an end that an owner reports to those that may wait for it.
func (e *Entry) runEnded(owner string, end *wire.RunEnd) {
	e.coordinator.RunEnded(owner, end)
	if end.GetCause() == wire.RunEnd_stopped {
		e.keeper.RunStopped(end)
	}
}

// reportRunEnd reports the end of a run to its requester.
func (e *Entry) reportRunEnd(requester string, end *wire.RunEnd) {
	if requester == e.Name {
		e.runEnded(e.Name, end)
		return
	}
	// A requester that is down sends its request again once it is reachable.
	e.messenger.Send(requester, func(f *wire.PeerFrame) { f.Ends = append(f.Ends, end) })
}

// Up implements messenger.Handler.
func (e *Entry) Up(peer string, session uint64) {
	e.down.Store(peer, false)
	// The peer may have asked for runs while it counted as down here.
	e.runner.Detach(peer)
	e.relayer.PeerUp(peer)
	e.coordinator.PeerUp(peer, session)
	time.AfterFunc(2*cancelDelay, func() { e.cancelDetached(peer, true) })
	e.runner.ResendEnds(peer)
}

// Restarted implements messenger.Handler. The runs of kept jobs are left to the entry that
// takes the jobs over.
func (e *Entry) Restarted(peer string) {
	e.received.peerDown(peer)
	e.runner.Detach(peer)
	if n := e.runner.CancelDetached(e.ctx, peer, time.Now(), false); n > 0 {
		e.Log.Info().Str("peer", peer).Int("runs", n).Msg("runs_of_former_process_stopped")
	}
}

// Down implements messenger.Handler.
func (e *Entry) Down(peer string) {
	e.down.Store(peer, true)
	e.runner.Detach(peer)
	e.received.peerDown(peer)
	e.coordinator.PeerDown(peer)
	e.relayer.PeerDown(peer)
	e.keeper.ResendTo(peer)
	time.AfterFunc(cancelDelay, func() { e.cancelDetached(peer, false) })
}

// cancelDetached stops the detached runs of a peer that it does not need any more. It is
// called cancelDelay after the connection was lost, and 2*cancelDelay after one was
// established, in which the peer attaches to its runs. The runs of kept jobs go on while
// the peer is down, but only while this entry is registered: entries that take over the
// peer's jobs have just the registered entries stop its runs.
func (e *Entry) cancelDetached(peer string, reconnected bool) {
	now := time.Now()
	down := e.isDown(peer)
	if !down && !reconnected {
		return
	}
	by := now.Add(-2 * cancelDelay)
	if down {
		by = now.Add(-cancelDelay)
	}
	if n := e.runner.CancelDetached(e.ctx, peer, by, !down || !e.enroller.HoldsRegistration()); n > 0 {
		e.Log.Info().Str("peer", peer).Int("runs", n).Bool("down", down).Msg("detached_runs_stopped")
	}
}

// isDown reports whether a peer is down, or was never up.
func (e *Entry) isDown(peer string) bool {
	down, known := e.down.Load(peer)
	return !known || down.(bool)
}

// cancelUnreachable stops the runs of all peers that are down.
func (e *Entry) cancelUnreachable() {
	e.down.Range(func(peer, down any) bool {
		if down.(bool) {
			e.cancelDetached(peer.(string), false)
		}
		return true
	})
}

// Frame implements messenger.Handler.
func (e *Entry) Frame(peer string, f *wire.PeerFrame) {
	for _, q := range f.GetRequests() {
		e.runner.Request(e.ctx, peer, q)
	}
	for _, c := range f.GetCancels() {
		e.runner.Cancel(e.ctx, peer, c)
	}
	if e.isDown(peer) && len(f.GetRequests()) > 0 {
		// The peer gives these runs up like the earlier ones.
		e.runner.Detach(peer)
		time.AfterFunc(cancelDelay, func() { e.cancelDetached(peer, false) })
	}
	e.coordinator.RequestsReceived(peer, f.GetTakenSession(), f.GetTaken())
	if f.GetWhole() || len(f.GetUpstreams()) > 0 {
		e.coordinator.UpdateStates(peer, f.GetWhole(), f.GetUpstreams())
	}
	for _, end := range f.GetEnds() {
		e.runEnded(peer, end)
	}
	e.relayer.Handle(peer, f)
	e.handleDelegation(peer, f)
	if e.interference != nil {
		e.interference.Merge(time.Now(), f.GetInterference())
	}
	if e.Evacuation {
		e.evacuator.Learn(f.GetEvacuation())
	}
	e.handleKeptFields(peer, f)
}

// Complete implements messenger.Handler.
func (e *Entry) Complete(peer string, f *wire.PeerFrame, upstreams map[string]bool) {
	e.relayer.Fill(peer, f)
	f.Evacuation, f.Load = e.evacuator.Message(), e.load()
	if f.Keeping = e.keptJobsExist.Load(); f.Keeping {
		f.Pending = e.pending.refresh(e.Name, e.keeper.Pending)
	}
	if f.GetWhole() {
		f.Upstreams = e.runner.States()
		return
	}
	for name := range upstreams {
		f.Upstreams = append(f.Upstreams, e.runner.State(name))
	}
}
