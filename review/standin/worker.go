package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two reports of a worker to the store.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease of what runs.
	maxHold = time.Second
	// listLimit is the most ends in one answer.
	listLimit = 500
	// maxWait is the longest time for which an answer waits for an end.
	maxWait = 2 * time.Second
	// workerAnswerTime is the time that a worker takes for an answer.
	workerAnswerTime = time.Millisecond
)

// runKey names a run of a task.
type runKey struct {
	task string
	run  int
}

// activeRun is a run at work.
type activeRun struct {
	runKey
	need  amount
	start time.Time
	work  time.Duration
	timer *time.Timer
}

// amount is a part of a worker's capacity.
type amount struct{ cpu, memory int }

// end is a row of the list of ends.
type end struct {
	number int
	runKey
	how string
}

// event is what a worker saw of a run.
type event struct {
	at     time.Time
	worker string
	runKey
	// what is "start", "observed" or how the run ended.
	what string
	// lapsedSince is set on "observed" if the worker's lease lapsed after the end.
	lapsedSince bool
}

// worker is a worker of the platform. Its process may crash and start again.
type worker struct {
	id      string
	zone    string
	labels  []string
	service string
	address string
	// capacity is that of the worker, slowness the factor of its run times.
	capacity amount
	slowness float64
	plant    *plant

	mu       sync.Mutex
	down     bool
	born     time.Time
	token    int
	expires  time.Time
	lapse    *time.Timer
	lapsedAt time.Time
	runs     map[runKey]*activeRun
	ended    []end
	lastEnd  int
	highest  map[string]int
	endedAt  map[int]time.Time
	sequence int
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
	handler  http.Handler
	// addresses holds the address for each entry if these differ.
	addresses map[string]string
}

// plant holds all workers and what they saw.
type plant struct {
	rec   *recorder
	store *store
	// task says what a task needs and how a run of it goes.
	task func(task string, run int) (need amount, work time.Duration, fails bool)

	// network holds the paths to the workers; nil if none is ever cut.
	network *network

	mu      sync.Mutex
	workers []*worker
	events  []event
}

// add adds a worker and starts it.
func (p *plant) add(id, zone, service string, labels []string, c amount, slowness float64) (*worker, error) {
	w := &worker{id: id, zone: zone, labels: labels, service: service, capacity: c, slowness: slowness, plant: p}
	if err := w.start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	go w.report()
	return w, nil
}

func (p *plant) see(e event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e)
}

// seen returns the events of the tasks of a job.
func (p *plant) seen(job string) []event {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []event
	for _, e := range p.events {
		if strings.HasPrefix(e.task, job+".") {
			out = append(out, e)
		}
	}
	return out
}

// find returns the worker with an id.
func (p *plant) find(id string) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// running returns the runs of a job's tasks that are at work, by task.
func (p *plant) running(job string) map[runKey]string {
	p.mu.Lock()
	list := append([]*worker{}, p.workers...)
	p.mu.Unlock()
	out := make(map[runKey]string)
	for _, w := range list {
		w.mu.Lock()
		for k := range w.runs {
			if strings.HasPrefix(k.task, job+".") {
				out[k] = w.id
			}
		}
		w.mu.Unlock()
	}
	return out
}

// free returns the unused cpu and the whole cpu of the workers that are up and have a
// label, all for an empty one.
func (p *plant) free(label string) (free, whole int) {
	p.mu.Lock()
	list := append([]*worker{}, p.workers...)
	p.mu.Unlock()
	for _, w := range list {
		w.mu.Lock()
		if !w.down && (label == "" || strings.Contains("|"+strings.Join(w.labels, "|")+"|", "|"+label+"|")) {
			free += w.freeLocked().cpu
			whole += w.capacity.cpu
		}
		w.mu.Unlock()
	}
	return free, whole
}

// start starts the worker's process.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = loopback + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.handleStart)
	mux.HandleFunc("POST /api/run-stop", w.handleStop)
	mux.HandleFunc("POST /api/hold", w.handleHold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.listener, w.down = l.Addr().String(), l, false
	w.born, w.token, w.expires, w.lapsedAt = time.Now(), 0, time.Time{}, time.Time{}
	w.runs, w.ended, w.lastEnd = make(map[runKey]*activeRun), nil, 0
	w.highest, w.endedAt, w.sequence = make(map[string]int), make(map[int]time.Time), 0
	w.changed = make(chan struct{})
	w.handler = w.identified(mux)
	w.server = &http.Server{Handler: w.handler}
	server := w.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the worker's process: what ran there is gone.
func (w *worker) crash() {
	w.mu.Lock()
	w.down = true
	for k, r := range w.runs {
		r.timer.Stop()
		w.plant.see(event{at: time.Now(), worker: w.id, runKey: k, what: "crashed"})
	}
	w.runs = make(map[runKey]*activeRun)
	if w.lapse != nil {
		w.lapse.Stop()
	}
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.plant.rec.note("worker %s crashes", w.id)
}

// restart starts the worker again under its id and address.
func (w *worker) restart() error {
	err := w.start()
	w.plant.rec.note("worker %s is up again", w.id)
	w.register()
	return err
}

// addressFor returns the address at which an entry reaches the worker.
func (w *worker) addressFor(entry string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.addresses[entry]; a != "" {
		return a
	}
	return w.address
}

// openFor opens a listener for one entry, whose path to the worker may be cut.
func (w *worker) openFor(e *entry, n *network) error {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addresses == nil {
		w.addresses = make(map[string]string)
	}
	w.addresses[e.name] = l.Addr().String()
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		current := w.handler
		w.mu.Unlock()
		current.ServeHTTP(rw, r)
	})
	server := &http.Server{Handler: n.gate(e.zone, w.zone, handler)}
	go func() { _ = server.Serve(l) }()
	return nil
}

