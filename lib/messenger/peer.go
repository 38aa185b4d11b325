package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/encoding/protodelim"

	"radishweir.org/lib/wire"
)

// peer holds the connection to one peer and the state of both directions.
type peer struct {
	messenger *Messenger
	name      string
	cancel    context.CancelFunc
	// forgetAt is the time after which an unregistered peer is removed unless it
	// is connected; zero while the peer is registered.
	forgetAt time.Time
	wake     chan struct{}

	mu         sync.Mutex
	address    string
	incomingUp bool
	outgoingUp bool
	// session identifies the last connection to the peer, and outgoing is that connection.
	session  uint64
	outgoing net.Conn
	// sentRequests is the number of run requests sent in the session, and sentBeforeUp that
	// at the last call of Handler.Up.
	sentRequests uint64
	sentBeforeUp uint64
	// confirmed is the session in which the peer last reported receiving
	// frames.
	confirmed uint64
	// queued is the frame that collects the messages to send next; nil if none.
	queued           *wire.PeerFrame
	changedUpstreams map[string]bool
	sendAllStates    bool
	publishScheduled bool
	pace

	// notifyMu serializes the calls of Handler.Up and Handler.Down. It is locked
	// before mu.
	notifyMu sync.Mutex
	up       bool
}

// send queues the messages that add appends and sends them soon. It returns false if the
// peer is down.
func (p *peer) send(add func(f *wire.PeerFrame)) bool {
	if !p.append(add) {
		return false
	}
	p.mu.Lock()
	p.activate(time.Now())
	p.mu.Unlock()
	p.wakeWriter()
	return true
}

// append queues the messages that add appends for the next frame. It returns false if
// the peer is down.
func (p *peer) append(add func(f *wire.PeerFrame)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.connected() {
		return false
	}
	if p.queued == nil {
		p.queued = &wire.PeerFrame{}
	}
	add(p.queued)
	return true
}

// publish marks the state of an upstream as changed and schedules sending it
// after the delay. To an idle peer it is sent with the next heartbeat unless it is
// urgent.
func (p *peer) publish(upstream string, delay time.Duration, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.outgoingUp {
		return
	}
	p.changedUpstreams[upstream] = true
	if p.publishScheduled || (!urgent && p.interval(time.Now()) > heartbeatInterval) {
		return
	}
	p.publishScheduled = true
	time.AfterFunc(max(delay, minStateDelay, p.stateInterval), p.wakeIfChanged)
}

// wakeIfChanged wakes the writer unless a frame sent in the meantime already
// included the changes.
func (p *peer) wakeIfChanged() {
	p.mu.Lock()
	pending := len(p.changedUpstreams) > 0
	p.mu.Unlock()
	if pending {
		p.wakeWriter()
	}
}

// reachable reports whether both directions work.
func (p *peer) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connected()
}

// connected reports whether both sides receive each other's frames. The caller
// holds p.mu.
func (p *peer) connected() bool { return p.incomingUp && p.outgoingUp && p.confirmed == p.session }

func (p *peer) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// setIncoming sets the connection that the peer dialled, nil if it broke.
func (p *peer) setIncoming(in *incoming) {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.changeIncoming(in)
}

// dropIncoming records that a connection that the peer dialled broke, unless a newer one
// has replaced it.
func (p *peer) dropIncoming(in *incoming) {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.mu.Lock()
	current := p.incoming == in
	p.mu.Unlock()
	if current {
		p.changeIncoming(nil)
	}
}

// changeIncoming is setIncoming for callers that hold p.notifyMu.
func (p *peer) changeIncoming(in *incoming) {
	p.mu.Lock()
	p.incomingUp = in != nil
	p.adopt(in)
	if in != nil {
		p.sendAllStates = true
	}
	p.mu.Unlock()
	p.wakeWriter()
	p.notifyHandler()
}

// setConfirmedSession records the session in which the peer receives frames.
func (p *peer) setConfirmedSession(session uint64) {
	p.mu.Lock()
	same := p.confirmed == session
	p.mu.Unlock()
	if same {
		return
	}
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.mu.Lock()
	p.confirmed = session
	p.mu.Unlock()
	p.notifyHandler()
}

// setAddress makes the peer be dialled at an address, and ends the connection to another
// one.
func (p *peer) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	if p.outgoing != nil {
		_ = p.outgoing.Close()
	}
}

