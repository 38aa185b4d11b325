package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/entry"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
	"radishweir.org/standin/platformer"
)

// shardRecorder records which entries serve each shard, and the highest number of
// entries that served one shard at the same time.
type shardRecorder struct {
	mu         sync.Mutex
	serving    map[placer.Shard]map[string]bool
	epochs     map[placer.Shard]uint64
	maxServing int
	staged     int
}

func newShardRecorder() *shardRecorder {
	return &shardRecorder{serving: map[placer.Shard]map[string]bool{}, epochs: map[placer.Shard]uint64{}}
}

func (r *shardRecorder) set(s placer.Shard, name string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving[s] == nil {
		r.serving[s] = map[string]bool{}
	}
	delete(r.serving[s], name)
	if on {
		r.serving[s][name] = true
	}
	r.maxServing = max(r.maxServing, len(r.serving[s]))
}

// servedBy counts the shards that the named entry serves.
func (r *shardRecorder) servedBy(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, who := range r.serving {
		if who[name] {
			n++
		}
	}
	return n
}

// recordingTracker is a placer.Tracker that reports to a shardRecorder.
type recordingTracker struct {
	*shardRecorder
	name string
}

func (k *recordingTracker) Open(s placer.Shard, o *wire.ShardOwner) {
	k.set(s, k.name, true)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.epochs[s] = o.GetEpoch()
}

func (k *recordingTracker) Pause(shards []placer.Shard) []*wire.ShardRecords {
	var out []*wire.ShardRecords
	for _, s := range shards {
		k.set(s, k.name, false)
		out = append(out, &wire.ShardRecords{Shard: s.String()})
	}
	return out
}

func (k *recordingTracker) Resume(shards []placer.Shard) {
	for _, s := range shards {
		k.set(s, k.name, true)
	}
}
func (*recordingTracker) Release([]placer.Shard) {}
func (*recordingTracker) Stage(*wire.Handover)   {}

// members is a member list that the test sets.
type members struct {
	mu   sync.Mutex
	list []registrar.Member
	dead map[string]bool
}

func (m *members) Members() []registrar.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]registrar.Member(nil), m.list...)
}

func (m *members) Dead(_, incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead[incarnation]
}

func (m *members) add(name string) *wire.Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := &wire.Registration{Name: name, Incarnation: name + "-1", FailureDomain: "north"}
	m.list = append(m.list, registrar.Member{Registration: g, Registered: true, ReachableUntil: time.Now().Add(time.Hour)})
	return g
}

func (m *members) kill(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead[name+"-1"] = true
	for i, x := range m.list {
		if x.GetName() == name {
			m.list = append(m.list[:i], m.list[i+1:]...)
			return
		}
	}
}

func (m *members) drain(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, x := range m.list {
		if x.GetName() == name {
			m.list[i].Draining = true
		}
	}
}

// acceptingCaller is a placer.Caller that accepts every message.
type acceptingCaller struct{}

func (acceptingCaller) Call(context.Context, entry.Peer, *wire.Envelope) (*wire.Reply, error) {
	return &wire.Reply{}, nil
}

// domain is a failure domain with several placers on one platform.
type domain struct {
	*shardRecorder
	*members
	t     *testing.T
	plat  *platformer.Platform
	store platform.Store
}

func newDomain(t *testing.T) *domain {
	d := &domain{shardRecorder: newShardRecorder(), members: &members{dead: map[string]bool{}}, t: t}
	d.plat, d.store = newPlatform(t)
	return d
}

// join adds an entry and starts its placer. The returned function stops the
// placer's assignments, as a drain does, while the placer keeps watching.
func (d *domain) join(name string) (*placer.Placer, context.CancelFunc) {
	p := &placer.Placer{
		Self: d.add(name), Store: d.store, Members: d.members, Tracker: &recordingTracker{d.shardRecorder, name}, Caller: acceptingCaller{}, Log: zerolog.Nop(),
	}
	w := &watcher.Watcher{Store: d.store, Prefix: platform.Prefix, Log: zerolog.Nop()}
	w.On(platform.ShardPrefix, p.Apply)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	assigning, stop := context.WithCancel(ctx)
	wg.Go(func() { p.Run(assigning) })
	d.t.Cleanup(func() { cancel(); wg.Wait() })
	return p, stop
}

// awaitServed waits until the named entries serve all shards, each at least its
// fair share.
func (d *domain) awaitServed(names ...string) {
	d.t.Helper()
	var got string
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		total, fair := 0, true
		got = ""
		for _, n := range names {
			k := d.servedBy(n)
			total += k
			fair = fair && k >= placer.ShardsPerDomain/len(names)
			got += fmt.Sprintf(" %s %d", n, k)
		}
		if total == placer.ShardsPerDomain && fair {
			return
		}
	}
	d.t.Fatalf("shards served:%s", got)
}

