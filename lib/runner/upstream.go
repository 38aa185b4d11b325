package runner

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/wire"
)

// Upstream is an upstream's registration in the platform's store.
type Upstream struct {
	// Name identifies one incarnation of the upstream's VM.
	Name string
	// Service is the service whose tasks it runs.
	Service string
	// Domain is its failure domain.
	Domain string
	// Address is its IP address and port.
	Address string
	// Incarnation is the time of its start in Unix milliseconds; 0 if unknown.
	Incarnation int64
	// Capacity is the amount that all its runs together may use.
	Capacity packer.Amount
	// Leaving is true when it takes no new work.
	Leaving bool
	// Connections limits the connections to it from all entries.
	Connections int
	// Labels are its labels as JoinLabels returns them; a string keeps Upstream
	// comparable.
	Labels string
}

// JoinLabels encodes labels for Upstream.Labels: separated and enclosed by bars.
func JoinLabels(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return "|" + strings.Join(list, "|") + "|"
}

// HasLabel reports whether the upstream has a label.
func (u *Upstream) HasLabel(label string) bool { return strings.Contains(u.Labels, "|"+label+"|") }

// Order is a command to start or stop one run.
type Order struct {
	Task string
	Run  uint64
	Spec string
	// Token is the fencing token of the owner.
	Token int64
	// Expires is the end of the lease in milliseconds on the upstream's clock.
	Expires int64
	// Withdrawn is closed once a start must not be sent any more; nil if that cannot
	// happen.
	Withdrawn <-chan struct{}
}

// Poll renews the lease of all runs on an upstream and asks for its runs and
// their ends.
type Poll struct {
	Token int64
	// Acknowledged is the number up to which the owner acknowledges ends; the
	// upstream may drop them.
	Acknowledged uint64
	// AcknowledgeBy is the time after which the poll must not carry Acknowledged any more: it
	// may reach a later process of the upstream, which numbers its ends anew.
	AcknowledgeBy time.Time
	// Expires is as in Order; 0 does not renew the lease.
	Expires int64
	// Wait is how long the upstream may delay its answer until a run ends.
	Wait time.Duration
}

// ActiveRun is a run in progress.
type ActiveRun struct {
	Task string
	Run  uint64
	// Percent is the completed share of its work.
	Percent float64
}

// EndedRun is a run that has ended.
type EndedRun struct {
	// Number is the sequence number of the end within one incarnation, from 1.
	Number uint64
	Task   string
	Run    uint64
	Cause  wire.RunEnd_Cause
}

// MaxListedEnds is the maximum number of ends in a report. An upstream that has
// more lists the first ones.
const MaxListedEnds = 500

// Report is an upstream's answer to an order or a poll. Runs and ends are read
// from the answers to polls only.
type Report struct {
	// Clock is the upstream's clock in milliseconds.
	Clock int64
	// Incarnation is as in Upstream.
	Incarnation int64
	Running     []ActiveRun
	Ended       []EndedRun
}

// Client sends orders and polls to upstreams. A *Refusal means that the upstream
// answered and did nothing. After any other error the outcome is unknown: the
// order may have been carried out or may still be.
type Client interface {
	// Start returns a Refusal with the reason Withdrawn if the order was withdrawn
	// before it was sent.
	Start(ctx context.Context, u Upstream, o Order) (Report, error)
	Stop(ctx context.Context, u Upstream, o Order) (Report, error)
	// Poll leaves Acknowledged out if the poll is sent after AcknowledgeBy.
	Poll(ctx context.Context, u Upstream, p Poll) (Report, error)
}

// Reason is why an upstream refused an order or a poll.
type Reason int

// Reasons of a Refusal.
const (
	// Unhealthy means that the upstream refuses everything.
	Unhealthy Reason = iota + 1
	// Fenced means that the fencing token is too low: the sender was replaced as
	// the owner.
	Fenced
	// Superseded means that the run's number is too low.
	Superseded
	// Expired means that the order arrived after the end of its lease.
	Expired
	// NoRoom means that the run does not fit into the free capacity.
	NoRoom
	// Replaced means that another incarnation of the upstream answered.
	Replaced
	// Invalid means that the order cannot be carried out.
	Invalid
	// Withdrawn means that the order was not sent.
	Withdrawn
)

// Refusal is an upstream's answer that it did nothing.
type Refusal struct {
	Reason Reason
	// Clock is as in Report; 0 if the answer lacks it.
	Clock int64
}

// Error implements error.
func (r *Refusal) Error() string {
	return [...]string{
		"refused", "the upstream is unhealthy", "the owner was replaced", "the run is superseded",
		"the lease of the order has expired", "the run does not fit", "the upstream was restarted", "the order is invalid",
		"the order was withdrawn",
	}[r.Reason]
}

// refusalReason returns the reason of a refusal, 0 if err is not a *Refusal.
func refusalReason(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return 0
}
