package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	// The only machine of zone z-c is restarted as planned, so that machines of other zones own its
	// workers meanwhile. As it starts again, zone z-b is cut off.
	scenarios["owner"] = scenario{zones: []string{"z-a", "z-a", "z-b", "z-b", "z-c"}, workers: 12, cpu: 16000, queues: oneQueue(), play: func(c *caseRun) error {
		c.rackByZone()
		x := c.entries[4]
		ended := make(chan struct{})
		if c.plays("stop") {
			c.check.note("%s gets SIGTERM", x.name)
			go func() {
				x.stop()
				c.check.note("%s has ended", x.name)
				close(ended)
			}()
		} else {
			close(ended)
		}
		time.Sleep(1800 * time.Millisecond)
		var jobs []*job
		// Clients of z-a keep the workers of z-c busy: one task on each.
		for range 2 {
			j := near(c.newJob(4, 1000, 20*time.Second), "z-c")
			j.steps[0].anti = 1
			if err := c.handIn(j, c.entries[0]); err != nil {
				return err
			}
			jobs = append(jobs, j)
		}
		begin := time.Now()
		var mu sync.Mutex
		var wg sync.WaitGroup
		refused := 0
		for i := range 60 {
			e := c.entries[2+i%2]
			time.Sleep(time.Until(begin.Add(time.Duration(i) * 5 * time.Millisecond)))
			mu.Lock()
			j := near(c.newJob(1, 900, time.Second), "z-c")
			jobs = append(jobs, j)
			mu.Unlock()
			wg.Go(func() {
				if c.handIn(j, e) != nil {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		if refused > 0 {
			return fmt.Errorf("%d jobs were refused", refused)
		}
		<-ended
		if c.plays("stop") {
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Until(begin.Add(time.Second)))
		if c.plays("cut") {
			c.check.note("zone z-b is cut off")
			c.cutZone("z-b", "silent")
		}
		if c.plays("stop") {
			x.start()
			c.check.note("%s starts again", x.name)
		}
		if c.plays("cut") {
			time.Sleep(6200 * time.Millisecond)
			c.check.note("the cut is over")
			c.cutZone("z-b", "")
		}
		c.follow(jobs, c.entries[:2], begin.Add(40*time.Second))
		time.Sleep(3 * time.Second)
		return nil
	}}
}
