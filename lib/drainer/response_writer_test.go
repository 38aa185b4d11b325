package drainer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/drainer"
)

// Guards against a caller that sends its next request on a connection that is about to be
// closed: the answer to a request that was open when the server was retired must say so.
func TestOpenRequestClosesItsConnectionOnceRetired(t *testing.T) {
	l := listen(t)
	s := serve(t, l, 200*time.Millisecond)
	c := callers(t, l, 1, false)[0]
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	s.Retire()
	if closes, err := c.receive(); err != nil || !closes {
		t.Errorf("the connection closes after its answer: %v, %v", closes, err)
	}
}

// Guards against an answer without a body that leaves its connection open once retired.
func TestEmptyAnswerClosesItsConnectionOnceRetired(t *testing.T) {
	l := listen(t)
	s := &drainer.Server{Observer: &drops{}, Log: zerolog.Nop()}
	s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	s.Retire()
	c := dial(t, l)
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	if closes, err := c.receive(); err != nil || !closes {
		t.Errorf("the connection closes after its answer: %v, %v", closes, err)
	}
}

// Guards against a refusal of a large body that comes only after the rest of the body.
func TestBodyAboveTheLimitIsRefusedBeforeItsEnd(t *testing.T) {
	l := listen(t)
	s := &drainer.Server{Observer: &drops{}, Log: zerolog.Nop()}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1000)); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c := dial(t, l)
	if _, err := fmt.Fprintf(c, "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 2000)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || !resp.Close {
		t.Errorf("got the status %d, closes: %v; want 413 and the end of the connection", resp.StatusCode, resp.Close)
	}
}
