package coordinator

import (
	"slices"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// peerStop is the time that a peer takes to stop its runs after it noticed that
// the connection is silent.
const peerStop = 150 * time.Millisecond

// lostAfter is the time after which every run at a silent peer is over: either the
// peer noticed the silence and stopped the runs, or their leases expired.
func (c *Coordinator) lostAfter() time.Duration { return c.PeerTimeout + runner.LeaseTTL + peerStop }

// unlistedMemory is how long the claim on an upstream is kept while the list lacks
// the upstream; several times the difference between the times at which entries
// read the list.
const unlistedMemory = 10 * time.Second

// keptRecheck is the interval at which the coordinator checks whether the upstream
// of a kept job's run at a silent peer still exists.
const keptRecheck = 500 * time.Millisecond

// site is what this entry knows of an upstream.
type site struct {
	runner.Upstream
	// unlisted is the time at which the upstream vanished from the list; zero while
	// it is listed.
	unlisted time.Time
	// owner is the entry that claimed the upstream with the highest token.
	owner string
	token int64
	// known is true while the owner's last report (free, slowness and usable) is
	// valid.
	known    bool
	free     packer.Amount
	slowness float64
	usable   bool
	// heard is the time of the owner's last report.
	heard time.Time
	// sent is the sum of the requests that the owner has not received yet.
	sent packer.Amount
}

// room is the free capacity that new requests may use.
func (s *site) room() packer.Amount { return s.free.Minus(s.sent) }

// request is a run request that a peer has not received yet.
type request struct {
	number uint64
	site   *site
	amount packer.Amount
}

// link is the connection to one peer.
type link struct {
	up bool
	// lost is the time at which every run at a silent peer is certainly over; zero
	// if there is none to wait for.
	lost time.Time
	// session identifies the connection, number is that of the last request sent
	// in it.
	session uint64
	number  uint64
	// open are the requests that the peer has not received yet, by number.
	open []request
}

// taken removes the requests up to the given number, which the peer received.
func (l *link) taken(number uint64) {
	n := 0
	for n < len(l.open) && l.open[n].number <= number {
		l.open[n].site.sent = l.open[n].site.sent.Minus(l.open[n].amount)
		n++
	}
	l.open = l.open[n:]
}

// candidates lists the upstreams on which up to n tasks of a job's step may start
// now such that the whole job is expected to end within the given time. The result
// is valid until the next call.
func (c *Coordinator) candidates(j *job, step int, avoid map[string]bool, n int, left time.Duration) []packer.Candidate {
	st := &j.Steps[step]
	left -= j.rest[step] - st.expected()
	list := c.scratch[:0]
	v := c.surveys[j.Service]
	if v == nil {
		return nil
	}
	for _, s := range v.open {
		if avoid[s.Name] {
			continue
		}
		slowness := s.slowness
		if st.Data != "" && !s.HasLabel(st.Data) {
			slowness *= max(c.FarFactor, 1)
		}
		if time.Duration(float64(st.expected())*slowness) > left || (st.Label != "" && !s.HasLabel(st.Label)) {
			continue
		}
		most := n
		if st.MaxPerUpstream > 0 {
			most = min(n, st.MaxPerUpstream-j.together(step, s.Name))
		}
		if s.room().Copies(st.Need, most) <= 0 {
			continue
		}
		a := packer.Candidate{Name: s.Name, Free: s.room(), Slowness: slowness, SameDomain: s.Domain == c.Domain}
		if st.MaxPerUpstream > 0 {
			a.MaxTasks = most
		}
		list = append(list, a)
	}
	c.scratch = list
	return list
}

// usable reports whether new runs may be sent to an upstream.
func (c *Coordinator) usable(s *site) bool {
	if !s.known || !s.usable || s.Leaving || !s.unlisted.IsZero() {
		return false
	}
	return s.owner == c.Self || (c.links[s.owner] != nil && c.links[s.owner].up)
}

// reach counts the usable upstreams of a service and the peers that are up.
func (c *Coordinator) reach(service string) (upstreams, peers int) {
	for _, s := range c.services[service] {
		if c.usable(s) {
			upstreams++
		}
	}
	for _, l := range c.links {
		if l.up {
			peers++
		}
	}
	return upstreams, peers
}

// together counts the placed tasks of a step on an upstream.
func (j *job) together(step int, upstream string) int {
	n := 0
	for _, t := range j.tasks {
		if t.step == step && t.placed && t.upstream == upstream {
			n++
		}
	}
	return n
}

// possible reports whether for each step of the job there is an upstream that
// could run one of its tasks if it were idle.
func (c *Coordinator) possible(j *job) bool {
	for i := range j.Steps {
		st := &j.Steps[i]
		if !slices.ContainsFunc(c.services[j.Service], func(s *site) bool {
			return s.Capacity.Holds(st.Need) && (st.Label == "" || s.HasLabel(st.Label))
		}) {
			return false
		}
	}
	return true
}

// SetUpstreams replaces the list of upstreams. Their owners are learned through
// UpdateStates.
func (c *Coordinator) SetUpstreams(list []runner.Upstream) {
	c.mu.Lock()
	sites := make(map[string]*site, len(list))
	services := make(map[string][]*site)
	for _, u := range list {
		s := c.sites[u.Name]
		if s == nil {
			s = &site{slowness: 1}
		}
		s.Upstream, s.unlisted = u, time.Time{}
		sites[u.Name] = s
		services[u.Service] = append(services[u.Service], s)
	}
	now := time.Now()
	for name, s := range c.sites {
		if sites[name] != nil {
			continue
		}
		if s.unlisted.IsZero() {
			s.unlisted = now
		}
		if now.Sub(s.unlisted) < unlistedMemory {
			sites[name] = s
		}
	}
	c.sites, c.services = sites, services
	c.mu.Unlock()
	c.Wake()
}

// UpdateStates applies the states of upstreams that their owner reports; whole is true
// if the list holds all upstreams of that owner. Of two entries that claim an
// upstream the one with the higher token owns it, whatever registrations this
// entry has read. Thus an entry that cannot reach the store learns of new owners
// from the owners themselves.
func (c *Coordinator) UpdateStates(owner string, whole bool, list []*wire.UpstreamState) {
	c.mu.Lock()
	if whole {
		for _, s := range c.sites {
			if s.owner == owner {
				s.known = false
			}
		}
	}
	moved := make(map[string]bool)
	for _, u := range list {
		s := c.sites[u.GetUpstream()]
		if s == nil {
			// The owner may have read the list from the store before this entry did.
			s = &site{Upstream: runner.Upstream{Name: u.GetUpstream()}, unlisted: time.Now()}
			c.sites[s.Name] = s
		}
		if s.owner != owner {
			if u.GetToken() <= s.token {
				continue
			}
			s.owner = owner
			moved[s.Name] = true
		}
		if s.token != 0 && u.GetToken() > s.token {
			// The owner restarted, or was fenced off and has claimed the upstream again.
			moved[s.Name] = true
		}
		s.known, s.usable = u.GetToken() != 0, u.GetUsable()
		s.token = max(s.token, u.GetToken())
		s.free = runner.AmountFromWire(u.GetFree())
		s.slowness, s.heard = u.GetSlowness(), time.Now()
	}
	var out []message
	if len(moved) > 0 {
		out = c.reattach(func(t *task) bool { return moved[t.upstream] })
	}
	waiting := len(c.waiting) > 0 || c.begunCores() > 0
	c.mu.Unlock()
	c.emit(out)
	if waiting {
		c.Wake()
	}
}

// RequestsReceived records that a peer received the requests of a session up to a number.
func (c *Coordinator) RequestsReceived(peer string, session, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[peer]; l != nil && l.session == session {
		l.taken(number)
	}
}

// PeerUp records that a peer is connected, and asks it for the ends of the runs on its
// upstreams.
func (c *Coordinator) PeerUp(peer string, session uint64) {
	c.mu.Lock()
	c.links[peer] = &link{up: true, session: session}
	out := c.reattach(func(t *task) bool { return t.owner == peer })
	c.mu.Unlock()
	c.emit(out)
	c.Wake()
}

// PeerDown records that the connection to a peer was lost.
func (c *Coordinator) PeerDown(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[peer]; l != nil {
		l.taken(l.number)
		l.up = false
		l.lost = time.Now().Add(c.lostAfter())
	}
	for _, s := range c.sites {
		if s.owner == peer {
			s.known = false
		}
	}
}

// lose ends the runs at peers that have been down for lostAfter; the caller holds
// the lock.
func (c *Coordinator) lose(now time.Time) []message {
	var out []message
	for name, l := range c.links {
		if l.up || l.lost.IsZero() || now.Before(l.lost) {
			continue
		}
		l.lost = time.Time{}
		for _, j := range c.jobs {
			for _, t := range j.tasks {
				if t.placed && t.owner == name && j.kept() && c.sites[t.upstream] != nil {
					// The peer may still be alive and know the end of the run. The next
					// owner of the upstream asks the upstream for it, or the peer reports it
					// when it is connected again.
					l.lost = now.Add(keptRecheck)
					continue
				}
				if t.placed && t.owner == name {
					out = append(out, c.ended(t, &wire.RunEnd{
						Task: t.name(), Run: t.run, Upstream: t.upstream, Cause: wire.RunEnd_lost,
					})...)
				}
			}
		}
	}
	return out
}

// reattach asks the current owners for the ends of the runs of all matching tasks;
// the caller holds the lock.
func (c *Coordinator) reattach(match func(*task) bool) []message {
	var out []message
	for _, j := range c.jobs {
		for _, t := range j.tasks {
			if !t.placed || !match(t) {
				continue
			}
			if s := c.sites[t.upstream]; s != nil {
				t.owner = s.owner
			}
			if m, ok := c.message(t, true); ok {
				out = append(out, m)
			}
		}
	}
	return out
}
