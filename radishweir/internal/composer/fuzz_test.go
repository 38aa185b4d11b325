package composer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
	adapter "radishweir.org/platform"
)

// testSettings returns settings of an entry whose servers are not started.
func testSettings() *Settings {
	return &Settings{
		Name: "entry-1", FailureDomain: "domain-1", EntryAddress: "127.0.0.1:0", PlatformAddress: "127.0.0.1:1",
		StoreWrites: 400, LogLevel: "error", Cores: "1", FarFactor: "1.5", MemoryMB: 256, BalancerWait: "1s", DrainLimit: "5s",
	}
}

// newFuzzEntry returns an entry that owns one upstream and has an open job, without
// servers or a store.
func newFuzzEntry(f *testing.F) *Entry {
	f.Helper()
	e, err := New(testSettings(), zerolog.Nop(), &atomic.Int64{})
	if err != nil {
		f.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	e.ctx = ctx
	e.coordinator.Init(ctx)
	e.keeper.SetKeptJobsExist()
	e.runner.Client = silentClient{}
	u := runner.Upstream{Name: "u1", Service: "claims", Capacity: packer.Amount{CPU: 16000, Memory: 1024}}
	e.coordinator.SetUpstreams([]runner.Upstream{u})
	e.runner.SetOwned(ctx, 1, []runner.Upstream{u})
	e.Up("entry-2", 1)
	now := time.Now()
	go e.coordinator.Submit(ctx, coordinator.Job{
		ID: "a", Kind: "check", Service: "claims", Arrived: now, Due: now.Add(time.Hour), Deadline: now.Add(time.Hour), MaxFailures: 3,
		Steps: []coordinator.Step{{Tasks: 2, Need: packer.Amount{CPU: 1000, Memory: 1}, Expected: time.Second}},
	})
	return e
}

// silentClient answers no order.
type silentClient struct{}

func (silentClient) Start(ctx context.Context, _ runner.Upstream, _ runner.Order) (runner.Report, error) {
	<-ctx.Done()
	return runner.Report{}, ctx.Err()
}

func (silentClient) Stop(ctx context.Context, _ runner.Upstream, _ runner.Order) (runner.Report, error) {
	<-ctx.Done()
	return runner.Report{}, ctx.Err()
}

func (silentClient) Poll(ctx context.Context, _ runner.Upstream, _ runner.Poll) (runner.Report, error) {
	<-ctx.Done()
	return runner.Report{}, ctx.Err()
}

// No frame of a peer may end the process.
func FuzzFrame(f *testing.F) {
	e := newFuzzEntry(f)
	for _, seed := range []*wire.PeerFrame{
		{Requests: []*wire.RunRequest{{Upstream: "u1", Task: "b.0.0.0", Run: 1, Amount: &wire.Amount{Cpu: 1000}}}},
		{Requests: []*wire.RunRequest{{Upstream: "u1", Task: "", Attach: true}}, Cancels: []*wire.RunCancel{{Upstream: "u1"}}},
		{Ends: []*wire.RunEnd{{Task: "a.0.0.0", Run: 1, Upstream: "u1", Cause: wire.RunEnd_done}, {Task: "a.0.9.-1"}, {}}},
		{Upstreams: []*wire.UpstreamState{{Upstream: "u1", Free: &wire.Amount{Cpu: -1}, Slowness: -1, Usable: true, Token: 9}, {}}, Whole: true},
		{Taken: 1 << 63, TakenSession: 1, Safe: []*wire.RunSafe{{Upstream: "u1"}}, Claims: []*wire.Holder{{Holder: "x@1"}}, Claimed: []*wire.Holder{{}}},
		{Notices: []*wire.KeptNotice{{Job: "a", CancelledAt: 1, Holder: "entry-1@1"}, {Job: "b", CancelledAt: -1}, {CancelledAt: 1 << 62, Holder: "@"}}, Released: []string{"a", ""}},
		{Notices: []*wire.KeptNotice{{Job: "a"}}, Pending: map[string]int64{"check": -1}, Keeping: true},
		{ListSubscription: 1, ListFrom: -1, ListUpdate: &wire.ListUpdate{Whole: true, Items: []*wire.ListItem{{Key: adapter.UpstreamPrefix + "u2", Value: []byte("{")}}}},
	} {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame := &wire.PeerFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		e.Frame("entry-2", frame)
		e.coordinator.Pass(time.Now())
		out := &wire.PeerFrame{Whole: true}
		e.Complete("entry-2", out, nil)
		if _, err := proto.Marshal(out); err != nil {
			panic(err)
		}
	})
}

// No registration of an upstream that a reader relays may end the process.
func FuzzListUpdate(f *testing.F) {
	e := newFuzzEntry(f)
	f.Add(adapter.UpstreamPrefix+"u1", []byte(`{"service":"claims","address":"127.0.0.1:1"}`), false)
	f.Add("", []byte("null"), true)
	f.Fuzz(func(_ *testing.T, key string, value []byte, reset bool) {
		u := watcher.Update{Reset: reset, Revision: 1, Events: []platform.Event{{KeyValue: platform.KeyValue{Key: key, Value: value}}}}
		e.roster.Apply(u)
		e.coordinator.Pass(time.Now())
	})
}
