// Package upstream runs tasks on upstream VMs over HTTP.
//
// Each request carries one task. The task's identifier, deadline and lease are
// sent in headers and its input is the body, so that nothing is encoded twice.
//
// # Usage
//
//	c := upstream.NewClient(64)
//	out, err := c.Start(ctx, "127.0.0.1:8000", task)
//	if classifier.Of(err) == classifier.NotRun {
//		// The upstream was not reached or refused the task: retry elsewhere.
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
	// HeaderVerdict carries the verdict of a refused task.
	HeaderVerdict = "Radishweir-Verdict"
	// HeaderLeaving is "true" on every answer of an upstream that is leaving.
	HeaderLeaving = "Radishweir-Leaving"
)

// MaxOutputBytes bounds the output of one task.
const MaxOutputBytes = 4 << 20

// dialTimeout bounds the time to establish a connection.
const dialTimeout = time.Second

// Task is one attempt at one task of a job.
type Task struct {
	// ID is unique over all tenants and jobs.
	ID string
	// Service names the service that the task belongs to.
	Service string
	// Attempt counts the starts of this task, from 1.
	Attempt uint32
	// Deadline is the absolute time after which the answer is no longer needed.
	Deadline time.Time
	// Lease is the incarnation of the entry that owns the slot.
	Lease string
	// Input is passed on unchanged.
	Input []byte
}

// Result is an upstream's answer to one attempt.
type Result struct {
	// Output is the output of the task.
	Output []byte
	// Leaving is true if the upstream accepts no new tasks.
	Leaving bool
	// Busy is true if the upstream refused the task because no slot was free.
	Busy bool
}

// Client runs tasks on any number of upstreams.
type Client struct {
	tasks  *http.Client
	checks *http.Client
}

// NewClient returns a client that runs tasks over at most the given number of
// connections per upstream. Status checks and cancellations each use a new
// connection.
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

// Start runs t on the upstream at address and waits for its end. The error's
// verdict is NotRun if no connection was obtained or the upstream refused the
// task, Ran if the task failed on the upstream, and MayHaveRun otherwise.
func (c *Client) Start(ctx context.Context, address string, t Task) (Result, error) {
	gotConn := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn = true }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, trace), http.MethodPost, address, t.ID, t.Input)
	if err != nil {
		return Result{}, classifier.Wrap(classifier.NotRun, err, "the request cannot be built")
	}
	setHeaders(r.Header, t)
	resp, err := c.tasks.Do(r)
	if err != nil && !gotConn {
		return Result{}, classifier.Wrap(classifier.NotRun, err, "the upstream cannot be reached")
	}
	if err != nil {
		return Result{}, classifier.Wrap(classifier.MayHaveRun, err, "the upstream did not answer")
	}
	return readResult(resp, t)
}

// Status queries the state of a task over a new connection. running is true while
// the task runs. The error's verdict is NotRun only if the upstream refused the
// task for lack of a slot or memory. For a task that the upstream does not know it
// is MayHaveRun, because the request that starts the task may still arrive.
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

// Cancel asks the upstream to stop a task. It does not wait until the task has
// stopped.
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

// Close closes idle connections.
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

// readResult converts a response to a result, or to an error with its verdict.
func readResult(resp *http.Response, t Task) (Result, error) {
	defer func() { _ = resp.Body.Close() }()
	res := Result{Leaving: resp.Header.Get(HeaderLeaving) == "true"}
	out, err := io.ReadAll(io.LimitReader(resp.Body, MaxOutputBytes+1))
	if err != nil {
		return res, classifier.Wrap(classifier.MayHaveRun, err, "the upstream's answer broke off")
	}
	// A refusal need not name its task, but may belong to another one.
	unnamed := resp.Header.Get(HeaderTask) == ""
	if resp.Header.Get(HeaderVerdict) == classifier.NotRun.String() && (unnamed || answersTask(resp.Header, t)) {
		res.Busy = resp.StatusCode == http.StatusTooManyRequests
		return res, classifier.New(classifier.NotRun, "the upstream refused the task")
	}
	if !answersTask(resp.Header, t) {
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

// answersTask reports whether the response headers name the identifier and the
// attempt of t.
func answersTask(h http.Header, t Task) bool {
	return h.Get(HeaderTask) == t.ID && h.Get(HeaderAttempt) == strconv.FormatUint(uint64(t.Attempt), 10)
}
