// Package worker is a small stand-in for an upstream.
//
// It runs a task by waiting: the input's first number is the run time in
// microseconds at speed 1. The output is the task's identifier, a space and the
// input. Every start is recorded, so that a test can check what ran.
//
//	GET /admin/starts  the recorded starts, in JSON
//	PUT /admin/faults  sets the faults, body as in Faults
//
// # Usage
//
//	w := &worker.Worker{Name: "upstream-1", Slots: 8, Speed: 2}
//	http.ListenAndServe(addr, w.Handler())
package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"radishweir.org/lib/upstream"
)

const (
	// DefaultSlots is the number of tasks that run at once.
	DefaultSlots = 8
	// HeaderTimeout limits how long a client may take to send its headers.
	HeaderTimeout = 5 * time.Second
	// maxRemembered limits the number of tasks that a status call can find.
	maxRemembered = 100_000
)

// Faults are the faults that the upstream can show.
type Faults struct {
	// Fail answers every task with an error at once.
	Fail bool `json:"fail"`
	// Slowdown multiplies every run time; 0 and 1 change nothing.
	Slowdown float64 `json:"straggle"`
	// Silent runs tasks that arrive on a used connection but never answers them.
	Silent bool `json:"silent"`
	// Leaving adds a header to the answers to tasks saying that the upstream is
	// leaving; tasks are still accepted.
	Leaving bool `json:"leaving"`
	// Drop closes the connection after a task has run, without an answer.
	Drop bool `json:"drop"`
	// WrongTask answers with the identifier of another task.
	WrongTask bool `json:"cross"`
}

// Start is one recorded start of a task.
type Start struct {
	Task    string    `json:"task"`
	Attempt string    `json:"attempt"`
	Lease   string    `json:"lease"`
	At      time.Time `json:"at"`
}

// run is one task that is running or has run here.
type run struct {
	attempt string
	cancel  chan struct{}
	done    bool
	status  int
	output  []byte
}

// Worker is the stand-in. Exported fields are set before the first request.
type Worker struct {
	// Name is the name in the VM list.
	Name string
	// Slots is the number of tasks that run at once.
	Slots int
	// Speed divides the run time.
	Speed float64

	mu   sync.Mutex
	busy int
	runs map[string]*run
	// remembered lists the tasks in runs, oldest first.
	remembered []string
	starts     []Start
	faults     Faults
	// usedConnections holds the client addresses of connections that have carried
	// a request.
	usedConnections map[string]bool
}

// Handler returns the routes.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", w.start)
	mux.HandleFunc("GET /v1/tasks/{id}", w.status)
	mux.HandleFunc("DELETE /v1/tasks/{id}", w.cancel)
	mux.HandleFunc("GET /admin/starts", w.listStarts)
	mux.HandleFunc("PUT /admin/faults", w.putFaults)
	return mux
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Starts returns the recorded starts.
func (w *Worker) Starts() []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Start(nil), w.starts...)
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t, code := w.acquireSlot(id, r)
	if t == nil {
		w.refuse(rw, code)
		return
	}
	w.perform(t, id, input)
	if w.dropsAnswer(r) {
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	drop := w.faults.Drop
	w.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.answer(rw, id, t)
}

// acquireSlot acquires a slot and records the start. If the task cannot start,
// acquireSlot returns the status code of the refusal.
func (w *Worker) acquireSlot(id string, r *http.Request) (*run, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(upstream.HeaderDeadline))
	if err != nil || time.Now().After(deadline) {
		return nil, http.StatusGone
	}
	if w.busy >= w.Slots {
		return nil, http.StatusTooManyRequests
	}
	if w.runs == nil {
		w.runs = make(map[string]*run)
		w.usedConnections = make(map[string]bool)
	}
	w.busy++
	t := &run{attempt: r.Header.Get(upstream.HeaderAttempt), cancel: make(chan struct{})}
	w.runs[id] = t
	w.remembered = append(w.remembered, id)
	if len(w.remembered) > maxRemembered {
		delete(w.runs, w.remembered[0])
		w.remembered = w.remembered[1:]
	}
	w.starts = append(w.starts, Start{id, t.attempt, r.Header.Get(upstream.HeaderLease), time.Now()})
	return t, 0
}

// perform waits for the task's run time or its cancellation and stores the
// outcome. With Faults.Fail, the task fails without a wait.
func (w *Worker) perform(t *run, id string, input []byte) {
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	d := w.runTime(input, f)
	canceled := false
	if !f.Fail {
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-t.cancel:
			canceled = true
		}
		timer.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	t.done = true
	t.status = http.StatusOK
	if f.Fail || canceled {
		t.status = http.StatusInternalServerError
	}
	t.output = append([]byte(id+" "), input...)
}

// runTime returns the run time of a task on this upstream.
func (w *Worker) runTime(input []byte, f Faults) time.Duration {
	first, _, _ := strings.Cut(string(input), " ")
	us, _ := strconv.Atoi(first)
	d := float64(us) / w.Speed
	if f.Slowdown > 1 {
		d *= f.Slowdown
	}
	return time.Duration(d) * time.Microsecond
}

// dropsAnswer reports whether r must not be answered because of Faults.Silent, and
// marks the connection of r as used.
func (w *Worker) dropsAnswer(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Silent && w.usedConnections[r.RemoteAddr] {
		return true
	}
	w.usedConnections[r.RemoteAddr] = true
	return false
}

// refuse answers that a task did not run.
func (w *Worker) refuse(rw http.ResponseWriter, status int) {
	w.markLeaving(rw)
	rw.Header().Set(upstream.HeaderVerdict, "not_run")
	rw.WriteHeader(status)
}

// answer sends the outcome of a task.
func (w *Worker) answer(rw http.ResponseWriter, id string, t *run) {
	w.markLeaving(rw)
	w.mu.Lock()
	if w.faults.WrongTask {
		id += "-crossed"
	}
	status, output, attempt := t.status, t.output, t.attempt
	w.mu.Unlock()
	rw.Header().Set(upstream.HeaderTask, id)
	rw.Header().Set(upstream.HeaderAttempt, attempt)
	rw.WriteHeader(status)
	_, _ = rw.Write(output)
}

// markLeaving adds the header of an upstream that is leaving.
func (w *Worker) markLeaving(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Leaving {
		rw.Header().Set(upstream.HeaderLeaving, "true")
	}
}

func (w *Worker) status(rw http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.mu.Lock()
	t := w.runs[id]
	running := t != nil && !t.done
	w.mu.Unlock()
	switch {
	case t == nil:
		rw.WriteHeader(http.StatusNotFound)
	case running:
		rw.WriteHeader(http.StatusAccepted)
	default:
		w.answer(rw, id, t)
	}
}

func (w *Worker) cancel(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.runs[r.PathValue("id")]
	if t == nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if !t.done {
		select {
		case <-t.cancel:
		default:
			close(t.cancel)
		}
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) listStarts(rw http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(rw).Encode(w.Starts())
}

func (w *Worker) putFaults(rw http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.SetFaults(f)
}
