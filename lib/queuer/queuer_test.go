package queuer

import (
	"testing"
	"time"
)

// TestFairness shows that a burst of one tenant does not delay another, that
// weights count and that sending one at a time gains nothing.
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
		t.Errorf("after 20 turns: %v", got)
	}
	got = map[string]int{}
	for range 100 {
		q.Push("drip", 1, now, "drip")
		v, _ := q.Pop()
		got[v]++
	}
	if got["greedy"] < 45 {
		t.Errorf("one at a time: %v", got)
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
		t.Errorf("weights 3 to 1: %v", got)
	}
}

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
		t.Fatal("not empty")
	}
}
