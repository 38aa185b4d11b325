package composer

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/simulator"
)

// leaseStore is a store that grants and renews leases while it is reachable.
type leaseStore struct {
	platform.Store
	down atomic.Bool
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

func (s *leaseStore) Swap(context.Context, ...platform.Write) (int64, error) {
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
