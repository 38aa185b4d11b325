package evacuator_test

import (
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"radishweir.org/lib/evacuator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
)

const prefix = "evacuations/"

// event returns the event of a request for a failure domain, or of its removal.
func event(domain string, deleted bool) platform.Event {
	return platform.Event{KeyValue: platform.KeyValue{Key: prefix + domain}, Deleted: deleted}
}

func newEvacuator(changes *int) *evacuator.Evacuator {
	return &evacuator.Evacuator{Prefix: prefix, Changed: func() { *changes++ }, Log: zerolog.Nop()}
}

func check(t *testing.T, e *evacuator.Evacuator, want ...string) {
	t.Helper()
	if got, _ := e.Domains(); !slices.Equal(got, want) {
		t.Errorf("evacuated are %v, want %v", got, want)
	}
}

// A restarted entry must not start runs in a failure domain whose evacuation it has not
// read yet.
func TestEverythingIsEvacuatedUntilTheFirstRead(t *testing.T) {
	changes := 0
	e := newEvacuator(&changes)
	if !e.Evacuated("a") {
		t.Error("failure domain a takes runs before the first read")
	}
	e.Apply(watcher.Update{Reset: true, Revision: 4})
	if e.Evacuated("a") || changes != 1 {
		t.Errorf("evacuated %v after %d changes, want false after 1", e.Evacuated("a"), changes)
	}
}

func TestEvacuationAndItsEnd(t *testing.T) {
	changes := 0
	e := newEvacuator(&changes)
	e.Apply(watcher.Update{Reset: true, Revision: 4, Events: []platform.Event{event("b", false)}})
	check(t, e, "b")
	e.Apply(watcher.Update{Revision: 5, Events: []platform.Event{event("a", false), event("b", true)}})
	check(t, e, "a")
	e.Apply(watcher.Update{Revision: 6, Events: []platform.Event{event("a", false)}})
	if changes != 2 {
		t.Errorf("%d changes, want 2: the last event repeats what is in force", changes)
	}
}

// An end that happened while the store could not be reached shows only in the next list.
func TestEndDuringOutageIsSeenInTheNextList(t *testing.T) {
	changes := 0
	e := newEvacuator(&changes)
	e.Apply(watcher.Update{Reset: true, Revision: 4, Events: []platform.Event{event("a", false), event("b", false)}})
	e.Apply(watcher.Update{Reset: true, Revision: 9, Events: []platform.Event{event("b", false)}})
	check(t, e, "b")
}

// A list from an earlier state of the store must not end an evacuation.
func TestRegressedStoreEndsNoEvacuation(t *testing.T) {
	changes := 0
	e := newEvacuator(&changes)
	e.Apply(watcher.Update{Reset: true, Revision: 9, Events: []platform.Event{event("a", false)}})
	e.Apply(watcher.Update{Reset: true, Regressed: true, Revision: 3, Events: []platform.Event{event("c", false)}})
	check(t, e, "a", "c")
}
