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
	// borrowInterval is the time after which slots are borrowed again for tasks that still
	// wait; peers that refused are asked again after as long.
	borrowInterval = 100 * time.Millisecond
	// maxRetryAfter bounds the retry delay of a refusal before jitter.
	maxRetryAfter = 30 * time.Second
)

// Pool dispatches the tasks of one service.
type Pool struct {
	*Dispatcher
	name string
	cfg  atomic.Pointer[wire.ServiceConfiguration]

	mu    sync.Mutex
	queue *queuer.Queue[*Task]
	// assigned holds the assigned upstreams by name.
	assigned map[string]*upstreamState
	// upstreams lists the assigned upstreams and the borrowed slots, roughly
	// sorted by estimate.
	upstreams []*upstreamState
	policy    Policy[*upstreamState]
	// untilSort counts down the lookups until upstreams is sorted again.
	untilSort int
	// waitForFaster is true if the policy lets tasks wait for a faster slot.
	waitForFaster bool
	// freeBuffer is a buffer that candidates and freeSlots reuse.
	freeBuffer []*upstreamState
	// mean is the moving average of the run time of all tasks, in seconds.
	mean float64
	// meanRuns counts the runs included in mean.
	meanRuns int
	// running counts the attempts in progress.
	running int
	// openTasks counts the unsettled tasks of each tenant.
	openTasks map[string]int
	threshold threshold
	// dispatchScheduled is true while a call of scheduledDispatch is pending.
	dispatchScheduled bool
	// failureRate is the moving average of failed starts, from 0 to 1.
	failureRate float64
	retries     budget
	hedges      budget
	runs        runTimes
	// lentLoans holds the loans to other entries by ID.
	lentLoans  map[uint64]*lentLoan
	lastLoanID uint64
	// returnScheduled is true while a return of borrowed slots is scheduled.
	returnScheduled atomic.Bool
}

func newPool(d *Dispatcher, name string) *Pool {
	return &Pool{
		Dispatcher: d,
		name:       name,
		queue:      queuer.New[*Task](),
		assigned:   make(map[string]*upstreamState),
		openTasks:  make(map[string]int),
		lentLoans:  make(map[uint64]*lentLoan),
	}
}

