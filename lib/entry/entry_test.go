package entry

import (
	"bytes"
	"context"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// echoHandler replies with the sender's name and counts its calls.
type echoHandler struct {
	calls atomic.Int64
	delay time.Duration
}

func (e *echoHandler) Handle(ctx context.Context, from string, _ *wire.Envelope) *wire.Reply {
	e.calls.Add(1)
	select {
	case <-time.After(e.delay):
	case <-ctx.Done():
	}
	return &wire.Reply{Refusal: from}
}

// issueTestKeys issues certificates for entries a and b and returns their folder.
func issueTestKeys(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	if err := IssueKeys(dir, []string{"a", "b"}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// startPair starts a server named b and returns it with a client named a, the
// server's peer and the number of refused handshakes.
func startPair(t testing.TB, h Handler, serverKeys, clientKeys string) (*Server, *Client, Peer, *atomic.Int64) {
	t.Helper()
	load := func(dir, name string) *Server {
		cfg, err := LoadTLS(filepath.Join(dir, name+CertificateSuffix), filepath.Join(dir, name+KeySuffix), filepath.Join(dir, AuthorityFile))
		if err != nil {
			t.Fatal(err)
		}
		return &Server{TLS: cfg}
	}
	s := load(serverKeys, "b")
	refused := &atomic.Int64{}
	s.Address, s.Handler, s.Log, s.Refused = "127.0.0.1:0", h, zerolog.Nop(), func() { refused.Add(1) }
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	c := &Client{TLS: load(clientKeys, "a").TLS}
	t.Cleanup(func() { c.Close(); cancel() })
	return s, c, Peer{Name: "b", Address: s.listener.Addr().String()}, refused
}

func TestCall(t *testing.T) {
	dir := issueTestKeys(t)
	_, c, p, _ := startPair(t, &echoHandler{}, dir, dir)
	r, err := c.Call(t.Context(), p, &wire.Envelope{})
	if err != nil || r.GetRefusal() != "a" {
		t.Fatal(r, err)
	}
}

// TestRejectsUntrustedPeers checks that neither end accepts a certificate of
// another authority, that a client rejects a server with another name, and that
// the server counts the refused handshakes.
func TestRejectsUntrustedPeers(t *testing.T) {
	h := &echoHandler{}
	_, c, p, refused := startPair(t, h, issueTestKeys(t), issueTestKeys(t))
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); classifier.Of(err) != classifier.NotRun {
		t.Error("another authority:", err)
	}
	dir := issueTestKeys(t)
	_, c, p, _ = startPair(t, h, dir, dir)
	p.Name = "c"
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); classifier.Of(err) != classifier.NotRun {
		t.Error("another name:", err)
	}
	if h.calls.Load() != 0 {
		t.Error("a request of an untrusted peer was handled")
	}
	// A client that skips verification lets the server's own check run.
	_, c, p, refused = startPair(t, h, issueTestKeys(t), issueTestKeys(t))
	c.TLS.InsecureSkipVerify = true
	_, _ = c.Call(t.Context(), p, &wire.Envelope{})
	for end := time.Now().Add(5 * time.Second); refused.Load() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if refused.Load() == 0 || h.calls.Load() != 0 {
		t.Errorf("refused %d, handled %d", refused.Load(), h.calls.Load())
	}
}

// TestShutdown checks that a server that shuts down answers the requests in
// flight and refuses new ones as not processed.
func TestShutdown(t *testing.T) {
	dir := issueTestKeys(t)
	s, c, p, _ := startPair(t, &echoHandler{delay: 500 * time.Millisecond}, dir, dir)
	first := make(chan error, 1)
	go func() {
		_, err := c.Call(context.Background(), p, &wire.Envelope{})
		first <- err
	}()
	time.Sleep(200 * time.Millisecond)
	s.refuse()
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); classifier.Of(err) != classifier.NotRun {
		t.Errorf("a request during shutdown: %v", err)
	}
	s.Shutdown(t.Context())
	if err := <-first; err != nil {
		t.Errorf("a request in flight was cut off: %v", err)
	}
}

// TestCallVerdicts checks the verdicts of a call that cannot connect and of one
// whose peer goes away before it replies.
func TestCallVerdicts(t *testing.T) {
	dir := issueTestKeys(t)
	s, c, p, _ := startPair(t, &echoHandler{delay: time.Hour}, dir, dir)
	if _, err := c.Call(t.Context(), Peer{Name: "b", Address: "127.0.0.1:1"}, &wire.Envelope{}); classifier.Of(err) != classifier.NotRun {
		t.Error(err)
	}
	time.AfterFunc(300*time.Millisecond, func() { _ = s.listener.Close(); s.Shutdown(canceledContext()) })
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); classifier.Of(err) != classifier.MayHaveRun {
		t.Error(err)
	}
}

// canceledContext returns a canceled context.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// FuzzReadMessage looks for messages that break the decoder.
func FuzzReadMessage(f *testing.F) {
	f.Add([]byte{10, 2, 8, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = readMessage(bytes.NewReader(data), &wire.Envelope{})
	})
}

// BenchmarkCall measures a forward and its reply with both ends in one process,
// for several sizes of the job's input.
func BenchmarkCall(b *testing.B) {
	dir := issueTestKeys(b)
	for _, n := range []int{100, 1000, 10000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			_, c, p, _ := startPair(b, &echoHandler{}, dir, dir)
			q := &wire.Envelope{Body: &wire.Envelope_Forward{Forward: &wire.Forward{
				Request: &wire.JobRequest{Tasks: []*wire.Task{{Input: make([]byte, n)}}},
			}}}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := c.Call(context.Background(), p, q); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
