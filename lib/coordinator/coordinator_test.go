package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// need is the capacity that each task of these tests reserves; an upstream runs
// two at a time.
var need = packer.Amount{CPU: 6800, Memory: 64}

// testEntry is an entry that owns all simulated upstreams.
type testEntry struct {
	*coordinator.Coordinator
	runner *runner.Runner
	fleet  *simulator.Fleet
	// evacuated is the name of the evacuated failure domain, empty if there is none.
	evacuated atomic.Value

	mu      sync.Mutex
	answers []answer
}

// answer is the answer that one caller got. The times count from the submission.
type answer struct {
	kind  string
	id    string
	state coordinator.State
	after time.Duration
	due   time.Duration
}

// noPeers is a coordinator.Remote without peers.
type noPeers struct{}

func (noPeers) Send(string, func(*wire.PeerFrame)) bool { return false }

// newTestEntry starts an entry that owns n upstreams.
func newTestEntry(ctx context.Context, n int) *testEntry {
	s := &testEntry{fleet: simulator.New()}
	s.fleet.Amount = need
	for i := range n {
		s.fleet.Add(runner.Upstream{
			Name: fmt.Sprintf("u%02d", i), Service: "claims", Incarnation: 1,
			Capacity: packer.Amount{CPU: 16000, Memory: 65536},
		}, 1)
	}
	s.evacuated.Store("")
	isEvacuated := func(domain string) bool { return domain != "" && domain == s.evacuated.Load() }
	s.Coordinator = &coordinator.Coordinator{Self: "entry-1", Remote: noPeers{}, Evacuated: isEvacuated, Log: zerolog.Nop()}
	s.runner = &runner.Runner{Client: s.fleet, Evacuated: isEvacuated, Log: zerolog.Nop()}
	s.runner.Ended = func(_ string, e *wire.RunEnd) { s.RunEnded("entry-1", e) }
	s.runner.Changed = func(name string) { s.UpdateStates("entry-1", false, []*wire.UpstreamState{s.runner.State(name)}) }
	s.Local = s.runner
	s.Init(ctx)
	go s.Run(ctx)
	s.SetUpstreams(s.fleet.List())
	s.runner.SetOwned(ctx, 1, s.fleet.List())
	time.Sleep(50 * time.Millisecond)
	return s
}

// submit submits a job of one step and records its answer.
func (s *testEntry) submit(ctx context.Context, kind, id string, tasks int, expected, timeout time.Duration) {
	now := time.Now()
	due := time.Duration(1.6*float64(expected)) + 60*time.Millisecond
	j := coordinator.Job{
		ID: id, Kind: kind, Service: "claims", Steps: []coordinator.Step{{Tasks: tasks, Need: need, Expected: expected}},
		Arrived: now, Due: now.Add(due), Deadline: now.Add(timeout), MaxFailures: 3,
	}
	go func() {
		a := s.Submit(ctx, j)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers = append(s.answers, answer{kind, id, a.State, time.Since(now), due})
	}()
}

// answerOf returns the answer of a job.
func (s *testEntry) answerOf(t *testing.T, id string) answer {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.answers {
		if a.id == id {
			return a
		}
	}
	t.Fatalf("job %s got no answer", id)
	return answer{}
}

// withFakeTime runs a test in a synctest bubble, with fake time and a context
// that is cancelled at the end.
func withFakeTime(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, ctx)
		cancel()
		time.Sleep(2 * simulator.LateBy)
	})
}

func TestJobCompletes(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 4)
		s.submit(ctx, "check", "a", 8, 100*time.Millisecond, 3*time.Second)
		time.Sleep(time.Second)
		a := s.answerOf(t, "a")
		if a.state != coordinator.Complete || a.after > a.due {
			t.Errorf("got %v after %v, due after %v", a.state, a.after, a.due)
		}
	})
}

