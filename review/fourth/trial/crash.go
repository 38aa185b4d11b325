package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["crash"] = playCrash }

// atWork returns the worker on which a task is at work, nil if there is none.
func (s *site) atWork(task string) *worker {
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	list := s.judge.tasks[task]
	if len(list) == 0 || !list[len(list)-1].ended.IsZero() {
		return nil
	}
	i := slices.IndexFunc(s.workers, func(w *worker) bool { return w.id == list[len(list)-1].worker })
	return s.workers[i]
}

// awaitWork waits until a task is at work for a while and returns its worker.
func (s *site) awaitWork(task string, wait, since time.Duration) *worker {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if w := s.atWork(task); w != nil {
			time.Sleep(since)
			if s.atWork(task) == w {
				return w
			}
		}
	}
	return nil
}

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

// playCrash plays a job with tasks of some seconds, whose workers crash twice.
func playCrash(t *trial) {
	t.small(4, 8)
	id := t.newID()
	steps := []step{{Count: 4, CPU: 6800, Mem: 64, MS: 3000}}
	if status := t.submit(id, 0, steps, func() string { return t.names[0] }); status != 200 {
		panic(fmt.Sprint("the job was answered ", status))
	}
	if t.trouble {
		for range 2 {
			w := t.awaitWork(id+".0.0.0", 6*time.Second, time.Second)
			if w == nil {
				t.judge.note("the task is not at work")
				break
			}
			t.judge.note("crash of worker %s for 3 s", w.id)
			w.crash()
			time.AfterFunc(3*time.Second, w.start)
		}
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if _, state := t.state(id, t.names[1]); state == "complete" || state == "failed" {
			return
		}
	}
	t.judge.note("the job has not ended")
}
