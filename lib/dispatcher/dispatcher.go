// Package dispatcher starts tasks on upstreams.
//
// Each service has a pool: a fair queue of waiting tasks and this entry's
// slots on the upstreams. Tasks wait in the entry rather than at the upstreams
// and are started only when a slot is free, so that a start takes one message.
// The verdict of a failed attempt decides what happens next: a task that did
// not run is queued again for another upstream; a task that ran or may have run
// is started again only if the service is repeatable and the retry budget
// allows it.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Incarnation: incarnation, Client: client, Recorder: recorder}
//	d.Configure(service)
//	d.Assign("claims", targets)
//	err := d.Submit("claims", tasks)
//
// Each submitted task's Settle is called exactly once, from any goroutine.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/upstream"
	"radishweir.org/lib/wire"
)

// Outcome is the final result of one task.
type Outcome struct {
	// Verdict says whether the task may have run.
	Verdict classifier.Verdict
	// Output is set when the task succeeded.
	Output []byte
	// OK is true when the task ran and succeeded.
	OK bool
	// Reason is a one-line explanation of a failure.
	Reason string
	// Upstream is the name of the upstream of the last attempt.
	Upstream string
}

// Task is one task of a job. The exported fields must be set before Submit.
type Task struct {
	// ID is unique across all tenants and jobs.
	ID string
	// Tenant owns the task.
	Tenant string
	// Weight is the tenant's weight in the service's fair queue.
	Weight uint32
	// Deadline is the time after which the caller no longer needs the answer.
	Deadline time.Time
	// Input is sent to the upstream unchanged.
	Input []byte
	// Settle is called with the outcome.
	Settle func(Outcome)

	state
}

// Client sends requests to upstreams; upstream.Client implements it.
type Client interface {
	Start(ctx context.Context, address string, t upstream.Task) (upstream.Result, error)
	Status(ctx context.Context, address string, t upstream.Task) (upstream.Result, bool, error)
	Cancel(ctx context.Context, address, id string) error
}

// Recorder collects the metrics of the pools, by service and tenant.
type Recorder interface {
	// Message counts one message of the given kind to an upstream.
	Message(service, tenant, kind string)
	// Wait observes how long a task waited for a slot.
	Wait(service, tenant string, d time.Duration)
	// Took observes how long a successful attempt took.
	Took(service, tenant string, d time.Duration)
}

// Kinds of messages that a Recorder counts.
const (
	// MessageStart is the start of a task of which no earlier attempt may have run.
	MessageStart = "start"
	// MessageRetry is a start after an earlier attempt that may have run.
	MessageRetry = "retry"
	// MessageHedge is a start in parallel to an attempt that is still running.
	MessageHedge = "hedge"
	// MessageRefused is a start that was refused or failed before the task ran.
	MessageRefused = "refused"
	// MessageStatus is a status query for a task.
	MessageStatus = "status"
	// MessageCancel is a request to stop a task.
	MessageCancel = "cancel"
	// MessageDropped is an answer that is ignored because the attempt or the task
	// has already ended.
	MessageDropped = "dropped"
)

// Dispatcher holds one pool for each service. The exported fields must be set
// before the first call.
type Dispatcher struct {
	// Incarnation identifies this process of the entry. Every start carries it as
	// upstream.Task.Lease.
	Incarnation string
	// Client sends requests to the upstreams.
	Client Client
	// Recorder collects metrics.
	Recorder Recorder
	// OnBacklog, if set, is called when tasks of a service are waiting for slots
	// that could be borrowed; need is the number of waiting tasks. Only slots whose
	// expected run time in seconds is less than below are useful; 0 means any slot.
	OnBacklog func(service string, need int, below float64)
	// BorrowableSlots, if set, returns the number of slots of a service that other
	// entries could lend, counting only those whose expected run time in seconds
	// is less than below; 0 means any slot.
	BorrowableSlots func(service string, below float64) int
	// ReturnSlots, if set, returns borrowed slots to the entry that lent them.
	ReturnSlots func(lender, service string, loans []*wire.SlotLoan)
	// Log receives events.
	Log zerolog.Logger

	mu    sync.RWMutex
	pools map[string]*Pool
}

