package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a worker grants.
	maxHold = time.Second
	// stopTime is how long a run goes on after its stop; at most 50 ms are allowed.
	stopTime = 20 * time.Millisecond
	// heartbeat is the time between two reports of a worker to the store.
	heartbeat = 1500 * time.Millisecond
	// listedEnds is the most ends in one answer.
	listedEnds = 500
)

// spec is what the spec of a task says of its run.
type spec struct {
	MS int `json:"ms"`
	// Fail is the number of runs of each task that fail.
	Fail int `json:"fail"`
	CPU  int `json:"cpu"`
}

// runKey identifies a run on a worker.
type runKey struct {
	task string
	run  int
}

// activeRun is a run at work.
type activeRun struct {
	started time.Time
	length  time.Duration
	cpu     int
	timer   *time.Timer
	life    int
}

// listedEnd is an end that the worker lists.
type listedEnd struct {
	n    int
	key  runKey
	how  string
	gone bool
}

// worker is a stand-in for a worker that guards its capacity.
type worker struct {
	id, zone string
	// rack is the label of its rack.
	rack    string
	address string
	cpu     int
	store   *store
	judge   *judge
	// fault returns what happens to the answer of an order: "", "lost" (carried out, not
	// answered) or "late" (not answered and carried out seconds later).
	fault func(w *worker, path string) (string, time.Duration)

	mu       sync.Mutex
	up       bool
	draining bool
	life     int
	born     int64
	since    time.Time
	token    int
	runs     map[runKey]*activeRun
	ends     []listedEnd
	count    int
	highest  map[string]int
	leaseEnd time.Time
	lease    *time.Timer
	changed  chan struct{}
	server   *http.Server
	sequence int
	// lastHold is the last hold with a valid token, which came at heldAt.
	lastHold order
	heldAt   time.Time
	// heldFrom is the address from which it came.
	heldFrom string
}

func newWorker(id, zone, rack string, cpu int, s *store, j *judge) *worker {
	w := &worker{id: id, zone: zone, rack: rack, address: freeAddress(), cpu: cpu, store: s, judge: j}
	w.start()
	go w.report()
	return w
}

// start begins a new life of the worker at its address.
func (w *worker) start() {
	l, err := net.Listen("tcp", w.address)
	check(err)
	w.mu.Lock()
	w.up, w.life, w.born, w.since = true, w.life+1, time.Now().UnixMilli(), time.Now()
	w.token, w.runs, w.ends, w.count = 0, make(map[runKey]*activeRun), nil, 0
	w.highest, w.leaseEnd, w.sequence = make(map[string]int), time.Time{}, 0
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.handle("start", w.runStart))
	mux.HandleFunc("POST /api/run-stop", w.handle("stop", w.runStop))
	mux.HandleFunc("POST /api/hold", w.handle("hold", nil))
	w.server = &http.Server{Handler: mux}
	s := w.server
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	w.register()
}

// crash ends the worker's life at once.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	if w.lease != nil {
		w.lease.Stop()
	}
	for k, r := range w.runs {
		r.timer.Stop()
		w.judge.ended(w, k, "crash")
	}
	w.runs = make(map[runKey]*activeRun)
	close(w.changed)
	w.changed = make(chan struct{})
	s := w.server
	w.mu.Unlock()
	_ = s.Close()
}

// record is the worker's entry in the store.
func (w *worker) record() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return map[string]any{
		"service": "claims", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", w.rack},
		"sequence": w.sequence, "born": w.born, "clock_ms": w.clock(time.Now()),
	}
}

func (w *worker) register() { w.store.put("servers/"+w.id, w.record()) }

// report registers the worker at each heartbeat while it is up.
func (w *worker) report() {
	silentSince, removed := time.Time{}, false
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		up := w.up
		w.mu.Unlock()
		switch {
		case up:
			silentSince, removed = time.Time{}, false
			w.register()
		case silentSince.IsZero():
			silentSince = time.Now()
		case w.isDraining():
			return
		case !removed && time.Since(silentSince) >= 2*heartbeat:
			removed = true
			w.store.removeMatching(func(key string) bool { return key == "servers/"+w.id })
		}
	}
}

