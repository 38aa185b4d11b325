package queuer

import (
	"testing"
	"time"
)

// TestFairness checks that a burst of one tenant does not delay another, that a
// tenant gains nothing by pushing one item at a time, and that tenants are served
// in proportion to their weights.
func TestFairness(t *testing.T) {
	now := time.Now()
	q := New[string]()
	for range 1000 {
		q.Push("greedy", 1, now, "greedy")
	}
	for range 10 {
		q.Push("small", 1, now, "small")
	}
	got := map[string]int{}
	for range 20 {
		v, _ := q.Pop()
		got[v]++
	}
	if got["small"] != 10 {
		t.Errorf("burst of greedy: items served in 20 turns: %v", got)
	}
	got = map[string]int{}
	for range 100 {
		q.Push("drip", 1, now, "drip")
		v, _ := q.Pop()
		got[v]++
	}
	if got["greedy"] < 45 {
		t.Errorf("drip pushes one item at a time: items served in 100 turns: %v", got)
	}
	q = New[string]()
	for range 100 {
		q.Push("heavy", 3, now, "heavy")
		q.Push("light", 1, now, "light")
	}
	got = map[string]int{}
	for range 40 {
		v, _ := q.Pop()
		got[v]++
	}
	if got["heavy"] < 28 || got["heavy"] > 32 {
		t.Errorf("weights 3 to 1: items served in 40 turns: %v", got)
	}
}

// TestDeadlinesAndRemoval checks that a tenant's items are popped in the order of
// their deadlines, also after some were removed.
func TestDeadlinesAndRemoval(t *testing.T) {
	now := time.Now()
	q := New[int]()
	for i := range 10 {
		q.Push("t", 1, now.Add(time.Duration(10-i)*time.Second), i)
	}
	if removed := q.Remove(func(i int) bool { return i%2 == 1 }); len(removed) != 5 || q.Len() != 5 {
		t.Fatal(removed, q.Len())
	}
	for _, want := range []int{8, 6, 4, 2, 0} {
		if v, ok := q.Pop(); !ok || v != want {
			t.Fatal(v, ok, want)
		}
	}
	if _, ok := q.Pop(); ok || q.Len() != 0 {
		t.Fatal("queue is not empty")
	}
}
