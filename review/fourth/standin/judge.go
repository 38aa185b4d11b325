package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// taskRun is a run of a task as its worker saw it.
type taskRun struct {
	worker  string
	life    int
	run     int
	started time.Time
	ended   time.Time
	how     string
	// void is true once the lease lapsed before the end was taken note of, noted once the
	// end was taken note of.
	void, noted bool
	// startedAgain is the time of the first later start of the task.
	startedAgain time.Time
}

// jobView is what the clients know of a job.
type jobView struct {
	spec             string
	kept             bool
	tasks            []string
	attempts         int
	rejected         int
	accepted         time.Time
	cancelSent       time.Time
	cancelled        time.Time
	cancelledSettled bool
	lastState        string
}

// judge records what clients and workers see, and the broken rules.
type judge struct {
	mu     sync.Mutex
	begun  time.Time
	file   *os.File
	tasks  map[string][]*taskRun
	starts map[string]int
	jobs   map[string]*jobView
	broken []string
	// maxAttempts is that of the queue.
	maxAttempts int
	quiet       bool
}

func newJudge(path string) *judge {
	f, err := os.Create(path)
	check(err)
	return &judge{begun: time.Now(), file: f, tasks: make(map[string][]*taskRun), starts: make(map[string]int), jobs: make(map[string]*jobView), maxAttempts: 3}
}

// note writes one line of the record.
func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.line(format, args...)
}

