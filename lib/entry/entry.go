// Package entry carries messages between entries over QUIC.
//
// Both ends prove themselves with a certificate of the deployment's own
// authority. Each request has a stream of its own: the sender writes one
// Envelope and closes its side, the receiver answers with one Reply.
// Connections are kept alive by pings and dropped when a peer falls silent;
// the next call then dials from a fresh port.
//
// # Usage
//
//	s := &entry.Server{Address: "127.0.0.1:7100", TLS: tls, Handler: h}
//	go s.Run(ctx)
//	c := &entry.Client{TLS: tls}
//	reply, err := c.Call(ctx, entry.Peer{Name: "entry-2", Address: addr}, envelope)
//
// The error of Call says whether the request may have reached the peer.
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
	// protocol is the application protocol named in the TLS handshake.
	protocol = "radishweir/1"
	// serverName is the DNS name that every entry's certificate holds.
	serverName = "radishweir"
	// MaxMessageBytes bounds one message between entries.
	MaxMessageBytes = 64 << 20
	// pingInterval is the time between pings on an idle connection.
	pingInterval = time.Second
	// silenceLimit drops a connection on which nothing arrived.
	silenceLimit = 3 * time.Second
	// handshakeLimit bounds the set-up of a connection.
	handshakeLimit = time.Second
	// maxStreams bounds the open requests of one peer.
	maxStreams = 1 << 16
)

// Codes that end a stream or a connection.
const (
	// codeStopped ends the connections of an entry that stops.
	codeStopped = 0
	// codeRefused ends a connection whose peer is not who it should be.
	codeRefused = 1
	// codeNotProcessed ends a stream whose request was not looked at.
	codeNotProcessed = 2
	// codeFailed ends a stream that broke off.
	codeFailed = 3
)

// quietTime is how long no request must have come before a server closes.
const quietTime = 300 * time.Millisecond

// Peer names another entry.
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

// LoadTLS reads the certificate, its key and the authority of the deployment.
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
		HandshakeIdleTimeout:  handshakeLimit,
		MaxIdleTimeout:        silenceLimit,
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
