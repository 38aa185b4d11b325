package placer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/wire"
)

// assign gives the shards without a live home to live members. Only the first
// live member by name does so. It reports whether it tried to change the table.
func (p *Placer) assign(ctx context.Context) bool {
	fd := p.Self.GetFailureDomain()
	t, ok := p.tableCopy(fd)
	if !ok {
		t = table{&wire.ShardTable{FailureDomain: fd, Shards: make([]*wire.ShardOwner, ShardsPerDomain)}, 0, false}
		for i := range t.Shards {
			t.Shards[i] = &wire.ShardOwner{}
		}
	}
	live := p.liveMembers()
	if len(live) == 0 || live[0].GetName() != p.Self.GetName() {
		return false
	}
	n := p.reassign(t.ShardTable, live)
	if n == 0 {
		return false
	}
	err := p.writeOrRead(ctx, t)
	p.Log.Info().Str("failure_domain", fd).Int("shards", n).AnErr("result", err).Msg("shards_assigned")
	return true
}

// restore writes the held table of the own failure domain again if the platform
// lost this version. It reports whether it tried.
func (p *Placer) restore(ctx context.Context) bool {
	t, ok := p.tableCopy(p.Self.GetFailureDomain())
	if !ok || !t.lost {
		return false
	}
	err := p.writeOrRead(ctx, t)
	p.Log.Warn().Str("failure_domain", t.GetFailureDomain()).AnErr("result", err).Msg("shard_table_restored")
	return true
}

// reassign gives each shard without a live home to the member with the fewest
// shards in proportion to its weight, in a new epoch. It returns the number of
// shards changed.
func (p *Placer) reassign(t *wire.ShardTable, live []registrar.Member) int {
	counts := p.shardCounts(t)
	n := 0
	for i, o := range t.GetShards() {
		if o.GetName() != "" && !p.Members.Dead(o.GetName(), o.GetIncarnation()) {
			continue
		}
		m := leastLoaded(live, counts)
		counts[m.GetName()]++
		next := &wire.ShardOwner{
			Name: m.GetName(), Incarnation: m.GetIncarnation(), Epoch: nextEpoch(o.GetEpoch()),
		}
		if o.GetEpoch() > 0 {
			next.TakenAt = timestamppb.Now()
		}
		t.Shards[i] = next
		n++
	}
	return n
}

// nextEpoch returns an epoch greater than epoch. It is at least the Unix time in
// milliseconds, so that an epoch that the platform has lost is not used again.
func nextEpoch(epoch uint64) uint64 {
	return max(epoch+1, uint64(time.Now().UnixMilli()))
}

// liveMembers returns the members of the own failure domain that are registered
// and not draining, sorted by name.
func (p *Placer) liveMembers() []registrar.Member {
	var out []registrar.Member
	for _, m := range p.Members.Members() {
		if m.Registered && !m.Draining && m.GetFailureDomain() == p.Self.GetFailureDomain() {
			out = append(out, m)
		}
	}
	return out
}

// shardCounts returns the number of shards in t by entry name.
func (p *Placer) shardCounts(t *wire.ShardTable) map[string]int {
	out := make(map[string]int)
	for _, o := range t.GetShards() {
		out[o.GetName()]++
	}
	return out
}

// leastLoaded returns the member with the fewest shards in proportion to its
// weight.
func leastLoaded(live []registrar.Member, counts map[string]int) registrar.Member {
	best := live[0]
	for _, m := range live[1:] {
		if counts[m.GetName()]*weight(best) < counts[best.GetName()]*weight(m) {
			best = m
		}
	}
	return best
}

func weight(m registrar.Member) int { return max(1, int(m.GetWeight())) }

// writeTable stores a changed table by compare-and-swap. It returns nil only if the
// platform has stored the change.
func (p *Placer) writeTable(ctx context.Context, t table) error {
	t.Version++
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(t.ShardTable)
	if err != nil {
		return errors.Wrap(err, "encode the shard table")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := TableKey(t.GetFailureDomain())
	rev, err := p.Store.Swap(ctx, platform.Write{Key: key, Value: data, Expected: t.keyRevision})
	if errors.Is(err, platform.ErrConflict) {
		p.readTable(ctx, t.GetFailureDomain())
	}
	if err != nil {
		return err
	}
	p.applyTable(table{t.ShardTable, rev, false})
	return nil
}

// writeOrRead is writeTable for a change that need not be resolved: after a lost answer
// it reads the table, as the write may have taken effect or the held table may be out of
// date. Without the read the same write could fail without an answer again and again.
func (p *Placer) writeOrRead(ctx context.Context, t table) error {
	err := p.writeTable(ctx, t)
	if errors.Is(err, platform.ErrUnknown) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		p.readTable(call, t.GetFailureDomain())
	}
	return err
}

// readTable reads a table that changed before the watch reported the change.
func (p *Placer) readTable(ctx context.Context, failureDomain string) {
	kv, err := p.Store.Get(ctx, TableKey(failureDomain))
	if err != nil || kv.Revision == 0 {
		return
	}
	t := &wire.ShardTable{}
	if err := protojson.Unmarshal(kv.Value, t); err == nil {
		p.applyTable(table{t, kv.Revision, false})
	}
}
