package evacuator_test

import (
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"radishweir.org/lib/evacuator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

const prefix = "evacuations/"

// request returns the event of a request to evacuate a failure domain.
func request(domain string, revision int64) platform.Event {
	return platform.Event{KeyValue: platform.KeyValue{Key: prefix + domain, Revision: revision}}
}

// withdrawal returns the event of the removal of such a request.
func withdrawal(domain string, revision int64) platform.Event {
	e := request(domain, revision)
	e.Deleted = true
	return e
}

// counted is an evacuator that counts its changes.
type counted struct {
	evacuator.Evacuator
	changes int
}

func newCounted() *counted {
	c := &counted{}
	c.Evacuator = evacuator.Evacuator{Prefix: prefix, Changed: func() { c.changes++ }, Log: zerolog.Nop()}
	return c
}

// check fails the test unless exactly the given failure domains are evacuated.
func (c *counted) check(t *testing.T, want ...string) {
	t.Helper()
	if got := c.Message().GetDomains(); !slices.Equal(got, want) {
		t.Errorf("evacuated are %v, want %v", got, want)
	}
}

// A restarted entry must not start runs in a failure domain whose evacuation it has not
// read yet.
func TestEverythingIsEvacuatedUntilTheFirstRead(t *testing.T) {
	e := newCounted()
	if !e.Evacuated("a") {
		t.Error("failure domain a takes runs before the first read")
	}
	e.Apply(watcher.Update{Reset: true, Revision: 4})
	if e.Evacuated("a") || e.changes != 1 {
		t.Errorf("evacuated %v after %d changes, want false after 1", e.Evacuated("a"), e.changes)
	}
}

func TestEvacuationAndItsEnd(t *testing.T) {
	e := newCounted()
	e.Apply(watcher.Update{Reset: true, Revision: 4, Events: []platform.Event{request("b", 2)}})
	e.check(t, "b")
	e.Apply(watcher.Update{Revision: 6, Events: []platform.Event{request("a", 5), withdrawal("b", 6)}})
	e.check(t, "a")
	e.Apply(watcher.Update{Revision: 7, Events: []platform.Event{request("a", 7)}})
	if e.changes != 2 {
		t.Errorf("%d changes, want 2: the last event repeats what is in force", e.changes)
	}
}

// An end that happened while the store could not be reached shows only in the next list.
func TestEndDuringOutageIsSeenInTheNextList(t *testing.T) {
	e := newCounted()
	e.Apply(watcher.Update{Reset: true, Revision: 4, Events: []platform.Event{request("a", 2), request("b", 3)}})
	e.Apply(watcher.Update{Reset: true, Revision: 9, Events: []platform.Event{request("b", 3)}})
	e.check(t, "b")
}

// A list from an earlier state of the store must not end an evacuation.
func TestRegressedStoreEndsNoEvacuation(t *testing.T) {
	e := newCounted()
	e.Apply(watcher.Update{Reset: true, Revision: 9, Events: []platform.Event{request("a", 8)}})
	e.Apply(watcher.Update{Reset: true, Regressed: true, Revision: 3, Events: []platform.Event{request("c", 2)}})
	e.check(t, "a", "c")
	e.Apply(watcher.Update{Revision: 4, Events: []platform.Event{withdrawal("c", 4)}})
	e.check(t, "a")
}

// An entry that cannot reach the store follows the evacuations that its peers tell it.
func TestPeerTellsLaterState(t *testing.T) {
	e := newCounted()
	e.Apply(watcher.Update{Reset: true, Revision: 4, Events: []platform.Event{request("a", 3)}})
	e.Learn(&wire.Evacuation{Revision: 8, Domains: []string{"b"}})
	e.check(t, "b")
	e.Learn(nil)
	e.Learn(&wire.Evacuation{Revision: 7, Domains: []string{"a"}})
	e.check(t, "b")
}

// A delayed answer of the store must not take back what a peer has told since.
func TestStoreBehindPeerChangesNothing(t *testing.T) {
	e := newCounted()
	e.Learn(&wire.Evacuation{Revision: 8, Domains: []string{"b"}})
	e.Apply(watcher.Update{Reset: true, Revision: 6, Events: []platform.Event{request("a", 5)}})
	e.Apply(watcher.Update{Revision: 7, Events: []platform.Event{withdrawal("b", 7)}})
	e.check(t, "b")
	e.Apply(watcher.Update{Revision: 9, Events: []platform.Event{withdrawal("b", 9)}})
	e.check(t)
}
