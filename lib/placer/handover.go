package placer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// balance hands shards over to the member with the fewest shards in proportion to
// its weight. It hands over as many as make the numbers of shards of this entry
// and that member proportional to their weights.
func (p *Placer) balance(ctx context.Context) {
	t, ok := p.tableCopy(p.Self.GetFailureDomain())
	live := p.liveMembers()
	if !ok || len(live) < 2 {
		return
	}
	counts := p.shardCounts(t.ShardTable)
	to := leastLoaded(live, counts)
	own := p.ownShards(t)
	ownWeight := max(1, int(p.Self.GetWeight()))
	n := (len(own)*weight(to) - counts[to.GetName()]*ownWeight) / (ownWeight + weight(to))
	if n <= 0 || to.GetName() == p.Self.GetName() || !to.Reachable(time.Now()) {
		return
	}
	p.handOver(ctx, t, own[:n], to)
}

// ownShards lists the shards of t whose home is this entry.
func (p *Placer) ownShards(t table) []Shard {
	var out []Shard
	for i, o := range t.GetShards() {
		if p.isSelf(o) {
			out = append(out, Shard{t.GetFailureDomain(), i})
		}
	}
	return out
}

// Drain hands the own shards over to the other live members of the failure
// domain. Each call hands a part of them to one member and returns an error
// while shards remain.
func (p *Placer) Drain(ctx context.Context) error {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	t, ok := p.tableCopy(p.Self.GetFailureDomain())
	if !ok {
		return nil
	}
	own := p.ownShards(t)
	if len(own) == 0 {
		return nil
	}
	var others []registrar.Member
	for _, m := range p.liveMembers() {
		if m.GetName() != p.Self.GetName() && m.Reachable(time.Now()) {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return errors.New("no other entry of the failure domain is live")
	}
	to := leastLoaded(others, p.shardCounts(t.ShardTable))
	part := (len(own) + len(others) - 1) / len(others)
	if !p.handOver(ctx, t, own[:part], to) {
		return errors.Errorf("%d shards remain", len(own))
	}
	if part < len(own) {
		return errors.Errorf("%d shards remain", len(own)-part)
	}
	return nil
}

// handOver moves shards with their records to another member. It reports whether
// the platform's table no longer names this entry as the home of any of them. It begins
// only while the platform answers: the shards start no job until the table is written,
// and after a lost answer until the platform is back.
func (p *Placer) handOver(ctx context.Context, t table, shards []Shard, to registrar.Member) bool {
	if err := p.checkPlatform(ctx, t.GetFailureDomain()); err != nil {
		p.Log.Warn().Str("to", to.GetName()).Err(err).Msg("handover_deferred")
		return false
	}
	h := &wire.Handover{Id: p.Self.GetIncarnation() + "-" + strconv.FormatUint(rand.Uint64(), 16)}
	h.Shards = p.Tracker.Pause(shards)
	if err := p.sendRecords(ctx, to, h); err != nil {
		p.Tracker.Resume(shards)
		p.Log.Warn().Str("to", to.GetName()).Err(err).Msg("handover_refused")
		return false
	}
	for _, s := range shards {
		o := t.Shards[s.Number]
		o.Name, o.Incarnation, o.HandoverId = to.GetName(), to.GetIncarnation(), h.GetId()
	}
	err := p.writeTable(ctx, t)
	if errors.Is(err, platform.ErrUnknown) {
		err = p.resolveWrite(ctx, t)
	}
	if errors.Is(err, errWriteUnknown) {
		p.Log.Error().Str("to", to.GetName()).Err(err).Msg("handover_unsettled")
		return false
	}
	return p.finishHandover(shards, to, err)
}

// checkPlatform reads a table from the platform and returns an error if that fails.
func (p *Placer) checkPlatform(ctx context.Context, failureDomain string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.Store.Get(ctx, TableKey(failureDomain))
	return err
}

// finishHandover releases the shards that moved and resumes the others. It reports
// whether all moved.
func (p *Placer) finishHandover(shards []Shard, to registrar.Member, err error) bool {
	var kept, moved []Shard
	for _, s := range shards {
		if o, ok := p.Owner(s); ok && p.isSelf(o) {
			kept = append(kept, s)
		} else {
			moved = append(moved, s)
		}
	}
	p.Tracker.Resume(kept)
	p.Tracker.Release(moved)
	p.Log.Info().Str("to", to.GetName()).Int("moved", len(moved)).Int("kept", len(kept)).
		AnErr("result", err).Msg("handover_ended")
	return len(kept) == 0
}

// sendRecords sends the records to the new home before the table changes.
func (p *Placer) sendRecords(ctx context.Context, to registrar.Member, h *wire.Handover) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := &wire.Envelope{Body: &wire.Envelope_Handover{Handover: h}}
	r, err := p.Caller.Call(ctx, to.Peer(), q)
	if err != nil {
		return err
	}
	if r.GetRefusal() != "" {
		return errors.New(r.GetRefusal())
	}
	return nil
}

// errWriteUnknown reports a handover whose write of the table may still take effect.
var errWriteUnknown = errors.New("the outcome of the shard table write is unknown")

// resolveWrite finds out whether a write whose answer was lost took effect.
// While the platform still holds the old table, resolveWrite makes another
// write based on the same revision, after which the lost write can no longer
// take effect. Until the outcome is known, neither home may start a job in the
// shards. It returns errWriteUnknown only when ctx ends.
func (p *Placer) resolveWrite(ctx context.Context, unanswered table) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := p.resolveWriteOnce(call, unanswered)
		cancel()
		if err == nil {
			return nil
		}
		p.Log.Warn().Err(err).Msg("shard_table_write_unknown")
		select {
		case <-ctx.Done():
			return errWriteUnknown
		case <-time.After(watcher.Jitter(stepInterval)):
		}
	}
}

// resolveWriteOnce reads the table once. It returns nil if the outcome of the lost
// write is known; the held table is then the platform's.
func (p *Placer) resolveWriteOnce(ctx context.Context, unanswered table) error {
	kv, err := p.Store.Get(ctx, TableKey(unanswered.GetFailureDomain()))
	if err != nil {
		return err
	}
	current := &wire.ShardTable{}
	if err := protojson.Unmarshal(kv.Value, current); err != nil {
		return errors.Wrap(err, "decode the shard table")
	}
	if kv.Revision != unanswered.keyRevision {
		p.applyTable(table{current, kv.Revision, false})
		return nil
	}
	return p.writeTable(ctx, table{current, kv.Revision, false})
}