func (w *worker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

func (w *worker) clock(now time.Time) int64 { return 1000 + now.Sub(w.since).Milliseconds() }

// order is the body of every call.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Expires  int64  `json:"expires_ms"`
	Token    int    `json:"fencing_token"`
	Observed int    `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}

// handle decodes an order, applies the fault and answers it.
func (w *worker) handle(path string, do func(o order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			reply(rw, http.StatusBadRequest, struct{}{})
			return
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
			reply(rw, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		w.mu.Lock()
		life, fault := w.life, w.fault
		w.mu.Unlock()
		if fault != nil {
			switch what, delay := fault(w, path); what {
			case "late":
				time.AfterFunc(delay, func() { w.carryOut(path, o, do) })
				<-r.Context().Done()
				return
			case "lost":
				w.carryOut(path, o, do)
				<-r.Context().Done()
				return
			}
		}
		if path == "hold" {
			w.hold(rw, r, o, life)
			return
		}
		status, reason := do(o)
		body := map[string]any{"clock_ms": w.clockNow(), "born": w.bornAt()}
		if reason != "" {
			body["reason"] = reason
		}
		reply(rw, status, body)
	}
}

// carryOut carries out an order that gets no answer.
func (w *worker) carryOut(path string, o order, do func(o order) (int, string)) {
	w.mu.Lock()
	up := w.up
	w.mu.Unlock()
	switch {
	case !up:
	case path == "hold":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.renewAndForget(o)
	default:
		do(o)
	}
}

func (w *worker) clockNow() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(time.Now())
}

func (w *worker) bornAt() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born
}

// renew extends the lease to a time of the worker's clock; the caller holds the lock.
func (w *worker) renew(expires int64) {
	if expires == 0 {
		return
	}
	now := time.Now()
	end := now.Add(min(time.Duration(expires-w.clock(now))*time.Millisecond, maxHold))
	if !end.After(w.leaseEnd) || !end.After(now) {
		return
	}
	w.leaseEnd = end
	if w.lease != nil {
		w.lease.Stop()
	}
	life := w.life
	w.lease = time.AfterFunc(end.Sub(now), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || !w.up || time.Now().Before(w.leaseEnd) {
			return
		}
		w.judge.lapsed(w)
		for k := range w.runs {
			w.end(k, "lapsed")
		}
	})
}

func (w *worker) runStart(o order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := runKey{o.Task, o.Run}
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		return http.StatusBadRequest, ""
	}
	used := 0
	for _, r := range w.runs {
		used += r.cpu
	}
	switch {
	case o.Token < w.token:
		return http.StatusConflict, "fence"
	case w.runs[k] != nil:
		w.token = o.Token
		w.renew(o.Expires)
		return http.StatusOK, ""
	case o.Run <= w.highest[o.Task]:
		w.token = o.Token
		w.renew(o.Expires)
		return http.StatusConflict, "old"
	case o.Expires <= w.clock(time.Now()):
		return http.StatusConflict, "late"
	case used+s.CPU > w.cpu:
		w.token = o.Token
		w.renew(o.Expires)
		return http.StatusConflict, "room"
	}
	w.token = o.Token
	w.renew(o.Expires)
	length := time.Duration(s.MS) * time.Millisecond
	r := &activeRun{started: time.Now(), length: length, cpu: s.CPU, life: w.life}
	w.runs[k] = r
	fails := w.judge.started(w, k, o.Spec, o.Token) <= s.Fail
	r.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != r.life || w.runs[k] != r {
			return
		}
		if fails {
			w.end(k, "failed")
		} else {
			w.end(k, "done")
		}
	})
	return http.StatusOK, ""
}

// end ends a run; the caller holds the lock.
func (w *worker) end(k runKey, how string) {
	r := w.runs[k]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, k)
	w.highest[k.task] = max(w.highest[k.task], k.run)
	w.count++
	w.ends = append(w.ends, listedEnd{n: w.count, key: k, how: how})
	w.judge.ended(w, k, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) runStop(o order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.Token
	k := runKey{o.Task, o.Run}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[k]; r != nil {
		life := w.life
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == life {
				w.end(k, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// renewAndForget applies a hold and reports whether its token holds; the caller holds the
// lock.
func (w *worker) renewAndForget(o order) bool {
	if o.Token < w.token {
		return false
	}
	w.token, w.lastHold, w.heldAt = o.Token, o, time.Now()
	w.renew(o.Expires)
	w.ends = slices.DeleteFunc(w.ends, func(e listedEnd) bool {
		if e.n <= o.Observed {
			w.judge.observed(w, e.key, e.how)
			return true
		}
		return false
	})
	return true
}

// hold answers a hold, after a wait for an end.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order, life int) {
	until := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	w.mu.Lock()
	if w.heldFrom = r.RemoteAddr; !w.renewAndForget(o) {
		now := w.clock(time.Now())
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": now, "reason": "fence"})
		return
	}
	for waiting := o.Wait > 0; waiting && len(w.ends) == 0 && w.up && w.life == life; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-until:
			waiting = false
		case <-changed:
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	if !w.up || w.life != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for k, a := range w.runs {
		running = append(running, []any{k.task, k.run, "", min(100, int(100*time.Since(a.started)/max(a.length, 1))), a.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		ended = append(ended, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock(time.Now()), "born": w.born, "running": running, "ended": ended}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}
