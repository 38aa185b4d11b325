package keeper_test

import (
	"testing"
	"time"
)

// Guards against TWICE: a second submission of a job is under way at the entry that takes the job
// over, which then leaves the job to its next review.
func TestEndsOfJobThatIsSubmittedAgainDuringItsTakeover(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 15, 3, 12)
		defer c.stop()
		ids := c.submitBeforeKill(8)
		// The first write of a resubmission waits in the queue while the takeover begins.
		c.interval = 400 * time.Millisecond
		deadline := time.Now().Add(13 * time.Second)
		for i := 0; time.Now().Before(deadline); i++ {
			n := c.alive()[i%2]
			go n.submit(ids[i/2%len(ids)], 4)
			time.Sleep(25 * time.Millisecond)
		}
		c.checkJobs(ids, nil, 40*time.Second)
		c.checkStarts(ids, 4)
	})
}
