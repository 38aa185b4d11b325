package runner

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishweir.org/lib/separator"
	"radishweir.org/lib/wire"
)

// observedJobs is the number of jobs of which one is observed. Entries share what they
// measure, so a quarter of the runs of a fleet finds a pair within seconds, at a quarter
// of the CPU time.
const observedJobs = 4

// Interference measures which kinds of runs slow each other down on the upstreams that
// this entry owns. It is safe for concurrent use.
type Interference struct {
	mu        sync.Mutex
	separator separator.Separator
}

// Factor returns by how much the slowness of an upstream with the given numbers of runs
// by kind counts more for a task of a kind; 1 if nothing is known.
func (i *Interference) Factor(kind string, beside map[string]uint32) float64 {
	if len(beside) == 0 {
		return 1
	}
	counts := make(map[string]int, len(beside))
	for name, n := range beside {
		counts[name] = int(n)
	}
	return i.separator.Factor(kind, counts)
}

// Active reports whether any two kinds are known to interfere.
func (i *Interference) Active() bool { return i != nil && i.separator.Active() }

// Drain returns what was measured since the last call, for all peers.
func (i *Interference) Drain() []*wire.Interference {
	i.mu.Lock()
	defer i.mu.Unlock()
	return separator.ToWire(i.separator.Drain())
}

// Merge adds what a peer measured.
func (i *Interference) Merge(now time.Time, list []*wire.Interference) {
	if len(list) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.separator.Merge(now, separator.FromWire(list))
}

// Pairs returns what is known of each pair of kinds.
func (i *Interference) Pairs(now time.Time) []separator.Pair {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.separator.Pairs(now)
}

// observe adds the end of a run.
func (i *Interference) observe(now time.Time, r separator.Run) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.separator.Observe(now, r)
}

// trackStart records that a run starts beside others; the caller holds the lock.
func (h *ownedUpstream) trackStart(k key, q *wire.RunRequest, now time.Time) {
	if h.runner.Interference != nil {
		h.tracker.Start(k.task, q.GetKind(), now)
	}
}

// trackEnd records the end of a run and returns the time that it would have taken
// without the kinds that ran beside it, divided by the time that it took. A run that was
// not done, or that began under another owner, says nothing. The caller holds the lock.
func (h *ownedUpstream) trackEnd(k key, r *run, done bool, now time.Time) float64 {
	in := h.runner.Interference
	if in == nil {
		return 1
	}
	beside := h.tracker.End(k.task, now)
	q := r.request
	if !done || beside == nil || r.slowness <= 0 || q.GetExpectedMs() <= 0 || q.GetKind() == "" {
		return 1
	}
	job, _, _ := strings.Cut(k.task, ".")
	ratio := float64(now.Sub(r.startedAt).Microseconds()) / 1000 / q.GetExpectedMs() / r.slowness
	if xxhash.Sum64String(job)%observedJobs != 0 {
		return 1 / in.separator.Slowdown(q.GetKind(), beside)
	}
	in.observe(now, separator.Run{
		Kind: q.GetKind(), Ratio: ratio, Beside: beside, Slowness: r.slowness, Job: job, Upstream: h.upstream.Name,
	})
	return 1 / in.separator.Slowdown(q.GetKind(), beside)
}

// kinds returns the number of runs by kind where that matters for placement; the caller
// holds the lock.
func (h *ownedUpstream) kinds() map[string]uint32 {
	if !h.runner.Interference.Active() {
		return nil
	}
	out := make(map[string]uint32)
	for name, n := range h.tracker.Kinds() {
		out[name] = uint32(n)
	}
	return out
}
