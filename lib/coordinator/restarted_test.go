package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// Upstreams restart just before they get a task, and are cut off a second later.
func TestCutUpstreamThatRestartedBeforeTheTaskDidNotCrashUnderIt(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		sent := &recordedRequests{}
		c := &coordinator.Coordinator{Self: "entry-1", PeerTimeout: 350 * time.Millisecond, Remote: sent, Log: zerolog.Nop()}
		c.Init(ctx)
		go c.Run(ctx)
		var list []runner.Upstream
		for _, name := range []string{"u0", "u1", "u2"} {
			list = append(list, runner.Upstream{Name: name, Service: "claims", Incarnation: 1, Capacity: fullCapacity})
		}
		c.SetUpstreams(list)
		report := func(upstream string, incarnation int64, answering bool) {
			c.UpdateStates("entry-2", false, []*wire.UpstreamState{{
				Upstream: upstream, Free: runner.AmountToWire(fullCapacity), Slowness: 1, Usable: answering, Answering: answering,
				Incarnation: incarnation, Token: 1,
			}})
		}
		c.PeerUp("entry-2", 1)
		for _, u := range list {
			report(u.Name, 1, true)
		}
		now, answer := time.Now(), make(chan coordinator.Answer, 1)
		go func() {
			answer <- c.Submit(ctx, coordinator.Job{
				ID: "a", Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: 1, Need: need, Expected: 5 * time.Second}},
				Arrived: now, Due: now.Add(time.Minute), Deadline: now.Add(time.Minute), MaxFailures: 3,
			})
		}()
		for round := range 2 {
			time.Sleep(100 * time.Millisecond)
			q, n := sent.last()
			if n != round+1 {
				t.Fatalf("%d requests before loss %d", n, round+1)
			}
			report(q.GetUpstream(), 2, true)
			time.Sleep(time.Second)
			report(q.GetUpstream(), 2, false)
			c.RunEnded("entry-2", &wire.RunEnd{Task: q.GetTask(), Run: q.GetRun(), Upstream: q.GetUpstream(), Cause: wire.RunEnd_lost, Begun: true})
		}
		time.Sleep(time.Second)
		for _, u := range list {
			report(u.Name, 2, true)
		}
		time.Sleep(2 * time.Second)
		select {
		case a := <-answer:
			t.Errorf("the job ended as %v (%s) under upstreams that are alive", a.State, a.Reason)
		default:
		}
		if _, n := sent.last(); n != 3 {
			t.Errorf("%d requests once the upstreams answer again, want 3", n)
		}
	})
}
