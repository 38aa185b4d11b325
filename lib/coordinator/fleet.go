package coordinator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// peerStop is the time that a peer takes to stop its runs after it noticed that
// the connection is silent; runs that it cannot stop then end with their lease.
const peerStop = 150*time.Millisecond + runner.StopTimeout

// lostAfter is the time after which every run at a silent peer is over: either the
// peer noticed the silence and stopped the runs, or their leases expired.
func (c *Coordinator) lostAfter() time.Duration {
	return c.PeerTimeout + peerStop + runner.LeaseTTL + runner.ClockMargin
}

// unlistedRetention is how long the claim on an upstream is kept while the list
// lacks the upstream; several times the difference between the times at which
// entries read the list.
const unlistedRetention = 10 * time.Second

// keptRecheckInterval is the interval at which the coordinator checks whether
// the upstream of a kept job's run at a silent peer still exists.
const keptRecheckInterval = 500 * time.Millisecond

const (
	// maxFarPeers is the maximum number of far peers whose upstreams this entry uses
	// at a time; it bounds the frames of one entry whatever the number of entries.
	maxFarPeers = 8
	// farPeerPeriod is how long a peer counts as used after a task was sent to it.
	farPeerPeriod = 2 * time.Second
)

// upstreamState is what this entry knows of an upstream.
type upstreamState struct {
	runner.Upstream
	// unlistedSince is the time at which the upstream vanished from the list;
	// zero while it is listed.
	unlistedSince time.Time
	// releasedAt is the time at which the owner gave the upstream up; zero while it
	// owns it.
	releasedAt time.Time
	// owner is the entry that claimed the upstream with the highest token.
	owner string
	token int64
	// stateKnown is true while the owner's last report (free, slowness and
	// usable) is valid.
	stateKnown bool
	// unknownSince is the time at which that report became invalid; zero if none has.
	unknownSince time.Time
	free         packer.Amount
	slowness     float64
	usable       bool
	// updatedAt is the time of the owner's last report.
	updatedAt time.Time
	// inFlight is the sum of the requests that the owner has not received yet.
	inFlight packer.Amount
	// order orders equal upstreams differently at each entry.
	order uint64
	// incarnation is that of the owner's last report, 0 if unknown, incarnationAt when
	// a report first named it, and answering is true if the upstream answered the owner's
	// last order or poll.
	incarnation   int64
	incarnationAt time.Time
	answering     bool
	// kinds holds the number of runs by kind, if that matters for placement.
	kinds map[string]uint32
	// reached is true once the upstream answered its owner, so that it refuses all
	// former ones.
	reached bool
}

// available is the free capacity that new requests may use.
func (s *upstreamState) available() packer.Amount { return s.free.Minus(s.inFlight) }

// latestIncarnation is the latest incarnation that the list or the owner told; 0 if
// unknown.
func (s *upstreamState) latestIncarnation() int64 { return max(s.Incarnation, s.incarnation) }

// sentRequest is a run request that a peer has not received yet.
type sentRequest struct {
	number   uint64
	upstream *upstreamState
	amount   packer.Amount
}

// peerState is the connection to one peer.
type peerState struct {
	up bool
	// runsLostAt is the time at which every run at a silent peer is certainly
	// over; zero if there is none to wait for.
	runsLostAt time.Time
	// session identifies the connection, lastNumber is the number of the last
	// request sent in it.
	session    uint64
	lastNumber uint64
	// inFlight are the requests that the peer has not received yet, by number.
	inFlight []sentRequest
	// usedUntil is the end of the time in which the peer counts as used by this
	// entry's tasks.
	usedUntil time.Time
}

// IsReached reports whether an upstream has answered an owner, as far as this entry knows.
func (c *Coordinator) IsReached(upstream, owner string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.upstreams[upstream]
	return s != nil && s.owner == owner && s.reached
}

// removeReceived removes the requests up to the given number, which the peer
// received.
func (l *peerState) removeReceived(number uint64) {
	n := 0
	for n < len(l.inFlight) && l.inFlight[n].number <= number {
		l.inFlight[n].upstream.inFlight = l.inFlight[n].upstream.inFlight.Minus(l.inFlight[n].amount)
		n++
	}
	l.inFlight = l.inFlight[n:]
}

