package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"radishweir.org/lib/classifier"
)

// phase is the stage of a task in a pool.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseSettled
)

// state is the pool's part of a Task, guarded by its own lock.
type state struct {
	mu       sync.Mutex
	phase    phase
	attempts uint32
	// mayHaveStarted is the number of attempts that may have reached an upstream.
	mayHaveStarted uint32
	queuedAt       time.Time
	// tried lists the upstreams of ended attempts.
	tried   []string
	running []*attempt
	// lastUpstream is the name of the upstream of the last attempt.
	lastUpstream string
	// failed is true once an attempt ran and failed.
	failed bool
}

// attempt is one start of a task on one upstream.
type attempt struct {
	task      *Task
	upstream  *upstreamState
	number    uint32
	kind      string
	startedAt time.Time
	cancel    context.CancelFunc
	// checkTimer triggers the next status check.
	checkTimer *time.Timer
	// hedgeTimer triggers a second attempt.
	hedgeTimer *time.Timer
	// unresponsive is true once status queries about the attempt brought no
	// conclusive reply.
	unresponsive atomic.Bool
	// ended is true once the attempt has ended.
	ended bool
}

// markSettled marks the task as settled. It returns false if it already was.
func (t *Task) markSettled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return false
	}
	t.phase = phaseSettled
	return true
}

// markWithdrawn marks a task as settled if no upstream has received it or force is
// true. It returns the task's verdict and whether this call settled the task.
func (t *Task) markWithdrawn(force bool) (classifier.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled || t.mayHaveStarted > 0 && !force {
		return 0, false
	}
	t.phase = phaseSettled
	return t.verdictLocked(), true
}

// settled reports whether the task has been settled.
func (t *Task) settled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase == phaseSettled
}

// Started reports whether an attempt may have reached an upstream.
func (t *Task) Started() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayHaveStarted > 0
}

// beginAttempt records an attempt before anything is sent to the upstream. It
// returns nil if the task has been settled meanwhile.
func (t *Task) beginAttempt(s *upstreamState, kind string, cancel context.CancelFunc) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return nil
	}
	t.phase = phaseRunning
	t.attempts++
	t.mayHaveStarted++
	t.lastUpstream = s.Name
	a := &attempt{task: t, upstream: s, number: t.attempts, kind: kind, startedAt: time.Now(), cancel: cancel}
	t.running = append(t.running, a)
	return a
}

// endAttempt removes an attempt from the running ones. If notRun is true, the
// attempt no longer counts as one that may have reached an upstream. endAttempt
// returns whether this call ended the attempt, and the number of attempts still
// running.
func (t *Task) endAttempt(a *attempt, notRun bool) (first bool, left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ended {
		return false, len(t.running)
	}
	a.ended = true
	for i, r := range t.running {
		if r == a {
			t.running = append(t.running[:i], t.running[i+1:]...)
			break
		}
	}
	if notRun {
		t.mayHaveStarted--
	}
	t.tried = append(t.tried, a.upstream.Name)
	return true, len(t.running)
}

// verdict returns the verdict of a task that has not succeeded.
func (t *Task) verdict() classifier.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdictLocked()
}

// verdictLocked is verdict for callers that hold the lock.
func (t *Task) verdictLocked() classifier.Verdict {
	switch {
	case t.mayHaveStarted == 0:
		return classifier.NotRun
	case t.failed && len(t.running) == 0:
		return classifier.Ran
	}
	return classifier.MayHaveRun
}

// markWaiting marks the task as waiting again. It returns false if the task has
// been settled.
func (t *Task) markWaiting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return false
	}
	t.phase = phaseWaiting
	return true
}

// triedOn reports whether an attempt on the named upstream has ended.
func (t *Task) triedOn(name string) bool {
	for _, n := range t.tried {
		if n == name {
			return true
		}
	}
	return false
}
