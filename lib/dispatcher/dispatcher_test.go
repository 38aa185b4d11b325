package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/upstream"
	"radishweir.org/lib/wire"
)

// script is what a fake upstream does with a start: it answers err after run,
// or never if silent is set.
type script struct {
	run    time.Duration
	err    error
	res    upstream.Result
	silent bool
	// status answers questions about the task.
	status    error
	stillRuns bool
}

// fakeClient plays scripts by upstream address and counts.
type fakeClient struct {
	mu       sync.Mutex
	scripts  map[string]script
	starts   map[string]int
	statuses int
	cancels  int
	byTask   map[string]int
}

func newClient() *fakeClient {
	return &fakeClient{scripts: map[string]script{}, starts: map[string]int{}, byTask: map[string]int{}}
}

func (c *fakeClient) Start(ctx context.Context, address string, t upstream.Task) (upstream.Result, error) {
	c.mu.Lock()
	s := c.scripts[address]
	if classifier.Of(s.err) != classifier.NotRun || s.err == nil {
		c.starts[address]++
		c.byTask[t.ID]++
	}
	c.mu.Unlock()
	done := time.After(s.run)
	if s.silent {
		done = nil
	}
	select {
	case <-done:
		return s.res, s.err
	case <-ctx.Done():
		return upstream.Result{}, classifier.Wrap(classifier.MayHaveRun, ctx.Err(), "no answer")
	}
}

func (c *fakeClient) Status(_ context.Context, address string, _ upstream.Task) (upstream.Result, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses++
	s := c.scripts[address]
	return upstream.Result{Output: []byte("found")}, s.stillRuns, s.status
}

func (c *fakeClient) Cancel(context.Context, string, string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels++
	return nil
}

type fakeRecorder struct {
	mu    sync.Mutex
	kinds map[string]int
}

func (r *fakeRecorder) Message(_, _, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind]++
}
func (*fakeRecorder) Wait(string, string, time.Duration) {}
func (*fakeRecorder) Took(string, string, time.Duration) {}

// setting is a dispatcher with a service and upstreams named by letters.
type setting struct {
	*Dispatcher
	client   *fakeClient
	recorder *fakeRecorder
	mu       sync.Mutex
	outcomes []Outcome
}

func newSetting(repeatable bool, upstreams string, slots int) *setting {
	c, r := newClient(), &fakeRecorder{kinds: map[string]int{}}
	s := &setting{Dispatcher: &Dispatcher{Incarnation: "me", Client: c, Recorder: r, Log: zerolog.Nop()}, client: c, recorder: r}
	s.Configure(&wire.ServiceConfiguration{Service: "s", Repeatable: repeatable, TypicalRunMs: 10, RetryPermille: 100})
	s.assign(upstreams, slots)
	return s
}

func (s *setting) assign(upstreams string, slots int) {
	var targets []Target
	for _, u := range upstreams {
		targets = append(targets, Target{Name: string(u), Address: string(u), Slots: slots})
	}
	s.Assign("s", targets)
}

// submit queues n tasks that end within a minute and records their outcomes.
func (s *setting) submit(n int) ([]*Task, error) {
	var tasks []*Task
	for i := range n {
		tasks = append(tasks, &Task{
			ID: fmt.Sprint("task-", i), Tenant: "t", Deadline: time.Now().Add(time.Minute),
			Settle: func(o Outcome) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.outcomes = append(s.outcomes, o)
			},
		})
	}
	return tasks, s.Submit("s", tasks)
}

// play sets what an upstream does from now on.
func (s *setting) play(upstream string, c script) {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.scripts[upstream] = c
}

// started returns the number of starts on an upstream.
func (s *setting) started(upstream string) int {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	return s.client.starts[upstream]
}

// ended returns the outcomes so far.
func (s *setting) ended() []Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Outcome(nil), s.outcomes...)
}

func (s *setting) count(kind string) int {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return s.recorder.kinds[kind]
}

var (
	dialFailed = classifier.New(classifier.NotRun, "dial failed")
	lost       = classifier.Wrap(classifier.MayHaveRun, errors.New("reset"), "no answer")
	ranBadly   = classifier.New(classifier.Ran, "failed there")
	unknown    = classifier.New(classifier.MayHaveRun, "not known")
)

