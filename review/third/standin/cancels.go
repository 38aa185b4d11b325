package main

import "time"

// workerOf returns the worker that runs a task of a job now, nil if none does.
func (c *caseRun) workerOf(j *job) *Worker {
	for _, k := range c.workers {
		k.mu.Lock()
		for name := range k.runs {
			if id, _ := splitTask(name); id == j.id {
				k.mu.Unlock()
				return k
			}
		}
		k.mu.Unlock()
	}
	return nil
}

// awaitRun waits until a worker runs a task of a job.
func (c *caseRun) awaitRun(j *job, d time.Duration) *Worker {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if k := c.workerOf(j); k != nil {
			return k
		}
	}
	return nil
}

func init() {
	// Clients cancel some of their best-effort jobs.
	scenarios["cancelled"] = scenario{zones: []string{"z-a", "z-a", "z-b", "z-b", "z-c"}, workers: 12, cpu: 16000, queues: oneQueue(), play: func(c *caseRun) error {
		var jobs []*job
		done := make(chan struct{}, 20)
		for i := range 10 {
			j := c.newJob(4, 2000, 2500*time.Millisecond)
			j.kept = false
			j.steps = append(j.steps, step{count: 2, cpu: 2000, work: 2500 * time.Millisecond, estimate: 2500, after: []int{0}},
				step{count: 2, cpu: 2000, work: 2500 * time.Millisecond, estimate: 2500, after: []int{1}})
			jobs = append(jobs, j)
			go func() { c.submit(j, c.entries[i%len(c.entries)], 25*time.Second); done <- struct{}{} }()
		}
		time.Sleep(time.Second)
		if c.trouble {
			for i, j := range jobs[:4] {
				c.cancel(j, c.entries[i%len(c.entries)])
			}
		}
		end := time.Now().Add(10 * time.Second)
		for time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
			c.check.mu.Lock()
			for name, t := range c.check.tasks {
				id, _ := splitTask(name)
				j := c.check.jobs[id]
				if j == nil || j.cancelled.IsZero() || len(t.active) == 0 || t.reported {
					continue
				}
				if over := time.Since(j.cancelled) - cancelMS; over > 500*time.Millisecond {
					t.reported = true
					c.check.broken("UNASKED %s runs on %.3f s after the job's cancelling was acknowledged", name, time.Since(j.cancelled).Seconds())
				}
			}
			c.check.mu.Unlock()
		}
		for range jobs {
			<-done
		}
		return nil
	}}
}
