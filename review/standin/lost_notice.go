package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["lost-notice"] = lostNotice }

// lostNotice cuts off the zone of the entry that holds jobs for 2 s, and cancels these at
// an entry outside right after the cut began.
func lostNotice(s *scene) (string, error) {
	s.plant.task = func(string, int) (amount, time.Duration, bool) {
		return amount{6800, 64}, 7 * time.Second, false
	}
	s.cutPaths()
	names, err := s.build(zones, 4, 12, 1.7, 3)
	if err != nil {
		return "", err
	}
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		if s.submit(names[3], id, "x", step{Count: 1, CPU: 6800, Memory: 64, Estimate: 7000}) != http.StatusOK {
			return "", fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(300 * time.Millisecond)
	healed := time.Now()
	if s.trouble {
		s.network.setCut(zones[3])
		healed = healed.Add(2 * time.Second)
		time.AfterFunc(2*time.Second, func() { s.network.setCut("") })
	}
	for _, id := range ids {
		if status, _ := s.call(http.MethodDelete, names[0], id, nil); status != http.StatusOK {
			return "", fmt.Errorf("the cancelling of %s was not acknowledged", id)
		}
	}
	time.Sleep(time.Until(healed.Add(contact + cancelled + stopGrace + 100*time.Millisecond)))
	on := 0
	for _, id := range ids {
		on += len(s.plant.running(id))
	}
	if on > 0 {
		return fmt.Sprintf("UNASKED: %d of %d tasks whose cancelling was acknowledged run on, %v after the cut healed", on, len(ids), time.Since(healed).Round(time.Millisecond)), nil
	}
	return "", nil
}
