// Package divider assigns each upstream to the entry that owns it.
//
// The owner depends on the registered entries alone, so all entries that know
// the same registrations agree without exchanging messages. An upstream is
// owned by an entry of its own failure domain if there is one, so that a domain
// that is cut off from the others keeps its upstreams.
//
// # Usage
//
//	owner, ok := divider.NewMembers(list).Owner("upstream-7", "domain-1")
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
	// Weight is its share of the upstreams relative to other members; values below 1
	// count as 1.
	Weight int
}

// Members are the members by failure domain.
type Members struct {
	all      []Member
	byDomain map[string][]Member
}

// NewMembers returns the given members by failure domain.
func NewMembers(list []Member) Members {
	m := Members{all: list, byDomain: make(map[string][]Member)}
	for _, v := range list {
		m.byDomain[v.Domain] = append(m.byDomain[v.Domain], v)
	}
	return m
}

// MayOwn reports whether a member of the failure domain from may own upstreams of the
// failure domain of: the same one, or one without members.
func (m Members) MayOwn(from, of string) bool { return from == of || len(m.byDomain[of]) == 0 }

// Owner is like the function Owner.
func (m Members) Owner(upstream, domain string) (string, bool) {
	if local := m.byDomain[domain]; len(local) > 0 {
		return highest(upstream, local)
	}
	return highest(upstream, m.all)
}

// Owner returns the name of the member that owns the upstream; false if there are
// no members.
func Owner(upstream, domain string, members []Member) (string, bool) {
	return NewMembers(members).Owner(upstream, domain)
}

// highest returns the member with the highest score. Scores are those of weighted
// rendezvous hashing: members own upstreams in proportion to their weights, and a
// change of one member moves only upstreams that it owned or owns then.
func highest(upstream string, members []Member) (string, bool) {
	var name string
	best := 0.0
	found := false
	for _, m := range members {
		s := score(m, upstream)
		if !found || s > best || (s == best && m.Name < name) {
			name, best, found = m.Name, s, true
		}
	}
	return name, found
}

// score returns the weight divided by an exponentially distributed hash of the
// member and the upstream.
func score(m Member, upstream string) float64 {
	d := xxhash.New()
	// Writes to a digest never fail.
	_, _ = d.WriteString(m.Name)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(upstream)
	// The top 53 bits, shifted by 0.5 to avoid 0, yield a number between 0 and 1.
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return float64(max(m.Weight, 1)) / -math.Log(u)
}
