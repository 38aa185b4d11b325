package packer_test

import (
	"fmt"
	"testing"

	"radishweir.org/lib/packer"
)

// fleet returns n candidates. The free CPU of the one with a given number is cpu(number).
func fleet(n int, cpu func(i int) int) []packer.Candidate {
	list := make([]packer.Candidate, n)
	for i := range list {
		list[i] = packer.Candidate{
			Name: fmt.Sprintf("u%04d", i*7919%n), Free: packer.Amount{CPU: int64(cpu(i)), Memory: 65536},
			Slowness: 0.5 + float64(i%10)/10, SameDomain: i%4 == 0,
		}
	}
	return list
}

func BenchmarkPack(b *testing.B) {
	for _, n := range []int{50, 350, 2300} {
		list := fleet(n, func(i int) int { return 7000 + i%3*8000 })
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				packer.Pack(8, packer.Amount{CPU: 6800, Memory: 64}, list)
			}
		})
	}
}

func BenchmarkPackTight(b *testing.B) {
	sizes := &packer.Sizes{}
	for i := range 64 {
		sizes.Add(int64(10000 + 200*i))
	}
	for _, n := range []int{120, 350} {
		list := fleet(n, func(i int) int { return 8000 + i*7919%n*100 })
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				packer.PackTight(8, packer.Amount{CPU: 16000, Memory: 64}, list, sizes)
			}
		})
	}
}
