package composer

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/divider"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/watcher"
)

// leaseStore is a store that grants and renews leases while it is reachable. While it is
// stuck it answers neither writes nor reads; waiting counts these.
type leaseStore struct {
	platform.Store
	down    atomic.Bool
	stuck   atomic.Bool
	waiting atomic.Int64
}

func (s *leaseStore) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	if s.stuck.Load() {
		return platform.KeyValue{}, s.wait(ctx)
	}
	return platform.KeyValue{Key: key}, nil
}

// wait waits for an answer that does not come.
func (s *leaseStore) wait(ctx context.Context) error {
	s.waiting.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

var errStoreDown = errors.New("the store is down")

func (s *leaseStore) Grant(context.Context, int64) (int64, error) {
	if s.down.Load() {
		return 0, errStoreDown
	}
	return 1, nil
}

func (s *leaseStore) KeepAlive(context.Context, int64) (bool, error) {
	if s.down.Load() {
		return false, errStoreDown
	}
	return true, nil
}

func (s *leaseStore) Swap(ctx context.Context, _ ...platform.Write) (int64, error) {
	if s.stuck.Load() {
		return 0, s.wait(ctx)
	}
	if s.down.Load() {
		return 0, errStoreDown
	}
	return 1, nil
}

// Guards against tasks that run twice at the same time: an owner that is cut off from the
// store and from a kept job's holder let the job's runs go on, while another entry took
// the job over without it.
func TestUnregisteredOwnerStopsRunsOfUnreachableHolder(t *testing.T) {
	for name, c := range map[string]struct {
		storeDown, peerDown bool
		want                []string
	}{
		"cut off from both":     {true, true, nil},
		"store unreachable":     {true, false, []string{"a.0.0.0"}},
		"requester unreachable": {false, true, []string{"a.0.0.0"}},
	} {
		t.Run(name, func(t *testing.T) {
			withOwner(t, func(t *testing.T, e *Entry, f *simulator.Fleet) {
				e.Frame("entry-2", request(false, "entry-2@1", "a.0.0.0"))
				time.Sleep(50 * time.Millisecond)
				e.enroller.Store.(*leaseStore).down.Store(c.storeDown)
				if c.peerDown {
					e.Down("entry-2")
				}
				// The registration lasts 2 s from its last renewal.
				time.Sleep(2200 * time.Millisecond)
				if got := runningTasks(t, f); !slices.Equal(got, c.want) {
					t.Errorf("running are %v, want %v", got, c.want)
				}
			})
		})
	}
}

// The requester becomes unreachable after the registration has lapsed.
func TestUnregisteredOwnerStopsRunsOnceHolderIsUnreachable(t *testing.T) {
	withOwner(t, func(t *testing.T, e *Entry, f *simulator.Fleet) {
		e.Frame("entry-2", request(false, "entry-2@1", "a.0.0.0"))
		e.enroller.Store.(*leaseStore).down.Store(true)
		time.Sleep(5 * time.Second)
		e.Down("entry-2")
		time.Sleep(2 * cancelDelay)
		if got := runningTasks(t, f); len(got) > 0 {
			t.Errorf("running are %v, want none", got)
		}
	})
}

// Guards against a takeover that counts the answer of an entry that does not know its upstreams
// yet: it has just registered, or not read the list of upstreams.
func TestHolderIsRetiredOnceTheUpstreamsAreKnown(t *testing.T) {
	withOwner(t, func(t *testing.T, e *Entry, f *simulator.Fleet) {
		e.enroller.Changed = func() {}
		data, err := protojson.Marshal(e.self)
		if err != nil {
			t.Fatal(err)
		}
		e.enroller.Apply(watcher.Update{Revision: 1, Events: []platform.Event{
			{KeyValue: platform.KeyValue{Key: platform.EntryPrefix + e.Name, Value: data, Revision: 1}},
		}})
		var view atomic.Uint64
		e.retireHolder("entry-2", "entry-3@1", func(v divider.View) { view.Store(uint64(v)) })
		time.Sleep(time.Second)
		if v := view.Load(); v != 0 || !e.enroller.Registered() {
			t.Errorf("answered with the view %d (registered: %v) before the upstreams are known", v, e.enroller.Registered())
		}
		e.assignUpstreams()
		time.Sleep(time.Second)
		if v := view.Load(); v != 0 {
			t.Errorf("answered with the view %d before the list of upstreams is known", v)
		}
		e.roster.Decode = func(string, []byte) (runner.Upstream, error) { return f.List()[0], nil }
		e.roster.Apply(watcher.Update{Reset: true, Revision: 1, Events: []platform.Event{{KeyValue: platform.KeyValue{Key: "u1", Revision: 1}}}})
		time.Sleep(time.Second)
		if view.Load() == 0 {
			t.Error("not answered, or without a view, once the upstreams are known")
		}
	})
}
