package coordinator_test

import (
	"testing"

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
