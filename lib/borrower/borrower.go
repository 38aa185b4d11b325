// Package borrower borrows idle slots from other entries for waiting tasks.
//
// Each slot on an upstream belongs to one entry at a time. While tasks wait and
// this entry has no suitable free slot, the borrower asks its peers one by one to
// lend idle slots. Peers advertise their idle slots in heartbeats and replies.
// Borrowed slots are returned when they are idle and no task waits for them.
//
// # Usage
//
//	b := &borrower.Borrower{Self: self, Members: registrar, Caller: client, Pools: d, Recorder: recorder}
//	d.OnBacklog, d.ReturnSlots, d.BorrowableSlots = b.Borrow, b.ReturnSlots, b.BorrowableSlots
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
	// refusalBackoff is how long a peer that lent fewer slots than requested is not
	// asked again.
	refusalBackoff = 100 * time.Millisecond
	// returnTimeout bounds one return of slots.
	returnTimeout = 2 * time.Second
	// membersTTL is how long a copy of the members and their advertised loads is
	// used.
	membersTTL = 5 * time.Millisecond
	// maxPeers is the maximum number of peers asked in one round.
	maxPeers = 2
)

// Results of the messages that a Recorder counts.
const (
	// ResultLent is a request for slots that was granted at least in part.
	ResultLent = "lent"
	// ResultRefused is a request for slots that was answered without any slot.
	ResultRefused = "refused"
	// ResultFailed is a request for slots without an answer.
	ResultFailed = "failed"
	// ResultReturned is a return of slots.
	ResultReturned = "returned"
)

// Members lists the entries and stores the loads that they advertise.
type Members interface {
	Members() []registrar.Member
	Hint(name string, load *wire.ServiceLoad)
}

// Caller sends requests to other entries.
type Caller interface {
	Call(ctx context.Context, p entry.Peer, q *wire.Envelope) (*wire.Reply, error)
}

// Pools returns the pool of a service.
type Pools interface {
	Pool(service string) *dispatcher.Pool
}

// Recorder counts messages about slots by result.
type Recorder interface {
	Borrow(service, result string)
}

// Borrower borrows slots from other entries. The exported fields must be set
// before use.
type Borrower struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Members lists the entries, this one included.
	Members Members
	// Caller sends requests to the peers.
	Caller Caller
	// Pools returns the pools that the borrowed slots are added to.
	Pools Pools
	// Recorder counts messages.
	Recorder Recorder

	mu sync.Mutex
	// borrowing holds the services with a round in progress.
	borrowing map[string]bool
	// askAgainAt holds the time from which a peer may be asked again.
	askAgainAt map[peerKey]time.Time
	// members is a copy of the members that BorrowableSlots uses until
	// membersUntil.
	members      []registrar.Member
	membersUntil time.Time
}

// peerKey identifies a peer and the service for which it was asked.
type peerKey struct{ service, peer string }

// Borrow starts to borrow up to need slots for a service with waiting tasks. If
// below is not 0, only slots whose expected run time in seconds is less than below
// are useful. Borrow returns at once; it has no effect while another round for the
// service is in progress.
func (b *Borrower) Borrow(service string, need int, below float64) {
	b.mu.Lock()
	if b.borrowing == nil {
		b.borrowing = make(map[string]bool)
		b.askAgainAt = make(map[peerKey]time.Time)
	}
	if b.borrowing[service] {
		b.mu.Unlock()
		return
	}
	peers := b.peers(service, below)
	b.borrowing[service] = len(peers) > 0
	b.mu.Unlock()
	if len(peers) > 0 {
		go b.borrow(service, need, below, peers)
	}
}

// peers returns the peers to ask. The first is the one that advertised the most
// idle slots; among equals, and so among peers that advertised nothing, a peer of
// this entry's failure domain is usually preferred. The caller holds the lock.
func (b *Borrower) peers(service string, below float64) []registrar.Member {
	now := time.Now()
	var out []registrar.Member
	best := -1
	for _, m := range b.Members.Members() {
		if m.GetName() == b.Self.GetName() || !m.Reachable(now) || now.Before(b.askAgainAt[peerKey{service, m.GetName()}]) {
			continue
		}
		n, seconds, known := idleSlots(m, service)
		if known && (n == 0 || below > 0 && seconds >= below) {
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
	return out[:min(len(out), maxPeers)]
}

// idleSlots returns the number of idle slots that a member last advertised and the
// expected run time in seconds on the fastest of them. known is false if the
// member did not advertise its load for the service.
func idleSlots(m registrar.Member, service string) (n int, seconds float64, known bool) {
	for _, l := range m.Loads {
		if l.GetService() == service {
			return int(l.GetIdleSlots()), l.GetIdleSeconds(), true
		}
	}
	return 0, 0, false
}

// BorrowableSlots returns the number of slots of a service that other entries
// could lend according to the loads that they last advertised. If below is not 0,
// only peers whose fastest idle slot has an expected run time in seconds of less
// than below count.
func (b *Borrower) BorrowableSlots(service string, below float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.After(b.membersUntil) {
		b.members = b.Members.Members()
		b.membersUntil = now.Add(membersTTL)
	}
	n := 0
	for _, m := range b.members {
		k, seconds, _ := idleSlots(m, service)
		usable := below == 0 || seconds < below
		if m.GetName() != b.Self.GetName() && m.Reachable(now) && usable && now.After(b.askAgainAt[peerKey{service, m.GetName()}]) {
			n += k
		}
	}
	return n
}

// borrow asks peers one by one until need slots are borrowed.
func (b *Borrower) borrow(service string, need int, below float64, peers []registrar.Member) {
	for _, m := range peers {
		if need <= 0 {
			break
		}
		need -= b.askPeer(service, need, below, m)
	}
	b.mu.Lock()
	b.borrowing[service] = false
	b.mu.Unlock()
}

// askPeer asks one peer for slots, adds those that it lends to the pool and
// returns their number.
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
		b.Pools.Pool(service).AddBorrowed(m.GetName(), r.GetGrant().GetLoans())
	}
	if n < need {
		b.mu.Lock()
		b.askAgainAt[peerKey{service, m.GetName()}] = time.Now().Add(refusalBackoff)
		b.mu.Unlock()
	}
	return n
}

// ReturnSlots returns borrowed slots to the entry that lent them.
func (b *Borrower) ReturnSlots(lender, service string, loans []*wire.SlotLoan) {
	for _, m := range b.Members.Members() {
		if m.GetName() == lender {
			go b.returnTo(m, service, loans)
			return
		}
	}
}

// returnTo returns slots to the member m. A failure is ignored, as the lender takes
// the slots back by itself when the loan has expired.
func (b *Borrower) returnTo(m registrar.Member, service string, loans []*wire.SlotLoan) {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	b.Recorder.Borrow(service, ResultReturned)
	q := &wire.Envelope{Body: &wire.Envelope_ReturnSlots{ReturnSlots: &wire.Return{Service: service, Loans: loans}}}
	if r, err := b.Caller.Call(ctx, m.Peer(), q); err == nil {
		b.Members.Hint(m.GetName(), r.GetLoad())
	}
}
