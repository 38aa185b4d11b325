// Package messenger carries frames between entries over TCP.
//
// Each entry dials each peer once and only writes to that connection; what the
// peer sends comes over the connection that the peer dialled. Messages that are
// queued at the same time travel in one frame. A peer is up while both
// directions work; frames or heartbeats are due every heartbeatInterval, so a
// connection that went silent is noticed within SilenceLimit. Each frame tells
// whether its sender hears the other, so both sides notice a cut in one
// direction. What was queued
// when a connection broke is dropped, and Handler.Down and Handler.Up say so.
//
// # Usage
//
//	m := &messenger.Messenger{Name: "entry-1", Address: "127.0.0.1:7100", Handler: h, Log: log}
//	err := m.Listen()
//	go m.Run(ctx)
//	m.Connect(map[string]string{"entry-2": "127.0.0.1:7101"})
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
	// heartbeatInterval is the longest time between two frames.
	heartbeatInterval = 100 * time.Millisecond
	// SilenceLimit is the time without a frame after which a peer is down; a
	// slow VM misses two heartbeats and is not down yet.
	SilenceLimit = 350 * time.Millisecond
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 300 * time.Millisecond
	// redialInterval is the pause before a connection is tried again.
	redialInterval = 100 * time.Millisecond
	// stateDelay gathers changes of state. Each peer beyond fewPeers adds
	// stateDelayPerPeer, which bounds what an entry spends on them whatever the
	// number of entries. Requests and ends are not delayed.
	stateDelay        = 3 * time.Millisecond
	stateDelayPerPeer = time.Millisecond
	fewPeers          = 8
	// forgetAfter is how long a peer that is no longer registered is dialled; it
	// may live and have lost only the store.
	forgetAfter = 30 * time.Second
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 8 << 20
)

// Handler takes what peers send. Calls for one peer come one at a time.
type Handler interface {
	// Up tells that a peer can be reached in both directions. The session
	// counts the connections to it.
	Up(peer string, session uint64)
	// Down tells that a peer can no longer be reached.
	Down(peer string)
	// Frame takes one frame.
	Frame(peer string, f *wire.PeerFrame)
	// Complete fills in what depends on the time of sending: states of the
	// upstreams named, or of all when the frame is whole.
	Complete(peer string, f *wire.PeerFrame, upstreams map[string]bool)
}

// Messenger connects this entry to its peers. Exported fields are set before
// Run.
type Messenger struct {
	// Name and Incarnation identify this process.
	Name        string
	Incarnation string
	// Address is the IP number and port to listen on.
	Address string
	Handler Handler
	// Log receives events.
	Log zerolog.Logger

	listener net.Listener
	mu       sync.Mutex
	peers    map[string]*peer
	incoming map[string]*incoming
}

// Listen binds the address.
func (m *Messenger) Listen() error {
	l, err := net.Listen("tcp", m.Address)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	m.listener = l
	return nil
}

// Run takes connections until ctx ends.
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

// SetPeers sets the registered peers, by name and address. A peer that is no
// longer among them stays connected while it is up, and is dialled for
// forgetAfter. It is called after Run began.
func (m *Messenger) SetPeers(ctx context.Context, addresses map[string]string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		address, registered := addresses[name]
		switch {
		case registered && address == p.address:
			p.forget = time.Time{}
		case registered || (!p.forget.IsZero() && now.After(p.forget) && !p.reachable()):
			p.cancel()
			delete(m.peers, name)
		case p.forget.IsZero():
			p.forget = now.Add(forgetAfter)
		}
	}
	for name, address := range addresses {
		m.dial(ctx, name, address)
	}
}

// dial begins to connect to a peer that is not known yet; the caller holds the
// lock.
func (m *Messenger) dial(ctx context.Context, name, address string) *peer {
	if p := m.peers[name]; p != nil || name == m.Name {
		return p
	}
	if m.peers == nil {
		m.peers = make(map[string]*peer)
	}
	p := &peer{messenger: m, name: name, address: address, wake: make(chan struct{}, 1)}
	p.in = m.incoming[name] != nil
	ctx, p.cancel = context.WithCancel(ctx)
	m.peers[name] = p
	go p.run(ctx)
	return p
}

// Send queues messages for a peer; it reports false when the peer is down.
func (m *Messenger) Send(name string, add func(f *wire.PeerFrame)) bool {
	p := m.peer(name)
	return p != nil && p.send(add)
}

// Publish announces that the state of an upstream changed.
func (m *Messenger) Publish(upstream string) {
	m.mu.Lock()
	list := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		list = append(list, p)
	}
	m.mu.Unlock()
	delay := stateDelay + time.Duration(max(0, len(list)-fewPeers))*stateDelayPerPeer
	for _, p := range list {
		p.publish(upstream, delay)
	}
}

func (m *Messenger) peer(name string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[name]
}
