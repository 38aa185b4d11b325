// Package heartbeater exchanges heartbeats with the other entries and fetches
// newer configurations and shard tables from them.
//
// Peers in this entry's failure domain get a heartbeat in every round, the others
// only in every fourth. An entry that learns from a heartbeat that a peer holds a
// newer configuration or shard table fetches it, so that both spread even while
// the platform cannot be reached.
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
	// nearInterval is the mean time between heartbeats to peers in the same
	// failure domain.
	nearInterval = time.Second
	// nearRoundsPerFar is the number of rounds between heartbeats to peers in
	// other failure domains.
	nearRoundsPerFar = 4
	// callTimeout bounds one heartbeat and the fetch that may follow it.
	callTimeout = 2 * time.Second
)

// Members holds the known entries. registrar.Registrar implements it.
type Members interface {
	Members() []registrar.Member
	Heard(h *wire.Heartbeat)
	Learn(list []*wire.Registration)
}

// Caller sends requests to other entries.
type Caller interface {
	Call(ctx context.Context, p entry.Peer, q *wire.Envelope) (*wire.Reply, error)
}

// SharedState is state that entries replicate among themselves, such as
// configurations and shard tables.
type SharedState interface {
	// Behind reports whether the peer that sent h holds newer state.
	Behind(h *wire.Heartbeat) bool
	// Offer merges the state of a peer.
	Offer(set *wire.ConfigurationSet)
}

// Heartbeater sends heartbeats to the peers. Exported fields are set before Run.
type Heartbeater struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Seeds are the peers to contact while no other member is known.
	Seeds []entry.Peer
	// Members lists the peers.
	Members Members
	// Caller sends requests to peers.
	Caller Caller
	// Heartbeat returns this entry's current heartbeat.
	Heartbeat func() *wire.Heartbeat
	// SharedState lists the replicated state.
	SharedState []SharedState
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		h.Round(ctx, round%nearRoundsPerFar == 0)
		select {
		case <-ctx.Done():
		case <-time.After(watcher.Jitter(nearInterval)):
		}
	}
}

// Round sends one heartbeat to each peer in this entry's failure domain or, if
// far is set, to every peer.
func (h *Heartbeater) Round(ctx context.Context, far bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range h.peers(far) {
		wg.Go(func() { h.exchange(ctx, p) })
	}
	wg.Wait()
}

// peers lists the peers to contact in this round.
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

// exchange exchanges heartbeats with one peer and fetches the peer's state if
// any part of it is newer.
func (h *Heartbeater) exchange(ctx context.Context, p entry.Peer) {
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

// fetch gets all registrations and replicated state from a peer.
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
