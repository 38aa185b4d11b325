// Package sharer divides the slots of the upstreams among the entries.
//
// Every entry computes the same division from the members and the VM list, so
// that no message is needed: each upstream's slots are divided among the entries of
// its failure domain in proportion to their weights. When entries outnumber
// slots each upstream is used by some of them only. A larger share takes
// effect after a delay, in which the former owners learn of it.
//
// # Usage
//
//	s := &sharer.Sharer{Self: self, Members: r, VMs: r, Pools: d}
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

// growthDelay is the time before a larger share takes effect.
const growthDelay = time.Second

// RoleUpstream is the role of upstreams in the VM list.
const RoleUpstream = "upstream"

// Members lists the entries.
type Members interface{ Members() []registrar.Member }

// VMs lists the VMs.
type VMs interface{ VMs() []*wire.VM }

// Services lists the configurations.
type Services interface {
	All() []*wire.ServiceConfiguration
}

// Pools takes the upstreams of a service; a dispatcher.Dispatcher is one.
type Pools interface {
	Assign(service string, targets []dispatcher.Target)
}

// Sharer keeps the pools' slots up to date. Exported fields are set before use.
type Sharer struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Members lists the entries.
	Members Members
	// VMs lists the upstreams.
	VMs VMs
	// Services lists the configurations.
	Services Services
	// Pools takes the result.
	Pools Pools

	mu     sync.Mutex
	held   map[slot]int
	growAt map[slot]time.Time
}

// slot names the share of one service on one upstream's life.
type slot struct{ service, upstream, instance string }

// Refresh computes the division anew and hands it to the pools.
func (s *Sharer) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = make(map[slot]int)
		s.growAt = make(map[slot]time.Time)
	}
	now := time.Now()
	members := s.members()
	vms := s.VMs.VMs()
	later := false
	for _, cfg := range s.Services.All() {
		var targets []dispatcher.Target
		for _, vm := range vms {
			if vm.GetRole() != RoleUpstream || vm.GetGroup() != cfg.GetUpstreamGroup() {
				continue
			}
			if vm.GetFailureDomain() != s.Self.GetFailureDomain() {
				continue
			}
			k := slot{cfg.GetService(), vm.GetName(), vm.GetInstance()}
			want := Share(vm.GetName(), int(cfg.GetSlotsPerUpstream()), members, s.Self.GetName())
			n, waiting := s.grow(k, want, now)
			later = later || waiting
			targets = append(targets, dispatcher.Target{
				Name: vm.GetName(), Instance: vm.GetInstance(), Address: vm.GetAddress(),
				Slots: n, Leaving: vm.GetLeaving(),
			})
		}
		s.Pools.Assign(cfg.GetService(), targets)
	}
	if later {
		time.AfterFunc(growthDelay, s.Refresh)
	}
}

// grow returns the share in force: a smaller one at once, a larger one after
// the delay. The caller holds the lock.
func (s *Sharer) grow(k slot, want int, now time.Time) (n int, waiting bool) {
	held := s.held[k]
	if want <= held {
		delete(s.growAt, k)
		s.held[k] = want
		return want, false
	}
	at, ok := s.growAt[k]
	if !ok {
		at = now.Add(growthDelay)
		s.growAt[k] = at
	}
	if now.Before(at) {
		return held, true
	}
	delete(s.growAt, k)
	s.held[k] = want
	return want, false
}

// members returns the entries of the own failure domain that take a share.
func (s *Sharer) members() []registrar.Member {
	var out []registrar.Member
	for _, m := range s.Members.Members() {
		if m.GetFailureDomain() == s.Self.GetFailureDomain() && m.Registered && !m.Draining {
			out = append(out, m)
		}
	}
	return out
}

// Share returns how many of an upstream's slots belong to the entry self. All
// shares of an upstream add up to slots.
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

func weight(m registrar.Member) int { return max(1, int(m.GetWeight())) }
