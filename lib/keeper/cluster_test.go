package keeper_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/committer"
	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/divider"
	"radishweir.org/lib/keeper"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/lib/wire"
)

const (
	// messageDelay is the delay of a message between entries.
	messageDelay = time.Millisecond
	// peerTimeout is the time after which entries notice that another one is gone.
	peerTimeout = 350 * time.Millisecond
	// registrationTTL is the time after which the registration of a killed entry ends.
	registrationTTL = 2 * time.Second
	// holderTTL is the time after which the holder of a killed entry ends.
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

	mu sync.Mutex
	// nodes holds the running entries by name.
	nodes map[string]*node
	// registered holds the incarnations of the registered entries, which own the
	// upstreams, by name.
	registered map[string]string
	// interval is the shortest time between two transactions of one entry.
	interval time.Duration
	// holders are the holders in the store.
	holders map[string]bool
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

	*coordinator.Coordinator
	runner *runner.Runner
	keeper *keeper.Keeper
}

// newCluster starts n entries with m upstreams.
func newCluster(t *testing.T, seed uint64, n, m int) *cluster {
	w := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), fleet: simulator.New(), store: newStore(seed),
		interval: 20 * time.Millisecond,
		nodes:    make(map[string]*node), registered: make(map[string]string), holders: make(map[string]bool),
	}
	w.fleet.Amount = need
	w.fleet.Kept = func(string) bool { return true }
	for i := range m {
		w.fleet.Add(runner.Upstream{
			Name: fmt.Sprintf("u%02d", i), Service: "claims", Incarnation: 1, Capacity: packer.Amount{CPU: 16000, Memory: 65536},
		}, 1)
	}
	for i := range n {
		w.start(fmt.Sprintf("entry-%d", i+1))
	}
	time.Sleep(time.Second)
	return w
}

// start starts a new incarnation of an entry.
func (w *cluster) start(name string) {
	w.mu.Lock()
	w.starts++
	x := &node{cluster: w, name: name, incarnation: fmt.Sprintf("life-%d", w.starts)}
	x.ctx, x.cancel = context.WithCancel(w.t.Context())
	old := w.nodes[name]
	w.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	x.Coordinator = &coordinator.Coordinator{Self: name, PeerTimeout: peerTimeout, Remote: x, Log: nopLog}
	x.runner = &runner.Runner{Client: w.fleet, Ended: x.sendEnd, Changed: x.publishState, Log: nopLog}
	x.Local = x.runner
	commits := &committer.Committer{Store: w.store, Interval: func() time.Duration { return w.interval }, Log: nopLog}
	x.keeper = &keeper.Keeper{Self: name, Store: w.store, Committer: commits, Jobs: x.Coordinator, Identity: x, Peers: x, Log: nopLog}
	x.keeper.Init()
	x.Keeper = x.keeper
	x.Init(x.ctx)
	x.SetUpstreams(w.fleet.List())
	go x.Run(x.ctx)
	go commits.Run(x.ctx)
	go x.keeper.Run(x.ctx)
	w.mu.Lock()
	w.nodes[name] = x
	w.registered[name] = x.incarnation
	// The former incarnation has certainly ended.
	for h := range w.holders {
		if strings.HasPrefix(h, name+"@") {
			delete(w.holders, h)
		}
	}
	w.mu.Unlock()
	for _, other := range w.alive() {
		if other != x {
			x.PeerUp(other.name, 1)
			other.PeerUp(name, 1)
			other.runner.ResendEnds(name)
		}
	}
	w.assignUpstreams()
	w.triggerReviews()
}

// kill stops an entry. Later its peers notice the silence, its registration lapses
// and its holder ends, each after its own time.
func (w *cluster) kill(name string) {
	w.mu.Lock()
	x := w.nodes[name]
	incarnation, holder := x.incarnation, x.holder
	delete(w.nodes, name)
	w.mu.Unlock()
	x.cancel()
	time.AfterFunc(peerTimeout, func() {
		if w.incarnationOf(name) != "" {
			return
		}
		for _, other := range w.alive() {
			other.PeerDown(name)
			other.keeper.ResendClaims(name)
			other.runner.CancelRunsOf(other.ctx, name)
		}
	})
	time.AfterFunc(registrationTTL, func() {
		w.mu.Lock()
		gone := w.registered[name] == incarnation
		if gone {
			delete(w.registered, name)
		}
		w.mu.Unlock()
		if gone {
			w.assignUpstreams()
		}
	})
	time.AfterFunc(holderTTL, func() {
		w.mu.Lock()
		delete(w.holders, holder)
		w.mu.Unlock()
		w.triggerReviews()
	})
}

// incarnationOf returns the incarnation of a running entry, or "" if it is not running.
func (w *cluster) incarnationOf(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.nodes[name]; x != nil {
		return x.incarnation
	}
	return ""
}

// alive returns the running entries in order of their names.
func (w *cluster) alive() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*node
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		out = append(out, w.nodes[name])
	}
	return out
}

// assignUpstreams assigns each upstream to one registered entry.
func (w *cluster) assignUpstreams() {
	w.mu.Lock()
	w.token++
	token := w.token
	var members []divider.Member
	for name := range w.registered {
		members = append(members, divider.Member{Name: name})
	}
	w.mu.Unlock()
	for _, x := range w.alive() {
		var own []runner.Upstream
		for _, u := range w.fleet.List() {
			if owner, ok := divider.Owner(u.Name, "", members); ok && owner == x.name {
				own = append(own, u)
			}
		}
		x.runner.SetOwned(x.ctx, token, own)
		for _, s := range x.runner.States() {
			x.publishState(s.GetUpstream())
		}
	}
}

