package messenger

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"radishweir.org/lib/wire"
)

// connectionID identifies a connection that a peer dialled.
type connectionID struct {
	// incarnation and session are those of the peer's PeerHello.
	incarnation string
	session     uint64
	// accepted is the number of the connection among all that were accepted.
	accepted uint64
}

// precedes reports whether a peer dialled the connection before another one. Sessions
// are comparable within a process only.
func (c connectionID) precedes(other connectionID) bool {
	if c.incarnation != "" && c.incarnation == other.incarnation && c.session != other.session {
		return c.session < other.session
	}
	return c.accepted < other.accepted
}

// incoming is a connection that a peer dialled.
type incoming struct {
	conn net.Conn
	connectionID
	// variableInterval is true if the peer accepts frames at other intervals than
	// heartbeatInterval.
	variableInterval bool
	// confirmed is true once frames to the peer may tell that its frames are received here.
	confirmed bool
	// requests counts the run requests that the handler has processed.
	requests uint64
	// done is closed after the last frame of the connection was processed.
	done chan struct{}
}

// receive reads frames until the connection breaks or goes silent.
func (m *Messenger) receive(ctx context.Context, c net.Conn, accepted uint64) {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	hello := &wire.PeerHello{}
	_ = c.SetReadDeadline(time.Now().Add(SilenceLimit))
	err := readMessage(r, maxHelloBytes, hello)
	m.removeStranger(c)
	if err != nil {
		m.unreadable.Warn().Str("remote", c.RemoteAddr().String()).Err(err).Msg("peer_hello_unreadable")
		return
	}
	id := connectionID{hello.GetIncarnation(), hello.GetSession(), accepted}
	in := &incoming{conn: c, connectionID: id, variableInterval: hello.GetVariableInterval(), done: make(chan struct{})}
	if !m.addIncoming(ctx, hello, in) {
		m.Log.Info().Str("peer", hello.GetName()).Uint64("session", in.session).Msg("older_connection_closed")
		return
	}
	err = m.readFrames(r, hello.GetName(), in)
	close(in.done)
	m.removeIncoming(hello.GetName(), in, err)
}

// readFrames passes each received frame to the handler.
func (m *Messenger) readFrames(r *bufio.Reader, name string, in *incoming) error {
	for {
		f := &wire.PeerFrame{}
		if err := readMessage(r, maxFrameBytes, f); err != nil {
			return err
		}
		if age := frameAge(f); len(f.GetRequests())+len(f.GetDelegated()) > 0 && (age < 0 || age > maxFrameAge) {
			return errors.Errorf("the age of a frame with requests is %v, want 0 to %v", age, maxFrameAge)
		}
		p := m.peer(name)
		if p != nil {
			p.handleReceived(in, f)
		}
		m.Handler.Frame(name, f)
		if p != nil {
			p.restartSilence(in)
		}
		m.mu.Lock()
		in.requests += uint64(len(f.GetRequests()))
		m.mu.Unlock()
	}
}

// handleReceived records that a frame arrived on a connection.
func (p *peer) handleReceived(in *incoming, f *wire.PeerFrame) {
	p.mu.Lock()
	early := p.incoming == in && p.received(f, time.Now())
	p.mu.Unlock()
	if early {
		p.wakeWriter()
	}
	p.setConfirmedSession(f.GetTakenSession())
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.GetTakenSession() == p.session {
		// The handler knows of the requests since Up.
		f.Taken -= min(f.Taken, p.sentBeforeUp)
	}
}

// restartSilence measures the silence on a connection from now on, as the time in
// which a frame is processed is none.
func (p *peer) restartSilence(in *incoming) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incoming == in {
		now := time.Now()
		p.receivedAt = now
		p.limitSilence(now)
	}
}

// addIncoming registers a peer's connection, replacing any earlier one whose frames
// are processed first, and starts dialling the peer if it was unknown. It returns false
// for a connection that precedes one that was registered before: the peer has given up the
// requests on it.
func (m *Messenger) addIncoming(ctx context.Context, hello *wire.PeerHello, in *incoming) bool {
	name := hello.GetName()
	m.mu.Lock()
	last, known := m.lastIncoming[name]
	if known && in.precedes(last) {
		m.mu.Unlock()
		return false
	}
	old := m.incoming[name]
	m.incoming[name], m.lastIncoming[name] = in, in.connectionID
	p := m.addPeer(ctx, name, hello.GetAddress())
	m.mu.Unlock()
	if old != nil {
		_ = old.conn.Close()
		<-old.done
	}
	if p != nil {
		p.setIncoming(nil)
		if known && in.incarnation != last.incarnation {
			p.reportRestart()
		}
	}
	m.mu.Lock()
	in.confirmed = true
	m.mu.Unlock()
	if p != nil {
		p.setIncoming(in)
	}
	return true
}

// removeIncoming removes a broken connection unless a newer one has already
// replaced it.
func (m *Messenger) removeIncoming(name string, in *incoming, err error) {
	m.mu.Lock()
	current := m.incoming[name] == in
	if current {
		delete(m.incoming, name)
	}
	p := m.peers[name]
	m.mu.Unlock()
	if current && p != nil {
		m.Log.Info().Str("peer", name).AnErr("cause", err).Msg("peer_silent")
		p.dropIncoming(in)
	}
}

// requestsReceived returns how many run requests from a peer's current
// connection the handler has processed, and the session of that connection; 0 until the end
// of the former connection was reported. The caller holds m.mu.
func (m *Messenger) requestsReceived(name string) (count, session uint64) {
	if in := m.incoming[name]; in != nil && in.confirmed {
		return in.requests, in.session
	}
	return 0, 0
}

// frameAge returns an upper bound of the time since a received frame was sent: the time
// since this entry sent the last frame that the sender had received by then. It is 0 if
// there was none, and below 0 if the echo is not one of this VM.
func frameAge(f *wire.PeerFrame) time.Duration {
	if f.GetEchoMs() == 0 {
		return 0
	}
	return time.Duration(uptime()-f.GetEchoMs()) * time.Millisecond
}

// dataAge returns the time in milliseconds since the kernel last received data on a
// connection.
func dataAge(c net.Conn) (int64, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || infoErr != nil {
		return 0, false
	}
	return int64(info.Last_data_recv), true
}

// uptime returns the time since the VM was started in milliseconds, those included in
// which it was suspended.
func uptime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic(err)
	}
	return t.Nano() / int64(time.Millisecond)
}
