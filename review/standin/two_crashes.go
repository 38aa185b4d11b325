package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["two-crashes"] = twoCrashes }

// twoCrashes crashes two workers under one task, one after the other.
func twoCrashes(s *scene) (string, error) {
	s.plant.task = func(string, int) (amount, time.Duration, bool) {
		return amount{6800, 64}, 7 * time.Second, false
	}
	names, err := s.build(zones, 4, 12, 1, 3)
	if err != nil {
		return "", err
	}
	const id = "5c0e7a21d94b36f8"
	if s.submit(names[0], id, "x", step{Count: 1, CPU: 6800, Memory: 64, Estimate: 7000}) != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	for _, number := range []string{"1", "2"} {
		w := s.waitRunning(id, 15*time.Second)
		if w == nil {
			return "", fmt.Errorf("the task does not run")
		}
		time.Sleep(time.Second)
		if s.causes(number) {
			w.crash()
			time.Sleep(4500 * time.Millisecond)
			if err := w.restart(); err != nil {
				return "", err
			}
		}
	}
	state := ""
	for until := time.Now().Add(finish + 10*time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if _, state = s.call(http.MethodGet, names[1], id, nil); state != "queued" && state != "running" {
			break
		}
	}
	failed := 0
	for _, e := range s.plant.seen(id) {
		if e.what == "failed" {
			failed++
		}
	}
	if state == "failed" && failed < 3 {
		return fmt.Sprintf("LOST: the job is shown as failed, and %d of its 3 attempts ended failed", failed), nil
	}
	return "", nil
}

// waitRunning returns the worker on which a job's task runs.
func (s *scene) waitRunning(id string, limit time.Duration) *worker {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, w := range s.plant.running(id) {
			return s.plant.find(w)
		}
	}
	return nil
}
