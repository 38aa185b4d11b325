package composer

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// registerGauges registers gauges that read their values from the components
// when metrics are collected.
func (e *Entry) registerGauges(missed *atomic.Int64) {
	f := promauto.With(e.registry)
	gauge := func(name, help string, value func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "radishweir", Name: name, Help: help}, value)
	}
	gauge("log_events_missed", "Log events left out since the start.", func() float64 { return float64(missed.Load()) })
	gauge("configuration_version", "Version of the configuration in force.", func() float64 {
		t, _ := e.router.Table()
		return float64(t.Version)
	})
	gauge("upstream_list_age_seconds", "Time since the list of upstreams was known to be that of the store.", func() float64 {
		return time.Since(e.relayer.CurrentAt()).Seconds()
	})
	gauge("failure_domains_evacuated", "Failure domains that take no new runs.", func() float64 {
		return float64(len(e.evacuator.Message().GetDomains()))
	})
	gauge("cpu_state", "How short of CPU time this entry is: 0 normal, 1 busy, 2 overloaded.", func() float64 {
		return float64(e.cpuState())
	})
	gauge("start_margin", "Share of the near capacity that new jobs leave free.", func() float64 { return e.coordinator.StartMargin() })
	gauge("interfering_pairs", "Pairs of kinds of tasks that are kept apart.", func() float64 { return float64(e.interferingPairs()) })
	gauge("jobs_open", "Jobs without an answer.", func() float64 {
		open, _ := e.coordinator.Counts()
		return float64(open)
	})
	gauge("jobs_waiting", "Jobs that have not begun.", func() float64 {
		_, waiting := e.coordinator.Counts()
		return float64(waiting)
	})
	gauge("caller_connections", "Open connections of callers.", func() float64 {
		n, _ := e.callerServer.Usage()
		return float64(n)
	})
	gauge("caller_memory_bytes", "Memory of callers' requests that counts towards its limit.", func() float64 {
		_, n := e.callerServer.Usage()
		return float64(n)
	})
	gauge("upstreams_owned", "Upstreams that this entry owns.", func() float64 { return float64(len(e.runner.States())) })
	gauge("upstreams_usable", "Owned upstreams that take new runs.", func() float64 {
		n := 0
		for _, s := range e.runner.States() {
			if s.GetUsable() {
				n++
			}
		}
		return float64(n)
	})
}
