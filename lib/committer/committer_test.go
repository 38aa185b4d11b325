package committer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/committer"
	"radishweir.org/lib/platform"
)

// store is an in-memory store. fail, if set, decides for the n-th transaction
// whether it is carried out and which error it returns.
type store struct {
	platform.Store
	mu       sync.Mutex
	revision int64
	items    map[string]platform.KeyValue
	batches  []int
	fail     func(n int) (carriedOut bool, err error)
}

func (s *store) Get(_ context.Context, key string) (platform.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key], nil
}

func (s *store) Swap(_ context.Context, writes ...platform.Write) (int64, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches = append(s.batches, len(writes))
	carriedOut, err := true, error(nil)
	if s.fail != nil {
		carriedOut, err = s.fail(len(s.batches))
	}
	if !carriedOut {
		return 0, err
	}
	for _, w := range writes {
		if s.items[w.Key].Revision != w.Expected {
			return 0, platform.ErrConflict
		}
	}
	s.revision++
	for _, w := range writes {
		s.items[w.Key] = platform.KeyValue{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	return s.revision, err
}

// commitAll commits writes of the given keys at once and returns their results.
func commitAll(t *testing.T, s *store, keys ...string) map[string]error {
	t.Helper()
	got := make(map[string]error)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &committer.Committer{Store: s, Log: zerolog.Nop()}
		var mu sync.Mutex
		for _, key := range keys {
			c.Commit(platform.Write{Key: key, Value: []byte("v " + key)}, func(_ int64, err error) {
				mu.Lock()
				defer mu.Unlock()
				got[key] = err
			})
		}
		go c.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
	})
	return got
}

// keys returns n distinct keys.
func keys(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("k%02d", i)
	}
	return out
}

// Queued writes must be combined into as few transactions as batchLimit allows.
func TestBatching(t *testing.T) {
	s := &store{items: make(map[string]platform.KeyValue)}
	got := commitAll(t, s, keys(40)...)
	if len(got) != 40 || len(s.items) != 40 || len(s.batches) != 3 {
		t.Errorf("%d results, %d keys, batches %v; want 40, 40 and three batches", len(got), len(s.items), s.batches)
	}
}

// A conflict must fail only its own write, not the others of the batch.
func TestConflict(t *testing.T) {
	s := &store{items: map[string]platform.KeyValue{"k03": {Key: "k03", Value: []byte("other"), Revision: 1}}, revision: 1}
	got := commitAll(t, s, keys(8)...)
	for key, err := range got {
		if want := key == "k03"; (err == platform.ErrConflict) != want || (err == nil) == want {
			t.Errorf("%s: %v", key, err)
		}
	}
	if string(s.items["k03"].Value) != "other" {
		t.Error("the value of the other write was overwritten")
	}
}

// A transaction that the store refused must be reported without a retry.
func TestRefused(t *testing.T) {
	s := &store{items: make(map[string]platform.KeyValue), fail: func(int) (bool, error) { return false, platform.ErrUnavailable }}
	if got := commitAll(t, s, keys(3)...); len(got) != 3 || got["k00"] != platform.ErrUnavailable || len(s.batches) != 1 {
		t.Errorf("results %v, batches %v; want platform.ErrUnavailable for three writes after one batch", got, s.batches)
	}
}

// Writes of a transaction whose answer was lost must succeed, whether or not the
// transaction was carried out.
func TestLostAnswer(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		s := &store{items: make(map[string]platform.KeyValue), fail: func(n int) (bool, error) {
			if n == 1 {
				return carriedOut, platform.ErrUnknown
			}
			return true, nil
		}}
		got := commitAll(t, s, keys(3)...)
		for key, err := range got {
			if err != nil || s.items[key].Revision == 0 {
				t.Errorf("carriedOut=%v: write of %s: %v; want it stored without an error", carriedOut, key, err)
			}
		}
		if len(got) != 3 {
			t.Errorf("%d results, want 3", len(got))
		}
	}
}

// Guards against an acknowledged write that another one of the same key revokes: both expect the
// same revision and go into one transaction.
func TestWritesOfOneKeyConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &store{items: make(map[string]platform.KeyValue)}
		c := &committer.Committer{Store: s, Log: zerolog.Nop()}
		var results []error
		for _, value := range []string{"cancelled", "complete"} {
			c.Commit(platform.Write{Key: "a", Value: []byte(value)}, func(_ int64, err error) { results = append(results, err) })
			c.Commit(platform.Write{Key: "b " + value}, func(int64, error) {})
		}
		go c.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		if len(results) != 2 || results[0] != nil || results[1] != platform.ErrConflict || string(s.items["a"].Value) != "cancelled" {
			t.Errorf("results %v and value %q, want one success, a conflict and the value of the first", results, s.items["a"].Value)
		}
	})
}
