package runner

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/wire"
)

// Upstream is what the platform says of one upstream.
type Upstream struct {
	// Name identifies this life of the upstream's VM.
	Name string
	// Service is the service whose tasks it runs.
	Service string
	// Domain is its failure domain.
	Domain string
	// Address is its IP number and port.
	Address string
	// Incarnation is the time of its start in Unix milliseconds; 0 if unknown.
	Incarnation int64
	// Capacity is what all its runs may take together.
	Capacity packer.Amount
	// Leaving is true when it takes no new work.
	Leaving bool
	// Connections bounds the connections to it from all entries.
	Connections int
	// Labels are its labels, each between two bars; a string keeps upstreams
	// comparable.
	Labels string
}

// LabelsOf returns labels in the form of Upstream.Labels.
func LabelsOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return "|" + strings.Join(list, "|") + "|"
}

// HasLabel reports whether the upstream has a label.
func (u *Upstream) HasLabel(label string) bool { return strings.Contains(u.Labels, "|"+label+"|") }

// Order starts or stops one run.
type Order struct {
	Task string
	Run  uint64
	Spec string
	// Token is the fencing token of the owner.
	Token int64
	// Expires is the end of the lease in milliseconds of the upstream's clock.
	Expires int64
}

// Look renews the lease of everything on an upstream and asks for its runs.
type Look struct {
	Token int64
	// Observed is the number of the last end that was taken note of.
	Observed uint64
	// Expires is as in Order; 0 renews nothing.
	Expires int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Running is a run that is at work.
type Running struct {
	Task string
	Run  uint64
	// Percent is the share of its work that is done.
	Percent float64
}

// Ended is a run that is over.
type Ended struct {
	// Number counts the ends of one incarnation, from 1.
	Number uint64
	Task   string
	Run    uint64
	Cause  wire.RunEnd_Cause
}

// Report is what an upstream answers.
type Report struct {
	// Clock is the upstream's clock in milliseconds.
	Clock int64
	// Incarnation is as in Upstream.
	Incarnation int64
	Running     []Running
	Ended       []Ended
}

// Client sends orders to upstreams. An error is a *Refusal when the upstream
// did nothing and said so; after any other the order may have been carried out
// or may be carried out later.
type Client interface {
	Start(ctx context.Context, u Upstream, o Order) (Report, error)
	Stop(ctx context.Context, u Upstream, o Order) (Report, error)
	Look(ctx context.Context, u Upstream, l Look) (Report, error)
}

// Reason says why an upstream refused an order.
type Reason int

// Reasons of a Refusal.
const (
	// Unhealthy upstreams refuse everything.
	Unhealthy Reason = iota + 1
	// Fenced orders came from an owner that was replaced.
	Fenced
	// Superseded runs have too low a number.
	Superseded
	// Expired orders came after the end of their lease.
	Expired
	// NoRoom means that the run does not fit.
	NoRoom
	// Replaced upstreams were started anew since.
	Replaced
	// Invalid orders cannot be carried out.
	Invalid
)

// Refusal is an upstream's answer that it did nothing.
type Refusal struct {
	Reason Reason
	// Clock is as in Report; 0 if the upstream did not say.
	Clock int64
}

// Error implements error.
func (r *Refusal) Error() string {
	return [...]string{
		"refused", "the upstream is unhealthy", "the owner was replaced", "the run is superseded",
		"the order came too late", "the run does not fit", "the upstream was started anew", "the order is invalid",
	}[r.Reason]
}

// reason returns the reason of a refusal, 0 if err is none.
func reason(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return 0
}
