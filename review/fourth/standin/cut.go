package main

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
