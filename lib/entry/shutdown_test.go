package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// TestRefusalWhileRequestIsSent guards against may_have_run for a request that is refused
// after its last byte was written and before its stream was closed.
func TestRefusalWhileRequestIsSent(t *testing.T) {
	dir := issueTestKeys(t)
	s, c, p, _ := startPair(t, &echoHandler{}, dir, dir)
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil {
		t.Fatal(err)
	}
	s.refuse()
	q := &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Name: "a"}}}
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			for range 500 {
				if _, err := c.Call(t.Context(), p, q); classifier.Of(err) != classifier.NotRun {
					t.Error(err)
				}
			}
		})
	}
	calls.Wait()
}

// TestShutdownDuringRequest guards against may_have_run for a request that has not arrived
// whole when the server shuts down.
func TestShutdownDuringRequest(t *testing.T) {
	dir := issueTestKeys(t)
	s, c, p, _ := startPair(t, &echoHandler{}, dir, dir)
	conn, err := c.connect(t.Context(), p)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.calls.Done()
	st, err := conn.OpenStreamSync(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := st.Write([]byte{10}); err != nil {
		t.Fatal(err)
	}
	for s.active.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*drainQuietPeriod)
	defer cancel()
	go s.Shutdown(ctx)
	var se *quic.StreamError
	if err := readMessage(st, &wire.Reply{}); !errors.As(err, &se) || se.ErrorCode != codeNotProcessed {
		t.Error(err)
	}
}

// TestShutdownAfterLostReply guards against replies that are lost because the connection
// is closed before they have arrived.
func TestShutdownAfterLostReply(t *testing.T) {
	dir := issueTestKeys(t)
	h := &echoHandler{delay: 200 * time.Millisecond}
	s, c, p, _ := startPair(t, h, dir, dir)
	r := newRelay(t, p.Address)
	p.Address = r.LocalAddr().String()
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(h.delay/2, r.drop)
	time.AfterFunc(h.delay, func() { s.Shutdown(t.Context()) })
	time.AfterFunc(h.delay+2*drainQuietPeriod, r.pass)
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil {
		t.Error(err)
	}
}

// TestShutdownUnderLoad guards against calls that end as may_have_run because they arrive
// while the connections are closed.
func TestShutdownUnderLoad(t *testing.T) {
	const clients = 16
	dir := issueTestKeys(t)
	for range 5 {
		h := &echoHandler{}
		s, c, p, _ := startPair(t, h, dir, dir)
		stopped := make(chan struct{})
		var calls sync.WaitGroup
		for range clients {
			c := &Client{TLS: c.TLS}
			defer c.Close()
			calls.Go(func() { callUntil(t, stopped, c, p) })
		}
		s.Shutdown(t.Context())
		close(stopped)
		calls.Wait()
	}
}

// callUntil makes calls until stopped is closed, and checks that each is answered or
// certainly not processed.
func callUntil(t *testing.T, stopped <-chan struct{}, c *Client, p Peer) {
	for {
		if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil && classifier.Of(err) != classifier.NotRun {
			t.Error(err)
		}
		select {
		case <-stopped:
			return
		case <-time.After(40 * time.Millisecond):
		}
	}
}
