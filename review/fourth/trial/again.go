package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["again"] = playAgain }

// playAgain plays an entry with open jobs that the store turns away for some seconds, with
// its keys taken away.
func playAgain(t *trial) {
	t.small(4, 8)
	name := "edge-1"
	var work sync.WaitGroup
	for range 24 {
		work.Go(func() {
			t.submit(t.newID(), 0, []step{{Count: 1, CPU: 6800, Mem: 64, MS: 1500}}, func() string { return name })
		})
	}
	work.Wait()
	time.Sleep(300 * time.Millisecond)
	if t.trouble {
		t.judge.note("the store turns %s away with 503 for 6 s", name)
		t.store.setRefusal(name, busy)
		t.takeKeys(name)
		time.Sleep(6 * time.Second)
		t.store.setRefusal(name, serving)
		t.judge.note("the store serves %s again", name)
	}
	time.Sleep(8 * time.Second)
	t.checkJobs(15 * time.Second)
	if len(t.judge.jobs) == 0 {
		panic(fmt.Sprint("no jobs"))
	}
}
