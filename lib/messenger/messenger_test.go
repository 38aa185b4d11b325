package messenger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/messenger"
	"radishweir.org/lib/wire"
)

// waitLimit bounds how long these tests wait for an event, far beyond any
// delay of a busy machine.
const waitLimit = 20 * time.Second

// handler keeps what a messenger tells.
type handler struct {
	mu     sync.Mutex
	up     map[string]bool
	frames []*wire.PeerFrame
}

func (h *handler) Up(peer string, _ uint64) { h.set(peer, true) }

func (h *handler) Down(peer string) { h.set(peer, false) }

func (h *handler) set(peer string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up == nil {
		h.up = make(map[string]bool)
	}
	h.up[peer] = up
}

func (h *handler) Frame(_ string, f *wire.PeerFrame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frames = append(h.frames, f)
}

func (h *handler) Complete(_ string, f *wire.PeerFrame, upstreams map[string]bool) {
	for name := range upstreams {
		f.Upstreams = append(f.Upstreams, &wire.UpstreamState{Upstream: name})
	}
}

// find reports whether a frame matches.
func (h *handler) find(match func(*wire.PeerFrame) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.frames {
		if match(f) {
			return true
		}
	}
	return false
}

func (h *handler) isUp(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up[peer]
}

// eventually waits until ok.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s did not happen within %v", what, waitLimit)
}

// start runs a messenger on loopback.
func start(t *testing.T, name string) (*messenger.Messenger, *handler, context.CancelFunc) {
	t.Helper()
	h := &handler{}
	m := &messenger.Messenger{Name: name, Handler: h, Log: zerolog.Nop()}
	eventually(t, "a free port", func() bool {
		// Below the range of the ports of outgoing connections.
		m.Address = fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		return m.Listen() == nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = m.Run(ctx) }()
	return m, h, cancel
}

func TestFramesArrive(t *testing.T) {
	a, ha, _ := start(t, "a")
	b, hb, _ := start(t, "b")
	// Only one knows the other; the greeting tells the address.
	a.SetPeers(t.Context(), map[string]string{"b": b.Address})
	eventually(t, "both up", func() bool { return ha.isUp("b") && hb.isUp("a") })
	for i := range 3 {
		a.Send("b", func(f *wire.PeerFrame) {
			f.Requests = append(f.Requests, &wire.RunRequest{Task: strconv.Itoa(i)})
		})
	}
	b.Publish("u1")
	eventually(t, "the last request", func() bool {
		return hb.find(func(f *wire.PeerFrame) bool {
			n := len(f.GetRequests())
			return n > 0 && f.GetRequests()[n-1].GetTask() == "2"
		})
	})
	eventually(t, "the count of taken requests and the state", func() bool {
		return ha.find(func(f *wire.PeerFrame) bool { return f.GetTaken() == 3 }) &&
			ha.find(func(f *wire.PeerFrame) bool { return len(f.GetUpstreams()) == 1 })
	})
}

func TestPeerEndsAndComesBack(t *testing.T) {
	a, ha, _ := start(t, "a")
	b, _, stop := start(t, "b")
	a.SetPeers(t.Context(), map[string]string{"b": b.Address})
	eventually(t, "up", func() bool { return ha.isUp("b") })
	stop()
	eventually(t, "down", func() bool { return !ha.isUp("b") })
	if a.Send("b", func(*wire.PeerFrame) {}) {
		t.Error("a message to a peer that is down was taken")
	}
	again := &messenger.Messenger{Name: "b", Address: b.Address, Handler: &handler{}, Log: zerolog.Nop()}
	eventually(t, "the address to be free", func() bool { return again.Listen() == nil })
	go func() { _ = again.Run(t.Context()) }()
	// The registration has lapsed; the peer is dialled all the same.
	a.SetPeers(t.Context(), nil)
	eventually(t, "up again", func() bool { return ha.isUp("b") })
}

// A peer that is heard but does not hear is down on both sides.
func TestOneWay(t *testing.T) {
	a, ha, _ := start(t, "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	// The stand-in takes the connection, and its own never gets through.
	a.SetPeers(t.Context(), map[string]string{"deaf": l.Addr().String()})
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	time.Sleep(2 * messenger.SilenceLimit)
	if ha.isUp("deaf") {
		t.Error("a peer that sends nothing is up")
	}
}
