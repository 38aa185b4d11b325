package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
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
	active   atomic.Int64
	closing  atomic.Bool
	mu       sync.Mutex
	conns    map[*quic.Conn]bool
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
// drainQuietPeriod, then refuses further requests and closes the connections.
// Refused streams are reset with codeNotProcessed, so that the peer can retry
// elsewhere.
func (s *Server) Shutdown(ctx context.Context) {
	idleSince := time.Now()
	for ctx.Err() == nil && time.Since(idleSince) < drainQuietPeriod {
		if s.active.Load() > 0 {
			idleSince = time.Now()
		}
		time.Sleep(drainQuietPeriod / 10)
	}
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.CloseWithError(codeStopped, "stopped")
	}
}

// addConn registers a connection that Shutdown has to close.
func (s *Server) addConn(c *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*quic.Conn]bool)
	}
	s.conns[c] = true
}

func (s *Server) removeConn(c *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serve answers the streams of one connection.
func (s *Server) serve(ctx context.Context, c *quic.Conn) {
	s.addConn(c)
	defer s.removeConn(c)
	name := c.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
	for {
		st, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		if s.closing.Load() {
			st.CancelRead(codeNotProcessed)
			st.CancelWrite(codeNotProcessed)
			continue
		}
		s.active.Add(1)
		go s.answer(ctx, name, st)
	}
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
	defer func() { _ = st.Close() }()
	q := &wire.Envelope{}
	if err := readMessage(st, q); err != nil {
		st.CancelWrite(codeFailed)
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
}
