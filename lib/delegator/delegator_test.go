package delegator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"radishweir.org/lib/delegator"
)

const ms = time.Millisecond

// start is the time at which every test begins.
var start = time.Unix(1000, 0)

func newPolicy(enabled bool) *delegator.Policy {
	return &delegator.Policy{Enabled: enabled, Domain: "d0", Config: delegator.DefaultConfig()}
}

// first always draws the first candidates.
func first(int) int { return 0 }

// TestChoose guards against delegations that help nobody: to peers that are down, full,
// not accepting, too late, unheard of or that refused before, and to the wrong domain.
func TestChoose(t *testing.T) {
	ok := delegator.Load{Accepts: true, At: start}
	near := delegator.Peer{Name: "near", Domain: "d0", Near: true, Up: true, Load: ok}
	far := delegator.Peer{Name: "far", Domain: "d1", Up: true, Load: ok}
	with := func(change func(*delegator.Peer)) []delegator.Peer {
		list := []delegator.Peer{far}
		change(&list[0])
		return list
	}
	both, short, slow := []delegator.Peer{near, far}, delegator.Load{Wait: time.Second}, delegator.Load{Lag: 60 * ms}
	job := delegator.Job{Slack: 96 * ms}
	for name, c := range map[string]struct {
		job    delegator.Job
		self   delegator.Load
		peers  []delegator.Peer
		peer   string
		reason delegator.Reason
	}{
		"in time":          {job, delegator.Load{Wait: 50 * ms, Lag: 20 * ms}, both, "", delegator.InTime},
		"capacity":         {job, short, both, "far", delegator.Capacity},
		"lag":              {job, slow, both, "near", delegator.Lag},
		"better of two":    {job, short, append(with(func(p *delegator.Peer) { p.Load.Wait = 40 * ms }), delegator.Peer{Name: "q", Domain: "d1", Up: true, Load: ok}), "q", delegator.Capacity},
		"only near":        {job, short, both[:1], "near", delegator.Capacity},
		"no slack":         {delegator.Job{Slack: 10 * ms}, short, both, "", delegator.TooLate},
		"refused once":     {delegator.Job{Slack: 96 * ms, Tried: []string{"far"}}, short, both, "near", delegator.Capacity},
		"refused twice":    {delegator.Job{Slack: 96 * ms, Tried: []string{"a", "b"}}, short, both, "", delegator.Exhausted},
		"down":             {job, short, with(func(p *delegator.Peer) { p.Up = false }), "", delegator.NoPeer},
		"full":             {job, short, with(func(p *delegator.Peer) { p.Open = 4 }), "", delegator.NoPeer},
		"does not accept":  {job, short, with(func(p *delegator.Peer) { p.Load.Accepts = false }), "", delegator.NoPeer},
		"peer waits":       {job, short, with(func(p *delegator.Peer) { p.Load.Wait = 90 * ms }), "", delegator.NoPeer},
		"peer lags":        {job, short, with(func(p *delegator.Peer) { p.Load.Lag = 45 * ms }), "", delegator.NoPeer},
		"load out of date": {job, short, with(func(p *delegator.Peer) { p.Load.At = start.Add(-1600 * ms) }), "", delegator.NoPeer},
		"load never heard": {job, short, with(func(p *delegator.Peer) { p.Load.At = time.Time{} }), "", delegator.NoPeer},
		"old but idle":     {job, short, with(func(p *delegator.Peer) { p.Load.At = start.Add(-time.Second) }), "far", delegator.Capacity},
	} {
		if peer, reason := newPolicy(true).Choose(start, c.job, c.self, c.peers, first); peer != c.peer || reason != c.reason {
			t.Errorf("%s: chose %q for %v, want %q for %v", name, peer, reason, c.peer, c.reason)
		}
		if peer, reason := newPolicy(false).Choose(start, c.job, c.self, c.peers, first); peer != "" || reason != delegator.Off {
			t.Errorf("%s: chose %q for %v although off", name, peer, reason)
		}
	}
}

// TestAccepts guards against an entry that changes its mind with each frame.
func TestAccepts(t *testing.T) {
	p := newPolicy(true)
	for i, c := range []struct {
		at, wait, lag time.Duration
		want          bool
	}{
		{0, 50, 15, true},
		{100, 51, 0, false},
		{500, 26, 0, false},
		{700, 25, 7, false},
		{1000, 25, 7, true},
		{1050, 40, 12, true},
		{1100, 0, 16, false},
		{1500, 0, 8, false},
		{1700, 0, 7, false},
		{2000, 0, 7, true},
	} {
		l := delegator.Load{Wait: c.wait * ms, Lag: c.lag * ms}
		if got := p.Accepts(l, start.Add(c.at*ms)); got != c.want || newPolicy(false).Accepts(l, start) {
			t.Errorf("step %d: accepts is %v, want %v, or true although off", i, got, c.want)
		}
	}
}

