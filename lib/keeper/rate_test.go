package keeper_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
)

// At the users' job rates, kept jobs must use less than half of the store's writes,
// and the median time to an acceptance must not exceed 30 ms.
func TestWriteRates(t *testing.T) {
	for _, c := range []struct {
		entries, upstreams, jobs, writes, number int
	}{
		{7, 48, 140, 400, 420}, {30, 350, 840, 1200, 420},
	} {
		t.Run(fmt.Sprintf("%d jobs a second", c.jobs), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newCluster(t, 1, c.entries, c.upstreams)
				defer w.stop()
				w.fleet.SetRunTime(func(string) time.Duration { return 60 * time.Millisecond })
				w.interval = time.Duration(float64(c.entries) / (commitShare * float64(c.writes)) * float64(time.Second))
				nodes := w.alive()
				before := w.store.transactionCount()
				var mu sync.Mutex
				var latencies []time.Duration
				var work sync.WaitGroup
				start := time.Now()
				for i := range c.number {
					work.Go(func() {
						submitted := time.Now()
						if nodes[w.pick(len(nodes))].submit(fmt.Sprintf("j%05d", i), 1) != coordinator.Accepted {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						latencies = append(latencies, time.Since(submitted))
					})
					time.Sleep(time.Second / time.Duration(c.jobs))
				}
				work.Wait()
				rate := int(float64(w.store.transactionCount()-before) / time.Since(start).Seconds())
				slices.Sort(latencies)
				median := latencies[len(latencies)/2]
				t.Logf("%d of %d jobs accepted, %d transactions a second, median %v", len(latencies), c.number, rate, median)
				if rate > c.writes/2 || median > 30*time.Millisecond || len(latencies) < c.number {
					t.Errorf("want all jobs accepted, at most %d transactions a second and a median of at most 30 ms", c.writes/2)
				}
			})
		})
	}
}

// commitShare is the part of the store's writes that goes to kept jobs, as in
// radishweir's composer.
const commitShare = 0.49

// pick returns a random number below n.
func (w *cluster) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}
