package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["cancel-unanswered"] = cancelUnanswered }

const (
	// lostShare is the share of the writes whose answers are lost, in percent.
	lostShare = 35
	// lostFor is how long answers are lost.
	lostFor = 2 * time.Second
	// cancelledJobs is the number of jobs that are cancelled.
	cancelledJobs = 20
)

// cancelUnanswered cancels jobs while answers of the store are lost. A client whose
// cancellation is not answered sends it again to another entry.
func cancelUnanswered(s *scene) (string, error) {
	s.plant.task = func(string, int) (amount, time.Duration, bool) {
		return amount{6800, 64}, 7 * time.Second, false
	}
	names, err := s.build(zones, 4, 12, 1.7, 3)
	if err != nil {
		return "", err
	}
	var ids []string
	for i := range cancelledJobs {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		if s.submit(names[i%len(names)], id, "x", step{Count: 1, CPU: 6800, Memory: 64, Estimate: 7000}) != http.StatusOK {
			return "", fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var over time.Time
	if s.trouble {
		began := time.Now()
		over = began.Add(lostFor)
		s.rec.note("the store loses the answers of %d%% of the writes from now on", lostShare)
		rng := rand.New(rand.NewPCG(uint64(began.UnixNano()), 1))
		writes, lost := 0, 0
		s.store.setFate(func(entry, _ string, t *transaction) fate {
			mu.Lock()
			defer mu.Unlock()
			if t == nil || time.Now().After(over) {
				return fate{}
			}
			writes++
			if rng.IntN(100) >= lostShare || 100*(lost+1) > lostShare*writes {
				return fate{}
			}
			lost++
			s.rec.note("store: the answer to the write of %s to %s is lost, %d of %d so far", entry, keysOf(t), lost, writes)
			return fate{silent: true}
		})
	}
	acknowledged := make(map[string]time.Time)
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range 4 {
				status, _ := s.call(http.MethodDelete, names[(i+1+try)%len(names)], id, nil)
				if status == http.StatusOK || status == http.StatusGone {
					mu.Lock()
					acknowledged[id] = time.Now()
					mu.Unlock()
					return
				}
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	// The store counts as stable from contact after its trouble. Then a stretch of calm
	// follows that is long enough for all cancelled tasks to be gone.
	calm := over.Add(contact)
	for _, at := range acknowledged {
		if at.After(calm) {
			calm = at
		}
	}
	time.Sleep(time.Until(calm.Add(cancelled + stopGrace + 100*time.Millisecond)))
	var on []string
	for _, id := range ids {
		if acknowledged[id].IsZero() {
			continue
		}
		for k, w := range s.plant.running(id) {
			on = append(on, fmt.Sprintf("%s on %s", k.task, w))
		}
	}
	sort.Strings(on)
	for _, id := range ids {
		s.call(http.MethodGet, names[0], id, nil)
	}
	s.rec.note("%d of %d jobs were acknowledged as cancelled", len(acknowledged), len(ids))
	if len(on) > 0 {
		return fmt.Sprintf("UNASKED: %d tasks of jobs that were acknowledged as cancelled run on, %v after the last acknowledgement and %v after the store's trouble: %s",
			len(on), time.Since(latest(acknowledged)).Round(time.Millisecond), time.Since(over).Round(time.Millisecond), strings.Join(on, ", ")), nil
	}
	return "", nil
}

// latest returns the latest of some times.
func latest(times map[string]time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}
