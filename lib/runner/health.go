package runner

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/wire"
)

const (
	// slownessWeight is the least weight of one run in the mean slowness.
	slownessWeight = 0.1
	// minSlowness and maxSlowness bound the slowness measured on one run.
	minSlowness = 0.1
	maxSlowness = 8.0
	// failuresToEject is the number of consecutive failed runs, of at least two
	// jobs, after which an upstream is ejected: it gets no new runs for a while.
	failuresToEject = 3
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// stallFactor is the multiple of its expected run time after which the progress
	// of a run is checked.
	stallFactor = 2.5
	// minStallTime is the shortest run time at which progress is checked.
	minStallTime = 200 * time.Millisecond
	// stalledPercent is the progress below which an overdue run counts as stalled.
	stalledPercent = 1
)

// health is an upstream's speed and reliability as its owner measures them.
type health struct {
	// slowness is the mean of run time over expected run time.
	slowness float64
	// samples is the number of runs in that mean.
	samples int
	// failures is the number of consecutive failed runs.
	failures int
	// lastFailedJob is the job of the last failed run.
	lastFailedJob string
	// severalJobsFailed is true when runs of at least two jobs failed in a row.
	severalJobsFailed bool
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// unansweredSince is the time of the first unanswered order or poll after
	// answeredAt.
	unansweredSince time.Time
	// ejectedUntil is the end of the current or last ejection.
	ejectedUntil time.Time
	// nextEjection is the duration of the next ejection.
	nextEjection time.Duration
	// probing is true from an ejection until a run succeeds.
	probing bool
	// log has the upstream's name as a field.
	log zerolog.Logger
}

func newHealth(log zerolog.Logger) health {
	return health{slowness: 1, nextEjection: minEjection, log: log}
}

// admits reports whether a new run may start beside others. After an ejection a single
// run at a time probes the upstream; runs from before, which may go on for long, do not count.
func (h *health) admits(now time.Time, runs map[key]*run) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	if !h.probing {
		return true
	}
	for _, r := range runs {
		if !r.startedAt.Before(h.ejectedUntil) {
			return false
		}
	}
	return true
}

// recordAnswer records that the upstream answered now, which ends a silence.
func (h *health) recordAnswer() { h.answeredAt = time.Now() }

// recordNoAnswer records an order or poll without an answer, and ejects the
// upstream after silenceLimit.
func (h *health) recordNoAnswer(now time.Time) {
	if !h.isSilent() {
		h.unansweredSince = now
		return
	}
	if h.unresponsive(now) {
		h.eject(now, "silent")
	}
}

// unresponsive reports whether orders and polls have been unanswered for at least
// silenceLimit.
func (h *health) unresponsive(now time.Time) bool {
	return h.silence(now) >= silenceLimit
}

// recordRefusal records a refusal, and ejects an unhealthy upstream.
func (h *health) recordRefusal(why Reason, now time.Time) {
	h.answeredAt = now
	if why == Unhealthy {
		h.eject(now, "refuses orders")
	}
}

// eject prevents new runs for a time that doubles with each ejection until a run
// succeeds.
func (h *health) eject(now time.Time, why string) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.log.Info().Str("reason", why).Int("failures", h.failures).Int64("silent_ms", h.silence(now).Milliseconds()).
		Float64("slowness", h.slowness).Int64("for_ms", h.nextEjection.Milliseconds()).Msg("upstream_ejected")
	h.ejectedUntil = now.Add(h.nextEjection)
	h.nextEjection = min(2*h.nextEjection, maxEjection)
	h.probing = true
}

// isSilent reports whether an order or poll is unanswered.
func (h *health) isSilent() bool { return h.unansweredSince.After(h.answeredAt) }

// silence returns the time since the first unanswered order or poll, 0 if the
// last one was answered.
func (h *health) silence(now time.Time) time.Duration {
	if !h.isSilent() {
		return 0
	}
	return now.Sub(h.unansweredSince)
}

// recordEnd updates the upstream's health with the end of a run. Its run time counts with
// the given share; the rest is due to the runs beside it.
func (h *health) recordEnd(r *run, cause wire.RunEnd_Cause, now time.Time, share float64) {
	switch cause {
	case wire.RunEnd_done:
		if h.probing {
			h.log.Info().Int64("in_ms", max(h.ejectedUntil.Sub(now), 0).Milliseconds()).Msg("upstream_admitted")
		}
		h.failures, h.severalJobsFailed, h.probing, h.nextEjection = 0, false, false, minEjection
		if ms := r.request.GetExpectedMs(); ms > 0 {
			ratio := share * float64(now.Sub(r.startedAt).Microseconds()) / 1000 / ms
			ratio = min(max(ratio, minSlowness), maxSlowness)
			h.updateSlowness(ratio)
		}
	case wire.RunEnd_failed:
		job := jobOf(r.request.GetTask())
		h.severalJobsFailed = h.severalJobsFailed || (h.failures > 0 && h.lastFailedJob != job)
		h.lastFailedJob = job
		h.failures++
		if (h.failures >= failuresToEject && h.severalJobsFailed) || h.probing {
			h.eject(now, "runs fail")
		}
	}
}

// updateSlowness adds one ratio of run time to expected run time to the mean
// slowness. The mean is geometric, as declared run times may be several times
// too long or too short.
func (h *health) updateSlowness(ratio float64) {
	h.samples++
	w := max(slownessWeight, 1/(1+float64(h.samples)))
	h.slowness = math.Exp((1-w)*math.Log(h.slowness) + w*math.Log(ratio))
}

// currentSlowness returns the mean slowness, or more while runs are overdue.
func (h *health) currentSlowness(now time.Time, runs map[key]*run) float64 {
	s := h.slowness
	for _, r := range runs {
		if ms := r.request.GetExpectedMs(); ms > 0 {
			ratio := float64(now.Sub(r.startedAt).Microseconds()) / 1000 / ms
			if ratio > stallFactor*h.slowness {
				s = max(s, min(ratio, maxSlowness))
			}
		}
	}
	return s
}

// ejectIfStalled reports whether an overdue run makes no progress, and ejects the
// upstream if so.
func (h *health) ejectIfStalled(r *run, percent float64, now time.Time) bool {
	ms := r.request.GetExpectedMs()
	if ms <= 0 {
		return false
	}
	took := now.Sub(r.startedAt)
	expected := time.Duration(ms * h.slowness * float64(time.Millisecond))
	if took < max(time.Duration(stallFactor*float64(expected)), minStallTime) {
		return false
	}
	// A long run time alone proves nothing: the declared one may be several times
	// too short.
	if percent >= stalledPercent {
		return false
	}
	h.eject(now, "run stalled")
	return true
}
