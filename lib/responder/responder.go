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
	// Configurer holds the configurations.
	Configurer *configurer.Configurer
	// Registrar holds the members.
	Registrar *registrar.Registrar
	// Placer holds the shard tables.
	Placer *placer.Placer
	// Tracker holds the jobs.
	Tracker *tracker.Tracker
	// Forwarder finds jobs in the own shards.
	Forwarder *forwarder.Forwarder
	// Dispatcher holds the slots.
	Dispatcher *dispatcher.Dispatcher
	// Heartbeat describes this entry.
	Heartbeat func() *wire.Heartbeat
}

// Handle answers one request of the entry named from.
func (r *Responder) Handle(ctx context.Context, from string, q *wire.Envelope) *wire.Reply {
	switch b := q.GetBody().(type) {
	case *wire.Envelope_Forward:
		return r.forward(ctx, b.Forward)
	case *wire.Envelope_Pull:
		return r.find(ctx, b.Pull, false)
	case *wire.Envelope_Cancel:
		return r.find(ctx, b.Cancel, true)
	case *wire.Envelope_Heartbeat:
		r.Registrar.Heard(b.Heartbeat)
		return &wire.Reply{Heartbeat: r.Heartbeat()}
	case *wire.Envelope_ConfigurationQuery:
		return &wire.Reply{Configuration: r.configuration()}
	case *wire.Envelope_Handover:
		return r.handover(from, b.Handover)
	case *wire.Envelope_Settle:
		return r.settle(b.Settle)
	case *wire.Envelope_Borrow:
		return r.lend(b.Borrow)
	case *wire.Envelope_ReturnSlots:
		return r.reclaim(b.ReturnSlots)
	}
	return refuse("the request is not known to this release")
}

func refuse(reason string) *wire.Reply { return &wire.Reply{Refusal: reason} }

// forward takes a job whose home this entry should be.
func (r *Responder) forward(ctx context.Context, f *wire.Forward) *wire.Reply {
	s := r.Configurer.Service(f.GetRequest().GetService())
	if f.GetHomeIncarnation() != r.Self.GetIncarnation() || s == nil {
		return &wire.Reply{}
	}
	shard, ok := placer.ShardOf(f.GetTenant(), f.GetRequest().GetJobId(), s.GetFailureDomains())
	if !ok {
		return &wire.Reply{}
	}
	j, err := r.Tracker.Submit(ctx, shard, tracker.Submission{
		Tenant: f.GetTenant(), Weight: weight(s, f.GetTenant()), Service: s,
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

// weight returns a tenant's weight in a service.
func weight(s *wire.ServiceConfiguration, tenant string) uint32 {
	for _, t := range s.GetTenants() {
		if t.GetName() == tenant {
			return t.GetWeight()
		}
	}
	return 1
}

// find looks a job up in the own shards.
func (r *Responder) find(ctx context.Context, l *wire.Locate, cancel bool) *wire.Reply {
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

// configuration is everything that a peer without the platform needs.
func (r *Responder) configuration() *wire.ConfigurationSet {
	set := &wire.ConfigurationSet{Services: r.Configurer.All(), Tables: r.Placer.Tables()}
	for _, m := range r.Registrar.Members() {
		set.Registrations = append(set.Registrations, m.Registration)
	}
	return set
}

// handover stages the records of shards that their home gives away.
func (r *Responder) handover(from string, h *wire.Handover) *wire.Reply {
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

// settle takes the answer of a job that an earlier home went on running.
func (r *Responder) settle(m *wire.Settle) *wire.Reply {
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

// lend gives idle slots to a peer whose tasks wait.
func (r *Responder) lend(b *wire.Borrow) *wire.Reply {
	p := r.Dispatcher.Pool(b.GetService())
	if p == nil {
		return refuse("the service is not known")
	}
	loans := p.Lend(int(b.GetSlots()), b.GetBelowSeconds())
	return &wire.Reply{Grant: &wire.Grant{Loans: loans}, Load: p.AdvertisedLoad()}
}

// reclaim takes lent slots back.
func (r *Responder) reclaim(b *wire.Return) *wire.Reply {
	p := r.Dispatcher.Pool(b.GetService())
	if p == nil {
		return refuse("the service is not known")
	}
	p.Reclaim(b.GetLoans())
	return &wire.Reply{Load: p.AdvertisedLoad()}
}
