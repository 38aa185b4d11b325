package separator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/separator"
)

const (
	step    = 5 * time.Millisecond
	perTask = 32000
)

// queue is a queue of jobs; its rate is per upstream.
type queue struct {
	kind  string
	tasks int
	takes time.Duration
	rate  float64
}

// queues use 60% of the fleet's cores.
var queues = []queue{{"a", 8, 60 * time.Millisecond, 0.6}, {"b", 4, 900 * time.Millisecond, 0.11}, {"c", 2, 200 * time.Millisecond, 1.75}}

// fleet is a simulated fleet. Each of its entries owns an equal part of the upstreams
// and learns from their runs.
type fleet struct {
	random    *rand.Rand
	upstreams []*upstream
	entries   []*separator.Separator
	// off is true if placement ignores Factor; merged if entries exchange samples.
	off, merged bool
	// load multiplies the rates; slowed is by how much a and b slow each other.
	load   func(at time.Duration) float64
	slowed float64
	// uneven is by how much upstreams slow down for a time.
	uneven  float64
	now     time.Time
	waiting []*job
	jobs    int
	// found is when a pair was first found.
	found map[[2]string]time.Duration
	// slowdowns are run times over those on the upstream without other kinds, by kind.
	slowdowns map[string][]float64
	waits     []float64
	inTime    int
	ended     int
}

type upstream struct {
	name             string
	cpu, free        int64
	speed, slowness  float64
	slowFrom, slowTo time.Time
	tracker          separator.Tracker
	runs             []*run
	entry            int
}

type job struct {
	name    string
	queue   queue
	factor  float64
	arrived time.Time
	open    int
}

type run struct {
	name    string
	job     *job
	left    float64
	work    float64
	started time.Time
}

func newFleet(seed uint64, upstreams, entries int, slowed float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), slowed: slowed, found: map[[2]string]time.Duration{}, slowdowns: map[string][]float64{},
		load: func(time.Duration) float64 { return 1 }, now: time.Unix(0, 0), uneven: 1,
	}
	for range entries {
		f.entries = append(f.entries, &separator.Separator{})
	}
	for i := range upstreams {
		cpu := int64(64000)
		if i%3 == 0 {
			cpu = 96000
		}
		f.upstreams = append(f.upstreams, &upstream{
			name: fmt.Sprint("u", i), cpu: cpu, free: cpu, speed: math.Exp(0.1 * f.random.NormFloat64()), slowness: 1, entry: i % entries,
		})
	}
	return f
}

// play simulates the fleet for a time.
func (f *fleet) play(d time.Duration) {
	for at := time.Duration(0); at < d; at += step {
		f.now = f.now.Add(step)
		for _, q := range queues {
			for p := q.rate * f.load(at) * float64(len(f.upstreams)) * step.Seconds(); f.random.Float64() < p; p-- {
				f.jobs++
				f.waiting = append(f.waiting, &job{fmt.Sprint("j", f.jobs), q, math.Exp(0.4 * f.random.NormFloat64()), f.now, q.tasks})
			}
		}
		for len(f.waiting) > 0 && f.place(f.waiting[0]) {
			f.waiting = f.waiting[1:]
		}
		for _, u := range f.upstreams {
			f.advance(u)
		}
		if at%time.Second == 0 {
			f.exchange()
		}
		for i, s := range f.entries {
			for _, p := range s.Pairs(f.now) {
				if _, ok := f.found[[2]string{p.Kind, p.Beside}]; p.Interferes && !ok && i >= 0 {
					f.found[[2]string{p.Kind, p.Beside}] = f.now.Sub(time.Unix(0, 0))
				}
			}
		}
	}
}

// exchange passes on what entries have measured.
func (f *fleet) exchange() {
	if !f.merged {
		return
	}
	for i, s := range f.entries {
		m := separator.FromWire(separator.ToWire(s.Drain()))
		for j, o := range f.entries {
			if j != i {
				o.Merge(f.now, m)
			}
		}
	}
}

// place starts the tasks of a job if there is room for all.
func (f *fleet) place(j *job) bool {
	need := packer.Amount{CPU: perTask}
	byName := map[string]*upstream{}
	var list []packer.Candidate
	for _, u := range f.upstreams {
		if u.free < perTask {
			continue
		}
		c := packer.Candidate{Name: u.name, Free: packer.Amount{CPU: u.free}, Slowness: u.slowness}
		if !f.off {
			c.Slowness *= f.entries[u.entry].Factor(j.queue.kind, u.tracker.Kinds())
		}
		byName[u.name] = u
		list = append(list, c)
	}
	chosen := packer.Pack(j.queue.tasks, need, list)
	if len(chosen) < j.queue.tasks {
		return false
	}
	f.waits = append(f.waits, f.now.Sub(j.arrived).Seconds())
	for i, name := range chosen {
		u := byName[name]
		work := j.queue.takes.Seconds() * j.factor * math.Exp(0.15*f.random.NormFloat64())
		if f.random.Float64() < 0.03 {
			work *= 7
		}
		r := &run{fmt.Sprint(j.name, ".", i), j, work, work, f.now}
		u.free -= perTask
		u.tracker.Start(r.name, j.queue.kind, f.now)
		u.runs = append(u.runs, r)
	}
	return true
}

// advance lets the runs on an upstream proceed.
func (f *fleet) advance(u *upstream) {
	if f.uneven > 1 && f.random.Float64() < step.Seconds()/30 {
		u.slowFrom, u.slowTo = f.now, f.now.Add(5*time.Second)
	}
	speed := u.speed
	if f.now.Before(u.slowTo) {
		speed /= f.uneven
	}
	kinds := u.tracker.Kinds()
	left := u.runs[:0]
	var ended []*run
	for _, r := range u.runs {
		s := speed
		if (r.job.queue.kind == "a" && kinds["b"] > 0) || (r.job.queue.kind == "b" && kinds["a"] > 0) {
			s /= f.slowed
		}
		if r.left -= s * step.Seconds(); r.left > 0 {
			left = append(left, r)
		} else {
			ended = append(ended, r)
		}
	}
	u.runs = left
	for _, r := range ended {
		f.end(u, r)
	}
}

// end records the end of a run as the runner of an entry does.
func (f *fleet) end(u *upstream, r *run) {
	s, j := f.entries[u.entry], r.job
	u.free += perTask
	beside := u.tracker.End(r.name, f.now)
	took := f.now.Sub(r.started).Seconds()
	ratio := took / j.queue.takes.Seconds()
	s.Observe(f.now, separator.Run{Kind: j.queue.kind, Ratio: ratio / u.slowness, Beside: beside, Job: j.name, Upstream: u.name})
	if !f.off {
		ratio /= s.Slowdown(j.queue.kind, beside)
	}
	u.slowness = math.Exp(0.9*math.Log(u.slowness) + 0.1*math.Log(min(max(ratio, 0.1), 8)))
	f.slowdowns[j.queue.kind] = append(f.slowdowns[j.queue.kind], took*u.speed/r.work)
	if j.open--; j.open == 0 {
		f.ended++
		if f.now.Sub(j.arrived).Seconds() < 1.6*j.queue.takes.Seconds()*j.factor+0.06 {
			f.inTime++
		}
	}
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

func quantile(list []float64, q float64) float64 {
	list = slices.Sorted(slices.Values(list))
	return list[int(q*float64(len(list)-1))]
}
