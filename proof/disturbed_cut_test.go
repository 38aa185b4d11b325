package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/simulator"
	"radishweir.org/standin/proxier"
)

// shortestCut and longestCut bound the time for which a failure domain is cut off.
const (
	shortestCut = 3 * time.Second
	longestCut  = 6500 * time.Millisecond
)

// crashTime is the longest run time of a task.
const crashTime = 3 * time.Second

// bestEffortKind is the first digit of the best-effort jobs of keptHistory.
const bestEffortKind = "3"

// Failure domains that are cut off for seconds, with upstreams that vanish from the list and go on
// running best-effort jobs, while entries outside that hold kept jobs with tasks there are stopped
// and killed, or have their keys removed, and upstreams restart or are frozen: accepted jobs end, no
// task runs twice at a time or after its success was acknowledged.
func TestDisturbedKeptSoakWithLongCuts(t *testing.T) {
	h := &keptHistory{disturbed: newDisturbed(t), accepted: make(map[string]bool), asked: make(map[string]bool), acknowledged: make(map[string]time.Time)}
	h.restarts = true
	h.mayFail = h.hasDeadlyTask
	h.host.Fleet.SetKept(func(task string) bool { return !strings.HasPrefix(task, bestEffortKind) })
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(*disturbedSeconds)*time.Second)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { h.load(ctx) })
	work.Go(func() { h.loadBestEffort(ctx) })
	work.Go(func() { h.cutDomains(ctx, rand.New(rand.NewPCG(*disturbedSeed, 20))) })
	work.Go(func() { h.disturbEntries(ctx, rand.New(rand.NewPCG(*disturbedSeed, 21))) })
	work.Wait()
	h.heal()
	h.checkEnds(40 * time.Second)
	h.check()
	h.checkCancelled()
	h.checkViolations()
	t.Logf("%d accepted, %d cancellations acknowledged, faults: %v", len(h.accepted), len(h.acknowledged), h.faultsAt)
	if len(h.accepted) < *disturbedSeconds {
		t.Errorf("%d jobs were accepted, want at least one a second", len(h.accepted))
	}
	if h.faultsAt["cut"] == 0 || h.faultsAt["entry"] == 0 {
		t.Errorf("faults %v, want cuts and lost entries", h.faultsAt)
	}
}

// hasDeadlyTask reports whether two upstreams have crashed under one task of a job, which may then fail.
func (h *keptHistory) hasDeadlyTask(id string) bool {
	h.disturbed.mu.Lock()
	defer h.disturbed.mu.Unlock()
	crashed := make(map[string]map[string]bool)
	for _, e := range h.events[id] {
		if e.What != "start" || e.Result != "" {
			continue
		}
		from, to := e.Time.UTC().Format(clockFormat), e.Time.Add(crashTime).UTC().Format(clockFormat)
		for _, f := range h.faults {
			crash := strings.HasSuffix(f, e.Upstream+" crashes") || strings.HasSuffix(f, e.Upstream+" restarts")
			if at := f[:len(clockFormat)]; !crash || at < from || at > to {
				continue
			}
			if crashed[e.Task] == nil {
				crashed[e.Task] = make(map[string]bool)
			}
			crashed[e.Task][e.Upstream] = true
		}
		if len(crashed[e.Task]) >= 2 {
			return true
		}
	}
	return false
}

// loadBestEffort submits best-effort jobs at all entries until ctx ends, so that the leases of all
// upstreams are renewed all the time.
func (h *keptHistory) loadBestEffort(ctx context.Context) {
	var calls sync.WaitGroup
	clients := []*http.Client{{Transport: &http.Transport{DisableKeepAlives: true}}}
	rng := rand.New(rand.NewPCG(*disturbedSeed, 22))
	for ctx.Err() == nil {
		own := rand.New(rand.NewPCG(*disturbedSeed, rng.Uint64()))
		id := fmt.Sprintf("%s%015x", bestEffortKind, h.ids.Add(1)<<24|own.Uint64()&0xffffff)
		calls.Go(func() { h.submit(own, clients, id) })
		time.Sleep(60 * time.Millisecond)
	}
	calls.Wait()
}

