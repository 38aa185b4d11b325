package limiter_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"radishweir.org/lib/limiter"
)

const (
	mb        = 1 << 20
	largeBody = 256 << 10
)

// start is the time at which the loads begin.
var start = time.Unix(1000, 0)

// crowd opens n connections whose requests stop before their end, as far as they are let,
// and returns the number of those that were refused.
func crowd(l *limiter.Ledger[int], n int, now time.Time) (refused int) {
	for k := range n {
		if _, ok := l.Open(k, now); !ok {
			refused++
			continue
		}
		l.Receive(k, 300, now)
		l.BeginBody(k, now)
		victims, ok := l.Reserve(k, largeBody, now)
		if !ok {
			refused++
		}
		for _, v := range victims {
			l.End(v.Key, now)
			l.Close(v.Key)
			refused++
		}
	}
	return refused
}

// A crowd of unfinished requests keeps neither small nor large requests of others out.
func TestRequestsFitWhileACrowdHoldsTheMemory(t *testing.T) {
	l := &limiter.Ledger[int]{Limits: limiter.Limits{Memory: 24 * mb}}
	crowd(l, 900, start)
	now := start.Add(time.Second)
	for k := 1000; k < 1100; k++ {
		size := int64(4 << 10)
		if k%2 == 0 {
			size = largeBody
		}
		if _, ok := l.Open(k, now); !ok {
			t.Fatalf("connection %d was refused", k)
		}
		l.BeginBody(k, now)
		victims, ok := l.Reserve(k, size, now)
		if !ok {
			t.Errorf("a request of %d bytes was refused", size)
		}
		for _, v := range victims {
			if v.Key >= 900 || v.Reason != limiter.NoMemory {
				t.Errorf("request %d was refused for another one: %s", v.Key, v.Reason)
			}
			l.End(v.Key, now)
			l.Close(v.Key)
		}
		l.BeginAnswer(k, now)
		now = now.Add(10 * time.Millisecond)
	}
	if _, memory := l.Counts(); memory > 30*mb {
		t.Errorf("the requests take %d bytes", memory)
	}
}

// With a cap alone, for which nobody makes room, the crowd would keep large requests out.
func TestACapAloneKeepsOthersOut(t *testing.T) {
	l := &limiter.Ledger[int]{Limits: limiter.Limits{Memory: 24 * mb}}
	crowd(l, 900, start)
	for k := range 900 {
		// Requests that have arrived whole are not refused for others.
		l.BeginAnswer(k, start)
	}
	l.Open(1000, start)
	l.BeginBody(1000, start)
	for _, c := range []struct {
		size int64
		want bool
	}{{4 << 10, true}, {largeBody, false}} {
		if _, ok := l.Reserve(1000, c.size, start); ok != c.want {
			t.Errorf("a request of %d bytes: %v, want %v", c.size, ok, c.want)
		}
	}
}

// Requests that have arrived whole are not refused for others, which get room in proportion
// to what is left.
func TestLargestJobsAreRefusedFirst(t *testing.T) {
	l := &limiter.Ledger[int]{Limits: limiter.Limits{Memory: 24 * mb}}
	reserve := func(k int, size int64) bool {
		l.Open(k, start)
		l.BeginAnswer(k, start)
		victims, ok := l.Reserve(k, size, start)
		if len(victims) > 0 {
			t.Fatalf("requests that have arrived were refused: %v", victims)
		}
		return ok
	}
	if !reserve(0, 20*mb) {
		t.Error("a large job was refused in calm")
	}
	l.End(0, start)
	large, small := 0, 0
	for k := 1; k < 900; k++ {
		if reserve(k, 5*mb) {
			large++
		}
	}
	for k := 1000; k < 1010; k++ {
		if reserve(k, 200<<10) {
			small++
		}
	}
	if large == 0 || large > 4 || small != 10 {
		t.Errorf("%d of 899 large jobs and %d of 10 others were let in", large, small)
	}
}

// A crowd that holds all connections gives some to others: first those with unfinished
// requests, then idle ones, and requests that wait for their answer only after long.
func TestConnectionsOfACrowdGoFirst(t *testing.T) {
	l := &limiter.Ledger[int]{Limits: limiter.Limits{Connections: 96}}
	now := start
	for k := range 96 {
		l.Open(k, now)
		l.Receive(k, 100, now)
		switch k % 3 {
		case 0:
			l.BeginAnswer(k, now)
		case 1:
			l.BeginAnswer(k, now)
			l.End(k, now)
			l.BeginIdle(k, now)
		}
	}
	now = now.Add(2 * time.Second)
	var kinds []int
	next := 1000
	open := func() bool {
		victims, ok := l.Open(next, now)
		l.BeginAnswer(next, now)
		next++
		for _, v := range victims {
			kinds = append(kinds, v.Key%3)
			l.Close(v.Key)
		}
		return ok
	}
	for open() {
	}
	want := append(slices.Repeat([]int{2}, 32), slices.Repeat([]int{1}, 32)...)
	if !slices.Equal(kinds, want) {
		t.Errorf("the connections were closed in the order %v", kinds)
	}
	now, kinds = now.Add(4*time.Second), nil
	if !open() || slices.ContainsFunc(kinds, func(k int) bool { return k != 0 }) {
		t.Errorf("requests that have waited for long kept their connections, closed were %v", kinds)
	}
}

