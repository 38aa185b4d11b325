package sharer

import (
	"fmt"
	"strconv"
	"testing"

	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/wire"
)

// benchView provides one service with many upstreams and entries.
type benchView struct {
	members []registrar.Member
	vms     []*wire.VM
}

func (v *benchView) Members() []registrar.Member      { return v.members }
func (v *benchView) VMs() []*wire.VM                  { return v.vms }
func (*benchView) Assign(string, []dispatcher.Target) {}
func (*benchView) All() []*wire.ServiceConfiguration {
	return []*wire.ServiceConfiguration{{Service: "s", UpstreamGroup: "g", SlotsPerUpstream: 8}}
}

// BenchmarkRefresh measures the division of slots after a change of the VM list,
// for various numbers of VMs in all failure domains.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{70, 700, 6900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			v := &benchView{}
			for i := range n / 115 {
				v.members = append(v.members, member(fmt.Sprint("e", i), 1))
			}
			v.members = append(v.members, member("self", 1))
			for i := range n {
				fd := "north"
				if i%11 != 0 {
					fd = "south"
				}
				v.vms = append(v.vms, &wire.VM{Name: fmt.Sprint("u", i), Role: RoleUpstream, Group: "g", FailureDomain: fd})
			}
			s := &Sharer{Self: v.members[0].Registration, Members: v, VMs: v, Services: v, Pools: v}
			for range b.N {
				s.Refresh()
			}
		})
	}
}
