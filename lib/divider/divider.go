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
	"strconv"

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

// highest returns the member with the highest hash, within the domain only if
// local is set. A member of weight n takes part n times.
func highest(upstream, domain string, members []Member, local bool) (string, bool) {
	var name string
	var best uint64
	found := false
	for _, m := range members {
		if local && m.Domain != domain {
			continue
		}
		for i := range max(m.Weight, 1) {
			h := xxhash.Sum64String(m.Name + "/" + strconv.Itoa(i) + "/" + upstream)
			if !found || h > best || (h == best && m.Name < name) {
				name, best, found = m.Name, h, true
			}
		}
	}
	return name, found
}
