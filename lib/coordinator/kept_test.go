package coordinator_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
)

// memoryKeeper is a coordinator.Keeper that only notes which jobs ended, and when.
type memoryKeeper struct {
	mu    sync.Mutex
	ended map[string]time.Time
}

func (k *memoryKeeper) Holder() string { return "entry-1@1" }

func (k *memoryKeeper) TaskEnded(string, uint32, bool, coordinator.End) {}

func (k *memoryKeeper) UpstreamLost(string, uint32, []coordinator.LostUpstream) {}

func (k *memoryKeeper) JobEnded(job string, _ coordinator.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended[job] = time.Now()
}

func (k *memoryKeeper) OrphanedEnd(string, int, int, bool, string, coordinator.End) {}

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
