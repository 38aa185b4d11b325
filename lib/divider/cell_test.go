package divider_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"radishweir.org/lib/divider"
)

// Every member is in exactly one cell, all members of a cell agree on it, and cells are
// of nearly equal size.
func TestCells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, size := rapid.IntRange(1, 300).Draw(t, "members"), rapid.IntRange(1, 40).Draw(t, "size")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("entry-%d", i))
		}
		least, most := n, 0
		for _, self := range slices.Clone(names) {
			cell := divider.Cell(self, names, size)
			if !slices.Contains(cell, self) || len(cell) > size {
				t.Fatalf("%d members: the cell of %s is %v", n, self, cell)
			}
			for _, other := range cell {
				if got := divider.Cell(other, names, size); !slices.Equal(got, cell) {
					t.Fatalf("%s is in the cell %v of %s, its own is %v", other, cell, self, got)
				}
			}
			least, most = min(least, len(cell)), max(most, len(cell))
		}
		if most-least > 1 {
			t.Fatalf("%d members in cells of %d to %d", n, least, most)
		}
	})
}

// Whoever is not registered yet sees all members.
func TestCellOfUnknownMember(t *testing.T) {
	names := []string{"b", "a", "c"}
	if got := divider.Cell("x", names, 1); len(got) != 3 {
		t.Errorf("the cell of an unknown member is %v, want all", got)
	}
}

// Members.MayOwn leaves out only members that own nothing of the failure domain.
func TestMayOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []divider.Member
		for i := range rapid.IntRange(0, 12).Draw(t, "members") {
			list = append(list, divider.Member{Name: fmt.Sprint(i), Domain: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "domain")), Weight: 1 + i%3})
		}
		m := divider.NewMembers(list)
		for i := range 20 {
			domain := fmt.Sprint(i % 5)
			owner, ok := m.Owner(fmt.Sprint("u", i), domain)
			if plain, plainOK := divider.Owner(fmt.Sprint("u", i), domain, list); plain != owner || plainOK != ok {
				t.Fatalf("%q %v and %q %v", owner, ok, plain, plainOK)
			}
			for _, v := range list {
				if v.Name == owner && !m.MayOwn(v.Domain, domain) {
					t.Fatalf("%v owns an upstream of %s and may not", v, domain)
				}
			}
		}
	})
}
