package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/caller"
	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

func tokenHash(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// newJob returns a request for a job of n tasks that each run for the given time.
func newJob(id, service string, n int, run time.Duration) *wire.JobRequest {
	j := &wire.JobRequest{
		JobId: id, Service: service, Attempt: 1, Deadline: timestamppb.New(time.Now().Add(15 * time.Second)),
	}
	for range n {
		j.Tasks = append(j.Tasks, &wire.Task{Input: fmt.Append(nil, run.Microseconds())})
	}
	return j
}

// requireCompleteAnswer fails the test unless a is the complete answer to j.
func requireCompleteAnswer(t *testing.T, j *wire.JobRequest, a *wire.JobAnswer) {
	t.Helper()
	if a.GetState() != wire.JobState_complete || len(a.GetTasks()) != len(j.GetTasks()) {
		t.Fatalf("job %s: %v %v %s with %d of %d tasks", j.GetJobId(), a.GetState(), a.GetVerdict(), a.GetReason(), len(a.GetTasks()), len(j.GetTasks()))
	}
	for i, task := range a.GetTasks() {
		want := fmt.Sprintf("quixada/%s/%d %s", a.GetJobId(), i, j.GetTasks()[i].GetInput())
		if string(task.GetOutput()) != want {
			t.Fatalf("task %d: output %q, want %q", i, task.GetOutput(), want)
		}
	}
}

// checkSingleStarts fails the test if any task was started more than once.
func (f *fleet) checkSingleStarts() {
	f.t.Helper()
	for task, n := range f.starts() {
		if n > 1 {
			f.t.Errorf("task %s was started %d times", task, n)
		}
	}
}

func TestPath(t *testing.T) {
	f := newFleet(t, 2, "north", "south")
	ctx := context.Background()

	t.Run("every entry serves every job", func(t *testing.T) {
		for n := range f.callerAddresses {
			for i := range 10 {
				j := newJob(fmt.Sprintf("path-%s-%d", n, i), "claims", 1+i, time.Millisecond)
				a, err := f.client(n).Submit(ctx, j, true)
				if err != nil {
					t.Fatal(err)
				}
				requireCompleteAnswer(t, j, a)
			}
		}
		f.checkSingleStarts()
	})

	t.Run("a resubmission gets the same job", func(t *testing.T) {
		j := newJob("again", "claims", 3, 100*time.Millisecond)
		var wg sync.WaitGroup
		for n := range f.callerAddresses {
			wg.Go(func() {
				a, err := f.client(n).Submit(ctx, j, true)
				if err != nil {
					t.Error(err)
					return
				}
				requireCompleteAnswer(t, j, a)
			})
		}
		wg.Wait()
		f.checkSingleStarts()
	})

	t.Run("submit then pull", func(t *testing.T) {
		j := newJob("", "claims", 2, 50*time.Millisecond)
		a, err := f.client("entry-1").Submit(ctx, j, false)
		if err != nil || a.GetJobId() == "" {
			t.Fatal(a, err)
		}
		for n := range f.callerAddresses {
			got, err := f.client(n).Pull(ctx, "claims", a.GetJobId(), true)
			if err != nil {
				t.Fatal(err)
			}
			requireCompleteAnswer(t, j, got)
		}
	})

	t.Run("cancel reports which tasks ran", func(t *testing.T) {
		j := newJob("cancelled", "claims", 200, 300*time.Millisecond)
		if _, err := f.client("entry-1").Submit(ctx, j, false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		a, err := f.client("entry-2").Cancel(ctx, "claims", "cancelled")
		if err != nil || a.GetState() != wire.JobState_failed {
			t.Fatal(a, err)
		}
		time.Sleep(500 * time.Millisecond)
		starts := f.starts()
		notRun := 0
		for i, task := range a.GetTasks() {
			ran := starts[fmt.Sprintf("quixada/cancelled/%d", i)] > 0
			if task.GetVerdict() == classifier.NotRun {
				notRun++
				if ran {
					t.Errorf("task %d: not_run but ran", i)
				}
			}
		}
		if notRun == 0 || notRun == len(a.GetTasks()) {
			t.Errorf("%d of %d tasks did not run", notRun, len(a.GetTasks()))
		}
	})

	t.Run("an unknown token is refused", func(t *testing.T) {
		c := f.client("entry-1")
		c.Token = "nobody"
		_, err := c.Submit(ctx, newJob("x", "claims", 1, 0), true)
		var status *caller.StatusError
		if !errors.As(err, &status) || status.Status != http.StatusUnauthorized {
			t.Error(err)
		}
		if _, err := f.client("entry-1").Pull(ctx, "claims", "never-submitted", false); err == nil {
			t.Error("an unknown job was found")
		}
	})

	t.Run("a planned stop interrupts no request", func(t *testing.T) {
		stopUnderLoad(t, f, "entry-2")
	})
}

// stopUnderLoad sends SIGTERM to an entry while callers use all entries. The
// callers stop using an entry that is not ready, as behind a load balancer.
func stopUnderLoad(t *testing.T, f *fleet, name string) {
	t.Helper()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range f.callerAddresses {
		for w := range 4 {
			wg.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					if !ready(f.callerAddresses[n]) {
						return
					}
					j := newJob(fmt.Sprintf("stop-%s-%d-%d", n, w, i), "claims", 3, 20*time.Millisecond)
					a, err := f.client(n).Submit(context.Background(), j, true)
					if err != nil {
						t.Errorf("request to %s failed: %v", n, err)
						return
					}
					requireCompleteAnswer(t, j, a)
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	p := f.entries[name]
	_ = p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		if err != nil {
			t.Errorf("exit: %v", err)
		}
	case <-time.After(25 * time.Second):
		t.Error("the entry did not stop")
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	f.checkSingleStarts()
	if log := p.log.String(); !strings.Contains(log, "event=stopped") {
		t.Error("the entry did not log that it stopped")
	}
}

// ready reports whether the readiness check of the entry at address succeeds.
func ready(address string) bool {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