// checkSingleServer fails the test if two entries ever served a shard at the same
// time.
func (d *domain) checkSingleServer() {
	d.t.Helper()
	d.shardRecorder.mu.Lock()
	defer d.shardRecorder.mu.Unlock()
	if d.maxServing > 1 {
		d.t.Errorf("%d entries served one shard at a time", d.maxServing)
	}
}

// TestHomes assigns and hands over shards under each fault of the platform.
func TestHomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platformer.Faults
	}{
		{"works", platformer.Faults{}},
		{"slow", platformer.Faults{SlowMS: 100}},
		{"every answer to a write lost", platformer.Faults{LoseWrites: true}},
		{"watches silent", platformer.Faults{SilentWatches: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDomain(t)
			d.plat.SetFaults(c.faults)
			d.join("a")
			d.awaitServed("a")
			b, stopB := d.join("b")
			d.awaitServed("a", "b")
			d.join("c")
			d.awaitServed("a", "b", "c")
			d.drain("b")
			stopB()
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			for b.Drain(ctx) != nil && ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond)
			}
			d.awaitServed("a", "c")
			d.checkSingleServer()
		})
	}
}

// TestOutageDuringHandover makes the platform fail during a handover.
func TestOutageDuringHandover(t *testing.T) {
	d := newDomain(t)
	d.join("a")
	d.awaitServed("a")
	d.plat.SetFaults(platformer.Faults{Down: true})
	d.join("b")
	least := placer.ShardsPerDomain
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		least = min(least, d.servedBy("a"))
	}
	if least != placer.ShardsPerDomain {
		t.Errorf("a serves %d shards in the outage", least)
	}
	d.plat.SetFaults(platformer.Faults{LoseWrites: true})
	time.AfterFunc(50*time.Millisecond, func() { d.plat.SetFaults(platformer.Faults{Down: true}) })
	time.Sleep(time.Second)
	d.plat.SetFaults(platformer.Faults{})
	d.awaitServed("a", "b")
	d.checkSingleServer()
}

// TestTakeover assigns the shards of a dead home in a new epoch.
func TestTakeover(t *testing.T) {
	d := newDomain(t)
	d.join("a")
	d.awaitServed("a")
	pb, _ := d.join("b")
	d.awaitServed("a", "b")
	var lost []placer.Shard
	for i := range placer.ShardsPerDomain {
		s := placer.Shard{FailureDomain: "north", Number: i}
		if o, _ := pb.Owner(s); o.GetName() == "a" {
			lost = append(lost, s)
		}
	}
	before := d.epochs[lost[0]]
	d.kill("a")
	for end := time.Now().Add(5 * time.Second); d.servedBy("b") < placer.ShardsPerDomain && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	d.shardRecorder.mu.Lock()
	defer d.shardRecorder.mu.Unlock()
	for _, s := range lost {
		if d.epochs[s] <= before {
			t.Fatalf("shard %v: epoch %d after %d", s, d.epochs[s], before)
		}
	}
}

// TestTableRestored checks that entries write a table again that the platform has
// lost.
func TestTableRestored(t *testing.T) {
	d := newDomain(t)
	d.join("a")
	d.awaitServed("a")
	old := d.plat.Revision()
	d.join("b")
	d.awaitServed("a", "b")
	d.plat.Restore(old)
	for end := time.Now().Add(8 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		kv, err := d.store.Get(context.Background(), placer.TableKey("north"))
		if err == nil && strings.Contains(string(kv.Value), `"b-1"`) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the lost table was not written again")
		}
	}
	d.join("c")
	d.awaitServed("a", "b", "c")
	d.checkSingleServer()
}

// lateStore delays the first write of a table that gives shards to "b" and reports
// an unknown outcome. The test sends the delayed write to the platform later.
type lateStore struct {
	platform.Store
	mu      sync.Mutex
	delayed []platform.Write
}

func (l *lateStore) Swap(ctx context.Context, writes ...platform.Write) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delayed == nil && strings.Contains(string(writes[0].Value), `"b-1"`) {
		l.delayed = writes
		return 0, platform.ErrUnknown
	}
	return l.Store.Swap(ctx, writes...)
}

// TestLateWrite checks that a handover's write of unknown outcome cannot take effect
// after the old home has resumed serving its shards.
func TestLateWrite(t *testing.T) {
	d := newDomain(t)
	late := &lateStore{Store: d.store}
	d.store = late
	a, stop := d.join("a")
	d.awaitServed("a")
	stop()
	time.Sleep(time.Second)
	d.add("b")
	a.Step(context.Background())
	if n := d.servedBy("a"); late.delayed == nil || n != placer.ShardsPerDomain {
		t.Fatalf("delayed %v, a serves %d", late.delayed != nil, n)
	}
	if _, err := late.Store.Swap(context.Background(), late.delayed...); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("the late write took effect while a served every shard: %v", err)
	}
}
