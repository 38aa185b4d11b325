package runner

import "time"

// maxDoublings is how often the time for the answer to a stop is doubled; more exceed
// callTimeout.
const maxDoublings = 4

// roundTrip estimates how long an answer may take, as TCP estimates its retransmission
// timeout (RFC 6298).
type roundTrip struct {
	// mean is the smoothed time to an answer; 0 before the first one.
	mean time.Duration
	// deviation is the smoothed distance of a time from the mean.
	deviation time.Duration
}

// observe adds the time to an answer.
func (t *roundTrip) observe(took time.Duration) {
	// This entry may have been paused before it read the answer.
	took = min(took, callTimeout)
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	t.deviation += ((took - t.mean).Abs() - t.deviation) / 4
	t.mean += (took - t.mean) / 8
}

// timeout returns the time after which a missing answer is not merely slow.
func (t *roundTrip) timeout() time.Duration {
	return min(max(t.mean+4*t.deviation, answerTimeout), callTimeout)
}

// startTimeout returns how long to wait for the answer to a start. The upstream may take
// longer for starts than for other requests. The caller holds the lock.
func (h *ownedUpstream) startTimeout() time.Duration {
	return max(h.starts.timeout(), h.requests.timeout())
}

// observeStart adds the time to the answer to a start. It also counts for other requests if these
// seem to take longer, as a busy upstream may get hardly any others. The caller holds the lock.
func (h *ownedUpstream) observeStart(took time.Duration) {
	h.starts.observe(took)
	if took < h.requests.mean {
		h.requests.observe(took)
	}
}
