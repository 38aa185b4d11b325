package separator_test

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, load := range []float64{1, 1.3, 1.6} {
		for _, m := range []string{"off", "on", "null"} {
			var a, b, in, w, w99 float64
			var fa, fb []time.Duration
			for seed := uint64(1); seed <= 12; seed++ {
				f := newFleet(seed, 40, 1, 1.6)
				if m == "null" {
					f.slowed = 1
				}
				f.off = m == "off"
				f.load = func(time.Duration) float64 { return load }
				f.play(40 * time.Second)
				a += mean(f.slowdowns["a"]) / 12
				b += mean(f.slowdowns["b"]) / 12
				in += float64(f.inTime) / float64(f.ended) / 12
				w += mean(f.waits) / 12
				w99 += quantile(f.waits, .99) / 12
				fa = append(fa, f.found[[2]string{"a", "b"}])
				fb = append(fb, f.found[[2]string{"b", "a"}])
				for k, v := range f.found {
					if k != [2]string{"a", "b"} && k != [2]string{"b", "a"} {
						t.Log("WRONG", m, seed, k, v)
					}
				}
			}
			t.Logf("load %v %s a %.3f b %.3f in time %.3f wait %.4f p99 %.3f %v %v", load, m, a, b, in, w, w99, fa, fb)
		}
	}
}
