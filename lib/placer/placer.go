// Package placer determines the home of every job.
//
// Each failure domain has a fixed number of shards. A table in the platform
// names, for each shard, the one entry incarnation that is its home. A job's
// identifier determines its shard, and only the home starts the job's tasks.
//
// The table changes only by compare-and-swap. A live home moves a shard to
// another entry by a handover, which keeps the shard's epoch. The shards of a
// home whose death is confirmed are assigned to the remaining entries in a new
// epoch, because it is unknown what the dead home had started.
//
// # Usage
//
//	p := &placer.Placer{
//		Self: self, Store: store, Members: members, Tracker: tracker, Caller: caller,
//	}
//	w.On(platform.ShardPrefix, p.Apply)
//	go p.Run(ctx)
//	owner, ok := p.Owner(shard)
package placer

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/entry"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

const (
	// stepInterval is the mean time between checks of the own failure domain's
	// table.
	stepInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the platform or to a peer.
	callTimeout = 2 * time.Second
)

// Tracker holds the job records of the shards whose home is this entry.
type Tracker interface {
	// Open starts serving a shard in the epoch of the table's owner record.
	Open(s Shard, o *wire.ShardOwner)
	// Pause stops starting jobs in the shards and returns their records.
	Pause(shards []Shard) []*wire.ShardRecords
	// Resume serves the shards again after an abandoned handover.
	Resume(shards []Shard)
	// Release stops serving the shards after a handover.
	Release(shards []Shard)
	// Stage keeps the records of a handover until the table names this entry as
	// the home.
	Stage(h *wire.Handover)
}

// Members lists the entries and reports confirmed deaths.
type Members interface {
	Members() []registrar.Member
	Dead(name, incarnation string) bool
}

// Caller sends requests to other entries.
type Caller interface {
	Call(ctx context.Context, p entry.Peer, q *wire.Envelope) (*wire.Reply, error)
}

// table is a shard table and what is known of the platform's copy.
type table struct {
	*wire.ShardTable
	// keyRevision is the platform's revision of the table's key; 0 if the table
	// came from another entry.
	keyRevision int64
	// lost is true if the platform lost this version and holds an older one.
	lost bool
}

// Placer keeps the shard tables. Exported fields are set before Run.
type Placer struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Store is the platform's key-value service.
	Store platform.Store
	// Members lists the entries.
	Members Members
	// Tracker holds the records of the own shards.
	Tracker Tracker
	// Caller sends requests to the other entries.
	Caller Caller
	// Log receives events.
	Log zerolog.Logger

	mu           sync.RWMutex
	tables       map[string]table
	openedEpochs map[Shard]uint64

	// changeMu serializes changes to the own failure domain's table.
	changeMu sync.Mutex
	wake     chan struct{}
	once     sync.Once
	stopped  atomic.Bool
}

// TableKey returns the platform's key of a failure domain's shard table.
func TableKey(failureDomain string) string { return platform.ShardPrefix + failureDomain }

// Apply applies the tables that a watch of the platform delivers.
func (p *Placer) Apply(u watcher.Update) {
	for _, e := range u.Events {
		if e.Deleted {
			p.Log.Error().Str("key", e.Key).Msg("shard_table_deleted")
			continue
		}
		t := &wire.ShardTable{}
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(e.Value, t); err != nil {
			p.Log.Error().Str("key", e.Key).Err(err).Msg("shard_table_unreadable")
			continue
		}
		t.FailureDomain = strings.TrimPrefix(e.Key, platform.ShardPrefix)
		p.applyTable(table{t, e.Revision, false})
	}
	p.Wake()
}

// Offer applies the tables that another entry sent.
func (p *Placer) Offer(set *wire.ConfigurationSet) {
	for _, t := range set.GetTables() {
		p.applyTable(table{t, 0, false})
	}
}

// applyTable replaces the held table by t unless the held one is newer, and opens
// the shards that t newly assigns to this entry.
func (p *Placer) applyTable(t table) {
	if len(t.GetShards()) != ShardsPerDomain {
		return
	}
	p.mu.Lock()
	if p.tables == nil {
		p.tables = make(map[string]table)
		p.openedEpochs = make(map[Shard]uint64)
	}
	old, ok := p.tables[t.GetFailureDomain()]
	if ok && t.GetVersion() < old.GetVersion() {
		p.markLost(old, t)
		p.mu.Unlock()
		p.Log.Error().Str("failure_domain", t.GetFailureDomain()).Uint64("offered", t.GetVersion()).
			Uint64("held", old.GetVersion()).Msg("shard_table_revert_refused")
		return
	}
	if ok && t.GetVersion() == old.GetVersion() && t.keyRevision == 0 {
		p.mu.Unlock()
		return
	}
	p.tables[t.GetFailureDomain()] = t
	gained := p.newlyAssigned(t)
	p.mu.Unlock()
	for _, g := range gained {
		p.Tracker.Open(g.shard, g.owner)
	}
}

