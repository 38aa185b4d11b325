package entry

import (
	"sync"
	"testing"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// TestRefusalWhileRequestIsSent guards against may_have_run for a request that is refused
// after its last byte was written and before its stream was closed.
func TestRefusalWhileRequestIsSent(t *testing.T) {
	dir := issueTestKeys(t)
	s, c, p, _ := startPair(t, &echoHandler{}, dir, dir)
	s.closing.Store(true)
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
