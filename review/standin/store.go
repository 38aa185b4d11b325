package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is the time that the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int    `json:"revision"`
	Created  int    `json:"created"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// transaction is the body of a call that writes.
type transaction struct {
	ExpectedRev []struct {
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

// fate says what happens to a call of the store.
type fate struct {
	// after is the time after which the call is carried out, beyond the usual one.
	after time.Duration
	// silent is true if the caller gets no answer.
	silent bool
	// refused is true if nothing is done and the answer is 503.
	refused bool
}

// store is the platform's store.
type store struct {
	rec *recorder
	// fate decides on the calls of an entry; nil lets all pass. It is called with the
	// body of transactions.
	fate func(entry, path string, t *transaction) fate
	// view returns an item as an entry sees it, and gate wraps the handler of an entry; nil
	// for no change.
	view func(entry string, i item) item
	gate func(entry string, next http.Handler) http.Handler

	mu       sync.Mutex
	revision int
	items    map[string]item
	history  []item
	leases   map[int]*lease
	changed  chan struct{}
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, revision: 1, items: make(map[string]item), leases: make(map[int]*lease), changed: make(chan struct{})}
}

// setFate replaces fate.
func (s *store) setFate(f func(entry, path string, t *transaction) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}

// fateOf returns the fate of a call.
func (s *store) fateOf(entry, path string, t *transaction) fate {
	s.mu.Lock()
	f := s.fate
	s.mu.Unlock()
	if f == nil {
		return fate{}
	}
	return f(entry, path, t)
}

// listen serves the store to one entry on an address of its own, which it returns.
func (s *store) listen(entry string) (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) { s.get(entry, w, r) })
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(entry, w, r) })
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(entry, w, r) })
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var t *transaction
		if r.URL.Path == "/api/kv-txn" {
			t = &transaction{}
			if err := json.NewDecoder(r.Body).Decode(t); err != nil {
				reply(w, http.StatusBadRequest, struct{}{})
				return
			}
		}
		time.Sleep(storeAnswerTime)
		f := s.fateOf(entry, r.URL.Path, t)
		if f.refused {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		if f.silent {
			if t != nil {
				time.AfterFunc(f.after, func() {
					status, _ := s.commit(t)
					s.rec.note("store carries out the late write of %s to %s: %d", entry, keysOf(t), status)
				})
			}
			// The connection returns nothing further.
			<-r.Context().Done()
			return
		}
		time.Sleep(f.after)
		if t != nil {
			status, body := s.commit(t)
			reply(w, status, body)
			return
		}
		mux.ServeHTTP(w, r)
	})
	var outer http.Handler = handler
	if s.gate != nil {
		outer = s.gate(entry, handler)
	}
	go func() { _ = (&http.Server{Handler: outer}).Serve(l) }()
	return l.Addr().String(), nil
}

// keysOf names the keys that a transaction changes.
func keysOf(t *transaction) string {
	var keys []string
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return strings.Join(append(keys, t.Remove...), " ")
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(entry string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int `json:"at"`
	}{s.seen(entry, i), at})
}

// pageLimit is the number of items of a page.
const pageLimit = 500

func (s *store) list(entry string, w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var list []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageLimit
	list = list[:min(len(list), pageLimit)]
	for n := range list {
		list[n] = s.seen(entry, list[n])
	}
	reply(w, http.StatusOK, map[string]any{"items": append([]item{}, list...), "has_more": more, "at": at})
}

func (s *store) watch(entry string, w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		for n := range events {
			events[n] = s.seen(entry, events[n])
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-changed:
		}
	}
}

// seen returns an item as an entry sees it.
func (s *store) seen(entry string, i item) item {
	if s.view == nil {
		return i
	}
	return s.view(entry, i)
}

// commit carries out a transaction and returns the status and the body of the answer.
func (s *store) commit(t *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []item{}
	for _, e := range t.ExpectedRev {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// put writes one key for the operator or a worker.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
}

// drop removes one key for the platform.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// write sets a key at the current revision; the caller holds the lock.
func (s *store) write(key, value string, l int) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: l}
	s.items[key] = i
	s.record(i)
}

// remove deletes a key at the current revision; the caller holds the lock.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(q.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": q.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.expire(id)
	reply(w, http.StatusOK, struct{}{})
}

// expire ends a lease and removes its keys.
func (s *store) expire(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}
