package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// network holds the paths between zones. The store, the operator and the clients are
// outside all zones, and clients reach each zone at all times.
//
// All machines share the loopback interface. So that single paths can be cut, each entry
// learns an address of its own for each other entry and for each worker: the store shows
// it that address in place of the one that was registered, and a proxy or another
// listener of the worker stands behind it.
type network struct {
	scene *scene

	mu      sync.Mutex
	changed chan struct{}
	// cut is the zone that is cut off from all others and from the store; empty for none.
	cut string
	// links holds the proxy addresses by the names of the two entries.
	links map[[2]string]string
}

func newNetwork(s *scene) *network {
	return &network{scene: s, changed: make(chan struct{}), links: make(map[[2]string]string)}
}

// setCut cuts a zone off, or with an empty name heals the cut.
func (n *network) setCut(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = zone
	close(n.changed)
	n.changed = make(chan struct{})
	if zone == "" {
		n.scene.rec.note("the cut is healed")
		return
	}
	n.scene.rec.note("zone %s is cut off from all others and from the store", zone)
}

// open reports whether there is a path between two zones, and returns a channel that is
// closed at the next change.
func (n *network) open(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut == "" || (a == n.cut) == (b == n.cut), n.changed
}

// waitOpen waits until there is a path between two zones or done is closed.
func (n *network) waitOpen(a, b string, done <-chan struct{}) bool {
	for {
		open, changed := n.open(a, b)
		if open {
			return true
		}
		select {
		case <-done:
			return false
		case <-changed:
		}
	}
}

// view returns an item of the store as an entry sees it.
func (n *network) view(reader string, i item) item {
	if i.Deleted {
		return i
	}
	data, err := base64.StdEncoding.DecodeString(i.Value)
	if err != nil {
		return i
	}
	text := string(data)
	if strings.HasPrefix(i.Key, "servers/") {
		var record struct {
			Address string `json:"address"`
		}
		w := n.scene.plant.find(strings.TrimPrefix(i.Key, "servers/"))
		if json.Unmarshal(data, &record) != nil || w == nil {
			return i
		}
		text = strings.ReplaceAll(text, `"`+record.Address+`"`, `"`+w.addressFor(reader)+`"`)
	} else {
		n.scene.mu.Lock()
		for name, e := range n.scene.entries {
			if name != reader {
				text = strings.ReplaceAll(text, `"`+e.peers+`"`, `"`+n.links[[2]string{reader, name}]+`"`)
			}
		}
		n.scene.mu.Unlock()
	}
	i.Value = base64.StdEncoding.EncodeToString([]byte(text))
	return i
}

// link opens proxies between a new entry and all others.
func (n *network) link(e *entry, others []*entry) error {
	for _, o := range others {
		for _, pair := range [][2]*entry{{e, o}, {o, e}} {
			l, err := net.Listen("tcp", loopback+":0")
			if err != nil {
				return err
			}
			n.links[[2]string{pair[0].name, pair[1].name}] = l.Addr().String()
			go n.proxy(l, pair[0].zone, pair[1])
		}
	}
	return nil
}

// proxy forwards connections of a zone to an entry. While the path is cut it forwards
// nothing, and connections stay open.
func (n *network) proxy(l net.Listener, from string, to *entry) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			n.waitOpen(from, to.zone, nil)
			d, err := net.DialTimeout("tcp", to.peers, time.Second)
			if err != nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			go n.copy(d, c, from, to.zone)
			n.copy(c, d, from, to.zone)
		}()
	}
}

// copy copies bytes from r to w while there is a path.
func (n *network) copy(w, r net.Conn, a, b string) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := r.Read(buffer)
		n.waitOpen(a, b, nil)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = w.(*net.TCPConn).SetLinger(0)
			}
			break
		}
	}
	_ = w.Close()
	_ = r.Close()
}

// gate lets requests and answers between two zones pass while there is a path. Others
// get no answer.
func (n *network) gate(a, b string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if open, _ := n.open(a, b); !open {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(&gated{ResponseWriter: w, network: n, a: a, b: b, done: r.Context().Done()}, r)
	})
}

// gated is a ResponseWriter that waits for a path.
type gated struct {
	http.ResponseWriter
	network *network
	a, b    string
	done    <-chan struct{}
}

// WriteHeader implements http.ResponseWriter.
func (g *gated) WriteHeader(status int) {
	g.network.waitOpen(g.a, g.b, g.done)
	g.ResponseWriter.WriteHeader(status)
}
