package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["stale"] = playStale }

// takeKeys removes the leased keys of an entry.
func (t *trial) takeKeys(name string) {
	own := "/radishweir/entries/" + name
	gone := t.store.removeMatching(func(key string) bool { return key == own || strings.HasPrefix(key, own+"@") })
	t.judge.note("the store takes away %v", gone)
}

// playStale plays an entry that the store turns away for some seconds, with its keys taken
// away, and then jobs that are handed in there when all is calm again.
func playStale(t *trial) {
	t.small(4, 8)
	name := "edge-2" // in zone-b
	first := t.newID()
	if status := t.submit(first, 0, []step{{Count: 4, CPU: 6800, Mem: 64, MS: 2500}}, func() string { return name }); status != 200 {
		panic(fmt.Sprint("the job was answered ", status))
	}
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		t.judge.note("the store turns %s away with 503 for 5 s", name)
		t.store.setRefusal(name, busy)
		t.takeKeys(name)
		time.Sleep(5 * time.Second)
		t.store.setRefusal(name, serving)
		t.judge.note("the store serves %s again", name)
	}
	time.Sleep(20 * time.Second)
	t.judge.note("all has been calm for 20 s")
	var ids []string
	for range 3 {
		id := t.newID()
		ids = append(ids, id)
		if status := t.submit(id, 0, []step{{Count: 2, CPU: 6800, Mem: 64, MS: 200}}, func() string { return name }); status != 200 {
			panic(fmt.Sprint("the job was answered ", status))
		}
	}
	t.judge.note("the traffic ends")
	// finish_s after the end of the traffic, jobs are asked for.
	time.Sleep(14 * time.Second)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, id := range ids {
			t.state(id, name)
		}
	}
	t.judge.mu.Lock()
	for _, id := range ids {
		if v := t.judge.jobs[id]; !t.judge.allDone(v) {
			starts := 0
			for _, task := range v.tasks {
				starts += len(t.judge.tasks[task])
			}
			t.judge.breaks("LOST", "the accepted job %s has nothing running for 3 s, 14 s after the end of the traffic, on idle workers; it is shown as %q, %d runs of its tasks have started", id, v.lastState, starts)
		}
	}
	t.judge.mu.Unlock()
}
