package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// callerConn is one connection of a caller that does not send a request again by itself.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

// dialEntry connects a caller to an entry.
func (s *system) dialEntry(name string) *callerConn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.requestAddresses[name])
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &callerConn{c, bufio.NewReader(c)}
}

// send sends a job of one task with a new identifier.
func (c *callerConn) send(s *system) {
	s.t.Helper()
	const body = `{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":6800,"mem_mb":64,"estimate_ms":60}]}`
	_, err := fmt.Fprintf(c, "POST /check/%016x HTTP/1.1\r\nHost: claims.example\r\nX-Request-Deadline: 2500\r\nContent-Length: %d\r\n\r\n%s", s.ids.Add(1), len(body), body)
	if err != nil {
		s.t.Fatal(err)
	}
}

// receive reads an answer and returns its status.
func (c *callerConn) receive() (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// The entry gets no processor time while requests arrive on used and on new connections and
// its wait for the load balancer ends.
func TestRequestsThatArriveAtAStarvedEntryAreAnsweredWhileItStops(t *testing.T) {
	s := newSystem(t, 2, 16)
	const used, fresh = 20, 20
	callers := make([]*callerConn, used, used+fresh)
	for i := range callers {
		c := s.dialEntry("entry-2")
		c.send(s)
		if status, err := c.receive(); status != http.StatusOK {
			t.Fatalf("before the stop: %d, %v", status, err)
		}
		callers[i] = c
	}
	p := s.entries["entry-2"]
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for range fresh {
		callers = append(callers, s.dialEntry("entry-2"))
	}
	for _, c := range callers {
		c.send(s)
	}
	time.Sleep(250 * time.Millisecond)
	if err := p.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	lost := 0
	statuses := make(map[int]int)
	for _, c := range callers {
		status, err := c.receive()
		if err != nil {
			lost++
			continue
		}
		statuses[status]++
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer, the others %v:\n%s", lost, used+fresh, statuses, p.log)
	}
	if err := <-p.done; err != nil {
		t.Errorf("the stopped entry ended with %v", err)
	}
	s.checkInvariants()
}
