package main

import (
	"fmt"
	"time"
)

// cutZone cuts a zone off from the other zones, their workers and the store, or heals the cut.
// Clients still reach it.
func (c *caseRun) cutZone(zone, mode string) {
	for _, a := range c.entries {
		for _, b := range c.entries {
			if (a.zone == zone) != (b.zone == zone) {
				a.links[b.index].set(mode)
			}
		}
		for _, k := range c.workers {
			if (k.zone == zone) != (a.zone == zone) {
				k.setCut(a.index, mode != "")
			}
		}
		if a.zone == zone {
			a.front.set(mode)
		}
	}
}

// rackByZone gives the workers of a zone a rack of their own.
func (c *caseRun) rackByZone() {
	for _, k := range c.workers {
		k.mu.Lock()
		k.labels = []string{"a", "r-" + k.zone}
		k.mu.Unlock()
		k.writeEntry()
	}
	time.Sleep(1500 * time.Millisecond)
}

// near makes a job's first step prefer the rack of a zone.
func near(j *job, zone string) *job {
	j.steps[0].affinity = "r-" + zone
	return j
}

func init() {
	// Tasks of jobs that a machine outside holds end in a zone that is cut off. Meanwhile that
	// machine is restarted as planned, so that its jobs are taken over.
	scenarios["zonecut"] = scenario{zones: []string{"z-a", "z-a", "z-b", "z-b", "z-c"}, workers: 12, cpu: 16000, queues: oneQueue(), play: func(c *caseRun) error {
		c.rackByZone()
		x, local := c.entries[2], c.entries[0]
		var jobs []*job
		// The zone's own clients keep its workers busy: one task on each.
		for range 2 {
			j := near(c.newJob(4, 4000, 14*time.Second), "z-a")
			j.steps[0].anti = 1
			if err := c.handIn(j, local); err != nil {
				return err
			}
			jobs = append(jobs, j)
		}
		time.Sleep(500 * time.Millisecond)
		begin := time.Now()
		for range 12 {
			j := near(c.newJob(1, 2000, 4*time.Second), "z-a")
			if err := c.handIn(j, x); err != nil {
				return err
			}
			jobs = append(jobs, j)
		}
		inZone := 0
		for _, j := range jobs[2:] {
			if k := c.awaitRun(j, 2*time.Second); k != nil && k.zone == "z-a" {
				inZone++
			}
		}
		c.check.note("%d of 12 tasks run in z-a", inZone)
		if inZone == 0 {
			return fmt.Errorf("no task runs in z-a")
		}
		restarted := make(chan struct{})
		if c.plays("stop") {
			time.Sleep(time.Until(begin.Add(800 * time.Millisecond)))
			c.check.note("%s gets SIGTERM", x.name)
			go func() {
				x.stop()
				c.check.note("%s has ended", x.name)
				time.Sleep(300 * time.Millisecond)
				x.start()
				c.check.note("%s starts again", x.name)
				close(restarted)
			}()
		} else {
			close(restarted)
		}
		if c.plays("cut") {
			time.Sleep(time.Until(begin.Add(3 * time.Second)))
			c.check.note("zone z-a is cut off")
			c.cutZone("z-a", "silent")
			time.Sleep(6200 * time.Millisecond)
			c.check.note("the cut is over")
			c.cutZone("z-a", "")
		}
		<-restarted
		c.follow(jobs, c.entries, begin.Add(40*time.Second))
		time.Sleep(3 * time.Second)
		return nil
	}}
}

func init() {
	// A zone is cut off, and the keys of its machines are taken away at once.
	scenarios["cutrevoked"] = scenario{zones: []string{"z-a", "z-a", "z-b", "z-b", "z-c"}, workers: 12, cpu: 16000, queues: oneQueue(), play: func(c *caseRun) error {
		c.rackByZone()
		var jobs []*job
		for i := range 12 {
			j := near(c.newJob(2, 2000, 7*time.Second), "z-a")
			if err := c.handIn(j, c.entries[i%2]); err != nil {
				return err
			}
			jobs = append(jobs, j)
		}
		time.Sleep(time.Second)
		if c.trouble {
			c.check.note("zone z-a is cut off, its keys are taken away")
			c.cutZone("z-a", "silent")
			for _, x := range c.entries[:2] {
				for _, key := range c.store.keys("/radishweir/entries/" + x.name) {
					c.check.note("key %s is taken away", key)
					c.store.drop(key)
				}
			}
			time.Sleep(6200 * time.Millisecond)
			c.check.note("the cut is over")
			c.cutZone("z-a", "")
		}
		c.follow(jobs, c.entries[2:], time.Now().Add(30*time.Second))
		time.Sleep(2 * time.Second)
		return nil
	}}
}
