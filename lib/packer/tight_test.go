package packer_test

import (
	"slices"
	"testing"

	"radishweir.org/lib/packer"
)

// A task must not take a place that leaves a remainder of no use, while another place
// leaves one that recent tasks fit into.
func TestPackTightOrder(t *testing.T) {
	sizes := &packer.Sizes{}
	for _, cpu := range []int64{14000, 16000, 18000} {
		sizes.Add(cpu)
	}
	list := []packer.Candidate{
		{Name: "fast", Free: packer.Amount{CPU: 28000}, Slowness: 0.5, Own: true},
		{Name: "tight", Free: packer.Amount{CPU: 34000}, Slowness: 1.3},
		{Name: "other-rank", Free: packer.Amount{CPU: 16000}, Slowness: 0.5, Rank: 1},
	}
	got := packer.PackTight(4, packer.Amount{CPU: 16000}, list, sizes)
	if want := []string{"tight", "tight", "fast", "other-rank"}; !slices.Equal(got, want) {
		t.Errorf("chose %v, want %v", got, want)
	}
}
