package composer

import "radishweir.org/lib/operator"

// status returns the contents of the operators' status page.
func (e *Entry) status() operator.Status {
	open, waiting := e.coordinator.Counts()
	table, _ := e.router.Table()
	members, revision := e.enroller.Members()
	st := operator.Status{
		Name: e.Name, Incarnation: e.self.GetIncarnation(), FailureDomain: e.FailureDomain, Ready: e.ready(),
		Draining: e.draining.Load(), StartedAt: e.self.GetStartedAt().AsTime(),
		PlatformConnected: e.watchers[0].Connected(), PlatformHeardAt: e.watchers[0].Heard(), OpenJobs: open,
		Leased: &operator.Leased{
			ConfigurationVersion: table.Version, ConfigurationTakenAt: e.router.AppliedAt(),
			UpstreamsReadAt: e.relayer.CurrentAt(), Revision: revision, WaitingJobs: waiting,
		},
	}
	st.Leased.EvacuatedDomains = e.evacuator.Message().GetDomains()
	for _, m := range members {
		st.Members = append(st.Members, operator.Member{
			Name: m.GetName(), Incarnation: m.GetIncarnation(), FailureDomain: m.GetFailureDomain(), Registered: true,
			Reachable: m.GetName() == e.Name || e.coordinator.Reachable(m.GetName()),
		})
	}
	for _, v := range e.coordinator.Views() {
		st.Leased.Upstreams = append(st.Leased.Upstreams, operator.LeasedUpstream{
			Name: v.Name, Service: v.Service, FailureDomain: v.Domain, Owner: v.Owner, Token: v.Token, Usable: v.Usable,
			Leaving: v.Leaving, FreeCores: float64(v.Free.CPU) / 1000, Slowness: v.Slowness, HeardAt: v.UpdatedAt,
		})
	}
	return st
}
