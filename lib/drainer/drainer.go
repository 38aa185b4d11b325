// Package drainer serves HTTP/1.1 and knows what each connection carries, so that a
// server can tell which requests it leaves without an answer.
//
// # Usage
//
//	s := &drainer.Server{Server: http.Server{Addr: addr, Handler: h}, Observer: recorder, Log: log}
//	err := s.ListenAndServe()
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Observer counts requests without an answer.
type Observer interface {
	// RequestDropped counts a request that arrived on a connection which this server
	// then closed without an answer, by the state of the connection.
	RequestDropped(state string)
}

// Server is an http.Server that follows its connections. The exported fields, which
// include those of http.Server except ConnState, are set before Serve.
type Server struct {
	http.Server
	// Observer counts dropped requests.
	Observer Observer
	// Log receives log events.
	Log zerolog.Logger

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// Serve is like http.Server.Serve for TCP listeners.
func (s *Server) Serve(l net.Listener) error {
	handler, connContext := s.Handler, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setState(serving)
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = s.follow
	return s.Server.Serve(&listener{l, s})
}

// ListenAndServe listens on Addr and serves.
func (s *Server) ListenAndServe() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	return s.Serve(l)
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
	case http.StateClosed, http.StateHijacked:
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

// dropped reports a request that arrived at c and gets no answer.
func (s *Server) dropped(c *conn, state string, since time.Time) {
	s.Observer.RequestDropped(state)
	e := s.Log.Warn().Str("caller", c.RemoteAddr().String()).Str("state", state)
	if !since.IsZero() {
		e = e.Int64("after_ms", time.Since(since).Milliseconds())
	}
	e.Msg("request_dropped")
}

// listener makes the accepted connections known to the server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &conn{TCPConn: tc, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.conns == nil {
		l.server.conns = make(map[*conn]struct{})
	}
	l.server.conns[c] = struct{}{}
	return c, nil
}
