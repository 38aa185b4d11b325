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
	for _, tt := range []struct {
		entries, upstreams, jobsPerSecond, writesPerSecond, totalJobs int
	}{
		{7, 48, 140, 400, 420}, {30, 350, 840, 1200, 420},
	} {
		t.Run(fmt.Sprintf("%d jobs a second", tt.jobsPerSecond), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 1, tt.entries, tt.upstreams)
				defer c.stop()
				c.fleet.SetRunTime(func(string) time.Duration { return 60 * time.Millisecond })
				c.interval = time.Duration(float64(tt.entries) / (commitShare * float64(tt.writesPerSecond)) * float64(time.Second))
				nodes := c.alive()
				before := c.store.transactionCount()
				var mu sync.Mutex
				var latencies []time.Duration
				var submissions sync.WaitGroup
				start := time.Now()
				for i := range tt.totalJobs {
					submissions.Go(func() {
						submitted := time.Now()
						if nodes[c.pick(len(nodes))].submit(fmt.Sprintf("j%05d", i), 1) != coordinator.Accepted {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						latencies = append(latencies, time.Since(submitted))
					})
					time.Sleep(time.Second / time.Duration(tt.jobsPerSecond))
				}
				submissions.Wait()
				rate := int(float64(c.store.transactionCount()-before) / time.Since(start).Seconds())
				slices.Sort(latencies)
				median := latencies[len(latencies)/2]
				t.Logf("%d of %d jobs accepted, %d transactions a second, median %v", len(latencies), tt.totalJobs, rate, median)
				if rate > tt.writesPerSecond/2 || median > 30*time.Millisecond || len(latencies) < tt.totalJobs {
					t.Errorf("want all jobs accepted, at most %d transactions a second and a median of at most 30 ms", tt.writesPerSecond/2)
				}
			})
		})
	}
}

// commitShare is the part of the store's writes that goes to kept jobs, as in
// radishweir's composer.
const commitShare = 0.49

// pick returns a random number below n.
func (c *cluster) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}
