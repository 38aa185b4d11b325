package coordinator

import (
	"slices"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// peerStop is the time that a peer that noticed the silence takes to stop runs.
const peerStop = 150 * time.Millisecond

// lostAfter is the time after which every run at a silent peer is over: the
// peer notices the silence and stops the runs, or their leases run out.
func (c *Coordinator) lostAfter() time.Duration { return c.PeerSilence + runner.LeaseTTL + peerStop }

// unlistedMemory is how long claims on upstreams that are not listed are kept;
// several times what entries differ by in reading the list.
const unlistedMemory = 10 * time.Second

// keptRecheck is the time between two looks whether the upstream of a kept run
// at a silent peer is gone.
const keptRecheck = 500 * time.Millisecond

// site is an upstream as this entry sees it.
type site struct {
	runner.Upstream
	// unlisted is the time since which the list lacks it; zero while it is there.
	unlisted time.Time
	// owner is the entry that claimed the upstream with the highest token.
	owner string
	token int64
	// known is true while the owner's state is known.
	known    bool
	free     packer.Amount
	slowness float64
	usable   bool
	// heard is the time of the owner's last news.
	heard time.Time
	// sent is the sum of the requests that the owner has not taken yet.
	sent packer.Amount
}

// room is what new requests may take.
func (s *site) room() packer.Amount { return s.free.Minus(s.sent) }

// request is a request that a peer has not taken yet.
type request struct {
	number uint64
	site   *site
	amount packer.Amount
}

// link is the connection to one peer.
type link struct {
	up bool
	// lost is the time at which every run at a silent peer is certainly over.
	lost    time.Time
	session uint64
	number  uint64
	open    []request
}

// taken drops the requests up to the given number.
func (l *link) taken(number uint64) {
	n := 0
	for n < len(l.open) && l.open[n].number <= number {
		l.open[n].site.sent = l.open[n].site.sent.Minus(l.open[n].amount)
		n++
	}
	l.open = l.open[n:]
}

// candidates lists where up to n tasks of a job's step may start now so that the
// job ends within the given time.
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
		if st.MostTogether > 0 {
			most = min(n, st.MostTogether-j.together(step, s.Name))
		}
		if s.room().Copies(st.Need, most) <= 0 {
			continue
		}
		a := packer.Candidate{Name: s.Name, Free: s.room(), Slowness: slowness, Near: s.Domain == c.Domain}
		if st.MostTogether > 0 {
			a.Most = most
		}
		list = append(list, a)
	}
	c.scratch = list
	return list
}

// usable reports whether new runs may be sent to a site.
func (c *Coordinator) usable(s *site) bool {
	if !s.known || !s.usable || s.Leaving || !s.unlisted.IsZero() {
		return false
	}
	return s.owner == c.Self || (c.links[s.owner] != nil && c.links[s.owner].up)
}

// reach counts the upstreams of a service that may get new runs, and the peers
// that can be reached.
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

// together counts the tasks of a step on an upstream.
func (j *job) together(step int, upstream string) int {
	n := 0
	for _, t := range j.tasks {
		if t.step == step && t.placed && t.upstream == upstream {
			n++
		}
	}
	return n
}

// possible reports whether there are upstreams that could hold the tasks of each
// step of the job.
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

// Upstreams replaces the list of upstreams. Their owners make themselves known
// through Update.
func (c *Coordinator) Upstreams(list []runner.Upstream) {
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

// Update takes the states of upstreams from the entry that owns them. Of two
// entries that claim an upstream the one with the higher token owns it, whatever
// this entry knows of the registrations; so an entry that cannot reach the store
// learns of new owners from them.
func (c *Coordinator) Update(owner string, whole bool, list []*wire.UpstreamState) {
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
			// The owner may have read of it in the store before this entry.
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
			// A new life of the owner, or one that was fenced off meanwhile.
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

// Taken notes how many requests a peer took.
func (c *Coordinator) Taken(peer string, session, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[peer]; l != nil && l.session == session {
		l.taken(number)
	}
}

// Up notes that a peer can be reached, and asks it for the runs that it owns.
func (c *Coordinator) Up(peer string, session uint64) {
	c.mu.Lock()
	c.links[peer] = &link{up: true, session: session}
	out := c.reattach(func(t *task) bool { return t.owner == peer })
	c.mu.Unlock()
	c.emit(out)
	c.Wake()
}

// Down notes that a peer cannot be reached.
func (c *Coordinator) Down(peer string) {
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

// lose ends the runs at peers that have been silent for that long; the caller
// holds the lock.
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
					// The peer may live and hold the end of the run. Whoever owns the
					// upstream next looks, or the peer tells when it is back.
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

// reattach asks the present owners for the runs that match; the caller holds
// the lock.
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
