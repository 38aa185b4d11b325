package drainer_test

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against connections, and a listener, that end with the process as less time is left
// than idle connections are closed over.
func TestShortDrainClosesIdleConnections(t *testing.T) {
	l := listen(t)
	s := serve(t, l, 0)
	all := callers(t, l, 200, true)
	time.Sleep(600 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	for _, c := range all {
		go func() {
			_, _ = c.receive()
			_ = c.Close()
		}()
	}
	if err := s.Drain(ctx); err != nil {
		idle, _, _ := s.Counts()
		t.Errorf("the drain ended with %v, %d idle connections", err, idle)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is still open")
	}
}