// candidates appends to list those of the upstreams on which up to n tasks of a
// job's step may start now such that the whole job is expected to end within the
// given time.
func (c *Coordinator) candidates(list []packer.Candidate, upstreams []*upstreamState, j *job, step int, avoid map[string]bool, n int, remaining time.Duration) []packer.Candidate {
	st := &j.Steps[step]
	remaining -= j.timeToEnd[step] - st.expected()
	for _, s := range upstreams {
		if avoid[s.Name] {
			continue
		}
		slowness := s.slowness
		if st.Data != "" && !s.HasLabel(st.Data) {
			slowness *= max(c.FarFactor, 1)
		}
		if time.Duration(float64(st.expected())*slowness) > remaining || (st.Label != "" && !s.HasLabel(st.Label)) {
			continue
		}
		limit := n
		if st.MaxPerUpstream > 0 {
			limit = min(n, st.MaxPerUpstream-j.placedOn(step, s.Name))
		}
		if s.available().Copies(st.Need, limit) <= 0 {
			continue
		}
		if c.Interference != nil {
			// Only the order depends on it: a job is never refused for what runs beside it.
			slowness *= c.Interference(j.taskKind(step), s.kinds)
		}
		a := packer.Candidate{Name: s.Name, Free: s.available(), Slowness: slowness, Own: s.owner == c.Self, SameDomain: s.Domain == c.Domain, Rank: c.rank(s)}
		if c.TightPacking {
			a.Order = s.order
		}
		if st.MaxPerUpstream > 0 {
			a.MaxTasks = limit
		}
		list = append(list, a)
	}
	return list
}

// rank returns the rank of an upstream among candidates: near ones first, far ones
// last and in an order that differs between entries. What entries know of far upstreams is
// old, and they would all choose the same ones otherwise.
func (c *Coordinator) rank(s *upstreamState) uint64 {
	if c.isNear(s.owner) {
		return 0
	}
	return max(xxhash.Sum64String(c.Self+"/"+s.Name), 1)
}

// reachableFar returns the far upstreams that new tasks may use. Tasks in progress
// make two entries exchange frames often, so only maxFarPeers peers are used at a
// time.
func (c *Coordinator) reachableFar(v *snapshot) []*upstreamState {
	now, used := time.Now(), 0
	for name, l := range c.peers {
		if !c.near[name] && now.Before(l.usedUntil) {
			used++
		}
	}
	if used < maxFarPeers {
		return v.far
	}
	out := make([]*upstreamState, 0, len(v.far))
	for _, s := range v.far {
		if l := c.peers[s.owner]; l != nil && now.Before(l.usedUntil) {
			out = append(out, s)
		}
	}
	return out
}

// isNear reports whether changes of the upstreams of an entry are known at once:
// it is this entry or a near peer.
func (c *Coordinator) isNear(owner string) bool { return owner == c.Self || c.near[owner] }

// SetNear sets for each registered peer whether it is near.
func (c *Coordinator) SetNear(names map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.near = names
	c.fleetSeenAt = time.Time{}
}

// HasRunsAt reports whether a peer owns upstreams on which tasks of this entry's
// jobs are placed, or runs jobs that this entry delegated to it.
func (c *Coordinator) HasRunsAt(peer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger.Open(peer) > 0 {
		return true
	}
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if t.placed && t.owner == peer {
				return true
			}
		}
	}
	return false
}

// usable reports whether new runs may be sent to an upstream.
func (c *Coordinator) usable(s *upstreamState) bool {
	if !s.stateKnown || !s.usable || s.Leaving || !s.unlistedSince.IsZero() || c.isEvacuated(s) {
		return false
	}
	return s.owner == c.Self || (c.peers[s.owner] != nil && c.peers[s.owner].up)
}

// countReachable counts the usable upstreams of a service and the peers that are up.
func (c *Coordinator) countReachable(service string) (upstreams, peers int) {
	for _, s := range c.services[service] {
		if c.usable(s) {
			upstreams++
		}
	}
	for _, l := range c.peers {
		if l.up {
			peers++
		}
	}
	return upstreams, peers
}

