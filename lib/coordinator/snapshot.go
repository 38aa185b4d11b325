package coordinator

import (
	"time"

	"radishweir.org/lib/packer"
)

// fleetInterval is the time between two surveys of the whole fleet.
const fleetInterval = 100 * time.Millisecond

// snapshot holds the state of a service's upstreams at the start of a pass. Thus a
// pass examines every upstream once, however many jobs wait.
type snapshot struct {
	// minNeed is the smallest need of the tasks that wait, for each resource by
	// itself; any is true if there are such tasks.
	minNeed packer.Amount
	any     bool
	// near are the usable upstreams of this entry and its near peers with enough
	// free capacity for minNeed, far those of the other peers.
	near []*upstreamState
	far  []*upstreamState
	// nearUpstreams are all upstreams of this entry and its near peers, farUsable the
	// usable ones of the other peers, both as of fleetSeenAt and whatever their free
	// capacity.
	nearUpstreams []*upstreamState
	farUsable     []*upstreamState
	// places holds the places that the throttle counted in this pass, by class of need.
	places map[int64]placesCount
	// minSlowness holds the lowest slowness of the usable upstreams of each capacity.
	// It is a list, as there are few different capacities.
	minSlowness []capacitySlowness
}

// capacitySlowness is the lowest slowness of the upstreams of one capacity.
type capacitySlowness struct {
	capacity packer.Amount
	slowness float64
}

// addUpstream adds a usable upstream to minSlowness.
func (v *snapshot) addUpstream(s *upstreamState) {
	for i := range v.minSlowness {
		if f := &v.minSlowness[i]; f.capacity == s.Capacity {
			f.slowness = min(f.slowness, s.slowness)
			return
		}
	}
	v.minSlowness = append(v.minSlowness, capacitySlowness{s.Capacity, s.slowness})
}

// takeSnapshots takes the snapshots of all services; the caller holds the lock.
func (c *Coordinator) takeSnapshots(now time.Time) {
	if c.snapshots == nil {
		c.snapshots = make(map[string]*snapshot)
	}
	for name := range c.services {
		v := c.snapshots[name]
		if v == nil {
			v = &snapshot{}
			c.snapshots[name] = v
		}
		v.near, v.far, v.any = v.near[:0], v.far[:0], false
		clear(v.places)
	}
	for name := range c.snapshots {
		if c.services[name] == nil {
			delete(c.snapshots, name)
		}
	}
	for _, j := range c.jobs {
		v := c.snapshots[j.Service]
		if v == nil || !j.hasWaitingTasks() {
			continue
		}
		for s := range j.Steps {
			if j.remaining[s] > 0 && j.ready(s) {
				v.addNeed(j.Steps[s].Need)
			}
		}
	}
	if now.Sub(c.fleetSeenAt) >= fleetInterval {
		c.surveyFleet(now)
	}
	for _, v := range c.snapshots {
		if v.any {
			c.collectCapacity(v)
		}
	}
}

// surveyFleet updates what passes need to know of the whole fleet: startRate and
// the speeds and far upstreams of the snapshots. It changes slowly, and its cost
// grows with the fleet, so it isn't done in each pass; the caller holds the lock.
func (c *Coordinator) surveyFleet(now time.Time) {
	c.fleetSeenAt = now
	cores, entries := 0.0, 1
	for name, list := range c.services {
		v := c.snapshots[name]
		v.minSlowness, v.nearUpstreams, v.farUsable = v.minSlowness[:0], v.nearUpstreams[:0], v.farUsable[:0]
		for _, s := range list {
			near := c.isNear(s.owner)
			if near {
				v.nearUpstreams = append(v.nearUpstreams, s)
			}
			if !c.usable(s) {
				continue
			}
			cores += float64(s.Capacity.CPU) / 1000
			v.addUpstream(s)
			if !near {
				v.farUsable = append(v.farUsable, s)
			}
		}
	}
	for _, l := range c.peers {
		if l.up {
			entries++
		}
	}
	c.startRate = max(c.startedWork.rate(now), packingShare*cores/float64(entries), minStartRate)
}

// collectCapacity collects the usable upstreams with enough free capacity for the
// smallest task that waits; the caller holds the lock.
func (c *Coordinator) collectCapacity(v *snapshot) {
	for _, s := range v.nearUpstreams {
		if s.available().Holds(v.minNeed) && c.usable(s) {
			v.near = append(v.near, s)
		}
	}
	for _, s := range v.farUsable {
		if s.available().Holds(v.minNeed) && c.usable(s) {
			v.far = append(v.far, s)
		}
	}
}

// addNeed lowers minNeed to the need of a task that waits.
func (v *snapshot) addNeed(a packer.Amount) {
	if !v.any {
		v.any, v.minNeed = true, a
		return
	}
	v.minNeed = packer.Amount{CPU: min(v.minNeed.CPU, a.CPU), Memory: min(v.minNeed.Memory, a.Memory), GPU: min(v.minNeed.GPU, a.GPU)}
}

// shortestTimeToEnd returns the shortest expected time until the end of the job:
// that on the fastest upstream that is large enough for a task of its first step.
func (c *Coordinator) shortestTimeToEnd(j *job) time.Duration {
	best := 0.0
	if v := c.snapshots[j.Service]; v != nil {
		for _, f := range v.minSlowness {
			if f.capacity.Holds(j.Steps[0].Need) && (best == 0 || f.slowness < best) {
				best = f.slowness
			}
		}
	}
	if best == 0 {
		best = 1
	}
	return time.Duration(float64(j.expectedRemaining()) * best)
}

// placesStep is the width, in thousandths of a core, of the classes of needs for which
// places are counted once in a pass.
const placesStep = 1000

// placesCount is the number of tasks of one class that fit.
type placesCount struct{ free, total int }

// places returns how many tasks of the given need fit the free capacity of the usable near
// upstreams at the start of the pass, and how many fit their whole capacity. Needs are
// rounded up to placesStep, so that a pass counts once for many jobs.
func (c *Coordinator) places(v *snapshot, need packer.Amount) (free, total int) {
	class := (need.CPU + placesStep - 1) / placesStep
	if n, ok := v.places[class]; ok {
		return n.free, n.total
	}
	need.CPU = class * placesStep
	for _, s := range v.nearUpstreams {
		if !c.usable(s) {
			continue
		}
		free += s.available().Copies(need, maxCopies)
		total += s.Capacity.Copies(need, maxCopies)
	}
	if v.places == nil {
		v.places = make(map[int64]placesCount)
	}
	v.places[class] = placesCount{free, total}
	return free, total
}

// maxCopies bounds the tasks that are counted on one upstream.
const maxCopies = 1 << 10
