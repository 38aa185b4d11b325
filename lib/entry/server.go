package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/wire"
)

// Server answers requests of other entries. Exported fields are set before Run.
type Server struct {
	// Address is the IP number and port to listen on.
	Address string
	// TLS is the configuration from LoadTLS.
	TLS *tls.Config
	// Handler answers the requests.
	Handler Handler
	// Log receives events.
	Log zerolog.Logger
	// Refused is called for each connection that fails the handshake.
	Refused func()

	listener *quic.Listener
	// active counts the streams that were accepted and not answered yet.
	active atomic.Int64
	// closing ends when the server begins to refuse requests; refuse ends it.
	closing context.Context
	refuse  context.CancelFunc
	mu      sync.Mutex
	conns   map[*quic.Conn]bool
}

// Listen binds the address. It fails if another process, such as an earlier run
// of this entry, still uses the address.
func (s *Server) Listen() error {
	cfg := s.TLS.Clone()
	cfg.ClientAuth = tls.RequestClientCert
	cfg.SessionTicketsDisabled = true
	cfg.VerifyConnection = s.verify
	l, err := quic.ListenAddr(s.Address, cfg, quicConfig())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.listener = l
	s.closing, s.refuse = context.WithCancel(context.Background())
	return nil
}

// Run accepts connections until ctx ends. Listen must have been called.
func (s *Server) Run(ctx context.Context) error {
	defer func() { _ = s.listener.Close() }()
	for {
		c, err := s.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go s.serve(ctx, c)
	}
}

// Shutdown continues to answer until no request has been active for
// drainQuietPeriod, then refuses further requests and asks the peers to close their
// connections, which they do when they have read the replies. A request that has not
// arrived whole by then is refused too. Refused streams are reset with
// codeNotProcessed, so that the peer can retry elsewhere. Connections that peers leave
// open are closed closeTimeout after the last active request, or after the end of ctx.
func (s *Server) Shutdown(ctx context.Context) {
	idleSince := time.Now()
	for ctx.Err() == nil && time.Since(idleSince) < drainQuietPeriod {
		if s.active.Load() > 0 {
			idleSince = time.Now()
		}
		time.Sleep(drainQuietPeriod / 10)
	}
	s.refuse()
	for _, c := range s.openConns() {
		s.announceShutdown(c)
	}
	closeAt := time.Now().Add(closeTimeout)
	for len(s.openConns()) > 0 && time.Now().Before(closeAt) {
		if ctx.Err() == nil && s.active.Load() > 0 {
			closeAt = time.Now().Add(closeTimeout)
		}
		time.Sleep(closePollInterval)
	}
	for _, c := range s.openConns() {
		s.Log.Warn().Str("peer", peerName(c)).Int64("active", s.active.Load()).Msg("entry_connection_cut")
		_ = c.CloseWithError(codeStopped, "stopped")
	}
}

// announceShutdown asks the peer to close c when its requests are answered, by an empty
// stream. If it cannot be opened, Shutdown closes c after closeTimeout.
func (s *Server) announceShutdown(c *quic.Conn) {
	st, err := c.OpenStream()
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", peerName(c)).Msg("shutdown_not_announced")
		return
	}
	_ = st.Close()
	st.CancelRead(codeStopped)
}

// addConn registers a connection for Shutdown. It returns false if the server already
// refuses requests.
func (s *Server) addConn(c *quic.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Err() != nil {
		return false
	}
	if s.conns == nil {
		s.conns = make(map[*quic.Conn]bool)
	}
	s.conns[c] = true
	return true
}

// openConns lists the registered connections.
func (s *Server) openConns() []*quic.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

func (s *Server) removeConn(c *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serve answers the streams of one connection.
func (s *Server) serve(ctx context.Context, c *quic.Conn) {
	if !s.addConn(c) {
		_ = c.CloseWithError(codeNotProcessed, "stopped")
		return
	}
	defer s.removeConn(c)
	name := peerName(c)
	for {
		st, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.active.Add(1)
		go s.answer(ctx, name, st)
	}
}

// peerName returns the name in the peer's certificate.
func peerName(c *quic.Conn) string {
	return c.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
}

// verify checks the client's certificate during the handshake. It calls Refused
// and logs the failure here because the listener does not report failed
// handshakes.
func (s *Server) verify(st tls.ConnectionState) error {
	err := verifyClient(st, s.TLS.ClientCAs)
	if err == nil {
		return nil
	}
	if s.Refused != nil {
		s.Refused()
	}
	s.Log.Warn().Err(err).Msg("entry_handshake_refused")
	return err
}

func verifyClient(st tls.ConnectionState, authority *x509.CertPool) error {
	if len(st.PeerCertificates) == 0 {
		return errors.New("no client certificate")
	}
	_, err := st.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return err
}

// answer reads one request from st and writes the handler's reply.
func (s *Server) answer(ctx context.Context, from string, st *quic.Stream) {
	defer s.active.Add(-1)
	q := &wire.Envelope{}
	if code, ok := s.receive(st, q); !ok {
		st.CancelRead(code)
		st.CancelWrite(code)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(st.Context(), cancel)()
	data, err := proto.Marshal(s.Handler.Handle(ctx, from, q))
	if err != nil {
		st.CancelWrite(codeFailed)
		return
	}
	_, _ = st.Write(data)
	_ = st.Close()
}

// receive reads a request from st. It returns false and the code to reset the stream with
// if the request must not be processed.
func (s *Server) receive(st *quic.Stream, q *wire.Envelope) (quic.StreamErrorCode, bool) {
	if s.closing.Err() != nil {
		return codeNotProcessed, false
	}
	defer context.AfterFunc(s.closing, func() { _ = st.SetReadDeadline(time.Now()) })()
	err := readMessage(st, q)
	if s.closing.Err() != nil {
		return codeNotProcessed, false
	}
	return codeFailed, err == nil
}
