package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/encoding/protodelim"

	"radishweir.org/lib/wire"
)

// peer is the connection to one peer.
type peer struct {
	messenger *Messenger
	name      string
	address   string
	cancel    context.CancelFunc
	// forget is when an unregistered peer is given up; zero while registered.
	forget time.Time
	wake   chan struct{}

	mu      sync.Mutex
	in      bool
	out     bool
	session uint64
	// heard is the session that the peer last said it hears.
	heard uint64
	// queue is the frame that is being filled.
	queue   *wire.PeerFrame
	changed map[string]bool
	whole   bool
	timed   bool

	// events orders the calls of Up and Down.
	events sync.Mutex
	up     bool
}

// send queues messages; it reports false when the peer is down.
func (p *peer) send(add func(f *wire.PeerFrame)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.connected() {
		return false
	}
	if p.queue == nil {
		p.queue = &wire.PeerFrame{}
	}
	add(p.queue)
	p.signal()
	return true
}

// publish marks the state of an upstream as changed; it is sent after the delay.
func (p *peer) publish(upstream string, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.out {
		return
	}
	p.changed[upstream] = true
	if !p.timed {
		p.timed = true
		time.AfterFunc(delay, p.signalChanged)
	}
}

// signalChanged wakes the writer unless another frame took the changes along.
func (p *peer) signalChanged() {
	p.mu.Lock()
	waits := len(p.changed) > 0
	p.mu.Unlock()
	if waits {
		p.signal()
	}
}

// reachable reports whether both directions work.
func (p *peer) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connected()
}

// connected reports whether both sides hear each other; the caller holds the
// lock.
func (p *peer) connected() bool { return p.in && p.out && p.heard == p.session }

func (p *peer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// setIn notes whether the peer's own connection works.
func (p *peer) setIn(in bool) {
	p.events.Lock()
	defer p.events.Unlock()
	p.mu.Lock()
	p.in = in
	if in {
		p.whole = true
	}
	p.mu.Unlock()
	p.signal()
	p.settle()
}

// setHeard notes which session the peer hears.
func (p *peer) setHeard(session uint64) {
	p.mu.Lock()
	same := p.heard == session
	p.mu.Unlock()
	if same {
		return
	}
	p.events.Lock()
	defer p.events.Unlock()
	p.mu.Lock()
	p.heard = session
	p.mu.Unlock()
	p.settle()
}

// setOut notes whether the connection to the peer works.
func (p *peer) setOut(out bool) {
	p.events.Lock()
	defer p.events.Unlock()
	p.mu.Lock()
	p.out = out
	p.queue, p.changed, p.whole, p.timed = nil, make(map[string]bool), true, false
	if out {
		p.session++
	}
	p.mu.Unlock()
	p.settle()
}

// settle calls Up or Down after a change; the caller holds events.
func (p *peer) settle() {
	p.mu.Lock()
	up, session := p.connected(), p.session
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

// run connects again and again until ctx ends.
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
	p.setIn(false)
}

// connect dials once and writes frames until that fails.
func (p *peer) connect(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout, Control: limitSilence}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	p.setOut(true)
	defer p.setOut(false)
	w := bufio.NewWriter(c)
	hello := &wire.PeerHello{Name: p.messenger.Name, Incarnation: p.messenger.Incarnation, Session: p.session, Address: p.messenger.Address}
	if _, err := protodelim.MarshalTo(w, hello); err != nil {
		return err
	}
	return p.frames(ctx, c, w)
}

// frames writes one frame whenever something is queued, else a heartbeat.
func (p *peer) frames(ctx context.Context, c net.Conn, w *bufio.Writer) error {
	t := time.NewTimer(heartbeatInterval)
	defer t.Stop()
	for {
		t.Reset(heartbeatInterval)
		f := p.take()
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

// take returns the queued frame with the states that changed.
func (p *peer) take() *wire.PeerFrame {
	p.mu.Lock()
	f, changed := p.queue, p.changed
	if f == nil {
		f = &wire.PeerFrame{}
	}
	f.Whole = p.whole
	p.queue, p.changed, p.whole, p.timed = nil, make(map[string]bool), false, false
	p.mu.Unlock()
	// What was taken is read before the states, so that these hold all of it.
	f.Taken, f.TakenSession = p.messenger.taken(p.name)
	p.messenger.Handler.Complete(p.name, f, changed)
	return f
}

// limitSilence makes the kernel give up a connection whose bytes are not
// acknowledged.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
