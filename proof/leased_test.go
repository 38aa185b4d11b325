package proof

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/simulator"
	"radishweir.org/platform/schema"
	"radishweir.org/standin/hoster"
)

// soakSeed is the seed of the random faults in TestLeasedSoak and
// TestLeasedKeptSoak; soakSeconds is their duration in TestLeasedSoak. In
// TestLeasedKeptSoak they last half as long.
var (
	soakSeed    = flag.Uint64("soak-seed", 7, "seed of the faults in TestLeasedSoak")
	soakSeconds = flag.Int("soak-seconds", 20, "seconds of faults in TestLeasedSoak")
)

// system is a set of entries on the stand-in for the users' platform. Each
// upstream there is owned by one entry under a lease.
type system struct {
	*fleet
	host               *hoster.Platform
	names              []string
	entries            map[string]*process
	requestAddresses   map[string]string
	readinessAddresses map[string]string
	entryAddresses     map[string]string
	// program is the entry daemon, radishweir if it is empty, and extra holds more lines of its
	// settings.
	program, extra string

	// ids is the number of job identifiers used so far.
	ids atomic.Uint64

	mu sync.Mutex
	// counts is the number of jobs by HTTP status of the answer, 0 if there was none;
	// jobs is their total.
	counts map[int]int
	jobs   int
	// refused holds the jobs that were answered with 503: they must not have run.
	refused []string
}

// configuration returns a configuration with one queue for each path prefix.
func configuration(version int, prefixes ...string) schema.Configuration {
	c := schema.Configuration{Version: version, Services: []schema.Service{{Name: "claims", MaxConns: 64}}}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, schema.Route{
			Name: "queue" + p, Host: "claims.example", Prefix: p, Service: "claims", TimeoutMs: 1500, TargetLatencyMs: 100,
			MaxAttempts: 3, Stretch: 2,
		})
	}
	return c
}

// newSystem starts entries in two failure domains, with workers in both, and waits
// until all entries are ready.
func newSystem(t *testing.T, entries, workers int) *system {
	t.Helper()
	return newSystemOf(t, "radishweir", "", entries, workers)
}

// newSystemOf is newSystem with a build of the entry daemon and more lines of its settings.
func newSystemOf(t *testing.T, program, extra string, entries, workers int) *system {
	t.Helper()
	s := &system{
		program: program, extra: extra, entryAddresses: make(map[string]string),
		fleet: &fleet{t: t, dir: t.TempDir(), operatorAddresses: make(map[string]string)}, host: hoster.New(), entries: make(map[string]*process),
		requestAddresses: make(map[string]string), readinessAddresses: make(map[string]string), counts: make(map[int]int),
	}
	s.host.Fleet.Amount = packer.Amount{CPU: 6800, Memory: 64}
	s.host.Fleet.RunTime = func(string) time.Duration { return 60 * time.Millisecond }
	if err := s.host.Listen(); err != nil {
		t.Fatal(err)
	}
	for _, d := range []string{"domain-1", "domain-2"} {
		if err := s.host.AddWorkers("claims", d, workers/2); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.host.Configure(configuration(1, "/check/")); err != nil {
		t.Fatal(err)
	}
	go s.host.Run(t.Context())
	for i := range entries {
		s.addEntry(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("domain-%d", i%2+1))
	}
	for _, name := range s.names {
		s.waitReady(name)
	}
	// Owners need time to open their upstreams and to tell the other entries.
	time.Sleep(time.Second)
	return s
}

// addEntry writes the settings of an entry and starts it.
func (s *system) addEntry(name, domain string) {
	s.t.Helper()
	s.names = append(s.names, name)
	s.requestAddresses[name], s.readinessAddresses[name], s.operatorAddresses[name] = freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	s.entryAddresses[name] = freeAddress(s.t)
	settings := fmt.Sprintf(`name = %q
failure_domain = %q
caller_address = %q
readiness_address = %q
entry_address = %q
operator_address = %q
platform_address = %q
balancer_wait = "300ms"
drain_limit = "5s"
`, name, domain, s.requestAddresses[name], s.readinessAddresses[name], s.entryAddresses[name], s.operatorAddresses[name], s.host.Address())
	if err := os.WriteFile(filepath.Join(s.dir, name+".toml"), []byte(settings+s.extra), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.startEntry(name)
}

// startEntry starts the process of an entry.
func (s *system) startEntry(name string) {
	s.t.Helper()
	s.entries[name] = s.start(cmp.Or(s.program, "radishweir"), "leased", "--settings", filepath.Join(s.dir, name+".toml"))
}

// waitReady waits until the readiness check of an entry succeeds.
func (s *system) waitReady(name string) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + s.readinessAddresses[name] + "/api/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	s.t.Fatalf("%s is not ready:\n%s", name, s.entries[name].log)
}

// submitJob submits a job of n tasks and returns the HTTP status and the body of
// the answer. The status is 0 if there was no answer.
func (s *system) submitJob(name, path, id string, n int) (status int, body string) {
	data, err := json.Marshal(map[string]any{
		"spec": "x", "best_effort": true,
		"steps": []map[string]any{{"count": n, "cpu": 6800, "mem_mb": 64, "estimate_ms": 60}},
	})
	if err != nil {
		s.t.Error(err)
	}
	return s.submitBody(name, path, id, data)
}

// submitBody submits a job that is encoded already; see submitJob.
func (s *system) submitBody(name, path, id string, data []byte) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.requestAddresses[name]+path+id, bytes.NewReader(data))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	r.Host = "claims.example"
	r.Header.Set("X-Request-Deadline", "2500")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(out)
}

