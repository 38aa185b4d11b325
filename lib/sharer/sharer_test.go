package sharer

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/wire"
)

// init fixes the seed so that every run draws the same cases. A -rapid.seed flag
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func member(name string, weight uint32) registrar.Member {
	return registrar.Member{Registration: &wire.Registration{Name: name, Weight: weight, FailureDomain: "north"}, Registered: true}
}

// TestShareProperty checks that every slot has exactly one owner and that each
// share is within one slot of its exact value by weight.
func TestShareProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		var members []registrar.Member
		total := 0
		for i := range rapid.IntRange(1, 20).Draw(t, "members") {
			w := rapid.Uint32Range(1, 5).Draw(t, "weight")
			members = append(members, member(fmt.Sprint("m", i), w))
			total += int(w)
		}
		sum := 0
		for _, m := range members {
			n := Share("upstream", slots, members, m.GetName())
			exact := float64(slots*int(m.GetWeight())) / float64(total)
			if float64(n) < exact-1 || float64(n) > exact+1 {
				t.Fatalf("share %d of member %s, exact share %f", n, m.GetName(), exact)
			}
			sum += n
		}
		if sum != slots {
			t.Fatalf("shares add up to %d of %d slots", sum, slots)
		}
	})
}

// fakeView provides everything that a Sharer depends on and records the assigned
// slots.
type fakeView struct {
	members  []registrar.Member
	assigned map[string]int
}

func (v *fakeView) Members() []registrar.Member { return v.members }
func (*fakeView) VMs() []*wire.VM {
	return []*wire.VM{{Name: "u", Role: RoleUpstream, Group: "g", FailureDomain: "north"}}
}

func (*fakeView) All() []*wire.ServiceConfiguration {
	return []*wire.ServiceConfiguration{{Service: "s", UpstreamGroup: "g", SlotsPerUpstream: 8}}
}

func (v *fakeView) Assign(_ string, targets []dispatcher.Target) { v.assigned["u"] = targets[0].Slots }

// TestGrowthWaits checks that a smaller share takes effect at once and a larger
// one only after growthDelay, when the previous owners have released the slots.
// Otherwise two entries would use the same slot.
func TestGrowthWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &fakeView{members: []registrar.Member{member("a", 1), member("b", 1)}, assigned: map[string]int{}}
		s := &Sharer{Self: v.members[0].Registration, Members: v, VMs: v, Services: v, Pools: v}
		refresh := func(want int, after time.Duration) {
			t.Helper()
			s.Refresh()
			time.Sleep(after)
			synctest.Wait()
			if v.assigned["u"] != want {
				t.Errorf("%d slots, want %d", v.assigned["u"], want)
			}
		}
		refresh(0, growthDelay/2)
		refresh(4, growthDelay)
		v.members = v.members[:1]
		refresh(4, growthDelay/2)
		refresh(8, growthDelay)
		v.members = append(v.members, member("b", 3))
		refresh(2, 0)
		time.Sleep(time.Minute)
	})
}
