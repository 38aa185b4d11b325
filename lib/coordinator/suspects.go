package coordinator

import (
	"slices"
	"time"

	"radishweir.org/lib/packer"
)

const (
	// maxCrashes is the number of upstreams that crash under a task, at least one of
	// them with nothing else on it, after which the job fails.
	maxCrashes = 2
	// maxLostUpstreams is the number of upstreams lost under a task after which it is
	// not started again, whether or not they are known to have crashed.
	maxLostUpstreams = 3
	// crashEvidenceWait is how long a task under which two upstreams were lost waits
	// to learn whether they crashed. A crashed upstream is usually back sooner.
	crashEvidenceWait = 10 * time.Second
	// answerDelay is the time from the loss of an upstream until a report of its
	// owner certainly includes that loss.
	answerDelay = 500 * time.Millisecond
	// isolationWait is how long a suspect waits for an idle upstream before it is
	// started beside other tasks.
	isolationWait = 2 * time.Second
)

// LostUpstream is an upstream that went down under a task: it stopped answering,
// or another incarnation of it answered, while a run of the task was on it.
type LostUpstream struct {
	Upstream string
	Address  string
	// Incarnation is the incarnation that ran the task; 0 if unknown.
	Incarnation int64
	// Isolated is true if nothing else ran on the upstream.
	Isolated bool
	At       time.Time
	// Crashed is true once it is certain that the upstream crashed. Until then it
	// may only be cut off.
	Crashed bool
}

// isSuspect reports whether an upstream went down under the task, and has not been
// found alive since.
func (t *task) isSuspect() bool { return len(t.lost) > 0 }

// crashes returns the number of upstreams that certainly crashed under the task, and
// whether the task was alone on one of them.
func (t *task) crashes() (n int, isolated bool) {
	for _, l := range t.lost {
		if l.Crashed {
			n++
			isolated = isolated || l.Isolated
		}
	}
	return n, isolated
}

// failsJob reports whether the upstreams lost under the task are enough to fail its
// job.
func (t *task) failsJob(now time.Time) bool {
	crashed, isolated := t.crashes()
	switch {
	case crashed >= maxLostUpstreams, crashed >= maxCrashes && isolated:
		return true
	}
	return len(t.lost) >= maxLostUpstreams && now.Sub(t.lost[len(t.lost)-1].At) >= crashEvidenceWait
}

// mustWait reports whether the task may not be started now: its last loss is not
// stored, or it is not known yet whether the upstreams lost under it crashed.
func (t *task) mustWait(now time.Time) bool {
	crashed, _ := t.crashes()
	switch n := len(t.lost); {
	case t.storingLoss || n >= maxLostUpstreams:
		return true
	case n >= maxCrashes:
		return crashed < n && now.Sub(t.lost[n-1].At) < crashEvidenceWait
	}
	return false
}

// recordLoss records that the upstream of a placed task went down. Before a task of a
// kept job is started again, the loss is stored; the caller holds the lock.
func (c *Coordinator) recordLoss(t *task, now time.Time) {
	s, j := c.upstreams[t.upstream], t.job
	if s == nil || s.Leaving {
		// What a leaving upstream runs ends with it.
		return
	}
	incarnation := t.incarnation
	if s.incarnation > incarnation && now.Sub(s.incarnationAt) >= answerDelay {
		// The run went on under an incarnation that was not known when it was requested.
		incarnation = s.incarnation
	}
	t.lost = append(t.lost, LostUpstream{
		Upstream: t.upstream, Address: s.Address, Incarnation: incarnation, Isolated: t.isolated, At: now,
	})
	t.onHold, j.hasSuspects = t.mustWait(now), true
	c.Log.Info().Str("task", t.name()).Uint64("run", t.run).Str("upstream", t.upstream).Bool("isolated", t.isolated).
		Int("lost", len(t.lost)).Msg("upstream_lost_under_task")
	if j.kept() && c.Keeper != nil {
		t.storingLoss, t.onHold = true, true
		c.Keeper.UpstreamLost(j.ID, uint32(t.number), slices.Clone(t.lost))
	}
}

