package keeper_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/simulator"
)

// followList tells all entries of changes of the upstreams' registrations until ctx
// ends.
func (c *cluster) followList(ctx context.Context) {
	go func() {
		last := fmt.Sprint(c.fleet.List())
		for ctx.Err() == nil {
			time.Sleep(400 * time.Millisecond)
			if list := fmt.Sprint(c.fleet.List()); list != last {
				last = list
				for _, n := range c.alive() {
					n.SetUpstreams(c.fleet.List())
				}
				c.assignUpstreams()
			}
		}
	}()
}

// stateOf returns the state of a job as some running entry tells it.
func (c *cluster) stateOf(id string) string {
	state, err := c.alive()[0].keeper.State(c.t.Context(), id)
	if err != nil {
		c.t.Errorf("state of %s: %v", id, err)
	}
	return state
}

// isDeadly makes all tasks of the jobs whose names begin with "deadly" deadly.
func isDeadly(task string) bool { return strings.HasPrefix(task, "deadly") }

// A job with a task that crashes its upstreams must fail after few starts, and the jobs
// beside it must complete, also if the entry that holds them is killed in between.
func TestTaskThatCrashesItsUpstreamsIsGivenUp(t *testing.T) {
	t.Run("same name", func(t *testing.T) { testDeadlyTask(t, false) })
	t.Run("other name", func(t *testing.T) { testDeadlyTask(t, true) })
}

// testDeadlyTask runs a job with deadly tasks beside others; with renames, upstreams come
// back under other names.
func testDeadlyTask(t *testing.T, renames bool) {
	// A loss that the killed entry did not learn of is not counted.
	for killAfter, most := range map[time.Duration]int{
		0: 2, 100 * time.Millisecond: 3, 1500 * time.Millisecond: 3, 3 * time.Second: 3, 4 * time.Second: 2, 6 * time.Second: 2,
	} {
		t.Run(killAfter.String(), func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				c := newCluster(t, 7, 3, 12)
				defer c.stop()
				c.fleet.Renames = renames
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c.followList(ctx)
				c.fleet.SetDeadly(isDeadly)
				n := c.alive()[0]
				var accepted []string
				for i := range 8 {
					id := fmt.Sprintf("a%d", i)
					if i == 3 {
						id = "deadly"
					}
					if s := n.submit(id, 1+i%2); s != coordinator.Accepted {
						t.Fatalf("submitted job %s: state %v, want accepted", id, s)
					}
					if id != "deadly" {
						accepted = append(accepted, id)
					}
				}
				if killAfter > 0 {
					time.Sleep(killAfter)
					c.kill(n.name)
				}
				c.checkJobs(accepted, nil, 30*time.Second)
				time.Sleep(30 * time.Second)
				if s := c.stateOf("deadly"); s != "failed" {
					t.Errorf("job with a deadly task: state %q, want failed", s)
				}
				for i := range 2 {
					if s := c.fleet.Starts(fmt.Sprintf("deadly.0.0.%d", i)); s > most {
						t.Errorf("deadly task %d was started %d times, want at most %d", i, s, most)
					}
				}
			})
		})
	}
}

// A task must complete although each upstream that starts it is cut off for a while, three
// times in a row.
func TestTaskFollowedByCutsIsNotGivenUp(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 10, 3, 12)
		defer c.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c.followList(ctx)
		c.fleet.SetRunTime(func(string) time.Duration { return 900 * time.Millisecond })
		started := make(map[string]int)
		if s := c.alive()[0].submit("a", 1); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		cuts := 0
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			for _, u := range c.fleet.List() {
				c.fleet.Update(u.Name, func(u *simulator.Upstream) {
					if u.Started > started[u.Name] && cuts < 3 {
						cuts++
						u.Unreachable = true
						time.AfterFunc(6*time.Second, func() {
							c.fleet.Update(u.Name, func(u *simulator.Upstream) { u.Unreachable = false })
						})
					}
					started[u.Name] = u.Started
				})
			}
		}
		if cuts < 3 {
			t.Errorf("%d upstreams were cut off under the task, want 3", cuts)
		}
		c.checkJobs([]string{"a"}, nil, 10*time.Second)
	})
}

// Tasks on upstreams that are cut off, again and again, must complete.
func TestTasksOnCutUpstreamsAreNotGivenUp(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 8, 3, 12)
		defer c.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c.followList(ctx)
		c.fleet.SetRunTime(func(string) time.Duration { return 900 * time.Millisecond })
		var accepted []string
		for round := range 8 {
			for i, n := range c.alive() {
				id := fmt.Sprintf("j%d-%d", round, i)
				if n.submit(id, 3) == coordinator.Accepted {
					accepted = append(accepted, id)
				}
			}
			time.Sleep(200 * time.Millisecond)
			for i := range 6 {
				name := fmt.Sprintf("u%02d", (6*(round%2)+i)%12)
				c.fleet.Update(name, func(u *simulator.Upstream) { u.Unreachable = true })
				time.AfterFunc(1800*time.Millisecond, func() {
					c.fleet.Update(name, func(u *simulator.Upstream) { u.Unreachable = false })
				})
			}
			time.Sleep(1600 * time.Millisecond)
		}
		c.checkJobs(accepted, nil, 40*time.Second)
	})
}

// A run must be started again if its upstream and the owner of that upstream go down
// together, and the upstream never comes back under its name.
func TestRunAtVanishedUpstreamIsStartedAgain(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 9, 3, 6)
		defer c.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c.followList(ctx)
		c.fleet.SetRunTime(func(string) time.Duration { return 2 * time.Second })
		n := c.alive()[0]
		if s := n.submit("a", 8); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		time.Sleep(300 * time.Millisecond)
		victim := c.alive()[2]
		for _, s := range victim.runner.States() {
			c.fleet.Update(s.GetUpstream(), func(u *simulator.Upstream) { u.Unreachable = true })
			time.AfterFunc(4500*time.Millisecond, func() { c.fleet.Remove(s.GetUpstream()) })
		}
		c.kill(victim.name)
		time.AfterFunc(500*time.Millisecond, func() { c.start(victim.name) })
		c.checkJobs([]string{"a"}, nil, 30*time.Second)
	})
}
