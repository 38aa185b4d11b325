package relinquisher_test

import (
	"slices"
	"testing"
	"time"

	"radishweir.org/lib/relinquisher"
	"radishweir.org/lib/runner"
)

// start is the time of the first list of entries.
var start = time.Unix(1000, 0)

// after returns a time relative to start.
func after(d time.Duration) time.Time { return start.Add(d) }

// newLedger returns a ledger that has known entries a and b for a minute.
func newLedger() *relinquisher.Ledger {
	l := &relinquisher.Ledger{}
	l.Apply(start, map[string]string{"a": "1", "b": "1"})
	return l
}

// Guards against TWICE: an entry leaves, maybe as its key was removed just after a renewal, and the
// others count on the end of its leases before it has let them expire.
func TestOthersWaitForLeasesOfEntryThatLeft(t *testing.T) {
	l := newLedger()
	left := after(time.Minute)
	l.Apply(left, map[string]string{"a": "1"})
	lapsed := left.Add(relinquisher.RegistrationTTL)
	expired := relinquisher.Deadline(lapsed).Add(runner.LeaseTTL + runner.ClockMargin)
	if at := l.SettledAt(left); !at.After(expired) {
		t.Errorf("the leases count as ended at %v, want after %v", at.Sub(start), expired.Sub(start))
	}
	// A cut of 6.3 s, and the time to register again, end before the deadline.
	if d := relinquisher.Deadline(lapsed).Sub(left); d < 7300*time.Millisecond {
		t.Errorf("an entry that is cut off lets its leases expire after %v, want at least 7.3 s", d)
	}
	// The jobs of a lost holder must run again 14 s after the last disturbance.
	if d := l.SettledAt(left).Sub(left); d > 11*time.Second {
		t.Errorf("callers wait %v for an upstream that never returns, want at most 11 s", d)
	}
}

// Guards against waits without need: the leases of an entry that left end sooner if it is registered
// again, or if its process has ended, and do not matter for upstreams that it never owned.
func TestOthersDoNotWaitLongerThanNeeded(t *testing.T) {
	left := after(time.Minute)
	acquired := left
	for name, c := range map[string]struct {
		entries  map[string]string
		acquired time.Time
		most     time.Duration
	}{
		"it is registered again": {map[string]string{"a": "1", "b": "1"}, acquired, 0},
		"its process restarted":  {map[string]string{"a": "1", "b": "2"}, acquired, 1500*time.Millisecond + time.Second},
		"owned since before":     {map[string]string{"a": "1"}, after(-time.Second), 0},
	} {
		l := newLedger()
		l.Apply(left, map[string]string{"a": "1"})
		l.Apply(left.Add(time.Second), c.entries)
		if d := l.SettledAt(c.acquired).Sub(left); d > c.most {
			t.Errorf("%s: the leases count as ended after %v, want at most %v", name, d, c.most)
		}
	}
}

// Guards against TWICE: an entry that has just started does not know which entries left before.
func TestNewEntryWaitsForEntriesThatLeftBefore(t *testing.T) {
	l := newLedger()
	if at := l.SettledAt(start); at.Before(after(relinquisher.RegistrationTTL + relinquisher.Grace + runner.LeaseTTL)) {
		t.Errorf("the leases count as ended %v after the start", at.Sub(start))
	}
}

// Guards against TWICE: an upstream vanishes from the list before the entry that serves it does, as
// registrations may expire while the store is down.
func TestVanishedUpstreamsAreKept(t *testing.T) {
	var v relinquisher.Vanished
	u := runner.Upstream{Name: "u1"}
	v.Apply(start, []runner.Upstream{u})
	for _, c := range []struct {
		at     time.Duration
		listed []runner.Upstream
		gone   bool
	}{
		{time.Second, nil, true},
		{time.Second + relinquisher.RegistrationTTL, nil, true},
		{10 * time.Second, nil, false},
		{11 * time.Second, []runner.Upstream{u}, false},
		{12 * time.Second, nil, true},
		{13 * time.Second, []runner.Upstream{u}, false},
	} {
		if got := slices.Contains(v.Apply(after(c.at), c.listed), u); got != c.gone {
			t.Errorf("%v: the upstream counts as vanished: %v, want %v", c.at, got, c.gone)
		}
	}
}
