package registrar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// fakeList is a VM list whose content the test sets and that fails on demand.
type fakeList struct {
	mu       sync.Mutex
	names    []string
	revision uint64
	down     bool
}

func (f *fakeList) VMs(context.Context, uint64) (*wire.VMList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("down")
	}
	l := &wire.VMList{Revision: f.revision}
	for _, n := range f.names {
		l.Vms = append(l.Vms, &wire.VM{Name: n})
	}
	return l, nil
}

func (f *fakeList) fail() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
}

func (f *fakeList) set(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = names
	f.revision++
}

func registered(name, incarnation string, at time.Time) platform.Event {
	data, _ := protojson.Marshal(&wire.Registration{Name: name, Incarnation: incarnation, StartedAt: timestamppb.New(at)})
	return platform.Event{KeyValue: platform.KeyValue{Key: platform.EntryPrefix + name, Value: data}}
}

func deleted(name string) platform.Event {
	return platform.Event{KeyValue: platform.KeyValue{Key: platform.EntryPrefix + name}, Deleted: true}
}

// TestConfirmedDeath checks which events confirm the death of an incarnation
// and which only make it suspect.
func TestConfirmedDeath(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *Registrar, l *fakeList)
		dead bool
	}{
		{"lives", func(*Registrar, *fakeList) {}, false},
		{"registration lapsed", func(r *Registrar, _ *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{deleted("a")}})
		}, false},
		{"no heartbeat for long", func(*Registrar, *fakeList) { time.Sleep(time.Hour) }, false},
		{"a newer incarnation registered", func(r *Registrar, _ *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{registered("a", "a2", time.Now().Add(time.Second))}})
		}, true},
		{"an older registration came late", func(r *Registrar, _ *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{registered("a", "a0", time.Now().Add(-time.Hour))}})
		}, false},
		{"VM gone, still registered", func(_ *Registrar, l *fakeList) {
			l.set("b", "c", "d")
			time.Sleep(2 * absenceLimit)
		}, false},
		{"VM gone and registration lapsed", func(r *Registrar, l *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{deleted("a")}})
			l.set("b", "c", "d")
			time.Sleep(2 * absenceLimit)
		}, true},
		{"VM gone for a moment", func(r *Registrar, l *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{deleted("a")}})
			l.set("b", "c", "d")
			time.Sleep(absenceLimit / 2)
		}, false},
		{"VM list empty", func(r *Registrar, l *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{deleted("a")}})
			l.set()
			time.Sleep(time.Hour)
		}, false},
		{"VM list shrunk sharply", func(r *Registrar, l *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{deleted("a")}})
			l.set("b")
			time.Sleep(absenceLimit / 2)
		}, false},
		{"VM list down", func(r *Registrar, l *fakeList) {
			r.Apply(watcher.Update{Events: []platform.Event{deleted("a")}})
			l.set("b", "c", "d")
			time.Sleep(10 * time.Second)
			l.fail()
			time.Sleep(time.Hour)
		}, false},
		{"platform went back in time", func(r *Registrar, _ *fakeList) {
			r.Apply(watcher.Update{Reset: true, Regressed: true})
			time.Sleep(time.Hour)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeList{}
				l.set("a", "b", "c", "d")
				r := &Registrar{Self: &wire.Registration{Name: "b"}, Lister: l, Log: zerolog.Nop()}
				ctx, cancel := context.WithCancel(t.Context())
				go runEvery(ctx, listInterval, r.readVMList)
				r.Apply(watcher.Update{Reset: true, Events: []platform.Event{registered("a", "a1", time.Now())}})
				time.Sleep(5 * time.Second)
				c.do(r, l)
				if got := r.Dead("a", "a1"); got != c.dead {
					t.Errorf("dead %v, want %v", got, c.dead)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestSuspectVMList checks that the last accepted list is kept while a new one is
// suspect.
func TestSuspectVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeList{}
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprint("vm", i))
		}
		l.set(names...)
		r := &Registrar{Self: &wire.Registration{}, Lister: l, Log: zerolog.Nop()}
		r.readVMList(t.Context())
		for _, c := range []struct{ listed, kept int }{{6, 6}, {2, 6}, {0, 6}, {5, 5}} {
			l.set(names[:c.listed]...)
			r.readVMList(t.Context())
			if n := len(r.VMs()); n != c.kept {
				t.Errorf("%d listed: %d kept, want %d", c.listed, n, c.kept)
			}
			if r.VMListSuspect() != (c.listed != c.kept) {
				t.Errorf("%d listed: suspect %v", c.listed, r.VMListSuspect())
			}
		}
	})
}

// TestLateReplyFromBeforeDrain guards against taking a draining entry for a live one
// because of a heartbeat reply that was written before its drain.
func TestLateReplyFromBeforeDrain(t *testing.T) {
	r := &Registrar{Self: &wire.Registration{Name: "b"}, Log: zerolog.Nop()}
	r.Apply(watcher.Update{Reset: true, Events: []platform.Event{registered("a", "a1", time.Now())}})
	r.Heard(&wire.Heartbeat{Name: "a", Incarnation: "a1", Draining: true})
	r.Heard(&wire.Heartbeat{Name: "a", Incarnation: "a1"})
	if m, _ := r.Member("a"); !m.Draining {
		t.Error("the entry counts as live again")
	}
	r.Apply(watcher.Update{Events: []platform.Event{registered("a", "a2", time.Now().Add(time.Second))}})
	if m, _ := r.Member("a"); m.Draining {
		t.Error("the entry counts as draining after its restart")
	}
}