// reviewSuspects finds out which of the lost upstreams have crashed and which are
// alive, and fails the jobs whose tasks crash their upstreams; the caller holds the
// lock.
func (c *Coordinator) reviewSuspects(now time.Time) []message {
	var out []message
	for _, j := range c.jobs {
		if !j.hasSuspects || c.suspended(j) {
			continue
		}
		for _, t := range j.tasks {
			if t.done || !(t.isSuspect() || t.onHold) {
				continue
			}
			c.reviewLosses(t, now)
			if !t.placed && t.failsJob(now) {
				out = append(out, c.endJob(j, Answer{State: Failed, Reason: "upstreams crash under a task"})...)
				break
			}
		}
	}
	return out
}

// reviewLosses forgets the lost upstreams of a task that are alive, marks those that have
// crashed, and finds out whether the task may be started; the caller holds the lock.
func (c *Coordinator) reviewLosses(t *task, now time.Time) {
	t.lost = slices.DeleteFunc(t.lost, func(l LostUpstream) bool {
		alive := c.isAlive(l, now)
		if alive {
			c.Log.Info().Str("task", t.name()).Str("upstream", l.Upstream).Msg("lost_upstream_alive")
		}
		return alive
	})
	if t.storingLoss && c.Keeper.LossStored(t.job.ID, uint32(t.number)) {
		t.storingLoss = false
		c.Log.Info().Str("task", t.name()).Bool("suspect", t.isSuspect()).Msg("upstream_loss_stored")
	}
	for i := range t.lost {
		if l := &t.lost[i]; !l.Crashed && c.hasCrashed(*l) {
			l.Crashed = true
			c.Log.Info().Str("task", t.name()).Str("upstream", l.Upstream).Bool("isolated", l.Isolated).Msg("upstream_crashed_under_task")
		}
	}
	t.onHold = t.mustWait(now)
}

// isAlive reports whether a lost upstream answers its owner under the incarnation
// that ran the task, so that it was only cut off.
func (c *Coordinator) isAlive(l LostUpstream, now time.Time) bool {
	s := c.upstreams[l.Upstream]
	return s != nil && s.stateKnown && s.answering && l.Incarnation != 0 && now.Sub(l.At) >= answerDelay &&
		s.incarnation == l.Incarnation && s.latestIncarnation() == l.Incarnation
}

// hasCrashed reports whether another incarnation has taken the place of a lost
// upstream.
func (c *Coordinator) hasCrashed(l LostUpstream) bool {
	if l.Incarnation == 0 {
		return false
	}
	if s := c.upstreams[l.Upstream]; s != nil && s.latestIncarnation() > l.Incarnation {
		return true
	}
	return c.isReplaced(l.Address, l.Incarnation)
}

// isReplaced reports whether a later incarnation is listed at an address.
func (c *Coordinator) isReplaced(address string, incarnation int64) bool {
	s := c.addresses[address]
	return address != "" && incarnation != 0 && s != nil && s.Incarnation > incarnation
}

// chooseForSuspect returns an upstream for a suspect that is idle and takes nothing else
// meanwhile. Thus no other task suffers if the upstream goes down, and none is
// suspected for it.
func (c *Coordinator) chooseForSuspect(t *task, remaining time.Duration, now time.Time) []string {
	if t.isolateUntil.IsZero() {
		t.isolateUntil = now.Add(isolationWait)
	}
	chosen := c.chooseIdle(t, remaining)
	t.isolated = len(chosen) > 0
	if len(chosen) == 0 && now.After(t.isolateUntil) {
		chosen = c.chooseFor(t.job, t.stepIndex, t.avoid, 1, remaining)
	}
	if len(chosen) > 0 {
		t.isolateUntil = time.Time{}
	}
	return chosen
}

// chooseIdle returns an upstream for a task on which nothing runs.
func (c *Coordinator) chooseIdle(t *task, remaining time.Duration) []string {
	v := c.snapshots[t.job.Service]
	if v == nil {
		return nil
	}
	st := t.step()
	for _, upstreams := range [...][]*upstreamState{v.near, c.reachableFar(v)} {
		idle := slices.DeleteFunc(slices.Clone(upstreams), func(s *upstreamState) bool {
			return !s.answering || !s.available().Holds(s.Capacity)
		})
		for _, avoid := range [...]map[string]bool{t.avoid, nil} {
			if chosen := packer.Pack(1, st.Need, c.candidates(nil, idle, t.job, t.stepIndex, avoid, 1, remaining)); len(chosen) > 0 {
				return chosen
			}
		}
	}
	return nil
}
