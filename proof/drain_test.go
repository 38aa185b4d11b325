package proof

import (
	"bytes"
	"context"
	"syscall"
	"testing"
	"time"

	"radishweir.org/lib/caller"
	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// drainOutcome is what a caller got at the end of a drain.
type drainOutcome struct {
	answer *wire.JobAnswer
	err    error
}

// cutDrainShort drains an entry, and ends the drain with a second signal when it has no
// shard any more.
func (f *fleet) cutDrainShort(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGTERM)
	f.await("the handover", func() bool {
		st, ok := f.statuses()[name]
		return ok && st.Draining && !hasShards(st)
	})
	f.signal(name, syscall.SIGTERM)
	f.restart(name)
	f.await("the restart", func() bool { return f.registered() == len(f.callerAddresses) && ready(f.callerAddresses[name]) })
	f.awaitShards()
}

// TestDrainCutShort guards against requests that end without an answer, and jobs that end
// without a verdict, when the drain of an entry ends before them.
func TestDrainCutShort(t *testing.T) {
	f := newFleet(t, 2, "north")
	for _, c := range []struct {
		name, home, caller string
		run                func(ctx context.Context, c *caller.Client, j *wire.JobRequest) (*wire.JobAnswer, error)
	}{
		{"job of this entry", "entry-1", "entry-1", submitAndWait},
		{"job of another entry", "entry-2", "entry-1", submitAndWait},
		{"job of this entry, submitted to another one", "entry-1", "entry-2", submitAndWait},
		{"pull of a job of another entry", "entry-2", "entry-1", submitAndPull},
		{"pull at another entry", "entry-1", "entry-2", submitAndPull},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newJob(f.issueID(c.home, "claims"), "claims", 1, 4*time.Second)
			ended := make(chan drainOutcome, 1)
			go func() {
				a, err := c.run(t.Context(), f.client(c.caller), j)
				ended <- drainOutcome{a, err}
			}()
			f.await("the start", func() bool { return f.jobStarts(j.GetJobId(), 1) == 1 || len(ended) > 0 })
			if len(ended) > 0 {
				o := <-ended
				t.Fatalf("the job ended before the drain: %v %v", o.answer, o.err)
			}
			f.cutDrainShort("entry-1")
			select {
			case o := <-ended:
				if o.err != nil || o.answer.GetVerdict() != classifier.MayHaveRun {
					t.Errorf("%v %v", o.answer, o.err)
				}
			case <-time.After(3 * time.Second):
				t.Error("the caller got no answer")
			}
		})
	}
	f.checkSingleStarts()
}

// submitAndWait submits a job and waits for its answer.
func submitAndWait(ctx context.Context, c *caller.Client, j *wire.JobRequest) (*wire.JobAnswer, error) {
	j.Attempt = 1
	return c.Submit(ctx, j, true)
}

// submitAndPull submits a job and pulls its answer with another request.
func submitAndPull(ctx context.Context, c *caller.Client, j *wire.JobRequest) (*wire.JobAnswer, error) {
	j.Attempt = 1
	if a, err := c.Submit(ctx, j, false); err != nil {
		return a, err
	}
	c.HTTP.CloseIdleConnections() // A pull on a used connection may be sent again.
	return c.Pull(ctx, j.GetService(), j.GetJobId(), true)
}

// TestDrainDeliversAnswers guards against answers of jobs that were handed over while they
// ran and are lost because the entry that ran them ends too early.
func TestDrainDeliversAnswers(t *testing.T) {
	f := newFleet(t, 2, "north")
	const tasks = 4
	j := newJob(f.issueID("entry-1", "claims"), "claims", tasks, 2*time.Second)
	for _, task := range j.Tasks {
		task.Input = append(task.Input, bytes.Repeat([]byte(" answer"), 9000)...)
	}
	if _, err := f.client("entry-1").Submit(t.Context(), j, false); err != nil {
		t.Fatal(err)
	}
	f.await("the start", func() bool { return f.jobStarts(j.GetJobId(), tasks) == tasks })
	f.signal("entry-1", syscall.SIGTERM)
	f.await("the handover", func() bool {
		st, ok := f.statuses()["entry-1"]
		return ok && st.Draining && !hasShards(st)
	})
	f.signal("entry-2", syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	f.signal("entry-2", syscall.SIGCONT)
	a, err := f.client("entry-2").Pull(t.Context(), "claims", j.GetJobId(), true)
	if err != nil {
		t.Fatal(err)
	}
	requireCompleteAnswer(t, j, a)
}