// configure applies a configuration.
func (p *Pool) configure(s *wire.ServiceConfiguration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.policy == nil || p.cfg.Load().GetPolicy() != s.GetPolicy() {
		p.policy = newPolicy(s.GetPolicy())
		p.waitForFaster = s.GetPolicy() == PolicyFastest
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
	p.untilSort = 0
	seen := make(map[string]bool, len(targets))
	for _, t := range targets {
		seen[t.Name] = true
		s := p.assigned[t.Name]
		if s == nil || s.Instance != t.Instance || s.Address != t.Address {
			p.remove(s)
			s = &upstreamState{Target: t, prior: func() float64 { return p.mean }}
			p.assigned[t.Name] = s
			p.upstreams = append(p.upstreams, s)
		}
		s.Slots, s.Leaving = t.Slots, t.Leaving || s.announcedLeaving
	}
	for n, s := range p.assigned {
		if !seen[n] {
			p.remove(s)
			delete(p.assigned, n)
		}
	}
	p.mu.Unlock()
	p.dispatch()
}

// remove excludes an upstream from new starts; the caller holds the lock.
func (p *Pool) remove(s *upstreamState) {
	if s == nil {
		return
	}
	s.removed = true
	for i, o := range p.upstreams {
		if o == s {
			p.upstreams = append(p.upstreams[:i], p.upstreams[i+1:]...)
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
		t.queuedAt = now
		p.openTasks[t.Tenant]++
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
	if capacity == 0 && (p.hasUpstream() || p.canBorrow()) {
		capacity = 1
	}
	if capacity == 0 {
		return classifier.RetryLater("no upstream of the service is live", p.retryAfter(time.Second))
	}
	left := time.Until(first.Deadline)
	if left < time.Duration(p.cfg.Load().GetShortestRunMs())*time.Millisecond {
		return classifier.New(classifier.NotRun, "the deadline is shorter than the shortest run")
	}
	if limit := p.quota(first.Tenant); limit > 0 && p.openTasks[first.Tenant]+len(tasks) > limit {
		return classifier.RetryLater("the tenant has too many open tasks", p.retryAfter(p.drainTime(capacity)))
	}
	wait := p.drainTime(capacity)
	if wait+p.meanRun() > left {
		return classifier.RetryLater("the queue is too long for the deadline", p.retryAfter(wait))
	}
	return nil
}

// capacity returns the number of slots on upstreams that are not leaving; the
// caller holds the lock.
func (p *Pool) capacity() int {
	n := 0
	for _, s := range p.upstreams {
		if !s.Leaving {
			n += s.Slots
		}
	}
	return n
}

// hasUpstream reports whether any upstream is not leaving. This entry may still
// receive slots on it even if it has none yet. The caller holds the lock.
func (p *Pool) hasUpstream() bool {
	for _, s := range p.upstreams {
		if !s.Leaving {
			return true
		}
	}
	return false
}

// canBorrow reports whether other entries have slots to lend.
func (p *Pool) canBorrow() bool { return p.slotsToBorrow(0) > 0 }

// slotsToBorrow returns the number of slots that could be borrowed and whose
// expected run time in seconds is less than below; 0 means any slot.
func (p *Pool) slotsToBorrow(below float64) int {
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

// meanRun returns the mean run time of the service's tasks.
func (p *Pool) meanRun() time.Duration { return time.Duration(p.mean * float64(time.Second)) }

// drainTime estimates how long the given number of slots takes to empty the
// queue.
func (p *Pool) drainTime(capacity int) time.Duration {
	return time.Duration(float64(p.queue.Len()) / float64(capacity) * p.mean * float64(time.Second))
}

// retryAfter returns the retry delay of a refusal: d within bounds, plus jitter
// that spreads the retries of refused callers.
func (p *Pool) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, 100*time.Millisecond), maxRetryAfter)
	return d + rand.N(d)
}

// dispatch starts waiting tasks while slots are free.
func (p *Pool) dispatch() {
	for {
		p.mu.Lock()
		t, s := p.next()
		p.mu.Unlock()
		if t == nil {
			break
		}
		go p.run(t, s, startKind(t))
	}
	if n, below := p.backlog(); n > 0 && p.OnBacklog != nil {
		p.OnBacklog(p.name, n, below)
		// No event tells this entry that a peer has idle slots again.
		p.mu.Lock()
		p.dispatchAfter(borrowInterval)
		p.mu.Unlock()
	}
}

// startKind returns the kind of message that the next start of t is.
func startKind(t *Task) string {
	if t.Started() {
		return MessageRetry
	}
	return MessageStart
}

// next takes the next task off the queue and reserves a slot for it. It returns
// nil if no task can be started now. The caller holds the lock.
func (p *Pool) next() (*Task, *upstreamState) {
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
		if p.shouldWait(t, s) {
			return nil, nil
		}
		p.queue.Pop()
		p.threshold.observe(p.upstreams)
		s.busy++
		p.running++
		return t, s
	}
	return nil, nil
}

// shouldWait reports whether t should wait for a faster slot than s. If so, it
// schedules another dispatch for when waiting no longer pays. The caller holds
// the lock.
func (p *Pool) shouldWait(t *Task, s *upstreamState) bool {
	if !p.waitForFaster {
		return false
	}
	worth, left := p.threshold.worthTaking(s, p.upstreams, p.queue.Len(), p.slotsToBorrow, t.queuedAt, time.Now())
	if worth {
		return false
	}
	p.dispatchAfter(left)
	return true
}

