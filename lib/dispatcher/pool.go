package dispatcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/queuer"
	"radishweir.org/lib/upstream"
	"radishweir.org/lib/wire"
)

const (
	// maxAttempts bounds the attempts at one task, refused ones included.
	maxAttempts = 8
	// retryBurst is the number of retries that an idle budget holds.
	retryBurst = 10
	// sortPeriod is the number of starts between two sortings of the upstreams.
	sortPeriod = 16
	// longestAdvice bounds the wait that a refusal advises.
	longestAdvice = 30 * time.Second
)

// Pool dispatches the tasks of one service.
type Pool struct {
	*Dispatcher
	name string
	cfg  atomic.Pointer[wire.ServiceConfiguration]

	mu      sync.Mutex
	queue   *queuer.Queue[*Task]
	targets map[string]*slots
	order   []*slots
	policy  Policy[*slots]
	// unsorted counts down the starts until order is sorted again.
	unsorted int
	// mayWait is true when tasks may wait for a faster slot.
	mayWait bool
	free    []*slots
	// mean is the moving average of the run time of all tasks, in seconds.
	mean float64
	// learned counts the runs that the mean is made of.
	learned   int
	running   int
	open      map[string]int
	threshold threshold
	// looking is true while lookAgain is due.
	looking bool
	// failing is the moving average of failed starts, from 0 to 1.
	failing float64
	retries budget
	hedges  budget
	runs    runTimes
	// outstanding are the own loans to other entries by identifier.
	outstanding map[uint64]*lentLoan
	lastLoan    uint64
	// returning is true while a return of borrowed slots is due.
	returning atomic.Bool
}

func newPool(d *Dispatcher, name string) *Pool {
	return &Pool{
		Dispatcher:  d,
		name:        name,
		queue:       queuer.New[*Task](),
		targets:     make(map[string]*slots),
		open:        make(map[string]int),
		outstanding: make(map[uint64]*lentLoan),
	}
}

// configure puts a configuration in force.
func (p *Pool) configure(s *wire.ServiceConfiguration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.policy == nil || p.cfg.Load().GetPolicy() != s.GetPolicy() {
		p.policy = newPolicy(s.GetPolicy())
		p.mayWait = s.GetPolicy() == PolicyFastest
	}
	if p.mean == 0 {
		p.mean = float64(s.GetTypicalRunMs()) / 1000
	}
	p.retries.configure(s.GetRetryPermille())
	p.hedges.configure(s.GetHedgePermille())
	p.cfg.Store(s)
}

// assign sets the upstreams and the slots on them.
func (p *Pool) assign(targets []Target) {
	p.mu.Lock()
	p.unsorted = 0
	seen := make(map[string]bool, len(targets))
	for _, t := range targets {
		seen[t.Name] = true
		s := p.targets[t.Name]
		if s == nil || s.Instance != t.Instance || s.Address != t.Address {
			p.remove(s)
			s = &slots{Target: t, prior: func() float64 { return p.mean }}
			p.targets[t.Name] = s
			p.order = append(p.order, s)
		}
		s.Slots, s.Leaving = t.Slots, t.Leaving || s.saidLeaving
	}
	for n, s := range p.targets {
		if !seen[n] {
			p.remove(s)
			delete(p.targets, n)
		}
	}
	p.mu.Unlock()
	p.dispatch()
}

