package coordinator

import (
	"slices"
	"strings"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
)

// View is what this entry knows of one upstream.
type View struct {
	runner.Upstream
	// Owner is the entry that claimed the upstream with the highest token, which is
	// Token.
	Owner string
	Token int64
	// Usable is true while new runs may be sent to the upstream.
	Usable bool
	// Free is the capacity that new runs may use.
	Free     packer.Amount
	Slowness float64
	// UpdatedAt is the time of the owner's last report.
	UpdatedAt time.Time
}

// Views returns all listed upstreams, sorted by name.
func (c *Coordinator) Views() []View {
	c.mu.Lock()
	out := make([]View, 0, len(c.upstreams))
	for _, s := range c.upstreams {
		if !s.unlistedSince.IsZero() {
			continue
		}
		out = append(out, View{
			Upstream: s.Upstream, Owner: s.owner, Token: s.token, Usable: c.usable(s), Free: s.available(), Slowness: s.slowness, UpdatedAt: s.updatedAt,
		})
	}
	c.mu.Unlock()
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Reachable reports whether a peer is up.
func (c *Coordinator) Reachable(peer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.peers[peer]
	return l != nil && l.up
}
