package messenger_test

import (
	"testing"
	"time"

	"radishweir.org/lib/messenger"
)

func TestIdlePeerStaysUpAfterAShortPause(t *testing.T) {
	a, ha, _ := startMessenger(t, "a")
	b, hb, stop := startMessenger(t, "b")
	stop()
	paused := &pausingHandler{recordingHandler: hb}
	c := &messenger.Messenger{Name: "b", Address: b.Address, Handler: paused, Log: b.Log}
	eventually(t, "the address to be free", func() bool { return c.Listen() == nil })
	go func() { _ = c.Run(t.Context()) }()
	a.SetPeers(t.Context(), map[string]messenger.Peer{"b": {Address: b.Address}})
	eventually(t, "both up", func() bool { return ha.isUp("b") && hb.isUp("a") })
	// The frames become infrequent.
	time.Sleep(2500 * time.Millisecond)
	for range 4 {
		paused.gate.Lock()
		time.Sleep(900 * time.Millisecond)
		paused.gate.Unlock()
		for range 25 {
			time.Sleep(10 * time.Millisecond)
			if !ha.isUp("b") || !hb.isUp("a") {
				t.Fatal("an idle peer counts as down after a pause that is shorter than idleSilenceLimit")
			}
		}
	}
}