// currentAddress returns the address at which the peer is dialled.
func (p *peer) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// setOutgoing records the connection to the peer, nil if it broke, and drops everything
// queued for the previous one.
func (p *peer) setOutgoing(c net.Conn) {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.mu.Lock()
	p.outgoing, p.outgoingUp, p.sentMs = c, c != nil, [2]int64{}
	p.queued, p.changedUpstreams, p.sendAllStates, p.publishScheduled = nil, make(map[string]bool), true, false
	if c != nil {
		// A confirmation of an earlier session must not count for this one.
		p.session = p.messenger.lastSession.Add(1)
		p.sentRequests = 0
	}
	p.mu.Unlock()
	p.notifyHandler()
}

// notifyHandler calls Handler.Up or Handler.Down if the peer's reachability
// changed. Messages that were queued before Down are dropped also if the connection to the
// peer still works. The caller holds p.notifyMu.
func (p *peer) notifyHandler() {
	p.mu.Lock()
	up, session := p.connected(), p.session
	switch {
	case !up:
		p.queued = nil
	case !p.up:
		p.sentBeforeUp = p.sentRequests
	}
	p.mu.Unlock()
	switch {
	case up && !p.up:
		p.messenger.Log.Info().Str("peer", p.name).Uint64("session", session).Msg("peer_up")
		p.messenger.Handler.Up(p.name, session)
	case !up && p.up:
		p.messenger.Log.Warn().Str("peer", p.name).Msg("peer_down")
		p.messenger.Handler.Down(p.name)
	}
	p.up = up
}

// reportRestart calls Handler.Restarted.
func (p *peer) reportRestart() {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.messenger.Log.Info().Str("peer", p.name).Msg("peer_restarted")
	p.messenger.Handler.Restarted(p.name)
}

// run keeps the peer connected until ctx is done.
func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.connect(ctx)
		if ctx.Err() == nil {
			p.messenger.Log.Debug().Str("peer", p.name).AnErr("cause", err).Msg("peer_connection_lost")
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
	p.setIncoming(nil)
}

// connect dials once and writes frames until the connection breaks.
func (p *peer) connect(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	address := p.currentAddress()
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	p.setOutgoing(c)
	defer p.setOutgoing(nil)
	if p.currentAddress() != address {
		return errors.New("the peer has another address")
	}
	w := bufio.NewWriter(c)
	hello := &wire.PeerHello{Name: p.messenger.Name, Incarnation: p.messenger.Incarnation, Session: p.session, Address: p.messenger.Address, VariableInterval: true}
	if _, err := protodelim.MarshalTo(w, hello); err != nil {
		return err
	}
	return p.writeFrames(ctx, c, w)
}

// writeFrames writes a frame whenever something is queued, or an empty frame as
// a heartbeat when the promised time has passed.
func (p *peer) writeFrames(ctx context.Context, c net.Conn, w *bufio.Writer) error {
	t := time.NewTimer(heartbeatInterval)
	defer t.Stop()
	for {
		f, interval := p.nextFrame()
		t.Reset(interval)
		_ = c.SetWriteDeadline(time.Now().Add(SilenceLimit))
		if _, err := protodelim.MarshalTo(w, f); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-t.C:
		}
	}
}

// nextFrame returns the queued frame, completed with the changed states, and the
// time after which the next one must be sent. It starts a new frame.
func (p *peer) nextFrame() (*wire.PeerFrame, time.Duration) {
	p.updateActivity()
	m := p.messenger
	// With the session the peer learns that this entry has noticed the end of the former
	// connection, so the frame must not hold messages from before. The request count is read
	// before the upstream states, so that the states reflect every request that is counted.
	m.mu.Lock()
	p.mu.Lock()
	f, changed := p.queued, p.changedUpstreams
	if f == nil {
		f = &wire.PeerFrame{}
	}
	f.Taken, f.TakenSession = m.requestsReceived(p.name)
	m.mu.Unlock()
	p.sentRequests += uint64(len(f.GetRequests()))
	f.Whole = p.sendAllStates
	now := time.Now()
	interval := p.interval(now)
	f.NextFrameMs, f.WantsHeartbeats = uint32(interval.Milliseconds()), p.needed(now)
	f.SentMs, f.EchoMs = uptime(), p.peerSentMs
	p.sentMs = [...]int64{p.sentMs[1], f.SentMs}
	f.StateIntervalMs = uint32(time.Duration(m.stateDelay.Load()).Milliseconds())
	p.queued, p.changedUpstreams, p.sendAllStates, p.publishScheduled = nil, make(map[string]bool), false, false
	p.mu.Unlock()
	m.Handler.Complete(p.name, f, changed)
	return f, interval
}

// setUserTimeout makes the kernel close a connection when sent data stays
// unacknowledged for SilenceLimit.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
