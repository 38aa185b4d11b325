package main

import "time"

func init() {
	// A machine is removed for good while it holds most of the waiting jobs; another one comes 2 s
	// later at another address, and is asked for the number of waiting jobs.
	scenarios["pending"] = scenario{zones: []string{"z-a", "z-a", "z-b", "z-b", "z-c"}, workers: 4, cpu: 16000, queues: oneQueue(), play: func(c *caseRun) error {
		x := c.entries[0]
		// These jobs fill all workers.
		var full []*job
		for range 4 {
			j := c.newJob(1, 16000, 45*time.Second)
			if err := c.handIn(j, c.entries[3]); err != nil {
				return err
			}
			full = append(full, j)
		}
		time.Sleep(time.Second)
		var waiting []*job
		for range 12 {
			j := c.newJob(1, 1000, 20*time.Second)
			if err := c.handIn(j, x); err != nil {
				return err
			}
			waiting = append(waiting, j)
		}
		accepted := time.Now()
		time.Sleep(6 * time.Second)
		ask := x
		if c.trouble {
			ask = c.newEntry(len(c.entries), "z-a")
			c.check.note("%s is removed for good", x.name)
			x.kill()
			time.Sleep(2 * time.Second)
		}
		var inTouch time.Time
		if c.trouble {
			c.check.note("%s comes at another address", ask.name)
			ask.start()
			defer ask.kill()
			inTouch = time.Now().Add(3 * time.Second)
		}
		worst := 1 << 30
		for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			status, body := c.call("GET", ask.caller, c.queues[0], "", nil, time.Second)
			n := 0
			c.check.mu.Lock()
			for _, j := range waiting {
				if c.check.task(j.id+".0.0.0").starts == 0 {
					n++
				}
			}
			if status == 200 {
				got, _ := body["pending"].(float64)
				c.check.line("pending at %s: %v of %d, %.1f s after the last acceptance", ask.name, got, n, time.Since(accepted).Seconds())
				if time.Now().After(inTouch) && 2*got < float64(n) && int(got) < worst {
					worst = int(got)
					c.check.broken("MIXED %s, in touch since %.1f s, gives %v as pending, %d jobs were accepted over 5 s before and have not begun", ask.name, time.Since(inTouch).Seconds(), got, n)
				}
			} else {
				c.check.line("pending at %s: status %d", ask.name, status)
			}
			c.check.mu.Unlock()
		}
		return nil
	}}

	// A large job comes at once, shortly before the end of the traffic.
	scenarios["large"] = scenario{zones: []string{"z-a", "z-a", "z-b", "z-b", "z-c"}, workers: 6, cpu: 16000, queues: oneQueue(), play: func(c *caseRun) error {
		n := 8
		if c.trouble {
			n = 120
		}
		j := c.newJob(n, 4000, 25*time.Second)
		if err := c.handIn(j, c.entries[1]); err != nil {
			return err
		}
		time.Sleep(14 * time.Second)
		s := c.get(j, c.entries[2])
		c.check.mu.Lock()
		defer c.check.mu.Unlock()
		if c.check.started_ == 0 {
			c.check.broken("LOST %s is %s 14 s after the end of the traffic and nothing of it has run", j.id, s)
		}
		return nil
	}}
}
