package predictor_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishweir.org/lib/predictor"
)

// load is a kind whose jobs of 8 tasks vary by 40%, with declared times off by 40%; a
// task varies by 15% within its job, and 3% take 7 times as long.
type load struct {
	random *rand.Rand
	now    time.Time
	usual  time.Duration
	jobs   float64 // a second
	slower float64
}

func newLoad(seed uint64) *load {
	return &load{rand.New(rand.NewPCG(seed, 1)), time.Unix(0, 0), 60 * time.Millisecond, 8, 1}
}

// next returns the next job: its declared run time and those of its tasks.
func (l *load) next() (declared time.Duration, tasks []time.Duration) {
	l.now = l.now.Add(time.Duration(l.random.ExpFloat64() / l.jobs * float64(time.Second)))
	own := float64(l.usual) * math.Exp(0.4*l.random.NormFloat64())
	for range 8 {
		t := own * math.Exp(0.15*l.random.NormFloat64())
		if l.random.Float64() < 0.03 {
			t *= 7
		}
		tasks = append(tasks, time.Duration(t*l.slower))
	}
	return time.Duration(own * math.Exp(0.4*l.random.NormFloat64())), tasks
}

func (l *load) run(p *predictor.Predictor, d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		declared, tasks := l.next()
		for _, t := range tasks {
			p.Observe(l.now, "q", declared, t)
		}
	}
}

// TestAccuracy guards against medians that are no better than declared times, or that
// rare long runs shift.
func TestAccuracy(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		l, p := newLoad(seed), &predictor.Predictor{}
		l.run(p, time.Minute)
		var off [2]float64
		var below, runs, below99 float64
		for range 500 {
			declared, tasks := l.next()
			x := p.Predict("q", declared)
			for _, took := range tasks {
				off[0] += math.Abs(math.Log(float64(took) / float64(declared)))
				off[1] += math.Abs(math.Log(float64(took) / float64(x.Median)))
				runs++
				if took <= x.Median {
					below++
				}
				if took <= x.Quantile(0.99) {
					below99++
				}
				p.Observe(l.now, "q", declared, took)
			}
		}
		t.Logf("seed %d: mean error of the logarithm: declared %.3f, predicted %.3f; below median %.3f, below quantile 0.99 %.3f", seed, off[0]/runs, off[1]/runs, below/runs, below99/runs)
		if off[1] > 0.9*off[0] || math.Abs(below/runs-0.5) > 0.07 || math.Abs(below99/runs-0.99) > 0.01 {
			t.Errorf("seed %d: predictions are off", seed)
		}
	}
}

// TestAdmission guards against a part that improves figures but not what callers get:
// jobs refused although they could be served, and jobs that are late.
func TestAdmission(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		var wrong, late, served [2]int
		for i := range wrong {
			l, p := newLoad(seed), &predictor.Predictor{}
			l.jobs = 25
			// A job needs one slot; actual and expected are when the slots become free.
			var actual, expected [3]time.Time
			for range 8000 {
				declared, tasks := l.next()
				want, work, took := declared, declared, tasks[0]
				if i == 1 {
					x := p.Predict("q", declared)
					want, work = x.Median, x.Mean
				}
				n := 0
				for j := range actual {
					if !actual[j].After(l.now) {
						expected[j] = l.now
					}
					expected[j] = later(expected[j], l.now)
					if actual[j].Before(actual[n]) {
						n = j
					}
				}
				due := l.now.Add(took*8/5 + 60*time.Millisecond)
				end := later(actual[n], l.now).Add(took)
				first := slices.MinFunc(expected[:], time.Time.Compare)
				p.Observe(l.now, "q", declared, took)
				switch {
				case first.Add(want).After(due):
					if !end.After(due) {
						wrong[i]++
					}
					continue
				case end.After(due):
					late[i]++
				default:
					served[i]++
				}
				actual[n], expected[n] = end, later(expected[n], l.now).Add(work)
			}
		}
		t.Logf("seed %d: declared times: %d in time, %d wrongly refused, %d late; predicted: %d, %d, %d", seed, served[0], wrong[0], late[0], served[1], wrong[1], late[1])
		if wrong[1] > wrong[0]*2/3 || served[1] <= served[0] {
			t.Errorf("seed %d: no better than with declared times", seed)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestStep guards against predictions that lag behind a sudden change.
func TestStep(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		l, p := newLoad(seed), &predictor.Predictor{}
		l.run(p, time.Minute)
		before := p.Predict("q", l.usual).Median
		l.slower = 2
		l.run(p, 5*time.Second)
		after := p.Predict("q", l.usual).Median
		t.Logf("seed %d: %v before, %v after 5 s of runs twice as long", seed, before, after)
		if r := float64(after) / float64(before); math.Abs(math.Log(r/2)) > 0.2 {
			t.Errorf("seed %d: prediction is %.2f times that before", seed, r)
		}
	}
}

// TestRestart guards against wrong predictions while little is known: an entry restarts
// and loses its samples, gets impossible run times, and more kinds than it can keep.
func TestRestart(t *testing.T) {
	l, p := newLoad(1), &predictor.Predictor{}
	for i := range 1000 {
		p.Observe(l.now, fmt.Sprint("k", i), time.Second, time.Second)
		p.Observe(l.now, "q", time.Duration(i%2-1), time.Duration(-i%2))
	}
	if x := p.Predict("q", time.Second); x.Median != time.Second || x.Quantile(0.99) != time.Second || x.Samples != 0 {
		t.Errorf("predicts %v without samples", x)
	}
	// Predict may be called while the predictor learns.
	go p.Predict("q", time.Second)
	l.run(p, 30*time.Second)
	if x := p.Predict("q", l.usual); x.Samples < 50 || math.Abs(math.Log(float64(x.Median)/float64(l.usual))) > 0.15 {
		t.Errorf("predicts %v from %.0f samples, 30 s after a restart", x.Median, x.Samples)
	}
}

func BenchmarkObserve(b *testing.B) {
	l, p := newLoad(1), &predictor.Predictor{}
	for b.Loop() {
		l.now = l.now.Add(10 * time.Millisecond)
		p.Observe(l.now, "q", l.usual, l.usual)
	}
}

func BenchmarkPredict(b *testing.B) {
	l, p := newLoad(1), &predictor.Predictor{}
	l.run(p, time.Minute)
	for b.Loop() {
		p.Predict("q", l.usual)
	}
}
