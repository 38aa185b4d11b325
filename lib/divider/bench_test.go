package divider_test

import (
	"fmt"
	"testing"

	"radishweir.org/lib/divider"
)

// BenchmarkDivide computes which upstreams one entry owns in fleets of several sizes.
func BenchmarkDivide(b *testing.B) {
	for _, size := range [][2]int{{8, 48}, {30, 350}, {60, 6900}, {300, 3000}} {
		var members []divider.Member
		for i := range size[0] {
			members = append(members, divider.Member{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%4), Weight: 8})
		}
		domains := []string{"d0", "d1", "d2", "d3"}
		names := make([]string, size[1])
		for i := range names {
			names[i] = fmt.Sprint("u", i)
		}
		b.Run(fmt.Sprintf("%d entries, %d upstreams", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				m := divider.NewMembers(members)
				for i, name := range names {
					if domain := domains[i%len(domains)]; m.MayOwn("d0", domain) {
						m.Owner(name, domain)
					}
				}
			}
		})
	}
}
