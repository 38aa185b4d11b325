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

// entries returns the registrations of entries a and b, of a failure domain each, with the given
// incarnations; "" means that there is none.
func entries(a, b string) map[string]relinquisher.Entry {
	out := make(map[string]relinquisher.Entry)
	for name, incarnation := range map[string]string{"a": a, "b": b} {
		if incarnation != "" {
			out[name] = relinquisher.Entry{Incarnation: incarnation, Domain: "domain-" + name}
		}
	}
	return out
}

// newLedger returns a ledger that has known entries a and b for a minute.
func newLedger() *relinquisher.Ledger {
	l := &relinquisher.Ledger{Domains: []string{"domain-a", "domain-b"}}
	l.Apply(start, entries("1", "1"))
	return l
}

// Guards against TWICE: an entry leaves, maybe as its key was removed just after a renewal, and the
// others count on the end of its leases before it has let them expire.
func TestOthersWaitForLeasesOfEntryThatLeft(t *testing.T) {
	l := newLedger()
	left := after(time.Minute)
	l.Apply(left, entries("1", ""))
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
		entries  map[string]relinquisher.Entry
		acquired time.Time
		most     time.Duration
	}{
		"it is registered again": {entries("1", "1"), acquired, 0},
		"its process restarted":  {entries("1", "2"), acquired, 1500*time.Millisecond + time.Second},
		"owned since before":     {entries("1", ""), after(-time.Second), 0},
	} {
		l := newLedger()
		l.Apply(left, entries("1", ""))
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

// Guards against TWICE: an entry that has just started has not seen the upstreams of a failure domain
// that is cut off. Also guards against waits after a start while all failure domains are there.
func TestNewEntryWaitsForFailureDomainWithoutEntries(t *testing.T) {
	l := &relinquisher.Ledger{Domains: []string{"domain-a", "domain-b"}}
	l.Apply(start, entries("1", ""))
	if at := l.UnseenUntil(); at.Before(after(relinquisher.RegistrationTTL + relinquisher.Grace + runner.LeaseTTL)) {
		t.Errorf("the upstreams of the other failure domain count as free %v after the start", at.Sub(start))
	}
	l.Apply(after(time.Second), entries("1", "1"))
	if at := l.UnseenUntil(); !at.IsZero() {
		t.Errorf("upstreams count as not seen until %v, with entries in all failure domains", at.Sub(start))
	}
}
