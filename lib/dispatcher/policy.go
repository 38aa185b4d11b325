package dispatcher

import "math/rand/v2"

// Policy picks one of several candidates, all equally eligible by other rules. The
// slice has at least one element; Pick must not keep it.
type Policy[T any] interface {
	Pick(candidates []T) T
}

// Estimator returns the expected run time in seconds of a task on a candidate.
type Estimator interface {
	Estimate() float64
}

// Fastest picks the candidate with the lowest estimate and breaks ties at random.
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

// Random picks a candidate at random.
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
	// PolicyFastest picks the fastest slot and may wait for a faster one that is
	// busy.
	PolicyFastest = "fastest"
	// PolicyFastestFree picks the fastest free slot without waiting.
	PolicyFastestFree = "fastest_free"
	// PolicyRandom picks a free slot at random.
	PolicyRandom = "random"
	// PolicyRoundRobin picks the upstreams with free slots in turn.
	PolicyRoundRobin = "round_robin"
)

// newPolicy returns the policy with the given name, or Fastest for any other
// name.
func newPolicy(name string) Policy[*upstreamState] {
	switch name {
	case PolicyRandom:
		return Random[*upstreamState]{}
	case PolicyRoundRobin:
		return &RoundRobin[*upstreamState]{}
	}
	return Fastest[*upstreamState]{}
}
