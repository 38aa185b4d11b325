package coordinator

import (
	"testing"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/throttler"
)

// newThrottled returns a coordinator of which all recent run requests were rejected, and
// which has the given number of free places among 20.
func newThrottled(enabled bool, free int, now time.Time) *Coordinator {
	c := &Coordinator{Self: "entry-1", Throttle: throttler.Throttler{Enabled: enabled}, kinds: make(map[string]*kindStats)}
	c.Throttle.Sent(now, 100)
	c.Throttle.Rejected(now, 100)
	v := &snapshot{}
	for i := range 20 {
		s := &upstreamState{owner: "entry-1", stateKnown: true, usable: true}
		s.Capacity = packer.Amount{CPU: 1000}
		if i < free {
			s.free = s.Capacity
		}
		v.nearUpstreams = append(v.nearUpstreams, s)
	}
	c.snapshots = map[string]*snapshot{"claims": v}
	return c
}

// Guards against less urgent jobs that take the last places while others compete for
// them, against urgent jobs that are held back, and against any of it when switched off.
func TestThrottledJobs(t *testing.T) {
	now := time.UnixMilli(1000)
	check := &job{Job: Job{Service: "claims", Priority: 0, Steps: []Step{{Tasks: 1, Need: packer.Amount{CPU: 1000}}}}}
	batch := &job{Job: Job{Service: "claims", Priority: 2, Steps: check.Steps}}
	kept := &job{Job: Job{Service: "claims", Priority: 2, Holder: "entry-1", Steps: check.Steps}}
	for _, test := range []struct {
		name     string
		enabled  bool
		free     int
		j        *job
		equal    bool
		throttle bool
	}{
		{"a less urgent job that needs one of the last places", true, 3, batch, false, true},
		{"a less urgent job while enough places are free", true, 10, batch, false, false},
		{"the most urgent job", true, 3, check, false, false},
		{"a job where all queues have the same priority", true, 3, check, true, true},
		{"a kept job", true, 3, kept, false, false},
		{"switched off", false, 3, batch, false, false},
	} {
		c := newThrottled(test.enabled, test.free, now)
		c.kinds["check"] = &kindStats{service: "claims", priority: 0}
		if !test.equal {
			c.kinds["batch"] = &kindStats{service: "claims", priority: 2}
		}
		if got := c.throttled(test.j, 1, now.Add(10*time.Millisecond)); got != test.throttle {
			t.Errorf("%s: throttled %v, want %v", test.name, got, test.throttle)
		}
	}
}
