package messenger

import (
	"bufio"
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"radishweir.org/lib/wire"
)

// incoming is the connection that a peer dialled.
type incoming struct {
	conn    net.Conn
	session uint64
	taken   uint64
}

// readLimits bounds the size of a frame.
var readLimits = protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}

// receive reads frames until the connection breaks or goes silent.
func (m *Messenger) receive(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	hello := &wire.PeerHello{}
	_ = c.SetReadDeadline(time.Now().Add(SilenceLimit))
	if err := readLimits.UnmarshalFrom(r, hello); err != nil {
		m.Log.Warn().Str("remote", c.RemoteAddr().String()).Err(err).Msg("peer_hello_unreadable")
		return
	}
	in := &incoming{conn: c, session: hello.GetSession()}
	m.join(ctx, hello, in)
	err := m.frames(c, r, hello.GetName(), in)
	m.part(hello.GetName(), in, err)
}

// frames hands on each frame.
func (m *Messenger) frames(c net.Conn, r *bufio.Reader, name string, in *incoming) error {
	for {
		_ = c.SetReadDeadline(time.Now().Add(SilenceLimit))
		f := &wire.PeerFrame{}
		if err := readLimits.UnmarshalFrom(r, f); err != nil {
			return err
		}
		if p := m.peer(name); p != nil {
			p.setHeard(f.GetTakenSession())
		}
		m.Handler.Frame(name, f)
		m.mu.Lock()
		in.taken += uint64(len(f.GetRequests()))
		m.mu.Unlock()
	}
}

// join replaces an earlier connection of the same peer, and dials a peer that
// this entry has not heard of yet.
func (m *Messenger) join(ctx context.Context, hello *wire.PeerHello, in *incoming) {
	name := hello.GetName()
	m.mu.Lock()
	old := m.incoming[name]
	m.incoming[name] = in
	p := m.dial(ctx, name, hello.GetAddress())
	m.mu.Unlock()
	if old != nil {
		_ = old.conn.Close()
		if p != nil {
			p.setIn(false)
		}
	}
	if p != nil {
		p.setIn(true)
	}
}

// part forgets a connection that broke.
func (m *Messenger) part(name string, in *incoming, err error) {
	m.mu.Lock()
	current := m.incoming[name] == in
	if current {
		delete(m.incoming, name)
	}
	p := m.peers[name]
	m.mu.Unlock()
	if current && p != nil {
		m.Log.Info().Str("peer", name).AnErr("cause", err).Msg("peer_silent")
		p.setIn(false)
	}
}

// taken returns how many requests of a peer were taken, and in which session.
func (m *Messenger) taken(name string) (count, session uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in := m.incoming[name]; in != nil {
		return in.taken, in.session
	}
	return 0, 0
}
