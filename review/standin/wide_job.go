package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["wide-job"] = wideJob }

// wideJob submits a job that fills all workers of a rack, of which one was lost.
func wideJob(s *scene) (string, error) {
	s.plant.task = func(string, int) (amount, time.Duration, bool) {
		return amount{6800, 64}, 900 * time.Millisecond, false
	}
	names, err := s.build(zones, 4, 12, 1, 4)
	if err != nil {
		return "", err
	}
	const rack, id = "r1-3", "5c0e7a21d94b36f8"
	if s.trouble {
		s.plant.find("i-7f3a000c").crash()
	}
	// The entry of the worker has lapsed by then, and the machines are in touch.
	time.Sleep(3*heartbeat + contact + time.Second)
	if s.submit(names[0], id, "x", step{Count: 12, CPU: 6800, Memory: 64, Estimate: 900, Requires: rack}) != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(finish)
	idle := 0
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		_, state := s.call(http.MethodGet, names[1], id, nil)
		free, _ := s.plant.free(rack)
		allFree, all := s.plant.free("")
		if state == "complete" || len(s.plant.running(id)) > 0 || free < 2*6800 || 2*allFree < all {
			idle = 0
			continue
		}
		if idle++; idle >= 31 {
			return fmt.Sprintf("LOST: the accepted job is %s with nothing running for 3 s, %d s after its submission, with %d of %d thousandths of a core free, %d of them with its label",
				state, int(finish/time.Second), allFree, all, free), nil
		}
	}
	return "", nil
}
