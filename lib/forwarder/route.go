package forwarder

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/tracker"
	"radishweir.org/lib/wire"
)

// Results of a message to a home, as the metric names them.
const (
	resultAnswered = "answered"
	resultNotHome  = "not_home"
	resultFailed   = "failed"
)

// route forwards one submission to its home.
type route struct {
	*Forwarder
	request Request
	shard   placer.Shard
	// until is when the search for a home ends.
	until time.Time
	// reached is the shard's epoch in which the submission may have reached a
	// home; 0 if it reached none.
	reached uint64
	// resent is true once a submission that may have reached a home was sent again.
	resent bool
}

// run sends the submission to the home that the table names, until a home
// answers, a message fails or the search ends.
func (t *route) run(ctx context.Context) (*wire.JobAnswer, error) {
	for {
		answer, err := t.step(ctx)
		if !again(err) {
			return answer, err
		}
		if !time.Now().Before(t.until) || !pause(ctx) {
			return nil, t.refusal(err)
		}
	}
}

// again reports whether another lookup in the shard table may find the home.
func again(err error) bool {
	return errors.Is(err, tracker.ErrNotHome) || errors.Is(err, errAbsent)
}

// pause waits for searchInterval; it returns false if ctx ended.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(searchInterval):
		return true
	}
}

// step sends the submission to the home that the table names now.
func (t *route) step(ctx context.Context) (*wire.JobAnswer, error) {
	owner, ok := t.Placer.Owner(t.shard)
	if !ok {
		return nil, errAbsent
	}
	if t.Placer.IsSelf(owner) {
		return t.submitAt(ctx, t.shard, t.request, t.reached)
	}
	m, ok := t.Members.Member(owner.GetName())
	if !ok || m.GetIncarnation() != owner.GetIncarnation() {
		return nil, errAbsent
	}
	q := &wire.Envelope{Body: &wire.Envelope_Forward{Forward: &wire.Forward{
		Tenant: t.request.Tenant.GetName(), Request: t.request.Job, HomeIncarnation: owner.GetIncarnation(),
		DeliveredEpoch: t.reached, Wait: t.request.Wait,
	}}}
	reply, err := t.Caller.Call(ctx, m.Peer(), q)
	t.Members.Hint(m.GetName(), reply.GetLoad())
	return t.read(ctx, owner.GetEpoch(), reply, err)
}

// read counts and interprets the result of one message to a home.
func (t *route) read(ctx context.Context, epoch uint64, reply *wire.Reply, err error) (*wire.JobAnswer, error) {
	switch {
	case err != nil:
		t.count(resultFailed)
		return t.failed(ctx, epoch, err)
	case !reply.GetFound():
		t.count(resultNotHome)
		return nil, tracker.ErrNotHome
	}
	t.count(resultAnswered)
	return reply.GetAnswer(), nil
}

func (t *route) count(result string) {
	t.Recorder.Forward(t.request.Service.GetService(), t.request.Tenant.GetName(), result)
}

// failed handles a message that got no reply. A submission that may have arrived
// is sent once more: if it did arrive, the home's records match it to the job.
func (t *route) failed(ctx context.Context, epoch uint64, err error) (*wire.JobAnswer, error) {
	if classifier.Of(err) == classifier.MayHaveRun {
		if t.reached == 0 {
			t.reached = epoch
		}
		if !t.resent && ctx.Err() == nil {
			t.resent = true
			return t.step(ctx)
		}
	}
	return nil, t.refusal(err)
}

// refusal returns the error for a submission that no home answered. It is not_run
// only for a first attempt that was never written to a home; any attempt counts
// if the job is repeatable.
func (t *route) refusal(err error) error {
	v := classifier.MayHaveRun
	if t.reached == 0 && (t.request.Job.GetAttempt() == 1 || t.request.Service.GetRepeatable()) {
		v = classifier.NotRun
	}
	return &classifier.Error{
		Verdict: v, Reason: "the job's home cannot be reached", RetryAfter: absentAdvice, Err: &lostError{err},
	}
}

// lostError marks an error as caused by a home that cannot be reached.
type lostError struct{ error }

// lost reports whether err was caused by a home that cannot be reached.
func (t *route) lost(err error) bool {
	var l *lostError
	return errors.As(err, &l)
}
