// Package messenger exchanges frames between entries over TCP.
//
// Each entry dials each peer once and only writes to that connection; it
// receives the peer's frames on the connection that the peer dialled. Messages
// queued at the same time are sent in one frame. A peer is up while both
// directions work.
//
// Near peers, and peers with which this entry has work in progress, exchange a
// frame at least every heartbeatInterval, so that a silent connection is detected
// within SilenceLimit. The other peers, whose number grows with the fleet, exchange
// one every idleInterval. Each frame promises when the next one comes at the
// latest. The first message to an idle peer asks it for frequent frames, so its
// silence is detected within SilenceLimit of that message.
//
// Each frame carries the session in which its sender receives frames from the
// other side, so both sides detect a failure of only one direction. Messages
// that are queued when a connection breaks are dropped; the handler learns of
// this through Handler.Down and Handler.Up.
//
// # Usage
//
//	m := &messenger.Messenger{Name: "entry-1", Address: "127.0.0.1:7100", Handler: h, Log: log}
//	err := m.Listen()
//	go m.Run(ctx)
//	m.SetPeers(ctx, map[string]messenger.Peer{"entry-2": {Address: "127.0.0.1:7101", Near: true}})
//	m.Send("entry-2", func(f *wire.PeerFrame) { f.Ends = append(f.Ends, e) })
package messenger

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/wire"
)

const (
	// heartbeatInterval is the maximum time between two frames to a peer that must
	// notice this entry's silence at once.
	heartbeatInterval = 100 * time.Millisecond
	// SilenceLimit is the time without a frame after which a peer counts as
	// down. It tolerates two missed heartbeats, as happen on a slow VM.
	SilenceLimit = 350 * time.Millisecond
	// maxFrameAge is the age above which a received frame with run requests is dropped
	// with its connection, as its sender may have counted this entry as down since. Runs
	// at a peer that is down are given up later. Other frames are not harmful, and an
	// idle peer may echo a frame that is older than idleInterval.
	maxFrameAge = 1400 * time.Millisecond
	// dialTimeout limits how long establishing a connection may take.
	dialTimeout = 300 * time.Millisecond
	// redialInterval is the pause before the next attempt to dial or accept.
	redialInterval = 100 * time.Millisecond
	// forgetAfter is how long a peer that is no longer registered is still
	// dialled: the peer may be running and have lost only its connection to the
	// store.
	forgetAfter = 30 * time.Second
	// unreadablePerSecond is the maximum number of log lines per second about unreadable
	// hellos.
	unreadablePerSecond = 5
	// maxFrameBytes is the maximum size of a received frame.
	maxFrameBytes = 8 << 20
)

// Handler processes the frames and connection changes of peers. Calls for one
// peer come one at a time.
type Handler interface {
	// Up reports that both directions to a peer work. The session identifies the
	// connection to the peer and is not lower than those of earlier calls. The numbers of
	// received requests in the frames of the peer count those that were sent since.
	Up(peer string, session uint64)
	// Down reports that a peer can no longer be reached.
	Down(peer string)
	// Restarted reports that a new process of a peer has connected: nobody waits for what
	// the former one asked for. No frame of the new one was processed before.
	Restarted(peer string)
	// Frame processes one received frame.
	Frame(peer string, f *wire.PeerFrame)
	// Complete fills in the fields of a frame that must be current when it is
	// sent: the states of the given upstreams, or of all owned upstreams if
	// f.Whole is set.
	Complete(peer string, f *wire.PeerFrame, upstreams map[string]bool)
	// Linked reports whether runs link this entry and a peer: each would have to
	// notice the other's silence at once.
	Linked(peer string) bool
}

// Peer is a registered entry.
type Peer struct {
	// Address is its IP address and port.
	Address string
	// Near is true for a peer that always gets frequent frames.
	Near bool
}

// Messenger connects this entry to its peers. The exported fields must be set
// before Run is called.
type Messenger struct {
	// Name and Incarnation identify this process.
	Name        string
	Incarnation string
	// Address is the IP address and port to listen on.
	Address string
	Handler Handler
	// StateFrames is the number of frames per second, to all peers together, that
	// may be sent only for states of upstreams; 0 means no limit.
	StateFrames float64
	// Log receives the log events.
	Log zerolog.Logger

	listener net.Listener
	// stateDelay is the time in nanoseconds for which changes of upstream states
	// are batched.
	stateDelay atomic.Int64
	// lastSession is the session of the last connection to any peer. The first one is
	// random: a peer may still confirm a session of this entry's former process.
	lastSession atomic.Uint64
	mu          sync.Mutex
	peers       map[string]*peer
	incoming    map[string]*incoming
	// strangers are the connections that have not sent their hello yet, oldest first.
	strangers []net.Conn
	// unreadable logs unreadable hellos, which may come in floods.
	unreadable zerolog.Logger
	// lastIncoming holds the last connection of each peer, also once it has ended.
	lastIncoming map[string]connectionID
}

