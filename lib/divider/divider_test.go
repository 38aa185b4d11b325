package divider_test

import (
	"fmt"
	"math"
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

func TestOwnerIsInSameDomain(t *testing.T) {
	for i := range 100 {
		owner, ok := divider.Owner(fmt.Sprintf("u%d", i), "a", members(3))
		if !ok || owner[0] != 'a' {
			t.Fatalf("u%d is owned by %q, want an entry of domain a", i, owner)
		}
	}
	if owner, ok := divider.Owner("u", "c", members(1)); !ok || owner == "" {
		t.Error("an upstream of a domain without entries has no owner")
	}
	if _, ok := divider.Owner("u", "a", nil); ok {
		t.Error("got an owner although there are no members")
	}
}

// When an entry leaves, only the upstreams that it owned get another owner.
func TestFewMoves(t *testing.T) {
	all := members(3)
	for i := range 300 {
		u := fmt.Sprintf("u%d", i)
		before, _ := divider.Owner(u, "a", all)
		after, _ := divider.Owner(u, "a", all[2:])
		if before != "a0" && before != after {
			t.Errorf("%s moved from %s to %s although only a0 and b0 left", u, before, after)
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
		t.Errorf("the member with 0.75 of the weight owns a share of %.2f, want 0.7 to 0.8", share)
	}
}

// Guards against a change of one weight that moves upstreams of other entries, or more of
// its own than the change is worth.
func TestHalvedWeight(t *testing.T) {
	var list []divider.Member
	for i := range 33 {
		cores := 0.8
		if i >= 6 {
			cores = 0.144 + (0.48-0.144)*float64(i-6)/26
		}
		list = append(list, divider.Member{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%4), Weight: int(math.Round(cores * 20))})
	}
	const upstreams = 350
	owner := func(u int) string {
		name, _ := divider.Owner(fmt.Sprint("u", u), fmt.Sprint("d", u%4), list)
		return name
	}
	total := 0
	for i := range list {
		m, weight, owned, moved := &list[i], list[i].Weight, 0, 0
		for u := range upstreams {
			m.Weight = weight
			before := owner(u)
			m.Weight = weight / 2
			after := owner(u)
			if before == m.Name {
				owned++
			}
			if after != before {
				moved++
			}
			if after != before && before != m.Name {
				t.Errorf("u%d moved from %s although only %s has less weight", u, before, m.Name)
			}
		}
		m.Weight = weight
		total += moved
		t.Logf("weight %d to %d: %d of %d upstreams moved", weight, weight/2, moved, owned)
	}
	// Half of each entry's upstreams move, less those it keeps as its domain's total
	// weight falls too; odd weights are rounded down.
	if total < upstreams*35/100 || total > upstreams*55/100 {
		t.Errorf("%d moves over all entries for %d upstreams", total, upstreams)
	}
}