func (j *judge) line(format string, args ...any) {
	_, _ = fmt.Fprintf(j.file, "%8.3f %s\n", time.Since(j.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records a broken rule; the caller holds the lock.
func (j *judge) breaks(rule, format string, args ...any) {
	text := rule + " " + fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.line("BROKEN %s", text)
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

// started records a start and returns how many starts the task has had.
func (j *judge) started(w *worker, k runKey, spec string, token int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.line("start %s run %d on %s token %d", k.task, k.run, w.id, token)
	job := j.jobs[jobOf(k.task)]
	switch {
	case job == nil:
		j.breaks("UNASKED", "%s, which nobody sent, starts on %s", k.task, w.id)
	case job.spec != spec:
		j.breaks("UNASKED", "%s starts with another spec on %s", k.task, w.id)
	case !slices.Contains(job.tasks, k.task):
		j.breaks("UNASKED", "%s is no task of its job", k.task)
	case !job.cancelled.IsZero() && now.Sub(job.cancelled) > 3*time.Second:
		j.breaks("UNASKED", "%s starts on %s %.2f s after its cancelling was acknowledged", k.task, w.id, now.Sub(job.cancelled).Seconds())
	}
	kept := job != nil && job.kept
	failed := 0
	for _, r := range j.tasks[k.task] {
		if r.ended.IsZero() {
			j.breaks("TWICE", "%s run %d starts on %s while run %d is at work on %s", k.task, k.run, w.id, r.run, r.worker)
		}
		if r.startedAgain.IsZero() {
			r.startedAgain = now
		}
		if kept && r.how == "done" && r.noted {
			j.breaks("TWICE", "%s run %d starts on %s after run %d ended done on %s, which was taken note of", k.task, k.run, w.id, r.run, r.worker)
		}
		if r.how == "failed" && r.noted {
			failed++
		}
	}
	if kept && failed >= j.maxAttempts {
		j.breaks("BUDGET", "%s run %d starts on %s after %d failed runs", k.task, k.run, w.id, failed)
	}
	j.tasks[k.task] = append(j.tasks[k.task], &taskRun{worker: w.id, life: w.life, run: k.run, started: now})
	j.starts[k.task]++
	return j.starts[k.task]
}

// find returns the latest matching run; the caller holds the lock.
func (j *judge) find(w *worker, k runKey) *taskRun {
	list := j.tasks[k.task]
	for n := len(list) - 1; n >= 0; n-- {
		if list[n].worker == w.id && list[n].run == k.run {
			return list[n]
		}
	}
	return nil
}

func (j *judge) ended(w *worker, k runKey, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.line("end %s run %d on %s %s", k.task, k.run, w.id, how)
	if r := j.find(w, k); r != nil {
		r.ended, r.how = time.Now(), how
		r.life = w.life
	}
	if job := j.jobs[jobOf(k.task)]; job != nil && !job.cancelled.IsZero() {
		if after := time.Since(job.cancelled); after > 3*time.Second+100*time.Millisecond {
			j.breaks("UNASKED", "%s runs on %s until %.2f s after its cancelling was acknowledged", k.task, w.id, after.Seconds())
		}
	}
}

// lapsed records that the lease of a worker has ended: ends that nobody has taken note of
// by now do not count.
func (j *judge) lapsed(w *worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, list := range j.tasks {
		for _, r := range list {
			if r.worker == w.id && r.life == w.life && !r.ended.IsZero() && !r.noted {
				r.void = true
			}
		}
	}
}

// observed records that an end is taken note of.
func (j *judge) observed(w *worker, k runKey, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.find(w, k)
	if r == nil || r.void || r.life != w.life {
		return
	}
	r.noted = true
	job := j.jobs[jobOf(k.task)]
	if how == "done" && !r.startedAgain.IsZero() && r.startedAgain.After(r.ended) && job != nil && job.kept {
		j.breaks("TWICE", "%s was started again after run %d had ended done on %s, which is taken note of now", k.task, k.run, w.id)
	}
}

// submitted records an attempt to hand a job in.
func (j *judge) submitted(id, spec string, kept bool, counts []int) *jobView {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.jobs[id]
	if v == nil {
		v = &jobView{spec: spec, kept: kept}
		for s, n := range counts {
			for i := range n {
				v.tasks = append(v.tasks, fmt.Sprintf("%s.0.%d.%d", id, s, i))
			}
		}
		j.jobs[id] = v
	}
	v.attempts++
	return v
}

// allDone reports whether every task of a job has a run that ended done; the caller holds
// the lock.
func (j *judge) allDone(v *jobView) bool {
	for _, t := range v.tasks {
		if !slices.ContainsFunc(j.tasks[t], func(r *taskRun) bool { return r.how == "done" }) {
			return false
		}
	}
	return true
}

// failedEnds returns the most ends failed of one task of a job; the caller holds the lock.
func (j *judge) failedEnds(v *jobView) int {
	most := 0
	for _, t := range v.tasks {
		n := 0
		for _, r := range j.tasks[t] {
			if r.how == "failed" {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// shown records a state that a client was shown.
func (j *judge) shown(id, entry string, status int, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.jobs[id]
	if v == nil || !v.kept {
		return
	}
	if state != "" && state != v.lastState {
		j.line("GET %s at %s: %d %s", id, entry, status, state)
	}
	was := v.lastState
	if state != "" {
		v.lastState = state
	}
	switch {
	case status == 410 && !v.accepted.IsZero() && v.cancelSent.IsZero() && time.Since(v.accepted) > 3*time.Second:
		if was != "410" {
			j.breaks("LOST", "a GET for the accepted job %s is answered 410 by %s", id, entry)
			v.lastState = "410"
		}
	case state == "complete" && was != state && !j.allDone(v):
		j.breaks("MIXED", "job %s is shown as complete by %s while a task has not ended so", id, entry)
	case state == "failed" && was != state && j.failedEnds(v) < j.maxAttempts:
		j.breaks("LOST", "the accepted job %s is shown as failed by %s; the most ends failed of one of its tasks are %d, of %d allowed attempts", id, entry, j.failedEnds(v), j.maxAttempts)
	case state == "cancelled" && was != state && v.cancelSent.IsZero():
		j.breaks("LOST", "job %s is shown as cancelled by %s, which nobody asked for", id, entry)
	}
}

// violations returns the broken rules so far.
func (j *judge) violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.broken)
}
