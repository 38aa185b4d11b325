package packer

import (
	"cmp"
	"slices"
)

const (
	// sizeSamples is the number of recent needs that a Sizes holds: those of the jobs
	// that one entry starts in two to three seconds at 25 a second, so that the order
	// follows a burst, which lasts longer.
	sizeSamples = 64
	// tieWidth is the difference, in thousandths of a core, below which two amounts of
	// wasted CPU count as equal and the faster upstream is chosen.
	tieWidth = 250
)

// Sizes holds the CPU needs of recent tasks. Its zero value is ready for use.
type Sizes struct {
	// recent is a ring buffer of needs in thousandths of a core, and sorted holds the
	// same needs in ascending order.
	recent, sorted []int64
	next           int
}

// Add records the need of a task in thousandths of a core.
func (s *Sizes) Add(cpu int64) {
	if len(s.recent) < sizeSamples {
		s.recent = append(s.recent, cpu)
	} else {
		i, _ := slices.BinarySearch(s.sorted, s.recent[s.next])
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.recent[s.next] = cpu
	}
	s.next = (s.next + 1) % sizeSamples
	i, _ := slices.BinarySearch(s.sorted, cpu)
	s.sorted = slices.Insert(s.sorted, i, cpu)
}

// ShareUpTo returns the share of recent tasks that need at most the given CPU, in
// thousandths of a core; 0 without tasks.
func (s *Sizes) ShareUpTo(cpu int64) float64 {
	if len(s.sorted) == 0 {
		return 0
	}
	i, _ := slices.BinarySearch(s.sorted, cpu+1)
	return float64(i) / float64(len(s.sorted))
}

// place is the next task's place on a candidate.
type place struct {
	Candidate
	// placed is the number of tasks that are placed on the candidate already.
	placed int
	// wasted is the CPU that is expected to stay unused after the next task, in units
	// of tieWidth.
	wasted int64
}

// PackTight chooses upstreams like Pack, for use while capacity is short. Places are
// ordered by rank, then the caller's own ones come first: it knows at once what comes
// free there, while all entries compete for what others announce. Then they are ordered
// by the CPU that is expected to stay unused: what is left on the upstream, times the
// share of recent tasks that don't fit into it. Last come the faster upstreams, and
// those in the caller's failure domain.
func PackTight(n int, need Amount, candidates []Candidate, sizes *Sizes) []string {
	best := make([]place, 0, min(n, len(candidates))+1)
	for _, c := range candidates {
		best = insertPlace(best, n, need, place{Candidate: c}, sizes)
	}
	out := make([]string, 0, n)
	for len(out) < n && len(best) > 0 {
		p := best[0]
		best = slices.Delete(best, 0, 1)
		out = append(out, p.Name)
		p.Free = p.Free.Minus(need)
		p.placed++
		best = insertPlace(best, n-len(out), need, p, sizes)
	}
	return out
}

// insertPlace inserts the next place on a candidate, if there is one, into the ordered
// list of the best n places.
func insertPlace(list []place, n int, need Amount, p place, sizes *Sizes) []place {
	if !p.Free.Holds(need) || (p.MaxTasks > 0 && p.placed >= p.MaxTasks) {
		return list
	}
	left := p.Free.CPU - need.CPU
	p.wasted = int64(float64(left)*(1-sizes.ShareUpTo(left))) / tieWidth
	if n <= 0 || (len(list) >= n && comparePlaces(p, list[n-1]) >= 0) {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, p, comparePlaces)
	list = slices.Insert(list, i, p)
	return list[:min(len(list), n)]
}

// comparePlaces orders places as PackTight does.
func comparePlaces(a, b place) int {
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	if a.Own != b.Own {
		if a.Own {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.wasted, b.wasted); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Slowness, b.Slowness); c != 0 {
		return c
	}
	if c := cmp.Compare(distance(a.Candidate), distance(b.Candidate)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name))
}