// placedOn counts the placed tasks of a step on an upstream.
func (j *job) placedOn(step int, upstream string) int {
	n := 0
	for _, t := range j.tasks {
		if t.stepIndex == step && t.placed && t.upstream == upstream {
			n++
		}
	}
	return n
}

// updateFit determines for each step of the job whether there is an upstream that could
// run one of its tasks if it were idle; the caller holds the lock.
func (c *Coordinator) updateFit(j *job) {
	for i := range j.Steps {
		st := &j.Steps[i]
		j.fits[i] = slices.ContainsFunc(c.services[j.Service], func(s *upstreamState) bool {
			return s.Capacity.Holds(st.Need) && (st.Label == "" || s.HasLabel(st.Label)) && !c.isEvacuated(s)
		})
	}
}

// isEvacuated reports whether the operators want no new runs on an upstream's failure
// domain.
func (c *Coordinator) isEvacuated(s *upstreamState) bool {
	return c.Evacuated != nil && c.Evacuated(s.Domain)
}

// EvacuationChanged must be called after the result of Evacuated changed for any
// failure domain.
func (c *Coordinator) EvacuationChanged() {
	c.mu.Lock()
	for _, j := range c.jobs {
		c.updateFit(j)
	}
	c.fleetSeenAt = time.Time{}
	c.mu.Unlock()
	c.Wake()
}

// SetUpstreams replaces the list of upstreams. Their owners are learned through
// UpdateStates.
func (c *Coordinator) SetUpstreams(list []runner.Upstream) {
	c.mu.Lock()
	upstreams := make(map[string]*upstreamState, len(list))
	services := make(map[string][]*upstreamState)
	addresses := make(map[string]*upstreamState, len(list))
	for _, u := range list {
		s := c.upstreams[u.Name]
		if s == nil {
			s = &upstreamState{slowness: 1, order: xxhash.Sum64String(c.Self + "/" + u.Name)}
		}
		s.Upstream, s.unlistedSince = u, time.Time{}
		upstreams[u.Name] = s
		services[u.Service] = append(services[u.Service], s)
		if a := addresses[u.Address]; a == nil || u.Incarnation > a.Incarnation {
			addresses[u.Address] = s
		}
	}
	now := time.Now()
	c.hasUnlisted = false
	for name, s := range c.upstreams {
		if upstreams[name] != nil {
			continue
		}
		if s.unlistedSince.IsZero() {
			s.unlistedSince = now
		}
		if s.stateKnown || !s.isAbandoned(now) {
			upstreams[name] = s
			c.hasUnlisted = true
		}
	}
	c.upstreams, c.services, c.addresses = upstreams, services, addresses
	for _, j := range c.jobs {
		c.updateFit(j)
	}
	c.fleetSeenAt = time.Time{}
	c.mu.Unlock()
	c.Wake()
}

// UpdateStates applies the states of upstreams that their owner reports; whole
// is true if the list holds all upstreams of that owner. Of two entries that
// claim an upstream the one with the higher token owns it, whatever
// registrations this entry has read. Thus an entry that cannot reach the store
// learns of new owners from the owners themselves.
func (c *Coordinator) UpdateStates(owner string, whole bool, list []*wire.UpstreamState) {
	c.updateStates(owner, whole, func() []*wire.UpstreamState { return list })
}

// UpdateOwnStates is UpdateStates for the upstreams of this entry. It calls read with the lock
// held: the states of concurrent calls are applied in the order in which they were read. read
// must not call the coordinator.
func (c *Coordinator) UpdateOwnStates(whole bool, read func() []*wire.UpstreamState) {
	c.updateStates(c.Self, whole, read)
}