// remove takes an upstream out of the choice; the caller holds the lock.
func (p *Pool) remove(s *slots) {
	if s == nil {
		return
	}
	s.removed = true
	for i, o := range p.order {
		if o == s {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}

// submit queues all tasks or none.
func (p *Pool) submit(tasks []*Task) error {
	p.mu.Lock()
	if err := p.admit(tasks); err != nil {
		p.mu.Unlock()
		return err
	}
	now := time.Now()
	for _, t := range tasks {
		t.queued = now
		p.open[t.Tenant]++
		p.queue.Push(t.Tenant, t.Weight, t.Deadline, t)
	}
	p.mu.Unlock()
	p.dispatch()
	return nil
}

// admit refuses tasks that cannot end in time; the caller holds the lock.
func (p *Pool) admit(tasks []*Task) error {
	first := tasks[0]
	capacity := p.capacity()
	if capacity == 0 && (p.growing() || p.elsewhere()) {
		capacity = 1
	}
	if capacity == 0 {
		return classifier.Later("no upstream of the service is live", p.advice(time.Second))
	}
	left := time.Until(first.Deadline)
	if left < time.Duration(p.cfg.Load().GetShortestRunMs())*time.Millisecond {
		return classifier.New(classifier.NotRun, "the deadline is shorter than the shortest run")
	}
	if limit := p.quota(first.Tenant); limit > 0 && p.open[first.Tenant]+len(tasks) > limit {
		return classifier.Later("the tenant has too many open tasks", p.advice(p.drainTime(capacity)))
	}
	wait := p.drainTime(capacity)
	if wait+p.meanRun() > left {
		return classifier.Later("the queue is too long for the deadline", p.advice(wait))
	}
	return nil
}

// capacity returns the slots on live upstreams; the caller holds the lock.
func (p *Pool) capacity() int {
	n := 0
	for _, s := range p.order {
		if !s.Leaving {
			n += s.Slots
		}
	}
	return n
}

// growing reports whether upstreams are live on which this entry has no slot
// yet; the caller holds the lock.
func (p *Pool) growing() bool {
	for _, s := range p.order {
		if !s.Leaving {
			return true
		}
	}
	return false
}

// elsewhere reports whether slots may be borrowed from other entries.
func (p *Pool) elsewhere() bool { return p.idleElsewhere(0) > 0 }

// idleElsewhere returns the slots that could be borrowed whose expected run time
// is below the given one, in seconds; 0 for any.
func (p *Pool) idleElsewhere(below float64) int {
	if p.Idle == nil {
		return 0
	}
	return p.Idle(p.name, below)
}

// quota returns the tasks that a tenant may have open; 0 for any number.
func (p *Pool) quota(tenant string) int {
	for _, t := range p.cfg.Load().GetTenants() {
		if t.GetName() == tenant {
			return int(t.GetMaxOpenTasks())
		}
	}
	return 0
}

func (p *Pool) meanRun() time.Duration { return time.Duration(p.mean * float64(time.Second)) }

// drainTime estimates how long the queue takes to empty.
func (p *Pool) drainTime(capacity int) time.Duration {
	return time.Duration(float64(p.queue.Len()) / float64(capacity) * p.mean * float64(time.Second))
}

// advice spreads the return of refused callers.
func (p *Pool) advice(d time.Duration) time.Duration {
	d = min(max(d, 100*time.Millisecond), longestAdvice)
	return d + rand.N(d)
}

// dispatch starts waiting tasks while slots are free.
func (p *Pool) dispatch() {
	for {
		p.mu.Lock()
		t, s := p.match()
		p.mu.Unlock()
		if t == nil {
			break
		}
		go p.run(t, s, startKind(t))
	}
	if n, below := p.need(); n > 0 && p.Backlogged != nil {
		p.Backlogged(p.name, n, below)
	}
}

func startKind(t *Task) string {
	if t.Started() {
		return MessageRetry
	}
	return MessageStart
}

// match takes the next task and a slot for it; the caller holds the lock.
func (p *Pool) match() (*Task, *slots) {
	for p.queue.Len() > 0 {
		t, _ := p.queue.Peek()
		if t.settled() {
			p.queue.Pop()
			continue
		}
		free := p.candidates(t)
		if len(free) == 0 {
			return nil, nil
		}
		s := p.policy.Pick(free)
		if p.holds(t, s) {
			return nil, nil
		}
		p.queue.Pop()
		p.threshold.observe(p.order)
		s.busy++
		p.running++
		return t, s
	}
	return nil, nil
}

// holds reports whether t should wait for a faster slot than s, and makes sure
// that it does not wait for ever; the caller holds the lock.
func (p *Pool) holds(t *Task, s *slots) bool {
	if !p.mayWait {
		return false
	}
	worth, left := p.threshold.worth(s, p.order, p.queue.Len(), p.idleElsewhere, t.queued, time.Now())
	if worth {
		return false
	}
	p.lookAfter(left)
	return true
}

// lookAfter makes sure that a task which waits for a better slot does not wait
// for ever; the caller holds the lock.
func (p *Pool) lookAfter(d time.Duration) {
	if !p.looking {
		p.looking = true
		time.AfterFunc(d, p.lookAgain)
	}
}

// lookAgain dispatches after a task has waited in vain for a better slot.
func (p *Pool) lookAgain() {
	p.mu.Lock()
	p.looking = false
	p.mu.Unlock()
	p.dispatch()
}

// sort puts the upstreams in the order of their estimates, from time to time;
// the caller holds the lock.
func (p *Pool) sort() {
	if p.unsorted > 0 {
		p.unsorted--
		return
	}
	p.unsorted = sortPeriod
	slices.SortStableFunc(p.order, func(a, b *slots) int { return cmp.Compare(a.Estimate(), b.Estimate()) })
}

// candidates lists the upstreams among which the policy chooses for t. When it
// wants the fastest and t was not tried before, the first free one is enough,
// since the upstreams are sorted; the caller holds the lock.
func (p *Pool) candidates(t *Task) []*slots {
	if _, fastest := p.policy.(Fastest[*slots]); !fastest || len(t.tried) > 0 {
		return p.untried(t, p.freeSlots())
	}
	p.sort()
	now := time.Now()
	p.free = p.free[:0]
	for _, s := range p.order {
		if s.free(now) {
			return append(p.free, s)
		}
	}
	return nil
}

// freeSlots lists upstreams with a free slot; the caller holds the lock.
func (p *Pool) freeSlots() []*slots {
	now := time.Now()
	p.free = p.free[:0]
	for _, s := range p.order {
		if s.free(now) {
			p.free = append(p.free, s)
		}
	}
	return p.free
}

// untried leaves out the upstreams that t was tried on, unless none is left.
func (p *Pool) untried(t *Task, free []*slots) []*slots {
	if len(t.tried) == 0 {
		return free
	}
	kept := make([]*slots, 0, len(free))
	for _, s := range free {
		if !t.avoided(s.Name) {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return free
	}
	return kept
}

// run performs one attempt.
func (p *Pool) run(t *Task, s *slots, kind string) {
	ctx, cancel := context.WithDeadline(context.Background(), t.Deadline)
	defer cancel()
	a := t.begin(s, kind, cancel)
	if a == nil {
		p.release(s)
		p.dispatch()
		return
	}
	if kind == MessageStart {
		p.Recorder.Wait(p.name, t.Tenant, a.began.Sub(t.queued))
	}
	p.Recorder.Message(p.name, t.Tenant, kind)
	p.guard(a)
	res, err := p.Client.Start(ctx, s.Address, p.wireTask(a))
	if p.mustInquire(a, err) {
		res, err = p.inquire(ctx, a, err)
	}
	p.decide(a, res, err)
}

// wireTask describes an attempt for package upstream.
func (p *Pool) wireTask(a *attempt) upstream.Task {
	return upstream.Task{
		ID: a.task.ID, Service: p.name, Attempt: a.number, Deadline: a.task.Deadline,
		Lease: p.Incarnation, Input: a.task.Input,
	}
}

// release gives a slot back.
func (p *Pool) release(s *slots) {
	p.mu.Lock()
	s.busy--
	p.running--
	p.mu.Unlock()
}
