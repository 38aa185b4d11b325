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

// ledger keeps what the keepers of all entries hold, and judges that no shard
// is served by two of them.
type ledger struct {
	mu      sync.Mutex
	serving map[placer.Shard]map[string]bool
	epochs  map[placer.Shard]uint64
	worst   int
	staged  int
}

func newLedger() *ledger {
	return &ledger{serving: map[placer.Shard]map[string]bool{}, epochs: map[placer.Shard]uint64{}}
}

func (l *ledger) set(s placer.Shard, name string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.serving[s] == nil {
		l.serving[s] = map[string]bool{}
	}
	delete(l.serving[s], name)
	if on {
		l.serving[s][name] = true
	}
	l.worst = max(l.worst, len(l.serving[s]))
}

// served counts the shards that the named entry serves.
func (l *ledger) served(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, who := range l.serving {
		if who[name] {
			n++
		}
	}
	return n
}

// keeper is a placer.Keeper that reports to the ledger.
type keeper struct {
	*ledger
	name string
}

func (k *keeper) Open(s placer.Shard, o *wire.ShardOwner) {
	k.set(s, k.name, true)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.epochs[s] = o.GetEpoch()
}

func (k *keeper) Pause(shards []placer.Shard) []*wire.ShardRecords {
	var out []*wire.ShardRecords
	for _, s := range shards {
		k.set(s, k.name, false)
		out = append(out, &wire.ShardRecords{Shard: s.String()})
	}
	return out
}

func (k *keeper) Resume(shards []placer.Shard) {
	for _, s := range shards {
		k.set(s, k.name, true)
	}
}
func (*keeper) Release([]placer.Shard) {}
func (*keeper) Stage(*wire.Handover)   {}

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

// stager accepts every handover message.
type stager struct{}

func (stager) Call(context.Context, entry.Peer, *wire.Envelope) (*wire.Reply, error) {
	return &wire.Reply{}, nil
}

// domain is a failure domain of placers on one platform.
type domain struct {
	*ledger
	*members
	t     *testing.T
	plat  *platformer.Platform
	store platform.Store
}

func newDomain(t *testing.T) *domain {
	d := &domain{ledger: newLedger(), members: &members{dead: map[string]bool{}}, t: t}
	d.plat, d.store = stand(t)
	return d
}

// join starts the placer of a new entry. The function returned stops its own
// assigning, as a drain does, while it goes on watching.
func (d *domain) join(name string) (*placer.Placer, context.CancelFunc) {
	p := &placer.Placer{
		Self: d.add(name), Store: d.store, Members: d.members, Tracker: &keeper{d.ledger, name}, Caller: stager{}, Log: zerolog.Nop(),
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

// settle waits until the named entries serve all shards, each its part.
func (d *domain) settle(names ...string) {
	d.t.Helper()
	var got string
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		total, fair := 0, true
		got = ""
		for _, n := range names {
			k := d.served(n)
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

// once fails the test if two entries ever served one shard.
func (d *domain) once() {
	d.t.Helper()
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	if d.worst > 1 {
		d.t.Errorf("%d entries served one shard at a time", d.worst)
	}
}

// TestHomes assigns and hands over shards while the platform fails in each way.
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
			d.settle("a")
			b, stopB := d.join("b")
			d.settle("a", "b")
			d.join("c")
			d.settle("a", "b", "c")
			d.drain("b")
			stopB()
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			for b.Drain(ctx) != nil && ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond)
			}
			d.settle("a", "c")
			d.once()
		})
	}
}

// TestOutageDuringHandover cuts the platform off while shards move.
func TestOutageDuringHandover(t *testing.T) {
	d := newDomain(t)
	d.join("a")
	d.settle("a")
	d.plat.SetFaults(platformer.Faults{Down: true})
	d.join("b")
	time.Sleep(time.Second)
	if n := d.served("a"); n != placer.ShardsPerDomain {
		t.Errorf("a serves %d shards in the outage", n)
	}
	d.plat.SetFaults(platformer.Faults{LoseWrites: true})
	time.AfterFunc(50*time.Millisecond, func() { d.plat.SetFaults(platformer.Faults{Down: true}) })
	time.Sleep(time.Second)
	d.plat.SetFaults(platformer.Faults{})
	d.settle("a", "b")
	d.once()
}

// TestTakeover assigns the shards of a dead home in a new epoch.
func TestTakeover(t *testing.T) {
	d := newDomain(t)
	d.join("a")
	d.settle("a")
	pb, _ := d.join("b")
	d.settle("a", "b")
	var lost []placer.Shard
	for i := range placer.ShardsPerDomain {
		s := placer.Shard{FailureDomain: "north", Number: i}
		if o, _ := pb.Owner(s); o.GetName() == "a" {
			lost = append(lost, s)
		}
	}
	before := d.epochs[lost[0]]
	d.kill("a")
	for end := time.Now().Add(5 * time.Second); d.served("b") < placer.ShardsPerDomain && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	for _, s := range lost {
		if d.epochs[s] <= before {
			t.Fatalf("shard %v: epoch %d after %d", s, d.epochs[s], before)
		}
	}
}

// TestTableRestored shows that a table that the platform lost is written again.
func TestTableRestored(t *testing.T) {
	d := newDomain(t)
	d.join("a")
	d.settle("a")
	old := d.plat.Revision()
	d.join("b")
	d.settle("a", "b")
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
	d.settle("a", "b", "c")
	d.once()
}

// lateStore loses the first change of a table that gives shards to "b". The
// change reaches the platform only when late is called.
type lateStore struct {
	platform.Store
	mu   sync.Mutex
	held []platform.Write
}

func (l *lateStore) Swap(ctx context.Context, writes ...platform.Write) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil && strings.Contains(string(writes[0].Value), `"b-1"`) {
		l.held = writes
		return 0, platform.ErrUnknown
	}
	return l.Store.Swap(ctx, writes...)
}

// TestLateWrite shows that a handover's write whose answer was lost cannot take
// effect after the old home has gone on.
func TestLateWrite(t *testing.T) {
	d := newDomain(t)
	late := &lateStore{Store: d.store}
	d.store = late
	a, stop := d.join("a")
	d.settle("a")
	stop()
	time.Sleep(time.Second)
	d.add("b")
	a.Step(context.Background())
	if n := d.served("a"); late.held == nil || n != placer.ShardsPerDomain {
		t.Fatalf("held %v, a serves %d", late.held != nil, n)
	}
	if _, err := late.Store.Swap(context.Background(), late.held...); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("the late write took effect while a served every shard: %v", err)
	}
}
