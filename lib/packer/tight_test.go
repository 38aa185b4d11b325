package packer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"radishweir.org/lib/packer"
)

// A task must not take a place that leaves a remainder of no use, while another place
// leaves one that recent tasks fit into.
func TestPackTightOrder(t *testing.T) {
	sizes := &packer.Sizes{}
	for _, cpu := range []int64{14000, 16000, 18000} {
		sizes.Add(cpu)
	}
	list := []packer.Candidate{
		{Name: "fast", Free: packer.Amount{CPU: 28000}, Slowness: 0.5, SameDomain: true},
		{Name: "tight", Free: packer.Amount{CPU: 34000}, Slowness: 1.3},
		{Name: "other-rank", Free: packer.Amount{CPU: 16000}, Slowness: 0.5, Rank: 1},
	}
	got := packer.PackTight(4, packer.Amount{CPU: 16000}, list, sizes)
	if want := []string{"tight", "tight", "fast", "other-rank"}; !slices.Equal(got, want) {
		t.Errorf("chose %v, want %v", got, want)
	}
	// On the small upstream, the task would leave CPU that no other task fits into.
	list = []packer.Candidate{{Name: "32", Free: packer.Amount{CPU: 32000}, Slowness: 0.5}, {Name: "48", Free: packer.Amount{CPU: 48000}, Slowness: 1}}
	if got := packer.PackTight(1, packer.Amount{CPU: 20000}, list, sizes); !slices.Equal(got, []string{"48"}) {
		t.Errorf("a task of 20 cores goes to %v, want 48", got)
	}
}

// Entries that all take the tightest place compete for it, while each alone knows what
// came free on its own upstreams. Equal places are ordered differently at each entry.
func TestPackTightPrefersOwnUpstreams(t *testing.T) {
	free := packer.Amount{CPU: 16000}
	list := []packer.Candidate{
		{Name: "a", Free: free, Order: 9},
		{Name: "b", Free: free, Order: 3},
		{Name: "own", Free: packer.Amount{CPU: 28000}, Own: true, Order: 7},
	}
	got := packer.PackTight(3, free, list, &packer.Sizes{})
	if want := []string{"own", "b", "a"}; !slices.Equal(got, want) {
		t.Errorf("chose %v, want %v", got, want)
	}
}

func TestSizesForgetOldNeeds(t *testing.T) {
	sizes := &packer.Sizes{}
	for i := range 80 {
		sizes.Add(int64(i))
	}
	if got := sizes.ShareUpTo(31); got != 0.25 {
		t.Errorf("the share up to 31 is %v, want 0.25 of the needs 16 to 79", got)
	}
}

// work is a job of the simulated load, or one of its runs; times are in milliseconds.
type work struct {
	tasks, up          int
	cpu                int64
	arrived, took, end float64
}

// simulate plays 6 s of a load of 95% in steps of 1 ms on 39 upstreams of 48 cores and
// 78 of 32, and returns the mean number of running tasks, the mean time to start in
// milliseconds, and the number of refused jobs.
func simulate(seed uint64, pack func(n int, need packer.Amount, list []packer.Candidate) []string) (running, wait float64, refused int) {
	speeds, arrivals := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	list, total := make([]packer.Candidate, 117), 0.0
	for i := range list {
		cores := 32 + i%3/2*16
		total += float64(cores)
		list[i] = packer.Candidate{Name: strconv.Itoa(i), Free: packer.Amount{CPU: int64(1000 * cores)}, Slowness: 1 + 0.1*speeds.NormFloat64()}
	}
	kinds := []work{{tasks: 8, took: 51}, {tasks: 4, took: 760}, {tasks: 2, took: 170}}
	next := make([]float64, len(kinds))
	var waiting, active []work
	var fitting []packer.Candidate
	started := 0
	for now := range 6000 {
		active = slices.DeleteFunc(active, func(r work) bool {
			if r.end > float64(now) {
				return false
			}
			list[r.up].Free.CPU += r.cpu
			return true
		})
		for i, k := range kinds {
			for ; next[i] <= float64(now); next[i] += arrivals.ExpFloat64() * float64(k.tasks*16) * k.took * 3 / (0.95 * total) {
				w := work{tasks: k.tasks, arrived: next[i], took: k.took * math.Exp(0.4*arrivals.NormFloat64()-0.08)}
				w.cpu = int64(16000 * min(1.5, max(0.3, 1+0.2*arrivals.NormFloat64())))
				waiting = append(waiting, w)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(w work) bool {
			if float64(now) > w.arrived+0.6*w.took+60 {
				refused++
				return true
			}
			fitting = fitting[:0]
			for _, c := range list {
				if c.Free.CPU >= w.cpu {
					fitting = append(fitting, c)
				}
			}
			chosen := pack(w.tasks, packer.Amount{CPU: w.cpu}, fitting)
			if len(chosen) < w.tasks {
				return false
			}
			started++
			wait += float64(now) - w.arrived
			for _, name := range chosen {
				w.up, _ = strconv.Atoi(name)
				w.end = float64(now) + w.took
				list[w.up].Free.CPU -= w.cpu
				active = append(active, w)
			}
			return true
		})
		running += float64(len(active)) / 6000
	}
	return running, wait / float64(started), refused
}

// Tasks of half an upstream's size must not be paired by chance while capacity is
// short: fewer would run at once and more jobs would be refused.
func TestTightPackingServesMore(t *testing.T) {
	var sum [2][3]float64
	for seed := range uint64(3) {
		sizes := &packer.Sizes{}
		tight := func(n int, need packer.Amount, list []packer.Candidate) []string {
			chosen := packer.PackTight(n, need, list, sizes)
			if len(chosen) == n {
				sizes.Add(need.CPU)
			}
			return chosen
		}
		for i, pack := range []func(int, packer.Amount, []packer.Candidate) []string{packer.Pack, tight} {
			running, wait, refused := simulate(seed, pack)
			sum[i] = [3]float64{sum[i][0] + running/3, sum[i][1] + wait/3, sum[i][2] + float64(refused)}
		}
	}
	t.Logf("tasks at once, ms to start, refused: %.4v with Pack, %.4v with PackTight", sum[0], sum[1])
	if sum[1][0] <= sum[0][0] || sum[1][2] > sum[0][2]*0.9 {
		t.Error("PackTight doesn't serve more than Pack")
	}
}