// load submits jobs to the entries in turn until ctx ends, and counts the answers
// by status.
func (s *system) load(ctx context.Context, gap time.Duration, names ...string) {
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		// Loads of one test share the counter, so that no load submits a refused
		// identifier again.
		id := fmt.Sprintf("%016x", s.ids.Add(1))
		wg.Go(func() {
			status, _ := s.submitJob(names[i%len(names)], "/check/", id, 1+i%4)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.counts[status]++
			s.jobs++
			if status == http.StatusServiceUnavailable {
				s.refused = append(s.refused, id)
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
}

// checkInvariants checks that the simulator saw no violation and that no task of a
// refused job has run, and logs the answers.
func (s *system) checkInvariants() {
	s.t.Helper()
	for _, v := range s.host.Fleet.Violations() {
		s.t.Error(v)
	}
	for _, id := range s.refused {
		for i := range 4 {
			if n := s.host.Fleet.Starts(fmt.Sprintf("%s.0.0.%d", id, i)); n > 0 {
				s.t.Errorf("job %s was refused and its task %d ran", id, i)
			}
		}
	}
	s.t.Logf("%d jobs, by status: %v", s.jobs, s.counts)
}

// successShare returns the share of jobs that were answered with 200.
func (s *system) successShare() float64 { return float64(s.counts[http.StatusOK]) / float64(s.jobs) }

func TestLeasedCalm(t *testing.T) {
	s := newSystem(t, 4, 16)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	s.load(ctx, 20*time.Millisecond, s.names...)
	s.checkInvariants()
	if s.successShare() < 0.99 {
		t.Errorf("the share of served jobs is %.3f, want 0.99", s.successShare())
	}
	if status, body := s.submitJob("entry-1", "/nothing/", "1", 1); status != http.StatusNotFound {
		t.Errorf("an unknown queue answers %d %s", status, body)
	}
}

// A configuration is in force on every entry within two seconds, even if the store
// discards its history in between.
func TestLeasedConfiguration(t *testing.T) {
	s := newSystem(t, 2, 4)
	for version, prefix := range []string{"/first/", "/second/"} {
		if err := s.host.Configure(configuration(version+2, prefix)); err != nil {
			t.Fatal(err)
		}
		if version == 1 {
			s.host.Store.Compact()
		}
		time.Sleep(2 * time.Second)
		for _, name := range s.names {
			if status, body := s.submitJob(name, prefix, fmt.Sprintf("%016x", version), 1); status != http.StatusOK {
				t.Errorf("%s answers %d %s on %s", name, status, body, prefix)
			}
			if status, body := s.submitJob(name, "/check/", "2", 1); status != http.StatusNotFound {
				t.Errorf("%s answers %d %s on a removed queue", name, status, body)
			}
		}
	}
}

// A planned stop under load interrupts no request.
func TestLeasedGracefulStop(t *testing.T) {
	s := newSystem(t, 3, 12)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	time.AfterFunc(time.Second, func() { _ = s.entries["entry-2"].Process.Signal(syscall.SIGTERM) })
	busy, stop := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { s.load(busy, 10*time.Millisecond, "entry-2") })
	wg.Wait()
	if err := <-s.entries["entry-2"].done; err != nil {
		t.Errorf("the stopped entry ended with %v:\n%s", err, s.entries["entry-2"].log)
	}
	s.checkInvariants()
	if n := s.counts[0]; n > 0 {
		t.Errorf("%d requests got no answer", n)
	}
}

// A worker that reports that it is draining gets its last start within two seconds,
// and its runs end.
func TestLeasedDraining(t *testing.T) {
	s := newSystem(t, 2, 12)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	leaving := s.host.Workers()[0]
	started := func() (n int) {
		s.host.Fleet.Update(leaving, func(u *simulator.Upstream) { n = u.Started })
		return n
	}
	atBound := make(chan int, 1)
	time.AfterFunc(time.Second, func() { s.host.Drain(leaving) })
	time.AfterFunc(3*time.Second, func() { atBound <- started() })
	s.load(ctx, 20*time.Millisecond, s.names...)
	s.checkInvariants()
	if bound, end := <-atBound, started(); bound == 0 || end != bound {
		t.Errorf("%d starts two seconds after the worker reported that it is draining, %d at the end", bound, end)
	}
	if s.successShare() < 0.95 {
		t.Errorf("the share of served jobs is %.3f, want 0.95", s.successShare())
	}
}

// SIGHUP makes an entry read its settings again and keep serving; invalid settings
// are refused.
func TestLeasedReload(t *testing.T) {
	s := newSystem(t, 1, 2)
	p, path := s.entries["entry-1"], filepath.Join(s.dir, "entry-1.toml")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct{ line, event string }{
		{"log_level = \"debug\"\n", "settings_in_force"}, {"log_level = \"loud\"\n", "settings_refused"},
	} {
		if err := os.WriteFile(path, append(bytes.Clone(good), c.line...), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = p.Process.Signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		if status, body := s.submitJob("entry-1", "/check/", fmt.Sprintf("%016x", i), 1); status != http.StatusOK {
			t.Errorf("after the signal: %d %s\n%s", status, body, p.log)
		}
		if !strings.Contains(p.log.String(), "event="+c.event) {
			t.Errorf("no %s after %q:\n%s", c.event, c.line, p.log)
		}
	}
}

// Entries keep serving while the store is down for longer than their leases.
func TestLeasedStoreDown(t *testing.T) {
	s := newSystem(t, 4, 16)
	s.host.Store.SetDown(true)
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	time.AfterFunc(1500*time.Millisecond, func() { s.host.Store.SetDown(false) })
	s.load(ctx, 20*time.Millisecond, s.names...)
	s.checkInvariants()
	if s.successShare() < 0.95 {
		t.Errorf("the share of served jobs is %.3f, want 0.95", s.successShare())
	}
}

// Random kills, freezes, planned stops, store outages, unreachable and failing
// workers and late requests: no task runs twice at the same time, no task of a
// refused job runs, and after the faults the entries serve at least 95 % of the
// jobs again.
func TestLeasedSoak(t *testing.T) {
	s := newSystem(t, 5, 20)
	rng, orders := rand.New(rand.NewPCG(*soakSeed, 1)), rand.New(rand.NewPCG(*soakSeed, 2))
	var mu sync.Mutex
	s.host.Fleet.SetFault(func(simulator.Operation, string) simulator.Fault {
		mu.Lock()
		defer mu.Unlock()
		if orders.IntN(60) == 0 {
			return simulator.Fault(1 + orders.IntN(3))
		}
		return simulator.None
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(*soakSeconds)*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.load(ctx, 15*time.Millisecond, s.names...) })
	for ctx.Err() == nil {
		s.injectFault(rng)
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
	}
	wg.Wait()
	s.checkInvariants()
	if s.successShare() < 0.5 {
		t.Errorf("the share of served jobs is %.3f, want 0.5", s.successShare())
	}
	s.host.Fleet.SetFault(nil)
	s.host.Store.SetDown(false)
	time.Sleep(5 * time.Second)
	s.jobs, s.counts = 0, make(map[int]int)
	calm, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	s.load(calm, 20*time.Millisecond, s.names...)
	s.checkInvariants()
	if s.successShare() < 0.95 {
		t.Errorf("the share of served jobs after the faults is %.3f, want 0.95", s.successShare())
	}
}

// injectFault causes one random fault and ends it.
func (s *system) injectFault(rng *rand.Rand) {
	name := s.names[rng.IntN(len(s.names))]
	p := s.entries[name]
	pause := time.Duration(300+rng.IntN(1500)) * time.Millisecond
	workers := s.host.Workers()
	worker := workers[rng.IntN(len(workers))]
	change := func(set func(u *simulator.Upstream, on bool)) {
		s.host.Fleet.Update(worker, func(u *simulator.Upstream) { set(u, true) })
		time.Sleep(pause)
		s.host.Fleet.Update(worker, func(u *simulator.Upstream) { set(u, false) })
	}
	switch rng.IntN(6) {
	case 0:
		_ = p.Process.Kill()
		<-p.done
		time.Sleep(pause)
		s.startEntry(name)
	case 1:
		_ = p.Process.Signal(syscall.SIGTERM)
		<-p.done
		s.startEntry(name)
	case 2:
		_ = p.Process.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		_ = p.Process.Signal(syscall.SIGCONT)
	case 3:
		s.host.Store.SetDown(true)
		time.Sleep(pause)
		s.host.Store.SetDown(false)
	case 4:
		change(func(u *simulator.Upstream, on bool) { u.Unreachable = on })
	case 5:
		change(func(u *simulator.Upstream, on bool) { u.Failing = on })
	}
}
