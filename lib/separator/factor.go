package separator

import "math"

// table holds the excess of the pairs that interfere; it is never changed.
type table struct {
	index map[string]int
	// excess is the run time of kind i beside kind j over that without it, less 1.
	excess [][]float64
}

// publish makes the current pairs known to Factor and Slowdown.
func (s *Separator) publish() {
	n, found := len(s.kinds), false
	t := &table{index: make(map[string]int, n), excess: make([][]float64, n)}
	for i, k := range s.kinds {
		t.index[k.name] = i
		t.excess[i] = make([]float64, n)
		for j := range s.kinds {
			p := &s.pairs[i][j]
			if !p.found {
				continue
			}
			mean, _ := p.total().estimate()
			t.excess[i][j] = math.Expm1(min(mean, maxLog))
			found = true
		}
	}
	if !found {
		t = nil
	}
	s.table.Store(t)
}

// Active reports whether any two kinds interfere. It may be called at any time.
func (s *Separator) Active() bool { return s.table.Load() != nil }

// Factor returns by how much the slowness of an upstream counts more for a task of
// the given kind, with the numbers of runs by kind that are there: 1 plus the
// expected slowdown of the new task and of the runs there, each as a share of its run
// time. It is 1 if nothing is known. It may be called at any time.
func (s *Separator) Factor(kind string, beside map[string]int) float64 {
	t := s.table.Load()
	if t == nil || len(beside) == 0 {
		return 1
	}
	i, ok := t.index[kind]
	if !ok {
		return 1
	}
	own, others := 1.0, 0.0
	// A run that already has a run of this kind beside it is not slowed down further.
	here := beside[kind]
	for name, n := range beside {
		j, ok := t.index[name]
		if !ok || n <= 0 {
			continue
		}
		own *= 1 + t.excess[i][j]
		if here == 0 || (i == j && here == 1) {
			others += float64(n) * t.excess[j][i]
		}
	}
	return own + others
}

// Slowdown returns the expected run time of a run beside the given kinds over that
// without them. A caller that learns the slowness of upstreams or run times divides
// by it, so that interference is not counted twice. It may be called at any time.
func (s *Separator) Slowdown(kind string, beside map[string]float64) float64 {
	t := s.table.Load()
	if t == nil {
		return 1
	}
	i, ok := t.index[kind]
	if !ok {
		return 1
	}
	log := 0.0
	for name, share := range beside {
		if j, ok := t.index[name]; ok {
			log += min(max(share, 0), 1) * math.Log1p(t.excess[i][j])
		}
	}
	return math.Exp(log)
}
