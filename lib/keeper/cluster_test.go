package keeper_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/committer"
	"radishweir.org/lib/confirmer"
	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/divider"
	"radishweir.org/lib/keeper"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/relinquisher"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

const (
	// messageDelay is the delay of a message between entries.
	messageDelay = time.Millisecond
	// peerTimeout is the time after which entries notice that another one is gone.
	peerTimeout = 350 * time.Millisecond
	// registrationTTL is the time after which the registration of a killed entry
	// expires.
	registrationTTL = 2 * time.Second
	// holderTTL is the time after which the lease of a killed entry's holder expires.
	holderTTL = 8 * time.Second
)

// need is the capacity that a task needs; two tasks fit on an upstream.
var need = packer.Amount{CPU: 6800, Memory: 64}

// cluster is a set of entries that share a store and a fleet, all in memory.
type cluster struct {
	t     *testing.T
	rng   *rand.Rand
	fleet *simulator.Fleet
	store *store

	// assignMu serializes assignUpstreams.
	assignMu sync.Mutex
	mu       sync.Mutex
	// nodes holds the running entries by name, isolated those that are cut off from the
	// others and from the store.
	nodes    map[string]*node
	isolated map[string]bool
	// cut holds the pairs of entries, in order of their names, that cannot reach each other.
	cut map[[2]string]bool
	// domains holds the failure domains of entries by name, and cutOff the one that is cut off
	// from the others and from the store; "" stands for none.
	domains map[string]string
	cutOff  string
	// cutAt is when cutOff was cut off.
	cutAt time.Time
	// listed are the upstreams that the store lists; nil means all.
	listed []runner.Upstream
	// registered holds the incarnations of the registered entries, which own the
	// upstreams, by name.
	registered map[string]string
	// interval is the shortest time between two transactions of one entry.
	interval time.Duration
	// holders are the holders in the store, and leases the number of those taken so far.
	holders map[string]bool
	leases  int
	token   int64
	starts  int
}

// node is one incarnation of an entry.
type node struct {
	cluster     *cluster
	name        string
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	holder      string
	// view is the one from which the upstreams of the entry were computed.
	view       divider.View
	departures relinquisher.Ledger
	vanished   relinquisher.Vanished
	confirmer  *confirmer.Confirmer
	members    atomic.Pointer[divider.Members]
	// cutAt is when the entry was cut off from the store for the last time.
	cutAt time.Time
	// losesReleases makes the releases of stored ends get lost, losesNotices the notices of
	// changed records.
	losesReleases, losesNotices atomic.Bool
	// parted is true while the entry is cut off from the store.
	parted atomic.Bool

	*coordinator.Coordinator
	runner *runner.Runner
	keeper *keeper.Keeper
}

// newCluster starts a cluster with the given numbers of entries and upstreams.
func newCluster(t *testing.T, seed uint64, entries, upstreams int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), fleet: simulator.New(), store: newStore(seed),
		interval: 20 * time.Millisecond,
		nodes:    make(map[string]*node), isolated: make(map[string]bool), cut: make(map[[2]string]bool), registered: make(map[string]string), holders: make(map[string]bool),
	}
	c.fleet.Amount = need
	c.fleet.Kept = func(string) bool { return true }
	for i := range upstreams {
		c.fleet.Add(runner.Upstream{
			Name: fmt.Sprintf("u%02d", i), Service: "claims", Address: fmt.Sprintf("10.0.0.%d:8140", i+1), Incarnation: 1, Capacity: packer.Amount{CPU: 16000, Memory: 65536},
		}, 1)
	}
	for i := range entries {
		c.start(fmt.Sprintf("entry-%d", i+1))
	}
	time.Sleep(time.Second)
	return c
}

