package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the network path from one entry to another. Its connections pass through a
// relay that can hold back what is sent.
type link struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// silent is true while nothing passes. What is sent meanwhile arrives later, unless its
	// connection is closed.
	silent bool
}

func newLink(target string) *link {
	l := &link{listener: listen(), target: target}
	go func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.relay(c)
		}
	}()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// setSilent begins or ends a cut.
func (l *link) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

// wait waits while the link is cut.
func (l *link) wait() {
	for {
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if !silent {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// relay relays one connection.
func (l *link) relay(in net.Conn) {
	l.wait()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		if t, ok := in.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = in.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.copy(out, in) })
	both.Go(func() { l.copy(in, out) })
	both.Wait()
	_ = in.Close()
	_ = out.Close()
}

// copy relays one direction.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				// The peer went away: so does the connection.
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				_ = to.Close()
				return
			}
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// listen opens a listener on a free port of loopback.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen", err)
	}
	return l
}
