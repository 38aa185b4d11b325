package assembler

import (
	"cmp"
	"slices"
	"time"

	"radishweir.org/lib/operator"
	"radishweir.org/lib/wire"
)

// status returns the entry's state for the operators' status page.
func (e *Entry) status() operator.Status {
	st := operator.Status{
		Name: e.Name, Incarnation: e.self.GetIncarnation(), FailureDomain: e.FailureDomain,
		Ready: e.ready(), Draining: e.draining.Load(), StartedAt: e.started,
		PlatformConnected: e.watcher.Connected(), PlatformHeardAt: e.watcher.Heard(),
		VMListSuspect: e.registrar.VMListSuspect(), OpenJobs: e.tracker.OpenJobs(),
	}
	for _, s := range e.configurer.All() {
		st.Services = append(st.Services, e.serviceStatus(s))
	}
	for _, m := range e.registrar.Members() {
		st.Members = append(st.Members, operator.Member{
			Name: m.GetName(), Incarnation: m.GetIncarnation(), FailureDomain: m.GetFailureDomain(),
			Registered: m.Registered, Reachable: m.GetName() == e.Name || m.Reachable(time.Now()), Draining: m.Draining,
		})
	}
	for _, t := range e.placer.Tables() {
		st.Shards = append(st.Shards, shardStatus(t))
	}
	slices.SortFunc(st.Shards, func(a, b operator.Shards) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return st
}

// serviceStatus returns the state of one service with its queue and upstreams.
func (e *Entry) serviceStatus(s *wire.ServiceConfiguration) operator.Service {
	out := operator.Service{
		Name: s.GetService(), Revision: s.GetRevision(), Author: s.GetAuthor(), AppliedAt: s.GetAppliedAt().AsTime(),
	}
	p := e.dispatcher.Pool(s.GetService())
	if p == nil {
		return out
	}
	l := p.Load()
	out.Waiting, out.Running = l.Waiting, l.Running
	for _, u := range l.Upstreams {
		out.Upstreams = append(out.Upstreams, operator.Upstream{
			Name: u.Name, Address: u.Address, Slots: u.Slots, Busy: u.Busy,
			RunSeconds: u.RunSeconds, Leaving: u.Leaving, Ejected: u.Ejected,
		})
	}
	return out
}

// shardStatus counts the shards of one failure domain by owner.
func shardStatus(t *wire.ShardTable) operator.Shards {
	out := operator.Shards{FailureDomain: t.GetFailureDomain(), Version: t.GetVersion()}
	counts := make(map[string]int)
	for _, o := range t.GetShards() {
		counts[o.GetName()]++
	}
	for n, c := range counts {
		out.Owners = append(out.Owners, operator.ShardsOwner{Name: n, Shards: c})
	}
	slices.SortFunc(out.Owners, func(a, b operator.ShardsOwner) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
