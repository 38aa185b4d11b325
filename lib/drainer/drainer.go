// Package drainer serves HTTP/1.1 and stops without dropping requests that have arrived.
//
// http.Server.Shutdown closes each connection that is idle by its own account, also when a
// request waits in the socket, and drops a request that was read after the shutdown began. A
// server that is short of CPU time loses requests of several hundred milliseconds that way.
// A Server decides by what has arrived: it closes a connection only if nothing was read since
// the last answer, nothing waits in the socket, and its caller has been silent for a while.
//
// # Usage
//
//	s := &drainer.Server{Server: http.Server{Addr: addr, Handler: h}, Observer: recorder, Log: log}
//	go s.ListenAndServe()
//	...
//	s.Retire()           // from now on each answer closes its connection
//	err := s.Drain(ctx)  // until no connection is open
//
// A Server with Limits bounds the memory and the connections of callers that it does not
// trust; see package limiter. Its handler reads bodies by ReadBody and reserves the other
// memory of a request by Reserve:
//
//	data, err := drainer.ReadBody(r, maxBodyBytes)
//	err = drainer.Reserve(r.Context(), job.MemoryBytes())
//
// Drain may be called again after its context has ended. Shutdown of the embedded http.Server
// is not to be used.
package drainer

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/limiter"
)

const (
	// keepAliveTime is the shortest time for which a connection stays open for the next
	// request of its caller, who may have sent it already.
	keepAliveTime = 500 * time.Millisecond
	// lingerTime is how long a connection that is about to be closed may still receive: above
	// the time for which a caller's bytes are under way.
	lingerTime = 100 * time.Millisecond
	// closeTime is the time over which the closing of idle connections is spread.
	closeTime = time.Second
	// drainInterval is the time between two checks for open connections.
	drainInterval = 20 * time.Millisecond
	// dropsPerSecond is the maximum number of log lines per second about dropped requests.
	dropsPerSecond = 50
)

// Observer counts requests without an answer.
type Observer interface {
	// RequestDropped counts a request without an answer on a connection that this server
	// closed. Its state is unread if nothing of it was read, read if it had not arrived
	// whole, and crossed if it came after the end of the idle connection.
	RequestDropped(state string)
	// CallerLimited counts a connection that this server closed, or a request that it
	// refused, because of the limit of the given name.
	CallerLimited(reason string)
}

// Server is an http.Server that can be drained. The exported fields, which include those
// of http.Server except ConnState, are set before Serve.
type Server struct {
	http.Server
	// Limits returns the limits in force, which apply to the connections and requests of all
	// callers together; nil means that there are none. ReadHeaderTimeout, ReadTimeout and
	// IdleTimeout of http.Server are to be left at 0 if it is set. Limits must be fast.
	Limits func() limiter.Limits
	// Observer counts dropped requests and reached limits.
	Observer Observer
	// Log receives log events.
	Log zerolog.Logger

	account account
	// drops logs dropped requests, which may come in floods.
	drops   zerolog.Logger
	retired atomic.Bool
	// acceptedLate counts the connections that the listener's queue held when it stopped.
	acceptedLate atomic.Int64
	// endedIdle counts the idle connections that this side ended.
	endedIdle atomic.Int64

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener *listener
	// recent are the times of the last accepted connections.
	recent recentTimes
	// stopping is true once no connection is to be accepted any more.
	stopping bool
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// Serve is like http.Server.Serve for TCP listeners. It returns http.ErrServerClosed once the
// server is drained.
func (s *Server) Serve(l net.Listener) error {
	tl, ok := l.(*net.TCPListener)
	if !ok {
		return errors.Errorf("a listener of type %T cannot be drained", l)
	}
	s.drops = s.Log.Sample(&zerolog.BurstSampler{Burst: dropsPerSecond, Period: time.Second})
	handler, connContext := s.Handler, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok {
			c.setState(serving)
			s.begin(c, r)
			defer s.finish(c)
		}
		rw := &responseWriter{ResponseWriter: w, server: s, conn: c}
		handler.ServeHTTP(rw, r)
		if !rw.headerWritten && s.retired.Load() {
			// net/http writes the header of an empty answer.
			w.Header().Set("Connection", "close")
		}
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = s.follow
	if s.Limits != nil {
		if err := limitBuffers(tl); err != nil {
			return errors.Wrap(err, "limit the buffers of sockets")
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go s.sweep(ctx)
	}
	return s.Server.Serve(s.follower(tl))
}

// ListenAndServe listens on Addr and serves.
func (s *Server) ListenAndServe() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	return s.Serve(l)
}

// Retire makes the server close each connection after its current answer. New connections
// are still accepted.
func (s *Server) Retire() { s.retired.Store(true) }

// Drain accepts the connections that are established already and no further ones, closes the
// idle ones over closeTime, or less if ctx ends before, answers what arrives on the others, and
// returns when none is left. If ctx ends before, it returns the error of ctx and leaves the open
// ones as they are.
func (s *Server) Drain(ctx context.Context) error {
	s.Retire()
	s.stopAccepting()
	closeBy := time.Now().Add(closeTime)
	if limit, ok := ctx.Deadline(); ok {
		closeBy = earlier(closeBy, limit.Add(-2*lingerTime))
	}
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for s.closeIdle(time.Now(), closeBy) > 0 {
		select {
		case <-ctx.Done():
			s.logEnd("connections_left")
			return ctx.Err()
		case <-t.C:
		}
	}
	s.logEnd("connections_closed")
	return nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// closeIdle closes some of the idle connections, those that were used least recently first
// and all of them by closeBy. It returns the number of those that were open before, the listener
// included.
func (s *Server) closeIdle(now, closeBy time.Time) int {
	s.mu.Lock()
	idle := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		if c.isIdle(now) {
			idle = append(idle, c)
		}
	}
	open := len(s.conns)
	if s.listener != nil {
		open++
	}
	s.mu.Unlock()
	slices.SortFunc(idle, func(a, b *conn) int { return a.idleSince().Compare(b.idleSince()) })
	// The fewer connections are closed at a time, the shorter is the time in which a request
	// may cross the end of its connection.
	rounds := max(1, int(closeBy.Sub(now)/drainInterval))
	for _, c := range idle[:(len(idle)+rounds-1)/rounds] {
		c.closeIdle(now)
	}
	return open
}

// logEnd writes an event with what the connections carry at the end of a drain, how many
// idle ones were ended, and how many were accepted after the listener stopped.
func (s *Server) logEnd(event string) {
	idle, read, served := s.Counts()
	s.Log.Info().Int("idle", idle).Int("read", read).Int("served", served).Int64("ended_idle", s.endedIdle.Load()).Int64("accepted_late", s.acceptedLate.Load()).Msg(event)
}

// follow is the http.Server.ConnState of this server.
func (s *Server) follow(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setState(waiting)
		s.becomeIdle(c)
	case http.StateClosed, http.StateHijacked:
		s.forget(c)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

// Counts returns the number of open connections that wait for a request, on which a
// request was read but not passed to the handler yet, and whose request the handler has.
func (s *Server) Counts() (idle, read, served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		switch c.currentState() {
		case waiting:
			idle++
		case reading:
			read++
		case serving:
			served++
		}
	}
	return idle, read, served
}

// dropped reports a request that arrived at c and gets no answer. The lock of c is held.
func (s *Server) dropped(c *conn, state string) {
	s.Observer.RequestDropped(state)
	s.drops.Warn().Str("address", c.RemoteAddr().String()).Str("state", state).Int64("after_ms", time.Since(c.since).Milliseconds()).Msg("request_dropped")
}