// TestValidate guards against settings that would delegate nothing or without a limit.
func TestValidate(t *testing.T) {
	good, margin, age, open := delegator.DefaultConfig(), delegator.DefaultConfig(), delegator.DefaultConfig(), delegator.DefaultConfig()
	margin.Margin, age.MaxAge, open.MaxOpen = -1, 0, 0
	if good.Validate() != nil || margin.Validate() == nil || age.Validate() == nil || open.Validate() == nil {
		t.Error("invalid settings pass, or the defaults don't")
	}
}

// fleet is a model of three failure domains with ten entries each, in steps of 1 ms.
// Each job takes one place on the upstreams of the domain of the entry that runs it, and
// CPU time of the entries; what an entry has not worked off is its lag.
type fleet struct {
	demand, random *rand.Rand // demand is for the jobs, which delegation does not change
	now            time.Time
	free           [3]int
	entries        [30]*entry
	running        []*modelJob
	// Numbers of jobs by the domain of the first entry.
	arrived, inTime, late, refused [3]int
}

type entry struct {
	policy         *delegator.Policy
	ledger         delegator.Ledger
	domain         int
	speed, backlog float64 // CPU time per millisecond, and what waits for it
	waiting        []*modelJob
	peers          []delegator.Peer
}

type modelJob struct {
	id, first, at          int
	run                    time.Duration
	latest, readyAt, endAt time.Time // latest is the latest start that is in time
	number                 uint64
	tried                  []string
}

const (
	places    = 100 // of each domain
	meanRun   = 120 * ms
	cpuOfRun  = 0.5  // CPU time in ms that a job takes where it runs
	cpuOfSend = 0.12 // and where it is delegated
)

func newFleet(seed uint64, enabled bool) *fleet {
	f := &fleet{demand: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)), now: start, free: [3]int{places, places, places}}
	for i := range f.entries {
		e := &entry{policy: newPolicy(enabled), domain: i % 3, speed: 0.1}
		e.policy.Domain = "d" + strconv.Itoa(e.domain)
		for k := range f.entries {
			e.peers = append(e.peers, delegator.Peer{Name: strconv.Itoa(k), Domain: fmt.Sprint("d", k%3), Near: k%3 == e.domain, Up: k != i})
		}
		f.entries[i] = e
	}
	return f
}

func (e *entry) lag() time.Duration { return time.Duration(e.backlog / e.speed * float64(ms)) }

// load returns the load of an entry with the given number of jobs before a new one.
func (f *fleet) load(e *entry, ahead int) delegator.Load {
	l := delegator.Load{Lag: e.lag(), At: f.now}
	if f.free[e.domain] == 0 || ahead > 0 {
		l.Wait = time.Duration(ahead+1) * meanRun * 10 / places
	}
	l.Accepts = e.policy.Accepts(l, f.now)
	return l
}

// step advances by 1 ms in which the given number of jobs arrive per entry, on average.
func (f *fleet) step(arrivals [3]float64) {
	f.now = f.now.Add(ms)
	f.running = slices.DeleteFunc(f.running, func(j *modelJob) bool {
		if f.now.Before(j.endAt) {
			return false
		}
		f.free[j.at%3]++
		f.answer(j)
		if j.endAt.Add(f.entries[j.at].lag() + f.entries[j.first].lag()).After(j.latest.Add(j.run)) {
			f.late[j.first%3]++
		} else {
			f.inTime[j.first%3]++
		}
		return true
	})
	for i, e := range f.entries {
		e.backlog = max(e.backlog-e.speed, 0)
		for n := arrivals[e.domain]; f.demand.Float64() < n; n-- {
			run := time.Duration(float64(meanRun) * math.Exp(0.4*f.demand.NormFloat64()))
			f.arrived[e.domain]++
			e.waiting = append(e.waiting, &modelJob{id: 3*f.arrived[e.domain] + e.domain, first: i, at: i, run: run, latest: f.now.Add(60*ms + run*6/10), readyAt: f.now.Add(e.lag())})
		}
		// Loads go to near entries and those with open jobs each 100 ms, to others each second.
		at := int(f.now.Sub(start)/ms) + 37*i
		for _, other := range f.entries {
			if p := &other.peers[i]; at%1000 == 0 || at%100 == 0 && (p.Near || other.ledger.Open(p.Name) > 0) {
				p.Load = f.load(e, len(e.waiting))
			}
		}
	}
	for _, i := range f.random.Perm(len(f.entries)) {
		f.pass(f.entries[i])
	}
}

// answer removes a job from the ledger of its first entry.
func (f *fleet) answer(j *modelJob) {
	if _, ok := f.entries[j.first].ledger.Answer(strconv.Itoa(j.at), j.number, strconv.Itoa(j.id)); !ok && j.at != j.first {
		panic("a job is answered twice")
	}
}

