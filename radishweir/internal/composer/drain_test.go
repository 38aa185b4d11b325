package composer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/messenger"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/router"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/platform/schema"
)

// balancerWait and drainLimit are those of serving entries.
const (
	balancerWait = 300 * time.Millisecond
	drainLimit   = time.Second
)

// servingEntry is an entry that serves callers and peers on loopback. It owns one simulated
// upstream whose runs take ten minutes.
type servingEntry struct {
	*Entry
	upstream *simulator.Fleet
	callers  string
	exit     func()
}

// newServingEntry starts an entry. The end of the process is simulated by exit.
func newServingEntry(t *testing.T, name string) *servingEntry {
	t.Helper()
	s := testSettings()
	s.Name, s.EntryAddress, s.Delegation = name, freeAddress(t), true
	s.BalancerWait, s.DrainLimit = balancerWait.String(), drainLimit.String()
	e, err := New(s, zerolog.Nop(), &atomic.Int64{})
	if err != nil {
		t.Fatal(err)
	}
	f := simulator.New()
	f.Amount = packer.Amount{CPU: 1000, Memory: 1}
	f.RunTime = func(string) time.Duration { return 10 * time.Minute }
	f.Add(runner.Upstream{Name: "upstream-of-" + name, Service: "claims", Incarnation: 1, Capacity: packer.Amount{CPU: 16000, Memory: 1024}}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	e.ctx = ctx
	e.enroller.Store = &leaseStore{}
	e.runner.Client = f
	e.coordinator.Init(ctx)
	e.router.Apply(router.Table{Version: 1, Queues: []router.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "claims", Timeout: time.Minute, Target: 200 * time.Millisecond, Stretch: 1}}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = e.callerServer.Serve(l) }()
	go func() { _ = e.messenger.Run(ctx) }()
	go e.coordinator.Run(ctx)
	e.coordinator.SetUpstreams(f.List())
	out := &servingEntry{Entry: e, upstream: f, callers: l.Addr().String()}
	out.exit = func() {
		cancel()
		_ = e.callerServer.Close()
	}
	t.Cleanup(out.exit)
	return out
}

// freeAddress returns an address on loopback that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// own makes the entry the owner of its upstream.
func (s *servingEntry) own(t *testing.T) {
	t.Helper()
	s.runner.SetOwned(s.ctx, 1, s.upstream.List())
	eventually(t, "the upstream is usable", func() bool { return s.coordinator.Views()[0].Usable })
}

// callerAnswer is what a caller got; the status is 0 if it got no answer.
type callerAnswer struct {
	status     int
	retryAfter string
	after      time.Duration
}

// post submits a best-effort job of one task and returns where the answer arrives.
func (s *servingEntry) post(t *testing.T, id string, expected time.Duration) <-chan callerAnswer {
	t.Helper()
	return s.call(t, http.MethodPost, id, schema.Job{BestEffort: true, Steps: []schema.Step{{Count: 1, CPU: 1000, MemMb: 1, EstimateMs: float64(expected.Milliseconds())}}})
}

// call sends a request about a job and returns where the answer arrives.
func (s *servingEntry) call(t *testing.T, method, id string, j schema.Job) <-chan callerAnswer {
	t.Helper()
	body, err := json.Marshal(j)
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.callers+"/q/"+id, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h"
	out, sent := make(chan callerAnswer, 1), time.Now()
	go func() {
		c := &http.Client{Transport: &http.Transport{}}
		resp, err := c.Do(q)
		if err != nil {
			out <- callerAnswer{after: time.Since(sent)}
			return
		}
		_ = resp.Body.Close()
		out <- callerAnswer{resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(sent)}
	}()
	return out
}

// drainAndExit drains the entry and ends its process.
func (s *servingEntry) drainAndExit() {
	s.drain(s.ctx)
	s.exit()
}

// eventually fails the test unless the condition holds within two seconds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 2 s: %s", what)
		}
	}
}

// Guards against a caller whose connection ends with the process, as its job was open at
// the drain limit.
func TestJobOpenAtDrainLimitIsAnswered(t *testing.T) {
	e := newServingEntry(t, "entry-1")
	e.own(t)
	got := e.post(t, "00000000000000aa", 10*time.Second)
	eventually(t, "the job runs", func() bool { return e.upstream.Running() == 1 })
	e.drainAndExit()
	if a := <-got; a.status != http.StatusGatewayTimeout {
		t.Errorf("got the status %d after %v, want 504", a.status, a.after)
	}
	if n := e.upstream.Running(); n != 0 {
		t.Errorf("%d tasks run after the answer", n)
	}
}

// Guards against a job that begins during the drain although it cannot end before its limit.
func TestJobThatWouldOutlastTheDrainIsRefusedAtOnce(t *testing.T) {
	e := newServingEntry(t, "entry-1")
	e.own(t)
	time.AfterFunc(balancerWait/2, e.drainAndExit)
	eventually(t, "the entry drains", e.draining.Load)
	late := e.post(t, "00000000000000aa", 10*time.Second)
	if a := <-late; a.status != http.StatusServiceUnavailable || a.retryAfter == "" || a.after > balancerWait/2 {
		t.Errorf("got the status %d, retry after %q, after %v; want 503 with a time to retry at once", a.status, a.retryAfter, a.after)
	}
	if n := e.upstream.Starts("00000000000000aa.0.0.0"); n != 0 {
		t.Errorf("the refused job was started %d times", n)
	}
}

