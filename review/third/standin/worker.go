package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	maxHold   = 1000 // ms, max_hold_ms
	stopGrace = 50 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// run is one run of a task on a worker.
type run struct {
	task    string
	number  int
	cpu     int
	started time.Time
	work    time.Duration
	cause   string // how it ends by itself
	stopAt  time.Time
	timer   *time.Timer
	hung    bool
}

// listedEnd is an end that the worker lists.
type listedEnd struct {
	n      int
	task   string
	run    int
	how    string
	lapsed bool // the lease has lapsed since
}

// Worker is a stand-in for a worker, as PROTOCOL.md describes it. Several listeners lead to it,
// one for each machine of the system, so that single paths can be cut.
type Worker struct {
	w       *World
	index   int
	service string
	zone    string
	listen  []net.Listener
	conns   []map[net.Conn]bool // open connections by listener

	mu       sync.Mutex
	id       string
	labels   []string
	cpu      int
	guards   bool
	up       bool
	silent   bool   // up, but no answers: cut off from everybody
	cut      []bool // by listener: cut off from that machine
	grey     string // errors: fails all that it starts
	slow     float64
	draining bool
	late     float64 // share of the orders that get no answer and are carried out late
	gen      int     // counts the lives
	born     int64
	bornAt   time.Time
	token    int64
	runs     map[string]*run
	highest  map[string]int // highest run stopped or ended, by task
	ended    []listedEnd
	lastEnd  int
	leaseEnd time.Time
	sequence int
	news     chan struct{}
	lease    *time.Timer
	// registered is false while the worker writes nothing to the store.
	registered bool
}

func newWorker(w *World, index int, service, zone string, labels []string, cpu int) *Worker {
	k := &Worker{
		w: w, index: index, service: service, zone: zone, labels: labels, cpu: cpu, guards: true, slow: 1, registered: true,
		cut: make([]bool, len(w.entries)+1), news: make(chan struct{}),
	}
	for i := range len(w.entries) + 1 {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		k.listen = append(k.listen, l)
		k.conns = append(k.conns, map[net.Conn]bool{})
		s := &http.Server{
			Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { k.serve(i, rw, r) }),
			ConnState: func(c net.Conn, st http.ConnState) {
				k.mu.Lock()
				defer k.mu.Unlock()
				switch st {
				case http.StateNew:
					k.conns[i][c] = true
				case http.StateClosed, http.StateHijacked:
					delete(k.conns[i], c)
				}
			},
		}
		go func() { _ = s.Serve(l) }()
	}
	k.id = fmt.Sprintf("i-%02d-%04x", index, rand.IntN(1<<16))
	k.mu.Lock()
	k.begin()
	k.mu.Unlock()
	go k.beat()
	return k
}

// begin starts a new life; the caller holds the lock.
func (k *Worker) begin() {
	k.gen++
	k.up, k.draining, k.token, k.lastEnd, k.sequence = true, false, 0, 0, 0
	k.runs, k.highest, k.ended = map[string]*run{}, map[string]int{}, nil
	k.bornAt = time.Now()
	k.born = k.bornAt.UnixMilli()
	k.leaseEnd = time.Time{}
}

// clock returns the worker's clock, which is 1% slow; the caller holds the lock.
func (k *Worker) clock() int64 {
	return int64(float64(time.Since(k.bornAt).Microseconds())/1000*0.99) + 1000
}

// at returns the time at which the worker's clock shows ms; the caller holds the lock.
func (k *Worker) at(ms int64) time.Time {
	return k.bornAt.Add(time.Duration(float64(ms-1000) / 0.99 * float64(time.Millisecond)))
}

func (k *Worker) record() map[string]any {
	state := "ready"
	if k.draining {
		state = "draining"
	}
	m := map[string]any{
		"service": k.service, "address": k.listen[0].Addr().String(), "zone": k.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": k.cpu, "mem_mb": 65536, "gpu": 0}, "labels": k.labels, "clock_ms": k.clock(), "born": k.born, "sequence": k.sequence,
	}
	if k.draining {
		m["remaining_ms"] = 2000
	}
	return m
}

