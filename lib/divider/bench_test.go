package divider_test

import (
	"fmt"
	"testing"

	"radishweir.org/lib/divider"
)

// BenchmarkDivide computes the owners of all upstreams in fleets of three sizes.
func BenchmarkDivide(b *testing.B) {
	for _, size := range [][2]int{{8, 48}, {30, 350}, {60, 6900}} {
		var members []divider.Member
		for i := range size[0] {
			members = append(members, divider.Member{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%4), Weight: 8})
		}
		b.Run(fmt.Sprintf("%d entries, %d upstreams", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				for i := range size[1] {
					divider.Owner(fmt.Sprint("u", i), fmt.Sprint("d", i%4), members)
				}
			}
		})
	}
}
