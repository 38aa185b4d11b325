package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
)

// memoryKeeper is a coordinator.Keeper that only notes which jobs ended, and when.
type memoryKeeper struct {
	mu    sync.Mutex
	ended map[string]time.Time
}

func (k *memoryKeeper) Holder() string { return "entry-1@1" }

func (k *memoryKeeper) TaskEnded(string, uint32, bool, coordinator.End) {}

func (k *memoryKeeper) UpstreamLost(string, uint32, []coordinator.LostUpstream) {}

func (k *memoryKeeper) LossStored(string, uint32) bool { return true }

func (k *memoryKeeper) JobEnded(job string, _ coordinator.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended[job] = time.Now()
}

func (k *memoryKeeper) OrphanedEnd(string, int, int, bool, coordinator.End) {}

// A kept job has no deadline. It must not take the only free place for one of its
// many tasks while the others can't follow in time, as then the narrow jobs behind it
// wait although they would fit.
func TestWideKeptJobWaitsForItsPlaces(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		k := &memoryKeeper{ended: make(map[string]time.Time)}
		s.Keeper = k
		s.fleet.RunTime = func(task string) time.Duration {
			if task[0] == 'l' {
				return 4 * time.Second
			}
			return 100 * time.Millisecond
		}
		submit := func(id string, tasks int, expected time.Duration) {
			now := time.Now()
			s.SubmitKept(coordinator.Job{
				ID: id, Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: tasks, Need: need, Expected: expected}},
				Arrived: now, Due: now.Add(time.Second), MaxFailures: 3, Holder: "entry-1@1",
			})
		}
		submit("long", 3, 4*time.Second)
		time.Sleep(100 * time.Millisecond)
		submit("wide", 16, 100*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		submit("narrow", 1, 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		k.mu.Lock()
		at, ended := k.ended["narrow"]
		k.mu.Unlock()
		if !ended || at.Sub(began) > 500*time.Millisecond {
			t.Errorf("the narrow job ended: %v, after %v; want within 500 ms", ended, at.Sub(began))
		}
	})
}

// Guards against accepted jobs that never start: on an idle fleet a job with more tasks than
// fit at once runs in parts.
func TestWideKeptJobStartsOnIdleFleet(t *testing.T) {
	for name, st := range map[string]coordinator.Step{
		"wider than the free places of a label": {Tasks: 12, Need: need, Expected: 900 * time.Millisecond, Label: "rack-1"},
		"wider than the fleet":                  {Tasks: 60, Need: need, Expected: 900 * time.Millisecond},
		"spread too far":                        {Tasks: 8, Need: need, Expected: 900 * time.Millisecond, Label: "rack-1", MaxPerUpstream: 1},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T, ctx context.Context) {
				s := newTestEntry(ctx, 0)
				k := &memoryKeeper{ended: make(map[string]time.Time)}
				s.Keeper = k
				s.fleet.RunTime = func(string) time.Duration { return 900 * time.Millisecond }
				for i := range 20 {
					s.fleet.Add(runner.Upstream{
						Name: fmt.Sprintf("v%d", i), Service: "claims", Incarnation: 1, Capacity: packer.Amount{CPU: 16000, Memory: 65536},
						Labels: runner.JoinLabels([]string{fmt.Sprintf("rack-%d", i/5+1)}),
					}, 1)
				}
				s.SetUpstreams(s.fleet.List())
				s.runner.SetOwned(ctx, 2, s.fleet.List())
				time.Sleep(5 * time.Second)
				now := time.Now()
				s.SubmitKept(coordinator.Job{
					ID: "wide", Kind: "check", Service: "claims", Steps: []coordinator.Step{st},
					Arrived: now, Due: now.Add(1500 * time.Millisecond), MaxFailures: 3, Holder: "entry-1@1",
				})
				time.Sleep(6 * time.Second)
				k.mu.Lock()
				defer k.mu.Unlock()
				if at, ended := k.ended["wide"]; !ended || at.Sub(now) > 3*time.Second {
					t.Errorf("the job ended: %v, after %v; want within 3 s", ended, at.Sub(now))
				}
			})
		})
	}
}