// beat writes the worker's entry about every heartbeat. The platform removes it after three
// intervals of silence.
func (k *Worker) beat() {
	var last, written time.Time
	for range time.Tick(20 * time.Millisecond) {
		k.mu.Lock()
		alive := k.up && !k.silent && k.registered
		now := time.Now()
		if alive && now.Sub(last) >= heartbeat && k.w.store.isDown() == "" {
			k.sequence++
			rec, id := k.record(), k.id
			last, written = now, now
			k.mu.Unlock()
			k.w.store.put("servers/"+id, rec)
			continue
		}
		if !written.IsZero() && now.Sub(written) > 3*heartbeat && k.w.store.isDown() == "" {
			id := k.id
			written = time.Time{}
			k.mu.Unlock()
			k.w.store.drop("servers/" + id)
			continue
		}
		if !k.up {
			last = time.Time{}
		}
		k.mu.Unlock()
	}
}

// writeEntry writes the worker's entry at once, as after a change.
func (k *Worker) writeEntry() {
	k.mu.Lock()
	k.sequence++
	rec, id := k.record(), k.id
	k.mu.Unlock()
	k.w.store.put("servers/"+id, rec)
}

// crash ends the life of the worker. With dark its connections go silent, else they break.
func (k *Worker) crash(dark bool) {
	k.mu.Lock()
	k.up = false
	k.gen++
	for _, r := range k.runs {
		r.timer.Stop()
		k.w.check.ended(r.task, r.number, k.id, "crashed", 0)
	}
	k.runs = map[string]*run{}
	k.wake()
	conns := k.allConns()
	k.mu.Unlock()
	if !dark {
		for _, c := range conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (k *Worker) allConns() []net.Conn {
	var out []net.Conn
	for _, m := range k.conns {
		for c := range m {
			out = append(out, c)
		}
	}
	return out
}

// restart begins a new life, under the same id or a new one, and breaks old connections.
func (k *Worker) restart(newID bool) {
	k.mu.Lock()
	conns := k.allConns()
	if newID {
		old := k.id
		time.AfterFunc(3*heartbeat, func() { k.w.store.drop("servers/" + old) })
		k.id = fmt.Sprintf("i-%02d-%04x", k.index, rand.IntN(1<<16))
	}
	k.begin()
	k.mu.Unlock()
	for _, c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (k *Worker) wake() { close(k.news); k.news = make(chan struct{}) }

// extend extends the lease to a time on the worker's clock; the caller holds the lock.
func (k *Worker) extend(expires int64) {
	now := time.Now()
	if now.After(k.leaseEnd) {
		k.lapse()
	}
	end := k.at(expires)
	if limit := now.Add(maxHold * time.Millisecond * 100 / 99); end.After(limit) {
		end = limit
	}
	if end.After(k.leaseEnd) {
		k.leaseEnd = end
	}
	if k.lease != nil {
		k.lease.Stop()
	}
	gen := k.gen
	k.lease = time.AfterFunc(time.Until(k.leaseEnd)+time.Millisecond, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.gen == gen && time.Now().After(k.leaseEnd) {
			k.lapse()
		}
	})
}

// lapse kills everything, as the lease has expired; the caller holds the lock.
func (k *Worker) lapse() {
	for i := range k.ended {
		k.ended[i].lapsed = true
	}
	for _, r := range k.runs {
		k.end(r, "lapsed")
	}
	for i := range k.ended {
		k.ended[i].lapsed = true
	}
}

// end ends a run; the caller holds the lock.
func (k *Worker) end(r *run, how string) {
	if k.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(k.runs, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.number)
	k.lastEnd++
	k.ended = append(k.ended, listedEnd{n: k.lastEnd, task: r.task, run: r.number, how: how})
	k.w.check.ended(r.task, r.number, k.id, how, k.lastEnd)
	k.wake()
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	Expires *int64 `json:"expires_ms"`
	Token   int64  `json:"fencing_token"`

	Observed int   `json:"observed"`
	Wait     int64 `json:"wait_ms"`
}

func (k *Worker) serve(from int, w http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	k.mu.Lock()
	if !k.up || k.silent || k.cut[from] {
		k.mu.Unlock()
		// Nothing comes back until the path is whole again; then the connection is gone.
		for {
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(10 * time.Millisecond):
			}
			k.mu.Lock()
			open := k.up && !k.silent && !k.cut[from]
			k.mu.Unlock()
			if open {
				panic(http.ErrAbortHandler)
			}
		}
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != k.id {
		k.mu.Unlock()
		answer(w, 421, map[string]any{})
		return
	}
	if err != nil {
		k.mu.Unlock()
		answer(w, 400, map[string]any{})
		return
	}
	late, gen := k.late > 0 && rand.Float64() < k.late, k.gen
	id := k.id
	k.mu.Unlock()
	if late {
		path := r.URL.Path
		go func() {
			time.Sleep(2*time.Second + rand.N(10*time.Second))
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.up && k.id == id {
				k.w.check.note("late %s %s run %d at %s", path, o.Task, o.Run, k.id)
				k.carryOut(path, o)
			}
		}()
		hang(r)
	}
	time.Sleep(500 * time.Microsecond)
	k.mu.Lock()
	if k.gen != gen {
		k.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, body := k.carryOut(r.URL.Path, o)
	if r.URL.Path == "/api/hold" && status == 200 {
		deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		for o.Wait > 0 && len(k.ended) == 0 && k.gen == gen {
			news := k.news
			k.mu.Unlock()
			timeout := false
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-deadline:
				timeout = true
			case <-news:
			}
			k.mu.Lock()
			if timeout {
				break
			}
		}
		if k.gen != gen || k.silent || k.cut[from] || !k.up {
			k.mu.Unlock()
			if k.gen == gen {
				hang(r)
			}
			panic(http.ErrAbortHandler)
		}
		body = k.lists()
	}
	k.mu.Unlock()
	answer(w, status, body)
}

func (k *Worker) lists() map[string]any {
	running, ended := []any{}, []any{}
	for _, r := range k.runs {
		cpuShare := float64(r.cpu)
		percent := int(min(99, 100*time.Since(r.started).Seconds()/max(r.work.Seconds(), 0.001)))
		if r.hung {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, "", percent, cpuShare})
	}
	for _, e := range k.ended[:min(500, len(k.ended))] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": k.clock(), "born": k.born, "running": running, "ended": ended}
}

// carryOut carries out an order; the caller holds the lock.
func (k *Worker) carryOut(path string, o order) (int, map[string]any) {
	now := time.Now()
	no := func(reason string) (int, map[string]any) {
		return 409, map[string]any{"clock_ms": k.clock(), "born": k.born, "reason": reason}
	}
	ok := func() (int, map[string]any) { return 200, map[string]any{"clock_ms": k.clock(), "born": k.born} }
	if o.Token < k.token {
		return no("fence")
	}
	k.token = o.Token
	switch path {
	case "/api/run-start":
		if r := k.runs[o.Task]; r != nil && r.number == o.Run {
			return ok()
		}
		if k.grey == "refuse" {
			return 503, map[string]any{}
		}
		if o.Run <= k.highest[o.Task] {
			if o.Expires != nil {
				k.extend(*o.Expires)
			}
			return no("old")
		}
		if o.Expires == nil || !k.at(*o.Expires).After(now) {
			return no("late")
		}
		spec := k.w.specOf(o.Task)
		used := 0
		for _, r := range k.runs {
			used += r.cpu
		}
		if k.guards && used+spec.cpu > k.cpu {
			k.extend(*o.Expires)
			return no("room")
		}
		k.extend(*o.Expires)
		work := time.Duration(float64(spec.work) * k.slow)
		r := &run{task: o.Task, number: o.Run, cpu: spec.cpu, started: now, work: work, cause: "done"}
		if spec.fails || k.grey == "errors" {
			r.cause, work = "failed", work/2
		}
		if k.grey == "hang" {
			r.hung = true
			work = time.Hour
		}
		k.runs[o.Task] = r
		gen := k.gen
		r.timer = time.AfterFunc(work, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.gen == gen {
				if time.Now().After(k.leaseEnd) {
					k.lapse()
					return
				}
				k.end(r, r.cause)
			}
		})
		k.w.check.started(o.Task, o.Run, k, o.Spec, used+spec.cpu, o.Token)
		return ok()
	case "/api/run-stop":
		k.highest[o.Task] = max(k.highest[o.Task], o.Run)
		if r := k.runs[o.Task]; r != nil && r.number == o.Run {
			gen := k.gen
			time.AfterFunc(rand.N(stopGrace), func() {
				k.mu.Lock()
				defer k.mu.Unlock()
				if k.gen == gen {
					k.end(r, "stopped")
				}
			})
		}
		return ok()
	case "/api/hold":
		if !now.Before(k.leaseEnd) {
			k.lapse()
		}
		k.ended = slices.DeleteFunc(k.ended, func(e listedEnd) bool {
			if e.n <= o.Observed {
				k.w.check.noted(e.task, e.run, e.how, e.lapsed, k.id)
			}
			return e.n <= o.Observed
		})
		if o.Expires != nil {
			k.extend(*o.Expires)
		}
		return ok()
	}
	return 400, map[string]any{}
}
