package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["pending"] = playPending }

// waitingJobs counts the jobs that were accepted over 5 s before (visible_ms and 2 s) and have
// not begun.
func (t *trial) waitingJobs() int {
	t.judge.mu.Lock()
	defer t.judge.mu.Unlock()
	n := 0
	for _, v := range t.judge.jobs {
		begun := false
		for _, task := range v.tasks {
			begun = begun || len(t.judge.tasks[task]) > 0
		}
		if !begun && !v.accepted.IsZero() && time.Since(v.accepted) > 5*time.Second {
			n++
		}
	}
	return n
}

// playPending plays an entry with waiting jobs that is removed for good, and a new one that
// comes at another address.
func playPending(t *trial) {
	t.small(4, 8)
	for range 40 {
		if t.submit(t.newID(), 0, []step{{Count: 4, CPU: 6800, Mem: 64, MS: 3000}}, func() string { return "edge-1" }) != 200 {
			break
		}
	}
	began := time.Now()
	if t.trouble {
		t.judge.note("edge-1 is removed for good")
		t.kill("edge-1")
		time.Sleep(2 * time.Second)
	}
	t.judge.note("edge-5 comes")
	t.addEntry("edge-5", "zone-a")
	asked, wrong := 0, 0
	for time.Since(began) < 9*time.Second {
		time.Sleep(200 * time.Millisecond)
		// A machine is in touch contact_ms after its start.
		for _, name := range []string{"edge-2", "edge-5"} {
			if name == "edge-5" && time.Since(began) < 5200*time.Millisecond {
				continue
			}
			before := t.waitingJobs()
			status, text := t.call(http.MethodGet, name, "", nil, 3*time.Second)
			after := t.waitingJobs()
			n, err := strconv.Atoi(text)
			t.judge.note("GET the queue at %s: %d %q, %d to %d wait", name, status, text, before, after)
			if status != http.StatusOK || err != nil {
				continue
			}
			asked++
			if 2*n < min(before, after) {
				if wrong++; wrong == 1 {
					t.judge.mu.Lock()
					t.judge.breaks("MIXED", "%s gives %d as pending, %d jobs that were accepted over 5 s before have not begun", name, n, min(before, after))
					t.judge.mu.Unlock()
				}
			}
		}
	}
	t.judge.note("%d answers, %d under half", asked, wrong)
	if asked == 0 {
		panic(fmt.Sprint("no answer"))
	}
}
