// Package proxier carries TCP connections through links that hold, lose, delay, refuse
// and reset them.
//
// It is driven by commands, one JSON object a line. Links are numbered from 0; the first
// command for a link opens it, and is answered by a line with the link's address.
//
// # Usage
//
//	err := proxier.Run(os.Stdin, os.Stdout)
package proxier

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// acceptInterval is the pause after a connection that could not be accepted.
const acceptInterval = 10 * time.Millisecond

// Direction is the state of one direction of a link.
type Direction int

const (
	// Passing carries the bytes.
	Passing Direction = iota
	// Holding keeps the bytes until the direction passes again.
	Holding
	// Losing drops the bytes. A connection that has lost some is reset once the
	// direction passes again.
	Losing
)

// State is what a link does with its connections.
type State struct {
	Forth    Direction     `json:"forth"`
	Back     Direction     `json:"back"`
	Delay    time.Duration `json:"delay_ns"`
	Refusing bool          `json:"refusing"`
	// Replace is replaced by Value in the first bytes of a connection.
	Replace string `json:"replace"`
	Value   string `json:"value"`
}

// Command opens a link, sets its state or resets its connections.
type Command struct {
	Link int `json:"link"`
	// Source is the IP number from which the link dials, Target the address.
	Source string `json:"source,omitempty"`
	Target string `json:"target,omitempty"`
	State  State  `json:"state"`
	Reset  bool   `json:"reset,omitempty"`
}

// Run carries out commands until in ends.
func Run(in io.Reader, out io.Writer) error {
	commands, answers := json.NewDecoder(in), json.NewEncoder(out)
	var links []*link
	for {
		var c Command
		if err := commands.Decode(&c); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Wrap(err, "read a command")
		}
		switch {
		case c.Link == len(links):
			l, err := open(c)
			if err != nil {
				return errors.Wrap(err, "open a link")
			}
			links = append(links, l)
			if err := answers.Encode(l.listener.Addr().String()); err != nil {
				return errors.Wrap(err, "answer a command")
			}
		case c.Reset:
			links[c.Link].reset()
		default:
			links[c.Link].set(c.State)
		}
	}
}

// link is the proxy for the connections that one end opens to another.
type link struct {
	listener net.Listener
	dialer   net.Dialer
	target   string
	mu       sync.Mutex
	state    State
	changed  chan struct{}
	conns    map[net.Conn]bool
}

func open(c Command) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{
		listener: listener, target: c.Target, state: c.State, changed: make(chan struct{}), conns: make(map[net.Conn]bool),
		dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.Source)}},
	}
	go l.run()
	return l, nil
}

// set changes the state; what is held goes on if its direction passes now.
func (l *link) set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset breaks all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if c, ok := c.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) run() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			// The process is out of file descriptors; the listener stays open.
			time.Sleep(acceptInterval)
			continue
		}
		go l.serve(c)
	}
}

// serve carries one connection. One that is opened while the link is silent never
// reaches the other end.
func (l *link) serve(c net.Conn) {
	l.mu.Lock()
	s := l.state
	l.conns[c] = true
	l.mu.Unlock()
	defer l.forget(c)
	if s.Refusing {
		return
	}
	if s.Forth != Passing || s.Back != Passing {
		l.wait(true)
		l.wait(false)
		return
	}
	d, err := l.dialer.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.conns[d] = true
	l.mu.Unlock()
	defer l.forget(d)
	var work sync.WaitGroup
	work.Go(func() { l.pump(d, c, true) })
	work.Go(func() { l.pump(c, d, false) })
	work.Wait()
}

func (l *link) forget(c net.Conn) {
	abort(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// wait waits until a direction passes, and reports whether bytes were lost and the state
// then.
func (l *link) wait(forth bool) (lost bool, s State) {
	for {
		l.mu.Lock()
		s, changed := l.state, l.changed
		l.mu.Unlock()
		direction := s.Back
		if forth {
			direction = s.Forth
		}
		if direction == Passing {
			return lost, s
		}
		lost = lost || direction == Losing
		<-changed
	}
}

// pump carries the bytes of one direction.
func (l *link) pump(to, from net.Conn, forth bool) {
	buf := make([]byte, 32<<10)
	for first := true; ; first = false {
		n, err := from.Read(buf)
		lost, s := l.wait(forth)
		if lost {
			abort(from)
			abort(to)
			return
		}
		time.Sleep(s.Delay)
		data := buf[:n]
		if first && forth && s.Replace != "" {
			data = bytes.Replace(data, []byte(s.Replace), []byte(s.Value), 1)
		}
		if n > 0 {
			if _, err := to.Write(data); err != nil {
				abort(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}
