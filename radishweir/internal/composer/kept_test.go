package composer

import (
	"testing"
	"testing/synctest"
	"time"
)

// The jobs of a killed entry were counted for 10 s, also if its holder stayed in the
// store for longer, as it does after an outage. Once the holder is gone they count until the
// entry that takes them over can have read their records.
func TestJobsOfSilentEntryArePendingUntilItsHolderIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, held := &pending{}, true
		var goneAt time.Time
		hadHolder := func(entry string, after time.Time) bool { return entry == "entry-2" && (held || goneAt.After(after)) }
		p.put("entry-2", map[string]int64{"check": 5})
		p.put("entry-3", map[string]int64{"check": 3})
		for _, c := range []struct {
			after time.Duration
			held  bool
			want  int64
		}{
			{time.Second, true, 8},
			{8 * time.Second, true, 5},
			{20 * time.Second, true, 5},
			{0, false, 5},
			{1900 * time.Millisecond, false, 5},
			{100 * time.Millisecond, false, 0},
		} {
			time.Sleep(c.after)
			if held && !c.held {
				goneAt = time.Now()
			}
			held = c.held
			if got := p.sum("check", hadHolder); got != c.want {
				t.Errorf("%d jobs pending %v later with holder=%v, want %d", got, c.after, c.held, c.want)
			}
		}
	})
}
