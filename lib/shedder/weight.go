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
	// steps is the number of steps of equal size from no weight to the full one. A raise
	// that fails moves a quarter of the upstreams in vain, not half.
	steps = 4
	// busySteps is what a busy entry keeps. Half instead of three quarters made peers
	// busy in turn that were well, so that jobs were late at these as well.
	busySteps = 3
	// overloadedSteps is what an overloaded entry keeps: the least that is not nothing,
	// as its backlog makes all jobs on its upstreams late until it is worked off.
	overloadedSteps = 1
	// raiseDelay is how long the entry must be well before its weight rises by one step.
	// A raise that fails makes jobs late for some seconds: in the load of TestSlowEntries,
	// 30 s gave 11% late jobs and a minute 7%.
	raiseDelay = time.Minute
	// maxFailedRaises limits how often raiseDelay is doubled for raises that had to be
	// taken back. An entry that is well again rises after at most 4 min.
	maxFailedRaises = 2
	// sizeChange is the relative change of the full weight that is worth moving
	// upstreams for. Smaller ones are within the scatter of the division by hash.
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
	// missing is the number of steps by which the weight is lowered.
	missing int
	// changeAt is the earliest time of the next change.
	changeAt time.Time
	// raiseAt is the time at which the weight rises if the entry stays well.
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
		o.full, o.weight = full, max(1, full)
		// Lag of the start itself should move nothing.
		o.changeAt = now.Add(weightInterval)
	}
	wanted := [...]int{Normal: 0, Busy: steps - busySteps, Overloaded: steps - overloadedSteps}[m.State()]
	if wanted >= o.missing {
		o.raiseAt = now.Add(raiseDelay << o.failedRaises)
	}
	if now.Before(o.changeAt) {
		return o.weight
	}
	if math.Abs(float64(full)-float64(o.full)) > sizeChange*float64(o.full) {
		o.full = full
	}
	switch {
	case wanted > o.missing && 3*overloadedPeers <= 2*peers:
		o.lower(now, wanted)
	case wanted < o.missing && !now.Before(o.raiseAt):
		o.missing--
		o.raiseAt = now.Add(raiseDelay << o.failedRaises)
		o.provenAt = o.raiseAt
	}
	if w := max(1, o.full*uint32(steps-o.missing)/steps); w != o.weight {
		o.weight = w
		o.changeAt = now.Add(weightInterval)
	}
	return o.weight
}

// lower lowers the weight by the given number of steps in all. If a raise had to be taken
// back, the next one waits longer.
func (o *ownership) lower(now time.Time, missing int) {
	if now.Before(o.provenAt) {
		o.failedRaises = min(o.failedRaises+1, maxFailedRaises)
	} else {
		o.failedRaises = 0
	}
	o.provenAt = time.Time{}
	o.missing = missing
}
