package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/wire"
)

// downStore fails each call after half a second.
type downStore struct{ platform.Store }

func (downStore) Get(context.Context, string) (platform.KeyValue, error) {
	time.Sleep(500 * time.Millisecond)
	return platform.KeyValue{}, platform.ErrUnavailable
}

func (downStore) Swap(context.Context, ...platform.Write) (int64, error) {
	time.Sleep(500 * time.Millisecond)
	return 0, platform.ErrUnavailable
}

// TestNoHandoverBeginsInOutage guards against shards that start no job while the platform
// is down, because a handover that cannot be written has paused them.
func TestNoHandoverBeginsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &pauses{paused: map[Shard]bool{}}
		var list []registrar.Member
		for _, n := range []string{"a", "b"} {
			g := &wire.Registration{Name: n, Incarnation: n + "-1", FailureDomain: "north"}
			list = append(list, registrar.Member{Registration: g, Registered: true, ReachableUntil: time.Now().Add(time.Hour)})
		}
		p := &Placer{Self: list[0].Registration, Store: downStore{}, Members: fixedMembers{list}, Tracker: k, Caller: accepting{}, Log: zerolog.Nop()}
		table := &wire.ShardTable{FailureDomain: "north", Version: 1}
		for range ShardsPerDomain {
			table.Shards = append(table.Shards, &wire.ShardOwner{Name: "a", Incarnation: "a-1", Epoch: 1})
		}
		p.Offer(&wire.ConfigurationSet{Tables: []*wire.ShardTable{table}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		most := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			most = max(most, k.count())
		}
		if most > 0 {
			t.Errorf("up to %d of %d shards paused in the outage, want none", most, ShardsPerDomain)
		}
		cancel()
		<-done
		if err := p.Drain(t.Context()); err == nil || k.count() > 0 {
			t.Errorf("drain in the outage: %v, %d shards paused; want an error and none", err, k.count())
		}
	})
}
