// Package heartbeater tells the other entries that this one lives and what it
// knows, and fetches from them what the platform has not told yet.
//
// Peers of the own failure domain are told often, the others seldom. A peer
// that holds a newer configuration or shard table is asked for it, so that
// both spread while the platform cannot be reached.
//
// # Usage
//
//	h := &heartbeater.Heartbeater{Self: self, Members: registrar, Caller: client, ...}
//	go h.Run(ctx)
package heartbeater

import (
	"context"
	"sync"
	"time"

	"radishweir.org/lib/entry"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

const (
	// nearInterval is the mean time between heartbeats inside the own failure
	// domain.
	nearInterval = time.Second
	// farEvery is the number of near rounds between heartbeats to the others.
	farEvery = 4
	// callTimeout bounds one heartbeat.
	callTimeout = 2 * time.Second
)

// Members lists the entries.
type Members interface {
	Members() []registrar.Member
	Heard(h *wire.Heartbeat)
	Learn(list []*wire.Registration)
}

// Caller sends requests to other entries.
type Caller interface {
	Call(ctx context.Context, p entry.Peer, q *wire.Envelope) (*wire.Reply, error)
}

// SharedState is a part of what spreads between entries.
type SharedState interface {
	// Behind reports whether a peer knows more.
	Behind(h *wire.Heartbeat) bool
	// Offer takes what a peer knows.
	Offer(set *wire.ConfigurationSet)
}

// Heartbeater keeps the peers informed. Exported fields are set before Run.
type Heartbeater struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Seeds are peers to ask before any member is known.
	Seeds []entry.Peer
	// Members lists the peers.
	Members Members
	// Caller reaches them.
	Caller Caller
	// Heartbeat describes this entry.
	Heartbeat func() *wire.Heartbeat
	// SharedState is what spreads.
	SharedState []SharedState
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		h.Round(ctx, round%farEvery == 0)
		select {
		case <-ctx.Done():
		case <-time.After(watcher.Jitter(nearInterval)):
		}
	}
}

// Round sends one heartbeat to each peer of the own failure domain and, with
// far, to all others as well.
func (h *Heartbeater) Round(ctx context.Context, far bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range h.peers(far) {
		wg.Go(func() { h.tell(ctx, p) })
	}
	wg.Wait()
}

// peers lists whom to tell in this round.
func (h *Heartbeater) peers(far bool) []entry.Peer {
	var out []entry.Peer
	for _, m := range h.Members.Members() {
		if m.GetName() == h.Self.GetName() {
			continue
		}
		if far || m.GetFailureDomain() == h.Self.GetFailureDomain() {
			out = append(out, m.Peer())
		}
	}
	if len(out) == 0 && far {
		return h.Seeds
	}
	return out
}

// tell exchanges heartbeats with one peer and fetches what it knows better.
func (h *Heartbeater) tell(ctx context.Context, p entry.Peer) {
	q := &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: h.Heartbeat()}}
	r, err := h.Caller.Call(ctx, p, q)
	if err != nil || r.GetHeartbeat() == nil {
		return
	}
	h.Members.Heard(r.GetHeartbeat())
	for _, k := range h.SharedState {
		if k.Behind(r.GetHeartbeat()) {
			h.fetch(ctx, p)
			return
		}
	}
}

// fetch asks a peer for everything it knows.
func (h *Heartbeater) fetch(ctx context.Context, p entry.Peer) {
	q := &wire.Envelope{Body: &wire.Envelope_ConfigurationQuery{ConfigurationQuery: &wire.ConfigurationQuery{}}}
	r, err := h.Caller.Call(ctx, p, q)
	if err != nil || r.GetConfiguration() == nil {
		return
	}
	h.Members.Learn(r.GetConfiguration().GetRegistrations())
	for _, k := range h.SharedState {
		k.Offer(r.GetConfiguration())
	}
}
