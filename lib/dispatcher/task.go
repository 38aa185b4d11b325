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
	// started is the number of attempts that may have reached an upstream.
	started uint32
	queued  time.Time
	// tried lists the upstreams of ended attempts.
	tried   []string
	running []*attempt
	// last is the name of the upstream of the last attempt.
	last string
	// ran is true once an attempt ran and failed.
	ran bool
}

// attempt is one start of a task on one upstream.
type attempt struct {
	task   *Task
	slot   *slots
	number uint32
	kind   string
	began  time.Time
	cancel context.CancelFunc
	// watch triggers the next status check.
	watch *time.Timer
	// hedge triggers a second attempt.
	hedge *time.Timer
	// silent is true once status queries about the attempt brought no conclusive
	// reply.
	silent atomic.Bool
	// decided is true once the attempt has ended.
	decided bool
}

// seal marks the task as settled. It returns false if it already was.
func (t *Task) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return false
	}
	t.phase = phaseSettled
	return true
}

// close marks a task as settled if no upstream has received it or force is true.
// It returns the task's verdict and whether this call settled the task.
func (t *Task) close(force bool) (classifier.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled || t.started > 0 && !force {
		return 0, false
	}
	t.phase = phaseSettled
	return t.known(), true
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
	return t.started > 0
}

// begin records an attempt before anything is sent to the upstream. It returns
// nil if the task has been settled meanwhile.
func (t *Task) begin(s *slots, kind string, cancel context.CancelFunc) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return nil
	}
	t.phase = phaseRunning
	t.attempts++
	t.started++
	t.last = s.Name
	a := &attempt{task: t, slot: s, number: t.attempts, kind: kind, began: time.Now(), cancel: cancel}
	t.running = append(t.running, a)
	return a
}

// end removes an attempt from the running ones. If notRun is true, the attempt
// does not count as started. It returns false if the attempt had already ended,
// and the number of attempts still running.
func (t *Task) end(a *attempt, notRun bool) (first bool, left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.decided {
		return false, len(t.running)
	}
	a.decided = true
	for i, r := range t.running {
		if r == a {
			t.running = append(t.running[:i], t.running[i+1:]...)
			break
		}
	}
	if notRun {
		t.started--
	}
	t.tried = append(t.tried, a.slot.Name)
	return true, len(t.running)
}

// verdict returns the verdict of a task that has not succeeded.
func (t *Task) verdict() classifier.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known()
}

// known is verdict for callers that hold the lock.
func (t *Task) known() classifier.Verdict {
	switch {
	case t.started == 0:
		return classifier.NotRun
	case t.ran && len(t.running) == 0:
		return classifier.Ran
	}
	return classifier.MayHaveRun
}

// wait marks the task as waiting again. It returns false if the task has been
// settled.
func (t *Task) wait() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return false
	}
	t.phase = phaseWaiting
	return true
}

// avoided reports whether an attempt on the named upstream has ended.
func (t *Task) avoided(name string) bool {
	for _, n := range t.tried {
		if n == name {
			return true
		}
	}
	return false
}
