package drainer

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// state is what a connection carries.
type state int

const (
	// waiting: no request, or one of which nothing was read yet.
	waiting state = iota
	// reading: a request of which something was read and that the handler does not have
	// yet.
	reading
	// serving: a request that the handler has.
	serving
)

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	server *Server

	mu    sync.Mutex
	state state
	// since is when the first byte of the request was read.
	since time.Time
	// ended is true once the caller has ended or broken the connection.
	ended bool
	// closed is true once Close was called.
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0 && c.state == waiting:
		c.state, c.since = reading, time.Now()
	case n == 0 && err != nil && !isTimeout(err):
		c.ended = true
	}
	return n, err
}

// Close implements net.Conn. It reports a request that gets no answer.
func (c *conn) Close() error {
	c.mu.Lock()
	first, ended, state, since := !c.closed, c.ended, c.state, c.since
	c.closed = true
	c.mu.Unlock()
	if first && !ended {
		switch {
		case state == reading:
			c.server.dropped(c, "read", since)
		case state == waiting && c.hasUnread():
			c.server.dropped(c, "unread", time.Time{})
		}
	}
	return c.TCPConn.Close()
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// setState notes what the connection carries now.
func (c *conn) setState(s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

// currentState returns what the connection carries.
func (c *conn) currentState() state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// isTimeout reports whether err is a deadline that has passed.
func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}