func (c *Coordinator) updateStates(owner string, whole bool, read func() []*wire.UpstreamState) {
	c.mu.Lock()
	list := read()
	if whole {
		c.releaseUnclaimed(owner, list)
	}
	newOwner := make(map[string]bool)
	for _, u := range list {
		s := c.upstreams[u.GetUpstream()]
		if s == nil {
			// The owner may have read the list from the store before this entry did.
			s = &upstreamState{Upstream: runner.Upstream{Name: u.GetUpstream()}, unlistedSince: time.Now()}
			c.upstreams[s.Name] = s
			c.hasUnlisted = true
		}
		if s.owner != owner {
			// A claim holds until a higher one comes or its owner gives it up: the former
			// owner may have served the upstream all the while.
			if u.GetToken() == 0 || (u.GetToken() <= s.token && s.releasedAt.IsZero()) {
				continue
			}
			s.owner, s.token, s.reached = owner, u.GetToken(), false
			newOwner[s.Name] = true
		}
		if s.token != 0 && u.GetToken() > s.token {
			// The owner restarted, or was fenced off and has claimed the
			// upstream again.
			newOwner[s.Name] = true
		}
		if u.GetToken() == 0 {
			s.release()
			continue
		}
		if !s.releasedAt.IsZero() {
			// The owner knows nothing of the runs from before it gave the upstream up.
			newOwner[s.Name] = true
			s.releasedAt = time.Time{}
		}
		s.stateKnown, s.usable = true, u.GetUsable()
		s.token = max(s.token, u.GetToken())
		s.free = runner.AmountFromWire(u.GetFree())
		s.slowness, s.updatedAt = u.GetSlowness(), time.Now()
		if u.GetIncarnation() != s.incarnation {
			s.incarnation, s.incarnationAt = u.GetIncarnation(), time.Now()
		}
		s.answering, s.kinds = u.GetAnswering(), u.GetKinds()
		s.reached = s.reached || s.answering
	}
	var out []message
	if len(newOwner) > 0 {
		c.fleetSeenAt = time.Time{}
		out = c.reattach(func(t *task) bool { return newOwner[t.upstream] })
	}
	waiting := len(c.waiting) > 0 || c.coresForStarted() > 0
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	if waiting {
		c.Wake()
	}
}

// releaseUnclaimed marks the upstreams of an owner that are not in the list of all its
// upstreams as given up; the caller holds the lock.
func (c *Coordinator) releaseUnclaimed(owner string, list []*wire.UpstreamState) {
	claimed := make(map[string]bool, len(list))
	for _, u := range list {
		claimed[u.GetUpstream()] = true
	}
	for _, s := range c.upstreams {
		if s.owner == owner && !claimed[s.Name] {
			s.release()
		}
	}
}

// release records that the owner has given the upstream up.
func (s *upstreamState) release() {
	s.forgetState()
	if s.releasedAt.IsZero() {
		s.releasedAt = time.Now()
	}
}

// forgetState records that the owner's last report is no longer valid.
func (s *upstreamState) forgetState() {
	if s.stateKnown {
		s.stateKnown, s.unknownSince = false, time.Now()
	}
}

// isAbandoned reports whether an upstream that is not listed and whose state is unknown has
// been so for unlistedRetention. Its owner may read the list later than this entry, and may
// only be disconnected for a moment.
func (s *upstreamState) isAbandoned(now time.Time) bool {
	return now.Sub(s.unlistedSince) >= unlistedRetention && now.Sub(s.unknownSince) >= unlistedRetention
}

// RequestsReceived records that a peer received the requests of a session up to
// a number.
func (c *Coordinator) RequestsReceived(peer string, session, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.peers[peer]; l != nil && l.session == session {
		l.removeReceived(number)
	}
}

// PeerUp records that a peer is connected, and asks it for the ends of the runs
// on its upstreams.
func (c *Coordinator) PeerUp(peer string, session uint64) {
	c.mu.Lock()
	c.peers[peer] = &peerState{up: true, session: session}
	c.fleetSeenAt = time.Time{}
	out := c.reattach(func(t *task) bool { return t.owner == peer })
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	c.Wake()
}

// PeerDown records that the connection to a peer was lost.
func (c *Coordinator) PeerDown(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueueMessages(c.endDelegationsTo(peer))
	if l := c.peers[peer]; l != nil {
		l.removeReceived(l.lastNumber)
		l.up = false
		l.runsLostAt = time.Now().Add(c.lostAfter())
	}
	for _, s := range c.upstreams {
		if s.owner == peer {
			s.forgetState()
		}
	}
}

