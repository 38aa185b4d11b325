package shedder

import (
	"math"
	"time"
)

const (
	// weightPerCore is the weight of one core, the same as that of entries without
	// overload control, so that both kinds may share a division while settings change.
	weightPerCore = 20
	// leastShare is the share of its cores that an entry is weighed with at least. The
	// sizes still count where the callers' work exceeds every entry of a failure domain.
	leastShare = 0.2
	// weightInterval is the least time between two changes of the weight. Each change
	// moves upstreams, which start nothing for some milliseconds and are polled anew.
	weightInterval = 5 * time.Second
	// maxSteps is the number of times that the weight is halved at most. After two steps
	// the entry keeps a quarter of the upstreams; a third would move an eighth.
	maxSteps = 2
	// raiseDelay is how long the entry must be well before its weight is doubled. Bursts
	// of demand last 9 to 15 s; upstreams should not move twice for each.
	raiseDelay = 30 * time.Second
	// maxFailedRaises limits how often raiseDelay is doubled for raises that had to be
	// taken back: at most 4 min, so that a repaired entry regains its share within 8 min.
	maxFailedRaises = 3
	// sizeChange is the relative change of the full weight that is worth moving
	// upstreams for. Measured work of callers varies by less without a cause.
	sizeChange = 0.25
)

// Weight returns the weight in the division of upstreams of an entry with the given
// cores, of which callerCores are needed for an equal share of the callers' work: that
// of all callers divided by the number of entries. Without callers' work it is the
// weight of entries without overload control. Entries of equal size get equal weights,
// and no weight is below 1, so that a failure domain with few entries can do without
// any of them.
func Weight(cores, callerCores float64) uint32 {
	left := max(cores-callerCores, cores*leastShare)
	return uint32(max(1, math.Round(left*weightPerCore)))
}

// ownership holds the weight in force.
type ownership struct {
	// full is the weight by size and weight the one in force; 0 before the first call.
	full, weight uint32
	// steps is the number of times that the weight is halved.
	steps int
	// changeAt is the earliest time of the next change.
	changeAt time.Time
	// raiseAt is the time at which the weight is doubled if the entry stays well.
	raiseAt time.Time
	// provenAt is the time after which the last raise counts as successful.
	provenAt     time.Time
	failedRaises int
}

// Weight returns the weight to register for an entry with the given weight by size.
// While more than two thirds of the known peers are overloaded it is not lowered, as
// upstreams would move to entries that are as short of CPU time. It is lowered if the
// states of peers are unknown, since every upstream has an owner under any weights.
func (m *Monitor) Weight(now time.Time, full uint32, overloadedPeers, peers int) uint32 {
	if !m.Enabled {
		return full
	}
	o := &m.ownership
	if o.weight == 0 {
		o.full, o.weight = full, full
		o.changeAt = now.Add(weightInterval)
	}
	allowed := min(int(m.State()), maxSteps)
	if allowed >= o.steps {
		o.raiseAt = now.Add(raiseDelay << o.failedRaises)
	}
	if now.Before(o.changeAt) {
		return o.weight
	}
	if math.Abs(float64(full)-float64(o.full)) > sizeChange*float64(o.full) {
		o.full = full
	}
	switch {
	case allowed > o.steps && 3*overloadedPeers <= 2*peers:
		o.lower(now)
	case allowed < o.steps && !now.Before(o.raiseAt):
		o.steps--
		o.raiseAt = now.Add(raiseDelay << o.failedRaises)
		o.provenAt = o.raiseAt
	}
	if w := max(1, o.full>>o.steps); w != o.weight {
		o.weight = w
		o.changeAt = now.Add(weightInterval)
	}
	return o.weight
}

// lower halves the weight.
func (o *ownership) lower(now time.Time) {
	if now.Before(o.provenAt) {
		o.failedRaises = min(o.failedRaises+1, maxFailedRaises)
	} else {
		o.failedRaises = 0
	}
	o.provenAt = time.Time{}
	o.steps++
}
