package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["retired"] = playRetired }

// owner returns the entry with the most workers that is neither the given one nor took jobs
// over, as its log says.
func (t *trial) owner(holder string) string {
	best, most := "", 0
	for _, name := range t.names {
		data, err := os.ReadFile(filepath.Join(t.dir, name+".log"))
		if err != nil || name == holder || bytes.Contains(data, []byte("takeover_begun")) {
			continue
		}
		owned := 0
		for _, w := range t.pool() {
			w.mu.Lock()
			from := w.heldFrom
			w.mu.Unlock()
			if t.network.sender(from) == name {
				owned++
			}
		}
		if owned > most {
			best, most = name, owned
		}
	}
	if best == "" {
		panic("no other entry owns a worker")
	}
	return best
}

// playRetired plays a machine that the store turns away for some seconds, with its keys taken
// away, and another machine whose process is killed once the jobs of the first have been
// taken over. ONLY=store and ONLY=kill play one of the two disruptions.
func playRetired(t *trial) {
	only := os.Getenv("ONLY")
	t.small(5, 8)
	holder := t.names[1]
	var jobs sync.WaitGroup
	for range 6 {
		jobs.Go(func() {
			if status := t.submit(t.newID(), 0, []step{{Count: 2, CPU: 3400, Mem: 64, MS: 9000}}, func() string { return holder }); status != 200 {
				panic(fmt.Sprint("a job was answered ", status))
			}
		})
	}
	jobs.Wait()
	time.Sleep(500 * time.Millisecond)
	if t.trouble && only != "kill" {
		t.judge.note("the store turns %s away with 503", holder)
		t.store.setRefusal(holder, busy)
		t.takeKeys(holder)
	}
	time.Sleep(2500 * time.Millisecond)
	if t.trouble && only != "store" {
		restarted := t.owner(holder)
		t.judge.note("kill of %s", restarted)
		t.kill(restarted)
		time.Sleep(700 * time.Millisecond)
		t.startEntry(restarted)
	} else {
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	t.store.setRefusal(holder, serving)
	t.judge.note("the store serves %s", holder)
	time.Sleep(2 * time.Second)
	t.checkJobs(15 * time.Second)
}
