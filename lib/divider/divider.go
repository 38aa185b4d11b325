// Package divider says which entry owns which upstream.
//
// The owner is a function of the registered entries alone, so all entries that
// know the same registrations agree without a message. Upstreams belong to
// entries of their own failure domain while there are any, so that a domain
// that is cut off keeps its upstreams.
//
// # Usage
//
//	owner, ok := divider.Owner("upstream-7", "domain-1", members)
package divider

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry that may own upstreams.
type Member struct {
	// Name identifies the VM.
	Name string
	// Domain is its failure domain.
	Domain string
	// Weight is its share beside the others, at least 1.
	Weight int
}

// Owner returns the member that owns the upstream; false if there is none.
func Owner(upstream, domain string, members []Member) (string, bool) {
	if name, ok := highest(upstream, domain, members, true); ok {
		return name, true
	}
	return highest(upstream, domain, members, false)
}

// highest returns the member with the highest score, within the domain only if
// local is set. Scores are those of weighted rendezvous hashing: each member
// wins in proportion to its weight, and a change of one moves only its own.
func highest(upstream, domain string, members []Member, local bool) (string, bool) {
	var name string
	best := 0.0
	found := false
	for _, m := range members {
		if local && m.Domain != domain {
			continue
		}
		s := score(m, upstream)
		if !found || s > best || (s == best && m.Name < name) {
			name, best, found = m.Name, s, true
		}
	}
	return name, found
}

// score is the weight over an exponentially distributed hash.
func score(m Member, upstream string) float64 {
	d := xxhash.New()
	// Writes to a digest never fail.
	_, _ = d.WriteString(m.Name)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(upstream)
	// The top 53 bits, moved off zero, are a number between 0 and 1.
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return float64(max(m.Weight, 1)) / -math.Log(u)
}
