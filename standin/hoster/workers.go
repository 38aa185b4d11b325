package hoster

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
	"radishweir.org/platform/schema"
)

// answerLimit ends an order that gets no answer.
const answerLimit = 10 * time.Second

// words maps the ends of runs to the platform's words.
var words = map[wire.RunEnd_Cause]string{
	wire.RunEnd_done: "done", wire.RunEnd_failed: "failed", wire.RunEnd_stopped: "stopped", wire.RunEnd_lost: "lapsed",
}

// reasons maps refusals to the platform's words.
var reasons = map[runner.Reason]string{
	runner.Fenced: "fence", runner.Superseded: "old", runner.Expired: "late", runner.NoRoom: "room",
}

// workerHandler serves one worker.
func (h *Platform) workerHandler(name string) http.Handler {
	u := runner.Upstream{Name: name}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", func(w http.ResponseWriter, r *http.Request) {
		var q schema.RunStart
		if decode(w, r, &q) {
			rep, err := h.Fleet.Start(r.Context(), u, runner.Order{
				Task: q.Task, Run: uint64(q.Run), Spec: q.Spec, Token: int64(q.FencingToken), Expires: int64(q.ExpiresMs),
			})
			reply(w, rep, err)
		}
	})
	mux.HandleFunc("POST /api/run-stop", func(w http.ResponseWriter, r *http.Request) {
		var q schema.RunStop
		if decode(w, r, &q) {
			rep, err := h.Fleet.Stop(r.Context(), u, runner.Order{Task: q.Task, Run: uint64(q.Run), Token: int64(q.FencingToken)})
			reply(w, rep, err)
		}
	})
	mux.HandleFunc("POST /api/hold", func(w http.ResponseWriter, r *http.Request) {
		var q schema.Hold
		if !decode(w, r, &q) {
			return
		}
		l := runner.Poll{Token: int64(q.FencingToken), Acknowledged: uint64(q.Observed)}
		if q.ExpiresMs != nil {
			l.Expires = int64(*q.ExpiresMs)
		}
		if q.WaitMs != nil {
			l.Wait = time.Duration(*q.WaitMs) * time.Millisecond
		}
		rep, err := h.Fleet.Poll(r.Context(), u, l)
		reply(w, rep, err)
	})
	return http.TimeoutHandler(mux, answerLimit, "")
}

// decode reads a body; it answers a bad one.
func decode(w http.ResponseWriter, r *http.Request, q any) bool {
	if err := json.NewDecoder(r.Body).Decode(q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply writes a report or a refusal; an order without an answer is cut off.
func reply(w http.ResponseWriter, rep runner.Report, err error) {
	out := schema.WorkerReply{}
	status := http.StatusOK
	var no *runner.Refusal
	switch {
	case errors.As(err, &no):
		status = http.StatusConflict
		clock, reason := float64(no.Clock), reasons[no.Reason]
		out.ClockMs, out.Reason = &clock, &reason
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		clock, born := float64(rep.Clock), float64(rep.Incarnation)
		out.ClockMs, out.Born = &clock, &born
	}
	for _, r := range rep.Running {
		out.Running = append(out.Running, []any{r.Task, r.Run, "", r.Percent})
	}
	for _, e := range rep.Ended {
		out.Ended = append(out.Ended, []any{e.Number, e.Task, e.Run, words[e.Cause], ""})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The owner may have gone.
	_ = json.NewEncoder(w).Encode(out)
}