// triggerReviews makes all entries look for jobs to take over.
func (w *cluster) triggerReviews() {
	for _, x := range w.alive() {
		x.keeper.TriggerReview()
	}
}

// deliver runs f on a peer after the delay of a message, unless the sender or the
// peer was killed in the meantime. It returns false if the peer is not running.
func (x *node) deliver(peer string, f func(p *node)) bool {
	w := x.cluster
	w.mu.Lock()
	p := w.nodes[peer]
	w.mu.Unlock()
	if p == nil {
		return false
	}
	time.AfterFunc(messageDelay, func() {
		if x.ctx.Err() == nil && p.ctx.Err() == nil {
			f(p)
		}
	})
	return true
}

// sendEnd reports the end of a run to its requester.
func (x *node) sendEnd(requester string, e *wire.RunEnd) {
	if requester == x.name {
		x.RunEnded(x.name, e)
		return
	}
	x.deliver(requester, func(p *node) { p.RunEnded(x.name, e) })
}

// publishState sends the state of an upstream to all entries.
func (x *node) publishState(name string) {
	if x.ctx.Err() != nil {
		return
	}
	x.UpdateStates(x.name, false, []*wire.UpstreamState{x.runner.State(name)})
	for _, p := range x.cluster.alive() {
		if p != x {
			x.deliver(p.name, func(p *node) { p.UpdateStates(x.name, false, []*wire.UpstreamState{x.runner.State(name)}) })
		}
	}
}

// Send implements coordinator.Remote.
func (x *node) Send(peer string, add func(f *wire.PeerFrame)) bool {
	f := &wire.PeerFrame{}
	add(f)
	return x.deliver(peer, func(p *node) {
		for _, q := range f.GetRequests() {
			p.runner.Request(p.ctx, x.name, q)
			// The receipt follows the owner's state that includes the request. 1<<60
			// acknowledges all requests sent so far.
			p.deliver(x.name, func(x *node) { x.RequestsReceived(p.name, 1, 1<<60) })
		}
		for _, c := range f.GetCancels() {
			p.runner.Cancel(p.ctx, c)
		}
		for _, s := range f.GetSafe() {
			p.runner.Safe(s)
		}
	})
}

// Incarnations implements keeper.Peers.
func (x *node) Incarnations() map[string]string {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	return maps.Clone(x.cluster.registered)
}

// Claim implements keeper.Peers.
func (x *node) Claim(peer, holder string) {
	incarnation := x.Incarnations()[peer]
	claim := func(p *node) {
		p.runner.RetireHolder(p.ctx, x.name, holder, func() {
			if p == x {
				x.keeper.ClaimAnswered(peer, incarnation, holder)
				return
			}
			p.deliver(x.name, func(x *node) { x.keeper.ClaimAnswered(peer, incarnation, holder) })
		})
	}
	if peer == x.name {
		x.keeper.ClaimSent(peer, incarnation, holder)
		claim(x)
		return
	}
	if x.cluster.incarnationOf(peer) == incarnation && x.deliver(peer, claim) {
		x.keeper.ClaimSent(peer, incarnation, holder)
	}
}

// Notify implements keeper.Peers.
func (x *node) Notify(peer, job string) { x.deliver(peer, func(p *node) { p.keeper.Reload(job) }) }

// AnnounceKeptJobs implements keeper.Peers.
func (x *node) AnnounceKeptJobs() {
	for _, p := range x.cluster.alive() {
		p.runner.RetainOrphanedEnds()
		p.keeper.SetKeptJobsExist()
	}
}

// ReportNoKeptJobs implements keeper.Peers.
func (x *node) ReportNoKeptJobs() { x.runner.DiscardOrphanedEnds() }

// EnsureHolder implements keeper.Identity.
func (x *node) EnsureHolder(context.Context) (string, error) {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	if x.holder == "" {
		x.holder = x.name + "@" + x.incarnation
		x.cluster.holders[x.holder] = true
	}
	return x.holder, nil
}

// Holder implements keeper.Identity.
func (x *node) Holder() string {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	if x.ctx.Err() != nil {
		return ""
	}
	return x.holder
}

// Holders implements keeper.Identity.
func (x *node) Holders() map[string]bool {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	return maps.Clone(x.cluster.holders)
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
	calls    int
	// transactions is the number of transactions that were carried out.
	transactions int
}

func newStore(seed uint64) *store {
	return &store{rng: rand.New(rand.NewPCG(seed, 2)), items: make(map[string]platform.KeyValue)}
}

// latency is the duration of a call.
const latency = 4 * time.Millisecond

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

// startCall waits for the latency of a call and returns an error if the store is down.
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

func (s *store) Swap(_ context.Context, writes ...platform.Write) (int64, error) {
	if err := s.startCall(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if !w.Unconditional && s.items[w.Key].Revision != w.Expected {
			return 0, platform.ErrConflict
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
		return 0, platform.ErrUnknown
	}
	return s.revision, nil
}

// nopLog discards the events of all entries.
var nopLog = zerolog.Nop()
