package simulator

import (
	"fmt"

	"radishweir.org/lib/wire"
)

// checkStart records a violation if a task of a kept job starts again after its
// success was acknowledged; the caller holds the lock.
func (f *Fleet) checkStart(task string) {
	if f.Kept == nil || !f.Kept(task) {
		return
	}
	if f.acknowledged[task] {
		f.violations = append(f.violations, fmt.Sprintf("%s started after its success was acknowledged", task))
	}
	for _, u := range f.upstreams {
		for _, e := range u.ended {
			if e.Task == task && e.Cause == wire.RunEnd_done && e.Number > u.lastLapsed {
				f.restarted[task] = true
			}
		}
	}
}

// checkAcknowledged processes an owner's acknowledgment of all ends up to a
// number. It records a violation for each acknowledged success of a kept job's
// task if the task has started again since; the caller holds the lock.
func (f *Fleet) checkAcknowledged(u *Upstream, acknowledged uint64) {
	if f.Kept == nil {
		return
	}
	for _, e := range u.ended {
		if e.Number > acknowledged || e.Number <= u.lastLapsed || e.Cause != wire.RunEnd_done || !f.Kept(e.Task) {
			continue
		}
		if f.restarted[e.Task] {
			f.violations = append(f.violations, fmt.Sprintf("%s started again, then an earlier success was acknowledged", e.Task))
		}
		f.acknowledged[e.Task] = true
	}
}

// checkCapacity records a violation if a start exceeds the capacity of an unguarded
// upstream; the caller holds the lock.
func (f *Fleet) checkCapacity(u *Upstream, task string) {
	if free := u.free(u.bound); u.Unguarded && !free.Holds(f.amountOf(task)) {
		f.violations = append(f.violations, fmt.Sprintf("%s started on %s, which had %v free", task, u.Name, free))
	}
}
