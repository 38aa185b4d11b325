package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"radishweir.org/lib/classifier"
)

// phase is the progress of a task inside a pool.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseSettled
)

// state is the pool's part of a Task, under its own lock.
type state struct {
	mu       sync.Mutex
	phase    phase
	attempts uint32
	// started is the number of attempts that may have reached an upstream.
	started uint32
	queued  time.Time
	tried   []string
	running []*attempt
	// last names the upstream of the last attempt.
	last string
	// ran is true when an attempt ran to its end without success.
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
	watch  *time.Timer
	hedge  *time.Timer
	// silent is true when the upstream did not answer questions about it.
	silent  atomic.Bool
	decided bool
}

// seal ends the task; it reports false when it had ended before.
func (t *Task) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return false
	}
	t.phase = phaseSettled
	return true
}

// close seals a task that no upstream has seen or, with force, any task that
// has not ended. It returns what is known of it and whether it was sealed now.
func (t *Task) close(force bool) (classifier.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled || t.started > 0 && !force {
		return 0, false
	}
	t.phase = phaseSettled
	return t.known(), true
}

// settled reports whether the task has ended.
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

// begin records the intent to start an attempt, before its first byte. It
// returns nil when the task has ended meanwhile.
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

// end removes an attempt; notRun takes back its record. It returns false when
// the attempt had been decided before, and the number still running.
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

// verdict says what is known of the task while no attempt succeeded.
func (t *Task) verdict() classifier.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known()
}

// known does the work of verdict; the caller holds the lock.
func (t *Task) known() classifier.Verdict {
	switch {
	case t.started == 0:
		return classifier.NotRun
	case t.ran && len(t.running) == 0:
		return classifier.Ran
	}
	return classifier.MayHaveRun
}

// wait marks the task as waiting again; false when it has ended.
func (t *Task) wait() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseSettled {
		return false
	}
	t.phase = phaseWaiting
	return true
}

// avoided reports whether the task was tried on the named upstream.
func (t *Task) avoided(name string) bool {
	for _, n := range t.tried {
		if n == name {
			return true
		}
	}
	return false
}