// An answer that is being written is not cut off for a new connection.
func TestAnswersAreWrittenBeforeTheirConnectionsClose(t *testing.T) {
	l := &limiter.Ledger[int]{Limits: limiter.Limits{Connections: 2}}
	for k := range 2 {
		l.Open(k, start)
		l.BeginAnswer(k, start)
	}
	l.End(0, start.Add(time.Second))
	if victims, ok := l.Open(2, start.Add(time.Second)); ok {
		t.Errorf("a new connection took the place of an answer: %v", victims)
	}
	if _, ok := l.Open(2, start.Add(2*time.Second)); !ok {
		t.Error("a connection that is about to be closed kept its place")
	}
}

// Headers of short lines count for what they take once they are parsed.
func TestHeadersTakeMemory(t *testing.T) {
	l := &limiter.Ledger[int]{Limits: limiter.Limits{Memory: 24 * mb, HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second}}
	for k := range 900 {
		l.Open(k, start)
		for range 4 {
			victims, _ := l.Receive(k, 4<<10, start.Add(time.Duration(k)*time.Millisecond))
			for _, v := range victims {
				l.Close(v.Key)
			}
		}
	}
	if n, memory := l.Counts(); memory > 30*mb || n < 40 {
		t.Errorf("%d connections take %d bytes", n, memory)
	}
	l.Open(1000, start)
	if victims, ok := l.Receive(1000, 24<<10, start); ok || victims[len(victims)-1].Reason != limiter.HeaderTooLarge {
		t.Errorf("a header of 24 KiB goes on: %v, %v", victims, ok)
	}
}

// Each phase ends at its deadline, and the limits may change.
func TestPhasesEnd(t *testing.T) {
	l := &limiter.Ledger[int]{Limits: limiter.Limits{HeaderTimeout: time.Second, BodyTimeout: 2 * time.Second, IdleTimeout: 4 * time.Second}}
	for k := range 5 {
		l.Open(k, start)
	}
	l.Receive(1, 10, start)
	l.BeginBody(2, start)
	l.BeginAnswer(3, start)
	l.BeginAnswer(4, start)
	l.End(4, start)
	l.BeginIdle(4, start)
	reasons := make(map[int]limiter.Reason)
	for at := time.Duration(0); at < 10*time.Second; at += 500 * time.Millisecond {
		for _, v := range l.Overdue(start.Add(at)) {
			if reasons[v.Key] != "" {
				t.Errorf("connection %d was ended twice", v.Key)
			}
			reasons[v.Key] = v.Reason
		}
	}
	want := map[int]limiter.Reason{0: limiter.HeaderTimedOut, 1: limiter.HeaderTimedOut, 2: limiter.BodyTimedOut, 4: limiter.IdleTimedOut}
	for k := range 5 {
		if reasons[k] != want[k] {
			t.Errorf("connection %d ended by %q, want %q", k, reasons[k], want[k])
		}
	}
}

// Without limits nothing is refused or closed.
func TestNoLimits(t *testing.T) {
	l := &limiter.Ledger[int]{}
	if n := crowd(l, 5000, start); n > 0 {
		t.Errorf("%d requests were refused", n)
	}
	if v := l.Overdue(start.Add(time.Hour)); len(v) > 0 {
		t.Errorf("%d connections were ended", len(v))
	}
}

// In any order of events the memory stays within its bounds, is given back, and each
// connection ends once.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &limiter.Ledger[int]{Limits: limiter.Limits{
			Connections: 20, Memory: mb, HeaderBytes: 16 << 10,
			HeaderTimeout: time.Second, BodyTimeout: 2 * time.Second, IdleTimeout: 3 * time.Second,
		}}
		open, ended, now := make(map[int]bool), make(map[int]bool), start
		end := func(list []limiter.Victim[int]) {
			for _, v := range list {
				if !open[v.Key] {
					t.Fatalf("connection %d ended that is not open", v.Key)
				}
				if v.Phase != limiter.Body {
					l.Close(v.Key)
					delete(open, v.Key)
					delete(ended, v.Key)
				} else {
					ended[v.Key] = true
				}
			}
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, 40).Draw(t, "connection")
			size := rapid.IntRange(1, largeBody).Draw(t, "size")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				if !open[k] {
					victims, ok := l.Open(k, now)
					if ok {
						open[k] = true
					}
					end(victims)
				}
			case 1:
				victims, _ := l.Receive(k, size%4096, now)
				end(victims)
			case 2:
				l.BeginBody(k, now)
			case 3:
				victims, ok := l.Reserve(k, int64(size), now)
				if ok && ended[k] {
					t.Fatal("a refused request got memory")
				}
				end(victims)
			case 4:
				l.Release(k, int64(size))
			case 5:
				l.BeginAnswer(k, now)
			case 6:
				l.End(k, now)
				if ended[k] {
					l.Close(k)
					delete(open, k)
					delete(ended, k)
				}
				l.BeginIdle(k, now)
			case 7:
				end(l.Overdue(now))
			}
			n, memory := l.Counts()
			if n != len(open) || n > 25 || memory < 0 || memory > mb+mb/4 {
				t.Fatalf("event %d: %d connections, want %d, with %d bytes", i, n, len(open), memory)
			}
		}
		for k := range open {
			l.Close(k)
		}
		if n, memory := l.Counts(); n != 0 || memory != 0 {
			t.Fatalf("%d connections and %d bytes are left", n, memory)
		}
	})
}