// pass starts, delegates and refuses the waiting jobs of an entry.
func (f *fleet) pass(e *entry) {
	list := e.waiting
	e.waiting = nil
	for _, j := range list {
		slack, self := j.latest.Sub(f.now), f.load(e, len(e.waiting))
		switch {
		case f.now.Before(j.readyAt):
			e.waiting = append(e.waiting, j)
		case j.at != j.first && slack < self.Wait:
			f.answer(j)
			j.tried, j.at = append(j.tried, strconv.Itoa(j.at)), j.first
			f.entries[j.first].waiting = append(f.entries[j.first].waiting, j)
		case slack < 0:
			f.refused[e.domain]++
		case j.at == j.first && f.delegate(e, j, slack, self):
		case f.free[e.domain] > 0:
			f.free[e.domain]--
			e.backlog += cpuOfRun
			j.endAt = f.now.Add(j.run)
			f.running = append(f.running, j)
		default:
			e.waiting = append(e.waiting, j)
		}
	}
}

func (f *fleet) delegate(e *entry, j *modelJob, slack time.Duration, self delegator.Load) bool {
	for k := range e.peers {
		e.peers[k].Open = e.ledger.Open(e.peers[k].Name)
	}
	peer, _ := e.policy.Choose(f.now, delegator.Job{Slack: slack, Tried: j.tried}, self, e.peers, f.random.IntN)
	if peer == "" {
		return false
	}
	j.number, _ = e.ledger.Add(peer, strconv.Itoa(j.id), f.now)
	j.at, _ = strconv.Atoi(peer)
	e.backlog += cpuOfSend
	j.readyAt = f.now.Add(2*ms + f.entries[j.at].lag())
	f.entries[j.at].waiting = append(f.entries[j.at].waiting, j)
	return true
}

// play simulates 1.5 s with the given demand in places of a domain and then 1 s without
// any, over two seeds. Entry 0 has the given speed. It returns the share of the jobs of
// each domain that ended in time.
func play(t *testing.T, enabled bool, speed float64, demand [3]float64) (share [3]float64) {
	for seed := range uint64(2) {
		f := newFleet(seed, enabled)
		f.entries[0].speed = speed
		for i := range 2500 {
			arrivals := [3]float64{}
			for d := 0; d < 3 && i < 1500; d++ {
				arrivals[d] = demand[d] * places / 10 / (float64(meanRun/ms) * math.Exp(0.08))
			}
			f.step(arrivals)
		}
		for d := range share {
			share[d] += float64(f.inTime[d]) / float64(f.arrived[d]) / 2
			if f.inTime[d]+f.late[d]+f.refused[d] != f.arrived[d] {
				t.Errorf("not every job has one answer: %+v", f)
			}
		}
	}
	return share
}

// TestFleet guards against refusals in one failure domain while others have capacity,
// against an entry short of CPU time that keeps its jobs, and against entries that serve
// less because they pass jobs around when all are short.
func TestFleet(t *testing.T) {
	for name, c := range map[string]struct {
		speed  float64
		demand [3]float64
		// gain is the least by which the share in time rises in the first domain, loss
		// the most by which it falls in any.
		gain, loss float64
	}{
		"uneven demand": {0.1, [3]float64{1.5, 0.5, 0.5}, 0.25, 0.01},
		"small entry":   {0.015, [3]float64{0.5, 0.5, 0.5}, 0.02, 0.01},
		"all short":     {0.1, [3]float64{1.5, 1.5, 1.5}, -0.02, 0.02},
		"all idle":      {0.1, [3]float64{0.3, 0.3, 0.3}, 0, 0},
	} {
		off, on := play(t, false, c.speed, c.demand), play(t, true, c.speed, c.demand)
		t.Logf("%s: in time by domain: %.3f off, %.3f on", name, off, on)
		if on[0] < off[0]+c.gain || min(on[0]-off[0], on[1]-off[1], on[2]-off[2]) < -c.loss {
			t.Errorf("%s: in time by domain: %.3f off, %.3f on", name, off, on)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	peers := make([]delegator.Peer, 60)
	for i := range peers {
		peers[i] = delegator.Peer{
			Name: fmt.Sprint("entry-", i), Domain: fmt.Sprint("d", i%3), Near: i%3 == 0, Up: true,
			Load: delegator.Load{Wait: time.Duration(i) * ms, Accepts: i%5 > 0, At: start.Add(-time.Duration(i) * ms)},
		}
	}
	for name, c := range map[string]struct{ slack, wait, lag time.Duration }{
		"in_time": {96, 0, 0}, "lag": {96, 0, 60}, "capacity": {96, 1000, 0}, "no_peer": {11, 1000, 0},
	} {
		b.Run(name, func(b *testing.B) {
			p := newPolicy(true)
			for b.Loop() {
				p.Choose(start, delegator.Job{Slack: c.slack * ms, Tried: []string{"entry-1"}}, delegator.Load{Wait: c.wait * ms, Lag: c.lag * ms}, peers, rand.IntN)
			}
		})
	}
}