// cutDomains cuts one failure domain after another off until ctx ends: silently, in one direction, or
// with a reset of the connections.
func (h *keptHistory) cutDomains(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		domain := fmt.Sprintf("domain-%d", 1+rng.IntN(4))
		length := shortestCut + time.Duration(rng.Int64N(int64(longestCut-shortestCut)))
		across := h.selectLinks(func(l *link) bool {
			return l.from != "callers" && (h.domains[l.from] == domain) != (h.domains[l.to] == domain)
		})
		forth, back := proxier.Holding, proxier.Holding
		switch rng.IntN(4) {
		case 0:
			h.note("cut", "%s is cut off with resets for %v", domain, length)
			forth, back = proxier.Losing, proxier.Losing
			for _, l := range across {
				l.reset()
			}
		case 1:
			h.note("cut", "%s is cut off in one direction for %v", domain, length)
			back = proxier.Passing
		default:
			h.note("cut", "%s is cut off for %v", domain, length)
		}
		revoked := rng.IntN(4) == 0
		h.host.SetCutOff(domain, true)
		if revoked {
			h.removeKeys(domain)
		}
		var removals sync.WaitGroup
		for range rng.IntN(3) {
			name, delay, killed := h.names[rng.IntN(len(h.names))], time.Duration(rng.Int64N(int64(2*time.Second))), rng.IntN(2) == 0
			if h.domains[name] == domain {
				continue
			}
			removals.Go(func() {
				time.Sleep(delay)
				if killed {
					h.injectProcessFault(0, name, func(low, high int) time.Duration { return time.Duration(low+high) / 2 * time.Millisecond })
				} else {
					h.terminate(name)
				}
			})
		}
		silence(across, forth, back, length)
		removals.Wait()
		h.host.SetCutOff(domain, false)
		h.note("cut", "%s is back", domain)
		time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
	}
}

// removeKeys removes the registrations of a failure domain's entries, and their holders.
func (h *keptHistory) removeKeys(domain string) {
	for _, name := range h.names {
		if h.domains[name] != domain {
			continue
		}
		h.note("cut", "the keys of %s are removed", name)
		for _, key := range h.host.Store.Keys(platform.EntryPrefix + name) {
			h.host.Store.Remove(key)
		}
	}
}

// disturbEntries stops, kills and freezes entries, and restarts, crashes and cuts upstreams, until ctx
// ends.
func (h *keptHistory) disturbEntries(ctx context.Context, rng *rand.Rand) {
	within := func(low, high int) time.Duration { return time.Duration(low+rng.IntN(high-low)) * time.Millisecond }
	for ctx.Err() == nil {
		name := h.names[rng.IntN(len(h.names))]
		switch draw := rng.IntN(8); draw {
		case 0, 1, 2, 3:
			h.injectProcessFault(draw, name, within)
		case 4:
			h.injectProcessFault(0, name, within)
			h.terminate(h.names[rng.IntN(len(h.names))])
		case 5:
			h.injectStoreFault(2, name, within)
		case 6:
			h.injectUpstreamFault(1, rng, within)
		default:
			worker := h.host.Workers()[rng.IntN(24)]
			h.note("upstream", "%s crashes", worker)
			h.host.Fleet.Update(worker, func(u *simulator.Upstream) { u.Unreachable = true })
			time.Sleep(within(500, 3000))
			h.host.Fleet.Update(worker, func(u *simulator.Upstream) { u.Unreachable = false })
			h.host.RestartWorker(worker)
		}
		time.Sleep(within(0, 1500))
	}
}

// terminate stops an entry as planned and starts it again.
func (h *keptHistory) terminate(name string) {
	if !h.locks[name].TryLock() {
		return
	}
	defer h.locks[name].Unlock()
	p := h.entryOf(name)
	h.note("entry", "%s is stopped", name)
	_ = p.Process.Signal(syscall.SIGTERM)
	<-p.done
	h.replaceEntry(name)
}
