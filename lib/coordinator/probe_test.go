package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
)

// Guards against callers whose declared run times are far too short: the measured slowness of
// all upstreams grows, so that jobs of other callers seem to be late and are refused for good.
func TestJobsAreServedAgainAfterFalseRunTimes(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		s := newTestEntry(ctx, 2)
		for i := range 40 {
			s.submit(ctx, "false", fmt.Sprintf("false-%d", i), 1, 5*time.Millisecond, 3*time.Second)
			time.Sleep(150 * time.Millisecond)
		}
		complete := 0
		const n, last = 20, 10
		for i := range n {
			s.submit(ctx, "check", fmt.Sprintf("check-%d", i), 1, 100*time.Millisecond, 3*time.Second)
			time.Sleep(1100 * time.Millisecond)
			if a := s.answerOf(t, fmt.Sprintf("check-%d", i)); i >= n-last && a.state == coordinator.Complete {
				complete++
			}
		}
		if complete < last {
			t.Errorf("%d of the last %d jobs were served by idle upstreams", complete, last)
		}
	})
}
