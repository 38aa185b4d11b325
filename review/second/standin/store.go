package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int    `json:"revision"`
	Created  int    `json:"created"`
	Lease    int    `json:"lease"`
}

// event is one change of a key, as a watch returns it.
type event struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// answerTime is the time in which the store answers.
const answerTime = 4 * time.Millisecond

// store is the platform's metadata store, in memory.
type store struct {
	mu       sync.Mutex
	revision int
	items    map[string]*item
	leases   map[int]*lease
	history  []event
	changed  chan struct{}
	// modes tells how calls of an entry are treated: "" (they are served), "slow" (they take 60
	// times as long), "cut" (they are held back) or "silent" (they get no answer).
	modes map[string]string
	// paused is true while leases do not run out, as the store is down.
	paused bool
}

func newStore() *store {
	s := &store{
		revision: 1, items: make(map[string]*item), leases: make(map[int]*lease), changed: make(chan struct{}),
		modes: make(map[string]string),
	}
	go s.expireLeases()
	return s
}

// setMode sets how the store treats the calls of an entry.
func (s *store) setMode(entry, mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[entry] = mode
}

// pause stops or resumes the time of all leases.
func (s *store) pause(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// expireLeases removes the keys of leases that have ended.
func (s *store) expireLeases() {
	const step = 10 * time.Millisecond
	for range time.Tick(step) {
		s.mu.Lock()
		for id, l := range s.leases {
			if s.paused {
				l.expires = l.expires.Add(step)
				continue
			}
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys; the caller holds the lock.
func (s *store) endLease(id int) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	s.revision++
	for _, k := range keys {
		s.removeKey(k)
	}
}

// putKey writes a key at the present revision; the caller holds the lock.
func (s *store) putKey(key, value string, l int) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	s.items[key] = &item{key, value, s.revision, created, l}
	s.note(event{Key: key, Value: value, Revision: s.revision, Created: created, Lease: l})
}

// removeKey removes a key at the present revision; the caller holds the lock.
func (s *store) removeKey(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.note(event{Key: key, Revision: s.revision, Deleted: true})
}

// note adds an event to the history and wakes the watches; the caller holds the lock.
func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key outside any transaction, as operators and workers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putKey(key, base64.StdEncoding.EncodeToString(data), 0)
}

// handler serves the store to one entry; view rewrites the values that it reads.
func (s *store) handler(entry string, view func(key, value string) string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		i, at := s.items[r.URL.Query().Get("key")], s.revision
		s.mu.Unlock()
		if i == nil {
			reply(w, http.StatusNotFound, map[string]any{"at": at})
			return
		}
		reply(w, http.StatusOK, map[string]any{
			"key": i.Key, "value": view(i.Key, i.Value), "revision": i.Revision, "created": i.Created, "lease": i.Lease, "at": at,
		})
	})
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(w, r, view) })
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, view) })
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := s.passCut(r, entry)
		if turnAway(r, m) {
			return
		}
		d := answerTime
		if m == "slow" {
			d *= 60
		}
		time.Sleep(d)
		mux.ServeHTTP(w, r)
	})
}

// passCut holds a call back while its entry is cut off from the store. It arrives as the cut heals,
// unless its connection was closed. It returns how the store treats the call.
func (s *store) passCut(r *http.Request, entry string) string {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	for {
		s.mu.Lock()
		m := s.modes[entry]
		s.mu.Unlock()
		if m != "cut" {
			return m
		}
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// turnAway treats a call as a peer does that is down in the given way, and reports
// whether it did.
func turnAway(r *http.Request, how string) bool {
	switch how {
	case "", "slow":
		return false
	}
	// The body is read so that the end of the connection is noticed.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// list serves one page of items.
func (s *store) list(w http.ResponseWriter, r *http.Request, view func(key, value string) string) {
	q := r.URL.Query()
	s.mu.Lock()
	var out []item
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			out = append(out, *i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > 500
	out = out[:min(len(out), 500)]
	for i := range out {
		out[i].Value = view(out[i].Key, out[i].Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "has_more": more, "at": at})
}

// watch serves the changes after a revision.
func (s *store) watch(w http.ResponseWriter, r *http.Request, view func(key, value string) string) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []event
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				out = append(out, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		for i := range out {
			if !out[i].Deleted {
				out[i].Value = view(out[i].Key, out[i].Value)
			}
		}
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": out, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": []event{}, "at": at})
			return
		case <-changed:
		}
	}
}

// transaction is the body of a conditional write.
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

// transact serves a conditional write.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	status, body := s.apply(t)
	reply(w, status, body)
}

// apply carries out a transaction.
func (s *store) apply(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	var current []item
	for _, e := range t.Expected {
		i := s.items[e.Key]
		if i == nil {
			i = &item{Key: e.Key}
		}
		current = append(current, *i)
		met = met && i.Revision == e.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putKey(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.removeKey(k)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL float64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := max(time.Second, time.Duration(q.TTL)*time.Millisecond)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.mu.Lock()
	known := s.leases[id] != nil
	if known {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !known {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}