// Configure creates the pool of a service or changes its configuration.
func (d *Dispatcher) Configure(s *wire.ServiceConfiguration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = make(map[string]*Pool)
	}
	p := d.pools[s.GetService()]
	if p == nil {
		p = newPool(d, s.GetService())
		d.pools[s.GetService()] = p
	}
	p.configure(s)
}

// Pool returns the pool of a service, or nil.
func (d *Dispatcher) Pool(service string) *Pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools[service]
}

// Pools returns all pools by service.
func (d *Dispatcher) Pools() map[string]*Pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make(map[string]*Pool, len(d.pools))
	for n, p := range d.pools {
		out[n] = p
	}
	return out
}

// Assign sets the upstreams of a service and this entry's slots on them.
func (d *Dispatcher) Assign(service string, targets []Target) {
	if p := d.Pool(service); p != nil {
		p.assign(targets)
	}
}

// Submit queues all tasks or none. A refusal is a classifier.Error with the
// verdict NotRun and, where a later attempt may succeed, a retry delay.
func (d *Dispatcher) Submit(service string, tasks []*Task) error {
	p := d.Pool(service)
	if p == nil {
		return classifier.RetryLater("the service has no configuration", time.Second)
	}
	return p.submit(tasks)
}

// Cancel withdraws tasks. Tasks that no upstream has received are settled as
// not run. If stop is true, all other tasks are settled too and stopped at their
// upstreams; otherwise they continue.
func (d *Dispatcher) Cancel(service string, tasks []*Task, stop bool) {
	if p := d.Pool(service); p != nil {
		p.cancel(tasks, stop)
	}
}

// Load is a snapshot of one pool for heartbeats and the status page.
type Load struct {
	// Waiting counts queued tasks, Running attempts in progress, and Idle this
	// entry's own free slots.
	Waiting, Running, Idle int
	// IdleRunSeconds is the expected run time in seconds on the fastest idle slot.
	IdleRunSeconds float64
	// Upstreams lists the assigned upstreams and the borrowed slots.
	Upstreams []UpstreamLoad
}

// UpstreamLoad is the state of one upstream in a pool.
type UpstreamLoad struct {
	Target
	// Busy counts the slots in use.
	Busy int
	// RunSeconds is the mean run time of successful tasks, 0 while there is none.
	RunSeconds float64
	// Ejected is true while no task is started on the upstream because of earlier
	// failures or because it refused a task for lack of a free slot.
	Ejected bool
}

// Load returns a snapshot of the pool.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	l := Load{Waiting: p.queue.Len(), Running: p.running}
	for _, s := range p.upstreams {
		u := UpstreamLoad{Target: s.Target, Busy: s.busy, RunSeconds: s.runSeconds, Ejected: now.Before(s.ejectedUntil)}
		if s.loan == nil && s.hasFreeSlot(now) {
			l.Idle += s.Slots - s.busy - s.lent
			if l.IdleRunSeconds == 0 || s.Estimate() < l.IdleRunSeconds {
				l.IdleRunSeconds = s.Estimate()
			}
		}
		l.Upstreams = append(l.Upstreams, u)
	}
	return l
}

// AdvertisedLoad returns the load that is advertised to other entries. While
// tasks wait, no slot is advertised as idle.
func (p *Pool) AdvertisedLoad() *wire.ServiceLoad {
	l := p.Load()
	h := &wire.ServiceLoad{
		Service: p.name, Waiting: uint32(l.Waiting), IdleSlots: uint32(l.Idle), IdleSeconds: l.IdleRunSeconds,
	}
	if l.Waiting > 0 {
		h.IdleSlots = 0
	}
	return h
}
