package packer_test

import (
	"slices"
	"testing"

	"radishweir.org/lib/packer"
)

func TestCopies(t *testing.T) {
	free := packer.Amount{CPU: 16000, Memory: 1000, GPU: 0}
	for _, c := range []struct {
		need packer.Amount
		want int
	}{
		{packer.Amount{CPU: 6800}, 2},
		{packer.Amount{CPU: 6800, Memory: 600}, 1},
		{packer.Amount{CPU: 17000}, 0},
		{packer.Amount{GPU: 1}, 0},
		{packer.Amount{}, 5},
	} {
		if got := free.Copies(c.need, 5); got != c.want {
			t.Errorf("%v fits %d times, want %d", c.need, got, c.want)
		}
	}
	if got := (packer.Amount{CPU: -5}).Copies(packer.Amount{CPU: 1}, 5); got != 0 {
		t.Errorf("a negative amount holds %d tasks, want 0", got)
	}
}

func TestPackOrder(t *testing.T) {
	free := packer.Amount{CPU: 16000, Memory: 1000}
	list := []packer.Candidate{
		{Name: "far-fast", Free: free, Slowness: 0.6},
		{Name: "near-slow", Free: free, Slowness: 1.4, SameDomain: true},
		{Name: "near-fast", Free: free, Slowness: 0.61, SameDomain: true},
		{Name: "near-tight", Free: packer.Amount{CPU: 7000, Memory: 1000}, Slowness: 0.6, SameDomain: true},
	}
	got := packer.Pack(6, packer.Amount{CPU: 6800}, list)
	want := []string{"near-tight", "near-fast", "near-fast", "far-fast", "far-fast", "near-slow"}
	if !slices.Equal(got, want) {
		t.Errorf("chose %v, want %v", got, want)
	}
	if got := packer.Pack(20, packer.Amount{CPU: 6800}, list); len(got) != 7 {
		t.Errorf("chose upstreams for %d tasks, want 7", len(got))
	}
}
