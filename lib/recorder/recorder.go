// Package recorder records the Prometheus metrics of an entry.
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

// runBuckets are histogram buckets from 1 ms to about 30 s.
var runBuckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// Recorder implements the interfaces through which other packages record
// metrics.
type Recorder struct {
	messages           *prometheus.CounterVec
	forwards           *prometheus.CounterVec
	slotMessages       *prometheus.CounterVec
	requests           *prometheus.CounterVec
	platformCalls      *prometheus.CounterVec
	jobsEnded          *prometheus.CounterVec
	queueWait          *prometheus.HistogramVec
	upstreamTime       *prometheus.HistogramVec
	responseTime       *prometheus.HistogramVec
	refusedHandshakes  prometheus.Counter
	jobs               *prometheus.CounterVec
	orders             *prometheus.CounterVec
	answerTime         *prometheus.HistogramVec
	placements         *prometheus.CounterVec
	retries            *prometheus.CounterVec
	runs               *prometheus.CounterVec
	wastedCoreSeconds  *prometheus.CounterVec
	takeovers          prometheus.Counter
	relinquished       prometheus.Counter
	retirements        *prometheus.CounterVec
	delegations        *prometheus.CounterVec
	suppressedLogLines *prometheus.CounterVec
	droppedRequests    *prometheus.CounterVec
	limitedCallers     *prometheus.CounterVec
	queueKinds         labelLimiter
}

// New returns a Recorder whose metrics are registered with reg.
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
		messages:      counter("upstream_messages_total", "Messages to upstreams by kind.", "service", "tenant", "kind"),
		forwards:      counter("forwards_total", "Jobs sent on to their home by result.", "service", "tenant", "result"),
		slotMessages:  counter("slot_messages_total", "Messages about lent slots by result.", "service", "result"),
		requests:      counter("caller_requests_total", "Requests of callers by HTTP status.", "service", "tenant", "status"),
		platformCalls: counter("platform_calls_total", "Calls to the platform by result.", "operation", "result"),
		jobsEnded:     counter("jobs_ended_total", "Jobs by state and verdict.", "service", "tenant", "state", "verdict"),
		queueWait:     histogram("queue_wait_seconds", "Time that tasks waited for a slot."),
		upstreamTime:  histogram("upstream_seconds", "Time that upstreams took for a task."),
		responseTime:  histogram("response_seconds", "Time from a submission to its answer."),
		orders:        counter("upstream_orders_total", "Orders to leased upstreams by result.", "kind", "result"),
		jobs:          counter("jobs_total", "Jobs by outcome.", "kind", "state", "reason"),
		answerTime: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "answer_seconds", Help: "Time from a submission to its answer.", Buckets: runBuckets,
		}, []string{"kind"}),
		placements:        counter("placements_total", "Tasks sent to upstreams, by whose and where these are.", "owner", "failure_domain"),
		retries:           counter("task_retries_total", "Tasks that must run again, by how their run ended.", "cause"),
		runs:              counter("runs_total", "Runs on owned upstreams by how they ended.", "cause"),
		wastedCoreSeconds: counter("wasted_core_seconds_total", "Reserved core-seconds of runs that brought no result.", "cause"),
		takeovers: f.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "upstream_takeovers_total", Help: "Upstreams that this entry became the owner of.",
		}),
		relinquished: f.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "leases_relinquished_total", Help: "Leases of upstreams that this entry let expire, as it was not registered.",
		}),
		retirements:        counter("holder_retirements_total", "Lost holders whose runs are over on this entry's upstreams, by whether all of these answered.", "upstreams"),
		delegations:        counter("delegations_total", "Jobs handed to other entries, by step.", "result"),
		droppedRequests:    counter("dropped_requests_total", "Requests that arrived and got no answer, by state of their connection.", "state"),
		limitedCallers:     counter("limited_callers_total", "Connections that were closed and requests that were refused because of a limit, by limit.", "reason"),
		suppressedLogLines: counter("log_lines_left_out_total", "Lines about jobs left out to bound the volume of logs.", "state"),
		refusedHandshakes: f.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "entry_handshakes_refused_total", Help: "Connections that failed the handshake.",
		}),
	}
}

// Job counts one job by its outcome and observes the time from its submission
// to its answer.
func (r *Recorder) Job(kind, state, reason string, total time.Duration) {
	kind = r.queueKinds.limit(kind)
	r.jobs.WithLabelValues(kind, state, reason).Inc()
	r.answerTime.WithLabelValues(kind).Observe(total.Seconds())
}