// markLost marks the held table as lost after the platform sent an older version,
// so that an entry of the table's failure domain writes it again. The caller
// holds the lock.
func (p *Placer) markLost(old, t table) {
	if t.keyRevision == 0 {
		return
	}
	old.keyRevision = t.keyRevision
	old.lost = true
	p.tables[t.GetFailureDomain()] = old
}

// assignment is a shard that the table newly assigns to this entry.
type assignment struct {
	shard Shard
	owner *wire.ShardOwner
}

// newlyAssigned returns the shards that t newly assigns to this entry and marks
// them as opened. Shards that t assigns to others are unmarked. The caller
// holds the lock.
func (p *Placer) newlyAssigned(t table) []assignment {
	var out []assignment
	for i, o := range t.GetShards() {
		s := Shard{t.GetFailureDomain(), i}
		if !p.isSelf(o) {
			delete(p.openedEpochs, s)
			continue
		}
		if e, ok := p.openedEpochs[s]; ok && e == o.GetEpoch() {
			continue
		}
		p.openedEpochs[s] = o.GetEpoch()
		out = append(out, assignment{s, o})
	}
	return out
}

// isSelf reports whether o names this incarnation of this entry.
func (p *Placer) isSelf(o *wire.ShardOwner) bool {
	return o.GetName() == p.Self.GetName() && o.GetIncarnation() == p.Self.GetIncarnation()
}

// Owner returns the home of a shard; false if the table is not known or names no
// home.
func (p *Placer) Owner(s Shard) (*wire.ShardOwner, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t, ok := p.tables[s.FailureDomain]
	if !ok || t.GetShards()[s.Number].GetName() == "" {
		return nil, false
	}
	return t.GetShards()[s.Number], true
}

// IsSelf reports whether o names this incarnation of this entry.
func (p *Placer) IsSelf(o *wire.ShardOwner) bool { return p.isSelf(o) }

// Tables returns the tables of all failure domains.
func (p *Placer) Tables() []*wire.ShardTable {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]*wire.ShardTable, 0, len(p.tables))
	for _, t := range p.tables {
		out = append(out, t.ShardTable)
	}
	return out
}

// Behind reports whether the peer that sent h holds a newer version of a table.
func (p *Placer) Behind(h *wire.Heartbeat) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, v := range h.GetTables() {
		if v.GetVersion() > p.tables[v.GetFailureDomain()].GetVersion() {
			return true
		}
	}
	return false
}

// Versions returns the version of each table.
func (p *Placer) Versions() []*wire.TableVersion {
	tables := p.Tables()
	out := make([]*wire.TableVersion, 0, len(tables))
	for _, t := range tables {
		out = append(out, &wire.TableVersion{FailureDomain: t.GetFailureDomain(), Version: t.GetVersion()})
	}
	return out
}

// Issue returns a fresh job identifier whose home is this entry, or an entry of
// the same failure domain if this entry is the home of no shard. The number
// selects the shard.
func (p *Placer) Issue(number uint64) (string, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t, ok := p.tables[p.Self.GetFailureDomain()]
	if !ok {
		return "", false
	}
	var all, own []int
	for i, o := range t.GetShards() {
		if p.isSelf(o) {
			own = append(own, i)
		}
		all = append(all, i)
	}
	if len(own) == 0 {
		own = all
	}
	n := own[number%uint64(len(own))]
	s := Shard{p.Self.GetFailureDomain(), n}
	return Issue(s, t.GetShards()[n].GetEpoch()), true
}

// tableCopy returns a copy of a failure domain's table, for changes.
func (p *Placer) tableCopy(failureDomain string) (table, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t, ok := p.tables[failureDomain]
	if !ok {
		return table{}, false
	}
	c, _ := proto.Clone(t.ShardTable).(*wire.ShardTable)
	return table{c, t.keyRevision, t.lost}, true
}

// Wake makes Run check the own failure domain's table at once.
func (p *Placer) Wake() {
	select {
	case p.wakeChannel() <- struct{}{}:
	default:
	}
}

func (p *Placer) wakeChannel() chan struct{} {
	p.once.Do(func() { p.wake = make(chan struct{}, 1) })
	return p.wake
}

// Run restores the own failure domain's table and assigns and balances its shards
// until ctx ends or Stop is called.
func (p *Placer) Run(ctx context.Context) {
	for !p.stopped.Load() {
		p.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.wakeChannel():
		case <-time.After(watcher.Jitter(stepInterval)):
		}
	}
}

// Stop ends Run after the change in progress. To end the context instead would leave the
// shards of a handover paused if its write of the table is on its way.
func (p *Placer) Stop() {
	p.stopped.Store(true)
	p.Wake()
}

// Step makes at most one change to the own failure domain's table.
func (p *Placer) Step(ctx context.Context) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	if p.restore(ctx) || p.assign(ctx) {
		return
	}
	p.balance(ctx)
}
