// Package responder answers the requests of other entries.
//
// # Usage
//
//	s := &entry.Server{Handler: &responder.Responder{...}}
package responder

import (
	"context"

	"github.com/go-faster/errors"

	"radishweir.org/lib/configurer"
	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/forwarder"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/tracker"
	"radishweir.org/lib/wire"
)

// Responder implements entry.Handler. Exported fields are set before use.
type Responder struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Configurer holds the configurations in force.
	Configurer *configurer.Configurer
	// Registrar holds the registrations of the entries.
	Registrar *registrar.Registrar
	// Placer holds the shard tables.
	Placer *placer.Placer
	// Tracker holds the jobs whose home is this entry.
	Tracker *tracker.Tracker
	// Forwarder finds jobs in this entry's shards.
	Forwarder *forwarder.Forwarder
	// Dispatcher holds the slot pools of the services.
	Dispatcher *dispatcher.Dispatcher
	// Heartbeat returns this entry's current heartbeat.
	Heartbeat func() *wire.Heartbeat
}

// Handle answers one request from the entry with the given name.
func (r *Responder) Handle(ctx context.Context, from string, q *wire.Envelope) *wire.Reply {
	switch b := q.GetBody().(type) {
	case *wire.Envelope_Forward:
		return r.acceptForwarded(ctx, b.Forward)
	case *wire.Envelope_Pull:
		return r.findJob(ctx, b.Pull, false)
	case *wire.Envelope_Cancel:
		return r.findJob(ctx, b.Cancel, true)
	case *wire.Envelope_Heartbeat:
		r.Registrar.Heard(b.Heartbeat)
		return &wire.Reply{Heartbeat: r.Heartbeat()}
	case *wire.Envelope_ConfigurationQuery:
		return &wire.Reply{Configuration: r.configuration()}
	case *wire.Envelope_Handover:
		return r.stageHandover(from, b.Handover)
	case *wire.Envelope_Settle:
		return r.receiveAnswer(b.Settle)
	case *wire.Envelope_Borrow:
		return r.lendSlots(b.Borrow)
	case *wire.Envelope_ReturnSlots:
		return r.reclaimSlots(b.ReturnSlots)
	}
	return refuse("the request is not known to this release")
}

func refuse(reason string) *wire.Reply { return &wire.Reply{Refusal: reason} }

// acceptForwarded submits a job whose home is this entry. The reply is empty if
// this entry is not the home or does not know the service.
func (r *Responder) acceptForwarded(ctx context.Context, f *wire.Forward) *wire.Reply {
	s := r.Configurer.Service(f.GetRequest().GetService())
	if f.GetHomeIncarnation() != r.Self.GetIncarnation() || s == nil {
		return &wire.Reply{}
	}
	shard, ok := placer.ShardOf(f.GetTenant(), f.GetRequest().GetJobId(), s.GetFailureDomains())
	if !ok {
		return &wire.Reply{}
	}
	j, err := r.Tracker.Submit(ctx, shard, tracker.Submission{
		Tenant: f.GetTenant(), Weight: tenantWeight(s, f.GetTenant()), Service: s,
		Request: f.GetRequest(), DeliveredEpoch: f.GetDeliveredEpoch(),
	})
	if errors.Is(err, tracker.ErrNotHome) {
		return &wire.Reply{}
	}
	if err != nil {
		return &wire.Reply{Found: true, Answer: tracker.FailedAnswer(f.GetRequest().GetJobId(), err)}
	}
	reply := &wire.Reply{Found: true}
	if f.GetWait() {
		reply.Answer = j.Wait(ctx)
	} else {
		reply.Answer = j.Answer()
	}
	if p := r.Dispatcher.Pool(s.GetService()); p != nil {
		reply.Load = p.AdvertisedLoad()
	}
	return reply
}

// tenantWeight returns a tenant's weight in a service, 1 if it is unknown.
func tenantWeight(s *wire.ServiceConfiguration, tenant string) uint32 {
	for _, t := range s.GetTenants() {
		if t.GetName() == tenant {
			return t.GetWeight()
		}
	}
	return 1
}

// findJob looks up a job in this entry's shards, and cancels it if cancel is set.
func (r *Responder) findJob(ctx context.Context, l *wire.Locate, cancel bool) *wire.Reply {
	s := r.Configurer.Service(l.GetService())
	shard, ok := placer.ShardOf(l.GetTenant(), l.GetJobId(), s.GetFailureDomains())
	if !ok {
		return &wire.Reply{}
	}
	a, err := r.Forwarder.FindInShard(ctx, shard, l, cancel)
	if err != nil {
		return &wire.Reply{}
	}
	return &wire.Reply{Found: true, Answer: a}
}

// configuration returns everything that a peer needs while it cannot reach the
// platform.
func (r *Responder) configuration() *wire.ConfigurationSet {
	set := &wire.ConfigurationSet{Services: r.Configurer.All(), Tables: r.Placer.Tables()}
	for _, m := range r.Registrar.Members() {
		set.Registrations = append(set.Registrations, m.Registration)
	}
	return set
}

// stageHandover stages the records of shards that their home hands over. While this
// entry is draining it refuses them: the sender does not know of the drain yet.
func (r *Responder) stageHandover(from string, h *wire.Handover) *wire.Reply {
	if r.Heartbeat().GetDraining() {
		return refuse("the entry is draining")
	}
	for _, rec := range h.GetShards() {
		s, ok := placer.ParseShard(rec.GetShard())
		owner, known := r.Placer.Owner(s)
		if !ok || !known || owner.GetName() != from || owner.GetEpoch() != rec.GetEpoch() {
			return refuse("the sender is not the home of shard " + rec.GetShard())
		}
	}
	r.Tracker.Stage(h)
	return &wire.Reply{}
}

// receiveAnswer records the answer of a job that an earlier home continued to run.
func (r *Responder) receiveAnswer(m *wire.Settle) *wire.Reply {
	rec := m.GetRecord()
	s := r.Configurer.Service(rec.GetService())
	shard, ok := placer.ShardOf(rec.GetTenant(), rec.GetJobId(), s.GetFailureDomains())
	if !ok {
		return refuse("the job has no shard")
	}
	if err := r.Tracker.ReceiveAnswer(shard, rec); err != nil {
		return refuse(err.Error())
	}
	return &wire.Reply{}
}

// lendSlots lends idle slots to a peer with queued tasks.
func (r *Responder) lendSlots(b *wire.Borrow) *wire.Reply {
	p := r.Dispatcher.Pool(b.GetService())
	if p == nil {
		return refuse("the service is not known")
	}
	loans := p.Lend(int(b.GetSlots()), b.GetBelowSeconds())
	return &wire.Reply{Grant: &wire.Grant{Loans: loans}, Load: p.AdvertisedLoad()}
}

// reclaimSlots takes back slots that a peer returns.
func (r *Responder) reclaimSlots(b *wire.Return) *wire.Reply {
	p := r.Dispatcher.Pool(b.GetService())
	if p == nil {
		return refuse("the service is not known")
	}
	p.Reclaim(b.GetLoans())
	return &wire.Reply{Load: p.AdvertisedLoad()}
}
