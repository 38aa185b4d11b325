// Package platformer is a small stand-in for the platform.
//
// It implements the part of etcd's JSON API that radishweir uses and serves a VM
// list. Everything is in memory.
//
//	PUT  /admin/vms     replaces the VM list, body as in package wire
//	PUT  /admin/faults  sets the faults, body as in Faults
//	GET  /admin/calls   number of calls so far, by path
//
// # Usage
//
//	http.ListenAndServe(addr, platformer.New().Handler())
package platformer

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// progressInterval is the time between progress notifications of a watch.
const progressInterval = time.Second

// Faults are the faults that the platform can show.
type Faults struct {
	// Down refuses every call and ends every watch.
	Down bool `json:"down"`
	// SlowMS is a delay of every call in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseWrites makes every write take effect and closes the connection without
	// an answer.
	LoseWrites bool `json:"lose_writes"`
	// DownAfterWrite switches Down on after the next write whose answer is lost.
	DownAfterWrite bool `json:"down_after_write"`
	// FreezeList hides changes of the VM list from readers.
	FreezeList bool `json:"freeze_list"`
	// SilentWatches stops events and progress on every open watch.
	SilentWatches bool `json:"silent_watches"`
}

type value struct {
	data  []byte
	mod   int64
	lease int64
}

type event struct {
	key     string
	data    []byte
	mod     int64
	deleted bool
}

type lease struct {
	expiresAt time.Time
	ttl       int64
}

// Platform is the stand-in.
type Platform struct {
	mu           sync.Mutex
	keys         map[string]value
	revision     int64
	history      []event
	compacted    int64
	leases       map[int64]lease
	lastLease    int64
	changed      chan struct{}
	faults       Faults
	submittedVMs json.RawMessage
	visibleVMs   json.RawMessage
	vmsRevision  uint64
	calls        map[string]int
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		keys: make(map[string]value), leases: make(map[int64]lease), changed: make(chan struct{}),
		revision: 1, submittedVMs: json.RawMessage(`[]`), visibleVMs: json.RawMessage(`[]`), calls: make(map[string]int),
	}
}

// Handler returns the routes.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", p.withFaults(p.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", p.withFaults(p.txn))
	mux.HandleFunc("POST /v3/lease/grant", p.withFaults(p.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", p.withFaults(p.keepAlive))
	mux.HandleFunc("POST /v3/watch", p.withFaults(p.watch))
	mux.HandleFunc("GET /v1/vms", p.withFaults(p.vms))
	mux.HandleFunc("PUT /admin/vms", p.putVMs)
	mux.HandleFunc("PUT /admin/faults", p.putFaults)
	mux.HandleFunc("GET /admin/calls", p.countCalls)
	return mux
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.publishVMs()
	p.notify()
}

// Restore undoes every change after the given revision of the store, as a
// restore from an old backup would.
func (p *Platform) Restore(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = make(map[string]value)
	kept := p.history[:0]
	for _, e := range p.history {
		if e.mod > revision {
			continue
		}
		kept = append(kept, e)
		if e.deleted {
			delete(p.keys, e.key)
		} else {
			p.keys[e.key] = value{data: e.data, mod: e.mod}
		}
	}
	p.history, p.revision = kept, revision
	p.notify()
}

// Revision returns the store's revision.
func (p *Platform) Revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// notify wakes every watch; the caller holds the lock.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// withFaults wraps h with the faults.
func (p *Platform) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.calls[r.URL.Path]++
		p.expireLeases(time.Now())
		p.mu.Unlock()
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		if f.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if f.LoseWrites && r.URL.Path == "/v3/kv/txn" {
			h(discardWriter{header: make(http.Header)}, r)
			p.afterLostWrite()
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// afterLostWrite applies DownAfterWrite.
func (p *Platform) afterLostWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Down = p.faults.Down || p.faults.DownAfterWrite
	p.notify()
}

// discardWriter is the response writer of an answer that gets lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// expireLeases deletes the keys of expired leases; the caller holds the lock.
func (p *Platform) expireLeases(now time.Time) {
	for id, l := range p.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(p.leases, id)
		for k, v := range p.keys {
			if v.lease == id {
				p.revision++
				p.remove(k)
				p.notify()
			}
		}
	}
}

// remove deletes a key at the current revision; the caller holds the lock.
func (p *Platform) remove(k string) {
	delete(p.keys, k)
	p.history = append(p.history, event{key: k, mod: p.revision, deleted: true})
}

// put stores a key at the current revision; the caller holds the lock.
func (p *Platform) put(k string, data []byte, lease int64) {
	p.keys[k] = value{data: data, mod: p.revision, lease: lease}
	p.history = append(p.history, event{key: k, data: data, mod: p.revision})
}

// matching returns the keys in a range, sorted; the caller holds the lock.
func (p *Platform) matching(key, end string) []string {
	var out []string
	for k := range p.keys {
		if inRange(k, key, end) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (k < end || end == "\x00")
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var list struct {
		VMs json.RawMessage `json:"vms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.submittedVMs = list.VMs
	p.publishVMs()
}

// publishVMs makes the submitted VM list visible unless Faults.FreezeList is on;
// the caller holds the lock.
func (p *Platform) publishVMs() {
	if p.faults.FreezeList || string(p.visibleVMs) == string(p.submittedVMs) {
		return
	}
	p.visibleVMs = p.submittedVMs
	p.vmsRevision++
}

func (p *Platform) countCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p.calls)
}

// secondsToDuration converts a lease's time to live, which the API has in seconds.
func secondsToDuration(seconds int64) time.Duration { return time.Duration(seconds) * time.Second }

// trimQuotes removes the quotes around an entity tag.
func trimQuotes(s string) string { return strings.Trim(s, `"`) }
