package confirmer_test

import (
	"context"
	"errors"
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
		reads, confirmed := 0, 0
		view, err := divider.View(1), error(nil)
		c := &confirmer.Confirmer{
			Read: func(context.Context) (divider.View, error) {
				reads++
				time.Sleep(4 * time.Millisecond)
				return view, err
			},
			Known: func() divider.View { return 1 }, Confirmed: func() { confirmed++ }, Log: zerolog.Nop(),
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
		if reads != 1 || confirmed != 1 {
			t.Errorf("%d reads, %d of them confirmed, want 1 and 1", reads, confirmed)
		}
		view = 2
		check("another view", time.Now(), false)
		view, err = 1, errors.New("no answer")
		check("no answer", time.Now(), false)
		err = nil
		check("the known view again", time.Now().Add(-time.Millisecond), true)
	})
}
