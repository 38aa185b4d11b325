package roster_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/roster"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/watcher"
)

func newRoster() *roster.Roster {
	return &roster.Roster{
		Decode: func(key string, value []byte) (runner.Upstream, error) {
			if string(value) == "broken" {
				return runner.Upstream{}, errors.New("broken")
			}
			return runner.Upstream{Name: key, Leaving: string(value) == "leaving"}, nil
		},
		Changed: func() {}, Log: zerolog.Nop(),
	}
}

// put returns the event of a new or changed registration.
func put(key, value string) platform.Event {
	return platform.Event{KeyValue: platform.KeyValue{Key: key, Value: []byte(value)}}
}

// drop returns the event of a removed registration.
func drop(key string) platform.Event {
	return platform.Event{KeyValue: platform.KeyValue{Key: key}, Deleted: true}
}

// update returns an update, of the whole list if reset is set.
func update(reset bool, events ...platform.Event) watcher.Update {
	return watcher.Update{Reset: reset, Events: events}
}

func TestListFollowsTheStore(t *testing.T) {
	r := newRoster()
	r.Apply(update(true, put("a", ""), put("b", ""), put("x", "broken")))
	if n := len(r.Upstreams()); n != 2 {
		t.Fatalf("%d upstreams, want 2", n)
	}
	r.Apply(update(false, put("a", "leaving"), drop("b")))
	got := r.Upstreams()
	if len(got) != 1 || !got[0].Leaving {
		t.Errorf("got %v, want only the leaving upstream a", got)
	}
	r.Apply(update(false, put("a", "broken")))
	if n := len(r.Upstreams()); n != 0 {
		t.Errorf("%d upstreams after an unreadable registration, want 0", n)
	}
}

// Registrations that expired during an outage stay listed for outageGrace and are
// removed then unless they are back.
func TestLapsedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster()
		r.Apply(update(true, put("a", ""), put("b", ""), put("c", "")))
		time.Sleep(time.Minute)
		r.Apply(update(true, put("a", "")))
		r.Apply(update(false, drop("b")))
		if n := len(r.Upstreams()); n != 3 {
			t.Errorf("%d upstreams right after the outage, want 3", n)
		}
		time.Sleep(1900 * time.Millisecond)
		r.Apply(update(false, put("b", "")))
		time.Sleep(time.Second)
		if n := len(r.Upstreams()); n != 2 {
			t.Errorf("%d upstreams after outageGrace, want 2", n)
		}
		r.Apply(update(false, drop("b")))
		if n := len(r.Upstreams()); n != 1 {
			t.Errorf("%d upstreams after an ordinary removal, want 1", n)
		}
	})
}
