package main

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment, from the pages.
const (
	cancelBound = 3 * time.Second
	stopGrace   = 50 * time.Millisecond
	finish      = 14 * time.Second
)

// step is a step of a job, as its client sends it, and how long its tasks run.
type step struct {
	count int
	// cpu is in thousandths of a core.
	cpu      int
	after    []int
	requires string
	// spread is the most tasks of the step on one worker, 0 for no limit.
	spread int
	length time.Duration
}

// job is a job as its client knows it.
type job struct {
	id, spec   string
	bestEffort bool
	steps      []step

	// accepted is the time of the first answer 2xx to a POST.
	accepted time.Time
	// cancelled is the time of the first answer 2xx to a DELETE.
	cancelled time.Time
}

// task is a task of a job.
type task struct {
	job    *job
	step   int
	cpu    int
	length time.Duration
	starts []startEvent
	ends   []*endEvent
}

type startEvent struct {
	at     time.Time
	worker string
	run    int
}

type endEvent struct {
	at     time.Time
	worker string
	life   int
	n      int
	run    int
	how    string
	lapses int
	// noted is when the end was taken note of, zero if it was not, or only after the lease
	// had lapsed.
	noted time.Time
}

// rules checks the rules on what clients and workers see.
type rules struct {
	log   *recorder
	mu    sync.Mutex
	tasks map[string]*task
	// active holds the runs at work by task and worker.
	active map[string]map[string]int
	breaks []string
	// disturbed holds the entries that are not in touch. What they start is not counted where
	// a rule holds for machines in touch, and runs that go on are not counted meanwhile.
	disturbed map[string]bool
}

func newRules(log *recorder) *rules {
	return &rules{log: log, tasks: make(map[string]*task), active: make(map[string]map[string]int)}
}

// add makes a job known before its first attempt.
func (r *rules) add(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, st := range j.steps {
		for i := range st.count {
			r.tasks[taskName(j.id, s, i)] = &task{job: j, step: s, cpu: st.cpu, length: st.length}
		}
	}
}

// setDisturbed records which entries are not in touch from now on.
func (r *rules) setDisturbed(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = make(map[string]bool)
	for _, n := range names {
		r.disturbed[n] = true
	}
}

// task returns a task, nil if no client sent it.
func (r *rules) task(name string) *task {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tasks[name]
}

// broken records a broken rule; the caller holds the lock.
func (r *rules) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.breaks = append(r.breaks, text)
	r.log.add("BROKEN", "rule", text)
}

// start checks a start. The caller holds the worker's lock.
func (r *rules) start(w *worker, q runStart, by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.tasks[q.Task]
	if t == nil || t.job.spec != q.Spec {
		r.broken("UNASKED", "%s starts %s run %d, which no client sent", w.id, q.Task, q.Run)
		return
	}
	if st := t.job.steps[t.step]; st.requires != "" && !slices.Contains(w.kind.labels, st.requires) {
		r.broken("ROUTE", "%s starts %s run %d, which requires the label %s; it has %v", w.id, q.Task, q.Run, st.requires, w.kind.labels)
	}
	for other, run := range r.active[q.Task] {
		r.broken("TWICE", "%s starts %s run %d while %s runs run %d of it", w.id, q.Task, q.Run, other, run)
	}
	for _, before := range t.job.steps[t.step].after {
		for i := range t.job.steps[before].count {
			name := taskName(t.job.id, before, i)
			if !slices.ContainsFunc(r.tasks[name].ends, func(e *endEvent) bool { return e.how == "done" }) {
				r.broken("ORDER", "%s starts %s run %d before %s is done", w.id, q.Task, q.Run, name)
			}
		}
	}
	if c := t.job.cancelled; !c.IsZero() && !r.disturbed[by] && now.Sub(c) > cancelBound {
		r.broken("UNASKED", "%s starts %s run %d %.2f s after the cancelling was acknowledged", w.id, q.Task, q.Run, now.Sub(c).Seconds())
	}
	t.starts = append(t.starts, startEvent{now, w.id, q.Run})
	if r.active[q.Task] == nil {
		r.active[q.Task] = make(map[string]int)
	}
	r.active[q.Task][w.id] = q.Run
}

// end records the end of a run. The caller holds the worker's lock.
func (r *rules) end(w *worker, name string, run int, how string, n, lapses int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[name], w.id)
	t := r.tasks[name]
	if t == nil {
		return
	}
	now := time.Now()
	t.ends = append(t.ends, &endEvent{at: now, worker: w.id, life: w.life, n: n, run: run, how: how, lapses: lapses})
	if c := t.job.cancelled; !c.IsZero() && len(r.disturbed) == 0 && now.Sub(c) > cancelBound+stopGrace {
		r.broken("UNASKED", "%s run %d runs on %s until %.2f s after the cancelling was acknowledged", name, run, w.id, now.Sub(c).Seconds())
	}
}

// gone records that a run ended as its worker crashed.
func (r *rules) gone(w *worker, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[name], w.id)
}

// noted records that an end was taken note of. The caller holds the worker's lock.
func (r *rules) noted(w *worker, e ended, lapses int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tasks[e.task]
	if t == nil {
		return
	}
	for _, x := range t.ends {
		if x.worker == w.id && x.life == w.life && x.n == e.n && x.lapses == lapses {
			x.noted = time.Now()
		}
	}
}

// review checks the rules that need the whole record: TWICE after a done end, and BUDGET.
func (r *rules) review() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for n, t := range r.tasks {
		if !t.job.bestEffort {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		t := r.tasks[n]
		for _, s := range t.starts {
			failed := 0
			for _, e := range t.ends {
				if e.noted.IsZero() || !e.at.Before(s.at) {
					continue
				}
				if e.how == "done" {
					r.broken("TWICE", "%s run %d starts on %s at %.3f; run %d ended done on %s at %.3f, taken note of at %.3f",
						n, s.run, s.worker, r.log.seconds(s.at), e.run, e.worker, r.log.seconds(e.at), r.log.seconds(e.noted))
				}
				if e.how == "failed" {
					failed++
				}
			}
			if failed >= attempts {
				r.broken("BUDGET", "%s run %d starts after %d failed ends", n, s.run, failed)
			}
		}
	}
}

// accepted reports whether a job was answered with 2xx.
func (r *rules) accepted(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !j.accepted.IsZero()
}

// idleSince reports whether nothing of a job has run since a time.
func (r *rules) idleSince(j *job, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, st := range j.steps {
		for i := range st.count {
			name := taskName(j.id, s, i)
			if len(r.active[name]) > 0 || slices.ContainsFunc(r.tasks[name].ends, func(e *endEvent) bool { return e.at.After(at) }) {
				return false
			}
		}
	}
	return true
}

// report records a broken rule.
func (r *rules) report(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken(rule, format, args...)
}

// count returns how often a rule was broken, and how often any was.
func (r *rules) count(rule string) (one, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, text := range r.breaks {
		if strings.HasPrefix(text, rule+":") {
			one++
		}
	}
	return one, len(r.breaks)
}
