package runner

import (
	"context"
	"time"

	"radishweir.org/lib/wire"
)

const (
	// keptInterval is the pause between looks at an upstream that lists kept ends;
	// what they mean is stored within several of it.
	keptInterval = 20 * time.Millisecond
	// strayMemory is how long ends without a known requester are kept; the jobs of
	// a dead entry are taken over sooner.
	strayMemory = 12 * time.Second
	// safeMemory is how long a RunSafe waits for the end that it is about, which
	// another owner may have told.
	safeMemory = 10 * time.Second
	// openLimit is the time after which nothing is left on an upstream that does
	// not answer its owner: leases have run out.
	openLimit = 2 * LeaseTime
)

// keptEnd is a listed end that must not be forgotten before what it means is
// stored.
type keptEnd struct {
	key
	cause wire.RunEnd_Cause
	// requester is empty while none is known.
	requester string
	// holder is empty while it is not known whether the run's job is kept.
	holder string
	// until bounds the time without a requester.
	until time.Time
}

// message describes the end to its requester.
func (e keptEnd) message(upstream string) *wire.RunEnd {
	return &wire.RunEnd{Task: e.task, Run: e.run, Upstream: upstream, Cause: e.cause, Holder: e.holder}
}

// observed is the number up to which the upstream may forget ends; the caller
// holds the lock.
func (h *held) observed() uint64 {
	out := h.taken
	for n := range h.kept {
		out = min(out, n-1)
	}
	return out
}

// keeps reports whether the upstream lists kept ends.
func (h *held) keeps() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.kept) > 0
}

// keep holds back a listed end that means something for a kept job; the caller
// holds the lock. Other ends mean only that the task must run again.
func (h *held) keep(e Ended, r *run, now time.Time) {
	k := key{e.Task, e.Run}
	if _, ok := h.safe[k]; ok {
		delete(h.safe, k)
		return
	}
	if e.Cause != wire.RunEnd_done && e.Cause != wire.RunEnd_failed {
		return
	}
	out := keptEnd{key: k, cause: e.Cause, until: now.Add(strayMemory)}
	switch {
	case r == nil || r.requester == "":
		if h.runner.keepsNothing.Load() {
			return
		}
	case r.request.GetHolder() == "":
		return
	default:
		out.requester, out.holder = r.requester, r.request.GetHolder()
	}
	h.kept[e.Number] = out
}

// expireKept gives up ends that nobody asks for; the caller holds the lock.
func (h *held) expireKept(now time.Time) {
	for n, e := range h.kept {
		if e.holder == "" && (now.After(e.until) || h.runner.keepsNothing.Load()) {
			delete(h.kept, n)
		}
	}
	for k, at := range h.safe {
		if now.Sub(at) > safeMemory {
			delete(h.safe, k)
		}
	}
}

// attachKept names the requester of a kept end; the caller holds the lock.
func (h *held) attachKept(requester string, q *wire.RunRequest) (keptEnd, bool) {
	for n, e := range h.kept {
		if e.key == (key{q.GetTask(), q.GetRun()}) {
			e.requester, e.holder = requester, q.GetHolder()
			h.kept[n] = e
			if e.holder == "" {
				delete(h.kept, n)
			}
			return e, true
		}
	}
	return keptEnd{}, false
}

// markSafe lets the upstream forget an end.
func (h *held) markSafe(k key) {
	h.mu.Lock()
	found := false
	for n, e := range h.kept {
		if e.key == k {
			delete(h.kept, n)
			found = true
		}
	}
	if !found {
		h.safe[k] = time.Now()
	}
	h.unconfirmed = true
	h.mu.Unlock()
	h.signal()
}

// retell tells a requester its kept ends again.
func (h *held) retell(match func(keptEnd) bool, requester string) {
	h.mu.Lock()
	var list []*wire.RunEnd
	for n, e := range h.kept {
		if !match(e) {
			continue
		}
		e.requester = requester
		h.kept[n] = e
		list = append(list, e.message(h.upstream.Name))
	}
	h.mu.Unlock()
	for _, e := range list {
		h.runner.Ended(requester, e)
	}
}

// vacate stops the runs of a holder that is gone, and reports whether none is
// left.
func (h *held) vacate(ctx context.Context, holder string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.open {
		return h.released || now.Sub(h.acquired) > openLimit
	}
	left := false
	for k, r := range h.runs {
		if r.requester != "" && r.request.GetHolder() != holder {
			continue
		}
		left = true
		if !r.stopping && r.requester != "" {
			h.stopLocked(ctx, k, r)
		}
	}
	return !left
}

// KeepJobs tells that there are kept jobs, so that ends of runs whose requester
// is not known are held back too. That is also assumed until KeepNothing.
func (r *Runner) KeepJobs() { r.keepsNothing.Store(false) }

// KeepNothing tells that there are no kept jobs.
func (r *Runner) KeepNothing() { r.keepsNothing.Store(true) }

// Safe lets an upstream forget the end of a kept run.
func (r *Runner) Safe(s *wire.RunSafe) {
	if h := r.find(s.GetUpstream()); h != nil {
		h.markSafe(key{s.GetTask(), s.GetRun()})
	}
}

// Retell tells a requester that was away the ends that it has not taken.
func (r *Runner) Retell(requester string) {
	for _, h := range r.all() {
		h.retell(func(e keptEnd) bool { return e.requester == requester }, requester)
	}
}

// Claim ends the runs of a holder that is gone, refuses its later requests,
// tells the adopter all kept ends that may be the holder's, and then calls done.
// Ownership must have been worked out before.
func (r *Runner) Claim(ctx context.Context, adopter, holder string, done func()) {
	r.mu.Lock()
	if r.claimed == nil {
		r.claimed = make(map[string]bool)
	}
	r.claimed[holder] = true
	r.mu.Unlock()
	r.KeepJobs()
	go func() {
		for ctx.Err() == nil && !r.vacated(ctx, holder) {
			pause(ctx, settleInterval)
		}
		for _, h := range r.all() {
			h.retell(func(e keptEnd) bool { return e.holder == holder || e.holder == "" }, adopter)
		}
		done()
	}()
}

// vacated stops the runs of a holder on all owned upstreams, and reports
// whether none is left.
func (r *Runner) vacated(ctx context.Context, holder string) bool {
	out := true
	now := time.Now()
	for _, h := range r.all() {
		out = h.vacate(ctx, holder, now) && out
	}
	return out
}

// isClaimed reports whether the jobs of a holder were taken over.
func (r *Runner) isClaimed(holder string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return holder != "" && r.claimed[holder]
}
