package recorder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"radishweir.org/lib/recorder"
)

// The number of series stays limited however many queue names are used, and
// every job is still counted.
func TestLabelValuesLimited(t *testing.T) {
	reg := prometheus.NewRegistry()
	r := recorder.New(reg)
	for i := range 350 {
		r.Job(fmt.Sprintf("queue-%d", i), "complete", "", time.Millisecond)
	}
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if n := len(f.GetMetric()); n > 65 {
			t.Errorf("%s has %d series, want at most 65", f.GetName(), n)
		}
		if f.GetName() != "radishweir_jobs_total" {
			continue
		}
		sum := 0.0
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
		if sum != 350 {
			t.Errorf("%v jobs counted, want 350", sum)
		}
	}
}
