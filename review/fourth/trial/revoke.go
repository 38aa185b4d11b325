package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["revoke"] = playRevoke }

// cutZone cuts a zone off from the other zones and from the store, or ends that.
func (t *trial) cutZone(zone string, cut bool) {
	for _, from := range t.names {
		for _, to := range t.names {
			if from != to && (t.entries[from].zone == zone) != (t.entries[to].zone == zone) {
				t.network.cut(from, to, cut)
			}
		}
		for _, w := range t.workers {
			if (t.entries[from].zone == zone) != (w.zone == zone) {
				t.network.cut(from, w.id, cut)
			}
		}
		if t.entries[from].zone == zone {
			r := serving
			if cut {
				r = silent
			}
			t.store.setRefusal(from, r)
		}
	}
}

// revoke removes the leased keys of the entries of a zone, as the kind of disruption does
// that takes keys away at once.
func (t *trial) revoke(zone string) {
	gone := t.store.removeMatching(func(key string) bool {
		return slices.ContainsFunc(t.names, func(name string) bool {
			own := "/radishweir/entries/" + name
			return t.entries[name].zone == zone && (key == own || strings.HasPrefix(key, own+"@"))
		})
	})
	t.judge.note("the store takes away %v", gone)
}

// playRevoke plays a zone that is cut off, with its keys taken away, while it works on a job.
func playRevoke(t *trial) {
	t.small(4, 8)
	id := t.newID()
	steps := []step{{Count: 8, CPU: 6800, Mem: 64, MS: 6000}}
	if status := t.submit(id, 0, steps, func() string { return t.names[0] }); status != 200 {
		panic(fmt.Sprint("the job was answered ", status))
	}
	time.Sleep(time.Second)
	if t.trouble {
		t.judge.note("zone-a is cut off, its keys are taken away")
		t.cutZone("zone-a", true)
		t.revoke("zone-a")
		time.Sleep(5500 * time.Millisecond)
		t.cutZone("zone-a", false)
		t.judge.note("the cut ends")
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if _, state := t.state(id, t.names[1]); state == "complete" || state == "failed" {
			return
		}
	}
	t.judge.note("the job has not ended")
}
