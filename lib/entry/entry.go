// Package entry carries messages between entries over QUIC.
//
// Both ends authenticate with a certificate issued by the deployment's own
// authority. Each request uses a stream of its own: the sender writes one
// Envelope and closes its side, and the receiver answers with one Reply. Pings
// keep connections alive. A connection on which nothing arrives is dropped, and
// the next call dials from a new local port. A server that shuts down opens an empty
// stream on each connection; the client then makes no more calls on it and closes it
// when those in progress have ended.
//
// # Usage
//
//	s := &entry.Server{Address: "127.0.0.1:7100", TLS: tls, Handler: h}
//	go s.Run(ctx)
//	c := &entry.Client{TLS: tls}
//	reply, err := c.Call(ctx, entry.Peer{Name: "entry-2", Address: addr}, envelope)
//
// The error of Call carries a verdict: whether the peer may have received the
// request.
package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/wire"
)

const (
	// protocol is the ALPN protocol of the TLS handshake.
	protocol = "radishweir/1"
	// serverName is the DNS name in every entry's certificate.
	serverName = "radishweir"
	// MaxMessageBytes bounds one message between entries.
	MaxMessageBytes = 64 << 20
	// pingInterval is the time between pings on an idle connection.
	pingInterval = time.Second
	// idleTimeout is the time without incoming packets after which a connection
	// is dropped.
	idleTimeout = 3 * time.Second
	// handshakeTimeout bounds the time to establish a connection.
	handshakeTimeout = time.Second
	// maxStreams bounds the concurrent requests of one peer.
	maxStreams = 1 << 16
)

// Application error codes that close a stream or a connection.
const (
	// codeStopped closes the connections of an entry that shuts down.
	codeStopped = 0
	// codeRefused closes a connection whose peer has an unexpected name.
	codeRefused = 1
	// codeNotProcessed resets a stream whose request was not processed, and closes a
	// connection of which no request was.
	codeNotProcessed = 2
	// codeFailed resets a stream whose request or reply failed.
	codeFailed = 3
	// codeSilent closes a connection on which nothing has arrived for idleTimeout.
	codeSilent = 4
)

const (
	// drainQuietPeriod is the time without active requests after which Shutdown
	// refuses further ones.
	drainQuietPeriod = 300 * time.Millisecond
	// closeTimeout bounds how long Shutdown waits for the peers to read their replies
	// and close their connections. A peer that is silent for longer drops its own.
	closeTimeout = idleTimeout
	// closePollInterval is the time between two checks for open connections.
	closePollInterval = 10 * time.Millisecond
)

// Peer identifies another entry.
type Peer struct {
	// Name is the name in the peer's settings and certificate.
	Name string
	// Address is the IP number and port of its QUIC socket.
	Address string
}

// Handler answers a request from the entry with the given name.
type Handler interface {
	Handle(ctx context.Context, from string, q *wire.Envelope) *wire.Reply
}

// LoadTLS reads the entry's certificate and key and the deployment's authority.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Errorf("certificate %s with key %s cannot be used: %v", certificate, key, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, errors.Errorf("authority %s cannot be read", authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authority %s holds no certificate", authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       pingInterval,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// readMessage reads one message up to the end of the stream.
func readMessage(r io.Reader, m proto.Message) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return errors.Wrap(err, "read")
	}
	if len(data) > MaxMessageBytes {
		return errors.Errorf("message exceeds %d bytes", MaxMessageBytes)
	}
	return proto.Unmarshal(data, m)
}
