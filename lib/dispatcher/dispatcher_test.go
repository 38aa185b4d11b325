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

// behavior says how a fake upstream responds: it answers a start with res and err
// after run, or never if silent is set.
type behavior struct {
	run    time.Duration
	err    error
	res    upstream.Result
	silent bool
	// status is the error of status queries.
	status error
	// running makes status queries report the task as running.
	running bool
}

// fakeClient is a Client that simulates upstreams, by address, and counts
// requests. Starts that fail with the verdict NotRun are not counted.
type fakeClient struct {
	mu           sync.Mutex
	behaviors    map[string]behavior
	starts       map[string]int
	statuses     int
	cancels      int
	startsByTask map[string]int
}

func newFakeClient() *fakeClient {
	return &fakeClient{behaviors: map[string]behavior{}, starts: map[string]int{}, startsByTask: map[string]int{}}
}

func (c *fakeClient) Start(ctx context.Context, address string, t upstream.Task) (upstream.Result, error) {
	c.mu.Lock()
	s := c.behaviors[address]
	if classifier.Of(s.err) != classifier.NotRun || s.err == nil {
		c.starts[address]++
		c.startsByTask[t.ID]++
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
	s := c.behaviors[address]
	return upstream.Result{Output: []byte("found")}, s.running, s.status
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

// harness is a dispatcher with one service, s, and upstreams with one-letter
// names.
type harness struct {
	*Dispatcher
	client   *fakeClient
	recorder *fakeRecorder
	mu       sync.Mutex
	outcomes []Outcome
}

func newHarness(repeatable bool, upstreams string, slots int) *harness {
	c, r := newFakeClient(), &fakeRecorder{kinds: map[string]int{}}
	s := &harness{Dispatcher: &Dispatcher{Incarnation: "me", Client: c, Recorder: r, Log: zerolog.Nop()}, client: c, recorder: r}
	s.Configure(&wire.ServiceConfiguration{Service: "s", Repeatable: repeatable, TypicalRunMs: 10, RetryPermille: 100})
	s.assign(upstreams, slots)
	return s
}

func (s *harness) assign(upstreams string, slots int) {
	var targets []Target
	for _, u := range upstreams {
		targets = append(targets, Target{Name: string(u), Address: string(u), Slots: slots})
	}
	s.Assign("s", targets)
}

// submit submits n tasks with a deadline in one minute and records their
// outcomes.
func (s *harness) submit(n int) ([]*Task, error) {
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

// setBehavior sets the behavior of an upstream for later requests.
func (s *harness) setBehavior(upstream string, b behavior) {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.client.behaviors[upstream] = b
}

// startsOn returns the number of tasks started on an upstream.
func (s *harness) startsOn(upstream string) int {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	return s.client.starts[upstream]
}

// results returns the outcomes recorded so far.
func (s *harness) results() []Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Outcome(nil), s.outcomes...)
}

// messages returns the number of recorded messages of a kind.
func (s *harness) messages(kind string) int {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return s.recorder.kinds[kind]
}

var (
	dialFailed    = classifier.New(classifier.NotRun, "dial failed")
	answerLost    = classifier.Wrap(classifier.MayHaveRun, errors.New("reset"), "no answer")
	taskFailed    = classifier.New(classifier.Ran, "task failed")
	statusUnknown = classifier.New(classifier.MayHaveRun, "task not known")
)

// TestVerdicts checks the outcome of a task and its number of starts for each way
// in which its first attempt can end. The first attempt runs on upstream a, which
// behaves as the case says; upstream b succeeds and is added for further attempts.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		first      behavior
		ok         bool
		verdict    classifier.Verdict
		starts     int
	}{
		{"not sent, not repeatable", false, behavior{err: dialFailed}, true, classifier.Ran, 1},
		{"not sent, repeatable", true, behavior{err: dialFailed}, true, classifier.Ran, 1},
		{"refused, no free slot", false, behavior{err: dialFailed, res: upstream.Result{Busy: true}}, true, classifier.Ran, 1},
		{"answer lost, task succeeded", false, behavior{err: answerLost}, true, classifier.Ran, 1},
		{"answer lost, task failed", false, behavior{err: answerLost, status: taskFailed}, false, classifier.Ran, 1},
		{"answer lost, outcome unknown", false, behavior{err: answerLost, status: statusUnknown}, false, classifier.MayHaveRun, 1},
		{"answer lost, task did not run", false, behavior{err: answerLost, status: dialFailed}, true, classifier.Ran, 2},
		{"answer lost, repeatable", true, behavior{err: answerLost, status: statusUnknown}, true, classifier.Ran, 2},
		{"silent connection, task succeeded", false, behavior{silent: true}, true, classifier.Ran, 1},
		{"silent connection, outcome unknown", false, behavior{silent: true, status: statusUnknown}, false, classifier.MayHaveRun, 1},
		{"silent connection, repeatable", true, behavior{silent: true, status: statusUnknown}, true, classifier.Ran, 2},
		{"task failed, not repeatable", false, behavior{err: taskFailed}, false, classifier.Ran, 1},
		{"task failed, repeatable", true, behavior{err: taskFailed}, true, classifier.Ran, 2},
		{"still running at the deadline", false, behavior{silent: true, running: true}, false, classifier.MayHaveRun, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(c.repeatable, "a", 1)
				// b is there before the first attempt ends.
				c.first.run = time.Millisecond
				s.setBehavior("a", c.first)
				if _, err := s.submit(1); err != nil {
					t.Fatal(err)
				}
				s.assign("ab", 1)
				time.Sleep(61 * time.Second)
				synctest.Wait()
				if len(s.results()) != 1 {
					t.Fatalf("%d outcomes", len(s.results()))
				}
				if o := s.results()[0]; o.OK != c.ok || o.Verdict != c.verdict {
					t.Errorf("ok %v, verdict %v (%s), want %v, %v", o.OK, o.Verdict, o.Reason, c.ok, c.verdict)
				}
				if n := s.client.startsByTask["task-0"]; n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
				if l := s.Pool("s").Load(); l.Running != 0 || l.Waiting != 0 {
					t.Errorf("pool is not idle: %+v", l)
				}
			})
		})
	}
}

