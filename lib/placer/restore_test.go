package placer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// unansweredStore holds one key. No write gets an answer, and the first read of the key
// gets it a second after the store was read.
type unansweredStore struct {
	platform.Store
	mu   sync.Mutex
	kv   platform.KeyValue
	read bool
}

func (s *unansweredStore) Get(context.Context, string) (platform.KeyValue, error) {
	s.mu.Lock()
	kv, first := s.kv, s.kv.Revision > 0 && !s.read
	s.read = s.read || first
	s.mu.Unlock()
	if first {
		time.Sleep(time.Second)
	}
	return kv, nil
}

func (s *unansweredStore) Swap(_ context.Context, w ...platform.Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w[0].Expected == s.kv.Revision {
		s.kv = platform.KeyValue{Key: w[0].Key, Value: w[0].Value, Revision: s.kv.Revision + 1}
	}
	return 0, platform.ErrUnknown
}

// table returns the stored table and its revision.
func (s *unansweredStore) table(t *testing.T) (*wire.ShardTable, platform.KeyValue) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &wire.ShardTable{}
	if err := protojson.Unmarshal(s.kv.Value, out); err != nil {
		t.Fatal(err)
	}
	return out, s.kv
}

// TestStaleReadWhileWritesAreUnanswered guards against a home that never changes the
// table again: a read that was answered after the watch had reported a newer table made
// the newer one count as lost, and each attempt to write it again failed without an
// answer.
func TestStaleReadWhileWritesAreUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list []registrar.Member
		for _, n := range []string{"a", "b", "c"} {
			g := &wire.Registration{Name: n, Incarnation: n + "-1", FailureDomain: "north"}
			list = append(list, registrar.Member{Registration: g, Registered: true, ReachableUntil: time.Now().Add(time.Hour)})
		}
		store, members := &unansweredStore{}, &fixedMembers{list[:2]}
		p := &Placer{Self: list[0].Registration, Store: store, Members: members, Tracker: &pauses{paused: map[Shard]bool{}}, Caller: accepting{}, Log: zerolog.Nop()}
		first := &wire.ShardTable{FailureDomain: "north", Version: 1}
		for range ShardsPerDomain {
			first.Shards = append(first.Shards, &wire.ShardOwner{Name: "a", Incarnation: "a-1", Epoch: 1})
		}
		p.Offer(&wire.ConfigurationSet{Tables: []*wire.ShardTable{first}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		synctest.Wait()

		// The home has handed shards to b and is reading the outcome when b hands half of
		// its shards to c, which the watch reports first.
		next, kv := store.table(t)
		moved := 0
		for _, o := range next.GetShards() {
			if o.GetName() == "b" && moved < ShardsPerDomain/4 {
				o.Name, o.Incarnation = "c", "c-1"
				moved++
			}
		}
		if moved != ShardsPerDomain/4 {
			t.Fatalf("%d shards of b moved to c, want %d", moved, ShardsPerDomain/4)
		}
		next.Version++
		data, err := protojson.Marshal(next)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = store.Swap(ctx, platform.Write{Key: kv.Key, Value: data, Expected: kv.Revision})
		_, kv = store.table(t)
		members.list = list
		p.Apply(watcher.Update{Events: []platform.Event{{KeyValue: kv}}})

		time.Sleep(20 * time.Second)
		last, _ := store.table(t)
		if n := p.shardCounts(last)["a"]; n > ShardsPerDomain/3+1 {
			t.Errorf("a is the home of %d of %d shards after 20 s, want at most a third", n, ShardsPerDomain)
		}
		cancel()
		<-done
	})
}
