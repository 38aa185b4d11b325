package composer

import (
	"time"

	"radishweir.org/lib/divider"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// assignUpstreams recomputes which entry owns which upstream.
func (e *Entry) assignUpstreams() {
	e.assignMu.Lock()
	defer e.assignMu.Unlock()
	if len(e.enroller.Holders()) > 0 {
		e.runner.RetainOrphanedEnds()
	}
	registrations, token := e.enroller.Members()
	var members []divider.Member
	addresses := make(map[string]string)
	for _, r := range registrations {
		members = append(members, divider.Member{Name: r.GetName(), Domain: r.GetFailureDomain(), Weight: int(r.GetWeight())})
		addresses[r.GetName()] = r.GetEntryAddress()
	}
	list := e.roster.Upstreams()
	var owned []runner.Upstream
	for i := range list {
		u := &list[i]
		s, _ := e.router.Service(u.Service)
		u.Connections = s.Connections
		owner, ok := divider.Owner(u.Name, u.Domain, members)
		if !ok {
			continue
		}
		if owner == e.Name && !e.draining.Load() {
			owned = append(owned, *u)
		}
	}
	e.messenger.SetPeers(e.ctx, addresses)
	e.runner.SetOwned(e.ctx, token, owned)
	e.coordinator.SetUpstreams(list)
	e.coordinator.UpdateStates(e.Name, true, e.runner.States())
}

// publishState passes the new state of an upstream of this entry to the
// coordinator and to all peers.
func (e *Entry) publishState(name string) {
	e.coordinator.UpdateStates(e.Name, false, []*wire.UpstreamState{e.runner.State(name)})
	e.messenger.Publish(name)
}

// reportRunEnd reports the end of a run to its requester.
func (e *Entry) reportRunEnd(requester string, end *wire.RunEnd) {
	if requester == e.Name {
		e.coordinator.RunEnded(e.Name, end)
		return
	}
	// A requester that is down sends its request again once it is reachable.
	e.messenger.Send(requester, func(f *wire.PeerFrame) { f.Ends = append(f.Ends, end) })
}

// Up implements messenger.Handler.
func (e *Entry) Up(peer string, session uint64) {
	e.downSince.Delete(peer)
	e.coordinator.PeerUp(peer, session)
	for _, n := range e.unsentNotices.take(peer) {
		(*peers)(e).Notify(peer, n.GetJob())
	}
	e.runner.ResendEnds(peer)
}

// Down implements messenger.Handler.
func (e *Entry) Down(peer string) {
	since := time.Now()
	e.downSince.Store(peer, since)
	e.coordinator.PeerDown(peer)
	e.keeper.ResendClaims(peer)
	time.AfterFunc(cancelDelay, func() {
		if at, ok := e.downSince.Load(peer); ok && at == since {
			e.runner.CancelRunsOf(e.ctx, peer)
		}
	})
}

// Frame implements messenger.Handler.
func (e *Entry) Frame(peer string, f *wire.PeerFrame) {
	for _, q := range f.GetRequests() {
		e.runner.Request(e.ctx, peer, q)
	}
	for _, c := range f.GetCancels() {
		e.runner.Cancel(e.ctx, c)
	}
	e.coordinator.RequestsReceived(peer, f.GetTakenSession(), f.GetTaken())
	if f.GetWhole() || len(f.GetUpstreams()) > 0 {
		e.coordinator.UpdateStates(peer, f.GetWhole(), f.GetUpstreams())
	}
	for _, end := range f.GetEnds() {
		e.coordinator.RunEnded(peer, end)
	}
	e.handleKeptFields(peer, f)
}

// Complete implements messenger.Handler.
func (e *Entry) Complete(_ string, f *wire.PeerFrame, upstreams map[string]bool) {
	if f.Keeping = e.keptJobsExist.Load(); f.Keeping {
		f.Pending = e.pending.refresh(e.Name, e.coordinator.Pending)
	}
	if f.GetWhole() {
		f.Upstreams = e.runner.States()
		return
	}
	for name := range upstreams {
		f.Upstreams = append(f.Upstreams, e.runner.State(name))
	}
}
