package proof

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// signal sends a signal to an entry.
func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	if err := f.entries[name].Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// restart starts an entry again after its process has ended.
func (f *fleet) restart(name string) {
	f.t.Helper()
	select {
	case <-f.entries[name].done:
	case <-time.After(25 * time.Second):
		f.t.Fatalf("%s did not end", name)
	}
	f.entries[name] = f.start("radishweir", "--settings", f.settingsFile(name))
}

// issueID returns a new job identifier whose home is the named entry.
func (f *fleet) issueID(name, service string) string {
	f.t.Helper()
	var id string
	f.await("an identifier of "+name, func() bool {
		ids, err := f.client(name).Issue(context.Background(), service, 1)
		if err == nil {
			id = ids[0]
		}
		return err == nil
	})
	return id
}

// submit sends an attempt at a job to an entry and returns its answer.
func (f *fleet) submit(entry string, j *wire.JobRequest, attempt uint32) (*wire.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	j.Attempt = attempt
	a, err := f.client(entry).Submit(ctx, j, true)
	if err != nil {
		f.t.Logf("job %s sent to %s: %v", j.GetJobId(), entry, err)
		f.logStates()
	}
	return a, err
}

// jobStarts counts the starts of all tasks of a job.
func (f *fleet) jobStarts(id string, tasks int) int {
	starts, n := f.starts(), 0
	for i := range tasks {
		n += starts[fmt.Sprintf("quixada/%s/%d", id, i)]
	}
	return n
}

