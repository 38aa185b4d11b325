// Package sharer divides the slots of the upstreams among the entries.
//
// The slots of each upstream are divided among the entries of its failure domain
// in proportion to their weights. Every entry computes the same division from the
// members and the VM list, so no messages are needed. If there are more entries
// than slots, only some of the entries use an upstream. A smaller share takes
// effect at once and a larger one after a delay, in which the previous owners of
// the slots learn of the change.
//
// # Usage
//
//	s := &sharer.Sharer{Self: self, Members: r, VMs: r, Services: c, Pools: d}
//	r.Changed = s.Refresh
package sharer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/wire"
)

// growthDelay is the time after which a larger share takes effect.
const growthDelay = time.Second

// RoleUpstream is the role of upstreams in the VM list.
const RoleUpstream = "upstream"

// Members lists the entries.
type Members interface{ Members() []registrar.Member }

// VMs returns the VM list.
type VMs interface{ VMs() []*wire.VM }

// Services lists the service configurations.
type Services interface {
	All() []*wire.ServiceConfiguration
}

// Pools receives the upstreams of each service; dispatcher.Dispatcher implements
// it.
type Pools interface {
	Assign(service string, targets []dispatcher.Target)
}

// Sharer keeps the slots of the pools up to date. The exported fields must be set
// before use.
type Sharer struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Members lists the entries.
	Members Members
	// VMs lists the VMs, from which the upstreams are taken.
	VMs VMs
	// Services lists the service configurations.
	Services Services
	// Pools receives this entry's slots on the upstreams.
	Pools Pools

	mu sync.Mutex
	// inEffect is the share in effect.
	inEffect map[shareKey]int
	// growAt is the time at which a larger share takes effect.
	growAt map[shareKey]time.Time
}

// shareKey identifies a share: the slots of one service on one instance of an
// upstream.
type shareKey struct{ service, upstream, instance string }

// Refresh recomputes the division and assigns this entry's shares to the pools. If
// a larger share has yet to take effect, it schedules another refresh.
func (s *Sharer) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inEffect == nil {
		s.inEffect = make(map[shareKey]int)
		s.growAt = make(map[shareKey]time.Time)
	}
	now := time.Now()
	members := s.members()
	vms := s.VMs.VMs()
	pending := false
	for _, cfg := range s.Services.All() {
		var targets []dispatcher.Target
		for _, vm := range vms {
			if vm.GetRole() != RoleUpstream || vm.GetGroup() != cfg.GetUpstreamGroup() {
				continue
			}
			if vm.GetFailureDomain() != s.Self.GetFailureDomain() {
				continue
			}
			k := shareKey{cfg.GetService(), vm.GetName(), vm.GetInstance()}
			want := Share(vm.GetName(), int(cfg.GetSlotsPerUpstream()), members, s.Self.GetName())
			n, waiting := s.effective(k, want, now)
			pending = pending || waiting
			targets = append(targets, dispatcher.Target{
				Name: vm.GetName(), Instance: vm.GetInstance(), Address: vm.GetAddress(),
				Slots: n, Leaving: vm.GetLeaving(),
			})
		}
		s.Pools.Assign(cfg.GetService(), targets)
	}
	if pending {
		time.AfterFunc(growthDelay, s.Refresh)
	}
}

// effective returns and records the share in effect: want if it is not larger than
// the current share or growthDelay has passed since it was first wanted, otherwise
// the current share. pending reports whether a larger share has yet to take
// effect. The caller holds the lock.
func (s *Sharer) effective(k shareKey, want int, now time.Time) (n int, pending bool) {
	current := s.inEffect[k]
	if want <= current {
		delete(s.growAt, k)
		s.inEffect[k] = want
		return want, false
	}
	at, ok := s.growAt[k]
	if !ok {
		at = now.Add(growthDelay)
		s.growAt[k] = at
	}
	if now.Before(at) {
		return current, true
	}
	delete(s.growAt, k)
	s.inEffect[k] = want
	return want, false
}

// members returns the entries of this entry's failure domain that receive a share:
// those that are registered and not draining.
func (s *Sharer) members() []registrar.Member {
	var out []registrar.Member
	for _, m := range s.Members.Members() {
		if m.GetFailureDomain() == s.Self.GetFailureDomain() && m.Registered && !m.Draining {
			out = append(out, m)
		}
	}
	return out
}

// Share returns how many of an upstream's slots belong to the entry self. The
// shares of all members add up to slots: each gets its exact share rounded down,
// and the slots left over go to the largest remainders, with ties broken by a hash
// of upstream and entry.
func Share(upstream string, slots int, members []registrar.Member, self string) int {
	total := 0
	for _, m := range members {
		total += weight(m)
	}
	if total == 0 {
		return 0
	}
	type part struct {
		name      string
		whole     int
		remainder int
		hash      uint64
	}
	parts := make([]part, 0, len(members))
	left := slots
	for _, m := range members {
		n := slots * weight(m)
		parts = append(parts, part{m.GetName(), n / total, n % total, xxhash.Sum64String(upstream + "/" + m.GetName())})
		left -= n / total
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.hash, b.hash))
	})
	for i, p := range parts {
		if p.name != self {
			continue
		}
		if i < left {
			return p.whole + 1
		}
		return p.whole
	}
	return 0
}

// weight returns the weight of a member, at least 1.
func weight(m registrar.Member) int { return max(1, int(m.GetWeight())) }