// TestCancelQueuedAndRunning checks that canceling tasks settles queued ones as
// not run, without a message, and stops running ones at their upstream.
func TestCancelQueuedAndRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(false, "a", 2)
		s.setBehavior("a", behavior{run: time.Second, running: true})
		tasks, err := s.submit(50)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.Cancel("s", tasks, true)
		synctest.Wait()
		got := map[classifier.Verdict]int{}
		for _, o := range s.results() {
			got[o.Verdict]++
		}
		if got[classifier.NotRun] != 48 || got[classifier.MayHaveRun] != 2 {
			t.Errorf("verdicts %v", got)
		}
		time.Sleep(2 * time.Second)
		if s.startsOn("a") != 2 || s.client.cancels != 2 || len(s.results()) != 50 {
			t.Errorf("%d starts, %d cancels, %d outcomes", s.startsOn("a"), s.client.cancels, len(s.results()))
		}
	})
}

// TestWithdrawnWhileStarting checks that a task canceled while it is being started
// is either started or settled as not run, never both.
func TestWithdrawnWhileStarting(t *testing.T) {
	for range 200 {
		s := newHarness(false, "a", 8)
		tasks, _ := s.submit(8)
		s.Cancel("s", tasks, false)
		for range 100 {
			if len(s.results()) == 8 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		withdrawn := 0
		for _, o := range s.results() {
			if o.Verdict == classifier.NotRun {
				withdrawn++
			}
		}
		if s.startsOn("a")+withdrawn != 8 {
			t.Errorf("%d started, %d withdrawn", s.startsOn("a"), withdrawn)
		}
	}
}

// TestLeaving checks that no task is started on an upstream after it announced or
// the VM list says that it is leaving.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(false, "a", 1)
		s.setBehavior("a", behavior{run: 10 * time.Millisecond, res: upstream.Result{Leaving: true}})
		_, _ = s.submit(5)
		time.Sleep(time.Second)
		s.assign("ab", 1)
		time.Sleep(time.Second)
		if s.startsOn("a") != 1 || s.startsOn("b") != 4 {
			t.Errorf("%d starts on a, %d on b", s.startsOn("a"), s.startsOn("b"))
		}
		// The VM list can revoke that an upstream is leaving; an announcement by the
		// upstream itself is final.
		assignB := func(leaving bool) {
			s.Assign("s", []Target{
				{Name: "a", Address: "a", Slots: 1},
				{Name: "b", Address: "b", Slots: 1, Leaving: leaving},
			})
			_, _ = s.submit(1)
			time.Sleep(time.Second)
		}
		if assignB(true); s.startsOn("b") != 4 {
			t.Error("task started on an upstream listed as leaving")
		}
		if assignB(false); s.startsOn("a") != 1 || s.startsOn("b") != 5 {
			t.Errorf("upstream b no longer listed as leaving: %d starts on a, %d on b", s.startsOn("a"), s.startsOn("b"))
		}
	})
}

// TestEjection checks that an upstream that fails every task at once, and so is
// always free, is ejected instead of attracting most tasks, and that failures on
// all upstreams eject at most half of them.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(false, "abcd", 1)
		good := behavior{run: 100 * time.Millisecond}
		for _, u := range "bcd" {
			s.setBehavior(string(u), good)
		}
		s.setBehavior("a", behavior{err: taskFailed})
		for range 10 {
			_, _ = s.submit(10)
			time.Sleep(time.Second)
		}
		if n := s.startsOn("a"); n > 12 {
			t.Errorf("%d of 100 tasks went to the failing upstream", n)
		}
		for _, u := range "abcd" {
			s.setBehavior(string(u), behavior{err: taskFailed})
		}
		for range 10 {
			_, _ = s.submit(10)
			time.Sleep(time.Second)
		}
		ejected := 0
		for _, u := range s.Pool("s").Load().Upstreams {
			if u.Ejected {
				ejected++
			}
		}
		if ejected > 2 {
			t.Errorf("%d of 4 upstreams ejected, want at most 2", ejected)
		}
	})
}

