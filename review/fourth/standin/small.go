package main

import "fmt"

// small builds a small deployment: entries and workers in two zones.
func (t *trial) small(entries, workers int) {
	t.configure(1)
	zones := []string{"zone-a", "zone-b"}
	for i := range workers {
		t.workers = append(t.workers, newWorker(fmt.Sprintf("i-%04x", 0x7f00+i), zones[i%2], fmt.Sprintf("r%d-%d", i%2+1, i/4), 16000, t.store, t.judge))
	}
	for i := range entries {
		t.addEntry(fmt.Sprintf("edge-%d", i+1), zones[i%2])
	}
	if !t.ready() {
		panic("the entries are not ready")
	}
}
