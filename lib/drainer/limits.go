package drainer

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

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
	// receiveBuffer and sendBuffer are the sizes in bytes of the buffers of a connection's
	// socket. They bound what waits there while the connection's request is served, and what
	// its caller does not receive. With a smaller send buffer, of which the kernel makes
	// twice the size, each segment on the loopback interface would wait for a delayed
	// acknowledgement.
	receiveBuffer = 16 << 10
	sendBuffer    = 40 << 10
	// firstBuffer is the size in bytes of the buffer that a body is first read into.
	firstBuffer = 2 << 10
)

// ErrBodyTooLarge is the error of a body that is larger than allowed.
var ErrBodyTooLarge = errors.New("the body is too large")

// RefusedError is the error of a request that does not fit the limits of its server. The
// request was not processed.
type RefusedError struct {
	Reason limiter.Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Reason == limiter.BodyTimedOut {
		return "the body did not arrive in time"
	}
	return "the entry has no memory for the request"
}

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
	s.update(func(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn] {
		if r.Body == nil || r.Body == http.NoBody {
			l.BeginAnswer(c, now)
		} else {
			l.BeginBody(c, now)
		}
		return nil
	})
}

// finish records that the handler has returned.
func (s *Server) finish(c *conn) {
	s.update(func(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn] {
		l.End(c, now)
		return nil
	})
}

// becomeIdle records that a connection waits for its next request.
func (s *Server) becomeIdle(c *conn) {
	s.update(func(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn] {
		l.BeginIdle(c, now)
		return nil
	})
}

// forget removes a closed connection.
func (s *Server) forget(c *conn) {
	s.update(func(l *limiter.Ledger[*conn], _ time.Time) []limiter.Victim[*conn] {
		l.Close(c)
		return nil
	})
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

// connOf returns the connection of a request, nil if no Server with limits serves it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil || c.server.Limits == nil {
		return nil
	}
	return c
}

// Reserve adds n bytes to the memory that a request takes until it is answered. It returns a
// *RefusedError if there is not so much.
func Reserve(ctx context.Context, n int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	fits := true
	c.server.update(func(l *limiter.Ledger[*conn], now time.Time) (out []limiter.Victim[*conn]) {
		if out, fits = l.Reserve(c, n, now); !fits {
			c.server.count(limiter.NoMemory)
		}
		return out
	})
	if fits {
		return nil
	}
	return &RefusedError{limiter.NoMemory}
}

// Release takes back n bytes of what Reserve has added.
func Release(ctx context.Context, n int64) {
	if c := connOf(ctx); c != nil {
		c.server.update(func(l *limiter.Ledger[*conn], _ time.Time) []limiter.Victim[*conn] {
			l.Release(c, n)
			return nil
		})
	}
}

// ReadBody reads the body of a request, whose memory counts until the request is answered. It
// returns ErrBodyTooLarge for one of more than limit bytes, where 0 means no limit, and a
// *RefusedError if the request does not fit the limits of its server.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	c := connOf(r.Context())
	data, err := readAll(r, limit)
	if c == nil {
		return data, err
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		c.refuse(refused.Reason)
		return nil, err
	}
	if err == nil {
		c.server.update(func(l *limiter.Ledger[*conn], now time.Time) []limiter.Victim[*conn] {
			l.BeginAnswer(c, now)
			return nil
		})
	}
	// The request may have been refused for another one while it was read.
	if refusal := c.refusal(); refusal != nil {
		return nil, refusal
	}
	return data, err
}

// readAll reads a body into a buffer that grows with what has arrived.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	// One byte more than the body shows its end.
	most := int64(1) << 62
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	} else if limit > 0 {
		most = limit + 1
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(firstBuffer, 2*int64(cap(data))), most)
			if err := Reserve(r.Context(), size); err != nil {
				return nil, err
			}
			old := data
			data = append(make([]byte, 0, size), old...)
			Release(r.Context(), int64(cap(old)))
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case limit > 0 && int64(len(data)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, errors.Wrap(err, "read the body")
		}
	}
}

// limitBuffers sets the sizes of the buffers of the sockets that a listener accepts.
func limitBuffers(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
		)
	})
	return errors.Join(err, optErr)
}

// DescriptorLimit returns the number of descriptors that the kernel lets this process open, 0
// if it is unknown.
var DescriptorLimit = sync.OnceValue(func() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32))
})
