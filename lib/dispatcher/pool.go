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
	// maxAttempts bounds the attempts at one task, including refused ones.
	maxAttempts = 8
	// retryBurst is the capacity of a retry or hedge budget.
	retryBurst = 10
	// sortPeriod is the number of lookups between two sorts of the upstreams.
	sortPeriod = 16
	// longestAdvice bounds the retry delay of a refusal before jitter.
	longestAdvice = 30 * time.Second
)

// Pool dispatches the tasks of one service.
type Pool struct {
	*Dispatcher
	name string
	cfg  atomic.Pointer[wire.ServiceConfiguration]

	mu    sync.Mutex
	queue *queuer.Queue[*Task]
	// targets holds the assigned upstreams by name.
	targets map[string]*slots
	// order lists the assigned upstreams and the borrowed slots, roughly sorted by
	// estimate.
	order  []*slots
	policy Policy[*slots]
	// unsorted counts down the lookups until order is sorted again.
	unsorted int
	// mayWait is true if the policy lets tasks wait for a faster slot.
	mayWait bool
	// free is a buffer that candidates and freeSlots reuse.
	free []*slots
	// mean is the moving average of the run time of all tasks, in seconds.
	mean float64
	// learned counts the runs included in mean.
	learned int
	// running counts the attempts in progress.
	running int
	// open counts the unsettled tasks of each tenant.
	open      map[string]int
	threshold threshold
	// looking is true while a call of lookAgain is scheduled.
	looking bool
	// failing is the moving average of failed starts, from 0 to 1.
	failing float64
	retries budget
	hedges  budget
	runs    runTimes
	// outstanding holds the loans to other entries by ID.
	outstanding map[uint64]*lentLoan
	lastLoan    uint64
	// returning is true while a return of borrowed slots is scheduled.
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

// configure applies a configuration.
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

// assign replaces the upstreams and this entry's slots on them.
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

// remove excludes an upstream from new starts; the caller holds the lock.
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

// admit refuses tasks that cannot finish before their deadline or exceed the
// tenant's quota; the caller holds the lock.
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

// capacity returns the number of slots on upstreams that are not leaving; the
// caller holds the lock.
func (p *Pool) capacity() int {
	n := 0
	for _, s := range p.order {
		if !s.Leaving {
			n += s.Slots
		}
	}
	return n
}

// growing reports whether any upstream is not leaving. This entry may still
// receive slots on it even if it has none yet. The caller holds the lock.
func (p *Pool) growing() bool {
	for _, s := range p.order {
		if !s.Leaving {
			return true
		}
	}
	return false
}

// elsewhere reports whether other entries have slots to lend.
func (p *Pool) elsewhere() bool { return p.idleElsewhere(0) > 0 }

// idleElsewhere returns the number of slots that could be borrowed and whose
// expected run time in seconds is less than below; 0 means any slot.
func (p *Pool) idleElsewhere(below float64) int {
	if p.BorrowableSlots == nil {
		return 0
	}
	return p.BorrowableSlots(p.name, below)
}

// quota returns the number of tasks that a tenant may have open; 0 means no
// limit.
func (p *Pool) quota(tenant string) int {
	for _, t := range p.cfg.Load().GetTenants() {
		if t.GetName() == tenant {
			return int(t.GetMaxOpenTasks())
		}
	}
	return 0
}

func (p *Pool) meanRun() time.Duration { return time.Duration(p.mean * float64(time.Second)) }

// drainTime estimates how long the given number of slots takes to empty the
// queue.
func (p *Pool) drainTime(capacity int) time.Duration {
	return time.Duration(float64(p.queue.Len()) / float64(capacity) * p.mean * float64(time.Second))
}

// advice returns the retry delay of a refusal: d within bounds, plus jitter that
// spreads the retries of refused callers.
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
	if n, below := p.need(); n > 0 && p.OnBacklog != nil {
		p.OnBacklog(p.name, n, below)
	}
}

func startKind(t *Task) string {
	if t.Started() {
		return MessageRetry
	}
	return MessageStart
}

// match takes the next task off the queue and reserves a slot for it. It returns
// nil if no task can be started now. The caller holds the lock.
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

// holds reports whether t should wait for a faster slot than s. If so, it
// schedules another dispatch for when waiting no longer pays. The caller holds
// the lock.
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

// lookAfter schedules another dispatch after d, unless one is scheduled already.
// The caller holds the lock.
func (p *Pool) lookAfter(d time.Duration) {
	if !p.looking {
		p.looking = true
		time.AfterFunc(d, p.lookAgain)
	}
}

// lookAgain runs the scheduled dispatch.
func (p *Pool) lookAgain() {
	p.mu.Lock()
	p.looking = false
	p.mu.Unlock()
	p.dispatch()
}

// sort sorts the upstreams by estimate on every call after sortPeriod others; the
// caller holds the lock.
func (p *Pool) sort() {
	if p.unsorted > 0 {
		p.unsorted--
		return
	}
	p.unsorted = sortPeriod
	slices.SortStableFunc(p.order, func(a, b *slots) int { return cmp.Compare(a.Estimate(), b.Estimate()) })
}

// candidates lists the upstreams from which the policy chooses for t. For the
// policy Fastest and a task without earlier attempts, the first free upstream
// suffices, since the upstreams are sorted by estimate. The caller holds the lock.
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

// freeSlots lists the upstreams with a free slot; the caller holds the lock.
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

// untried returns the upstreams in free on which t was not tried yet, or all of
// them if t was tried on each.
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

// run performs one attempt on a slot that the caller reserved.
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

// wireTask returns an attempt's task in the form of package upstream.
func (p *Pool) wireTask(a *attempt) upstream.Task {
	return upstream.Task{
		ID: a.task.ID, Service: p.name, Attempt: a.number, Deadline: a.task.Deadline,
		Lease: p.Incarnation, Input: a.task.Input,
	}
}

// release frees a reserved slot.
func (p *Pool) release(s *slots) {
	p.mu.Lock()
	s.busy--
	p.running--
	p.mu.Unlock()
}