// TestVerdicts is the table of what an attempt's end means for its task. The
// upstream a does what the case says; b is only reached by a second attempt.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		first      script
		ok         bool
		verdict    classifier.Verdict
		starts     int
	}{
		{"nothing written, must not repeat", false, script{err: dialFailed}, true, classifier.Ran, 1},
		{"nothing written, repeatable", true, script{err: dialFailed}, true, classifier.Ran, 1},
		{"refused for want of a slot", false, script{err: dialFailed, res: upstream.Result{Busy: true}}, true, classifier.Ran, 1},
		{"answer lost, task ended there", false, script{err: lost}, true, classifier.Ran, 1},
		{"answer lost, task failed there", false, script{err: lost, status: ranBadly}, false, classifier.Ran, 1},
		{"answer lost, outcome unknown", false, script{err: lost, status: unknown}, false, classifier.MayHaveRun, 1},
		{"answer lost, refused there", false, script{err: lost, status: dialFailed}, true, classifier.Ran, 2},
		{"answer lost, repeatable", true, script{err: lost, status: unknown}, true, classifier.Ran, 2},
		{"silent connection, task ended there", false, script{silent: true}, true, classifier.Ran, 1},
		{"silent connection, outcome unknown", false, script{silent: true, status: unknown}, false, classifier.MayHaveRun, 1},
		{"silent connection, repeatable", true, script{silent: true, status: unknown}, true, classifier.Ran, 2},
		{"failed there, must not repeat", false, script{err: ranBadly}, false, classifier.Ran, 1},
		{"failed there, repeatable", true, script{err: ranBadly}, true, classifier.Ran, 2},
		{"runs until the deadline", false, script{silent: true, stillRuns: true}, false, classifier.MayHaveRun, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetting(c.repeatable, "a", 1)
				s.play("a", c.first)
				if _, err := s.submit(1); err != nil {
					t.Fatal(err)
				}
				s.assign("ab", 1)
				time.Sleep(61 * time.Second)
				synctest.Wait()
				if len(s.ended()) != 1 {
					t.Fatalf("%d outcomes", len(s.ended()))
				}
				if o := s.ended()[0]; o.OK != c.ok || o.Verdict != c.verdict {
					t.Errorf("ok %v %v %s, want %v %v", o.OK, o.Verdict, o.Reason, c.ok, c.verdict)
				}
				if n := s.client.byTask["task-0"]; n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
				if l := s.Pool("s").Load(); l.Running != 0 || l.Waiting != 0 {
					t.Errorf("left behind: %+v", l)
				}
			})
		})
	}
}

// TestCancelWave withdraws queued tasks without a message and stops running ones.
func TestCancelWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetting(false, "a", 2)
		s.play("a", script{run: time.Second, stillRuns: true})
		tasks, err := s.submit(50)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.Cancel("s", tasks, true)
		synctest.Wait()
		got := map[classifier.Verdict]int{}
		for _, o := range s.ended() {
			got[o.Verdict]++
		}
		if got[classifier.NotRun] != 48 || got[classifier.MayHaveRun] != 2 {
			t.Errorf("verdicts %v", got)
		}
		time.Sleep(2 * time.Second)
		if s.started("a") != 2 || s.client.cancels != 2 || len(s.ended()) != 50 {
			t.Errorf("%d starts, %d cancels, %d outcomes", s.started("a"), s.client.cancels, len(s.ended()))
		}
	})
}

// TestWithdrawnWhileStarting shows that a task withdrawn as not run is not
// started afterwards, however the two race.
func TestWithdrawnWhileStarting(t *testing.T) {
	for range 200 {
		s := newSetting(false, "a", 8)
		tasks, _ := s.submit(8)
		s.Cancel("s", tasks, false)
		for range 100 {
			if len(s.ended()) == 8 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		withdrawn := 0
		for _, o := range s.ended() {
			if o.Verdict == classifier.NotRun {
				withdrawn++
			}
		}
		if s.started("a")+withdrawn != 8 {
			t.Errorf("%d started, %d withdrawn", s.started("a"), withdrawn)
		}
	}
}

// TestLeaving shows that no task follows the upstream's own word.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetting(false, "a", 1)
		s.play("a", script{run: 10 * time.Millisecond, res: upstream.Result{Leaving: true}})
		_, _ = s.submit(5)
		time.Sleep(time.Second)
		s.assign("ab", 1)
		time.Sleep(time.Second)
		if s.started("a") != 1 || s.started("b") != 4 {
			t.Errorf("starts %d and %d", s.started("a"), s.started("b"))
		}
		// The list's word can be taken back, the upstream's own cannot.
		listed := func(leaving bool) {
			s.Assign("s", []Target{
				{Name: "a", Address: "a", Slots: 1},
				{Name: "b", Address: "b", Slots: 1, Leaving: leaving},
			})
			_, _ = s.submit(1)
			time.Sleep(time.Second)
		}
		if listed(true); s.started("b") != 4 {
			t.Error("a start on an upstream that is listed as leaving")
		}
		if listed(false); s.started("a") != 1 || s.started("b") != 5 {
			t.Errorf("after the list took it back: starts %d and %d", s.started("a"), s.started("b"))
		}
	})
}

