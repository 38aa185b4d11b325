package drainer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/limiter"
)

// firstBuffer is the size in bytes of the buffer that a body is first read into.
const firstBuffer = 2 << 10

// ErrBodyTooLarge is the error of a body that is larger than allowed.
var ErrBodyTooLarge = errors.New("the body is too large")

// RefusedError is the error of a request that does not fit the limits of its server. The
// request was not processed.
type RefusedError struct {
	Reason limiter.Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Reason == limiter.BodyTimedOut {
		return "the body did not arrive in time"
	}
	return "the entry has no memory for the request"
}

// connOf returns the connection of a request, nil if no Server with limits serves it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil || c.server.Limits == nil {
		return nil
	}
	return c
}

// Reserve adds n bytes to the memory that a request takes until it is answered. It returns a
// *RefusedError if there is not so much.
func Reserve(ctx context.Context, n int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	fits := true
	c.server.update(func(l *limiter.Ledger[*conn], now time.Time) (out []limiter.Victim[*conn]) {
		if out, fits = l.Reserve(c, n, now); !fits {
			c.server.count(limiter.NoMemory)
		}
		return out
	})
	if fits {
		return nil
	}
	return &RefusedError{limiter.NoMemory}
}

// Release takes back n bytes of what Reserve has added.
func Release(ctx context.Context, n int64) {
	if c := connOf(ctx); c != nil {
		c.server.note(func(l *limiter.Ledger[*conn], _ time.Time) { l.Release(c, n) })
	}
}

// ReadBody reads the body of a request, whose memory counts until the request is answered. It
// returns ErrBodyTooLarge for one of more than limit bytes, where 0 means no limit, and a
// *RefusedError if the request does not fit the limits of its server.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	c := connOf(r.Context())
	data, err := readAll(r, limit)
	if c == nil {
		return data, err
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		c.refuse(refused.Reason)
		return nil, err
	}
	if err == nil {
		c.server.note(func(l *limiter.Ledger[*conn], now time.Time) { l.BeginAnswer(c, now) })
	}
	// The request may have been refused for another one while it was read.
	if refusal := c.refusal(); refusal != nil {
		return nil, refusal
	}
	return data, err
}

// readAll reads a body into a buffer that grows with what has arrived.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	// One byte more than the body shows its end.
	most := int64(1) << 62
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	} else if limit > 0 {
		most = limit + 1
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(firstBuffer, 2*int64(cap(data))), most)
			if err := Reserve(r.Context(), size); err != nil {
				return nil, err
			}
			old := data
			data = append(make([]byte, 0, size), old...)
			Release(r.Context(), int64(cap(old)))
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case limit > 0 && int64(len(data)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, errors.Wrap(err, "read the body")
		}
	}
}
