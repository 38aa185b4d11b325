package drainer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/drainer"
	"radishweir.org/lib/limiter"
)

// serveLimited starts a server with limits on a new port and returns a function that connects
// a caller.
func serveLimited(t *testing.T, limits limiter.Limits, h http.HandlerFunc) (*drainer.Server, func() *caller) {
	t.Helper()
	l := listen(t)
	s := &drainer.Server{Limits: func() limiter.Limits { return limits }, Observer: &drops{}, Log: zerolog.Nop()}
	s.Handler = h
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, func() *caller { return dial(t, l) }
}

// readBody answers with the size of the body, or with 503 if the request is refused.
func readBody(w http.ResponseWriter, r *http.Request) {
	data, err := drainer.ReadBody(r, 1<<20)
	var refused *drainer.RefusedError
	switch {
	case errors.As(err, &refused):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}
	_, _ = fmt.Fprint(w, len(data))
}

// post begins a request with a body of n bytes and sends the first sent bytes of it.
func (c *caller) post(n, sent int) error {
	_, err := fmt.Fprintf(c, "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", sent))
	return err
}

// status reads an answer and returns its status and whether the connection is closed after it.
func (c *caller) status() (int, bool, error) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

// Guards against a refused request that gets no answer, or whose rest is read as the next one.
func TestUnfinishedBodyIsRefusedForAnother(t *testing.T) {
	s, connect := serveLimited(t, limiter.Limits{Memory: 600 << 10}, readBody)
	const size = 256 << 10
	stalled := connect()
	if err := stalled.post(size, size-1); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, memory := s.Usage(); memory > size/2 {
			break
		}
	}
	other := connect()
	if err := other.post(size, size); err != nil {
		t.Fatal(err)
	}
	if status, closes, err := other.status(); status != http.StatusOK || closes {
		t.Errorf("the whole request was answered %d, closes %v, %v", status, closes, err)
	}
	if status, closes, err := stalled.status(); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("the unfinished request was answered %d, closes %v, %v", status, closes, err)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, memory := s.Usage(); memory == 0 {
			return
		}
	}
	t.Error("the memory of the requests was not given back")
}

// Guards against a body that never ends, on a server that has room for it.
func TestBodyIsRefusedAfterItsTimeout(t *testing.T) {
	_, connect := serveLimited(t, limiter.Limits{BodyTimeout: time.Second}, readBody)
	c := connect()
	if err := c.post(1000, 999); err != nil {
		t.Fatal(err)
	}
	if status, closes, err := c.status(); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("the request was answered %d, closes %v, %v", status, closes, err)
	}
}

// Guards against a drain that waits for bodies that do not go on.
func TestDrainDoesNotWaitForStalledBodies(t *testing.T) {
	s, connect := serveLimited(t, limiter.Limits{BodyTimeout: time.Minute}, readBody)
	stalled := connect()
	if err := stalled.post(1000, 999); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, _, served := s.Counts(); served > 0 {
			break
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Errorf("the drain ended with %v", err)
	}
	if status, closes, err := stalled.status(); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("the request was answered %d, closes %v, %v", status, closes, err)
	}
}

// Guards against a limit that callers meet in calm: requests of all forms, one after the other
// on one connection, which waits in between, and many at once.
func TestCallersInCalmMeetNoLimit(t *testing.T) {
	limits := limiter.Limits{
		Connections: 100, Memory: 4 << 20, HeaderBytes: 16 << 10,
		HeaderTimeout: 3 * time.Second, BodyTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second,
	}
	_, connect := serveLimited(t, limits, readBody)
	var wg sync.WaitGroup
	for i := range 50 {
		c := connect()
		wg.Go(func() {
			for _, n := range []int{0, 1, 200, 4 << 10, 20 << 10, 200} {
				if err := c.post(n, n/2); err != nil {
					t.Error(err)
				}
				time.Sleep(time.Duration(i%5) * 20 * time.Millisecond)
				_, _ = io.WriteString(c, strings.Repeat("x", n-n/2))
				if status, closes, err := c.status(); status != http.StatusOK || closes {
					t.Errorf("a body of %d bytes was answered %d, closes %v, %v", n, status, closes, err)
					return
				}
			}
		})
	}
	wg.Wait()
}
