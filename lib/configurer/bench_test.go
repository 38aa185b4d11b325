package configurer

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// BenchmarkApply measures how an entry applies one change, for several numbers of
// tenants, and reports the size of the stored value.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{5, 50, 450} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s := &Service{Service: "s"}
			for i := range n {
				s.Tenants = append(s.Tenants, &wire.Tenant{Name: fmt.Sprint("tenant-", i), TokenSha256: fmt.Sprintf("%064d", i), Weight: 1})
			}
			c := &Configurer{Log: zerolog.Nop()}
			for i := range b.N {
				b.StopTimer()
				s.Revision = uint64(i + 1)
				data, err := Encode(s)
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				c.Apply(watcher.Update{Events: []platform.Event{{KeyValue: platform.KeyValue{Key: Key("s"), Value: data, Revision: 1}}}})
				b.ReportMetric(float64(len(data)), "B/value")
			}
		})
	}
}
