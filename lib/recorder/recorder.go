// Package recorder holds the metrics of an entry.
//
// # Usage
//
//	r := recorder.New(prometheus.NewRegistry())
//	d := &dispatcher.Dispatcher{Recorder: r}
//
// docs/OPERATIONS.md explains each metric to operators.
package recorder

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// namespace is the common prefix of all metric names.
const namespace = "radishweir"

// runBuckets cover 1 ms to about 30 s.
var runBuckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// Recorder implements the recorder interfaces of the other packages.
type Recorder struct {
	messages          *prometheus.CounterVec
	forwards          *prometheus.CounterVec
	borrows           *prometheus.CounterVec
	requests          *prometheus.CounterVec
	platform          *prometheus.CounterVec
	ended             *prometheus.CounterVec
	wait              *prometheus.HistogramVec
	run               *prometheus.HistogramVec
	response          *prometheus.HistogramVec
	refusedHandshakes prometheus.Counter
	jobs              *prometheus.CounterVec
	orders            *prometheus.CounterVec
	answer            *prometheus.HistogramVec
	placements        *prometheus.CounterVec
	retries           *prometheus.CounterVec
	runs              *prometheus.CounterVec
	waste             *prometheus.CounterVec
	takeovers         prometheus.Counter
	linesLeftOut      *prometheus.CounterVec
	kinds             labels
}

// New registers the metrics.
func New(reg prometheus.Registerer) *Recorder {
	f := promauto.With(reg)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		o := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: runBuckets}
		return f.NewHistogramVec(o, []string{"service", "tenant"})
	}
	return &Recorder{
		messages: counter("upstream_messages_total", "Messages to upstreams by kind.", "service", "tenant", "kind"),
		forwards: counter("forwards_total", "Jobs sent on to their home by result.", "service", "tenant", "result"),
		borrows:  counter("slot_messages_total", "Messages about lent slots by result.", "service", "result"),
		requests: counter("caller_requests_total", "Requests of callers by HTTP status.", "service", "tenant", "status"),
		platform: counter("platform_calls_total", "Calls to the platform by result.", "operation", "result"),
		ended:    counter("jobs_ended_total", "Jobs by state and verdict.", "service", "tenant", "state", "verdict"),
		wait:     histogram("queue_wait_seconds", "Time that tasks waited for a slot."),
		run:      histogram("upstream_seconds", "Time that upstreams took for a task."),
		response: histogram("response_seconds", "Time from a submission to its answer."),
		orders:   counter("upstream_orders_total", "Orders to leased upstreams by result.", "kind", "result"),
		jobs:     counter("jobs_total", "Jobs by outcome.", "kind", "state", "reason"),
		answer: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "answer_seconds", Help: "Time from a submission to its answer.", Buckets: runBuckets,
		}, []string{"kind"}),
		placements: counter("placements_total", "Tasks sent to upstreams, by whose and where these are.", "owner", "failure_domain"),
		retries:    counter("task_retries_total", "Tasks that must run again, by how their run ended.", "cause"),
		runs:       counter("runs_total", "Runs on owned upstreams by how they ended.", "cause"),
		waste:      counter("wasted_core_seconds_total", "Reserved core-seconds of runs that brought no result.", "cause"),
		takeovers: f.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "upstream_takeovers_total", Help: "Upstreams that this entry became the owner of.",
		}),
		linesLeftOut: counter("log_lines_left_out_total", "Lines about jobs left out to bound the volume of logs.", "state"),
		refusedHandshakes: f.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "entry_handshakes_refused_total", Help: "Connections that failed the handshake.",
		}),
	}
}

// Job counts one job by its outcome and observes the time to its answer.
func (r *Recorder) Job(kind, state, reason string, total time.Duration) {
	kind = r.kinds.bound(kind)
	r.jobs.WithLabelValues(kind, state, reason).Inc()
	r.answer.WithLabelValues(kind).Observe(total.Seconds())
}

// Placed counts one task that was sent to an upstream.
func (r *Recorder) Placed(own, near bool) {
	r.placements.WithLabelValues(pick(own, "self", "peer"), pick(near, "same", "other")).Inc()
}

// pick returns yes or no as the condition is true or false.
func pick(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// Retry counts one task that must run again.
func (r *Recorder) Retry(cause string) { r.retries.WithLabelValues(cause).Inc() }

// RunEnded counts one run on an owned upstream, and what it took for nothing.
func (r *Recorder) RunEnded(cause string, wasted float64) {
	r.runs.WithLabelValues(cause).Inc()
	if wasted > 0 {
		r.waste.WithLabelValues(cause).Add(wasted)
	}
}

// Takeover counts one upstream that this entry became the owner of.
func (r *Recorder) Takeover() { r.takeovers.Inc() }

// LogLineSuppressed counts one log line about a job that was not written.
func (r *Recorder) LogLineSuppressed(state string) { r.linesLeftOut.WithLabelValues(state).Inc() }

// Order counts one order to a leased upstream.
func (r *Recorder) Order(kind, result string) {
	r.orders.WithLabelValues(kind, result).Inc()
}

// Message counts one message to an upstream of the given kind.
func (r *Recorder) Message(service, tenant, kind string) {
	r.messages.WithLabelValues(service, tenant, kind).Inc()
}

// Forward counts one message to a home with its result.
func (r *Recorder) Forward(service, tenant, result string) {
	r.forwards.WithLabelValues(service, tenant, result).Inc()
}

// Borrow counts one message about lent slots with its result.
func (r *Recorder) Borrow(service, result string) {
	r.borrows.WithLabelValues(service, result).Inc()
}

// Wait observes the time that a task waited for a slot.
func (r *Recorder) Wait(service, tenant string, d time.Duration) {
	r.wait.WithLabelValues(service, tenant).Observe(d.Seconds())
}

// Took observes the time that an upstream took for a task.
func (r *Recorder) Took(service, tenant string, d time.Duration) {
	r.run.WithLabelValues(service, tenant).Observe(d.Seconds())
}

// Request counts one request of a caller.
func (r *Recorder) Request(service, tenant string, status int) {
	if tenant == "" {
		service = "unknown"
	}
	r.requests.WithLabelValues(service, tenant, strconv.Itoa(status)).Inc()
}

// Response observes the time from a submission to its answer.
func (r *Recorder) Response(service, tenant string, d time.Duration) {
	r.response.WithLabelValues(service, tenant).Observe(d.Seconds())
}

// Count adds one call to the platform.
func (r *Recorder) Count(operation, result string) {
	r.platform.WithLabelValues(operation, result).Inc()
}

// Ended counts one job by its state and verdict.
func (r *Recorder) Ended(service, tenant, state, verdict string) {
	r.ended.WithLabelValues(service, tenant, state, verdict).Inc()
}

// RefusedHandshake counts a connection that failed the handshake.
func (r *Recorder) RefusedHandshake() { r.refusedHandshakes.Inc() }
