package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/wire"
)

// Client submits jobs to an entry. Exported fields are set before use.
type Client struct {
	// Address is the IP number and port of an entry or of the balancer.
	Address string
	// Token is the tenant's bearer token.
	Token string
	// HTTP performs the requests.
	HTTP *http.Client
}

// Submit sends a job. It returns the job's answer if wait is set, and its
// progress otherwise.
func (c *Client) Submit(ctx context.Context, j *wire.JobRequest, wait bool) (*wire.JobAnswer, error) {
	data, err := proto.Marshal(j)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	q := url.Values{"wait": {strconv.FormatBool(wait)}}
	a := &wire.JobAnswer{}
	return a, c.do(ctx, http.MethodPost, c.path(j.GetService(), "/jobs?")+q.Encode(), data, a)
}

// Pull returns the answer or progress of a job.
func (c *Client) Pull(ctx context.Context, service, id string, wait bool) (*wire.JobAnswer, error) {
	q := url.Values{"wait": {strconv.FormatBool(wait)}}
	a := &wire.JobAnswer{}
	return a, c.do(ctx, http.MethodGet, c.path(service, "/jobs/"+url.PathEscape(id)+"?")+q.Encode(), nil, a)
}

// Cancel cancels a job and returns its answer.
func (c *Client) Cancel(ctx context.Context, service, id string) (*wire.JobAnswer, error) {
	a := &wire.JobAnswer{}
	return a, c.do(ctx, http.MethodDelete, c.path(service, "/jobs/"+url.PathEscape(id)), nil, a)
}

// Issue returns n fresh job identifiers.
func (c *Client) Issue(ctx context.Context, service string, n int) ([]string, error) {
	b := &wire.IdentifierBlock{}
	err := c.do(ctx, http.MethodPost, c.path(service, "/job-ids?count=")+strconv.Itoa(n), nil, b)
	return b.GetJobIds(), err
}

func (c *Client) path(service, rest string) string {
	return "http://" + c.Address + "/v1/services/" + url.PathEscape(service) + rest
}

// do performs one request and decodes its answer into m. It returns a
// StatusError if the request was refused. After any other error it is unknown
// whether the entry received the request.
func (c *Client) do(ctx context.Context, method, target string, body []byte, m proto.Message) error {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", contentProtobuf)
	r.Header.Set("Accept", contentProtobuf)
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	if resp.Header.Get("Content-Type") != contentProtobuf {
		return decodeRefusal(resp.StatusCode, data)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// decodeRefusal returns a StatusError with the reason from the JSON body, or the
// text of the status if the body holds none.
func decodeRefusal(status int, data []byte) error {
	var b errorBody
	if json.Unmarshal(data, &b) != nil || b.Error == "" {
		b.Error = http.StatusText(status)
	}
	return &StatusError{status, b.Error}
}
