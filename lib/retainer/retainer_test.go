package retainer_test

import (
	"slices"
	"testing"
	"time"

	"radishweir.org/lib/retainer"
)

// A missing registration must be retained for the grace period after a full
// read, and no longer; outside that period a removal takes effect at once.
func TestRetainer(t *testing.T) {
	now := time.Now()
	r := &retainer.Retainer[string]{Grace: 2 * time.Second}
	if r.Reset(now) {
		t.Error("Reset before any Put reported known registrations")
	}
	for _, key := range []string{"a", "b", "c"} {
		r.Put(key, key)
	}
	if !r.Drop("c", now) || r.Drop("c", now) {
		t.Error("Drop without a grace period must remove a registration at once, and only once")
	}
	r.Reset(now)
	r.Put("a", "a")
	r.Drop("a", now.Add(time.Second))
	if _, ok := r.Get("a"); ok {
		t.Error("Get returned a missing registration")
	}
	if got := r.All(now.Add(1900 * time.Millisecond)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("registrations %v within the grace period, want [a b]", got)
	}
	if _, present := r.Put("b", "b"); present {
		t.Error("Put reported a registration as present that was missing")
	}
	if got := r.All(now.Add(2 * time.Second)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("registrations %v after the grace period, want [b]", got)
	}
	if !r.Drop("b", now.Add(3*time.Second)) {
		t.Error("Drop after the grace period did not remove the registration at once")
	}
}
