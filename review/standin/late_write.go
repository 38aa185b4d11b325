package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["late-write"] = lateWrite }

const (
	// lateBy is how late the write is, restartDelay how long the entry stays down, and
	// resendDelay the time after which the client sends the job again.
	lateBy       = 1800 * time.Millisecond
	restartDelay = 200 * time.Millisecond
	resendDelay  = 1900 * time.Millisecond
)

// lateWrite delays the write of a job at the store, kills the entry that sent it, and
// sends the job again after the write was carried out.
func lateWrite(s *scene) (string, error) {
	s.plant.task = func(string, int) (amount, time.Duration, bool) {
		return amount{6800, 64}, 200 * time.Millisecond, false
	}
	const id, early = "5c0e7a21d94b36f8", "5c0e7a21d94b0001"
	names, err := s.build(zones, 4, 12, 1, 3)
	if err != nil {
		return "", err
	}
	first, other := names[0], names[1]
	work := step{Count: 2, CPU: 6800, Memory: 64, Estimate: 200}
	// Jobs have run before, at all entries.
	for i, name := range names {
		s.submit(name, fmt.Sprintf("%s%x", early[:15], i), "x", work)
	}
	time.Sleep(3 * time.Second)
	if s.causes("1") {
		var once atomic.Bool
		s.store.setFate(func(entry, _ string, t *transaction) fate {
			if entry == first && t != nil && strings.HasSuffix(keysOf(t), id) && once.CompareAndSwap(false, true) {
				s.rec.note("store: the write of %s to %s is late and not answered", entry, keysOf(t))
				return fate{after: lateBy, silent: true}
			}
			return fate{}
		})
	}
	sent := time.Now()
	answered := make(chan int, 1)
	go func() { answered <- s.submit(first, id, "x", work) }()
	time.Sleep(100 * time.Millisecond)
	if s.causes("2") {
		s.kill(first)
		time.Sleep(restartDelay)
		if err := s.startEntry(first); err != nil {
			return "", err
		}
	}
	<-answered
	time.Sleep(time.Until(sent.Add(100*time.Millisecond + resendDelay)))
	if s.submit(other, id, "x", work) != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(finish)
	idle := 0
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		status, state := s.call(http.MethodGet, other, id, nil)
		if state == "complete" || len(s.plant.running(id)) > 0 {
			idle = 0
			continue
		}
		if idle++; idle >= 31 {
			return fmt.Sprintf("LOST: the accepted job is %s (%d) with nothing running for 3 s, %d s after its submission, on idle workers", state, status, int(finish/time.Second)), nil
		}
	}
	return "", nil
}
