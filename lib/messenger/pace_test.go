package messenger_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/messenger"
	"radishweir.org/lib/wire"
)

// relay forwards connections to an address until it is paused: then bytes in both
// directions wait, as behind a network partition.
type relay struct {
	listener net.Listener
	mu       sync.Mutex
	open     *sync.Cond
	paused   bool
}

// startRelay starts a relay in front of an address.
func startRelay(t *testing.T, address string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l}
	r.open = sync.NewCond(&r.mu)
	t.Cleanup(func() { _ = l.Close(); r.pause(false) })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			go r.forward(in, out)
			go r.forward(out, in)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) pause(paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = paused
	r.open.Broadcast()
}

// forward copies bytes from one connection to the other.
func (r *relay) forward(to io.WriteCloser, from io.ReadCloser) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		for r.paused {
			r.open.Wait()
		}
		r.mu.Unlock()
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// pair is two messengers that reach each other only through relays.
type pair struct {
	a, b   *messenger.Messenger
	ha, hb *recordingHandler
	toA    *relay
	toB    *relay
}

func newPair(t *testing.T, near bool) *pair {
	t.Helper()
	p := &pair{}
	var cancel context.CancelFunc
	p.a, p.ha, cancel = startMessenger(t, "a")
	t.Cleanup(cancel)
	p.b, p.hb, cancel = startMessenger(t, "b")
	t.Cleanup(cancel)
	p.toA, p.toB = startRelay(t, p.a.Address), startRelay(t, p.b.Address)
	p.a.SetPeers(t.Context(), map[string]messenger.Peer{"b": {Address: p.toB.address(), Near: near}})
	p.b.SetPeers(t.Context(), map[string]messenger.Peer{"a": {Address: p.toA.address(), Near: near}})
	eventually(t, "both up", func() bool { return p.ha.isUp("b") && p.hb.isUp("a") })
	return p
}

// pause stops all traffic between both.
func (p *pair) pause(paused bool) {
	p.toA.pause(paused)
	p.toB.pause(paused)
}

// frameCount returns the number of frames that both received.
func (p *pair) frameCount() int {
	n := 0
	for _, h := range []*recordingHandler{p.ha, p.hb} {
		h.mu.Lock()
		n += len(h.frames)
		h.mu.Unlock()
	}
	return n
}

// Peers that are not near and have no work for each other exchange few frames, and
// stay up.
func TestIdlePeersExchangeFewFrames(t *testing.T) {
	for _, c := range []struct {
		near     bool
		min, max int
	}{{near: true, min: 30, max: 100}, {near: false, min: 2, max: 12}} {
		p := newPair(t, c.near)
		time.Sleep(300 * time.Millisecond)
		before := p.frameCount()
		time.Sleep(3 * time.Second)
		if n := p.frameCount() - before; n < c.min || n > c.max {
			t.Errorf("near %v: %d frames in 3 s, want %d to %d", c.near, n, c.min, c.max)
		}
		if !p.ha.isUp("b") || !p.hb.isUp("a") {
			t.Errorf("near %v: a peer went down without a cause", c.near)
		}
	}
}

// The silence of a peer is noticed within SilenceLimit of the first message to it,
// however seldom both exchanged frames before.
func TestSilenceOfIdlePeerAfterFirstMessage(t *testing.T) {
	p := newPair(t, false)
	time.Sleep(1500 * time.Millisecond)
	p.pause(true)
	time.Sleep(50 * time.Millisecond)
	if !p.a.Send("b", func(f *wire.PeerFrame) { f.Requests = append(f.Requests, &wire.RunRequest{Task: "x"}) }) {
		t.Fatal("the idle peer counts as down already")
	}
	sent := time.Now()
	for p.ha.isUp("b") && time.Since(sent) < waitLimit {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(sent); took > messenger.SilenceLimit+150*time.Millisecond {
		t.Errorf("the silence was noticed after %v, want %v", took, messenger.SilenceLimit)
	}
}

// While runs link two entries, both notice the other's silence within SilenceLimit,
// however long the last message is ago.
func TestSilenceOfLinkedPeer(t *testing.T) {
	p := newPair(t, false)
	p.ha.linked.Store(true)
	p.hb.linked.Store(true)
	p.a.Send("b", func(f *wire.PeerFrame) { f.Requests = append(f.Requests, &wire.RunRequest{Task: "x"}) })
	time.Sleep(3 * time.Second)
	p.pause(true)
	cut := time.Now()
	for (p.ha.isUp("b") || p.hb.isUp("a")) && time.Since(cut) < waitLimit {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(cut); took > messenger.SilenceLimit+150*time.Millisecond {
		t.Errorf("the silence was noticed after %v, want %v", took, messenger.SilenceLimit)
	}
}

// An entry that owns a run of a peer relies on the peer's heartbeats although only
// the peer's requests made both active.
func TestOwnerOfRunNoticesSilentRequester(t *testing.T) {
	p := newPair(t, false)
	p.ha.linked.Store(true)
	p.a.Send("b", func(f *wire.PeerFrame) { f.Requests = append(f.Requests, &wire.RunRequest{Task: "x"}) })
	eventually(t, "the request", func() bool {
		return p.hb.hasFrame(func(f *wire.PeerFrame) bool { return len(f.GetRequests()) > 0 })
	})
	time.Sleep(3 * time.Second)
	p.pause(true)
	cut := time.Now()
	for p.hb.isUp("a") && time.Since(cut) < waitLimit {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(cut); took > messenger.SilenceLimit+150*time.Millisecond {
		t.Errorf("the silence was noticed after %v, want %v", took, messenger.SilenceLimit)
	}
}

// Changes of states go to idle peers with their next heartbeat, urgent ones at
// once.
func TestStatesForIdlePeers(t *testing.T) {
	p := newPair(t, false)
	time.Sleep(1200 * time.Millisecond)
	has := func(name string) func() bool {
		return func() bool {
			return p.hb.hasFrame(func(f *wire.PeerFrame) bool {
				for _, u := range f.GetUpstreams() {
					if u.GetUpstream() == name {
						return true
					}
				}
				return false
			})
		}
	}
	p.a.Publish("urgent", true)
	began := time.Now()
	eventually(t, "the urgent change", has("urgent"))
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("an urgent change took %v", took)
	}
	p.a.Publish("ordinary", false)
	eventually(t, "the ordinary change", has("ordinary"))
}

// The time in which a slow entry processes a frame is not silence of the peer.
func TestSlowHandlerIsNoSilence(t *testing.T) {
	p := newPair(t, true)
	p.hb.delay = 2 * messenger.SilenceLimit
	p.a.Send("b", func(f *wire.PeerFrame) { f.Requests = append(f.Requests, &wire.RunRequest{Task: "x"}) })
	for began := time.Now(); time.Since(began) < 4*messenger.SilenceLimit; time.Sleep(time.Millisecond) {
		if !p.hb.isUp("a") {
			t.Fatalf("the peer counts as silent %v after a frame that takes %v to process", time.Since(began), p.hb.delay)
		}
	}
}
