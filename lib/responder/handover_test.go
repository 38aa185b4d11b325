package responder

import (
	"testing"

	"github.com/rs/zerolog"

	"radishweir.org/lib/placer"
	"radishweir.org/lib/tracker"
	"radishweir.org/lib/wire"
)

// TestHandoverToDrainingEntry guards against shards that come back to an entry that
// has handed them over and stops, which a peer that just started did not know.
func TestHandoverToDrainingEntry(t *testing.T) {
	for _, draining := range []bool{false, true} {
		self := &wire.Registration{Name: "entry-2", Incarnation: "i2", FailureDomain: "north"}
		tr := &tracker.Tracker{Self: "entry-2", Log: zerolog.Nop()}
		p := &placer.Placer{Self: self, Tracker: tr, Log: zerolog.Nop()}
		table := &wire.ShardTable{FailureDomain: "north", Version: 1}
		for range placer.ShardsPerDomain {
			table.Shards = append(table.Shards, &wire.ShardOwner{Name: "entry-1", Incarnation: "i1", Epoch: 1})
		}
		p.Offer(&wire.ConfigurationSet{Tables: []*wire.ShardTable{table}})
		r := &Responder{Self: self, Placer: p, Tracker: tr, Heartbeat: func() *wire.Heartbeat {
			return &wire.Heartbeat{Name: "entry-2", Incarnation: "i2", Draining: draining}
		}}
		h := &wire.Handover{Id: "h", Shards: []*wire.ShardRecords{{Shard: "north/0", Epoch: 1}}}
		reply := r.Handle(t.Context(), "entry-1", &wire.Envelope{Body: &wire.Envelope_Handover{Handover: h}})
		if refused := reply.GetRefusal() != ""; refused != draining {
			t.Errorf("draining %v: the reply to a handover is %v", draining, reply)
		}
	}
}