// Guards against a process that is killed as its drain waits for the store beyond the limit,
// and against a wait for the store that comes on top of that for the balancer.
func TestDrainEndsInTimeWhileTheStoreIsStuck(t *testing.T) {
	for name, c := range map[string]struct {
		limit, wait string
		holder      bool
		end         time.Duration
	}{
		"with a holder":    {"1s", "300ms", true, time.Second},
		"without a holder": {"10s", "1100ms", false, 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withOwner(t, func(t *testing.T, e *Entry, _ *simulator.Fleet) {
				s := *e.current.Load()
				s.DrainLimit, s.BalancerWait = c.limit, c.wait
				e.current.Store(&s)
				if c.holder {
					if _, err := e.enroller.EnsureHolder(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				e.enroller.Store.(*leaseStore).stuck.Store(true)
				began := time.Now()
				e.drain(e.ctx)
				if took := time.Since(began); took > c.end {
					t.Errorf("drained in %v, want %v", took, c.end)
				}
			})
		})
	}
}

// newLinkedEntries starts two entries that are connected. The job of a caller of the first
// runs on the upstream of the second: after the first has delegated it, or on its own order.
func newLinkedEntries(t *testing.T, delegated bool) (first, second *servingEntry) {
	t.Helper()
	first, second = newServingEntry(t, "entry-1"), newServingEntry(t, "entry-2")
	second.own(t)
	if !delegated {
		first.coordinator.SetUpstreams(second.upstream.List())
	}
	for _, s := range [][2]*servingEntry{{first, second}, {second, first}} {
		s[0].messenger.SetPeers(s[0].ctx, map[string]messenger.Peer{s[1].Name: {Address: s[1].EntryAddress, Near: true}})
		s[0].coordinator.SetDomains(map[string]string{s[1].Name: "domain-2"})
		s[0].coordinator.SetNear(map[string]bool{s[1].Name: true})
	}
	eventually(t, "the entries are connected", func() bool {
		return first.coordinator.Reachable(second.Name) && second.coordinator.Reachable(first.Name)
	})
	return first, second
}

// Guards against a caller whose connection ends with the process, and against runs for which
// nobody waits: the first entry stops while another one runs its job.
func TestJobAtPeerIsAnsweredWhenItsEntryStops(t *testing.T) {
	for name, delegated := range map[string]bool{"delegated": true, "owned": false} {
		t.Run(name, func(t *testing.T) {
			first, second := newLinkedEntries(t, delegated)
			got := first.post(t, "00000000000000aa", time.Second)
			eventually(t, "the job runs", func() bool { return second.upstream.Running() == 1 })
			first.drainAndExit()
			if a := <-got; a.status != http.StatusGatewayTimeout || second.upstream.Running() != 0 {
				t.Errorf("got the status %d after %v, and %d tasks run; want 504 and none", a.status, a.after, second.upstream.Running())
			}
		})
	}
}

// Guards against a second run beside the first: the caller of a job may submit it again as
// soon as it has the answer, which the end of the other entry causes.
func TestDelegatedJobHasEndedWhenItsEntryStops(t *testing.T) {
	first, second := newLinkedEntries(t, true)
	got := first.post(t, "00000000000000aa", time.Second)
	eventually(t, "the job runs", func() bool { return second.upstream.Running() == 1 })
	go second.drainAndExit()
	a := <-got
	// The lease of the run would last for a second.
	time.Sleep(200 * time.Millisecond)
	if a.status != http.StatusGatewayTimeout || second.upstream.Running() != 0 {
		t.Errorf("got the status %d after %v, and %d tasks run; want 504 and none", a.status, a.after, second.upstream.Running())
	}
}

// Guards against a caller whose connection ends with the process, as its request about a kept
// job waits for the store.
func TestRequestThatWaitsForTheStoreIsAnsweredAtDrainLimit(t *testing.T) {
	e := newServingEntry(t, "entry-1")
	store := e.enroller.Store.(*leaseStore)
	store.stuck.Store(true)
	e.keeper.Store = store
	list := make(map[string]<-chan callerAnswer)
	for i, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		list[method] = e.call(t, method, fmt.Sprintf("%016x", i), schema.Job{Steps: []schema.Step{{Count: 1, CPU: 1000, MemMb: 1, EstimateMs: 10}}})
	}
	eventually(t, "the requests wait for the store", func() bool { return store.waiting.Load() >= int64(len(list)) })
	e.drainAndExit()
	for method, got := range list {
		if a := <-got; a.status != http.StatusServiceUnavailable || a.retryAfter == "" {
			t.Errorf("%s got the status %d, retry after %q, after %v; want 503 with a time to retry", method, a.status, a.retryAfter, a.after)
		}
	}
}
