package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pending"] = pending }

const (
	// waitingJobs is the number of jobs that wait, pendingDelay the time after its
	// acceptance from which a waiting job must be counted.
	waitingJobs  = 40
	pendingDelay = 5 * time.Second
)

// pending removes the entry that holds jobs that wait for a busy service, and asks the
// other entries how many jobs are pending.
func pending(s *scene) (string, error) {
	s.plant.task = func(string, int) (amount, time.Duration, bool) {
		return amount{6800, 64}, 7 * time.Second, false
	}
	names, err := s.build(zones, 4, 12, 1.7, 3)
	if err != nil {
		return "", err
	}
	accepted := make(map[string]time.Time)
	var mu sync.Mutex
	submit := func(name, id string, count int) {
		if s.submit(name, id, "x", step{Count: count, CPU: 6800, Memory: 64, Estimate: 900}) == http.StatusOK {
			mu.Lock()
			accepted[id] = time.Now()
			mu.Unlock()
		}
	}
	// The service is busy.
	for i := range 24 {
		submit(names[1+i%3], fmt.Sprintf("5c0e7a21d94a%04x", i), 8)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range waitingJobs {
		submit(names[0], fmt.Sprintf("5c0e7a21d94b%04x", i), 1)
	}
	s.rec.note("%d jobs are accepted", len(accepted))
	if s.trouble {
		s.kill(names[0])
		s.rec.note("machine %s is gone for good", names[0])
	}
	worst := ""
	ratio := 1.0
	for until := time.Now().Add(14 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, name := range names[1:] {
			now := time.Now()
			waiting := 0
			for id, at := range accepted {
				if now.Sub(at) > pendingDelay && s.count(id, "start") == 0 {
					waiting++
				}
			}
			n, ok := s.askPending(name)
			after := 0
			for id, at := range accepted {
				if now.Sub(at) > pendingDelay && s.count(id, "start") == 0 {
					after++
				}
			}
			waiting = min(waiting, after)
			if ok && waiting >= 10 {
				s.rec.note("%s gives %d as pending, of %d that wait", name, n, waiting)
				if r := float64(n) / float64(waiting); r < ratio {
					ratio, worst = r, fmt.Sprintf("MIXED: %s gives %d as pending, of %d that were accepted over 5 s before and wait", name, n, waiting)
				}
			}
		}
	}
	if ratio < 0.5 {
		return worst, nil
	}
	return "", nil
}

// askPending returns the number of pending jobs that an entry gives.
func (s *scene) askPending(name string) (int, bool) {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.entry(name).front+prefix, nil)
	if err != nil {
		return 0, false
	}
	r.Host = host
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Pending int `json:"pending"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Pending, err == nil && resp.StatusCode == http.StatusOK
}
