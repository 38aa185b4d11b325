package simulator

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/runner"
)

// Event is a request that an upstream executed, or the end of a run.
type Event struct {
	Time time.Time
	// What is start, stop, end, acknowledged, or claim for the first poll under a
	// fencing token.
	What     string
	Upstream string
	// Sender is the entry that sent the request, if it is known.
	Sender string
	Token  int64
	// Task and Run identify the run; they are empty in a claim.
	Task string
	Run  uint64
	// Result is the cause of an end, or the reason of a refusal, or "present" for a
	// start whose run was already there, or "absent" for a stop whose run was not.
	Result string
}

// senderKey is the context key of the sender of a request.
type senderKey struct{}

// WithSender returns a context that names the sender of a request in its events.
func WithSender(ctx context.Context, sender string) context.Context {
	return context.WithValue(ctx, senderKey{}, sender)
}

// senderOf returns the sender of a request, empty if it is unknown.
func senderOf(ctx context.Context) string {
	sender, _ := ctx.Value(senderKey{}).(string)
	return sender
}

// refusals describes the reasons of refusals in events.
var refusals = map[runner.Reason]string{
	runner.Fenced: "fenced", runner.Superseded: "superseded", runner.Expired: "expired", runner.NoRoom: "no room",
}

// observe reports an event; the caller holds the lock.
func (f *Fleet) observe(u *Upstream, e Event, err error) {
	if f.Observe == nil {
		return
	}
	e.Time, e.Upstream = time.Now(), u.Name
	if refusal := (*runner.Refusal)(nil); errors.As(err, &refusal) {
		e.Result = refusals[refusal.Reason]
	}
	f.Observe(e)
}

// observePoll reports the ends that a poll acknowledges, and whether the poll is the
// first under its fencing token; the caller holds the lock.
func (f *Fleet) observePoll(u *Upstream, p runner.Poll, sender string) {
	if f.Observe == nil || p.Token < u.token {
		return
	}
	if p.Token > u.token {
		f.observe(u, Event{What: "claim", Sender: sender, Token: p.Token}, nil)
	}
	for _, e := range u.ended {
		if e.Number <= p.Acknowledged {
			f.observe(u, Event{What: "acknowledged", Sender: sender, Token: p.Token, Task: e.Task, Run: e.Run, Result: e.Cause.String()}, nil)
		}
	}
}
