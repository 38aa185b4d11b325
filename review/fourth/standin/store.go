package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// refusal is how the store treats the calls of a machine.
type refusal int

// Refusals.
const (
	serving refusal = iota
	busy            // answers 503
	silent          // does not answer
)

// historySize bounds the changes that watches can read.
const historySize = 5000

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int
	// compacted is the highest revision whose history is dropped.
	compacted int
	items     map[string]item
	history   []item
	ttl       map[int]time.Duration
	timers    map[int]*time.Timer
	changed   chan struct{}
	refusing  map[string]refusal
	// lost is the share of writes that are carried out and not answered, lateBy the
	// longest delay of those.
	lost   float64
	lateBy time.Duration
	// view returns a value as a machine sees it.
	view func(client, key, value string) string
	rng  *rand.Rand
}

func newStore(seed uint64) *store {
	return &store{
		revision: 1, items: make(map[string]item), ttl: make(map[int]time.Duration), timers: make(map[int]*time.Timer),
		changed: make(chan struct{}), refusing: make(map[string]refusal), rng: rand.New(rand.NewPCG(seed, 99)),
	}
}

// serve opens the store for one machine and returns its address.
func (s *store) serve(client string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, s.handler(client)) }()
	return l.Addr().String()
}

// setRefusal sets how the store treats a machine.
func (s *store) setRefusal(client string, r refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing[client] = r
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(data), 0)
}

// remove removes a key for a worker, or those that match.
func (s *store) removeMatching(match func(key string) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if match(key) {
			s.erase(key)
			out = append(out, key)
		}
	}
	return out
}

func (s *store) write(key, value string, lease int) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.append(i)
}

func (s *store) erase(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.append(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	if len(s.history) > historySize {
		dropped := len(s.history) - historySize/2
		s.compacted = s.history[dropped-1].Revision
		s.history = s.history[dropped:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler(client string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) { s.get(client, w, r) })
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(client, w, r) })
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(client, w, r) })
	mux.HandleFunc("POST /api/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.transact(client, w, r) })
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.refusalOf(client) {
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case silent:
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) refusalOf(client string) refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusing[client]
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) show(client string, i item) item {
	if s.view != nil && !i.Deleted {
		i.Value = s.view(client, i.Key, i.Value)
	}
	return i
}

func (s *store) get(client string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int `json:"at"`
	}{s.show(client, i), at})
}

func (s *store) list(client string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	out := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		At      int    `json:"at"`
	}{Items: []item{}}
	s.mu.Lock()
	out.At = s.revision
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			if len(out.Items) == 500 {
				out.HasMore = true
				break
			}
			out.Items = append(out.Items, s.items[key])
		}
	}
	s.mu.Unlock()
	for n := range out.Items {
		out.Items[n] = s.show(client, out.Items[n])
	}
	reply(w, http.StatusOK, out)
}

func (s *store) watch(client string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	out := struct {
		Events []item `json:"events"`
		At     int    `json:"at"`
	}{Events: []item{}}
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		out.At = s.revision
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				out.Events = append(out.Events, e)
			}
		}
		changed, refused := s.changed, s.refusing[client]
		s.mu.Unlock()
		if refused != serving {
			panic(http.ErrAbortHandler)
		}
		if len(out.Events) > 0 {
			for n := range out.Events {
				out.Events[n] = s.show(client, out.Events[n])
			}
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, out)
			return
		case <-changed:
		}
	}
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int    `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int    `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) transact(client string, w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	lose := s.rng.Float64() < s.lost
	delay := time.Duration(0)
	if lose && s.lateBy > 0 {
		delay = time.Second + time.Duration(s.rng.Int64N(int64(s.lateBy-time.Second)))
	}
	s.mu.Unlock()
	if lose {
		if delay > 0 {
			time.AfterFunc(delay, func() { s.apply(t) })
		} else {
			s.apply(t)
		}
		<-r.Context().Done()
		return
	}
	status, body := s.apply(t)
	reply(w, status, body)
}

func (s *store) apply(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	conflict := false
	for _, e := range t.Expected {
		i := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		current = append(current, i)
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.ttl[p.Lease] == 0 {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.erase(key)
	}
	return http.StatusOK, map[string]int{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	s.revision++
	id, ttl := s.revision, time.Duration(q.TTL)*time.Millisecond
	s.ttl[id] = ttl
	s.timers[id] = time.AfterFunc(ttl, func() { s.expire(id) })
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int{"lease": id, "ttl_ms": q.TTL})
}

func (s *store) expire(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ttl, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.erase(key)
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.mu.Lock()
	ttl, t := s.ttl[id], s.timers[id]
	ok := ttl != 0 && t.Stop()
	if ok {
		t.Reset(ttl)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": ttl.Milliseconds()})
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprint("trial: ", err))
	}
}
