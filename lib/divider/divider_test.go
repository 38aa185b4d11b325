package divider_test

import (
	"fmt"
	"testing"

	"radishweir.org/lib/divider"
)

// members returns n entries in each of two failure domains.
func members(n int) []divider.Member {
	var out []divider.Member
	for i := range n {
		out = append(out, divider.Member{Name: fmt.Sprintf("a%d", i), Domain: "a"}, divider.Member{Name: fmt.Sprintf("b%d", i), Domain: "b"})
	}
	return out
}

func TestOwnerIsOfTheSameDomain(t *testing.T) {
	for i := range 100 {
		owner, ok := divider.Owner(fmt.Sprintf("u%d", i), "a", members(3))
		if !ok || owner[0] != 'a' {
			t.Fatalf("u%d is owned by %q", i, owner)
		}
	}
	if owner, ok := divider.Owner("u", "c", members(1)); !ok || owner == "" {
		t.Error("an upstream of a domain without entries has no owner")
	}
	if _, ok := divider.Owner("u", "a", nil); ok {
		t.Error("an owner without members")
	}
}

// When an entry leaves only its own upstreams move.
func TestFewMoves(t *testing.T) {
	all := members(3)
	for i := range 300 {
		u := fmt.Sprintf("u%d", i)
		before, _ := divider.Owner(u, "a", all)
		after, _ := divider.Owner(u, "a", all[2:])
		if before != "a0" && before != after {
			t.Errorf("%s moved from %s to %s although a0 left", u, before, after)
		}
	}
}

func TestWeights(t *testing.T) {
	list := []divider.Member{{Name: "big", Domain: "a", Weight: 3}, {Name: "small", Domain: "a", Weight: 1}}
	count := map[string]int{}
	for i := range 4000 {
		owner, _ := divider.Owner(fmt.Sprintf("u%d", i), "a", list)
		count[owner]++
	}
	if share := float64(count["big"]) / 4000; share < 0.7 || share > 0.8 {
		t.Errorf("three quarters of the weight own %.2f", share)
	}
}
