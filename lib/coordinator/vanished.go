package coordinator

import "time"

// endRunsAtVanished ends the runs on upstreams that are gone and that no entry owns
// any more, as nobody will report their ends; the caller holds the lock.
func (c *Coordinator) endRunsAtVanished(now time.Time) []message {
	var out []message
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if !t.placed || !c.hasVanished(t, now) {
				continue
			}
			out = append(out, c.endAsLost(t, vanishedUpstream)...)
		}
	}
	return out
}

// hasVanished reports whether the upstream of a placed task is certainly gone.
func (c *Coordinator) hasVanished(t *task, now time.Time) bool {
	s := c.upstreams[t.upstream]
	if s == nil {
		return true
	}
	if s.stateKnown || s.unlistedSince.IsZero() {
		return false
	}
	return s.isAbandoned(now) || c.isReplaced(s.Address, t.incarnation)
}
