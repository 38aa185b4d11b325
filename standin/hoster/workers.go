package hoster

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
	"radishweir.org/platform/schema"
)

// requestTimeout ends a request that the simulator does not answer.
const requestTimeout = 10 * time.Second

// endCauses maps the causes of a run's end to the platform's words.
var endCauses = map[wire.RunEnd_Cause]string{
	wire.RunEnd_done: "done", wire.RunEnd_failed: "failed", wire.RunEnd_stopped: "stopped", wire.RunEnd_lost: "lapsed",
}

// reasons maps the reasons of a refusal to the platform's words.
var reasons = map[runner.Reason]string{
	runner.Fenced: "fence", runner.Superseded: "old", runner.Expired: "late", runner.NoRoom: "room",
}

// workerHandler returns the routes of one worker.
func (p *Platform) workerHandler(name string) http.Handler {
	u := runner.Upstream{Name: name}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", func(w http.ResponseWriter, r *http.Request) {
		var q schema.RunStart
		if decode(w, r, &q) {
			ctx, cancel := p.orderContext(r)
			defer cancel()
			rep, err := p.Fleet.Start(ctx, u, runner.Order{
				Task: q.Task, Run: uint64(q.Run), Spec: q.Spec, Token: int64(q.FencingToken), Expires: int64(q.ExpiresMs),
			})
			reply(w, rep, err)
		}
	})
	mux.HandleFunc("POST /api/run-stop", func(w http.ResponseWriter, r *http.Request) {
		var q schema.RunStop
		if decode(w, r, &q) {
			ctx, cancel := p.orderContext(r)
			defer cancel()
			rep, err := p.Fleet.Stop(ctx, u, runner.Order{Task: q.Task, Run: uint64(q.Run), Token: int64(q.FencingToken)})
			reply(w, rep, err)
		}
	})
	mux.HandleFunc("POST /api/hold", func(w http.ResponseWriter, r *http.Request) {
		var q schema.Hold
		if !decode(w, r, &q) {
			return
		}
		poll := runner.Poll{Token: int64(q.FencingToken), Acknowledged: uint64(q.Observed)}
		if q.ExpiresMs != nil {
			poll.Expires = int64(*q.ExpiresMs)
		}
		if q.WaitMs != nil {
			poll.Wait = time.Duration(*q.WaitMs) * time.Millisecond
		}
		rep, err := p.Fleet.Poll(simulator.WithSender(r.Context(), p.sender(r)), u, poll)
		reply(w, rep, err)
	})
	return http.TimeoutHandler(mux, requestTimeout, "")
}

// sender returns the name of the entry that sent a request, empty if it is unknown.
func (p *Platform) sender(r *http.Request) string {
	if p.Sender == nil {
		return ""
	}
	return p.Sender(r.RemoteAddr)
}

// orderContext returns the context of a start or stop. A worker also executes an order
// whose sender has closed the connection.
func (p *Platform) orderContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := simulator.WithSender(context.WithoutCancel(r.Context()), p.sender(r))
	return context.WithTimeout(ctx, requestTimeout)
}

// decode decodes a body into q. If the body is not valid JSON, it sends an error
// response and returns false.
func decode(w http.ResponseWriter, r *http.Request, q any) bool {
	if err := json.NewDecoder(r.Body).Decode(q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply writes a report or a refusal. If the request got no answer, reply aborts
// the connection.
func reply(w http.ResponseWriter, rep runner.Report, err error) {
	out := schema.WorkerReply{}
	status := http.StatusOK
	var refusal *runner.Refusal
	switch {
	case errors.As(err, &refusal):
		status = http.StatusConflict
		clock, reason := float64(refusal.Clock), reasons[refusal.Reason]
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
		out.Ended = append(out.Ended, []any{e.Number, e.Task, e.Run, endCauses[e.Cause], ""})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the owner has disconnected.
	_ = json.NewEncoder(w).Encode(out)
}
