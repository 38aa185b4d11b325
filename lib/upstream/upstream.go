// Package upstream runs tasks on upstream VMs over HTTP.
//
// One request carries one task. Its identity, deadline and lease travel in
// headers and its input in the body, so that nothing is encoded twice.
//
// # Usage
//
//	c := upstream.NewClient(64)
//	out, err := c.Start(ctx, "127.0.0.1:8000", task)
//	if classifier.Of(err) == classifier.NotRun {
//		// Nothing reached the upstream, or it refused: the task can go elsewhere.
//	}
//
// docs/PROTOCOLS.md describes the protocol for implementers of upstreams.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/classifier"
)

// Headers of the protocol between entries and upstreams.
const (
	// HeaderTask carries the task's identifier; the upstream echoes it.
	HeaderTask = "Radishweir-Task"
	// HeaderAttempt carries the number of the attempt; the upstream echoes it.
	HeaderAttempt = "Radishweir-Attempt"
	// HeaderDeadline carries the absolute deadline in RFC 3339 with nanoseconds.
	HeaderDeadline = "Radishweir-Deadline"
	// HeaderLease carries the incarnation of the entry that owns the slot.
	HeaderLease = "Radishweir-Lease"
	// HeaderService carries the name of the service.
	HeaderService = "Radishweir-Service"
	// HeaderVerdict tells whether a refused task ran.
	HeaderVerdict = "Radishweir-Verdict"
	// HeaderLeaving is "true" on every answer of an upstream that is leaving.
	HeaderLeaving = "Radishweir-Leaving"
)

// MaxOutputBytes bounds the output of one task.
const MaxOutputBytes = 4 << 20

// dialTimeout bounds the set-up of a connection.
const dialTimeout = time.Second

// Task is one attempt at one task of a job.
type Task struct {
	// ID is unique over all tenants and jobs.
	ID string
	// Service names the service that the task belongs to.
	Service string
	// Attempt counts the starts of this task, from 1.
	Attempt uint32
	// Deadline is the absolute time after which the answer is worthless.
	Deadline time.Time
	// Lease is the incarnation of the entry that owns the slot.
	Lease string
	// Input is passed on unchanged.
	Input []byte
}

// Result is what an upstream said about one attempt.
type Result struct {
	// Output is the answer of the task.
	Output []byte
	// Leaving is true when the upstream wants no new work.
	Leaving bool
	// Busy is true when the upstream refused for want of a slot.
	Busy bool
}

// Client runs tasks on any number of upstreams.
type Client struct {
	tasks  *http.Client
	checks *http.Client
}

// NewClient returns a client that opens at most connections per upstream for
// tasks. Status checks and cancellations use fresh connections of their own.
func NewClient(connections int) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		tasks: &http.Client{Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		checks: &http.Client{Transport: &http.Transport{
			DialContext:       d.DialContext,
			DisableKeepAlives: true,
		}},
	}
}

// Start runs t at address and waits for its end. Its error is NotRun when
// nothing was written to the upstream or the upstream refused the task, Ran
// when the task failed there, and MayHaveRun otherwise.
func (c *Client) Start(ctx context.Context, address string, t Task) (Result, error) {
	written := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written = true }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, trace), http.MethodPost, address, t.ID, t.Input)
	if err != nil {
		return Result{}, classifier.Wrap(classifier.NotRun, err, "the request cannot be built")
	}
	setHeaders(r.Header, t)
	resp, err := c.tasks.Do(r)
	if err != nil && !written {
		return Result{}, classifier.Wrap(classifier.NotRun, err, "the upstream cannot be reached")
	}
	if err != nil {
		return Result{}, classifier.Wrap(classifier.MayHaveRun, err, "the upstream did not answer")
	}
	return readResult(resp, t)
}

// Status asks on a fresh connection what became of a task. Running is true
// while it runs. The error is NotRun only when the upstream has no slot or
// memory for it; an unknown task may still arrive and is MayHaveRun.
func (c *Client) Status(ctx context.Context, address string, t Task) (res Result, running bool, err error) {
	r, err := newRequest(ctx, http.MethodGet, address, t.ID, nil)
	if err != nil {
		return Result{}, false, classifier.Wrap(classifier.MayHaveRun, err, "the request cannot be built")
	}
	resp, err := c.checks.Do(r)
	if err != nil {
		return Result{}, false, classifier.Wrap(classifier.MayHaveRun, err, "the upstream did not answer")
	}
	if resp.StatusCode == http.StatusAccepted {
		_ = resp.Body.Close()
		return Result{}, true, nil
	}
	if resp.StatusCode == http.StatusNotFound {
		_ = resp.Body.Close()
		return Result{}, false, classifier.New(classifier.MayHaveRun, "the upstream does not know the task")
	}
	res, err = readResult(resp, t)
	return res, false, err
}

// Cancel asks the upstream to stop a task. It does not wait for the end.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	r, err := newRequest(ctx, http.MethodDelete, address, id, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	resp, err := c.checks.Do(r)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	return resp.Body.Close()
}

// Close drops idle connections.
func (c *Client) Close() {
	c.tasks.CloseIdleConnections()
	c.checks.CloseIdleConnections()
}

func newRequest(ctx context.Context, method, address, id string, body []byte) (*http.Request, error) {
	u := "http://" + address + "/v1/tasks/" + url.PathEscape(id)
	return http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
}

func setHeaders(h http.Header, t Task) {
	h.Set(HeaderTask, t.ID)
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(t.Attempt), 10))
	h.Set(HeaderDeadline, t.Deadline.UTC().Format(time.RFC3339Nano))
	h.Set(HeaderLease, t.Lease)
	h.Set(HeaderService, t.Service)
}

// readResult turns an answer into a result or an error with its verdict.
func readResult(resp *http.Response, t Task) (Result, error) {
	defer func() { _ = resp.Body.Close() }()
	res := Result{Leaving: resp.Header.Get(HeaderLeaving) == "true"}
	out, err := io.ReadAll(io.LimitReader(resp.Body, MaxOutputBytes+1))
	if err != nil {
		return res, classifier.Wrap(classifier.MayHaveRun, err, "the upstream's answer broke off")
	}
	if resp.Header.Get(HeaderVerdict) == classifier.NotRun.String() {
		res.Busy = resp.StatusCode == http.StatusTooManyRequests
		return res, classifier.New(classifier.NotRun, "the upstream refused the task")
	}
	if !matches(resp.Header, t) {
		return res, classifier.Wrap(classifier.MayHaveRun, ErrWrongTask, "the answer was dropped")
	}
	if resp.StatusCode != http.StatusOK {
		return res, classifier.New(classifier.Ran, "the task failed on the upstream")
	}
	if len(out) > MaxOutputBytes {
		return res, classifier.New(classifier.Ran, "the output is too large")
	}
	res.Output = out
	return res, nil
}

// ErrWrongTask reports an answer that belongs to another task or attempt.
var ErrWrongTask = errors.New("the answer belongs to another task")

// matches reports whether the answer names the task and attempt that was sent.
func matches(h http.Header, t Task) bool {
	return h.Get(HeaderTask) == t.ID && h.Get(HeaderAttempt) == strconv.FormatUint(uint64(t.Attempt), 10)
}