// TestRetryBudget checks that the budget bounds the retries while every attempt
// fails.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(true, "abcd", 8)
		for _, u := range "abcd" {
			s.setBehavior(string(u), behavior{run: time.Millisecond, err: answerLost, status: statusUnknown})
		}
		for range 100 {
			_, _ = s.submit(10)
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		if n := s.messages(MessageRetry); n > retryBurst {
			t.Errorf("%d retries without a success", n)
		}
		if len(s.results()) != 1000 {
			t.Errorf("%d outcomes", len(s.results()))
		}
	})
}

// TestHedge checks that a straggling task is hedged only if the service is
// repeatable.
func TestHedge(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newHarness(repeatable, "ab", 1)
			s.Configure(&wire.ServiceConfiguration{Service: "s", Repeatable: repeatable, TypicalRunMs: 10, HedgePermille: 100})
			s.setBehavior("a", behavior{run: 10 * time.Millisecond})
			s.setBehavior("b", behavior{run: 10 * time.Millisecond})
			for range 200 {
				_, _ = s.submit(1)
				time.Sleep(20 * time.Millisecond)
			}
			s.setBehavior("a", behavior{run: 5 * time.Second, running: true})
			s.setBehavior("b", behavior{run: 5 * time.Second, running: true})
			_, _ = s.submit(1)
			synctest.Wait()
			s.setBehavior("a", behavior{run: 10 * time.Millisecond})
			s.setBehavior("b", behavior{run: 10 * time.Millisecond})
			time.Sleep(100 * time.Millisecond)
			if hedged := s.messages(MessageHedge) == 1 && len(s.results()) == 201; hedged != repeatable {
				t.Errorf("repeatable %v: %d hedges, %d outcomes", repeatable, s.messages(MessageHedge), len(s.results()))
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// TestAdmission checks that tasks which cannot finish before their deadline are
// refused at once with a retry delay.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(false, "", 1)
		_, err := s.submit(1)
		if e, ok := classifier.As(err); !ok || e.Verdict != classifier.NotRun || e.RetryAfter == 0 {
			t.Error("without an upstream:", err)
		}
		s.assign("a", 1)
		s.setBehavior("a", behavior{run: 10 * time.Second, running: true})
		if _, err := s.submit(100); err != nil {
			t.Fatal(err)
		}
		time.Sleep(29 * time.Second)
		_, err = s.submit(1)
		if e, ok := classifier.As(err); !ok || e.Verdict != classifier.NotRun || e.RetryAfter == 0 {
			t.Error("with a long queue:", err)
		}
		if n := len(s.results()); n != 2 {
			t.Errorf("%d outcomes", n)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestLoans checks that lender and borrower never use a lent slot at the same
// time, and that lent slots are returned.
func TestLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender, borrower := newHarness(false, "a", 4), newHarness(false, "", 0)
		borrower.setBehavior("a", behavior{run: 300 * time.Millisecond})
		lender.setBehavior("a", behavior{run: 300 * time.Millisecond})
		borrower.OnBacklog = func(_ string, need int, below float64) {
			if loans := lender.Pool("s").Lend(need, below); len(loans) > 0 {
				go borrower.Pool("s").AddBorrowed("lender", loans)
			}
		}
		borrower.BorrowableSlots = func(string, float64) int { return 1 }
		borrower.ReturnSlots = func(_, _ string, loans []*wire.SlotLoan) { lender.Pool("s").Reclaim(loans) }
		if _, err := borrower.submit(3); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		_, _ = lender.submit(4)
		synctest.Wait()
		if b, l := borrower.startsOn("a"), lender.startsOn("a"); b != 3 || l != 1 {
			t.Errorf("borrower started %d tasks, lender %d, want 3 and 1", b, l)
		}
		time.Sleep(time.Second)
		if len(borrower.results()) != 3 || len(lender.results()) != 4 {
			t.Errorf("borrower has %d outcomes, lender %d, want 3 and 4", len(borrower.results()), len(lender.results()))
		}
		if l := lender.Pool("s").Load(); l.Idle != 4 {
			t.Errorf("%d slots idle after their return, want 4", l.Idle)
		}
		time.Sleep(time.Minute)
		if l := lender.Pool("s").Load(); l.Idle != 4 {
			t.Errorf("%d slots idle after the loans expired, want 4", l.Idle)
		}
	})
}

// A task that the only upstream refused for want of a slot starts soon after, without
// another event.
func TestStartAfterBusyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(false, "a", 2)
		busy := classifier.Wrap(classifier.NotRun, errors.New("no slot"), "refused")
		s.setBehavior("a", behavior{run: time.Millisecond, err: busy, res: upstream.Result{Busy: true}})
		if _, err := s.submit(1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
		s.setBehavior("a", behavior{run: time.Millisecond})
		time.Sleep(500 * time.Millisecond)
		if got := s.results(); len(got) != 1 || !got[0].OK {
			t.Errorf("after 500 ms the outcomes are %v, want one success", got)
		}
	})
}
