package proof

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// crowdSeed and crowdSeconds are the seed and the duration of TestCrowdSoak.
var (
	crowdSeed    = flag.Uint64("crowd-seed", 1, "seed of the crowds and faults in TestCrowdSoak")
	crowdSeconds = flag.Int("crowd-seconds", 20, "seconds of crowds and faults in TestCrowdSoak")
)

// soakCrowd is the number of connections of one crowd of the soak; several may be there at a
// time.
const soakCrowd = 300

// crowdForms returns the forms of misbehaving clients of the port of callers. Each request
// has an identifier of its own, as clients of different crowds do not share jobs.
func crowdForms() []client {
	var requests atomic.Int64
	var forms []client
	add := func(list []client, first int) {
		for _, f := range list {
			forms = append(forms, func(c net.Conn, _ int, whole bool) error { return f(c, first+int(requests.Add(1)), whole) })
		}
	}
	add(heldForms(), 0)
	// The identifiers of the others are not among those whose tasks holdTasks holds.
	add(otherForms(), 1<<32)
	return forms
}

// heldForms returns the forms whose tasks run for as long as their jobs declare.
func heldForms() []client {
	lines := shortHeaders(15 << 10)
	return []client{
		sendText(func(n int, _ bool) string { return submission(n, waitingJob(`"best_effort":true,`)) }),
		sendText(func(n int, _ bool) string { return submission(n, longJob) + lines }),
	}
}

// otherForms returns the other forms.
func otherForms() []client {
	lines, steps := shortHeaders(15<<10), emptySteps(bodyBytes)
	return []client{
		sendSized(bodyBytes), sendSized(4 << 10), sendChunked(64 << 10), sendChunked(1),
		sendText(func(int, bool) string { return "POST /check/ HTTP/1.1\r\nHost: claims.example\r\n" + lines }),
		sendText(func(n int, _ bool) string { return submission(n, steps) }),
		sendText(func(int, bool) string { return "" }),
		func(c net.Conn, n int, _ bool) error {
			// A client that trickles: it always makes some progress.
			if _, err := io.WriteString(c, head(n, fmt.Sprintf("Content-Length: %d", bodyBytes))+largeBody(bodyBytes)[:bodyBytes/2]); err != nil {
				return err
			}
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if _, err := io.WriteString(c, " "); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// Random crowds at both entries, which overlap, beside planned stops, kills, changes of the
// configuration and outages of the store, while ordinary callers go on: each process stays
// within its bounds and ends only when it is told to, and ordinary callers are answered
// afterwards.
func TestCrowdSoak(t *testing.T) {
	s := newSmallSystemOf(t, plainProgram)
	s.addEntry("entry-2", "domain-2")
	s.waitReady("entry-2")
	s.holdTasks()
	rng, forms, version := rand.New(rand.NewPCG(*crowdSeed, 1)), crowdForms(), 2
	var addresses []string
	ends := make(map[string]func() usage)
	watch := func(name string) {
		ends[name] = watchUsage(s.entries[name], s.requestAddresses[name], s.readinessAddresses[name], s.operatorAddresses[name], s.entryAddresses[name])
	}
	for _, name := range s.names {
		addresses = append(addresses, s.requestAddresses[name])
		watch(name)
	}
	restart := func(name string, signal syscall.Signal) {
		p := s.entries[name]
		checkAlive(t, p)
		_ = p.Process.Signal(signal)
		select {
		case <-p.done:
		case <-time.After(30 * time.Second):
			t.Fatalf("%s did not end:\n%s", name, tail(p.log.String()))
		}
		checkUsage(t, ends[name]())
		s.startEntry(name)
		watch(name)
	}
	var crowds []*crowd
	for end := time.Now().Add(time.Duration(*crowdSeconds) * time.Second); time.Now().Before(end); {
		switch rng.IntN(6) {
		case 0:
			restart(s.names[rng.IntN(2)], []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rng.IntN(2)])
		case 1:
			version++
			if err := s.host.Configure(limitedConfiguration(version)); err != nil {
				t.Fatal(err)
			}
		case 2:
			s.host.Store.SetDown(true)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			s.host.Store.SetDown(false)
		default:
			crowds = append(crowds, beginCrowd(t, addresses[rng.IntN(2)], soakCrowd, forms[rng.IntN(len(forms))]))
			if len(crowds) > 3 {
				crowds[0].stop()
				crowds = crowds[1:]
			}
		}
		for i, name := range s.names {
			if i == rng.IntN(3) {
				// Whether it is answered depends on the faults; that it may run once is checked.
				_, _ = s.submitBody(name, "/check/", fmt.Sprintf("%016x", s.ids.Add(1)), []byte(ordinaryJob))
			}
		}
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
	for _, name := range s.names {
		checkAlive(t, s.entries[name])
	}
	s.requireAnswer("while the last crowds stayed,")
	for _, c := range crowds {
		c.stop()
	}
	for _, name := range s.names {
		checkUsage(t, ends[name]())
		checkAlive(t, s.entries[name])
	}
	s.requireAnswer("after the crowds had left,")
	s.checkInvariants()
}
