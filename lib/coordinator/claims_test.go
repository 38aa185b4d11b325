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