// endLostRuns ends the runs at peers that have been down for lostAfter. A peer may
// claim a run while it counts as down, and was alive at that time. The caller holds the
// lock.
func (c *Coordinator) endLostRuns(now time.Time) []message {
	var out []message
	for name, l := range c.peers {
		if l.up || l.runsLostAt.IsZero() || now.Before(l.runsLostAt) {
			continue
		}
		l.runsLostAt = time.Time{}
		for _, j := range c.jobs {
			for _, t := range j.tasks {
				if !t.placed || t.owner != name {
					continue
				}
				at := t.ownedAt.Add(c.lostAfter())
				if j.kept() && c.upstreams[t.upstream] != nil {
					// The peer may still be alive and know the end of the run.
					// The next owner of the upstream asks the upstream for it,
					// or the peer reports it when it is connected again.
					at = now.Add(keptRecheckInterval)
				}
				if now.Before(at) {
					l.recheck(at)
					continue
				}
				if cancels := c.leaveFormerOwners(t); len(cancels) > 0 {
					out = append(out, cancels...)
					t.ownedAt = now
					l.recheck(now.Add(c.lostAfter()))
					continue
				}
				out = append(out, c.endAsLost(t, silentOwner)...)
			}
		}
	}
	return out
}

// leaveFormerOwners returns the cancellations of a placed task's run at former owners of an
// upstream that the current one has never reached. They may serve it, and go on renewing the
// lease for a requester that is alive, for lostAfter from now at most. The caller holds the
// lock.
func (c *Coordinator) leaveFormerOwners(t *task) []message {
	if s := c.upstreams[t.upstream]; t.job.kept() || (s != nil && s.reached) {
		return nil
	}
	out := t.cancelAtFormerOwners()
	t.formerOwners = nil
	return out
}

// endAsLost ends the run of a placed task whose end nobody will report; the caller holds
// the lock.
func (c *Coordinator) endAsLost(t *task, reason string) []message {
	c.logGivenUp(t, wire.RunEnd_lost, reason)
	return c.handleEnd(t, &wire.RunEnd{Task: t.name(), Run: t.run, Upstream: t.upstream, Cause: wire.RunEnd_lost})
}

// recheck moves runsLostAt to the given time unless it is earlier.
func (l *peerState) recheck(at time.Time) {
	if l.runsLostAt.IsZero() || at.Before(l.runsLostAt) {
		l.runsLostAt = at
	}
}

// endUnlistedRuns ends the runs on upstreams that are no longer listed and that their
// owners gave up so long ago that all leases there have expired. If the last owner never
// reached the upstream, a former one may still renew the leases of kept jobs' runs
// there. The caller holds the lock.
func (c *Coordinator) endUnlistedRuns(now time.Time) []message {
	if !c.hasUnlisted {
		return nil
	}
	over := make(map[string]bool)
	for name, s := range c.upstreams {
		if !s.unlistedSince.IsZero() && !s.releasedAt.IsZero() && now.Sub(s.releasedAt) >= c.lostAfter() {
			over[name] = true
		}
	}
	if len(over) == 0 {
		return nil
	}
	var out []message
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if !t.placed || !over[t.upstream] || (j.kept() && !c.upstreams[t.upstream].reached) {
				continue
			}
			if cancels := c.leaveFormerOwners(t); len(cancels) > 0 {
				out = append(out, cancels...)
				c.upstreams[t.upstream].releasedAt = now
				continue
			}
			out = append(out, c.endAsLost(t, unlistedUpstream)...)
		}
	}
	return out
}

// reattach asks the current owners for the ends of the runs of all matching tasks, as far as
// they can be reached; the caller holds the lock.
func (c *Coordinator) reattach(match func(*task) bool) []message {
	var out []message
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if !t.placed || !match(t) {
				continue
			}
			if s := c.upstreams[t.upstream]; s != nil {
				t.setOwner(s.owner, time.Now())
			}
			if m, ok := c.runRequest(t, true); ok {
				out = append(out, m)
			} else {
				c.awaitLoss(t)
			}
		}
	}
	return out
}

// awaitLoss makes endLostRuns consider the run of a placed task whose owner cannot be
// reached; the caller holds the lock.
func (c *Coordinator) awaitLoss(t *task) {
	l := c.peers[t.owner]
	if l == nil {
		l = &peerState{}
		c.peers[t.owner] = l
	}
	l.recheck(t.ownedAt.Add(c.lostAfter()))
}
