package throttler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishweir.org/lib/throttler"
)

const (
	entries = 8
	places  = 200
	// runMs is the run time of a task, delayMs the age of what entries know of places.
	runMs   = 100
	delayMs = 30
	// partMs is the length of each part of the load.
	partMs = 5000
	// urgentTasks is the number of tasks of an urgent job, and urgentEveryMs the time
	// between the arrivals of two at one entry: a tenth of the capacity.
	urgentTasks   = 8
	urgentEveryMs = 320
)

// fleet is a load on entries that see free places with a delay.
type fleet struct {
	random    *rand.Rand
	occupied  [places]int
	seen      [delayMs + 1][places]bool
	throttles [entries]throttler.Throttler
	// less is the number of less urgent tasks that wait at each entry, missing the tasks
	// that its urgent jobs still need, and arrived the arrival of the oldest such job.
	less    [entries]float64
	missing [entries]int
	arrived [entries]int
	// urgentWaits are the times in milliseconds until the last task of an urgent job was
	// started.
	urgentWaits []int
	largest     float64
}

// request sends a request for a place and reports whether it was accepted.
func (f *fleet) request(ms, entry, place int) bool {
	t, now := &f.throttles[entry], time.UnixMilli(int64(ms))
	t.Sent(now, 1)
	if f.occupied[place] > ms {
		t.Rejected(now, 1)
		return false
	}
	f.occupied[place] = ms + runMs
	return true
}

// pass lets one entry start what waits on the places that it sees as free: urgent tasks
// first, others if the margin stays free.
func (f *fleet) pass(ms, entry int) {
	var free []int
	for i, ok := range f.seen[(ms+1)%(delayMs+1)] {
		if ok {
			free = append(free, i)
		}
	}
	f.random.Shuffle(len(free), func(i, k int) { free[i], free[k] = free[k], free[i] })
	margin := f.throttles[entry].Margin(time.UnixMilli(int64(ms)))
	f.largest = max(f.largest, margin)
	for len(free) > 0 && f.missing[entry] > 0 {
		if f.request(ms, entry, free[0]) {
			f.missing[entry]--
			if f.missing[entry]%urgentTasks == 0 {
				f.urgentWaits = append(f.urgentWaits, ms-f.arrived[entry])
				f.arrived[entry] += urgentEveryMs
			}
		}
		free = free[1:]
	}
	for len(free) > 0 && f.less[entry] >= 1 && float64(len(free)-1) >= margin*places {
		if f.request(ms, entry, free[0]) {
			f.less[entry]--
		}
		free = free[1:]
	}
}

// play runs a load of half the capacity, then 1.5 times, then half of it again, and
// returns the share of urgent jobs in the second part whose last task started in time.
func play(enabled bool) (f *fleet, inTime float64) {
	// slackMs is what the urgent jobs of the new customers can wait.
	const slackMs = 90
	f = &fleet{random: rand.New(rand.NewPCG(1, 2))}
	for i := range f.throttles {
		f.throttles[i].Enabled = enabled
	}
	for ms := range 3 * partMs {
		load := [3]float64{0.4, 1.4, 0.4}[ms/partMs]
		if ms == partMs {
			f.urgentWaits = nil
		}
		if ms == 2*partMs {
			late := slices.IndexFunc(slices.Sorted(slices.Values(f.urgentWaits)), func(w int) bool { return w > slackMs })
			inTime = 1
			if late >= 0 {
				inTime = float64(late) / float64(len(f.urgentWaits))
			}
		}
		for i := range entries {
			f.less[i] = min(f.less[i]+load*places/runMs/entries, 20)
			if (ms+i*urgentEveryMs/entries)%urgentEveryMs == 0 {
				if f.missing[i] == 0 {
					f.arrived[i] = ms
				}
				f.missing[i] += urgentTasks
			}
			if ms%4 == i%4 {
				f.pass(ms, i)
			}
		}
		for i := range places {
			f.seen[ms%(delayMs+1)][i] = f.occupied[i] <= ms
		}
	}
	return f, inTime
}

// At full load the last task of an urgent job must not wait behind new jobs of less
// urgent queues at other entries. Without a shortage nothing is left free.
func TestUrgentJobsStartInTimeUnderShortage(t *testing.T) {
	without, before := play(false)
	with, inTime := play(true)
	t.Logf("urgent jobs in time under shortage: %.3f, throttled %.3f; largest margin %.2f", before, inTime, with.largest)
	if without.largest != 0 {
		t.Errorf("a margin of %v while switched off", without.largest)
	}
	// Callers of the most urgent queue must be served best; the others lose a third here.
	if inTime < 0.9 || inTime < before {
		t.Errorf("%.2f of the urgent jobs start in time, %.2f without the throttle", inTime, before)
	}
	for i, n := range with.less {
		if n > without.less[i]+1 {
			t.Errorf("%.1f tasks wait at entry %d after the shortage, %.1f without the throttle", n, i, without.less[i])
		}
	}
}

// A single rejection, as after a restart of an upstream, must not hold jobs back.
func TestFewRequestsSayNothing(t *testing.T) {
	th := throttler.Throttler{Enabled: true}
	now := time.UnixMilli(0)
	th.Sent(now, 2)
	th.Rejected(now, 2)
	if m := th.Margin(now.Add(10 * time.Millisecond)); m != 0 {
		t.Errorf("margin %v after two requests", m)
	}
}

// An entry whose VM was suspended must not act on rejections from before.
func TestMarginEndsAfterPause(t *testing.T) {
	th := throttler.Throttler{Enabled: true}
	now := time.UnixMilli(0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		th.Sent(now, 5)
		th.Rejected(now, 5)
	}
	if m := th.Margin(now.Add(time.Millisecond)); m == 0 {
		t.Fatal("no margin although all requests are rejected")
	}
	if m := th.Margin(now.Add(3 * time.Second)); m != 0 {
		t.Errorf("margin %v after a pause", m)
	}
}
