package drainer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// silent is an Observer that counts nothing.
type silent struct{}

func (silent) RequestDropped(string) {}

func (silent) CallerLimited(string) {}

// Guards against a connection that is closed under the lock which its reader needs: the close
// waits for the reader.
func TestCloseWhileBytesArriveDoesNotHang(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for i := range 20000 {
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newConn(&Server{Observer: silent{}, Log: zerolog.Nop()}, nc.(*net.TCPConn))
		now := time.Now()
		c.since, c.lingerUntil = now.Add(-time.Hour), now.Add(-time.Minute)
		var work sync.WaitGroup
		work.Go(func() { _, _ = c.Read(make([]byte, 16)) })
		work.Go(func() { _ = caller.Close() })
		work.Go(func() { c.closeIdle(now) })
		done := make(chan struct{})
		go func() {
			work.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatalf("connection %d: the close and the read wait for each other", i)
		}
		_ = c.TCPConn.Close()
	}
}

// Guards against a drain that outlasts its limit, as it waits for the reader of a connection
// whose caller ends it when its linger time has passed.
func TestDrainEndsWhenCallersCloseAsTheirLingerTimeEnds(t *testing.T) {
	for i := range 30 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &Server{Observer: silent{}, Log: zerolog.Nop()}
		s.Handler = http.NotFoundHandler()
		go func() { _ = s.Serve(l) }()
		const n = 200
		for j := range n {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = io.Copy(io.Discard, c)
				time.Sleep(lingerTime + time.Duration(j%20)*time.Millisecond)
				_ = c.Close()
			}()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		done := make(chan error, 1)
		go func() { done <- s.Drain(ctx) }()
		select {
		case err := <-done:
			if err != nil {
				t.Errorf("drain %d ended with %v", i, err)
			}
		case <-time.After(6 * time.Second):
			t.Fatalf("drain %d goes on 4 s after its limit", i)
		}
		cancel()
	}
}
