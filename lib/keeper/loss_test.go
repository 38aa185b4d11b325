package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/simulator"
)

// cutUpstreams makes the first n upstreams unreachable for a time.
func (c *cluster) cutUpstreams(n int, d time.Duration) {
	for i := range n {
		name := fmt.Sprintf("u%02d", i)
		c.fleet.Update(name, func(u *simulator.Upstream) { u.Unreachable = true })
		time.AfterFunc(d, func() {
			c.fleet.Update(name, func(u *simulator.Upstream) { u.Unreachable = false })
		})
	}
}

// Guards against LOST: a task waits for ever if its lost upstream answers again before the
// store has taken the loss.
func TestTaskWhoseUpstreamIsBackBeforeItsLossIsStored(t *testing.T) {
	for _, rounds := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d outages", rounds), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 12, 3, 6)
				defer c.stop()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c.followList(ctx)
				c.fleet.SetRunTime(func(string) time.Duration { return 2500 * time.Millisecond })
				var accepted []string
				for i := range 6 {
					id := fmt.Sprintf("j%d", i)
					if s := c.alive()[i%3].submit(id, 1); s != coordinator.Accepted {
						t.Fatalf("submitted job: state %v, want accepted", s)
					}
					accepted = append(accepted, id)
				}
				for range rounds {
					c.store.setDown(true)
					c.cutUpstreams(3, 3*time.Second)
					time.Sleep(4500 * time.Millisecond)
					c.store.setDown(false)
					// The losses may be stored, and their tasks started, before the next outage.
					time.Sleep(500 * time.Millisecond)
				}
				c.checkJobs(accepted, nil, 20*time.Second)
			})
		})
	}
}
