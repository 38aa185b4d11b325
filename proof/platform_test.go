package proof

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/configurer"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
	"radishweir.org/standin/platformer"
)

// newPlatform starts a stand-in for the platform inside the test process.
func newPlatform(t *testing.T) (*platformer.Platform, *platform.Etcd) {
	t.Helper()
	p := platformer.New()
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.CloseClientConnections)
	return p, platform.NewEtcd([]string{strings.TrimPrefix(s.URL, "http://")}, nil)
}

// newFollower returns a configurer that follows the platform's configuration.
func newFollower(t *testing.T, store platform.Store) *configurer.Configurer {
	t.Helper()
	c := &configurer.Configurer{Store: store, Log: zerolog.Nop()}
	w := &watcher.Watcher{Store: store, Prefix: platform.Prefix, Log: zerolog.Nop()}
	w.On(platform.ConfigurationPrefix, c.Apply)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

func newConfiguration(name string) *wire.ServiceConfiguration {
	return &wire.ServiceConfiguration{Service: name, FailureDomains: []string{"north"}}
}

func applyConfiguration(store platform.Store, author string) (*wire.ServiceConfiguration, error) {
	s := newConfiguration("claims")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a := configurer.Applier{Store: store, Author: author}
	return s, a.Apply(ctx, s)
}

// awaitRevision waits until a revision is in force.
func awaitRevision(t *testing.T, c *configurer.Configurer, revision uint64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c.Service("claims").GetRevision() == revision {
			return
		}
	}
	t.Fatalf("revision %d is in force, want %d", c.Service("claims").GetRevision(), revision)
}

// TestApply checks what an operator is told about a change while the platform
// fails.
func TestApply(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   platformer.Faults
		accepted bool
		known    bool
	}{
		{"works", platformer.Faults{}, true, true},
		{"slow", platformer.Faults{SlowMS: 300}, true, true},
		{"every answer lost", platformer.Faults{LoseWrites: true}, true, true},
		{"answer lost, then down", platformer.Faults{LoseWrites: true, DownAfterWrite: true}, true, false},
		{"down", platformer.Faults{Down: true}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, store := newPlatform(t)
			p.SetFaults(c.faults)
			s, err := applyConfiguration(store, "a")
			if unsettled := errors.Is(err, configurer.ErrOutcomeUnknown); unsettled == c.known {
				t.Fatalf("%v, want a known outcome: %v", err, c.known)
			}
			p.SetFaults(platformer.Faults{})
			now, _, readErr := configurer.Current(context.Background(), store, "claims")
			if readErr != nil {
				t.Fatal(readErr)
			}
			if got := now.GetWriteId() == s.GetWriteId() && s.GetWriteId() != ""; got != c.accepted {
				t.Errorf("stored in the platform: %v, want %v", got, c.accepted)
			}
			if c.known && (err == nil) != c.accepted {
				t.Errorf("the operator was told %v", err)
			}
		})
	}
}

// TestRacingOperators checks that of several racing operators one wins each
// revision, that the others are told who won, and that each accepted change was
// in force, as the history shows.
func TestRacingOperators(t *testing.T) {
	for _, faults := range []platformer.Faults{{}, {LoseWrites: true}, {SlowMS: 20}} {
		p, store := newPlatform(t)
		p.SetFaults(faults)
		var mu sync.Mutex
		accepted := map[uint64]string{}
		var wg sync.WaitGroup
		for _, author := range []string{"a", "b", "c", "d"} {
			wg.Go(func() {
				s, err := applyConfiguration(store, author)
				var race *configurer.ConflictError
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil && accepted[s.GetRevision()] != "":
					t.Errorf("%s and %s were both told that their change is revision %d", author, accepted[s.GetRevision()], s.GetRevision())
				case err == nil:
					accepted[s.GetRevision()] = author
				case !errors.As(err, &race) || race.Current.GetAuthor() == "" || race.Current.GetAuthor() == author:
					t.Errorf("%s: %v", author, err)
				}
			})
		}
		wg.Wait()
		p.SetFaults(platformer.Faults{})
		for rev, author := range accepted {
			kv, err := store.Get(context.Background(), configurer.HistoryKey("claims", rev))
			if err != nil {
				t.Fatal(err)
			}
			past, err := configurer.Decode(kv.Value)
			if err != nil || past.GetAuthor() != author {
				t.Errorf("revision %d: history says %s, accepted for %s (%v)", rev, past.GetAuthor(), author, err)
			}
		}
		if len(accepted) == 0 {
			t.Error("no change was accepted")
		}
	}
}

// TestNeverReverts checks that an entry keeps the highest revision, whatever the way
// in which a lower one arrives.
func TestNeverReverts(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(p *platformer.Platform, store platform.Store, old int64)
	}{
		{"platform restored from a backup", func(p *platformer.Platform, _ platform.Store, old int64) { p.Restore(old) }},
		{"platform lost everything", func(p *platformer.Platform, _ platform.Store, _ int64) { p.Restore(1) }},
		{"key deleted", func(_ *platformer.Platform, store platform.Store, _ int64) {
			_, _ = store.Swap(context.Background(), platform.Write{Key: configurer.Key("claims"), Delete: true, Unconditional: true})
		}},
		{"lower revision written by hand", func(_ *platformer.Platform, store platform.Store, _ int64) {
			s := newConfiguration("claims")
			s.Revision = 1
			data, _ := configurer.Encode(s)
			_, _ = store.Swap(context.Background(), platform.Write{Key: configurer.Key("claims"), Value: data, Unconditional: true})
		}},
		{"history compacted while the watch was cut", func(p *platformer.Platform, _ platform.Store, _ int64) {
			p.SetFaults(platformer.Faults{Down: true})
			p.Compact()
			p.SetFaults(platformer.Faults{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, store := newPlatform(t)
			f := newFollower(t, store)
			if _, err := applyConfiguration(store, "a"); err != nil {
				t.Fatal(err)
			}
			old := p.Revision()
			for range 2 {
				if _, err := applyConfiguration(store, "a"); err != nil {
					t.Fatal(err)
				}
			}
			awaitRevision(t, f, 3)
			c.do(p, store, old)
			end := time.Now().Add(8 * time.Second)
			for time.Now().Before(end) {
				if r := f.Service("claims").GetRevision(); r != 3 {
					t.Fatalf("revision %d is in force", r)
				}
				if now, _, err := configurer.Current(context.Background(), store, "claims"); err == nil && now.GetRevision() == 3 {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			s, err := applyConfiguration(store, "b")
			if err != nil || s.GetRevision() != 4 {
				t.Fatalf("the platform did not get revision 3 back: next is %d, %v", s.GetRevision(), err)
			}
			awaitRevision(t, f, 4)
		})
	}
}

// TestSilentWatch checks that a watch that stays open without any event is replaced
// within the 10 s in which a change must be in force.
func TestSilentWatch(t *testing.T) {
	p, store := newPlatform(t)
	f := newFollower(t, store)
	if _, err := applyConfiguration(store, "a"); err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, f, 1)
	p.SetFaults(platformer.Faults{SilentWatches: true})
	if _, err := applyConfiguration(store, "a"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if f.Service("claims").GetRevision() != 1 {
		t.Fatal("the watch is not silent")
	}
	awaitRevision(t, f, 2)
}
