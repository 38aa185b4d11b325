package tracker

import (
	"testing"
	"testing/synctest"
	"time"

	"radishweir.org/lib/placer"
)

// pauseAgain ends a pause and begins the next before anything else sees the shard.
func pauseAgain(sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	close(sh.pauseEnded)
	sh.pauseEnded = make(chan struct{})
}

// TestSecondPauseWhileWaiting guards against refusing a job that waited for the end
// of one pause because the next one had begun when it looked again.
func TestSecondPauseWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner()
		tr := newTracker(r)
		tr.Open(shardA, owner(1, ""))
		tr.Pause([]placer.Shard{shardA})
		result := make(chan error, 1)
		go func() {
			_, err := tr.Submit(t.Context(), shardA, submission("a", 1))
			result <- err
		}()
		synctest.Wait()
		pauseAgain(tr.shard(shardA))
		time.Sleep(maxPauseWait / 2)
		tr.Resume([]placer.Shard{shardA})
		if err := <-result; err != nil {
			t.Errorf("a job that waited for the second pause: %v", err)
		}
		r.finish()
	})
}

// TestPausedTooLong guards against submissions that wait without a limit for pauses
// in succession.
func TestPausedTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(newRunner())
		tr.Open(shardA, owner(1, ""))
		tr.Pause([]placer.Shard{shardA})
		began := time.Now()
		time.AfterFunc(maxPauseWait/2, func() { pauseAgain(tr.shard(shardA)) })
		_, err := tr.Submit(t.Context(), shardA, submission("a", 1))
		if d := time.Since(began); err == nil || d != maxPauseWait {
			t.Errorf("%v after %v, want a refusal after %v", err, d, maxPauseWait)
		}
	})
}
