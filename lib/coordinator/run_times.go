package coordinator

import "time"

// expectLearnedTimes replaces the declared run times of a job by what was learned of its
// kind, and moves its due time accordingly. The first entry of a delegated job has done
// so before. The caller holds the lock.
func (c *Coordinator) expectLearnedTimes(j *Job) {
	if c.Predictor == nil || j.Delegated {
		return
	}
	before := j.CriticalPath()
	for i := range j.Steps {
		st := &j.Steps[i]
		st.Declared = st.expected()
		st.Expected = c.Predictor.Predict(j.Kind, st.Declared).Median
	}
	j.Due = j.Due.Add(time.Duration(j.Stretch * float64(j.CriticalPath()-before)))
}

// observeRunTime gives the run time of a task that is done to the predictor; the caller
// holds the lock.
func (c *Coordinator) observeRunTime(t *task) {
	st, s := t.step(), c.upstreams[t.upstream]
	if c.Predictor == nil || st.Declared == 0 || s == nil || s.slowness <= 0 || st.Data != "" {
		return
	}
	now := time.Now()
	c.Predictor.Observe(now, t.job.Kind, st.Declared, time.Duration(float64(now.Sub(t.placedAt))/s.slowness))
}