// TestFastFailer shows that an upstream that fails everything is left alone,
// and that failures everywhere eject at most half of the upstreams.
func TestFastFailer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetting(false, "abcd", 1)
		good := script{run: 100 * time.Millisecond}
		for _, u := range "bcd" {
			s.play(string(u), good)
		}
		s.play("a", script{err: ranBadly})
		for range 10 {
			_, _ = s.submit(10)
			time.Sleep(time.Second)
		}
		if n := s.started("a"); n > 12 {
			t.Errorf("%d of 100 tasks went to the failing upstream", n)
		}
		for _, u := range "abcd" {
			s.play(string(u), script{err: ranBadly})
		}
		for range 10 {
			_, _ = s.submit(10)
			time.Sleep(time.Second)
		}
		out := 0
		for _, u := range s.Pool("s").Load().Upstreams {
			if u.Ejected {
				out++
			}
		}
		if out > 2 {
			t.Errorf("%d of 4 upstreams are ejected", out)
		}
	})
}

// TestRetryBudget bounds the retries while every attempt fails.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetting(true, "abcd", 8)
		for _, u := range "abcd" {
			s.play(string(u), script{run: time.Millisecond, err: lost, status: unknown})
		}
		for range 100 {
			_, _ = s.submit(10)
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		if n := s.count(MessageRetry); n > retryBurst {
			t.Errorf("%d retries without a success", n)
		}
		if len(s.ended()) != 1000 {
			t.Errorf("%d outcomes", len(s.ended()))
		}
	})
}

// TestHedge shows that a straggler is hedged if it is repeatable and never
// otherwise.
func TestHedge(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newSetting(repeatable, "ab", 1)
			s.Configure(&wire.ServiceConfiguration{Service: "s", Repeatable: repeatable, TypicalRunMs: 10, HedgePermille: 100})
			s.play("a", script{run: 10 * time.Millisecond})
			s.play("b", script{run: 10 * time.Millisecond})
			for range 200 {
				_, _ = s.submit(1)
				time.Sleep(20 * time.Millisecond)
			}
			s.play("a", script{run: 5 * time.Second, stillRuns: true})
			s.play("b", script{run: 5 * time.Second, stillRuns: true})
			_, _ = s.submit(1)
			synctest.Wait()
			s.play("a", script{run: 10 * time.Millisecond})
			s.play("b", script{run: 10 * time.Millisecond})
			time.Sleep(100 * time.Millisecond)
			if hedged := s.count(MessageHedge) == 1 && len(s.ended()) == 201; hedged != repeatable {
				t.Errorf("repeatable %v: %d hedges, %d outcomes", repeatable, s.count(MessageHedge), len(s.ended()))
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// TestAdmission refuses at once what cannot end in time.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetting(false, "", 1)
		_, err := s.submit(1)
		if e, ok := classifier.As(err); !ok || e.Verdict != classifier.NotRun || e.RetryAfter == 0 {
			t.Error("no upstream:", err)
		}
		s.assign("a", 1)
		s.play("a", script{run: 10 * time.Second, stillRuns: true})
		if _, err := s.submit(100); err != nil {
			t.Fatal(err)
		}
		time.Sleep(29 * time.Second)
		_, err = s.submit(1)
		if e, ok := classifier.As(err); !ok || e.Verdict != classifier.NotRun || e.RetryAfter == 0 {
			t.Error("long queue:", err)
		}
		if n := len(s.ended()); n != 2 {
			t.Errorf("%d outcomes", n)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestLoans shows that a lent slot is used by one entry at a time.
func TestLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender, borrower := newSetting(false, "a", 4), newSetting(false, "", 0)
		borrower.play("a", script{run: 300 * time.Millisecond})
		lender.play("a", script{run: 300 * time.Millisecond})
		borrower.Backlogged = func(_ string, need int, below float64) {
			if loans := lender.Pool("s").Lend(need, below); len(loans) > 0 {
				go borrower.Pool("s").Adopt("lender", loans)
			}
		}
		borrower.Idle = func(string, float64) int { return 1 }
		borrower.GiveBack = func(_, _ string, loans []*wire.SlotLoan) { lender.Pool("s").Reclaim(loans) }
		if _, err := borrower.submit(3); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		_, _ = lender.submit(4)
		synctest.Wait()
		if b, l := borrower.started("a"), lender.started("a"); b != 3 || l != 1 {
			t.Errorf("borrower started %d, lender %d on 4 slots", b, l)
		}
		time.Sleep(time.Second)
		if len(borrower.ended()) != 3 || len(lender.ended()) != 4 {
			t.Errorf("outcomes %d and %d", len(borrower.ended()), len(lender.ended()))
		}
		if l := lender.Pool("s").Load(); l.Idle != 4 {
			t.Errorf("%d slots idle after the return, want 4", l.Idle)
		}
		time.Sleep(time.Minute)
		if l := lender.Pool("s").Load(); l.Idle != 4 {
			t.Errorf("%d slots idle long after, want 4", l.Idle)
		}
	})
}