// Listen starts to listen on Address.
func (m *Messenger) Listen() error {
	l, err := net.Listen("tcp", m.Address)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	m.listener = l
	m.unreadable = m.Log.Sample(&zerolog.BurstSampler{Burst: unreadablePerSecond, Period: time.Second})
	m.lastSession.Store(uint64(rand.Uint32()))
	return nil
}

// Run accepts connections until ctx is done.
func (m *Messenger) Run(ctx context.Context) error {
	m.mu.Lock()
	if m.incoming == nil {
		m.incoming, m.lastIncoming = make(map[string]*incoming), make(map[string]connectionID)
	}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = m.listener.Close() })
	defer stop()
	go m.adjustStateDelay(ctx)
	for accepted := uint64(1); ; accepted++ {
		c, err := m.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.Log.Warn().Err(err).Msg("accept_failed")
			time.Sleep(redialInterval)
			continue
		}
		m.addStranger(c)
		go m.receive(ctx, c, accepted)
	}
}

// SetPeers sets the registered peers by name. A peer whose address has changed is
// dialled at the new address. A peer that is no longer registered stays connected
// while it is up and is dialled for at least forgetAfter. SetPeers must be called
// after Run has started.
func (m *Messenger) SetPeers(ctx context.Context, registered map[string]Peer) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		r, found := registered[name]
		switch {
		case found:
			p.forgetAt = time.Time{}
			p.setAddress(r.Address)
		case !p.forgetAt.IsZero() && now.After(p.forgetAt) && !p.reachable():
			p.cancel()
			delete(m.peers, name)
		case p.forgetAt.IsZero():
			p.forgetAt = now.Add(forgetAfter)
		}
	}
	for name, r := range registered {
		if p := m.addPeer(ctx, name, r.Address); p != nil {
			p.setNear(r.Near)
		}
	}
}

// addPeer starts connecting to a peer unless it is already known. It returns the
// peer, or nil if name is this entry itself. The caller holds m.mu.
func (m *Messenger) addPeer(ctx context.Context, name, address string) *peer {
	if p := m.peers[name]; p != nil || name == m.Name {
		return p
	}
	if m.peers == nil {
		m.peers = make(map[string]*peer)
	}
	p := &peer{messenger: m, name: name, address: address, wake: make(chan struct{}, 1)}
	if in := m.incoming[name]; in != nil {
		p.incomingUp = true
		p.adopt(in)
	}
	ctx, p.cancel = context.WithCancel(ctx)
	m.peers[name] = p
	go p.run(ctx)
	return p
}

// Send queues the messages that add appends for a peer. It returns false if the
// peer is down.
func (m *Messenger) Send(name string, add func(f *wire.PeerFrame)) bool {
	p := m.peer(name)
	return p != nil && p.send(add)
}

// Append queues the messages that add appends for the next frame to a peer, whenever that
// is sent. It returns false if the peer is down.
func (m *Messenger) Append(name string, add func(f *wire.PeerFrame)) bool {
	p := m.peer(name)
	return p != nil && p.append(add)
}

// Publish schedules sending the changed state of an upstream to all peers. Idle
// peers get it with their next heartbeat unless it is urgent.
func (m *Messenger) Publish(upstream string, urgent bool) {
	peers := m.allPeers()
	delay := time.Duration(m.stateDelay.Load())
	for _, p := range peers {
		p.publish(upstream, delay, urgent)
	}
}

// LastSeen returns the time at which a peer was last known to be alive, zero if it never
// was. A frame that waited while this process was paused shows only that the peer was alive
// when it sent the frame.
func (m *Messenger) LastSeen(name string) time.Time {
	p := m.peer(name)
	if p == nil {
		return time.Time{}
	}
	p.mu.Lock()
	at := p.aliveMs
	p.mu.Unlock()
	if at == 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(uptime()-at) * time.Millisecond)
}

func (m *Messenger) allPeers() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, p)
	}
	return out
}

func (m *Messenger) peer(name string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[name]
}
