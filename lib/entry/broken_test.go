package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// breakingHandler closes all connections of its server when it has got the given number
// of requests, and leaves these without an answer. It answers later requests.
type breakingHandler struct {
	server atomic.Pointer[Server]
	left   atomic.Int64
}

func (h *breakingHandler) Handle(ctx context.Context, _ string, _ *wire.Envelope) *wire.Reply {
	switch n := h.left.Add(-1); {
	case n < 0:
		return &wire.Reply{}
	case n == 0:
		s := h.server.Load()
		s.mu.Lock()
		for conn := range s.conns {
			_ = conn.CloseWithError(codeStopped, "broken")
		}
		s.mu.Unlock()
	}
	<-ctx.Done()
	return &wire.Reply{}
}

// current returns the connection that the next call uses if it is live.
func (l *link) current() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// TestCallAfterBrokenConnection guards against calls that are sent again at once after
// their connection broke, and get the broken connection once more: the streams of a
// connection fail before its context ends.
func TestCallAfterBrokenConnection(t *testing.T) {
	const calls = 16
	dir := issueTestKeys(t)
	h := &breakingHandler{}
	s, c, p, _ := startPair(t, h, dir, dir)
	h.server.Store(s)
	for range 50 {
		if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil {
			t.Fatal("call on a live connection:", err)
		}
		broken := c.link(p).current()
		h.left.Store(calls)
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				if _, err := c.Call(t.Context(), p, &wire.Envelope{}); classifier.Of(err) != classifier.MayHaveRun {
					t.Errorf("call whose connection breaks: %v", err)
				}
				if c.link(p).current() == broken {
					t.Error("the next call may get the broken connection")
				}
				if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil {
					t.Errorf("call after the connection broke: %v", err)
				}
			})
		}
		wg.Wait()
	}
}
