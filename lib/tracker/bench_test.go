package tracker

import (
	"context"
	"runtime"
	"strconv"
	"testing"
)

// BenchmarkRemembered measures the memory that the record of a finished job of
// two tasks takes.
func BenchmarkRemembered(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				r := newRunner()
				tr := newTracker(r)
				tr.Open(shardA, owner(1, ""))
				before := heapBytes()
				for i := range n {
					_, _ = tr.Submit(context.Background(), shardA, submission(strconv.Itoa(i), 1))
				}
				r.finish()
				r.starts = nil
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/job")
				runtime.KeepAlive(tr)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
