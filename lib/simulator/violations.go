package simulator

import (
	"fmt"

	"radishweir.org/lib/wire"
)

// judgeStart judges the start of a kept task; the caller holds the lock.
func (f *Fleet) judgeStart(task string) {
	if f.Kept == nil || !f.Kept(task) {
		return
	}
	if f.noted[task] {
		f.violations = append(f.violations, fmt.Sprintf("%s started after its being done was taken note of", task))
	}
	for _, u := range f.upstreams {
		for _, e := range u.ends {
			if e.Task == task && e.Cause == wire.RunEnd_done && e.Number > u.lapsed {
				f.again[task] = true
			}
		}
	}
}

// judgeNoted judges the ends up to a number, which an owner took note of; the
// caller holds the lock.
func (f *Fleet) judgeNoted(u *Upstream, observed uint64) {
	if f.Kept == nil {
		return
	}
	for _, e := range u.ends {
		if e.Number > observed || e.Number <= u.lapsed || e.Cause != wire.RunEnd_done || !f.Kept(e.Task) {
			continue
		}
		if f.again[e.Task] {
			f.violations = append(f.violations, fmt.Sprintf("%s started again, then its being done was taken note of", e.Task))
		}
		f.noted[e.Task] = true
	}
}
