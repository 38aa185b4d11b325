package dispatcher

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/wire"
)

const (
	// loanDuration is how long a borrower may start tasks on a lent slot.
	loanDuration = 2 * time.Second
	// returnGrace is how long after the end of a loan the lender waits for the
	// slots to be returned before it takes them back.
	returnGrace = 10 * time.Second
	// minReturnDelay and maxReturnDelay bound the delay before idle borrowed slots
	// are returned, which lets several go back in one message. Within these bounds
	// the delay is half the mean run time.
	minReturnDelay = 20 * time.Millisecond
	maxReturnDelay = 200 * time.Millisecond
)

// borrowedLoan is the borrower's side of lent slots.
type borrowedLoan struct {
	id uint64
	// lender is the name of the entry that owns the slots.
	lender string
	// until is the time after which no task may be started on the slots.
	until time.Time
}

// lentLoan is the lender's side of lent slots.
type lentLoan struct {
	upstream *upstreamState
	// remaining is the number of slots that have not been returned.
	remaining int
}

// Lend lends up to want idle slots to another entry, the fastest first, unless
// tasks wait here. If below is not 0, it lends only slots whose expected run time
// in seconds is less than below. A loan ends with Reclaim, or by itself returnGrace
// after the time until which the borrower may start tasks.
func (p *Pool) Lend(want int, below float64) []*wire.SlotLoan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() > 0 {
		return nil
	}
	until := time.Now().Add(loanDuration)
	var out []*wire.SlotLoan
	for want > 0 {
		s := p.fastestLendable()
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
func (p *Pool) lend(s *upstreamState, n int, until time.Time) *wire.SlotLoan {
	p.lastLoanID++
	id := p.lastLoanID
	p.lentLoans[id] = &lentLoan{s, n}
	time.AfterFunc(loanDuration+returnGrace, func() {
		p.reclaim(id, n)
		p.dispatch()
	})
	return &wire.SlotLoan{
		Upstream: s.Name, Instance: s.Instance, Address: s.Address, Slots: uint32(n),
		Until: timestamppb.New(until), RunSeconds: s.runSeconds, Id: id,
	}
}

// fastestLendable returns the fastest upstream on which this entry has a slot to
// lend, or nil; the caller holds the lock.
func (p *Pool) fastestLendable() *upstreamState {
	now := time.Now()
	var best *upstreamState
	for _, s := range p.upstreams {
		if s.loan == nil && s.hasFreeSlot(now) && s.failures < failureLimit &&
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
	l := p.lentLoans[id]
	if l == nil {
		return
	}
	n = min(n, l.remaining)
	l.remaining -= n
	l.upstream.lent -= n
	if l.remaining == 0 {
		delete(p.lentLoans, id)
	}
}

// AddBorrowed adds slots that another entry has lent.
func (p *Pool) AddBorrowed(lender string, loans []*wire.SlotLoan) {
	p.mu.Lock()
	p.untilSort = 0
	for _, l := range loans {
		p.upstreams = append(p.upstreams, &upstreamState{
			Target: Target{
				Name: l.GetUpstream(), Instance: l.GetInstance(), Address: l.GetAddress(), Slots: int(l.GetSlots()),
			},
			runSeconds: l.GetRunSeconds(),
			loan:       &borrowedLoan{l.GetId(), lender, l.GetUntil().AsTime()},
			prior:      func() float64 { return p.mean },
		})
	}
	p.mu.Unlock()
	p.dispatch()
	p.scheduleReturn()
}

// scheduleReturn schedules the return of idle borrowed slots, unless one is
// already scheduled.
func (p *Pool) scheduleReturn() {
	if p.returnScheduled.Swap(true) {
		return
	}
	p.mu.Lock()
	delay := min(max(p.meanRun()/2, minReturnDelay), maxReturnDelay)
	p.mu.Unlock()
	time.AfterFunc(delay, func() {
		p.returnScheduled.Store(false)
		p.returnIdle()
	})
}

// returnIdle returns the idle borrowed slots if no task waits, and those whose
// loan has expired in any case.
func (p *Pool) returnIdle() {
	if p.ReturnSlots == nil {
		return
	}
	returned := make(map[string][]*wire.SlotLoan)
	p.mu.Lock()
	now := time.Now()
	kept := p.upstreams[:0]
	for _, s := range p.upstreams {
		idle := s.Slots - s.busy
		if s.loan == nil || idle == 0 || p.queue.Len() > 0 && now.Before(s.loan.until) {
			kept = append(kept, s)
			continue
		}
		returned[s.loan.lender] = append(returned[s.loan.lender], &wire.SlotLoan{
			Upstream: s.Name, Instance: s.Instance, Slots: uint32(idle), Id: s.loan.id,
		})
		if s.Slots = s.busy; s.busy > 0 {
			kept = append(kept, s)
		}
	}
	clear(p.upstreams[len(kept):])
	p.upstreams = kept
	p.mu.Unlock()
	for lender, loans := range returned {
		p.ReturnSlots(lender, p.name, loans)
	}
}

// backlog returns the number of waiting tasks if the next of them has waited long
// enough to justify borrowing, and 0 otherwise. If free slots exist that were not
// worth taking, only slots faster than these are useful: below is then the lowest
// run time among them, in seconds.
func (p *Pool) backlog() (n int, below float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.queue.Peek()
	if !ok {
		return 0, 0
	}
	after := time.Duration(p.cfg.Load().GetBorrowAfterMs()) * time.Millisecond
	if left := after - time.Since(t.queuedAt); left > 0 {
		p.dispatchAfter(left)
		return 0, 0
	}
	for _, s := range p.freeSlots() {
		if e := s.Estimate(); below == 0 || e < below {
			below = e
		}
	}
	return p.queue.Len(), below
}
