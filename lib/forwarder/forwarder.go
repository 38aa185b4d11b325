// Package forwarder routes each request of a caller to the home of its job.
//
// The identifier of a job determines its home. An entry that is not the home
// forwards the request to it. If the home cannot be reached, a job of a
// repeatable service runs here; any other is refused at once, with a verdict
// that holds for the identifier: not_run only if this was the first attempt and
// nothing was written to the home.
//
// # Usage
//
//	f := &forwarder.Forwarder{Placer: p, Members: r, Tracker: t, Caller: c}
//	answer, err := f.Submit(ctx, forwarder.Request{...})
package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/entry"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/tracker"
	"radishweir.org/lib/wire"
)

const (
	// searchTimeout bounds the search for a home while the shard table changes.
	searchTimeout = 2 * time.Second
	// lookupInterval is the time between two lookups in the shard table.
	lookupInterval = 25 * time.Millisecond
	// unreachableRetryAfter is the wait that callers are advised while no home
	// can be reached.
	unreachableRetryAfter = 2 * time.Second
)

// ErrUnknownJob reports a job of which its home has no record.
var ErrUnknownJob = errors.New("the job is not known")

// Placer finds the home of a shard and issues job identifiers.
type Placer interface {
	Owner(s placer.Shard) (*wire.ShardOwner, bool)
	IsSelf(o *wire.ShardOwner) bool
	Issue(number uint64) (string, bool)
}

// Members finds an entry by name and takes reports of its load.
type Members interface {
	Member(name string) (registrar.Member, bool)
	Hint(name string, load *wire.ServiceLoad)
}

// Caller sends requests to other entries.
type Caller interface {
	Call(ctx context.Context, p entry.Peer, q *wire.Envelope) (*wire.Reply, error)
}

// Recorder counts messages between entries.
type Recorder interface {
	// Forward counts one message to a home with its result.
	Forward(service, tenant, result string)
}

// Request is one submission by an authenticated tenant.
type Request struct {
	// Tenant is the owner of the job.
	Tenant *wire.Tenant
	// Service is the configuration in force.
	Service *wire.ServiceConfiguration
	// Job is the submission; its identifier may be empty.
	Job *wire.JobRequest
	// Wait is true if the caller waits for the end of the job.
	Wait bool
}

// Forwarder routes requests. Exported fields are set before the first call.
type Forwarder struct {
	// Placer finds the homes.
	Placer Placer
	// Members finds the addresses of the homes.
	Members Members
	// Tracker holds the jobs whose home is this entry.
	Tracker *tracker.Tracker
	// Caller sends requests to the other entries.
	Caller Caller
	// Recorder counts messages.
	Recorder Recorder

	issueCount atomic.Uint64
}