// start starts a new incarnation of an entry.
func (c *cluster) start(name string) {
	c.mu.Lock()
	c.starts++
	n := &node{cluster: c, name: name, incarnation: fmt.Sprintf("life-%d", c.starts)}
	n.ctx, n.cancel = context.WithCancel(simulator.WithSender(c.t.Context(), name))
	old := c.nodes[name]
	c.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	n.Coordinator = &coordinator.Coordinator{Self: name, Domain: c.domains[name], PeerTimeout: peerTimeout, Remote: n, Log: nopLog}
	n.runner = &runner.Runner{Client: upstreamLink{c.fleet, n}, Ended: n.sendEnd, Changed: n.publishState, Registered: n.isRegistered, RenewableUntil: n.renewableUntil, SettledAt: n.departures.SettledAt, UnseenUntil: n.departures.UnseenUntil, HasAnswered: n.hasAnswered, MembersConfirmedSince: func(at time.Time) bool { return n.confirmer.ConfirmedSince(n.ctx, at) }, Log: nopLog}
	for _, domain := range c.domains {
		n.departures.Domains = append(n.departures.Domains, domain)
	}
	n.confirmer = &confirmer.Confirmer{Read: n.readView, Known: n.knownView, Confirmed: n.runner.ReviewExpired, Log: nopLog}
	n.Local = localRunner{n.runner, n}
	link := &storeLink{c.store, n}
	commits := &committer.Committer{Store: link, Interval: func() time.Duration { return c.interval }, Log: nopLog}
	n.keeper = &keeper.Keeper{Self: name, Store: link, Committer: commits, Jobs: n.Coordinator, Runs: n.runner, Identity: n, Peers: n, Log: nopLog}
	n.keeper.Init()
	n.Keeper = n.keeper
	n.Init(n.ctx)
	n.SetUpstreams(c.fleet.List())
	go n.Run(n.ctx)
	go commits.Run(n.ctx)
	go n.keeper.Run(n.ctx)
	c.mu.Lock()
	c.nodes[name] = n
	c.registered[name] = n.incarnation
	// The former incarnation has certainly ended.
	for h := range c.holders {
		if strings.HasPrefix(h, name+"@") {
			delete(c.holders, h)
		}
	}
	c.mu.Unlock()
	for _, other := range c.alive() {
		if other != n && !c.isCut(name, other.name) {
			n.PeerUp(other.name, 1)
			other.PeerUp(name, 1)
			other.runner.ResendEnds(name)
		}
	}
	c.assignUpstreams()
	c.triggerReviews()
}

// kill stops an entry. Its peers notice the silence after peerTimeout, its
// registration expires after registrationTTL, and its holder after holderTTL.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	incarnation, holder := n.incarnation, n.holder
	delete(c.nodes, name)
	c.mu.Unlock()
	n.cancel()
	time.AfterFunc(peerTimeout, func() {
		if c.incarnationOf(name) != "" {
			return
		}
		for _, other := range c.alive() {
			other.PeerDown(name)
			other.keeper.ResendTo(name)
			other.runner.Detach(name)
			other.runner.CancelDetached(other.ctx, name, time.Now(), false)
		}
	})
	time.AfterFunc(registrationTTL, func() {
		c.mu.Lock()
		gone := c.registered[name] == incarnation
		if gone {
			delete(c.registered, name)
		}
		c.mu.Unlock()
		if gone {
			c.assignUpstreams()
		}
	})
	time.AfterFunc(holderTTL, func() {
		c.mu.Lock()
		expired := c.holders[holder]
		delete(c.holders, holder)
		c.mu.Unlock()
		if expired {
			c.triggerReviews()
		}
	})
}

// pairOf returns the key of a pair of entries in cut.
func pairOf(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// isCut reports whether two entries cannot reach each other.
func (c *cluster) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[pairOf(a, b)]
}

// cutPair cuts the connection between two entries, which notice that after peerTimeout, or heals
// the cut.
func (c *cluster) cutPair(a, b string, cut bool) {
	c.mu.Lock()
	c.cut[pairOf(a, b)] = cut
	na, nb := c.nodes[a], c.nodes[b]
	c.mu.Unlock()
	change := func(n, peer *node) {
		if !cut {
			n.runner.Detach(peer.name)
			n.PeerUp(peer.name, 2)
			n.runner.ResendEnds(peer.name)
			return
		}
		time.AfterFunc(peerTimeout, func() {
			n.PeerDown(peer.name)
			n.keeper.ResendTo(peer.name)
			n.runner.Detach(peer.name)
		})
	}
	if na != nil && nb != nil {
		change(na, nb)
		change(nb, na)
	}
}

// isolate cuts an entry off from the others and from the store, but not from the upstreams.
// Its registration expires after registrationTTL.
func (c *cluster) isolate(name string) {
	c.mu.Lock()
	c.isolated[name] = true
	c.mu.Unlock()
	time.AfterFunc(peerTimeout, func() {
		for _, other := range c.alive() {
			if other.name != name {
				other.PeerDown(name)
				other.keeper.ResendTo(name)
			}
		}
	})
	time.AfterFunc(registrationTTL, func() {
		c.mu.Lock()
		delete(c.registered, name)
		c.mu.Unlock()
		c.assignUpstreams()
	})
}

