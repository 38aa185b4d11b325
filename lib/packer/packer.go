// Package packer chooses the upstreams on which the tasks of a job start.
//
// It depends only on amounts of CPU, memory and accelerators, not on queues, the
// network or time, so that every choice can be tested by itself.
//
// # Usage
//
//	chosen := packer.Pack(tasks, need, candidates)
//	if len(chosen) == tasks { start(chosen) }
//
// PackTight is for a load of tasks of about half an upstream's size that vary by a
// fifth, while callers compete for capacity. Where a deployment asks for it:
//
//	if short {
//		chosen = packer.PackTight(tasks, need, candidates, &sizes)
//	}
//	sizes.Add(need.CPU) // once for each job that starts
//
// Requests that owners reject for want of room rise if entries choose the same places.
package packer

import (
	"cmp"
	"slices"
)

// Amount is an amount of resources that a task needs or an upstream has.
type Amount struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in megabytes.
	Memory int64
	// GPU is the number of accelerators.
	GPU int64
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.GPU + b.GPU}
}

// Minus returns the difference of a and b, which may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPU - b.GPU}
}

// Holds reports whether b fits into a.
func (a Amount) Holds(b Amount) bool {
	return a.CPU >= b.CPU && a.Memory >= b.Memory && a.GPU >= b.GPU
}

// Copies returns how many times b fits into a, at most limit.
func (a Amount) Copies(b Amount, limit int) int {
	n := int64(limit)
	for _, p := range [...][2]int64{{a.CPU, b.CPU}, {a.Memory, b.Memory}, {a.GPU, b.GPU}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return int(n)
}

// Candidate is an upstream on which tasks may start.
type Candidate struct {
	// Name identifies the upstream.
	Name string
	// Free is the capacity that the current runs leave.
	Free Amount
	// Slowness is the run time on this upstream divided by that on an average one.
	Slowness float64
	// Own is true if the caller orders the upstream itself, without messages to other
	// entries.
	Own bool
	// SameDomain is true if the upstream is in the caller's failure domain.
	SameDomain bool
	// Rank orders candidates before anything else; lower ranks go first.
	Rank uint64
	// Order orders candidates that are equal otherwise. Entries that see the same
	// upstreams give them different orders, so that they don't compete for the same one.
	Order uint64
	// MaxTasks limits the tasks that may start on the upstream; 0 for no limit.
	MaxTasks int
}

// speedClassWidth is the width of the classes within which upstreams count as
// equally fast; half of the spread of run times within one job.
const speedClassWidth = 0.15

// speedClass returns the speed class of a candidate.
func (c Candidate) speedClass() int { return int(c.Slowness / speedClassWidth) }

// Pack returns the names of up to n upstreams, one for each task that needs the
// given amount; an upstream may be named several times. Upstreams are ordered by
// rank, then by speed class, then the caller's own ones come first, then those in
// its failure domain, then those with the least CPU left over.
func Pack(n int, need Amount, candidates []Candidate) []string {
	out := make([]string, 0, n)
	for _, c := range bestCandidates(n, need, candidates) {
		limit := n - len(out)
		if c.MaxTasks > 0 {
			limit = min(limit, c.MaxTasks)
		}
		for range c.Free.Copies(need, limit) {
			out = append(out, c.Name)
		}
		if len(out) == n {
			break
		}
	}
	return out
}

// bestCandidates returns the first n candidates in the order of Pack. It does
// not sort all candidates, as a fleet is large compared to what one job needs.
func bestCandidates(n int, need Amount, candidates []Candidate) []Candidate {
	compare := func(a, b Candidate) int {
		if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
			return c
		}
		if c := cmp.Compare(a.speedClass(), b.speedClass()); c != 0 {
			return c
		}
		if c := cmp.Compare(distance(a), distance(b)); c != 0 {
			return c
		}
		if a.Order != b.Order {
			if c := cmp.Compare(leftoverClass(a, need), leftoverClass(b, need)); c != 0 {
				return c
			}
			return cmp.Compare(a.Order, b.Order)
		}
		if c := cmp.Compare(leftoverCPU(a, need), leftoverCPU(b, need)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	}
	out := make([]Candidate, 0, min(n, len(candidates))+1)
	for _, c := range candidates {
		if len(out) == n && (n == 0 || compare(c, out[n-1]) >= 0) {
			continue
		}
		i, _ := slices.BinarySearchFunc(out, c, compare)
		out = slices.Insert(out, i, c)
		out = out[:min(len(out), n)]
	}
	return out
}

// distance returns a sort key that puts the caller's own candidates first, then
// those in its failure domain.
func distance(c Candidate) int {
	switch {
	case c.Own:
		return 0
	case c.SameDomain:
		return 1
	}
	return 2
}

// leftoverClasses is the number of classes of unused CPU within which candidates with an
// Order count as equal: entries that all took the one with the least would compete for it.
const leftoverClasses = 4

// leftoverClass returns the class of the CPU that stays unused.
func leftoverClass(c Candidate, need Amount) int64 {
	return leftoverCPU(c, need) * leftoverClasses / max(need.CPU, 1)
}

// leftoverCPU returns the CPU that stays unused after as many tasks as the free CPU
// allows.
func leftoverCPU(c Candidate, need Amount) int64 {
	if need.CPU <= 0 {
		return c.Free.CPU
	}
	return c.Free.CPU % need.CPU
}
