package dispatcher

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/upstream"
	"radishweir.org/lib/wire"
)

// instantClient is a Client whose upstreams answer at once.
type instantClient struct{}

func (instantClient) Start(context.Context, string, upstream.Task) (upstream.Result, error) {
	return upstream.Result{}, nil
}

func (instantClient) Status(context.Context, string, upstream.Task) (upstream.Result, bool, error) {
	return upstream.Result{}, false, nil
}
func (instantClient) Cancel(context.Context, string, string) error { return nil }

// BenchmarkStart measures the CPU time of starting one task, without the network
// message, for various numbers of upstreams on which the entry has slots.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			d := &Dispatcher{Client: instantClient{}, Recorder: &fakeRecorder{kinds: map[string]int{}}, Log: zerolog.Nop()}
			d.Configure(&wire.ServiceConfiguration{Service: "s", TypicalRunMs: 1, Policy: PolicyFastest})
			var targets []Target
			for i := range n {
				targets = append(targets, Target{Name: strconv.Itoa(i), Slots: 1})
			}
			d.Assign("s", targets)
			var wg sync.WaitGroup
			deadline := time.Now().Add(time.Hour)
			b.ResetTimer()
			for i := range b.N {
				wg.Add(1)
				_ = d.Submit("s", []*Task{{ID: strconv.Itoa(i), Tenant: "t", Deadline: deadline, Settle: func(Outcome) { wg.Done() }}})
			}
			wg.Wait()
		})
	}
}
