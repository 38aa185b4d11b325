package enroller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/enroller"
	"radishweir.org/lib/wire"
)

// hungStore is a store whose calls hang until their context ends.
type hungStore struct {
	store
	hangs atomic.Bool
}

func (s *hungStore) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	if s.hangs.Load() {
		<-ctx.Done()
		return false, errors.New("no answer")
	}
	return s.store.KeepAlive(ctx, lease)
}

// Guards against two holders at work: calls that hang must not hold up the loss of the
// registration and of the holder, as other entries go by the end of the leases.
func TestLeasesLapseOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hungStore{}
		lost, lapsed := make(chan time.Time, 1), make(chan time.Time, 1)
		e := &enroller.Enroller{Self: &wire.Registration{Name: "me", Incarnation: "1"}, Store: s, Changed: func() {}, Log: zerolog.Nop()}
		ctx, cancel := context.WithCancel(t.Context())
		e.HolderLost = func() { lost <- time.Now() }
		e.RegistrationLapsed = func() { lapsed <- time.Now() }
		if _, err := e.EnsureHolder(ctx); err != nil {
			t.Fatal(err)
		}
		go e.Run(ctx)
		time.Sleep(5 * time.Second)
		if !e.HoldsRegistration() || e.Holder() == "" {
			t.Fatal("the registration or the holder is lost while the store answers")
		}
		s.hangs.Store(true)
		hung := time.Now()
		if took := (<-lapsed).Sub(hung); took > 2*time.Second || e.HoldsRegistration() {
			t.Errorf("the registration lapsed after %v (held: %v), want at most 2 s", took, e.HoldsRegistration())
		}
		if took := (<-lost).Sub(hung); took > 8*time.Second || e.Holder() != "" {
			t.Errorf("the holder %q was lost after %v, want none after at most 8 s", e.Holder(), took)
		}
		cancel()
		synctest.Wait()
	})
}
