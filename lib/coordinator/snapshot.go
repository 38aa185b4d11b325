package coordinator

import (
	"time"

	"radishweir.org/lib/packer"
)

// snapshot holds the state of a service's upstreams at the start of a pass. Thus a
// pass examines every upstream once, however many jobs wait.
type snapshot struct {
	// minNeed is the smallest need of the tasks that wait, for each resource by
	// itself; any is true if there are such tasks.
	minNeed packer.Amount
	any     bool
	// withCapacity are the usable upstreams with enough free capacity for minNeed.
	withCapacity []*upstreamState
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

// takeSnapshots takes the snapshots of all services and updates startRate; the
// caller holds the lock.
func (c *Coordinator) takeSnapshots(now time.Time) {
	cores, entries := 0.0, 1
	if c.snapshots == nil {
		c.snapshots = make(map[string]*snapshot)
	}
	for name := range c.services {
		v := c.snapshots[name]
		if v == nil {
			v = &snapshot{}
			c.snapshots[name] = v
		}
		v.withCapacity, v.any = v.withCapacity[:0], false
	}
	anyWaiting := false
	for _, j := range c.jobs {
		v := c.snapshots[j.Service]
		if v == nil || !j.hasWaitingTasks() {
			continue
		}
		anyWaiting = true
		for s := range j.Steps {
			if j.remaining[s] > 0 && j.ready(s) {
				v.addNeed(j.Steps[s].Need)
			}
		}
	}
	if !anyWaiting && now.Sub(c.snapshotsAt) < maxPassInterval {
		// No tasks wait, and the rate changes slowly.
		return
	}
	c.snapshotsAt = now
	for name, list := range c.services {
		v := c.snapshots[name]
		v.minSlowness = v.minSlowness[:0]
		for _, s := range list {
			if !c.usable(s) {
				continue
			}
			cores += float64(s.Capacity.CPU) / 1000
			v.addUpstream(s)
			if v.any && s.available().Holds(v.minNeed) {
				v.withCapacity = append(v.withCapacity, s)
			}
		}
	}
	for name := range c.snapshots {
		if c.services[name] == nil {
			delete(c.snapshots, name)
		}
	}
	for _, l := range c.peers {
		if l.up {
			entries++
		}
	}
	c.startRate = max(c.startedWork.rate(now), packingShare*cores/float64(entries), minStartRate)
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
