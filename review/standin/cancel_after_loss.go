package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

func init() { cases["cancel-after-loss"] = cancelAfterLoss }

// cancelAfterLoss removes the entry that took jobs, and cancels these at another one.
func cancelAfterLoss(s *scene) (string, error) {
	s.plant.task = func(string, int) (amount, time.Duration, bool) {
		return amount{6800, 64}, 7 * time.Second, false
	}
	names, err := s.build(zones, 4, 12, 1.7, 3)
	if err != nil {
		return "", err
	}
	first, other := names[0], names[1]
	var ids []string
	for i := range 12 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		if s.submit(first, id, "x", step{Count: 1, CPU: 6800, Memory: 64, Estimate: 7000, Requires: "r1-3"}) == http.StatusOK {
			ids = append(ids, id)
		}
	}
	time.Sleep(500 * time.Millisecond)
	removed := time.Now()
	if s.trouble {
		s.kill(first)
		s.rec.note("machine %s is gone for good", first)
	}
	time.Sleep(time.Second)
	for _, id := range ids {
		s.call(http.MethodDelete, other, id, nil)
	}
	// The rest is calm from contact after the loss.
	calm := removed.Add(contact)
	if now := time.Now(); calm.Before(now) {
		calm = now
	}
	time.Sleep(time.Until(calm.Add(cancelled + stopGrace + 100*time.Millisecond)))
	var on []string
	for _, id := range ids {
		for k, w := range s.plant.running(id) {
			on = append(on, fmt.Sprintf("%s run %d on %s", k.task, k.run, w))
		}
	}
	sort.Strings(on)
	for _, id := range ids {
		s.call(http.MethodGet, other, id, nil)
	}
	if len(on) > 0 {
		return fmt.Sprintf("UNASKED: %d tasks of cancelled jobs run on: %s", len(on), strings.Join(on, ", ")), nil
	}
	return "", nil
}
