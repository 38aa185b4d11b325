package keeper_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

// record returns the stored record of a job.
func (c *cluster) record(id string) *wire.KeptJob {
	c.t.Helper()
	kv, err := c.store.Get(c.t.Context(), recordKey(id))
	r := &wire.KeptJob{}
	if err == nil {
		err = proto.Unmarshal(kv.Value, r)
	}
	if err != nil {
		c.t.Fatalf("record of %s: %v", id, err)
	}
	return r
}

// setFailing makes all runs fail that end from now on, or none.
func (c *cluster) setFailing(failing bool) {
	for _, u := range c.fleet.List() {
		c.fleet.Update(u.Name, func(u *simulator.Upstream) { u.Failing = failing })
	}
}

// awaitFailures waits until the stored record of a job has the given number of failed
// runs of the first task.
func (c *cluster) awaitFailures(id string, want uint32) {
	c.t.Helper()
	for range 2000 {
		if c.record(id).GetFailures()[0] == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("record of %s: failed runs %v, want %d of task 0", id, c.record(id).GetFailures(), want)
}

// Guards against a failed run that is counted again at each takeover because its
// holder stored it but was lost before it released the end: the job then failed with
// fewer failed runs than allowed.
func TestStoredFailureIsCountedOnceAtTakeovers(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 11, 4, 8)
		defer c.stop()
		c.fleet.SetRunTime(func(string) time.Duration { return 500 * time.Millisecond })
		c.setFailing(true)
		if s := c.alive()[0].submit("a", 1); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		for _, n := range c.alive() {
			n.losesReleases.Store(true)
		}
		c.awaitFailures("a", 1)
		c.setFailing(false)
		c.fleet.SetRunTime(func(string) time.Duration { return 15 * time.Second })
		for term := uint32(1); term <= 2; term++ {
			holder := c.record("a").GetHolder()
			for _, n := range c.alive() {
				if n.Holder() == holder {
					c.kill(n.name)
				}
			}
			for range 4000 {
				if c.record("a").GetTerm() == term {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			if r := c.record("a"); r.GetTerm() != term || r.GetFailures()[0] != 1 {
				t.Fatalf("after takeover %d: term %d, state %v, failed runs %v, want 1 of task 0", term, r.GetTerm(), r.GetState(), r.GetFailures())
			}
		}
		for _, n := range c.alive() {
			n.losesReleases.Store(false)
		}
		c.checkJobs([]string{"a"}, nil, time.Minute)
	})
}

// Guards against takeovers that forget failed runs: those that the lost holder did not
// store must be counted as far as the record certainly does not include them.
func TestFailuresReportedAtTakeover(t *testing.T) {
	for _, c := range []struct {
		name     string
		stored   uint32
		reported []uint64
		want     uint32
	}{
		{"none stored", 0, []uint64{1, 2}, 2},
		{"fewer stored", 1, []uint64{1, 2}, 2},
		{"more stored", 2, []uint64{1}, 2},
		{"none reported", 2, nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) { testFailuresReported(t, c.stored, nil, c.reported, c.want) })
		})
	}
}

// Guards against more failed runs than max_attempts allows: a failed run that the lost
// holder did not store went uncounted, as one that it had stored was taken for it.
func TestFailedRunsAreCountedByTheirNumbers(t *testing.T) {
	for _, c := range []struct {
		name             string
		stored, reported []uint64
		want             uint32
	}{
		{"stored and released, then one not stored", []uint64{1}, []uint64{2}, 2},
		{"stored and not released, then one not stored", []uint64{1}, []uint64{1, 2}, 2},
		{"both stored, one released", []uint64{1, 2}, []uint64{2}, 2},
		{"several not stored", []uint64{1}, []uint64{2, 3, 4}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) { testFailuresReported(t, uint32(len(c.stored)), c.stored, c.reported, c.want) })
		})
	}
}

