package enroller

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// leaseTerm is the time for which this entry certainly holds a lease. The store counts
// a lease from the arrival of a renewal, so the term is counted from the time at which
// the renewal was sent. The zero value has ended.
type leaseTerm struct {
	mu sync.Mutex
	// until is the time since boot from which on the lease may have ended.
	until time.Duration
	// last is the latest value of until that was set by extend.
	last  time.Duration
	timer *time.Timer
}

// sinceBoot returns the time since boot, including time in which the VM was
// suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// extend makes the term last until the given time since boot, and calls lapsed if it
// is not extended again by then. lapsed may be nil.
func (t *leaseTerm) extend(until time.Duration, lapsed func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.until, t.last = until, until
	var timer *time.Timer
	timer = time.AfterFunc(until-sinceBoot(), func() {
		t.mu.Lock()
		current := t.timer == timer
		if current {
			t.until = 0
		}
		t.mu.Unlock()
		if current && lapsed != nil {
			lapsed()
		}
	})
	t.timer = timer
}

// end ends the term now, without a call of lapsed.
func (t *leaseTerm) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	t.until = 0
}

// lapsedAt returns the time from which on the lease may have ended; zero while it lasts, or if there
// was none.
func (t *leaseTerm) lapsedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := sinceBoot()
	if t.last == 0 || now < t.until {
		return time.Time{}
	}
	return time.Now().Add(t.last - now)
}

// lasts reports whether the lease certainly has not ended.
func (t *leaseTerm) lasts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sinceBoot() < t.until
}
