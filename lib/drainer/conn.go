package drainer

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"radishweir.org/lib/limiter"
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
	raw    syscall.RawConn
	server *Server

	// mu is held while bytes are taken from the socket, so that no request is on its way
	// from the socket to state when closeIdle decides.
	mu    sync.Mutex
	state state
	// since is when the connection began to wait or to read.
	since time.Time
	// ended is true once the caller has ended or broken the connection.
	ended bool
	// lingerUntil is when a connection whose caller was told that no answer comes any more is
	// closed; zero before.
	lingerUntil time.Time
	// closed is true once this side closes the connection.
	closed bool
	// refused is why the current request is refused, empty if it is not.
	refused limiter.Reason
}

// newConn wraps an accepted connection.
func newConn(s *Server, tc *net.TCPConn) *conn {
	c := &conn{TCPConn: tc, server: s, since: time.Now()}
	// It fails only if the connection is closed already, which Read reports.
	c.raw, _ = tc.SyscallConn()
	return c
}

// Read implements net.Conn. It returns what has arrived of a new request also if the deadline
// passed before the server got around to reading it.
func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if c.raw == nil {
		return 0, c.readError(net.ErrClosed)
	}
	n, readErr := 0, error(nil)
	take := func(fd uintptr) bool {
		n, readErr = c.take(fd, b)
		return readErr != syscall.EAGAIN
	}
	err := c.raw.Read(take)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.currentState() == waiting {
		if c.raw.Control(func(fd uintptr) { take(fd) }) == nil && n > 0 {
			err, readErr = nil, nil
		}
	}
	switch {
	case err != nil:
		return 0, c.readError(err)
	case readErr != nil:
		return 0, c.readError(os.NewSyscallError("read", readErr))
	case n == 0:
		return 0, io.EOF
	case !c.server.receive(c, n):
		return 0, c.readError(net.ErrClosed)
	}
	return n, nil
}

// readError returns err as an error of a read, as net.TCPConn does.
func (c *conn) readError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// take takes bytes from the socket without waiting and notes what they mean.
func (c *conn) take(fd uintptr, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Unlike unix.Read, syscall.Read orders the caller's and the server's steps for the race
	// detector, as reads of net do.
	n, err := syscall.Read(int(fd), b)
	for err == syscall.EINTR {
		n, err = syscall.Read(int(fd), b)
	}
	switch {
	case err == syscall.EAGAIN:
		return 0, err
	case n > 0 && !c.lingerUntil.IsZero():
		c.server.dropped(c, "crossed")
		c.ended = true
		return 0, nil
	case n > 0 && c.state == waiting:
		c.state, c.since = reading, time.Now()
	case n <= 0:
		c.ended = true
	}
	return max(n, 0), err
}

// isIdle reports whether the connection is open and idle, but for what was not read yet.
func (c *conn) isIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle(now)
}

// idle is isIdle with the lock held.
func (c *conn) idle(now time.Time) bool {
	return !c.closed && c.state == waiting && now.Sub(c.since) >= keepAliveTime && !now.Before(c.lingerUntil)
}

// idleSince returns when the connection became idle.
func (c *conn) idleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// closeIdle closes the connection if it is idle and nothing has arrived. The first call only
// tells the caller that no answer comes any more, so that what was sent by then is noticed; one
// after lingerTime closes the connection.
func (c *conn) closeIdle(now time.Time) {
	if c.endIdle(now) {
		// The read that this interrupts ends the connection for the server. The lock is not
		// held, as the close waits for a read in progress, which may wait for the lock.
		_ = c.TCPConn.Close()
	}
}

// endIdle does the first step of closeIdle, or returns true if the connection is to be closed.
func (c *conn) endIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle(now) || c.hasUnread() {
		return false
	}
	if c.lingerUntil.IsZero() {
		c.lingerUntil = now.Add(lingerTime)
		c.server.endedIdle.Add(1)
		// It fails only if the connection has ended, which Read reports.
		_ = c.CloseWrite()
		return false
	}
	c.closed = true
	return true
}

// Write implements net.Conn. A request that net/http answers without the handler is served
// from its answer on. The write fails if the caller does not receive the answer.
func (c *conn) Write(b []byte) (int, error) {
	c.noteAnswer()
	n := 0
	for {
		// It fails only if the connection is closed, which the write reports.
		_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
		k, err := c.TCPConn.Write(b[n : n+min(len(b)-n, answerPiece)])
		n += k
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.server.noteUnreadAnswer()
		}
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// noteAnswer notes that an answer to the current request is written.
func (c *conn) noteAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == reading {
		c.state = serving
	}
}

// Close implements net.Conn. It reports a request that gets no answer.
func (c *conn) Close() error {
	c.noteClose()
	return c.TCPConn.Close()
}

// noteClose reports a request that gets no answer as this side closes the connection.
func (c *conn) noteClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && !c.ended {
		switch {
		case c.state == reading:
			c.server.dropped(c, "read")
		case c.state == waiting && c.hasUnread():
			c.server.dropped(c, "unread")
		}
	}
	c.closed = true
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	unread := false
	err := c.raw.Control(func(fd uintptr) {
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
	c.state, c.since = s, time.Now()
}

// currentState returns what the connection carries.
func (c *conn) currentState() state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
