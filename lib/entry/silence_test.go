package entry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// relay passes datagrams between one client and a server. It can hold those for the
// client back and drop all.
type relay struct {
	net.PacketConn
	server net.Conn

	mu     sync.Mutex
	client net.Addr
	held   [][]byte
	holds  bool
	drops  bool
}

// newRelay starts a relay to the server at the given address.
func newRelay(t *testing.T, address string) *relay {
	t.Helper()
	server, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{PacketConn: front, server: server}
	t.Cleanup(func() { front.Close(); server.Close() })
	go r.passRequests()
	go r.passReplies()
	return r
}

func (r *relay) passRequests() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := r.ReadFrom(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = from
		if !r.drops {
			_, _ = r.server.Write(buf[:n])
		}
		r.mu.Unlock()
	}
}

func (r *relay) passReplies() {
	buf := make([]byte, 1<<16)
	for {
		n, err := r.server.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		switch {
		case r.holds:
			r.held = append(r.held, append([]byte(nil), buf[:n]...))
		case !r.drops:
			_, _ = r.WriteTo(buf[:n], r.client)
		}
		r.mu.Unlock()
	}
}

// hold holds datagrams for the client back.
func (r *relay) hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = true
}

// release delivers the datagrams held back and passes later ones on.
func (r *relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.held {
		_, _ = r.WriteTo(b, r.client)
	}
	r.held, r.holds = nil, false
}

// drop drops all datagrams from now on.
func (r *relay) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drops = true
}

// pass ends the drops.
func (r *relay) pass() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drops = false
}

// TestSilenceAfterLateReplies guards against calls that wait on a dead connection
// for as long as earlier replies were late.
func TestSilenceAfterLateReplies(t *testing.T) {
	dir := issueTestKeys(t)
	_, c, p, _ := startPair(t, &echoHandler{}, dir, dir)
	r := newRelay(t, p.Address)
	p.Address = r.LocalAddr().String()
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil {
		t.Fatal(err)
	}
	r.hold()
	time.AfterFunc(idleTimeout-500*time.Millisecond, r.release)
	if _, err := c.Call(t.Context(), p, &wire.Envelope{}); err != nil {
		t.Fatal(err)
	}
	r.drop()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 10*idleTimeout)
	defer cancel()
	if _, err := c.Call(ctx, p, &wire.Envelope{}); classifier.Of(err) != classifier.MayHaveRun {
		t.Error(err)
	}
	if d := time.Since(began); d > 2*idleTimeout {
		t.Errorf("the silence was noticed after %v, want %v", d, idleTimeout)
	}
}
