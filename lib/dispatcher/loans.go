package dispatcher

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/wire"
)

const (
	// loanLife is how long a borrower may start tasks on a lent slot.
	loanLife = 2 * time.Second
	// returnLimit is how long after the end of a loan the lender waits for the
	// slots to be returned before it takes them back.
	returnLimit = 10 * time.Second
	// shortestReturn and longestReturn bound the delay before idle borrowed slots
	// are returned, which lets several go back in one message. Within these bounds
	// the delay is half the mean run time.
	shortestReturn = 20 * time.Millisecond
	longestReturn  = 200 * time.Millisecond
)

// loan is the borrower's side of lent slots.
type loan struct {
	id uint64
	// lender is the name of the entry that owns the slots.
	lender string
	// until is the time after which no task may be started on the slots.
	until time.Time
}

// lentLoan is the lender's side of lent slots.
type lentLoan struct {
	slot *slots
	// left is the number of slots that have not been returned.
	left int
}

// Lend lends up to want idle slots to another entry, the fastest first, unless
// tasks wait here. If below is not 0, it lends only slots whose expected run time
// in seconds is less than below. A loan ends with Reclaim, or by itself well after
// the time until which the borrower may start tasks.
func (p *Pool) Lend(want int, below float64) []*wire.SlotLoan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() > 0 {
		return nil
	}
	until := time.Now().Add(loanLife)
	var out []*wire.SlotLoan
	for want > 0 {
		s := p.idlest()
		if s == nil || below > 0 && s.Estimate() >= below {
			break
		}
		n := min(want, s.Slots-s.busy-s.lent)
		s.lent += n
		want -= n
		out = append(out, p.lend(s, n, until))
	}
	return out
}

// lend records one loan and schedules its expiry; the caller holds the lock.
func (p *Pool) lend(s *slots, n int, until time.Time) *wire.SlotLoan {
	p.lastLoan++
	id := p.lastLoan
	p.outstanding[id] = &lentLoan{s, n}
	time.AfterFunc(loanLife+returnLimit, func() {
		p.reclaim(id, n)
		p.dispatch()
	})
	return &wire.SlotLoan{
		Upstream: s.Name, Instance: s.Instance, Address: s.Address, Slots: uint32(n),
		Until: timestamppb.New(until), RunSeconds: s.seconds, Id: id,
	}
}

// idlest returns the fastest upstream with a free slot of this entry that can be
// lent, or nil; the caller holds the lock.
func (p *Pool) idlest() *slots {
	now := time.Now()
	var best *slots
	for _, s := range p.order {
		if s.loan == nil && s.free(now) && s.failures < failureLimit &&
			(best == nil || s.Estimate() < best.Estimate()) {
			best = s
		}
	}
	return best
}

// Reclaim takes back lent slots that the borrower has returned.
func (p *Pool) Reclaim(loans []*wire.SlotLoan) {
	for _, l := range loans {
		p.reclaim(l.GetId(), int(l.GetSlots()))
	}
	p.dispatch()
}

// reclaim takes back up to n slots of one loan.
func (p *Pool) reclaim(id uint64, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.outstanding[id]
	if d == nil {
		return
	}
	n = min(n, d.left)
	d.left -= n
	d.slot.lent -= n
	if d.left == 0 {
		delete(p.outstanding, id)
	}
}

// AddBorrowed adds slots that another entry has lent.
func (p *Pool) AddBorrowed(lender string, loans []*wire.SlotLoan) {
	p.mu.Lock()
	p.unsorted = 0
	for _, l := range loans {
		p.order = append(p.order, &slots{
			Target: Target{
				Name: l.GetUpstream(), Instance: l.GetInstance(), Address: l.GetAddress(), Slots: int(l.GetSlots()),
			},
			seconds: l.GetRunSeconds(),
			loan:    &loan{l.GetId(), lender, l.GetUntil().AsTime()},
			prior:   func() float64 { return p.mean },
		})
	}
	p.mu.Unlock()
	p.dispatch()
	p.giveBackSoon()
}

// giveBackSoon schedules the return of idle borrowed slots, unless one is already
// scheduled.
func (p *Pool) giveBackSoon() {
	if p.returning.Swap(true) {
		return
	}
	p.mu.Lock()
	delay := min(max(p.meanRun()/2, shortestReturn), longestReturn)
	p.mu.Unlock()
	time.AfterFunc(delay, func() {
		p.returning.Store(false)
		p.giveBack()
	})
}

// giveBack returns the idle borrowed slots if no task waits, and those whose loan
// has expired in any case.
func (p *Pool) giveBack() {
	if p.ReturnSlots == nil {
		return
	}
	back := make(map[string][]*wire.SlotLoan)
	p.mu.Lock()
	now := time.Now()
	kept := p.order[:0]
	for _, s := range p.order {
		idle := s.Slots - s.busy
		if s.loan == nil || idle == 0 || p.queue.Len() > 0 && now.Before(s.loan.until) {
			kept = append(kept, s)
			continue
		}
		back[s.loan.lender] = append(back[s.loan.lender], &wire.SlotLoan{
			Upstream: s.Name, Instance: s.Instance, Slots: uint32(idle), Id: s.loan.id,
		})
		if s.Slots = s.busy; s.busy > 0 {
			kept = append(kept, s)
		}
	}
	clear(p.order[len(kept):])
	p.order = kept
	p.mu.Unlock()
	for lender, loans := range back {
		p.ReturnSlots(lender, p.name, loans)
	}
}

// need returns the number of waiting tasks if the next of them has waited long
// enough to justify borrowing, and 0 otherwise. If free slots exist that were not
// worth taking, only slots faster than these are useful: below is then the lowest
// run time among them, in seconds.
func (p *Pool) need() (n int, below float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.queue.Peek()
	if !ok {
		return 0, 0
	}
	after := time.Duration(p.cfg.Load().GetBorrowAfterMs()) * time.Millisecond
	if left := after - time.Since(t.queued); left > 0 {
		p.lookAfter(left)
		return 0, 0
	}
	for _, s := range p.freeSlots() {
		if e := s.Estimate(); below == 0 || e < below {
			below = e
		}
	}
	return p.queue.Len(), below
}