// A job that is submitted again while it is open runs once, and both callers get
// its answer.
func TestResubmissionOfOpenJob(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		s.submit(ctx, "check", "a", 2, 100*time.Millisecond, 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		s.submit(ctx, "check", "a", 2, 100*time.Millisecond, 3*time.Second)
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := len(s.answers); n != 2 {
			t.Errorf("%d answers, want 2", n)
		}
		if n := s.fleet.Starts("a.0.0.0"); n != 1 {
			t.Errorf("%d starts, want 1", n)
		}
	})
}

// A refused job has not run and will not run, and a job that cannot be answered in
// time is refused early.
func TestRefusedJobsDoNotRun(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		s.fleet.RunTime = func(string) time.Duration { return 900 * time.Millisecond }
		s.submit(ctx, "submission", "first", 4, 900*time.Millisecond, 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		for i := range 20 {
			s.submit(ctx, "submission", fmt.Sprintf("j%d", i), 4, 900*time.Millisecond, 3*time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		early := len(s.answers)
		s.mu.Unlock()
		if early < 15 {
			t.Errorf("%d of 20 jobs were refused within 100 ms, want at least 15", early)
		}
		time.Sleep(5 * time.Second)
		s.checkRefused(t)
	})
}

// checkRefused fails the test if a refused job ran.
func (s *testEntry) checkRefused(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.answers {
		if a.state == coordinator.Refused && s.fleet.Starts(a.id+".0.0.0") > 0 {
			t.Errorf("job %s was refused and ran", a.id)
		}
	}
}

// The tasks of a job are stopped when its caller leaves.
func TestCallerLeaves(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		s.fleet.RunTime = func(string) time.Duration { return 2 * time.Second }
		call, leave := context.WithCancel(ctx)
		s.submit(call, "submission", "a", 2, 2*time.Second, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		leave()
		time.Sleep(100 * time.Millisecond)
		if n := s.fleet.Running(); n != 0 {
			t.Errorf("%d tasks still run after the caller left", n)
		}
	})
}

// submitMix submits a mix of jobs with exponentially distributed gaps between them.
func submitMix(ctx context.Context, s *testEntry, rng *rand.Rand, length, gap time.Duration) {
	kinds := []struct {
		name  string
		tasks int
		run   time.Duration
		share float64
	}{{"check", 8, 60 * time.Millisecond, 0.25}, {"claim", 4, 900 * time.Millisecond, 0.05}, {"status", 2, 200 * time.Millisecond, 0.7}}
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		pick := rng.Float64()
		k := kinds[0]
		for _, k = range kinds {
			if pick -= k.share; pick < 0 {
				break
			}
		}
		s.submit(ctx, k.name, fmt.Sprintf("%s-%d", k.name, n), k.tasks, k.run, 3*time.Second)
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(gap)))
	}
}

// mixRunTime returns the actual run time of a task of the mix.
func mixRunTime(task string) time.Duration {
	switch task[:2] {
	case "ch":
		return 60 * time.Millisecond
	case "cl":
		return 900 * time.Millisecond
	}
	return 200 * time.Millisecond
}

// servedShares returns for each kind the share of callers that were served in time.
func (s *testEntry) servedShares() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	served, all := map[string]float64{}, map[string]float64{}
	for _, a := range s.answers {
		all[a.kind]++
		if a.state == coordinator.Complete && a.after <= a.due {
			served[a.kind]++
		}
	}
	for k := range all {
		served[k] /= all[k]
	}
	return served
}

// runMix runs the mix for ten seconds on 48 upstreams (about 96 tasks at a time) and
// returns the shares of callers that were served in time. The given fault is
// injected after two seconds.
func runMix(t *testing.T, gap time.Duration, injectFault func(*testEntry)) map[string]float64 {
	t.Helper()
	var out map[string]float64
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 48)
		s.fleet.RunTime = mixRunTime
		time.AfterFunc(2*time.Second, func() { injectFault(s) })
		submitMix(ctx, s, rand.New(rand.NewPCG(1, 1)), 10*time.Second, gap)
		time.Sleep(4 * time.Second)
		out = s.servedShares()
		for _, v := range s.fleet.Violations() {
			t.Error(v)
		}
		s.checkRefused(t)
	})
	return out
}