// testFailuresReported lets an entry take over a job whose record counts the stored
// failed runs and tells the given ones by number, after some failed runs were reported to
// that entry.
func testFailuresReported(t *testing.T, stored uint32, named, reported []uint64, want uint32) {
	c := newCluster(t, 12, 1, 2)
	defer c.stop()
	c.fleet.SetRunTime(func(string) time.Duration { return time.Minute })
	now := time.Now().UnixMilli()
	var failedRuns []*wire.FailedRun
	for _, run := range named {
		failedRuns = append(failedRuns, &wire.FailedRun{Task: 0, Run: run})
	}
	data, err := proto.Marshal(&wire.KeptJob{
		Queue: "check", Service: "claims", Holder: "entry-9@1", MaxFailures: 5, ArrivedMs: now, DueMs: now + 1000,
		Steps:    []*wire.KeptStep{{Tasks: 2, Need: runner.AmountToWire(need), ExpectedMs: 100}},
		Failures: map[uint32]uint32{0: stored, 1: 1}, FailedRuns: failedRuns,
	})
	if err != nil {
		t.Fatal(err)
	}
	n := c.alive()[0]
	for _, run := range reported {
		end := coordinator.End{Upstream: "u00", Task: "a.0.0.0", Run: run}
		// The owner of the upstream reports an end again until it is released.
		for range 2 {
			n.keeper.OrphanedEnd("a", 0, 0, false, end)
		}
	}
	if _, err := c.store.Swap(t.Context(), platform.Write{Key: recordKey("a"), Value: data}); err != nil && !errors.Is(err, platform.ErrUnknown) {
		t.Fatal(err)
	}
	n.keeper.SetKeptJobsExist()
	n.keeper.TriggerReview()
	time.Sleep(5 * time.Second)
	r := c.record("a")
	if r.GetHolder() != n.Holder() || r.GetFailures()[0] != want || r.GetFailures()[1] != 1 {
		t.Errorf("holder %q, failed runs %v, want %q, %d of task 0 and 1 of task 1", r.GetHolder(), r.GetFailures(), n.Holder(), want)
	}
}

// Guards against more failed runs than max_attempts allows: the end of a run on an upstream
// that could not be reached is reported after the job was taken over.
func TestLateFailureIsCounted(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 4)
		defer c.stop()
		c.fleet.SetRunTime(func(string) time.Duration { return 5 * time.Second })
		n := c.alive()[0]
		if s := n.submit("a", 1); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		time.Sleep(300 * time.Millisecond)
		end := coordinator.End{Upstream: "u00", Task: "a.0.0.0", Run: 0}
		// The owner of the upstream reports an end again until it is released.
		for range 2 {
			n.keeper.OrphanedEnd("a", 0, 0, false, end)
		}
		time.Sleep(time.Second)
		if got := c.record("a").GetFailures()[0]; got != 1 {
			t.Errorf("%d failed runs in the record, want 1", got)
		}
		for run := uint64(100); run < 102; run++ {
			end.Run = run
			n.keeper.OrphanedEnd("a", 0, 0, false, end)
		}
		time.Sleep(time.Second)
		if state := c.stateOf("a"); state != "failed" {
			t.Errorf("state %q after three failed runs, want failed", state)
		}
		if running := c.fleet.Running(); running != 0 {
			t.Errorf("%d runs left of the failed job", running)
		}
	})
}

// Guards against an entry that ends: an upstream still lists an end of a job that this entry
// held and has forgotten since.
func TestEndOfForgottenJobIsReleased(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 4)
		defer c.stop()
		n := c.alive()[0]
		n.submit("a", 1)
		c.checkJobs([]string{"a"}, nil, 5*time.Second)
		for _, done := range []bool{true, false} {
			n.keeper.OrphanedEnd("forgotten", 0, 0, done, coordinator.End{Upstream: "u00", Task: "forgotten.0.0.0", Run: 1})
		}
		n.submit("b", 1)
		c.checkJobs([]string{"b"}, nil, 5*time.Second)
	})
}
