package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/entry"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/tracker"
	"radishweir.org/lib/wire"
)

// reply is one step of a scripted home: the epoch that the shard table shows at
// that step and the result of a message to the home.
type reply struct {
	epoch  uint64
	noHome bool
	err    error
	found  bool
}

var (
	dialFailed = classifier.New(classifier.NotRun, "dial failed")
	silent     = classifier.New(classifier.MayHaveRun, "fell silent")
)

// fake implements Placer, Members, Caller, Recorder and tracker.Runner.
type fake struct {
	steps  []reply
	sent   []*wire.Forward
	starts int
}

func (f *fake) current() reply { return f.steps[min(len(f.sent), len(f.steps)-1)] }

func (f *fake) Owner(placer.Shard) (*wire.ShardOwner, bool) {
	r := f.current()
	return &wire.ShardOwner{Name: "home", Incarnation: "i", Epoch: r.epoch}, !r.noHome
}
func (*fake) IsSelf(*wire.ShardOwner) bool { return false }
func (*fake) Issue(uint64) (string, bool)  { return "fresh", true }

func (*fake) Member(string) (registrar.Member, bool) {
	return registrar.Member{Registration: &wire.Registration{Name: "home", Incarnation: "i"}}, true
}

func (*fake) Hint(string, *wire.ServiceLoad) {}

func (f *fake) Call(_ context.Context, _ entry.Peer, q *wire.Envelope) (*wire.Reply, error) {
	r := f.current()
	f.sent = append(f.sent, q.GetForward())
	if r.err != nil {
		return nil, r.err
	}
	return &wire.Reply{Found: r.found, Answer: &wire.JobAnswer{State: wire.JobState_complete, Verdict: classifier.Ran}}, nil
}

func (f *fake) Submit(_ string, tasks []*dispatcher.Task) error {
	f.starts++
	for _, t := range tasks {
		t.Settle(dispatcher.Outcome{Verdict: classifier.Ran, OK: true})
	}
	return nil
}
func (*fake) Cancel(string, []*dispatcher.Task, bool) {}
func (*fake) Forward(string, string, string)          {}

// TestUnreachableHome checks the answer that a caller gets if the home cannot be
// reached, for a failure at each step of the forwarding.
func TestUnreachableHome(t *testing.T) {
	for _, c := range []struct {
		name       string
		steps      []reply
		attempt    uint32
		repeatable bool
		verdict    classifier.Verdict
		fresh      bool
		sent       int
		delivered  uint64
	}{
		{"answers", []reply{{epoch: 1, found: true}}, 1, false, classifier.Ran, false, 1, 0},
		{"dial failed, first attempt", []reply{{epoch: 1, err: dialFailed}}, 1, false, classifier.NotRun, true, 1, 0},
		{"dial failed, second attempt", []reply{{epoch: 1, err: dialFailed}}, 2, false, classifier.MayHaveRun, false, 1, 0},
		{"nobody is home, first attempt", []reply{{noHome: true}}, 1, false, classifier.NotRun, true, 0, 0},
		{"nobody is home, second attempt", []reply{{noHome: true}}, 2, false, classifier.MayHaveRun, false, 0, 0},
		{"silent, then answers", []reply{{epoch: 1, err: silent}, {epoch: 1, found: true}}, 1, false, classifier.Ran, false, 2, 1},
		{"silent twice", []reply{{epoch: 1, err: silent}}, 1, false, classifier.MayHaveRun, false, 2, 1},
		{"silent, then dial fails", []reply{{epoch: 1, err: silent}, {epoch: 1, err: dialFailed}}, 1, false, classifier.MayHaveRun, false, 2, 1},
		{"silent, then another epoch", []reply{{epoch: 1, err: silent}, {epoch: 2, found: true}}, 1, false, classifier.Ran, false, 2, 1},
		{"not home, then home", []reply{{epoch: 1}, {epoch: 1}, {epoch: 1, found: true}}, 1, false, classifier.Ran, false, 3, 0},
		{"repeatable, dial failed", []reply{{epoch: 1, err: dialFailed}}, 2, true, classifier.Ran, false, 1, 0},
		{"repeatable, silent twice", []reply{{epoch: 1, err: silent}}, 1, true, classifier.Ran, false, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{steps: c.steps}
				fw := &Forwarder{
					Placer: f, Members: f, Caller: f, Recorder: f,
					Tracker: &tracker.Tracker{Runner: f, Log: zerolog.Nop()},
				}
				began := time.Now()
				a, err := fw.Submit(t.Context(), Request{
					Tenant:  &wire.Tenant{Name: "t"},
					Service: &wire.ServiceConfiguration{Service: "s", Repeatable: c.repeatable, DefaultDeadlineMs: 60_000, FailureDomains: []string{"north"}},
					Job:     &wire.JobRequest{JobId: "x", Attempt: c.attempt, Tasks: []*wire.Task{{}}}, Wait: true,
				})
				if err != nil {
					t.Fatal(err)
				}
				if a.GetVerdict() != c.verdict || (a.GetFreshJobId() != "") != c.fresh || len(f.sent) != c.sent {
					t.Errorf("%v, fresh %q, %d sent; want %v, %v, %d", a, a.GetFreshJobId(), len(f.sent), c.verdict, c.fresh, c.sent)
				}
				if n := len(f.sent); n > 0 && f.sent[n-1].GetDeliveredEpoch() != c.delivered {
					t.Errorf("delivered epoch %d, want %d", f.sent[n-1].GetDeliveredEpoch(), c.delivered)
				}
				if failed := a.GetState() == wire.JobState_failed; failed && a.GetRetryAfterMs() == 0 {
					t.Error("the refusal carries no time to retry after")
				}
				if d := time.Since(began); d > searchTimeout+time.Second {
					t.Errorf("the final answer took %v", d)
				}
			})
		})
	}
}