// ordinaryGap is the mean gap between jobs that loads the fleet to about two thirds
// of its capacity.
const ordinaryGap = 7 * time.Millisecond

func TestOrdinaryLoad(t *testing.T) {
	for kind, share := range runMix(t, ordinaryGap, func(*testEntry) {}) {
		if share < 0.95 {
			t.Errorf("%s: %.2f were served in time, want 0.95", kind, share)
		}
	}
}

// At twice the fleet's capacity every kind of job gets a share of it, and the kind
// that needs little capacity is mostly served.
func TestOverload(t *testing.T) {
	got := runMix(t, ordinaryGap/3, func(*testEntry) {})
	for kind, share := range got {
		if share < 0.1 {
			t.Errorf("%s: %.2f were served in time, want a tenth", kind, share)
		}
	}
	if got["check"] < 0.6 {
		t.Errorf("check: %.2f were served in time, want 0.6", got["check"])
	}
}

// If a third of the upstreams is unreachable, fails its tasks, hangs or is slow,
// the others still serve most callers.
func TestThirdOfUpstreamsFaulty(t *testing.T) {
	for name, change := range map[string]func(u *simulator.Upstream){
		"cut":     func(u *simulator.Upstream) { u.Unreachable = true },
		"failing": func(u *simulator.Upstream) { u.Failing = true },
		"stuck":   func(u *simulator.Upstream) { u.Stuck = true },
		"slow":    func(u *simulator.Upstream) { u.Slowness = 6 },
	} {
		got := runMix(t, 2*ordinaryGap, func(s *testEntry) {
			for i := range 16 {
				s.fleet.Update(fmt.Sprintf("u%02d", 3*i), change)
			}
		})
		for kind, share := range got {
			if share < 0.7 {
				t.Errorf("%s, %s: %.2f were served in time, want 0.7", name, kind, share)
			}
		}
	}
}

// Most callers are served in time although some orders to upstreams get no answer
// and are carried out late.
func TestLateOrders(t *testing.T) {
	got := runMix(t, ordinaryGap, func(s *testEntry) {
		rng := rand.New(rand.NewPCG(2, 2))
		var mu sync.Mutex
		s.fleet.SetFault(func(simulator.Operation, string) simulator.Fault {
			mu.Lock()
			defer mu.Unlock()
			if rng.IntN(18) == 0 {
				return simulator.Late
			}
			return simulator.None
		})
	})
	for kind, share := range got {
		if share < 0.8 {
			t.Errorf("%s: %.2f were served in time, want 0.8", kind, share)
		}
	}
}

// recordedRequests is a coordinator.Remote that records the run requests to other
// entries.
type recordedRequests struct {
	mu   sync.Mutex
	list []*wire.RunRequest
}

func (r *recordedRequests) Send(_ string, add func(*wire.PeerFrame)) bool {
	f := &wire.PeerFrame{}
	add(f)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, f.GetRequests()...)
	return true
}

// requests returns all requests.
func (r *recordedRequests) requests() []*wire.RunRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// last returns the latest request and the number of requests.
func (r *recordedRequests) last() (*wire.RunRequest, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list[len(r.list)-1], len(r.list)
}

