// Package messenger exchanges frames between entries over TCP.
//
// Each entry dials each peer once and only writes to that connection; it
// receives the peer's frames on the connection that the peer dialled. Messages
// queued at the same time are sent in one frame. A peer is up while both
// directions work. An entry sends a frame or a heartbeat at least every
// heartbeatInterval, so a silent connection is detected within SilenceLimit.
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
//	m.SetPeers(ctx, map[string]string{"entry-2": "127.0.0.1:7101"})
//	m.Send("entry-2", func(f *wire.PeerFrame) { f.Ends = append(f.Ends, e) })
package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/wire"
)

const (
	// heartbeatInterval is the maximum time between two frames.
	heartbeatInterval = 100 * time.Millisecond
	// SilenceLimit is the time without a frame after which a peer counts as
	// down. It tolerates two missed heartbeats, as happen on a slow VM.
	SilenceLimit = 350 * time.Millisecond
	// dialTimeout limits how long establishing a connection may take.
	dialTimeout = 300 * time.Millisecond
	// redialInterval is the pause before the next attempt to dial or accept.
	redialInterval = 100 * time.Millisecond
	// stateDelay is how long upstream state changes are batched before they are
	// sent. Each peer beyond stateDelayBasePeers adds stateDelayPerPeer, so that
	// the cost of publishing stays bounded whatever the number of entries.
	// Run requests and reports of ended runs are not delayed.
	stateDelay          = 3 * time.Millisecond
	stateDelayPerPeer   = time.Millisecond
	stateDelayBasePeers = 8
	// forgetAfter is how long a peer that is no longer registered is still
	// dialled: the peer may be running and have lost only its connection to the
	// store.
	forgetAfter = 30 * time.Second
	// maxFrameBytes is the maximum size of a received frame.
	maxFrameBytes = 8 << 20
)

// Handler processes the frames and connection changes of peers. Calls for one
// peer come one at a time.
type Handler interface {
	// Up reports that both directions to a peer work. The session is the number
	// of connections established to the peer so far.
	Up(peer string, session uint64)
	// Down reports that a peer can no longer be reached.
	Down(peer string)
	// Frame processes one received frame.
	Frame(peer string, f *wire.PeerFrame)
	// Complete fills in the fields of a frame that must be current when it is
	// sent: the states of the given upstreams, or of all owned upstreams if
	// f.Whole is set.
	Complete(peer string, f *wire.PeerFrame, upstreams map[string]bool)
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
	// Log receives the log events.
	Log zerolog.Logger

	listener net.Listener
	mu       sync.Mutex
	peers    map[string]*peer
	incoming map[string]*incoming
}

// Listen starts to listen on Address.
func (m *Messenger) Listen() error {
	l, err := net.Listen("tcp", m.Address)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	m.listener = l
	return nil
}

// Run accepts connections until ctx is done.
func (m *Messenger) Run(ctx context.Context) error {
	m.mu.Lock()
	if m.incoming == nil {
		m.incoming = make(map[string]*incoming)
	}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = m.listener.Close() })
	defer stop()
	for {
		c, err := m.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.Log.Warn().Err(err).Msg("accept_failed")
			time.Sleep(redialInterval)
			continue
		}
		go m.receive(ctx, c)
	}
}

// SetPeers sets the registered peers; addresses maps names to addresses. A peer
// whose address has changed is dialled at the new address. A peer that is no
// longer registered stays connected while it is up and is dialled for at least
// forgetAfter. SetPeers must be called after Run has started.
func (m *Messenger) SetPeers(ctx context.Context, addresses map[string]string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		address, registered := addresses[name]
		switch {
		case registered && address == p.address:
			p.forgetAt = time.Time{}
		case registered || (!p.forgetAt.IsZero() && now.After(p.forgetAt) && !p.reachable()):
			p.cancel()
			delete(m.peers, name)
		case p.forgetAt.IsZero():
			p.forgetAt = now.Add(forgetAfter)
		}
	}
	for name, address := range addresses {
		m.addPeer(ctx, name, address)
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
	p.incomingUp = m.incoming[name] != nil
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

// Publish schedules sending the changed state of an upstream to all peers.
func (m *Messenger) Publish(upstream string) {
	m.mu.Lock()
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	m.mu.Unlock()
	delay := stateDelay + time.Duration(max(0, len(peers)-stateDelayBasePeers))*stateDelayPerPeer
	for _, p := range peers {
		p.publish(upstream, delay)
	}
}

func (m *Messenger) peer(name string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[name]
}
