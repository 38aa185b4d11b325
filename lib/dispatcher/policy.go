package dispatcher

import "math/rand/v2"

// Policy picks one of several candidates, none of which is preferred by other
// rules. The slice has at least one element and is not kept.
type Policy[T any] interface {
	Pick(candidates []T) T
}

// Estimator tells the expected run time of a task on a candidate, in seconds.
type Estimator interface {
	Estimate() float64
}

// Fastest picks the candidate with the lowest estimate, at random among equals.
type Fastest[T Estimator] struct{}

// Pick implements Policy.
func (Fastest[T]) Pick(candidates []T) T {
	best := candidates[0]
	ties := 1
	for _, c := range candidates[1:] {
		switch e, b := c.Estimate(), best.Estimate(); {
		case e < b:
			best, ties = c, 1
		case e == b:
			ties++
			if rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// Random picks any candidate.
type Random[T any] struct{}

// Pick implements Policy.
func (Random[T]) Pick(candidates []T) T { return candidates[rand.IntN(len(candidates))] }

// RoundRobin picks the candidates in turn.
type RoundRobin[T any] struct{ next int }

// Pick implements Policy.
func (r *RoundRobin[T]) Pick(candidates []T) T {
	r.next++
	return candidates[r.next%len(candidates)]
}

// Names of the policies in the configuration.
const (
	// PolicyFastest waits for a faster slot where that pays.
	PolicyFastest = "fastest"
	// PolicyFastestFree takes the fastest free slot at once.
	PolicyFastestFree = "fastest_free"
	PolicyRandom      = "random"
	PolicyRoundRobin  = "round_robin"
)

// newPolicy returns the policy with the given name, Fastest if it is unknown.
func newPolicy(name string) Policy[*slots] {
	switch name {
	case PolicyRandom:
		return Random[*slots]{}
	case PolicyRoundRobin:
		return &RoundRobin[*slots]{}
	}
	return Fastest[*slots]{}
}
