package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// Client calls other entries over one connection to each of them.
type Client struct {
	// TLS is the configuration from LoadTLS.
	TLS *tls.Config
	// Log receives events.
	Log zerolog.Logger

	mu    sync.Mutex
	links map[Peer]*link
}

// link is the connection to one peer. Its lock serializes dialing.
type link struct {
	mu   sync.Mutex
	conn *connection
}

// connection is a QUIC connection with the calls that use it.
type connection struct {
	*quic.Conn
	calls sync.WaitGroup
}

// Call sends q to p and waits for the reply. The error's verdict is NotRun if
// the peer did not process the request and MayHaveRun if it may have received it.
func (c *Client) Call(ctx context.Context, p Peer, q *wire.Envelope) (*wire.Reply, error) {
	data, err := proto.Marshal(q)
	if err != nil {
		return nil, classifier.Wrap(classifier.NotRun, err, "the request cannot be encoded")
	}
	conn, st, err := c.openStream(ctx, p)
	if err != nil {
		return nil, classifier.Wrap(classifier.NotRun, err, "the entry cannot be reached")
	}
	defer conn.calls.Done()
	defer context.AfterFunc(ctx, func() { resetStream(st) })()
	r, err := exchange(st, data)
	if err != nil {
		c.forgetBroken(p, conn, err)
		return nil, classifier.Wrap(callVerdict(err), err, "the entry fell silent")
	}
	return r, nil
}

// exchange writes a request to st and reads the reply.
func exchange(st *quic.Stream, data []byte) (*wire.Reply, error) {
	if _, err := st.Write(data); err != nil {
		resetStream(st)
		return nil, err
	}
	// Close fails only if the stream was canceled; the read then returns the reason.
	_ = st.Close()
	r := &wire.Reply{}
	return r, readMessage(st, r)
}

// openStream opens a stream to p. It tries a second connection if the first one breaks
// before anything was sent. The stream counts among the calls of its connection.
func (c *Client) openStream(ctx context.Context, p Peer) (*connection, *quic.Stream, error) {
	for again := false; ; again = true {
		conn, err := c.connect(ctx, p)
		if err != nil {
			return nil, nil, err
		}
		st, err := conn.OpenStreamSync(ctx)
		if err == nil {
			return conn, st, nil
		}
		conn.calls.Done()
		if broken := c.forgetBroken(p, conn, err); again || !broken {
			return nil, nil, err
		}
	}
}

// forgetBroken makes the next call dial if err, the error of a stream, says that its
// connection broke. The context of a connection, which connect checks, ends only after
// its streams have failed.
func (c *Client) forgetBroken(p Peer, conn *connection, err error) bool {
	broken := errors.Is(err, net.ErrClosed)
	if broken {
		c.link(p).forget(conn)
	}
	return broken
}

// callVerdict returns NotRun if the peer reset the stream or closed the connection with
// codeNotProcessed, and MayHaveRun otherwise.
func callVerdict(err error) classifier.Verdict {
	var se *quic.StreamError
	if errors.As(err, &se) && se.Remote && se.ErrorCode == codeNotProcessed {
		return classifier.NotRun
	}
	var ae *quic.ApplicationError
	if errors.As(err, &ae) && ae.Remote && ae.ErrorCode == codeNotProcessed {
		return classifier.NotRun
	}
	return classifier.MayHaveRun
}

// resetStream cancels both directions of a stream.
func resetStream(st *quic.Stream) {
	st.CancelRead(codeFailed)
	st.CancelWrite(codeFailed)
}

// connect returns the live connection to p, with one more call, and dials if there is
// none.
func (c *Client) connect(ctx context.Context, p Peer) (*connection, error) {
	l := c.link(p)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Context().Err() != nil {
		conn, err := c.dial(ctx, p)
		if err != nil {
			return nil, err
		}
		l.conn = conn
		go c.watchSilence(p, l, conn)
		go l.closeAtShutdown(conn)
	}
	l.conn.calls.Add(1)
	return l.conn, nil
}

// dial opens a connection to p.
func (c *Client) dial(ctx context.Context, p Peer) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, p.Address, c.TLS.Clone(), quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", p.Address)
	}
	if name := peerName(conn); name != p.Name {
		_ = conn.CloseWithError(codeRefused, "name")
		return nil, errors.Errorf("%s is %s, not %s", p.Address, name, p.Name)
	}
	return &connection{Conn: conn}, nil
}

// closeAtShutdown closes a connection whose peer shuts down, once its calls have ended.
// The peer cannot do so: it knows which replies were delivered, but not which were read,
// and a closed connection drops those that were not.
func (l *link) closeAtShutdown(conn *connection) {
	if _, err := conn.AcceptStream(conn.Context()); err != nil {
		return
	}
	l.forget(conn)
	conn.calls.Wait()
	_ = conn.CloseWithError(codeStopped, "closed")
}

func (c *Client) link(p Peer) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links == nil {
		c.links = make(map[Peer]*link)
	}
	l := c.links[p]
	if l == nil {
		l = &link{}
		c.links[p] = l
	}
	return l
}

// CloseExcept closes the connections to all peers for which keep returns false.
func (c *Client) CloseExcept(keep func(Peer) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p, l := range c.links {
		if keep(p) {
			continue
		}
		l.close()
		delete(c.links, p)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.CloseExcept(func(Peer) bool { return false })
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(codeStopped, "closed")
	}
}