func TestFaults(t *testing.T) {
	f := newFleet(t, 2, "north", "south")

	t.Run("home killed while the job runs", func(t *testing.T) {
		j := newJob(f.issueID("entry-1", "claims"), "claims", 2, 2*time.Second)
		answer := make(chan *wire.JobAnswer, 1)
		go func() {
			a, _ := f.submit("entry-3", j, 1)
			answer <- a
		}()
		f.await("the start", func() bool { return f.jobStarts(j.GetJobId(), 2) == 2 })
		f.signal("entry-1", syscall.SIGKILL)
		began := time.Now()
		if a := <-answer; a.GetVerdict() != classifier.MayHaveRun || a.GetState() != wire.JobState_failed {
			t.Errorf("the waiting caller got %v", a)
		}
		if d := time.Since(began); d > 8*time.Second {
			t.Errorf("the final answer took %v", d)
		}
		again := newJob(j.GetJobId(), "claims", 2, time.Millisecond)
		if a, err := f.submit("entry-2", again, 2); err != nil || a.GetVerdict() != classifier.MayHaveRun {
			t.Errorf("while the home is down: %v %v", a, err)
		}
		f.restart("entry-1")
		f.awaitShards()
		if a, err := f.submit("entry-4", again, 3); err != nil || a.GetVerdict() != classifier.MayHaveRun {
			t.Errorf("after a takeover: %v %v", a, err)
		}
		fresh := newJob(f.issueID("entry-1", "claims"), "claims", 2, time.Millisecond)
		a, err := f.submit("entry-2", fresh, 1)
		if err != nil {
			t.Fatal(err)
		}
		requireCompleteAnswer(t, fresh, a)
		f.checkSingleStarts()
	})

	t.Run("home frozen, then thawed", func(t *testing.T) {
		j := newJob(f.issueID("entry-2", "claims"), "claims", 2, 10*time.Millisecond)
		f.signal("entry-2", syscall.SIGSTOP)
		a, err := f.submit("entry-3", j, 1)
		if err != nil || a.GetVerdict() == classifier.Ran {
			t.Errorf("first attempt: %v %v", a, err)
		}
		if a, err := f.submit("entry-4", j, 2); err != nil || a.GetVerdict() != classifier.MayHaveRun {
			t.Errorf("second attempt: %v %v", a, err)
		}
		time.Sleep(11 * time.Second) // entry-2's registration expires
		f.signal("entry-2", syscall.SIGCONT)
		f.awaitShards()
		a, err = f.submit("entry-1", j, 3)
		if err != nil || a.GetVerdict() == classifier.NotRun && f.jobStarts(j.GetJobId(), 2) > 0 {
			t.Errorf("third attempt: %v %v, %d starts", a, err, f.jobStarts(j.GetJobId(), 2))
		}
		refused := a.GetVerdict() == classifier.NotRun
		time.Sleep(500 * time.Millisecond)
		if n := f.jobStarts(j.GetJobId(), 2); refused && n > 0 {
			t.Errorf("%d starts after not_run", n)
		}
		f.checkSingleStarts()
	})

	t.Run("forwarding entry frozen with the first attempt", func(t *testing.T) {
		j := newJob(f.issueID("entry-4", "claims"), "claims", 2, 10*time.Millisecond)
		f.signal("entry-3", syscall.SIGSTOP)
		late := make(chan *wire.JobAnswer, 1)
		go func() {
			a, _ := f.submit("entry-3", newJob(j.GetJobId(), "claims", 2, 10*time.Millisecond), 1)
			late <- a
		}()
		time.Sleep(100 * time.Millisecond)
		a, err := f.submit("entry-1", j, 2)
		if err != nil {
			t.Fatal(err)
		}
		requireCompleteAnswer(t, j, a)
		f.signal("entry-3", syscall.SIGCONT)
		if a := <-late; a.GetState() != wire.JobState_complete {
			t.Errorf("the late first attempt got %v", a)
		}
		f.checkSingleStarts()
	})

	for _, c := range []struct {
		name  string
		fault map[string]any
	}{
		{"upstreams cut off each answer", map[string]any{"drop": true}},
		{"upstreams silent on used connections", map[string]any{"silent": true}},
		{"upstreams cut off each answer again", map[string]any{"drop": true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.setFaults(c.fault)
			defer f.setFaults(map[string]any{})
			for i := range 3 {
				j := newJob(f.issueID("entry-1", "claims"), "claims", 6, 10*time.Millisecond)
				a, err := f.submit("entry-2", j, 1)
				if err != nil {
					t.Fatal(i, err)
				}
				requireCompleteAnswer(t, j, a)
			}
			f.checkSingleStarts()
		})
	}

	t.Run("upstreams answer for another task", func(t *testing.T) {
		f.setFaults(map[string]any{"cross": true})
		defer f.setFaults(map[string]any{})
		a, err := f.submit("entry-2", newJob(f.issueID("entry-1", "claims"), "claims", 2, 10*time.Millisecond), 1)
		if err != nil || a.GetState() != wire.JobState_failed || a.GetVerdict() != classifier.MayHaveRun {
			t.Errorf("%v %v", a, err)
		}
		f.checkSingleStarts()
	})

	t.Run("platform down", func(t *testing.T) {
		if err := f.putAdmin(f.platform, "faults", map[string]any{"down": true}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(12 * time.Second) // every registration expires
		for n := range f.callerAddresses {
			j := newJob("outage-"+n, "claims", 3, time.Millisecond)
			a, err := f.submit(n, j, 1)
			if err != nil {
				t.Fatal(err)
			}
			requireCompleteAnswer(t, j, a)
		}
		f.coldStart("entry-2", "entry-1")
		if err := f.putAdmin(f.platform, "faults", map[string]any{}); err != nil {
			t.Fatal(err)
		}
		f.await("every entry to be connected", func() bool {
			for _, st := range f.statuses() {
				if !st.PlatformConnected || len(st.Members) != 4 {
					return false
				}
			}
			return true
		})
		f.checkSingleStarts()
	})

	t.Run("leaving upstream", func(t *testing.T) {
		for _, vm := range f.vms {
			if vm["name"] == "upstream-1" {
				vm["leaving"] = true
			}
		}
		if err := f.putAdmin(f.platform, "vms", map[string]any{"vms": f.vms}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		before := len(f.startsAt(0))
		for range 40 {
			j := newJob(f.issueID("entry-1", "claims"), "claims", 4, time.Millisecond)
			if a, err := f.submit("entry-1", j, 1); err != nil || a.GetState() != wire.JobState_complete {
				t.Fatal(a, err)
			}
		}
		if n := len(f.startsAt(0)) - before; n > 0 {
			t.Errorf("%d starts on an upstream 5 s after it was listed as leaving", n)
		}
	})
}

// coldStart kills an entry and starts it again while the platform is down. From
// its seed (the address of another entry in its settings), the entry must learn
// enough to serve jobs whose home is running.
func (f *fleet) coldStart(name, seed string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	f.addSeed(name, seed)
	f.restart(name)
	f.await("the cold entry to be ready", func() bool { return ready(f.callerAddresses[name]) })
	j := newJob(f.issueID(seed, "claims"), "claims", 3, time.Millisecond)
	a, err := f.submit(name, j, 1)
	if err != nil || a.GetState() != wire.JobState_complete {
		f.t.Errorf("job forwarded by the cold entry: %v %v", a, err)
	}
	a, err = f.submit(name, newJob("cold-status", "status", 3, time.Millisecond), 1)
	if err != nil || a.GetState() != wire.JobState_complete {
		f.t.Errorf("repeatable job at the cold entry: %v %v", a, err)
	}
}

// TestRollingRestart restarts every entry in turn under load.
func TestRollingRestart(t *testing.T) {
	f := newFleet(t, 2, "north", "south")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for w := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				name := f.nextReadyEntry(w + i)
				j := newJob(fmt.Sprintf("roll-%d-%d", w, i), "claims", 3, 20*time.Millisecond)
				a, err := f.submit(name, j, 1)
				if err != nil {
					t.Errorf("request to %s failed: %v", name, err)
					return
				}
				requireCompleteAnswer(t, j, a)
				mu.Lock()
				done++
				mu.Unlock()
			}
		})
	}
	for _, n := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		time.Sleep(300 * time.Millisecond)
		f.signal(n, syscall.SIGTERM)
		p := f.entries[n]
		f.restart(n)
		if code := p.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s: exit code %d", n, code)
		}
		f.awaitShards()
	}
	close(stop)
	wg.Wait()
	f.checkSingleStarts()
	t.Logf("%d jobs", done)
}

// nextReadyEntry returns the first ready entry from the nth on, as the platform's
// load balancer would.
func (f *fleet) nextReadyEntry(n int) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("entry-%d", (n+i)%len(f.callerAddresses)+1)
		if ready(f.callerAddresses[name]) {
			return name
		}
	}
}
