package hoster

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"radishweir.org/platform/schema"
)

// item is the state of one key.
type item struct {
	value    string
	revision int
	lease    int
}

// maxHistory is the number of events after which the older half is discarded, so that
// watches stay cheap in long tests.
const maxHistory = 4000

// Store is the platform's key-value service.
type Store struct {
	mu       sync.Mutex
	revision int
	items    map[string]item
	history  []schema.Item
	leases   map[int]*time.Timer
	ttl      map[int]time.Duration
	// changed is closed and replaced at every change of a key.
	changed chan struct{}
	down    bool
	// muted is true while watches get no events.
	muted bool
	calls int
	// reads counts the lists and watches by prefix.
	reads map[string]int
	// compacted is the highest revision whose history was discarded.
	compacted int
}

func newStore() *Store {
	return &Store{
		revision: 1, items: make(map[string]item), leases: make(map[int]*time.Timer),
		ttl: make(map[int]time.Duration), changed: make(chan struct{}), reads: make(map[string]int),
	}
}

// SetDown makes the store refuse all calls.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Compact discards the history of all changes so far.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Mute withholds the events from all watches, until it ends with a discarded history.
func (s *Store) Mute(muted bool) {
	if !muted {
		s.Compact()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
	close(s.changed)
	s.changed = make(chan struct{})
}

// Remove deletes a key, though its lease has not ended.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	return out
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Reads returns the number of lists and watches of a prefix so far.
func (s *Store) Reads(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[prefix]
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes one key at a new revision.
func (s *Store) put(key, value string, lease int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, lease)
}

// write sets a key at the current revision; the caller holds the lock.
func (s *Store) write(key, value string, lease int) {
	s.items[key] = item{value, s.revision, lease}
	rev := s.revision
	s.appendEvent(schema.Item{Key: &key, Value: &value, Revision: &rev})
}

// remove deletes a key at the current revision; the caller holds the lock.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	rev, deleted := s.revision, true
	s.appendEvent(schema.Item{Key: &key, Revision: &rev, Deleted: &deleted})
}

// appendEvent appends an event to the history and wakes the watches; the caller
// holds the lock.
func (s *Store) appendEvent(e schema.Item) {
	if s.history = append(s.history, e); len(s.history) > maxHistory {
		dropped := len(s.history) - maxHistory/2
		s.compacted = *s.history[dropped-1].Revision
		s.history = slices.Clone(s.history[dropped:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLease ends a lease and deletes its keys.
func (s *Store) expireLease(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].lease == id {
			s.remove(key)
		}
	}
}

// Handler returns the store's routes. What is read passes through view, which returns
// the value of a key as one client sees it; nil means that the value stays as it is.
func (s *Store) Handler(view func(key, value string) string) http.Handler {
	v := &reader{s, view}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", v.get)
	mux.HandleFunc("GET /api/kv-range", v.list)
	mux.HandleFunc("GET /api/kv-watch", v.watch)
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keepAlive)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		if prefix := r.URL.Query().Get("prefix"); prefix != "" {
			s.reads[prefix]++
		}
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// send writes a JSON body.
func send(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// reader serves the reads of a store as one client sees it.
type reader struct {
	*Store
	view func(key, value string) string
}

// show returns an item with its value as the client sees it.
func (s *reader) show(i schema.Item) schema.Item {
	if s.view != nil && i.Value != nil {
		value := s.view(*i.Key, *i.Value)
		i.Value = &value
	}
	return i
}

// describe returns a key as the protocol shows it; the caller holds the lock.
func (s *reader) describe(key string) schema.Item {
	i := s.items[key]
	return s.show(schema.Item{Key: &key, Value: &i.value, Revision: &i.revision, Lease: &i.lease})
}

func (s *reader) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.URL.Query().Get("key")
	if _, ok := s.items[key]; !ok {
		send(w, http.StatusNotFound, struct{}{})
		return
	}
	send(w, http.StatusOK, s.describe(key))
}

// pageLimit is the maximum number of items in a page. It is small, so that tests
// read several pages.
const pageLimit = 20

func (s *reader) list(w http.ResponseWriter, r *http.Request) {
	// The lock is released before the write: a client that is frozen while it
	// reads must not block the others.
	send(w, http.StatusOK, s.page(r.URL.Query()))
}

// page returns one page of items.
func (s *reader) page(q url.Values) schema.Range {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, more := s.revision, false
	out := schema.Range{At: &at, HasMore: &more}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if len(out.Items) == pageLimit {
			more = true
			break
		}
		out.Items = append(out.Items, s.describe(key))
	}
	return out
}

func (s *reader) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			send(w, http.StatusGone, struct{}{})
			return
		}
		at := s.revision
		if s.muted {
			at = after
		}
		out := schema.Changes{At: &at}
		for _, e := range s.history {
			if !s.muted && *e.Revision > after && strings.HasPrefix(*e.Key, q.Get("prefix")) {
				out.Events = append(out.Events, s.show(e))
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			send(w, http.StatusOK, out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			send(w, http.StatusOK, out)
			return
		case <-changed:
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var q schema.Transaction
	if !decode(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range q.ExpectedRev {
		if s.items[e.Key].revision != e.Revision {
			send(w, http.StatusPreconditionFailed, struct{}{})
			return
		}
	}
	for _, p := range q.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			send(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range q.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range q.Remove {
		s.remove(key)
	}
	send(w, http.StatusOK, schema.Revision{Revision: s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var q schema.LeaseRequest
	if !decode(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(q.TtlMs)*time.Millisecond
	s.ttl[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() { s.expireLease(id) })
	ms := float64(q.TtlMs)
	send(w, http.StatusOK, schema.Lease{Lease: &id, TtlMs: &ms})
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.PathValue("id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil || !t.Stop() {
		send(w, http.StatusNotFound, struct{}{})
		return
	}
	t.Reset(s.ttl[id])
	send(w, http.StatusOK, struct{}{})
}
