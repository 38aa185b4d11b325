// Package scraper reads counters from the entries' operator ports.
//
// # Usage
//
//	before, err := scraper.Read(ctx, addresses)
//	after, err := scraper.Read(ctx, addresses)
//	sent := after.Sub(before)
package scraper

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Counts are counters summed over entries, tenants and services.
type Counts struct {
	// Upstream holds messages to upstreams by kind.
	Upstream map[string]float64
	// Forwards holds messages to homes by result.
	Forwards map[string]float64
	// Slots holds messages about lent slots by result.
	Slots map[string]float64
	// Platform is the number of calls to the platform.
	Platform float64
	// CPUSeconds is the processor time of the entries.
	CPUSeconds float64
	// Memory is the resident memory of the largest entry, in bytes.
	Memory float64
}

// Read adds up the counters of the entries at addresses. Entries that do not
// answer are left out.
func Read(ctx context.Context, addresses []string) Counts {
	c := Counts{Upstream: map[string]float64{}, Forwards: map[string]float64{}, Slots: map[string]float64{}}
	for _, a := range addresses {
		_ = c.add(ctx, a)
	}
	return c
}

// add adds the counters of one entry.
func (c *Counts) add(ctx context.Context, address string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	p := expfmt.NewTextParser(model.LegacyValidation)
	families, err := p.TextToMetricFamilies(resp.Body)
	if err != nil {
		return errors.Wrap(err, "decode")
	}
	sumByLabel(families["radishweir_upstream_messages_total"], "kind", c.Upstream)
	sumByLabel(families["radishweir_forwards_total"], "result", c.Forwards)
	sumByLabel(families["radishweir_slot_messages_total"], "result", c.Slots)
	for _, m := range families["radishweir_platform_calls_total"].GetMetric() {
		c.Platform += m.GetCounter().GetValue()
	}
	for _, m := range families["process_cpu_seconds_total"].GetMetric() {
		c.CPUSeconds += m.GetCounter().GetValue()
	}
	for _, m := range families["process_resident_memory_bytes"].GetMetric() {
		c.Memory = max(c.Memory, m.GetGauge().GetValue())
	}
	return nil
}

// sumByLabel adds the values of a counter to into, by the value of one label.
func sumByLabel(f *dto.MetricFamily, label string, into map[string]float64) {
	for _, m := range f.GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetName() == label {
				into[l.GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
}

// Sub returns the counts since before; Memory is not a counter and stays.
func (c Counts) Sub(before Counts) Counts {
	return Counts{
		Upstream: subtract(c.Upstream, before.Upstream), Forwards: subtract(c.Forwards, before.Forwards),
		Slots: subtract(c.Slots, before.Slots), Platform: c.Platform - before.Platform,
		CPUSeconds: c.CPUSeconds - before.CPUSeconds, Memory: c.Memory,
	}
}

func subtract(a, b map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(a))
	for k, v := range a {
		out[k] = v - b[k]
	}
	return out
}