func (c *cluster) isIsolated(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[name] || c.isCutOff(c.domains[name])
}

// incarnationOf returns the incarnation of a running entry, or "" if it is not
// running.
func (c *cluster) incarnationOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[name]; n != nil {
		return n.incarnation
	}
	return ""
}

// alive returns the running entries in order of their names.
func (c *cluster) alive() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*node
	for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
		out = append(out, c.nodes[name])
	}
	return out
}

// assignUpstreams assigns each upstream to one registered entry.
func (c *cluster) assignUpstreams() {
	c.assignMu.Lock()
	defer c.assignMu.Unlock()
	c.mu.Lock()
	c.token++
	token := c.token
	var members []divider.Member
	for name := range c.registered {
		members = append(members, divider.Member{Name: name, Domain: c.domains[name]})
	}
	view, list := divider.NewView(c.registered), c.listed
	entries := make(map[string]relinquisher.Entry)
	for name, incarnation := range c.registered {
		entries[name] = relinquisher.Entry{Incarnation: incarnation, Domain: c.domains[name]}
	}
	c.mu.Unlock()
	if list == nil {
		list = c.fleet.List()
	}
	for _, n := range c.alive() {
		if c.isIsolated(n.name) {
			continue
		}
		var own []runner.Upstream
		for _, u := range list {
			if owner, ok := divider.Owner(u.Name, u.Domain, members); ok && owner == n.name {
				own = append(own, u)
			}
		}
		n.departures.Apply(time.Now(), entries)
		division := divider.NewMembers(members)
		n.members.Store(&division)
		vanished := slices.DeleteFunc(n.vanished.Apply(time.Now(), list), n.hasAnswered)
		n.runner.SetOwned(n.ctx, token, own)
		n.runner.SetUnlisted(vanished)
		c.mu.Lock()
		n.view = view
		c.mu.Unlock()
		for _, s := range n.runner.States() {
			n.publishState(s.GetUpstream())
		}
	}
}

// triggerReviews makes all entries look for jobs to take over.
func (c *cluster) triggerReviews() {
	for _, n := range c.alive() {
		if !c.isIsolated(n.name) {
			n.keeper.ReviewDeparture()
		}
	}
}

// deliver runs f on a peer after the delay of a message, unless the sender or the
// peer was killed in the meantime. It returns false if the peer is not running.
func (n *node) deliver(peer string, f func(p *node)) bool {
	c := n.cluster
	c.mu.Lock()
	p := c.nodes[peer]
	cut := c.isolated[n.name] || c.isolated[peer] || c.cut[pairOf(n.name, peer)] || c.isCutOff(c.domains[n.name]) != c.isCutOff(c.domains[peer])
	c.mu.Unlock()
	if p == nil || cut {
		return false
	}
	time.AfterFunc(messageDelay, func() {
		if n.ctx.Err() == nil && p.ctx.Err() == nil {
			f(p)
		}
	})
	return true
}

// sendEnd reports the end of a run to its requester.
func (n *node) sendEnd(requester string, e *wire.RunEnd) {
	if requester == n.name {
		n.runEnded(n.name, e)
		return
	}
	n.deliver(requester, func(p *node) { p.runEnded(n.name, e) })
}

// runEnded passes an end that an owner reports to those that may wait for it.
func (n *node) runEnded(owner string, e *wire.RunEnd) {
	n.RunEnded(owner, e)
	if e.GetCause() == wire.RunEnd_stopped {
		n.keeper.RunStopped(e)
	}
}

// publishState sends the state of an upstream to all entries.
func (n *node) publishState(name string) {
	if n.ctx.Err() != nil {
		return
	}
	n.UpdateStates(n.name, false, []*wire.UpstreamState{n.runner.State(name)})
	for _, p := range n.cluster.alive() {
		if p != n {
			n.deliver(p.name, func(p *node) { p.UpdateStates(n.name, false, []*wire.UpstreamState{n.runner.State(name)}) })
		}
	}
}

// Send implements coordinator.Remote.
func (n *node) Send(peer string, add func(f *wire.PeerFrame)) bool {
	f := &wire.PeerFrame{}
	add(f)
	return n.deliver(peer, func(p *node) {
		for _, q := range f.GetRequests() {
			p.runner.Request(p.ctx, n.name, q)
			// The receipt follows the owner's state that includes the request. 1<<60
			// acknowledges all requests sent so far.
			p.deliver(n.name, func(sender *node) { sender.RequestsReceived(p.name, 1, 1<<60) })
		}
		for _, c := range f.GetCancels() {
			p.runner.Cancel(p.ctx, n.name, c)
		}
		for _, s := range f.GetSafe() {
			if !n.losesReleases.Load() {
				p.runner.Safe(s)
			}
		}
	})
}

