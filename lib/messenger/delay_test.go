package messenger_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/messenger"
	"radishweir.org/lib/wire"
)

// pausingHandler is a handler of a process that can be paused.
type pausingHandler struct {
	*recordingHandler
	gate sync.RWMutex
}

func (h *pausingHandler) Frame(peer string, f *wire.PeerFrame) {
	h.gate.RLock()
	defer h.gate.RUnlock()
	h.recordingHandler.Frame(peer, f)
}

func (h *pausingHandler) Complete(peer string, f *wire.PeerFrame, upstreams map[string]bool) {
	h.gate.RLock()
	defer h.gate.RUnlock()
	h.recordingHandler.Complete(peer, f, upstreams)
}

// hasRequest reports whether a request for a task was received.
func (h *recordingHandler) hasRequest(task string) bool {
	return h.hasFrame(func(f *wire.PeerFrame) bool {
		for _, q := range f.GetRequests() {
			if q.GetTask() == task {
				return true
			}
		}
		return false
	})
}

// sendRequest sends a request for a task.
func sendRequest(m *messenger.Messenger, peer, task string) bool {
	return m.Send(peer, func(f *wire.PeerFrame) { f.Requests = append(f.Requests, &wire.RunRequest{Task: task}) })
}

func TestRequestsFromBeforeAPauseAreDropped(t *testing.T) {
	a, ha, _ := startMessenger(t, "a")
	b, hb, stop := startMessenger(t, "b")
	stop()
	paused := &pausingHandler{recordingHandler: hb}
	c := &messenger.Messenger{Name: "b", Address: b.Address, Handler: paused, Log: b.Log}
	eventually(t, "the address to be free", func() bool { return c.Listen() == nil })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	a.SetPeers(t.Context(), map[string]messenger.Peer{"b": {Address: b.Address, Near: true}})
	eventually(t, "both up", func() bool { return ha.isUp("b") && hb.isUp("a") })
	paused.gate.Lock()
	// A heartbeat occupies the receiver, so the request waits in its socket.
	time.Sleep(200 * time.Millisecond)
	if !sendRequest(a, "b", "old") {
		t.Fatal("the peer is down before its silence is noticed")
	}
	eventually(t, "the sender notices the silence", func() bool { return !ha.isUp("b") })
	time.Sleep(2 * time.Second)
	paused.gate.Unlock()
	eventually(t, "both up again and a new request received", func() bool {
		sendRequest(a, "b", "new")
		time.Sleep(50 * time.Millisecond)
		return ha.isUp("b") && hb.hasRequest("new")
	})
	if hb.hasRequest("old") {
		t.Error("a request was processed after its sender had counted the peer as down for 2 s")
	}
}

// orderHandler records whether a frame was still being processed when the peer was
// reported as up again.
type orderHandler struct {
	recordingHandler
	blocked, release chan struct{}
	busy             bool
	overlapped       bool
}

func (h *orderHandler) Up(peer string, session uint64) {
	h.mu.Lock()
	h.overlapped = h.overlapped || h.busy
	h.mu.Unlock()
	h.recordingHandler.Up(peer, session)
}

func (h *orderHandler) Frame(peer string, f *wire.PeerFrame) {
	if len(f.GetRequests()) > 0 {
		h.mu.Lock()
		h.busy = true
		h.mu.Unlock()
		close(h.blocked)
		<-h.release
		h.mu.Lock()
		h.busy = false
		h.mu.Unlock()
	}
	h.recordingHandler.Frame(peer, f)
}

func TestFramesOfReplacedConnectionPrecedeUp(t *testing.T) {
	a, _, stop := startMessenger(t, "a")
	b, _, stopB := startMessenger(t, "b")
	stopB()
	h := &orderHandler{blocked: make(chan struct{}), release: make(chan struct{})}
	c := &messenger.Messenger{Name: "b", Address: b.Address, Handler: h, Log: b.Log}
	eventually(t, "the address to be free", func() bool { return c.Listen() == nil })
	go func() { _ = c.Run(t.Context()) }()
	a.SetPeers(t.Context(), map[string]messenger.Peer{"b": {Address: b.Address, Near: true}})
	eventually(t, "up", func() bool { return sendRequest(a, "b", "first") })
	<-h.blocked
	stop()
	again := &messenger.Messenger{Name: "a", Address: a.Address, Handler: &recordingHandler{}, Log: b.Log}
	eventually(t, "the address to be free", func() bool { return again.Listen() == nil })
	go func() { _ = again.Run(t.Context()) }()
	again.SetPeers(t.Context(), map[string]messenger.Peer{"b": {Address: b.Address, Near: true}})
	time.Sleep(4 * messenger.SilenceLimit)
	close(h.release)
	eventually(t, "up after the last frame of the old connection", func() bool { return h.isUp("a") })
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.overlapped {
		t.Error("the peer was reported as up while a frame of its former connection was processed")
	}
}
