package drainer

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// acceptTimeout is how long a listener that stops waits for a connection whose handshake is
// about to be done.
const acceptTimeout = 10 * time.Millisecond

// recentTime is the time before the end of a listener over which the accepted connections are
// logged.
const recentTime = 250 * time.Millisecond

// listener makes the accepted connections known to the server and stops once no connection
// waits to be accepted.
type listener struct {
	*net.TCPListener
	server *Server
}

// follower returns a listener for Serve.
func (s *Server) follower(tl *net.TCPListener) *listener {
	l := &listener{TCPListener: tl, server: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	if s.stopping {
		l.expire()
	}
	return l
}

// stopAccepting ends the listener once its queue is empty.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	if s.listener != nil {
		s.listener.expire()
	}
}

// expire makes Accept return after acceptTimeout.
func (l *listener) expire() {
	// It fails only if the listener is closed already.
	_ = l.SetDeadline(time.Now().Add(acceptTimeout))
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tc, err := l.AcceptTCP()
		if err == nil {
			if c := l.server.add(tc); c != nil {
				return c, nil
			}
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		// A deadline that has passed also hides connections that wait to be accepted.
		if l.hasWaiting() {
			l.expire()
			continue
		}
		// A connection is reset if its handshake is still under way, or ends before the listener
		// closes.
		now := time.Now()
		_ = l.Close()
		l.server.logClosed(now)
		return nil, http.ErrServerClosed
	}
}

// logClosed logs that the listener closed at now.
func (s *Server) logClosed(now time.Time) {
	s.mu.Lock()
	recent := s.recent.count(now)
	s.mu.Unlock()
	s.Log.Info().Int("accepted_250ms", recent).Msg("listener_closed")
}

// recentTimes are the times of the last recentTime, oldest first.
type recentTimes []time.Time

// add adds now.
func (r *recentTimes) add(now time.Time) {
	r.count(now)
	*r = append(*r, now)
}

// count returns how many of the times are not older than recentTime.
func (r *recentTimes) count(now time.Time) int {
	old := 0
	for old < len(*r) && now.Sub((*r)[old]) > recentTime {
		old++
	}
	*r = (*r)[old:]
	return len(*r)
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.TCPListener.Close()
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.listener = nil
	return err
}

// hasWaiting reports whether a connection waits to be accepted.
func (l *listener) hasWaiting() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) { waiting = isReadable(fd) })
	return err == nil && waiting
}

// isReadable reports whether a read or accept on fd would not block.
func isReadable(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	for err == syscall.EINTR {
		n, err = unix.Poll(fds, 0)
	}
	return err == nil && n > 0
}

// add makes an accepted connection known to the server. It returns nil if the limits do not
// allow the connection, which it has closed then.
func (s *Server) add(tc *net.TCPConn) *conn {
	c := newConn(s, tc)
	if !s.open(c) {
		_ = tc.Close()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent.add(c.since)
	if s.stopping {
		s.acceptedLate.Add(1)
	}
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	return c
}
