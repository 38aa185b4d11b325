package composer

import (
	"testing"
	"time"

	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// delegatedFrame returns a frame with a job of one task of ten minutes.
func delegatedFrame(number uint64) *wire.PeerFrame {
	return &wire.PeerFrame{Delegated: []*wire.DelegatedJob{{
		Job: "a", Kind: "check", Service: "claims", Number: number, MaxFailures: 3, DueInMs: 3600000, DeadlineInMs: 3600000,
		Steps: []*wire.KeptStep{{Tasks: 1, Need: &wire.Amount{Cpu: 1000, Memory: 1}, ExpectedMs: 600000}},
	}}}
}

// Guards against a job that runs here although its first entry has given it up, and may
// run it itself: a frame may be processed after its connection has ended.
func TestDelegatedJobOfPeerThatIsDown(t *testing.T) {
	withOwner(t, func(t *testing.T, e *Entry, f *simulator.Fleet) {
		go e.coordinator.Run(e.ctx)
		e.coordinator.UpdateStates(e.Name, true, e.runner.States())
		e.Down("entry-2")
		e.Frame("entry-2", delegatedFrame(1))
		time.Sleep(time.Second)
		if running := runningTasks(t, f); len(running) != 0 || e.received.open() != 0 {
			t.Errorf("%v run and %d jobs are open for a peer that is down", running, e.received.open())
		}
		e.Up("entry-2", 2)
		e.Frame("entry-2", delegatedFrame(1))
		time.Sleep(100 * time.Millisecond)
		if len(runningTasks(t, f)) != 1 {
			t.Error("the job of a peer that is up again does not run")
		}
	})
}

// Guards against a drained entry that ends before its last answer to a peer was sent.
func TestDrainLeavesTimeForLastAnswer(t *testing.T) {
	withOwner(t, func(t *testing.T, e *Entry, _ *simulator.Fleet) {
		e.Delegation = true
		_, d := e.received.add(e.ctx, "entry-2", &wire.DelegatedJob{Job: "a", Number: 1})
		var answered time.Time
		time.AfterFunc(2*drainInterval-time.Millisecond, func() {
			answered = time.Now()
			e.received.end(d)
		})
		e.drainRuns(e.ctx)
		if after := time.Since(answered); answered.IsZero() || after < drainInterval/2 {
			t.Errorf("drained %v after the last answer", after)
		}
	})
}
