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
	// deadline is when the search for a home ends.
	deadline time.Time
	// reachedEpoch is the shard's epoch in which the submission may have reached a
	// home; 0 if it reached none.
	reachedEpoch uint64
	// resent is true once a submission that may have reached a home was sent again.
	resent bool
}

// run sends the submission to the home that the table names, until a home
// answers, a message fails or the search ends.
func (t *route) run(ctx context.Context) (*wire.JobAnswer, error) {
	for {
		answer, err := t.sendOnce(ctx)
		if !retryable(err) {
			return answer, err
		}
		if !time.Now().Before(t.deadline) || !waitInterval(ctx) {
			return nil, t.newRefusal(err)
		}
	}
}

// retryable reports whether another lookup in the shard table may find the home.
func retryable(err error) bool {
	return errors.Is(err, tracker.ErrNotHome) || errors.Is(err, errNoHome)
}

// waitInterval waits for lookupInterval; it returns false if ctx ended.
func waitInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(lookupInterval):
		return true
	}
}

// sendOnce sends the submission to the home that the table names now.
func (t *route) sendOnce(ctx context.Context) (*wire.JobAnswer, error) {
	owner, ok := t.Placer.Owner(t.shard)
	if !ok {
		return nil, errNoHome
	}
	if t.Placer.IsSelf(owner) {
		return t.submitLocally(ctx, t.shard, t.request, t.reachedEpoch)
	}
	m, ok := t.Members.Member(owner.GetName())
	if !ok || m.GetIncarnation() != owner.GetIncarnation() {
		return nil, errNoHome
	}
	q := &wire.Envelope{Body: &wire.Envelope_Forward{Forward: &wire.Forward{
		Tenant: t.request.Tenant.GetName(), Request: t.request.Job, HomeIncarnation: owner.GetIncarnation(),
		DeliveredEpoch: t.reachedEpoch, Wait: t.request.Wait,
	}}}
	reply, err := t.Caller.Call(ctx, m.Peer(), q)
	t.Members.Hint(m.GetName(), reply.GetLoad())
	return t.handleReply(ctx, owner.GetEpoch(), reply, err)
}

// handleReply counts and interprets the result of one message to a home.
func (t *route) handleReply(ctx context.Context, epoch uint64, reply *wire.Reply, err error) (*wire.JobAnswer, error) {
	switch {
	case err != nil:
		t.countResult(resultFailed)
		return t.handleFailure(ctx, epoch, err)
	case !reply.GetFound():
		t.countResult(resultNotHome)
		return nil, tracker.ErrNotHome
	}
	t.countResult(resultAnswered)
	return reply.GetAnswer(), nil
}

func (t *route) countResult(result string) {
	t.Recorder.Forward(t.request.Service.GetService(), t.request.Tenant.GetName(), result)
}

// handleFailure handles a message that got no reply. A submission that may have arrived
// is sent once more: if it did arrive, the home finds the job's record and does
// not start the job again.
func (t *route) handleFailure(ctx context.Context, epoch uint64, err error) (*wire.JobAnswer, error) {
	if classifier.Of(err) == classifier.MayHaveRun {
		if t.reachedEpoch == 0 {
			t.reachedEpoch = epoch
		}
		if !t.resent && ctx.Err() == nil {
			t.resent = true
			return t.sendOnce(ctx)
		}
	}
	return nil, t.newRefusal(err)
}

// newRefusal returns the error for a submission that no home answered. Its verdict
// is not_run only if the submission was never written to a home and is either the
// first attempt or for a repeatable service.
func (t *route) newRefusal(err error) error {
	v := classifier.MayHaveRun
	if t.reachedEpoch == 0 && (t.request.Job.GetAttempt() == 1 || t.request.Service.GetRepeatable()) {
		v = classifier.NotRun
	}
	return &classifier.Error{
		Verdict: v, Reason: "the job's home cannot be reached", RetryAfter: unreachableRetryAfter, Err: &unreachableError{err},
	}
}

// unreachableError wraps the last error of a submission that is refused because no
// home answered it.
type unreachableError struct{ error }

// unreachable reports whether err was caused by a home that cannot be reached.
func (t *route) unreachable(err error) bool {
	var l *unreachableError
	return errors.As(err, &l)
}
