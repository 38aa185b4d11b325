package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["delete"] = playDelete }

// playDelete plays the cancelling of a best-effort job while its answer is awaited.
func playDelete(t *trial) {
	t.small(3, 6)
	id, text := t.newID(), `{"ms":1500,"cpu":6800}`
	steps := []step{
		{Count: 2, CPU: 6800, Mem: 64, MS: 1500},
		{Count: 2, CPU: 6800, Mem: 64, MS: 1500, After: []int{0}},
		{Count: 2, CPU: 6800, Mem: 64, MS: 1500, After: []int{1}},
		{Count: 2, CPU: 6800, Mem: 64, MS: 1500, After: []int{2}},
	}
	body, err := json.Marshal(map[string]any{"spec": text, "best_effort": true, "steps": steps})
	check(err)
	t.judge.submitted(id, text, false, []int{2, 2, 2, 2})
	answered := make(chan struct{})
	go func() {
		status, state := t.call(http.MethodPost, t.names[0], id, body, 20*time.Second)
		t.judge.note("POST %s at %s: %d %s", id, t.names[0], status, state)
		close(answered)
	}()
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		if status := t.cancel(id, t.names[0]); status == http.StatusGone {
			t.judge.mu.Lock()
			t.judge.jobs[id].cancelled = time.Now()
			t.judge.mu.Unlock()
		}
	}
	<-answered
}