// Placed counts one task that was sent to an upstream: owned tells whether this
// entry owns the upstream, sameDomain whether both are in the same failure domain.
func (r *Recorder) Placed(owned, sameDomain bool) {
	r.placements.WithLabelValues(choose(owned, "self", "peer"), choose(sameDomain, "same", "other")).Inc()
}

// choose returns yes if the condition holds, else no.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// Retry counts one task that must run again.
func (r *Recorder) Retry(cause string) { r.retries.WithLabelValues(cause).Inc() }

// RunEnded counts one run on an owned upstream, and the core-seconds it wasted
// if it brought no result.
func (r *Recorder) RunEnded(cause string, wasted float64) {
	r.runs.WithLabelValues(cause).Inc()
	if wasted > 0 {
		r.wastedCoreSeconds.WithLabelValues(cause).Add(wasted)
	}
}

// Takeover counts one upstream that this entry became the owner of.
func (r *Recorder) Takeover() { r.takeovers.Inc() }

// LeaseRelinquished counts one lease that this entry let expire, as it was not registered.
func (r *Recorder) LeaseRelinquished() { r.relinquished.Inc() }

// HolderRetired counts one lost holder whose runs are over; concluded tells whether upstreams that
// did not answer count as having none.
func (r *Recorder) HolderRetired(concluded bool) {
	r.retirements.WithLabelValues(choose(concluded, "silent", "answered")).Inc()
}

// Delegation counts one step of handing a job to another entry.
func (r *Recorder) Delegation(result string) { r.delegations.WithLabelValues(result).Inc() }

// LogLineSuppressed counts one log line about a job that was not written
// because of the limit on log volume.
func (r *Recorder) LogLineSuppressed(state string) { r.suppressedLogLines.WithLabelValues(state).Inc() }

// RequestDropped counts one request that arrived and got no answer.
func (r *Recorder) RequestDropped(state string) { r.droppedRequests.WithLabelValues(state).Inc() }

// CallerLimited counts a connection that was closed, or a request that was refused, because of
// a limit.
func (r *Recorder) CallerLimited(reason string) { r.limitedCallers.WithLabelValues(reason).Inc() }

// Order counts one order to a leased upstream.
func (r *Recorder) Order(kind, result string) {
	r.orders.WithLabelValues(kind, result).Inc()
}

// Message counts one message to an upstream of the given kind.
func (r *Recorder) Message(service, tenant, kind string) {
	r.messages.WithLabelValues(service, tenant, kind).Inc()
}

// Forward counts one message to the home of a job by result.
func (r *Recorder) Forward(service, tenant, result string) {
	r.forwards.WithLabelValues(service, tenant, result).Inc()
}

// Borrow counts one message about lent slots by result.
func (r *Recorder) Borrow(service, result string) {
	r.slotMessages.WithLabelValues(service, result).Inc()
}

// Wait observes the time that a task waited for a slot.
func (r *Recorder) Wait(service, tenant string, d time.Duration) {
	r.queueWait.WithLabelValues(service, tenant).Observe(d.Seconds())
}

// Took observes the time that an upstream took for a task.
func (r *Recorder) Took(service, tenant string, d time.Duration) {
	r.upstreamTime.WithLabelValues(service, tenant).Observe(d.Seconds())
}

// Request counts one request of a caller by HTTP status. If the tenant is empty,
// the service is recorded as "unknown".
func (r *Recorder) Request(service, tenant string, status int) {
	if tenant == "" {
		service = "unknown"
	}
	r.requests.WithLabelValues(service, tenant, strconv.Itoa(status)).Inc()
}

// Response observes the time from a submission to its answer.
func (r *Recorder) Response(service, tenant string, d time.Duration) {
	r.responseTime.WithLabelValues(service, tenant).Observe(d.Seconds())
}

// Count counts one call to the platform by operation and result.
func (r *Recorder) Count(operation, result string) {
	r.platformCalls.WithLabelValues(operation, result).Inc()
}

// Ended counts one job by its state and verdict.
func (r *Recorder) Ended(service, tenant, state, verdict string) {
	r.jobsEnded.WithLabelValues(service, tenant, state, verdict).Inc()
}

// RefusedHandshake counts a connection that failed the handshake.
func (r *Recorder) RefusedHandshake() { r.refusedHandshakes.Inc() }