// When an upstream gets a new owner, the end of its run is requested from the new
// owner. A report of the former owner that the run was lost is ignored, as the run
// may still be at work.
func TestReportOfFormerOwnerIsIgnored(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		sent := &recordedRequests{}
		c := &coordinator.Coordinator{Self: "entry-1", Remote: sent, Log: zerolog.Nop()}
		c.Init(ctx)
		go c.Run(ctx)
		c.SetUpstreams([]runner.Upstream{{Name: "u0", Service: "claims", Capacity: packer.Amount{CPU: 16000, Memory: 1000}}})
		claim := func(owner string, token int64) {
			c.PeerUp(owner, 1)
			c.UpdateStates(owner, true, []*wire.UpstreamState{{
				Upstream: "u0", Free: &wire.Amount{Cpu: 16000, Memory: 1000}, Slowness: 1, Usable: true, Token: token,
			}})
		}
		claim("entry-2", 1)
		done := make(chan coordinator.Answer, 1)
		now := time.Now()
		go func() {
			done <- c.Submit(ctx, coordinator.Job{
				ID: "a", Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: 1, Need: need, Expected: time.Second}},
				Arrived: now, Due: now.Add(2 * time.Second), Deadline: now.Add(3 * time.Second), MaxFailures: 3,
			})
		}()
		time.Sleep(10 * time.Millisecond)
		claim("entry-3", 2)
		time.Sleep(10 * time.Millisecond)
		if q, n := sent.last(); !q.GetAttach() || n != 2 {
			t.Fatalf("after the change of owner %d requests were sent, the last with attach=%v, want 2 and attach=true", n, q.GetAttach())
		}
		c.RunEnded("entry-2", &wire.RunEnd{Task: "a.0.0.0", Run: 1, Upstream: "u0", Cause: wire.RunEnd_lost})
		time.Sleep(10 * time.Millisecond)
		if _, n := sent.last(); n != 2 {
			t.Error("the task was started again after a report of the former owner")
		}
		c.RunEnded("entry-3", &wire.RunEnd{Task: "a.0.0.0", Run: 1, Upstream: "u0", Cause: wire.RunEnd_done})
		if a := <-done; a.State != coordinator.Complete {
			t.Errorf("got %v, want complete", a.State)
		}
	})
}

// A job that is submitted again after its answer gets the same answer at once and
// does not run again.
func TestResubmissionOfAnsweredJob(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		for range 2 {
			s.submit(ctx, "check", "a", 2, 100*time.Millisecond, 3*time.Second)
			time.Sleep(2 * time.Second)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.answers) != 2 || s.answers[1].state != coordinator.Complete || s.answers[1].after > time.Millisecond {
			t.Errorf("answers are %v, want two, the second one complete at once", s.answers)
		}
		if n := s.fleet.Starts("a.0.0.0"); n != 1 {
			t.Errorf("%d starts, want 1", n)
		}
	})
}

// When a job is submitted again after its caller left, its runs get higher numbers,
// so that a late report about an earlier run is not mistaken for one of them.
func TestResubmissionGetsHigherRunNumbers(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		sent := &recordedRequests{}
		c := &coordinator.Coordinator{Self: "entry-1", Remote: sent, Log: zerolog.Nop()}
		c.Init(ctx)
		go c.Run(ctx)
		c.SetUpstreams([]runner.Upstream{{Name: "u0", Service: "claims", Capacity: packer.Amount{CPU: 16000, Memory: 1000}}})
		c.PeerUp("entry-2", 1)
		c.UpdateStates("entry-2", true, []*wire.UpstreamState{{
			Upstream: "u0", Free: &wire.Amount{Cpu: 16000, Memory: 1000}, Slowness: 1, Usable: true, Token: 1,
		}})
		var last uint64
		for range 2 {
			call, leave := context.WithCancel(ctx)
			now := time.Now()
			go c.Submit(call, coordinator.Job{
				ID: "a", Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: 1, Need: need, Expected: time.Second}},
				Arrived: now, Due: now.Add(2 * time.Second), Deadline: now.Add(3 * time.Second), MaxFailures: 3,
			})
			time.Sleep(10 * time.Millisecond)
			q, _ := sent.last()
			if q.GetRun() <= last {
				t.Errorf("the second submission got run %d, want more than %d", q.GetRun(), last)
			}
			last = q.GetRun()
			leave()
			time.Sleep(10 * time.Millisecond)
		}
	})
}