// localRunner is the runner of a node as its own coordinator calls it.
type localRunner struct {
	*runner.Runner
	node *node
}

// Safe implements coordinator.Local.
func (l localRunner) Safe(s *wire.RunSafe) {
	if !l.node.losesReleases.Load() {
		l.Runner.Safe(s)
	}
}

// Incarnations implements keeper.Peers.
func (n *node) Incarnations() map[string]string {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return maps.Clone(n.cluster.registered)
}

// Confirm implements keeper.Peers.
func (n *node) Confirm(ctx context.Context) (bool, error) { return n.confirmer.Confirm(ctx) }

// readView reads the registered entries from the store.
func (n *node) readView(ctx context.Context) (divider.View, error) {
	if _, err := (&storeLink{n.cluster.store, n}).Get(ctx, ""); err != nil {
		return 0, err
	}
	return divider.NewView(n.Incarnations()), nil
}

// hasAnswered reports whether an upstream has answered the entry that owns it.
func (n *node) hasAnswered(u runner.Upstream) bool {
	owner, ok := n.members.Load().Owner(u.Name, u.Domain)
	return ok && n.IsReached(u.Name, owner)
}

// knownView returns the view from which the upstreams of the entry were computed.
func (n *node) knownView() divider.View {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.view
}

// Claim implements keeper.Peers.
func (n *node) Claim(peer, holder string) {
	incarnation := n.Incarnations()[peer]
	claim := func(p *node) {
		if p != n {
			p.keeper.HolderClaimed(holder)
		}
		n.cluster.mu.Lock()
		view := p.view
		n.cluster.mu.Unlock()
		p.runner.RetireHolder(p.ctx, n.name, holder, func() {
			if p == n {
				n.keeper.ClaimAnswered(peer, incarnation, holder, view)
				return
			}
			p.deliver(n.name, func(claimant *node) { claimant.keeper.ClaimAnswered(peer, incarnation, holder, view) })
		})
	}
	if peer == n.name {
		n.keeper.ClaimSent(peer, incarnation, holder)
		claim(n)
		return
	}
	if n.cluster.incarnationOf(peer) == incarnation && n.deliver(peer, claim) {
		n.keeper.ClaimSent(peer, incarnation, holder)
	}
}

// Notify implements keeper.Peers.
func (n *node) Notify(peer, job string) {
	if !n.losesNotices.Load() {
		n.deliver(peer, func(p *node) { p.keeper.Reload(job) })
	}
}

// SendCancellation implements keeper.Peers.
func (n *node) SendCancellation(peer string, x keeper.Cancellation) bool {
	return n.losesNotices.Load() || n.deliver(peer, func(p *node) { p.keeper.CancellationReceived(p.ctx, n.name, x) })
}

// ConfirmCancellation implements keeper.Peers.
func (n *node) ConfirmCancellation(peer, job string) {
	n.deliver(peer, func(p *node) { p.keeper.CancellationConfirmed(n.name, job) })
}

// AnnounceKeptJobs implements keeper.Peers.
func (n *node) AnnounceKeptJobs() {
	for _, p := range n.cluster.alive() {
		p.runner.RetainOrphanedEnds()
		p.keeper.SetKeptJobsExist()
	}
}

// ReportNoKeptJobs implements keeper.Peers.
func (n *node) ReportNoKeptJobs() { n.runner.DiscardOrphanedEnds() }

// EnsureHolder implements keeper.Identity.
func (n *node) EnsureHolder(context.Context) (string, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.holder == "" {
		if n.cluster.store.writeRejected() {
			return "", platform.ErrUnavailable
		}
		n.cluster.leases++
		n.holder = fmt.Sprintf("%s@%d", n.name, n.cluster.leases)
		n.cluster.holders[n.holder] = true
	}
	return n.holder, nil
}

// Holder implements keeper.Identity.
func (n *node) Holder() string {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.ctx.Err() != nil {
		return ""
	}
	return n.holder
}

// Holders implements keeper.Identity.
func (n *node) Holders() map[string]bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return maps.Clone(n.cluster.holders)
}

// HolderExists implements keeper.Identity.
func (n *node) HolderExists(_ context.Context, holder string) (bool, error) {
	return n.Holders()[holder], nil
}

