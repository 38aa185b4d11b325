package confirmer_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/confirmer"
	"radishweir.org/lib/divider"
)

// Guards against TWICE: what was read before a lease ended says nothing of who renewed it until
// then. Also guards against one read for each silent upstream.
func TestOnlyLaterReadsConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads, confirmed atomic.Int64
		var view atomic.Uint64
		var failing atomic.Bool
		view.Store(1)
		c := &confirmer.Confirmer{
			Read: func(context.Context) (divider.View, error) {
				reads.Add(1)
				time.Sleep(4 * time.Millisecond)
				if failing.Load() {
					return 0, errors.New("no answer")
				}
				return divider.View(view.Load()), nil
			},
			Known: func() divider.View { return 1 }, Confirmed: func() { confirmed.Add(1) }, Log: zerolog.Nop(),
		}
		check := func(what string, at time.Time, want bool) {
			t.Helper()
			for range 100 {
				c.ConfirmedSince(t.Context(), at)
			}
			time.Sleep(200 * time.Millisecond)
			if got := c.ConfirmedSince(t.Context(), at); got != want {
				t.Errorf("%s: confirmed is %v, want %v", what, got, want)
			}
			time.Sleep(200 * time.Millisecond)
		}
		check("first read", time.Now().Add(-time.Millisecond), true)
		check("earlier time", time.Now().Add(-time.Minute), true)
		if reads.Load() != 1 || confirmed.Load() != 1 {
			t.Errorf("%d reads, %d of them confirmed, want 1 and 1", reads.Load(), confirmed.Load())
		}
		view.Store(2)
		check("another view", time.Now(), false)
		view.Store(1)
		failing.Store(true)
		check("no answer", time.Now(), false)
		failing.Store(false)
		check("the known view again", time.Now().Add(-time.Millisecond), true)
	})
}
