// Package dispatcher starts tasks on upstreams.
//
// Each service has a pool: a fair queue of waiting tasks and this entry's
// slots on the upstreams. Tasks wait here and not at the upstreams; a task is
// started when a slot is free, so that a start is one message. What becomes of
// an attempt is decided by its verdict: a task that did not run goes
// elsewhere, one that may have run is started again only if the service is
// repeatable, and within a budget.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Self: name, Client: client, Recorder: metrics}
//	d.Configure(service)
//	d.Assign("claims", targets)
//	err := d.Submit("claims", tasks)
//
// Each task's Settle is called exactly once, from any goroutine.
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

// Outcome is the end of one task.
type Outcome struct {
	// Verdict says whether the task may have run.
	Verdict classifier.Verdict
	// Output is set when the task succeeded.
	Output []byte
	// OK is true when the task ran with success.
	OK bool
	// Reason says in one line why the task failed.
	Reason string
	// Upstream is the name of the upstream of the last attempt.
	Upstream string
}

// Task is one task of a job on its way to an upstream. The exported fields are
// set before Submit.
type Task struct {
	// ID is unique over all tenants and jobs.
	ID string
	// Tenant owns the task.
	Tenant string
	// Weight is the tenant's weight in the service.
	Weight uint32
	// Deadline is the absolute time after which the answer is worthless.
	Deadline time.Time
	// Input is passed on unchanged.
	Input []byte
	// Settle receives the outcome.
	Settle func(Outcome)

	state
}

// Runner is what a Client of package upstream does.
type Runner interface {
	Start(ctx context.Context, address string, t upstream.Task) (upstream.Result, error)
	Status(ctx context.Context, address string, t upstream.Task) (upstream.Result, bool, error)
	Cancel(ctx context.Context, address, id string) error
}

// Recorder counts what the pools do, by service and tenant.
type Recorder interface {
	// Message counts one message to an upstream of the given kind.
	Message(service, tenant, kind string)
	// Wait observes the time that a task waited for a slot.
	Wait(service, tenant string, d time.Duration)
	// Run observes the time that an upstream took for a task.
	Took(service, tenant string, d time.Duration)
}

// Kinds of message to an upstream.
const (
	// MessageStart is the first start of a task.
	MessageStart = "start"
	// MessageRetry is a further start after one that may have run.
	MessageRetry = "retry"
	// MessageHedge is a further start beside one that still runs.
	MessageHedge = "hedge"
	// MessageRefused is a start that did not run.
	MessageRefused = "refused"
	// MessageStatus is a question after a task's state.
	MessageStatus = "status"
	// MessageCancel is a cancellation.
	MessageCancel = "cancel"
	// MessageDropped is a late, doubled or crossed answer.
	MessageDropped = "dropped"
)

// Dispatcher holds one pool for each service. Exported fields are set before
// the first call.
type Dispatcher struct {
	// Incarnation is the lease that each start carries.
	Incarnation string
	// Client reaches the upstreams.
	Client Runner
	// Recorder counts and observes.
	Recorder Recorder
	// Backlogged is called when tasks of a service wait. Slots help whose expected
	// run time, in seconds, is below the given one; 0 for any.
	Backlogged func(service string, need int, below float64)
	// Idle returns the slots of a service that other entries could lend, of those
	// whose expected run time, in seconds, is below the given one; 0 for any.
	Idle func(service string, below float64) int
	// GiveBack returns slots to the entry that lent them.
	GiveBack func(lender, service string, loans []*wire.SlotLoan)
	// Log receives events.
	Log zerolog.Logger

	mu    sync.RWMutex
	pools map[string]*Pool
}

// Configure creates or changes the pool of a service.
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

// Submit queues all tasks or none. Its error is NotRun with advice on when to
// come back.
func (d *Dispatcher) Submit(service string, tasks []*Task) error {
	p := d.Pool(service)
	if p == nil {
		return classifier.Later("the service has no configuration", time.Second)
	}
	return p.submit(tasks)
}

// Cancel withdraws tasks: those that wait are settled as not run, those that
// run are stopped at their upstream when stop is true.
func (d *Dispatcher) Cancel(service string, tasks []*Task, stop bool) {
	if p := d.Pool(service); p != nil {
		p.cancel(tasks, stop)
	}
}

// Load is the state of one pool for heartbeats and the status page.
type Load struct {
	Waiting, Running, Idle int
	// IdleSeconds is the expected run time on the fastest idle slot.
	IdleSeconds float64
	Upstreams   []UpstreamLoad
}

// UpstreamLoad is the state of one upstream in a pool.
type UpstreamLoad struct {
	Target
	Busy       int
	RunSeconds float64
	Ejected    bool
}

// Load returns the state of the pool.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	l := Load{Waiting: p.queue.Len(), Running: p.running}
	for _, s := range p.order {
		u := UpstreamLoad{Target: s.Target, Busy: s.busy, RunSeconds: s.seconds, Ejected: now.Before(s.ejectedUntil)}
		if s.loan == nil && s.free(now) {
			l.Idle += s.Slots - s.busy - s.lent
			if l.IdleSeconds == 0 || s.Estimate() < l.IdleSeconds {
				l.IdleSeconds = s.Estimate()
			}
		}
		l.Upstreams = append(l.Upstreams, u)
	}
	return l
}

// Hint is the load in the form that other entries are told.
func (p *Pool) Hint() *wire.ServiceLoad {
	l := p.Load()
	h := &wire.ServiceLoad{
		Service: p.name, Waiting: uint32(l.Waiting), IdleSlots: uint32(l.Idle), IdleSeconds: l.IdleSeconds,
	}
	if l.Waiting > 0 {
		h.IdleSlots = 0
	}
	return h
}