// store is an in-memory version of the platform's store. It answers one of 30
// writes with platform.ErrUnknown although it was carried out, and refuses all
// calls while it is down.
type store struct {
	platform.Store
	mu       sync.Mutex
	rng      *rand.Rand
	revision int64
	items    map[string]platform.KeyValue
	down     bool
	// rejectsWrites is true while the store refuses writes and answers reads.
	rejectsWrites bool
	// answersLate is how much later than its effect a write is answered.
	answersLate time.Duration
	// lateKey is the key whose next write is carried out lateBy later and not answered.
	lateKey string
	lateBy  time.Duration
	calls   int
	// transactions is the number of transactions that were carried out.
	transactions int
}

func newStore(seed uint64) *store {
	return &store{rng: rand.New(rand.NewPCG(seed, 2)), items: make(map[string]platform.KeyValue)}
}

// latency is the duration of a call.
const latency = 4 * time.Millisecond

func (s *store) setRejectsWrites(rejects bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectsWrites = rejects
}

func (s *store) writeRejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectsWrites
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// transactionCount returns the number of transactions carried out so far.
func (s *store) transactionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transactions
}

// startCall waits for the latency of a call and returns an error if the store
// is down.
func (s *store) startCall() error {
	time.Sleep(latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *store) Get(_ context.Context, key string) (platform.KeyValue, error) {
	if err := s.startCall(); err != nil {
		return platform.KeyValue{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key], nil
}

func (s *store) List(_ context.Context, prefix string) (platform.Snapshot, error) {
	if err := s.startCall(); err != nil {
		return platform.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := platform.Snapshot{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			out.KeyValues = append(out.KeyValues, s.items[key])
		}
	}
	return out, nil
}

func (s *store) Swap(ctx context.Context, writes ...platform.Write) (int64, error) {
	if err := s.startCall(); err != nil {
		return 0, err
	}
	if s.writeRejected() {
		return 0, platform.ErrUnavailable
	}
	if s.delays(writes) {
		<-ctx.Done()
		return 0, platform.ErrUnknown
	}
	revision, late, err := s.swap(writes)
	if late == 0 {
		return revision, err
	}
	select {
	case <-ctx.Done():
		return 0, platform.ErrUnknown
	case <-time.After(late):
		return revision, err
	}
}

// delays reports whether a transaction writes lateKey, and then carries it out later.
func (s *store) delays(writes []platform.Write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.lateKey != "" && slices.ContainsFunc(writes, func(w platform.Write) bool { return w.Key == s.lateKey })
	if late {
		s.lateKey = ""
		time.AfterFunc(s.lateBy, func() { _, _, _ = s.swap(writes) })
	}
	return late
}

// swap carries out a transaction and returns by how much its answer is late.
func (s *store) swap(writes []platform.Write) (revision int64, late time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if !w.Unconditional && s.items[w.Key].Revision != w.Expected {
			return 0, s.answersLate, platform.ErrConflict
		}
	}
	s.revision++
	s.transactions++
	for _, w := range writes {
		if w.Delete {
			delete(s.items, w.Key)
			continue
		}
		s.items[w.Key] = platform.KeyValue{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	if s.rng.IntN(30) == 0 {
		return 0, s.answersLate, platform.ErrUnknown
	}
	return s.revision, s.answersLate, nil
}

// storeLink is the way from an entry to the store.
type storeLink struct {
	*store
	node *node
}

// wait waits until a call of an entry that is cut off has failed, and reports whether the
// entry is.
func (l *storeLink) wait(ctx context.Context) bool {
	if !l.node.parted.Load() && !l.node.cluster.isIsolated(l.node.name) {
		return false
	}
	<-ctx.Done()
	return true
}

func (l *storeLink) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	if l.wait(ctx) {
		return platform.KeyValue{}, ctx.Err()
	}
	return l.store.Get(ctx, key)
}

func (l *storeLink) List(ctx context.Context, prefix string) (platform.Snapshot, error) {
	if l.wait(ctx) {
		return platform.Snapshot{}, ctx.Err()
	}
	return l.store.List(ctx, prefix)
}

func (l *storeLink) Swap(ctx context.Context, writes ...platform.Write) (int64, error) {
	if l.wait(ctx) {
		return 0, platform.ErrUnknown
	}
	return l.store.Swap(ctx, writes...)
}

// setAnswersLate sets how much later than its effect a write is answered.
func (s *store) setAnswersLate(late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersLate = late
}

// nopLog discards the events of all entries.
var nopLog = zerolog.Nop()
