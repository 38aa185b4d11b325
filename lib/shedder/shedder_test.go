package shedder_test

import (
	"math"
	"testing"
	"time"

	"radishweir.org/lib/shedder"
)

// start is the time at which all loads begin.
var start = time.Unix(1_000_000, 0)

// feed adds samples of the given lag for a period that begins at from and returns its end.
func feed(m *shedder.Monitor, from time.Time, period, lag time.Duration) time.Time {
	for end := from.Add(period); from.Before(end); {
		from = from.Add(shedder.SampleInterval)
		m.Add(shedder.Sample{At: from, Lag: lag})
	}
	return from
}

// Guards against shedding for a pause of the VM or a short batch, against states that
// flap between two thresholds, and against states without the setting.
func TestStates(t *testing.T) {
	m := &shedder.Monitor{Enabled: true}
	now := feed(m, start, 5*time.Second, time.Millisecond)
	now = now.Add(3 * time.Second)
	if m.Add(shedder.Sample{At: now, Lag: 3 * time.Second}) || m.State() != shedder.Normal {
		t.Fatalf("%v after a pause", m.State())
	}
	for _, c := range []struct {
		period, lag time.Duration
		want        shedder.State
	}{
		{5 * time.Second, time.Millisecond, shedder.Normal},
		{500 * time.Millisecond, 60 * time.Millisecond, shedder.Normal},
		{3 * time.Second, time.Millisecond, shedder.Normal},
		{5 * time.Second, 12 * time.Millisecond, shedder.Normal},
		{5 * time.Second, 20 * time.Millisecond, shedder.Busy},
		{20 * time.Second, 10 * time.Millisecond, shedder.Busy},
		{5 * time.Second, 60 * time.Millisecond, shedder.Overloaded},
		{20 * time.Second, 25 * time.Millisecond, shedder.Overloaded},
		{5 * time.Second, 10 * time.Millisecond, shedder.Busy},
		{6 * time.Second, time.Millisecond, shedder.Normal},
	} {
		now = feed(m, now, c.period, c.lag)
		if m.State() != c.want {
			t.Fatalf("%v after %v with a lag of %v (mean %v), want %v", m.State(), c.period, c.lag, m.Lag(), c.want)
		}
	}
	off := &shedder.Monitor{}
	now = feed(off, now, 10*time.Second, time.Second)
	if off.State() != shedder.Normal || !off.Ready(now, 0, 9) || off.Weight(now, 7, 0, 9) != 7 {
		t.Error("an entry without the setting sheds")
	}
}

// Guards against a change of the division without callers' work, and against an entry
// that is left out.
func TestWeightBySize(t *testing.T) {
	for cores := 0.01; cores < 64; cores += 0.007 {
		today := uint32(max(1, math.Round(cores*20)))
		if got := shedder.Weight(cores, 0); got != today {
			t.Fatalf("weight %d of %.3f cores, want %d", got, cores, today)
		}
		if shedder.Weight(cores, cores+1) < 1 {
			t.Fatalf("no weight for %.3f cores", cores)
		}
	}
}
