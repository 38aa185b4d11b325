package retainer_test

import (
	"slices"
	"testing"
	"time"

	"radishweir.org/lib/retainer"
)

func TestRetainer(t *testing.T) {
	now := time.Now()
	r := &retainer.Retainer[string]{Grace: 2 * time.Second}
	if r.Reset(now) {
		t.Error("something was known before the first read")
	}
	for _, key := range []string{"a", "b", "c"} {
		r.Put(key, key)
	}
	if !r.Drop("c", now) || r.Drop("c", now) {
		t.Error("a registration is dropped once, at once")
	}
	r.Reset(now)
	r.Put("a", "a")
	r.Drop("a", now.Add(time.Second))
	if _, there := r.Get("a"); there {
		t.Error("a missing registration counts as there")
	}
	if got := r.All(now.Add(1900 * time.Millisecond)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("within the grace: %v", got)
	}
	if _, whole := r.Put("b", "b"); whole {
		t.Error("a registration that was missing counts as whole")
	}
	if got := r.All(now.Add(2 * time.Second)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("after the grace: %v", got)
	}
	if !r.Drop("b", now.Add(3*time.Second)) {
		t.Error("an ordinary removal waits")
	}
}
