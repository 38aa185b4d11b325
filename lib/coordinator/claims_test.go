package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// A peer may report an upstream that it owns before this entry has read the list
// from the store. The report must be kept, as the peer sends the next one only
// when the upstream's state changes.
func TestReportBeforeUpstreamIsListed(t *testing.T) {
	c := &coordinator.Coordinator{Self: "entry-1", Remote: noPeers{}, Log: zerolog.Nop()}
	c.Init(t.Context())
	c.PeerUp("entry-2", 1)
	free := packer.Amount{CPU: 16000, Memory: 65536}
	c.UpdateStates("entry-2", true, []*wire.UpstreamState{{Upstream: "u1", Token: 5, Usable: true, Free: runner.AmountToWire(free), Slowness: 1}})
	if views := c.Views(); len(views) != 0 {
		t.Errorf("Views contains an upstream that is not listed: %+v", views)
	}
	list := []runner.Upstream{{Name: "u1", Service: "claims", Capacity: free}}
	c.SetUpstreams(list)
	views := c.Views()
	if len(views) != 1 || views[0].Owner != "entry-2" || !views[0].Usable || views[0].Free != free {
		t.Errorf("after the upstream was listed: Views = %+v, want entry-2 as its owner", views)
	}
	c.SetUpstreams(nil)
	c.SetUpstreams(list)
	if views := c.Views(); len(views) != 1 || views[0].Owner != "entry-2" || !views[0].Usable {
		t.Errorf("after the upstream was unlisted for a moment: Views = %+v, want entry-2 as its owner", views)
	}
}

// When an entry gives an upstream up that it claimed while the failure domain of the former
// owner was cut off, the former owner's claim must hold again, although its token is lower.
func TestFormerOwnerIsKnownAgainAfterLaterOneGaveUp(t *testing.T) {
	c := &coordinator.Coordinator{Self: "entry-1", Remote: noPeers{}, Log: zerolog.Nop()}
	c.Init(t.Context())
	free := packer.Amount{CPU: 16000, Memory: 65536}
	c.SetUpstreams([]runner.Upstream{{Name: "u1", Service: "claims", Capacity: free}})
	c.PeerUp("entry-2", 1)
	c.PeerUp("entry-3", 1)
	report := func(owner string, token int64) {
		c.UpdateStates(owner, false, []*wire.UpstreamState{{Upstream: "u1", Token: token, Usable: token != 0, Free: runner.AmountToWire(free), Slowness: 1}})
	}
	report("entry-2", 5)
	report("entry-3", 9)
	report("entry-2", 5)
	if v := c.Views(); v[0].Owner != "entry-3" {
		t.Errorf("owner %s after a higher claim, want entry-3", v[0].Owner)
	}
	report("entry-3", 0)
	report("entry-2", 5)
	if v := c.Views(); v[0].Owner != "entry-2" || !v[0].Usable {
		t.Errorf("Views = %+v after the higher claim was given up, want entry-2 as the owner", v)
	}
	report("entry-3", 9)
	if v := c.Views(); v[0].Owner != "entry-3" {
		t.Errorf("owner %s after a new higher claim, want entry-3", v[0].Owner)
	}
}

func TestRunIsNotLostWithASilenceBeforeItsOwnersClaim(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		sent := &recordedRequests{}
		c := &coordinator.Coordinator{Self: "entry-1", PeerTimeout: 350 * time.Millisecond, Remote: sent, Log: zerolog.Nop()}
		c.Init(ctx)
		go c.Run(ctx)
		c.SetUpstreams([]runner.Upstream{
			{Name: "u0", Service: "claims", Capacity: packer.Amount{CPU: 16000, Memory: 1000}},
			{Name: "u1", Service: "claims", Capacity: packer.Amount{CPU: 16000, Memory: 1000}},
		})
		claim := func(owner, upstream string, token int64) {
			c.UpdateStates(owner, false, []*wire.UpstreamState{{
				Upstream: upstream, Free: &wire.Amount{Cpu: 16000, Memory: 1000}, Slowness: 1, Usable: true, Token: token,
			}})
		}
		c.PeerUp("entry-2", 1)
		claim("entry-2", "u0", 1)
		c.PeerDown("entry-2")
		silence := time.Now()
		c.PeerUp("entry-3", 1)
		claim("entry-3", "u0", 2)
		go c.Submit(ctx, coordinator.Job{
			ID: "a", Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: 1, Need: need, Expected: 5 * time.Second}},
			Arrived: silence, Due: silence.Add(10 * time.Second), Deadline: silence.Add(20 * time.Second), MaxFailures: 3,
		})
		time.Sleep(1500 * time.Millisecond)
		claim("entry-3", "u1", 3)
		// The states of entry-2 arrive before both directions work again.
		claim("entry-2", "u0", 4)
		claimed := time.Now()
		time.Sleep(1600 * time.Millisecond)
		if q, n := sent.last(); n != 1 {
			t.Errorf("%v after the claim run %d was requested on %s, the first may be at work", time.Since(claimed), q.GetRun(), q.GetUpstream())
		}
		time.Sleep(2 * time.Second)
		if q, n := sent.last(); n != 2 || q.GetUpstream() != "u1" || q.GetRun() != 2 {
			t.Errorf("%d requests, the last for run %d on %s, want the second run on u1 once entry-2 is silent for long", n, q.GetRun(), q.GetUpstream())
		}
	})
}

