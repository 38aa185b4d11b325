package router_test

import (
	"testing"

	"github.com/rs/zerolog"

	"radishweir.org/lib/router"
)

func TestLongestPrefix(t *testing.T) {
	r := &router.Router{Log: zerolog.Nop()}
	if _, _, ok := r.Find("h", "/a/1"); ok {
		t.Error("found a queue without a table")
	}
	r.Apply(router.Table{Version: 1, Queues: []router.Queue{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/a/1": "short", "/a/b/1": "long", "/c": ""} {
		q, _, _ := r.Find("h", path)
		if q.Name != want {
			t.Errorf("%s goes to %q, want %q", path, q.Name, want)
		}
	}
	if _, rest, _ := r.Find("h", "/a/b/42"); rest != "42" {
		t.Errorf("the rest of the path is %q, want 42", rest)
	}
}

func TestOnlyHigherVersionIsApplied(t *testing.T) {
	r := &router.Router{Log: zerolog.Nop()}
	for _, c := range []struct {
		version int64
		applied bool
	}{{4, true}, {4, false}, {3, false}, {9, true}, {5, false}} {
		if got := r.Apply(router.Table{Version: c.version}); got != c.applied {
			t.Errorf("version %d applied: %v, want %v", c.version, got, c.applied)
		}
	}
	if now, _ := r.Table(); now.Version != 9 {
		t.Errorf("version %d is in force, want 9", now.Version)
	}
}