// Issue returns n fresh identifiers.
func (f *Forwarder) Issue(n int) ([]string, error) {
	ids := make([]string, 0, n)
	for range n {
		id, ok := f.Placer.Issue(f.issueCount.Add(1))
		if !ok {
			return nil, classifier.RetryLater("no shard table is known yet", unreachableRetryAfter)
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// setDefaults sets the service and, if the caller left them out, the deadline and
// the identifier.
func (f *Forwarder) setDefaults(r *Request) error {
	j := r.Job
	j.Service = r.Service.GetService()
	if j.GetDeadline() == nil {
		d := time.Duration(r.Service.GetDefaultDeadlineMs()) * time.Millisecond
		j.Deadline = timestamppb.New(time.Now().Add(d))
	}
	if j.GetJobId() != "" {
		return nil
	}
	ids, err := f.Issue(1)
	if err != nil {
		return err
	}
	j.JobId, j.Attempt = ids[0], 1
	return nil
}

// Submit sends a job to its home and returns its answer, or its progress if the
// caller does not wait. An error means that the home gave no answer.
func (f *Forwarder) Submit(ctx context.Context, r Request) (*wire.JobAnswer, error) {
	if err := f.setDefaults(&r); err != nil {
		return nil, err
	}
	s, ok := placer.ShardOf(r.Tenant.GetName(), r.Job.GetJobId(), r.Service.GetFailureDomains())
	if !ok {
		return nil, classifier.RetryLater("the service has no failure domain", unreachableRetryAfter)
	}
	t := &route{Forwarder: f, request: r, shard: s, deadline: time.Now().Add(searchTimeout)}
	answer, err := t.run(ctx)
	if err != nil && r.Service.GetRepeatable() && t.unreachable(err) {
		return f.submitLocally(ctx, tracker.LocalShard, r, 0)
	}
	if err != nil && t.unreachable(err) {
		return f.refuseWithFreshID(r, err), nil
	}
	return answer, err
}

// refuseWithFreshID refuses a job whose home cannot be reached. A caller whose
// job did not run gets an identifier under which it can be submitted here at
// once.
func (f *Forwarder) refuseWithFreshID(r Request, err error) *wire.JobAnswer {
	a := tracker.FailedAnswer(r.Job.GetJobId(), err)
	if a.GetVerdict() != classifier.NotRun {
		return a
	}
	if ids, err := f.Issue(1); err == nil {
		a.FreshJobId = ids[0]
	}
	return a
}

// submitLocally submits the job to the own tracker.
func (f *Forwarder) submitLocally(ctx context.Context, s placer.Shard, r Request, delivered uint64) (*wire.JobAnswer, error) {
	j, err := f.Tracker.Submit(ctx, s, tracker.Submission{
		Tenant: r.Tenant.GetName(), Weight: r.Tenant.GetWeight(), Service: r.Service,
		Request: r.Job, DeliveredEpoch: delivered,
	})
	if err != nil {
		return nil, err
	}
	if !r.Wait {
		return j.Answer(), nil
	}
	return j.Wait(ctx), nil
}

// Find returns the answer or progress of a job. If cancel is set, it cancels the
// job first.
func (f *Forwarder) Find(ctx context.Context, l *wire.Locate, domains []string, cancel bool) (*wire.JobAnswer, error) {
	s, ok := placer.ShardOf(l.GetTenant(), l.GetJobId(), domains)
	if !ok {
		return nil, ErrUnknownJob
	}
	if a, err := f.FindInShard(ctx, s, l, cancel); err == nil {
		return a, nil
	}
	if a, err := f.FindInShard(ctx, tracker.LocalShard, l, cancel); err == nil {
		return a, nil
	}
	owner, ok := f.Placer.Owner(s)
	if ok && f.Placer.IsSelf(owner) {
		return nil, ErrUnknownJob
	}
	m, known := f.Members.Member(owner.GetName())
	if !ok || !known {
		return nil, classifier.Wrap(classifier.MayHaveRun, errNoHome, "the job's home cannot be reached")
	}
	return f.callEntry(ctx, m, l, cancel)
}

// callEntry sends a pull, which asks for a job's answer or progress, or a
// cancellation to another entry.
func (f *Forwarder) callEntry(ctx context.Context, m registrar.Member, l *wire.Locate, cancel bool) (*wire.JobAnswer, error) {
	q := &wire.Envelope{Body: &wire.Envelope_Pull{Pull: l}}
	if cancel {
		q = &wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: l}}
	}
	reply, err := f.Caller.Call(ctx, m.Peer(), q)
	if err != nil {
		return nil, classifier.Wrap(classifier.MayHaveRun, err, "the job's home cannot be reached")
	}
	if !reply.GetFound() {
		return nil, ErrUnknownJob
	}
	return reply.GetAnswer(), nil
}

// FindInShard returns the answer or progress of a job in one of the own shards. If
// cancel is set, it cancels the job first.
func (f *Forwarder) FindInShard(ctx context.Context, s placer.Shard, l *wire.Locate, cancel bool) (*wire.JobAnswer, error) {
	j, err := f.Tracker.Find(s, l.GetTenant(), l.GetJobId())
	if err != nil {
		return nil, err
	}
	if j == nil || j.Service() != l.GetService() {
		return nil, ErrUnknownJob
	}
	if runner := j.Runner(); cancel && runner != "" {
		return f.cancelAtRunner(ctx, runner, l)
	}
	if cancel {
		j.Cancel("the caller withdrew it")
	}
	if l.GetWait() || cancel {
		return j.Wait(ctx), nil
	}
	return j.Answer(), nil
}

// cancelAtRunner passes a cancellation to the entry that still runs the job.
func (f *Forwarder) cancelAtRunner(ctx context.Context, runner string, l *wire.Locate) (*wire.JobAnswer, error) {
	m, ok := f.Members.Member(runner)
	if !ok {
		return nil, ErrUnknownJob
	}
	return f.callEntry(ctx, m, l, true)
}

// errNoHome reports that the shard table names no home, or one that is not a
// known member.
var errNoHome = errors.New("no entry is its home")
