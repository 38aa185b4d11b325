package drainer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"radishweir.org/lib/limiter"
)

const (
	// sweepInterval is the time between two checks for connections whose phase has lasted
	// for too long, and between two log lines about the same limit.
	sweepInterval = time.Second
	// unreadGrace is the time that a connection gets on which bytes have arrived in time but
	// were not read yet, as this server was paused or short of CPU time.
	unreadGrace = time.Second
	// stallTimeout is how long an unfinished request may be without progress once the server
	// is retired, as it would hold up the drain.
	stallTimeout = time.Second
	// answerTimeout is how long a caller may take to receive a piece of an answer, and
	// answerPiece the size of such a piece in bytes.
	answerTimeout = 10 * time.Second
	answerPiece   = 64 << 10
)

// account is the ledger of a server's connections. Its lock is taken last of all.
type account struct {
	mu     sync.Mutex
	ledger limiter.Ledger[*conn]
	// ended counts the connections and requests that were ended since the last log lines.
	ended map[limiter.Reason]int
}

// update changes the ledger and ends the victims that f returns.
func (s *Server) update(f func(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn]) {
	if s.Limits == nil {
		return
	}
	s.account.mu.Lock()
	victims := f(&s.account.ledger, time.Now())
	for _, v := range victims {
		s.count(v.Reason)
	}
	s.account.mu.Unlock()
	for _, v := range victims {
		v.Key.end(v)
	}
}

// note changes the ledger by a step that has no victims.
func (s *Server) note(f func(l *limiter.Ledger[*conn], now time.Time)) {
	s.update(func(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn] {
		f(l, now)
		return nil
	})
}

// count counts a connection or request that is ended. The lock of the account is held.
func (s *Server) count(reason limiter.Reason) {
	s.Observer.CallerLimited(string(reason))
	if s.account.ended == nil {
		s.account.ended = make(map[limiter.Reason]int)
	}
	s.account.ended[reason]++
}

// currentLimits returns the limits in force.
func (s *Server) currentLimits() limiter.Limits {
	l := s.Limits()
	if s.retired.Load() {
		l.StallTimeout = stallTimeout
	}
	return l
}

// open adds a connection and reports whether it is accepted.
func (s *Server) open(c *conn) bool {
	accepted := true
	s.update(func(l *limiter.Ledger[*conn], now time.Time) (out []limiter.Victim[*conn]) {
		l.Limits = s.currentLimits()
		if out, accepted = l.Open(c, now); !accepted {
			s.count(limiter.TooManyConnections)
		}
		return out
	})
	return accepted
}

// receive records that bytes arrived and reports whether the connection may go on.
func (s *Server) receive(c *conn, n int) bool {
	goesOn := true
	s.update(func(l *limiter.Ledger[*conn], now time.Time) (out []limiter.Victim[*conn]) {
		out, goesOn = l.Receive(c, n, now)
		return out
	})
	return goesOn
}

// begin records that the handler got a request.
func (s *Server) begin(c *conn, r *http.Request) {
	s.note(func(l *limiter.Ledger[*conn], now time.Time) {
		if r.Body == nil || r.Body == http.NoBody {
			l.BeginAnswer(c, now)
		} else {
			l.BeginBody(c, now)
		}
	})
}

// finish records that the handler has returned.
func (s *Server) finish(c *conn) {
	s.note(func(l *limiter.Ledger[*conn], now time.Time) { l.End(c, now) })
}

// becomeIdle records that a connection waits for its next request.
func (s *Server) becomeIdle(c *conn) {
	s.note(func(l *limiter.Ledger[*conn], now time.Time) { l.BeginIdle(c, now) })
}

// forget removes a closed connection.
func (s *Server) forget(c *conn) {
	s.note(func(l *limiter.Ledger[*conn], _ time.Time) { l.Close(c) })
}

// sweep ends the connections whose phase has lasted for too long, until ctx ends and no
// connection is left.
func (s *Server) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for open := 1; ctx.Err() == nil || open > 0; {
		<-t.C
		s.update(func(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn] {
			l.Limits = s.currentLimits()
			open, _ = l.Counts()
			return overdue(l, now)
		})
		s.logLimits()
	}
}

// overdue returns the connections whose phase has lasted for too long, those left out on
// which something has arrived that was not read yet.
func overdue(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn] {
	var out []limiter.Victim[*conn]
	for _, v := range l.Overdue(now) {
		if v.Key.hasUnread() {
			l.Extend(v.Key, now.Add(unreadGrace))
			continue
		}
		out = append(out, v)
	}
	return out
}

// answerTimedOut is the reason of a connection that is closed as its caller does not receive
// the answer.
const answerTimedOut limiter.Reason = "answer_timeout"

// noteUnreadAnswer counts an answer that its caller did not receive.
func (s *Server) noteUnreadAnswer() {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	s.count(answerTimedOut)
}

// logLimits writes an event for each limit that was reached since the last call.
func (s *Server) logLimits() {
	s.account.mu.Lock()
	ended := s.account.ended
	s.account.ended = nil
	connections, memory := s.account.ledger.Counts()
	s.account.mu.Unlock()
	for reason, n := range ended {
		line := s.Log.Warn()
		if reason == limiter.IdleTimedOut {
			line = s.Log.Debug()
		}
		line.Str("reason", string(reason)).Int("count", n).Int("connections", connections).Int64("memory", memory).Msg("callers_limited")
	}
}

// Usage returns the number of open connections and the memory of their requests in bytes, as
// far as it counts towards the limits.
func (s *Server) Usage() (connections int, memory int64) {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	return s.account.ledger.Counts()
}

// end ends a connection or, if the body of its request is arriving, makes ReadBody return an
// error, so that the request is refused.
func (c *conn) end(v limiter.Victim[*conn]) {
	if v.Phase == limiter.Body {
		c.refuse(v.Reason)
		// It fails only if the connection is closed, which ends the read too.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if v.Reason == limiter.IdleTimedOut {
		c.closeIdle(time.Now())
		time.AfterFunc(lingerTime, func() { c.closeIdle(time.Now()) })
		return
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if v.Reason == limiter.HeaderTooLarge {
		_, _ = io.WriteString(c.TCPConn, "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
	// The lock is not held, as the close waits for a read in progress, which may wait for
	// the lock.
	_ = c.TCPConn.Close()
}

// refuse notes that the current request is refused. The connection is closed after the answer.
func (c *conn) refuse(reason limiter.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = reason
}

// refusal returns the error of a refused request, nil if it is not refused.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == "" {
		return nil
	}
	return &RefusedError{c.refused}
}
