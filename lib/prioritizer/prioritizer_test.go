package prioritizer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishweir.org/lib/prioritizer"
)

var epoch = time.Unix(1_000_000, 0)

// at returns a time in milliseconds after the start.
func at(ms float64) time.Time { return epoch.Add(millis(ms)) }

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// kinds are the queues of the simulated load: the tasks of a job, the run time in
// milliseconds, and the share of the demand.
var kinds = map[int]struct {
	tasks       int
	took, share float64
}{0: {8, 60, 0.2}, 1: {2, 200, 0.5}, 2: {4, 900, 0.3}}

// job is a waiting job with its run time and the declared one in milliseconds.
type job struct {
	prioritizer.Waiting
	took, declared float64
}

// outcome is the number of jobs of a queue, those that were started, their value, and the
// sum of their times to start in milliseconds.
type outcome struct{ jobs, started, value, wait float64 }

// simulate plays 10 s of a load in steps of 1 ms on 300 places that 10 entries share
// without delay. Each entry has its own queue and policy, and refuses what its queue
// would start too late, as the coordinator does. Declared run times, from which
// it takes the due times, are off by 40%.
func simulate(seed uint64, load float64, enabled bool) map[int]*outcome {
	const places, entries = 300, 10
	r, arrivals := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	free, ends, out := places, map[int]int{}, map[int]*outcome{}
	var policies [entries]prioritizer.Policy
	var queues [entries][]job
	next := make([]float64, len(kinds))
	for i := range policies {
		policies[i].Enabled = enabled
		policies[i].SetPlaces(places, entries)
	}
	for ms := range 10000 {
		now := at(float64(ms))
		free += ends[ms]
		for k := range len(kinds) {
			kind := kinds[k]
			if out[k] == nil {
				out[k] = &outcome{}
			}
			for ; next[k] <= float64(ms); next[k] += arrivals.ExpFloat64() * float64(kind.tasks) * kind.took / (places * load * kind.share) {
				e, took := arrivals.IntN(entries), kind.took*math.Exp(0.4*arrivals.NormFloat64()-0.08)
				declared := took * math.Exp(0.4*arrivals.NormFloat64())
				queues[e] = append(queues[e], job{prioritizer.Waiting{Priority: k, Rank: arrivals.Float64(), Arrived: now, Due: now.Add(millis(1.6*declared + 60))}, took, declared})
				policies[e].Arrived(now, k, kind.tasks, millis(declared))
				out[k].jobs++
			}
		}
		for _, e := range r.Perm(entries) {
			p := &policies[e]
			if len(queues[e]) == 0 {
				continue
			}
			list := make([]prioritizer.Waiting, len(queues[e]))
			for i, j := range queues[e] {
				list[i], list[i].Index = j.Waiting, i
			}
			p.Sort(list)
			gone, ahead := map[int]bool{}, 0.0
			for _, w := range list {
				j, tasks := queues[e][w.Index], kinds[w.Priority].tasks
				latest := w.Due.Add(-millis(j.declared))
				if now.After(latest) {
					gone[w.Index] = true
				} else if tasks <= free && p.MayStart(now, w, latest, tasks, free) {
					gone[w.Index] = true
					free -= tasks
					ends[ms+max(1, int(j.took))] += tasks
					p.Started(now, w.Priority, tasks, now.Sub(w.Arrived))
					o := out[w.Priority]
					o.started++
					o.wait += now.Sub(w.Arrived).Seconds() * 1000
					if now.Sub(w.Arrived)+millis(j.took) > millis(1.6*j.took+60) {
						o.value += 0.2
					} else {
						o.value++
					}
				} else if ahead += j.declared * float64(tasks) * entries / places; ahead > 1.5*latest.Sub(now).Seconds()*1000 {
					gone[w.Index] = true
				}
			}
			i := -1
			queues[e] = slices.DeleteFunc(queues[e], func(job) bool { i++; return gone[i] })
		}
	}
	return out
}

