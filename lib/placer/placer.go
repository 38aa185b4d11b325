// Package placer names the home of every job.
//
// Each failure domain has a fixed number of shards, and a table in the
// platform names the one entry incarnation that is the home of each shard. A
// job's identifier decides its shard. Only the home starts tasks of the job.
//
// The table changes only by compare-and-swap. A live home gives a shard away
// by a handover, which keeps the shard's epoch. The shards of a home whose
// death is confirmed are assigned to the entries that remain, in a new epoch:
// what the dead home had started is then unknown.
//
// # Usage
//
//	p := &placer.Placer{Self: self, Store: store, Members: members, Keeper: tracker}
//	w.On(platform.ShardPrefix, p.Apply)
//	go p.Run(ctx)
//	owner, ok := p.Owner(shard)
package placer

import (
	"context"
	"strings"
	"sync"
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
	// stepInterval is the mean time between looks at the own table.
	stepInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the platform or to a peer.
	callTimeout = 2 * time.Second
)

// Keeper holds the records of the shards that this entry is the home of.
type Keeper interface {
	// Open starts to serve a shard as the table's owner record says.
	Open(s Shard, o *wire.ShardOwner)
	// Pause stops new jobs in the shards and returns what is remembered.
	Pause(shards []Shard) []*wire.ShardRecords
	// Resume takes up the shards again after a handover that did not happen.
	Resume(shards []Shard)
	// Release gives up the shards after a handover to the named entry.
	Release(shards []Shard)
	// Stage keeps records until the table names this entry as the home.
	Stage(h *wire.Handover)
}

// Members tells which entries live.
type Members interface {
	Members() []registrar.Member
	Dead(name, incarnation string) bool
}

// Caller sends requests to other entries.
type Caller interface {
	Call(ctx context.Context, p entry.Peer, q *wire.Envelope) (*wire.Reply, error)
}

// table is a shard table with the platform's revision of its key, which is 0
// when it came from another entry.
type table struct {
	*wire.ShardTable
	key int64
	// lost is true when the platform holds an older version.
	lost bool
}

// Placer keeps the shard tables. Exported fields are set before Run.
type Placer struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Store is the platform's key-value service.
	Store platform.Store
	// Members tells which entries live.
	Members Members
	// Keeper holds the records of own shards.
	Keeper Keeper
	// Caller reaches the other entries.
	Caller Caller
	// Log receives events.
	Log zerolog.Logger

	mu     sync.RWMutex
	tables map[string]table
	opened map[Shard]uint64

	// step serializes changes of the own table.
	step sync.Mutex
	wake chan struct{}
	once sync.Once
}

// Key returns the platform's key of a failure domain's shard table.
func Key(failureDomain string) string { return platform.ShardPrefix + failureDomain }

// Apply takes tables from the platform.
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
		p.offer(table{t, e.Revision, false})
	}
	p.Wake()
}

// Offer takes tables that another entry holds.
func (p *Placer) Offer(set *wire.ConfigurationSet) {
	for _, t := range set.GetTables() {
		p.offer(table{t, 0, false})
	}
}

// offer takes t unless a newer version is held, and opens shards that it gives
// to this entry.
func (p *Placer) offer(t table) {
	if len(t.GetShards()) != ShardsPerDomain {
		return
	}
	p.mu.Lock()
	if p.tables == nil {
		p.tables = make(map[string]table)
		p.opened = make(map[Shard]uint64)
	}
	old, ok := p.tables[t.GetFailureDomain()]
	if ok && t.GetVersion() < old.GetVersion() {
		p.regress(old, t)
		p.mu.Unlock()
		p.Log.Error().Str("failure_domain", t.GetFailureDomain()).Uint64("offered", t.GetVersion()).
			Uint64("held", old.GetVersion()).Msg("shard_table_revert_refused")
		return
	}
	if ok && t.GetVersion() == old.GetVersion() && t.key == 0 {
		p.mu.Unlock()
		return
	}
	p.tables[t.GetFailureDomain()] = t
	gained := p.gained(t)
	p.mu.Unlock()
	for _, g := range gained {
		p.Keeper.Open(g.shard, g.owner)
	}
}

