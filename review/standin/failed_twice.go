package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["failed-twice"] = failedTwice }

// failedTwice kills the entry of a job whose task has just failed for the second time.
func failedTwice(s *scene) (string, error) {
	const attempts, id, beside = 3, "5c0e7a21d94b36f8", "5c0e7a21d94b0001"
	s.plant.task = func(task string, _ int) (amount, time.Duration, bool) {
		if jobOf(task) == id {
			return amount{6800, 64}, 900 * time.Millisecond, true
		}
		return amount{6800, 64}, 7 * time.Second, false
	}
	names, err := s.build(zones, 4, 12, 1.7, attempts)
	if err != nil {
		return "", err
	}
	first, other := names[0], names[1]
	// The workers have other work too.
	if s.submit(other, beside, "x", step{Count: 6, CPU: 6800, Memory: 64, Estimate: 7000, Requires: "r1-3", AntiAffinity: 1}) != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	if s.submit(first, id, "x", step{Count: 1, CPU: 6800, Memory: 64, Estimate: 900, Requires: "r1-3"}) != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	for until := time.Now().Add(10 * time.Second); s.count(id, "failed") < 2 && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if s.trouble {
		s.kill(first)
		time.Sleep(time.Second)
		if err := s.startEntry(first); err != nil {
			return "", err
		}
	}
	for until := time.Now().Add(finish + 10*time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if _, state := s.call(http.MethodGet, other, id, nil); state != "queued" && state != "running" && state != "" {
			break
		}
	}
	time.Sleep(2 * time.Second)
	return s.overBudget(id, attempts), nil
}

// count counts the events of one sort of a job.
func (s *scene) count(id, what string) int {
	n := 0
	for _, e := range s.plant.seen(id) {
		if e.what == what {
			n++
		}
	}
	return n
}

// overBudget returns the first start of a task after as many runs of it have ended failed
// as are allowed, if these ends are taken note of.
func (s *scene) overBudget(id string, attempts int) string {
	failed, observed := make(map[string][]runKey), make(map[runKey]bool)
	list := s.plant.seen(id)
	for _, e := range list {
		if e.what == "observed failed" && !e.lapsedSince {
			observed[e.runKey] = true
		}
	}
	for _, e := range list {
		switch e.what {
		case "failed":
			if observed[e.runKey] {
				failed[e.task] = append(failed[e.task], e.runKey)
			}
		case "start":
			if len(failed[e.task]) >= attempts {
				return fmt.Sprintf("BUDGET: %s run %d starts after %d runs have ended failed (%v) and these ends are taken note of", e.task, e.run, len(failed[e.task]), failed[e.task])
			}
		}
	}
	return ""
}
