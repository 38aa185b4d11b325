// Package borrower gets idle slots of other entries for waiting tasks.
//
// Slots belong to one entry at a time. When tasks wait here while no own slot
// is free, one peer after another is asked to lend slots that it does not
// need. Which peer has any is known from hints in heartbeats and replies.
// Slots go back as soon as no task waits for them.
//
// # Usage
//
//	b := &borrower.Borrower{Self: self, Members: registrar, Caller: client, Pools: dispatcher}
//	d.Backlogged, d.GiveBack = b.Ask, b.GiveBack
package borrower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/entry"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/wire"
)

const (
	// callTimeout bounds one request for slots.
	callTimeout = 500 * time.Millisecond
	// refusalMemory is how long a peer without idle slots is not asked again.
	refusalMemory = 100 * time.Millisecond
	// returnTimeout bounds the return of slots.
	returnTimeout = 2 * time.Second
	// hintLife is how long a copy of the hints is used.
	hintLife = 5 * time.Millisecond
	// peersAsked bounds the peers asked in one round.
	peersAsked = 2
)

// Results of a request for slots, for the metric.
const (
	ResultLent    = "lent"
	ResultRefused = "refused"
	ResultFailed  = "failed"
	ResultReturn  = "returned"
)

// Members lists the entries and takes hints of their load.
type Members interface {
	Members() []registrar.Member
	Hint(name string, load *wire.ServiceLoad)
}

// Caller sends requests to other entries.
type Caller interface {
	Call(ctx context.Context, p entry.Peer, q *wire.Envelope) (*wire.Reply, error)
}

// Pools finds the pool of a service.
type Pools interface {
	Pool(service string) *dispatcher.Pool
}

// Recorder counts messages about slots.
type Recorder interface {
	Borrow(service, result string)
}

// Borrower asks for slots. Exported fields are set before use.
type Borrower struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Members lists the peers.
	Members Members
	// Caller reaches them.
	Caller Caller
	// Pools finds the pools.
	Pools Pools
	// Recorder counts messages.
	Recorder Recorder

	mu     sync.Mutex
	asking map[string]bool
	// quietUntil holds, by service and peer, when a peer may be asked again.
	quietUntil map[ask]time.Time
	// fresh is a copy of the members that is used until freshUntil.
	fresh      []registrar.Member
	freshUntil time.Time
}

// ask names a peer for one service.
type ask struct{ service, peer string }

// Ask borrows slots for a service whose tasks wait. With below only slots with
// a shorter expected run time, in seconds, help. Only one round for each service
// runs at a time.
func (b *Borrower) Ask(service string, need int, below float64) {
	b.mu.Lock()
	if b.asking == nil {
		b.asking = make(map[string]bool)
		b.quietUntil = make(map[ask]time.Time)
	}
	if b.asking[service] {
		b.mu.Unlock()
		return
	}
	peers := b.peers(service, below)
	b.asking[service] = len(peers) > 0
	b.mu.Unlock()
	if len(peers) > 0 {
		go b.round(service, need, below, peers)
	}
}

// peers picks whom to ask: the peer with the most idle slots by its last hint
// and, where hints are silent, the own failure domain first. The caller holds
// the lock.
func (b *Borrower) peers(service string, below float64) []registrar.Member {
	now := time.Now()
	var out []registrar.Member
	best := -1
	for _, m := range b.Members.Members() {
		if m.GetName() == b.Self.GetName() || !m.Reachable(now) || now.Before(b.quietUntil[ask{service, m.GetName()}]) {
			continue
		}
		n, seconds, told := idle(m, service)
		if told && (n == 0 || below > 0 && seconds >= below) {
			continue
		}
		score := 2*n + rand.IntN(2)
		if m.GetFailureDomain() == b.Self.GetFailureDomain() {
			score++
		}
		if score > best {
			best = score
			out = append([]registrar.Member{m}, out...)
		} else {
			out = append(out, m)
		}
	}
	return out[:min(len(out), peersAsked)]
}

// idle returns a member's idle slots and the expected run time on the fastest
// of them by its last hint, if it gave one.
func idle(m registrar.Member, service string) (n int, seconds float64, told bool) {
	for _, l := range m.Loads {
		if l.GetService() == service {
			return int(l.GetIdleSlots()), l.GetIdleSeconds(), true
		}
	}
	return 0, 0, false
}

// Idle returns the slots of a service that other entries could lend by their
// last hints. With below only those with a shorter expected run time count.
func (b *Borrower) Idle(service string, below float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.After(b.freshUntil) {
		b.fresh = b.Members.Members()
		b.freshUntil = now.Add(hintLife)
	}
	n := 0
	for _, m := range b.fresh {
		k, seconds, _ := idle(m, service)
		usable := below == 0 || seconds < below
		if m.GetName() != b.Self.GetName() && m.Reachable(now) && usable && now.After(b.quietUntil[ask{service, m.GetName()}]) {
			n += k
		}
	}
	return n
}

// round asks peers until the need is met.
func (b *Borrower) round(service string, need int, below float64, peers []registrar.Member) {
	for _, m := range peers {
		if need <= 0 {
			break
		}
		need -= b.askPeer(service, need, below, m)
	}
	b.mu.Lock()
	b.asking[service] = false
	b.mu.Unlock()
}

// askPeer asks one peer and returns the number of slots that it lent.
func (b *Borrower) askPeer(service string, need int, below float64, m registrar.Member) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q := &wire.Envelope{Body: &wire.Envelope_Borrow{Borrow: &wire.Borrow{Service: service, Slots: uint32(need), BelowSeconds: below}}}
	r, err := b.Caller.Call(ctx, m.Peer(), q)
	b.Members.Hint(m.GetName(), r.GetLoad())
	n := 0
	for _, l := range r.GetGrant().GetLoans() {
		n += int(l.GetSlots())
	}
	switch {
	case err != nil:
		b.Recorder.Borrow(service, ResultFailed)
	case n == 0:
		b.Recorder.Borrow(service, ResultRefused)
	default:
		b.Recorder.Borrow(service, ResultLent)
		b.Pools.Pool(service).Adopt(m.GetName(), r.GetGrant().GetLoans())
	}
	if n < need {
		b.mu.Lock()
		b.quietUntil[ask{service, m.GetName()}] = time.Now().Add(refusalMemory)
		b.mu.Unlock()
	}
	return n
}

// GiveBack returns slots to their owner.
func (b *Borrower) GiveBack(lender, service string, loans []*wire.SlotLoan) {
	for _, m := range b.Members.Members() {
		if m.GetName() == lender {
			go b.giveBack(m, service, loans)
			return
		}
	}
}

func (b *Borrower) giveBack(m registrar.Member, service string, loans []*wire.SlotLoan) {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	b.Recorder.Borrow(service, ResultReturn)
	q := &wire.Envelope{Body: &wire.Envelope_ReturnSlots{ReturnSlots: &wire.Return{Service: service, Loans: loans}}}
	if r, err := b.Caller.Call(ctx, m.Peer(), q); err == nil {
		b.Members.Hint(m.GetName(), r.GetLoad())
	}
}
