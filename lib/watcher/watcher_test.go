package watcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
)

// outage is a store that is unavailable until a given time; afterwards each
// list takes the time slow. It counts all lists, and those after the outage by
// second.
type outage struct {
	platform.Store
	until time.Time
	slow  time.Duration

	mu    sync.Mutex
	calls int
	lists map[int64]int
}

func (o *outage) List(ctx context.Context, _ string) (platform.Snapshot, error) {
	o.mu.Lock()
	o.calls++
	if time.Now().After(o.until) {
		o.lists[time.Now().Unix()]++
	}
	o.mu.Unlock()
	if time.Now().Before(o.until) {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	select {
	case <-time.After(o.slow):
	case <-ctx.Done():
		return platform.Snapshot{}, platform.ErrUnknown
	}
	return platform.Snapshot{Revision: 7, KeyValues: []platform.KeyValue{{Key: platform.EntryPrefix + "a"}}}, nil
}

func (*outage) Watch(ctx context.Context, _ string, _ int64, _ func([]platform.Event, int64)) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestHourOfOutage runs 50 entries through an hour without the platform. They
// must make few calls during the outage; at most half may list in the same
// second after it, and all must be connected again within 10 s.
func TestHourOfOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &outage{until: time.Now().Add(time.Hour), slow: time.Second, lists: map[int64]int{}}
		ctx, cancel := context.WithCancel(t.Context())
		const entries = 50
		var watchers []*Watcher
		var wg sync.WaitGroup
		resets := 0
		for range entries {
			w := &Watcher{Store: o, Prefix: platform.Prefix, Log: zerolog.Nop()}
			w.On(platform.EntryPrefix, func(u Update) {
				o.mu.Lock()
				defer o.mu.Unlock()
				if u.Reset && len(u.Events) == 1 {
					resets++
				}
			})
			watchers = append(watchers, w)
			wg.Go(func() { w.Run(ctx) })
		}
		time.Sleep(time.Hour - time.Second)
		o.mu.Lock()
		perMinute := float64(o.calls) / entries / 60
		o.mu.Unlock()
		if perMinute > 15 {
			t.Errorf("%.1f calls per minute and entry during the outage", perMinute)
		}
		time.Sleep(11 * time.Second)
		for _, w := range watchers {
			if !w.Connected() {
				t.Error("an entry is not connected 10 s after the end of the outage")
			}
		}
		o.mu.Lock()
		most := 0
		for _, n := range o.lists {
			most = max(most, n)
		}
		if most > entries/2 || resets != entries {
			t.Errorf("%d of %d entries reconnected in one second, %d resets", most, entries, resets)
		}
		o.mu.Unlock()
		cancel()
		wg.Wait()
	})
}
