package divider

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View identifies a set of registered entries. Entries with the same view agree on the
// owners of all upstreams. 0 stands for an unknown view.
type View uint64

// NewView returns the view of the given entries: their incarnations by name.
func NewView(incarnations map[string]string) View {
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(incarnations)) {
		// Writes to a hash never fail.
		_, _ = h.WriteString(name + "\x00" + incarnations[name] + "\x00")
	}
	return View(max(h.Sum64(), 1))
}
