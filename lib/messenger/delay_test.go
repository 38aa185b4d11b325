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