// dispatchAfter schedules another dispatch after d, unless one is scheduled
// already. The caller holds the lock.
func (p *Pool) dispatchAfter(d time.Duration) {
	if !p.dispatchScheduled {
		p.dispatchScheduled = true
		time.AfterFunc(d, p.scheduledDispatch)
	}
}

// scheduledDispatch runs the dispatch that dispatchAfter scheduled.
func (p *Pool) scheduledDispatch() {
	p.mu.Lock()
	p.dispatchScheduled = false
	p.mu.Unlock()
	p.dispatch()
}

// sortUpstreams sorts the upstreams by estimate, but only once in sortPeriod+1
// calls or after untilSort was reset. The caller holds the lock.
func (p *Pool) sortUpstreams() {
	if p.untilSort > 0 {
		p.untilSort--
		return
	}
	p.untilSort = sortPeriod
	slices.SortStableFunc(p.upstreams, func(a, b *upstreamState) int { return cmp.Compare(a.Estimate(), b.Estimate()) })
}

// candidates lists the upstreams from which the policy chooses for t. For the
// policy Fastest and a task without earlier attempts, the first free upstream
// suffices, since the upstreams are sorted by estimate. The caller holds the lock.
func (p *Pool) candidates(t *Task) []*upstreamState {
	if _, fastest := p.policy.(Fastest[*upstreamState]); !fastest || len(t.tried) > 0 {
		return p.untried(t, p.freeSlots())
	}
	p.sortUpstreams()
	now := time.Now()
	p.freeBuffer = p.freeBuffer[:0]
	for _, s := range p.upstreams {
		if s.hasFreeSlot(now) {
			return append(p.freeBuffer, s)
		}
	}
	return nil
}

// freeSlots lists the upstreams with a free slot; the caller holds the lock.
func (p *Pool) freeSlots() []*upstreamState {
	now := time.Now()
	p.freeBuffer = p.freeBuffer[:0]
	for _, s := range p.upstreams {
		if s.hasFreeSlot(now) {
			p.freeBuffer = append(p.freeBuffer, s)
		}
	}
	return p.freeBuffer
}

// untried returns the upstreams in free on which t was not tried yet, or all of
// them if t was tried on each.
func (p *Pool) untried(t *Task, free []*upstreamState) []*upstreamState {
	if len(t.tried) == 0 {
		return free
	}
	kept := make([]*upstreamState, 0, len(free))
	for _, s := range free {
		if !t.triedOn(s.Name) {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return free
	}
	return kept
}

// run performs one attempt on a slot that the caller reserved.
func (p *Pool) run(t *Task, s *upstreamState, kind string) {
	ctx, cancel := context.WithDeadline(context.Background(), t.Deadline)
	defer cancel()
	a := t.beginAttempt(s, kind, cancel)
	if a == nil {
		p.releaseSlot(s)
		p.dispatch()
		return
	}
	if kind == MessageStart {
		p.Recorder.Wait(p.name, t.Tenant, a.startedAt.Sub(t.queuedAt))
	}
	p.Recorder.Message(p.name, t.Tenant, kind)
	p.startTimers(a)
	res, err := p.Client.Start(ctx, s.Address, p.wireTask(a))
	if p.needsStatusQuery(a, err) {
		res, err = p.awaitOutcome(ctx, a, err)
	}
	p.finishAttempt(a, res, err)
}

// wireTask returns an attempt's task in the form of package upstream.
func (p *Pool) wireTask(a *attempt) upstream.Task {
	return upstream.Task{
		ID: a.task.ID, Service: p.name, Attempt: a.number, Deadline: a.task.Deadline,
		Lease: p.Incarnation, Input: a.task.Input,
	}
}

// releaseSlot frees a reserved slot.
func (p *Pool) releaseSlot(s *upstreamState) {
	p.mu.Lock()
	s.busy--
	p.running--
	p.mu.Unlock()
}
