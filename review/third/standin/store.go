package main

import (
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key of the platform's store.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"-"`
}

// deletion is how a removed key is shown to watches.
type deletion struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// storeLease is a lease. It pauses or runs on while the store is down.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	mu       sync.Mutex
	revision int64
	lastID   int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	changed  chan struct{}
	// down is empty, or how the store fails: busy, silent or reset.
	down string
	// delay is added to each answer.
	delay time.Duration
	// lost is the share of writes that are done and not answered; with late they are done 1 to
	// 6 s later.
	lost  float64
	late  bool
	pause bool
}

// Front is the store as one machine of the system reaches it.
type Front struct {
	store *Store
	addr  string
	mu    sync.Mutex
	// mode is empty, or how the store turns this machine away: busy, many, silent, reset.
	mode string
	// view translates the values of keys that hold addresses; nil to show them as they are.
	view func(key, value string) string
}

func newStore() *Store {
	s := &Store{revision: 100, lastID: 7000, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go s.expire()
	return s
}

func (s *Store) setDown(how string, pause bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if how == "" && s.down != "" && s.pause {
		// Leases have paused.
		for _, l := range s.leases {
			l.end = time.Now().Add(l.ttl)
		}
	}
	s.down, s.pause = how, pause
}

func (s *Store) setDelay(d time.Duration) { s.mu.Lock(); s.delay = d; s.mu.Unlock() }

func (s *Store) setLost(share float64, late bool) {
	s.mu.Lock()
	s.lost, s.late = share, late
	s.mu.Unlock()
}

func (s *Store) isDown() string { s.mu.Lock(); defer s.mu.Unlock(); return s.down }

func (s *Store) expire() {
	for range time.Tick(5 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		if s.down != "" && s.pause {
			s.mu.Unlock()
			continue
		}
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		s.remove(k)
	}
	s.signal()
}

func (s *Store) signal() { close(s.changed); s.changed = make(chan struct{}) }

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) write(key, value string, lease int64) {
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

// put writes a key as the operator or a worker does.
func (s *Store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(data), 0)
	s.signal()
}

// drop removes a key.
func (s *Store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.signal()
}

// keys returns the keys with a prefix.
func (s *Store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted(prefix)
}

func (s *Store) sorted(prefix string) []string {
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// serve makes the store reachable at a new loopback address.
func (s *Store) serve(ip string) *Front {
	f := &Front{store: s}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	f.addr = l.Addr().String()
	go func() { _ = http.Serve(l, f) }()
	return f
}

func (f *Front) set(mode string) { f.mu.Lock(); f.mode = mode; f.mu.Unlock() }
func (f *Front) get() string     { f.mu.Lock(); defer f.mu.Unlock(); return f.mode }

func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func (f *Front) refuse(w http.ResponseWriter, r *http.Request) bool {
	mode := f.get()
	if d := f.store.isDown(); d != "" {
		mode = d
	}
	switch mode {
	case "busy":
		w.WriteHeader(503)
	case "many":
		w.WriteHeader(429)
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		hang(r)
	default:
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.refuse(w, r) {
		return
	}
	s := f.store
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	} else {
		time.Sleep(4 * time.Millisecond)
	}
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && r.URL.Path == "/api/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			answer(w, 404, map[string]any{"at": at})
			return
		}
		it = f.show(it)
		answer(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "at": at})
	case r.Method == "GET" && r.URL.Path == "/api/kv-range":
		items, more, size := []storeItem{}, false, 0
		s.mu.Lock()
		for _, k := range s.sorted(q.Get("prefix")) {
			if k <= q.Get("after") {
				continue
			}
			if len(items) == 500 || size > 1<<20 {
				more = true
				break
			}
			items = append(items, s.items[k])
			size += len(s.items[k].Value)
		}
		at := s.revision
		s.mu.Unlock()
		for i := range items {
			items[i] = f.show(items[i])
		}
		answer(w, 200, map[string]any{"items": items, "has_more": more, "at": at})
	case r.Method == "GET" && r.URL.Path == "/api/kv-watch":
		f.watch(w, r)
	case r.Method == "POST" && r.URL.Path == "/api/kv-txn":
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > 32 {
			w.WriteHeader(400)
			return
		}
		s.mu.Lock()
		lost, late := s.lost > 0 && rand.Float64() < s.lost, s.late
		s.mu.Unlock()
		if lost && late {
			go func() {
				time.Sleep(time.Second + rand.N(5*time.Second))
				s.apply(t)
			}()
			hang(r)
		}
		status, body := s.apply(t)
		if lost {
			hang(r)
		}
		answer(w, status, body)
	case r.Method == "POST" && r.URL.Path == "/api/kv-lease":
		var b struct {
			TTL float64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		s.mu.Lock()
		s.lastID++
		id := s.lastID
		ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		id, _ := strconv.ParseInt(r.URL.Path[len("/api/kv-keep/"):], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[len("/api/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, 200, map[string]any{})
	default:
		w.WriteHeader(400)
	}
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *Store) apply(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			var list []storeItem
			for _, e := range t.Expected {
				if it, ok := s.items[e.Key]; ok {
					list = append(list, it)
				}
			}
			return 412, map[string]any{"items": list}
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.signal()
	return 200, map[string]any{"revision": s.revision}
}

func (f *Front) show(it storeItem) storeItem {
	if f.view == nil || it.Value == "" {
		return it
	}
	data, err := base64.StdEncoding.DecodeString(it.Value)
	if err == nil {
		it.Value = base64.StdEncoding.EncodeToString([]byte(f.view(it.Key, string(data))))
	}
	return it
}

func (f *Front) watch(w http.ResponseWriter, r *http.Request) {
	s, q := f.store, r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []any{}
		s.mu.Lock()
		i, _ := slices.BinarySearchFunc(s.history, after+1, func(it storeItem, r int64) int { return int(it.Revision - r) })
		for _, it := range s.history[i:] {
			if !strings.HasPrefix(it.Key, q.Get("prefix")) {
				continue
			}
			if it.Deleted {
				events = append(events, deletion{it.Key, it.Revision, true})
			} else {
				events = append(events, f.show(it))
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down != "" || f.get() != "" {
			if f.refuse(w, r) {
				return
			}
		}
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-changed:
		}
	}
}