// regress remembers that the platform lost a newer version of the table, so
// that the own failure domain's entries write it again; the caller holds the
// lock.
func (p *Placer) regress(old, t table) {
	if t.key == 0 {
		return
	}
	old.key = t.key
	old.lost = true
	p.tables[t.GetFailureDomain()] = old
}

// gain is a shard that the table newly gives to this entry.
type gain struct {
	shard Shard
	owner *wire.ShardOwner
}

// gained lists shards of t that are this entry's and not yet open, and closes
// the list for those that are no longer; the caller holds the lock.
func (p *Placer) gained(t table) []gain {
	var out []gain
	for i, o := range t.GetShards() {
		s := Shard{t.GetFailureDomain(), i}
		if !p.own(o) {
			delete(p.opened, s)
			continue
		}
		if e, ok := p.opened[s]; ok && e == o.GetEpoch() {
			continue
		}
		p.opened[s] = o.GetEpoch()
		out = append(out, gain{s, o})
	}
	return out
}

// own reports whether o is this very incarnation.
func (p *Placer) own(o *wire.ShardOwner) bool {
	return o.GetName() == p.Self.GetName() && o.GetIncarnation() == p.Self.GetIncarnation()
}

// Owner returns the home of a shard; false when the table is not known or
// names nobody.
func (p *Placer) Owner(s Shard) (*wire.ShardOwner, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t, ok := p.tables[s.FailureDomain]
	if !ok || t.GetShards()[s.Number].GetName() == "" {
		return nil, false
	}
	return t.GetShards()[s.Number], true
}

// Own reports whether o names this very incarnation.
func (p *Placer) Own(o *wire.ShardOwner) bool { return p.own(o) }

// Tables returns all tables held.
func (p *Placer) Tables() []*wire.ShardTable {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]*wire.ShardTable, 0, len(p.tables))
	for _, t := range p.tables {
		out = append(out, t.ShardTable)
	}
	return out
}

// Behind reports whether a peer holds a table that is newer than the own one.
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

// Versions returns the version of each table held.
func (p *Placer) Versions() []*wire.TableVersion {
	tables := p.Tables()
	out := make([]*wire.TableVersion, 0, len(tables))
	for _, t := range tables {
		out = append(out, &wire.TableVersion{FailureDomain: t.GetFailureDomain(), Version: t.GetVersion()})
	}
	return out
}

// Issue returns a fresh job identifier whose home is this entry, or any entry
// of its failure domain while it is home to nothing.
func (p *Placer) Issue(number uint64) (string, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t, ok := p.tables[p.Self.GetFailureDomain()]
	if !ok {
		return "", false
	}
	var all, own []int
	for i, o := range t.GetShards() {
		if p.own(o) {
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

// held returns a copy of the own table for a change.
func (p *Placer) held(failureDomain string) (table, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t, ok := p.tables[failureDomain]
	if !ok {
		return table{}, false
	}
	c, _ := proto.Clone(t.ShardTable).(*wire.ShardTable)
	return table{c, t.key, t.lost}, true
}

// Wake makes Run look at the own table soon.
func (p *Placer) Wake() {
	select {
	case p.signal() <- struct{}{}:
	default:
	}
}

func (p *Placer) signal() chan struct{} {
	p.once.Do(func() { p.wake = make(chan struct{}, 1) })
	return p.wake
}

// Run assigns and balances the shards of the own failure domain until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	for {
		p.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.signal():
		case <-time.After(watcher.Jitter(stepInterval)):
		}
	}
}

// Step makes at most one change to the own failure domain's table.
func (p *Placer) Step(ctx context.Context) {
	p.step.Lock()
	defer p.step.Unlock()
	if p.restore(ctx) || p.assign(ctx) {
		return
	}
	p.balance(ctx)
}