// Callers of the most urgent queue must not be served worst in a shortage, as happens
// when jobs of 8 tasks compete for each place. Without a shortage nothing changes.
func TestUrgentJobsInShortage(t *testing.T) {
	for _, load := range []float64{0.7, 0.95, 1.2, 1.6} {
		var value, wait [2][3]float64
		var mean [2]float64
		for seed := range uint64(2) {
			for i, enabled := range []bool{false, true} {
				for k, o := range simulate(seed, load, enabled) {
					value[i][k] += o.value / o.jobs / 2
					wait[i][k] += o.wait / o.started / 2
					mean[i] += o.value / o.jobs / 6
				}
			}
		}
		t.Logf("load %.2f: values %.3f, ms to start %.3g, mean value %.3f", load, value, wait, mean)
		switch {
		case load < 0.9 && (value[0] != value[1] || wait[0] != wait[1]):
			t.Error("the policy changes decisions without a shortage")
		case load > 1 && slices.Min(value[1][1:]) < 0.3:
			t.Error("a less urgent queue starves")
		case load > 1 && (mean[1] < mean[0]+0.01 || value[1][0] < slices.Min(value[1][1:])):
			t.Error("the most urgent queue is the worst served, or callers get less in all")
		}
	}
}

// A queue must not starve while more urgent jobs keep coming.
func TestGuaranteedShare(t *testing.T) {
	p := newShortage()
	list := []prioritizer.Waiting{{Index: 0, Priority: 0, Rank: 9}, {Index: 1, Priority: 1, Rank: 1}}
	if p.Sort(list); list[0].Priority != 1 || p.Reserve(at(10), 1) != 0 {
		t.Errorf("the less urgent queue got nothing, but the order is %v and %d places are kept from it", list, p.Reserve(at(10), 1))
	}
	p.Started(at(10), 1, 40, 0)
	if p.Sort(list); list[0].Priority != 0 || p.Reserve(at(10), 1) == 0 {
		t.Errorf("the less urgent queue got its share, but the order is %v and the reserve %d", list, p.Reserve(at(10), 1))
	}
}

// Places must not stay reserved after the urgent callers are gone.
func TestReserveEndsWithUrgentArrivals(t *testing.T) {
	p := newShortage()
	p.Started(at(10), 1, 40, 0)
	if got := p.Reserve(at(20), 1); got < 4 || got > 25 {
		t.Errorf("%d places are reserved, want 4 to 25", got)
	}
	if p.Started(at(12000), 1, 1, time.Second); p.Reserve(at(12000), 1) != 0 {
		t.Errorf("%d places are reserved 12 s after the last urgent job", p.Reserve(at(12000), 1))
	}
}

// newShortage returns a policy with 100 places that has seen urgent jobs wait.
func newShortage() *prioritizer.Policy {
	p := &prioritizer.Policy{Enabled: true}
	p.SetPlaces(100, 10)
	for i := range 10 {
		p.Arrived(at(float64(i)), 0, 8, 100*time.Millisecond)
		p.Arrived(at(float64(i)), 1, 4, 100*time.Millisecond)
	}
	p.Started(at(10), 0, 8, 50*time.Millisecond)
	return p
}

// Entries without the setting, and queues of equal priority, keep the order by rank.
func TestOrderByRank(t *testing.T) {
	for _, c := range []struct {
		enabled bool
		second  int
	}{{false, 1}, {true, 0}} {
		p := prioritizer.Policy{Enabled: c.enabled}
		list := []prioritizer.Waiting{{Rank: 1, Arrived: at(2)}, {Rank: 1, Arrived: at(1)}, {Rank: 2, Priority: c.second, Arrived: at(3)}}
		if p.Sort(list); list[0].Rank != 2 || list[1].Arrived != at(1) || p.Reserve(at(3), c.second) != 0 {
			t.Errorf("enabled %v: the order is %v", c.enabled, list)
		}
	}
}