// report keeps the worker's entry in the store current.
func (w *worker) report() {
	silent := 0
	for {
		w.mu.Lock()
		down := w.down
		w.mu.Unlock()
		if w.plant.network != nil {
			open, _ := w.plant.network.open(w.zone, "")
			down = down || !open
		}
		switch {
		case !down:
			silent = 0
			w.register()
		default:
			silent++
			if silent == 3 {
				w.plant.store.drop("servers/" + w.id)
			}
		}
		time.Sleep(heartbeat)
	}
}

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.capacity.cpu, "mem_mb": w.capacity.memory, "gpu": 0},
		"labels":   w.labels, "clock_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	w.plant.store.put("servers/"+w.id, base64.StdEncoding.EncodeToString(data))
}

// clock returns the worker's clock in milliseconds; the caller holds the lock.
func (w *worker) clock() int { return int(time.Since(w.born).Milliseconds()) }

// identified refuses calls that are meant for another worker.
func (w *worker) identified(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		down := w.down
		w.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(workerAnswerTime)
		next.ServeHTTP(rw, r)
	})
}

// order is the body of a start, a stop or a hold.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Expires  int    `json:"expires_ms"`
	Token    int    `json:"fencing_token"`
	Observed int    `json:"observed"`
	Wait     int    `json:"wait_ms"`
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

// fenced reports whether a token is too low, and keeps the highest one; the caller holds
// the lock.
func (w *worker) fenced(token int) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend extends the lease; the caller holds the lock.
func (w *worker) extend(expires int) {
	if expires == 0 {
		return
	}
	until := w.born.Add(time.Duration(expires) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if !until.After(w.expires) {
		return
	}
	w.expires = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(until), w.lapsed)
}

// lapsed kills everything when the lease has expired.
func (w *worker) lapsed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || time.Now().Before(w.expires) {
		return
	}
	w.lapsedAt = time.Now()
	for k := range w.runs {
		w.finish(k, "lapsed")
	}
}

// freeLocked returns the free capacity; the caller holds the lock.
func (w *worker) freeLocked() amount {
	f := w.capacity
	for _, r := range w.runs {
		f.cpu -= r.need.cpu
		f.memory -= r.need.memory
	}
	return f
}

// finish ends a run; the caller holds the lock.
func (w *worker) finish(k runKey, how string) {
	r := w.runs[k]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, k)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, k, how})
	w.endedAt[w.lastEnd] = time.Now()
	w.highest[k.task] = max(w.highest[k.task], k.run)
	w.plant.see(event{at: time.Now(), worker: w.id, runKey: k, what: how})
	w.plant.rec.note("worker %s: %s run %d ends %s", w.id, k.task, k.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var q order
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := w.carryOutStart(q)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer(rw, status, reason)
}

// carryOutStart starts a run and returns the answer.
func (w *worker) carryOutStart(q order) (int, string) {
	need, work, fails := w.plant.task(q.Task, q.Run)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		panic(http.ErrAbortHandler)
	}
	k := runKey{q.Task, q.Run}
	switch {
	case w.fenced(q.Token):
		return http.StatusConflict, "fence"
	case w.runs[k] != nil:
		return http.StatusOK, ""
	case q.Run <= w.highest[q.Task]:
		w.extend(q.Expires)
		return http.StatusConflict, "old"
	case q.Expires <= w.clock():
		return http.StatusConflict, "late"
	case w.freeLocked().cpu < need.cpu || w.freeLocked().memory < need.memory:
		w.extend(q.Expires)
		return http.StatusConflict, "room"
	}
	w.extend(q.Expires)
	run := &activeRun{runKey: k, need: need, start: time.Now(), work: time.Duration(float64(work) * w.slowness)}
	how := "done"
	if fails {
		how = "failed"
	}
	run.timer = time.AfterFunc(run.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[k] == run {
			w.finish(k, how)
		}
	})
	w.runs[k] = run
	w.plant.see(event{at: time.Now(), worker: w.id, runKey: k, what: "start"})
	w.plant.rec.note("worker %s: %s run %d starts (token %d)", w.id, k.task, k.run, q.Token)
	return http.StatusOK, ""
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var q order
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := w.carryOutStop(q)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer(rw, status, reason)
}

// carryOutStop stops a run and returns the answer.
func (w *worker) carryOutStop(q order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(q.Token) {
		return http.StatusConflict, "fence"
	}
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	w.finish(runKey{q.Task, q.Run}, "stopped")
	return http.StatusOK, ""
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	var q order
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(q.Token) {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.extend(q.Expires)
	w.observe(q.Observed)
	timeout := time.After(min(time.Duration(q.Wait)*time.Millisecond, maxWait))
	for q.Wait > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mu.Lock()
		if w.down {
			panic(http.ErrAbortHandler)
		}
		if over {
			break
		}
	}
	running := [][]any{}
	for k, a := range w.runs {
		percent := min(99, int(100*float64(time.Since(a.start))/float64(a.work)))
		running = append(running, []any{k.task, k.run, "", percent, a.need.cpu})
	}
	ended := [][]any{}
	for _, e := range w.ended[:min(len(w.ended), listLimit)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// observe forgets the ends up to a number; the caller holds the lock.
func (w *worker) observe(number int) {
	for len(w.ended) > 0 && w.ended[0].number <= number {
		e := w.ended[0]
		w.ended = w.ended[1:]
		lapsed := w.lapsedAt.After(w.endedAt[e.number])
		w.plant.see(event{at: time.Now(), worker: w.id, runKey: e.runKey, what: "observed " + e.how, lapsedSince: lapsed})
		w.plant.rec.note("worker %s: the end %s of %s run %d is taken note of", w.id, e.how, e.task, e.run)
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
