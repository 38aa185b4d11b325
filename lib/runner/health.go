package runner

import (
	"math"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/wire"
)

const (
	// slownessWeight is the least weight of one run in the learned slowness.
	slownessWeight = 0.1
	// slownessFloor and slownessCeiling bound one run's part in it.
	slownessFloor   = 0.1
	slownessCeiling = 8.0
	// failuresToEject is the number of failures in a row, of two jobs at least,
	// after which an upstream gets no new runs for a while.
	failuresToEject = 3
	// firstEjection and lastEjection bound the time without new runs.
	firstEjection = 500 * time.Millisecond
	lastEjection  = 8 * time.Second
	// stallFactor is how many times the expected run time a run may take before
	// its progress is checked.
	stallFactor = 2.5
	// stallFloor is the shortest time before that check.
	stallFloor = 200 * time.Millisecond
	// stalledPercent is the progress under which an overdue run stands still.
	stalledPercent = 1
)

// health is what the owner learned of an upstream.
type health struct {
	slowness float64
	// learned is the number of runs that slowness is learned from.
	learned  int
	failures int
	// failing is the job of the last failure, several whether others failed too.
	failing string
	several bool
	// heardAt is the time of the last answer, askedAt that of the first order
	// since.
	heardAt time.Time
	askedAt time.Time
	// ejected is the end of the time without new runs.
	ejected time.Time
	// ejection is the length of the next such time.
	ejection time.Duration
	// probing is true until a run succeeds after an ejection.
	probing bool
	// log names the upstream.
	log zerolog.Logger
}

func newHealth(log zerolog.Logger) health {
	return health{slowness: 1, ejection: firstEjection, log: log}
}

// admits reports whether new runs may be sent beside n others. After an
// ejection a single run probes the upstream.
func (h *health) admits(now time.Time, n int) bool {
	if now.Before(h.ejected) {
		return false
	}
	return !h.probing || n == 0
}

// answered takes any answer to an order.
func (h *health) answered() { h.heardAt = time.Now() }

// silent takes an order without an answer.
func (h *health) silent(now time.Time) {
	if !h.askedAt.After(h.heardAt) {
		h.askedAt = now
		return
	}
	if h.silentTooLong(now) {
		h.eject(now, "silent")
	}
}

// silentTooLong reports whether orders have long been without any answer.
func (h *health) silentTooLong(now time.Time) bool {
	return h.silence(now) >= silenceLimit
}

// refused takes a refusal.
func (h *health) refused(why Reason, now time.Time) {
	h.heardAt = now
	if why == Unhealthy {
		h.eject(now, "refuses orders")
	}
}

// eject keeps new runs away for a time that doubles until a run succeeds.
func (h *health) eject(now time.Time, why string) {
	if now.Before(h.ejected) {
		return
	}
	h.log.Info().Str("reason", why).Int("failures", h.failures).Int64("silent_ms", h.silence(now).Milliseconds()).
		Float64("slowness", h.slowness).Int64("for_ms", h.ejection.Milliseconds()).Msg("upstream_ejected")
	h.ejected = now.Add(h.ejection)
	h.ejection = min(2*h.ejection, lastEjection)
	h.probing = true
}

// silence is the time since the first order without any answer.
func (h *health) silence(now time.Time) time.Duration {
	if !h.askedAt.After(h.heardAt) {
		return 0
	}
	return now.Sub(h.askedAt)
}

// observe learns from the end of a run.
func (h *health) observe(r *run, cause wire.RunEnd_Cause, now time.Time) {
	switch cause {
	case wire.RunEnd_done:
		if h.probing {
			h.log.Info().Msg("upstream_admitted")
		}
		h.failures, h.several, h.probing, h.ejection = 0, false, false, firstEjection
		if ms := r.request.GetExpectedMs(); ms > 0 {
			ratio := float64(now.Sub(r.since).Microseconds()) / 1000 / ms
			ratio = min(max(ratio, slownessFloor), slownessCeiling)
			h.learn(ratio)
		}
	case wire.RunEnd_failed:
		job, _, _ := strings.Cut(r.request.GetTask(), ".")
		h.several = h.several || (h.failures > 0 && h.failing != job)
		h.failing = job
		h.failures++
		if (h.failures >= failuresToEject && h.several) || h.probing {
			h.eject(now, "runs fail")
		}
	}
}

// learn takes the run time of one run over what was expected. The mean is that
// of logarithms, as declared run times are off by factors either way.
func (h *health) learn(ratio float64) {
	h.learned++
	w := max(slownessWeight, 1/(1+float64(h.learned)))
	h.slowness = math.Exp((1-w)*math.Log(h.slowness) + w*math.Log(ratio))
}

// slownessNow is the learned slowness, or more while runs are overdue.
func (h *health) slownessNow(now time.Time, runs map[key]*run) float64 {
	s := h.slowness
	for _, r := range runs {
		if ms := r.request.GetExpectedMs(); ms > 0 {
			ratio := float64(now.Sub(r.since).Microseconds()) / 1000 / ms
			if ratio > stallFactor*h.slowness {
				s = max(s, min(ratio, slownessCeiling))
			}
		}
	}
	return s
}

// stalled reports whether an overdue run makes no progress.
func (h *health) stalled(r *run, percent float64, now time.Time) bool {
	ms := r.request.GetExpectedMs()
	if ms <= 0 {
		return false
	}
	took := now.Sub(r.since)
	expected := time.Duration(ms * h.slowness * float64(time.Millisecond))
	if took < max(time.Duration(stallFactor*float64(expected)), stallFloor) {
		return false
	}
	// A long run time alone says nothing: declared times are off by factors.
	if percent >= stalledPercent {
		return false
	}
	h.eject(now, "a run stands still")
	return true
}