func TestLostRunStartsAgainAtOnce(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		sent := &recordedRequests{}
		c := &coordinator.Coordinator{Self: "entry-1", PeerTimeout: 350 * time.Millisecond, Remote: sent, Log: zerolog.Nop()}
		c.Init(ctx)
		go c.Run(ctx)
		var list []runner.Upstream
		for _, name := range []string{"u2", "u3"} {
			list = append(list, runner.Upstream{Name: name, Service: "claims", Capacity: packer.Amount{CPU: 16000, Memory: 1000}})
		}
		c.SetUpstreams(list)
		c.PeerUp("entry-2", 1)
		c.UpdateStates("entry-2", true, []*wire.UpstreamState{{Upstream: "u2", Free: &wire.Amount{Cpu: 16000, Memory: 1000}, Slowness: 1, Usable: true, Token: 1}})
		now := time.Now()
		go c.Submit(ctx, coordinator.Job{
			ID: "a", Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: 1, Need: need, Expected: 5 * time.Second}},
			Arrived: now, Due: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second), MaxFailures: 3,
		})
		time.Sleep(50 * time.Millisecond)
		c.PeerDown("entry-2")
		c.PeerUp("entry-3", 1)
		c.UpdateStates("entry-3", true, []*wire.UpstreamState{{Upstream: "u3", Free: &wire.Amount{Cpu: 16000, Memory: 1000}, Slowness: 1, Usable: true, Token: 2}})
		time.Sleep(1700 * time.Millisecond)
		if q, n := sent.last(); n != 2 || q.GetUpstream() != "u3" {
			t.Errorf("%d requests, the last on %s, want the second on u3 as soon as the first run is lost", n, q.GetUpstream())
		}
	})
}

// A cut failure domain keeps its upstreams, while outside they vanish from the list.
func TestKeptRunInCutFailureDomainIsNotLostWithItsRegistration(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		sent := &recordedRequests{}
		c := &coordinator.Coordinator{Self: "entry-1", PeerTimeout: 350 * time.Millisecond, Remote: sent, Log: zerolog.Nop()}
		c.Keeper = &memoryKeeper{ended: make(map[string]time.Time)}
		c.Init(ctx)
		go c.Run(ctx)
		inside := runner.Upstream{Name: "u0", Service: "claims", Capacity: fullCapacity}
		outside := runner.Upstream{Name: "u1", Service: "claims", Capacity: fullCapacity}
		c.SetUpstreams([]runner.Upstream{inside, outside})
		report := func(owner, upstream string, token int64, answering bool) {
			c.UpdateStates(owner, false, []*wire.UpstreamState{{
				Upstream: upstream, Free: runner.AmountToWire(fullCapacity), Slowness: 1, Usable: answering, Answering: answering, Token: token,
			}})
		}
		c.PeerUp("entry-2", 1)
		c.PeerUp("entry-3", 1)
		report("entry-2", "u0", 1, true)
		c.SubmitKept(keptJob("a", need, time.Minute))
		time.Sleep(50 * time.Millisecond)
		c.PeerDown("entry-2")
		report("entry-3", "u1", 1, true)
		time.Sleep(2 * time.Second)
		report("entry-3", "u0", 2, false)
		time.Sleep(2 * time.Second)
		c.SetUpstreams([]runner.Upstream{outside})
		report("entry-3", "u0", 0, false)
		time.Sleep(5 * time.Second)
		for _, q := range sent.requests() {
			if !q.GetAttach() && q.GetRun() > 1 {
				t.Errorf("run %d was requested on %s, the first may be at work", q.GetRun(), q.GetUpstream())
			}
		}
	})
}
