package proof

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"radishweir.org/platform/schema"
)

// The crowds and the bounds of these tests. The bounds are the memory and the descriptors
// for sockets of the smallest entry VM, and the crowd is small enough for any machine that
// runs the tests.
const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 900
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes = 256 << 10
	// memoryMB is the memory of the VM in MB, memoryBound the same in bytes. The bound is on
	// the resident memory of the process and the bytes in the buffers of its sockets.
	memoryMB    = 144
	memoryBound = memoryMB * 1_000_000
	// descriptorBound bounds the open descriptors of the process.
	descriptorBound = 2875
	// wholeRequests is the share of clients that send their request whole: one of so many.
	wholeRequests = 10
	// crowdTime is how long a crowd stays once each of its clients has sent what it sends,
	// or was refused.
	crowdTime = 3 * time.Second
	// returnInterval is the time after which a client comes back whose connection the
	// entry has closed.
	returnInterval = time.Second
)

// plainProgram is the entry daemon built without the race detector, which takes several
// times the memory.
const plainProgram = "radishweir-plain"

// client sends what one client of a crowd sends on a new connection. Client number n sends
// a whole request if whole is true. It returns early if the connection breaks.
type client func(c net.Conn, n int, whole bool) error

// crowd is a set of clients that do not end their requests and keep their connections open.
type crowd struct {
	address string
	client  client
	conns   sync.Map
	// sent counts the clients that have sent all, or were refused, once.
	sent    atomic.Int64
	stopped atomic.Bool
	wg      sync.WaitGroup
}

// beginCrowd starts a crowd of n clients.
func beginCrowd(t *testing.T, address string, n int, client client) *crowd {
	t.Helper()
	c := &crowd{address: address, client: client}
	t.Cleanup(c.stop)
	for i := range n {
		c.wg.Go(func() { c.run(i) })
	}
	return c
}

// startCrowd starts a crowd of n clients and waits until each has sent what it sends.
func startCrowd(t *testing.T, address string, n int, client client) *crowd {
	t.Helper()
	c := beginCrowd(t, address, n, client)
	for end := time.Now().Add(time.Minute); c.sent.Load() < int64(n); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Logf("%d of %d clients have sent what they send", c.sent.Load(), n)
			break
		}
	}
	return c
}

// run connects one client again and again until the crowd is stopped.
func (c *crowd) run(n int) {
	for first := true; !c.stopped.Load(); first = false {
		conn, err := net.Dial("tcp", c.address)
		if err == nil {
			c.conns.Store(n, conn)
			err = c.client(conn, n, n%wholeRequests == 0)
		}
		if first {
			c.sent.Add(1)
		}
		if err == nil && !c.stopped.Load() {
			// The client waits for the end of its connection and ignores what it receives.
			_, _ = io.Copy(io.Discard, conn)
		}
		if conn != nil {
			_ = conn.Close()
		}
		for end := time.Now().Add(returnInterval); !c.stopped.Load() && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// stop closes all connections and waits for the clients.
func (c *crowd) stop() {
	c.stopped.Store(true)
	done := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(done)
	}()
	for {
		c.conns.Range(func(_, conn any) bool {
			_ = conn.(net.Conn).Close()
			return true
		})
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// usage is what a process used at most while it was watched.
type usage struct {
	memory, unread, descriptors int64
	samples                     int
}

// watchUsage samples what a process uses, its sockets at the given addresses included,
// until the returned function is called.
func watchUsage(p *process, addresses ...string) func() usage {
	stop, result := make(chan struct{}), make(chan usage)
	go func() {
		var u usage
		for {
			unread := queuedBytes(addresses)
			u.unread = max(u.unread, unread)
			u.memory = max(u.memory, residentBytes(p.Process.Pid)+unread)
			fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
			u.descriptors = max(u.descriptors, int64(len(fds)))
			u.samples++
			select {
			case <-stop:
				result <- u
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() usage {
		close(stop)
		return <-result
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10
}

// queuedBytes returns the number of bytes that wait in the sockets with the given local
// addresses: those that the process has not read and those that its peers have not taken.
func queuedBytes(addresses []string) int64 {
	data, _ := os.ReadFile("/proc/net/tcp")
	ports := make(map[string]bool)
	for _, a := range addresses {
		_, port, _ := net.SplitHostPort(a)
		n, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("0100007F:%04X", n)] = true
	}
	total := int64(0)
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		// The queue of a listening socket, which is in state 0A, counts connections.
		if len(f) < 5 || !ports[f[1]] || f[3] == "0A" {
			continue
		}
		sent, received, _ := strings.Cut(f[4], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}

// checkUsage checks the bounds.
func checkUsage(t *testing.T, u usage) {
	t.Helper()
	t.Logf("at most %d MB of memory, %d kB of it in sockets, and %d descriptors in %d samples", u.memory/1e6, u.unread/1e3, u.descriptors, u.samples)
	if u.memory > memoryBound {
		t.Errorf("the process used %d MB, want at most %d", u.memory/1e6, memoryBound/1_000_000)
	}
	if u.descriptors > descriptorBound {
		t.Errorf("the process had %d open descriptors, want at most %d", u.descriptors, descriptorBound)
	}
}

// checkAlive checks that a process runs.
func checkAlive(t *testing.T, p *process) {
	t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		t.Fatalf("the process ended: %v\n%s", err, tail(p.log.String()))
	default:
	}
}

// limitedConfiguration returns a configuration with the limits of the deployments.
func limitedConfiguration(version int) schema.Configuration {
	c := configuration(version, "/check/")
	c.Limits = &schema.Limits{MaxBodyBytes: bodyBytes, MaxHeaderBytes: 16 << 10, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
	return c
}

// newSmallSystem starts one entry on a VM with the memory of the smallest one.
func newSmallSystem(t *testing.T) *system {
	t.Helper()
	return newSmallSystemOf(t, plainProgram)
}

// newSmallSystemOf is newSmallSystem with another build of the entry daemon.
func newSmallSystemOf(t *testing.T, program string) *system {
	t.Helper()
	s := newSystemOf(t, program, fmt.Sprintf("memory_mb = %d\n", memoryMB), 1, 8)
	if err := s.host.Configure(limitedConfiguration(2)); err != nil {
		t.Fatal(err)
	}
	s.await("the configuration", func() bool {
		st := s.statuses()["entry-1"].Leased
		return st != nil && st.ConfigurationVersion == 2
	})
	return s
}

// ordinaryJob is the job of an ordinary caller.
const ordinaryJob = `{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":60}]}`

// requireAnswer checks that an ordinary caller gets an answer on a new connection. A caller
// that is refused comes back.
func (s *system) requireAnswer(when string) {
	s.t.Helper()
	var status int
	var body string
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(returnInterval) {
		http.DefaultClient.CloseIdleConnections()
		status, body = s.submitBody("entry-1", "/check/", fmt.Sprintf("%016x", s.ids.Add(1)), []byte(ordinaryJob))
		if status == http.StatusOK {
			return
		}
	}
	s.t.Errorf("%s an ordinary request was answered %d %s", when, status, body)
}

// withstand checks that an entry withstands a crowd at one of its addresses: it lives, stays
// within its bounds, and answers ordinary callers while the crowd is there and afterwards.
func (s *system) withstand(address string, n int, client client) {
	t, p := s.t.(*testing.T), s.entries["entry-1"]
	t.Helper()
	s.requireAnswer("before the crowd came,")
	end := watchUsage(p, s.requestAddresses["entry-1"], s.readinessAddresses["entry-1"], s.operatorAddresses["entry-1"], s.entryAddresses["entry-1"])
	c := startCrowd(t, address, n, client)
	s.requireAnswer("while the crowd was there,")
	s.waitReady("entry-1")
	time.Sleep(crowdTime)
	s.requireAnswer("while the crowd stayed,")
	c.stop()
	checkUsage(t, end())
	checkAlive(t, p)
	s.requireAnswer("after the crowd had left,")
	s.checkInvariants()
}

// largeBody returns the body of a valid job, padded to the given size.
func largeBody(size int) string {
	const job = `{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":10}]}`
	return job[:1] + strings.Repeat(" ", size-len(job)) + job[1:]
}

// head returns the first lines of client n's request.
func head(n int, framing string) string {
	return fmt.Sprintf("POST /check/%016x HTTP/1.1\r\nHost: claims.example\r\nContent-Type: application/json\r\nX-Request-Deadline: 20000\r\n%s\r\n\r\n", 1<<32+n, framing)
}

// sendSized sends a request whose size is stated, in pieces of the given size.
func sendSized(piece int) client {
	body := largeBody(bodyBytes)
	return func(c net.Conn, n int, whole bool) error {
		if _, err := io.WriteString(c, head(n, fmt.Sprintf("Content-Length: %d", bodyBytes))); err != nil {
			return err
		}
		rest := body
		if !whole {
			rest = body[:bodyBytes-1]
		}
		for len(rest) > 0 {
			k := min(piece, len(rest))
			if _, err := io.WriteString(c, rest[:k]); err != nil {
				return err
			}
			rest = rest[k:]
			if piece < bodyBytes {
				time.Sleep(time.Millisecond)
			}
		}
		return nil
	}
}

// sendChunked sends a request in chunks of the given size.
func sendChunked(size int) client {
	body := largeBody(bodyBytes)
	var chunks strings.Builder
	for rest := body; len(rest) > 0; {
		k := min(size, len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", k, rest[:k])
		rest = rest[k:]
	}
	return func(c net.Conn, n int, whole bool) error {
		text := chunks.String()
		if whole {
			text += "0\r\n\r\n"
		} else {
			text = text[:len(text)-3]
		}
		_, err := io.WriteString(c, head(n, "Transfer-Encoding: chunked")+text)
		return err
	}
}

// Guards against an entry that holds each large body for as long as its client wants.
func TestCrowdOfLargeBodies(t *testing.T) {
	s := newSmallSystem(t)
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendSized(bodyBytes))
}

// Guards against the same with bodies that arrive piece by piece.
func TestCrowdOfLargeBodiesPieceByPiece(t *testing.T) {
	s := newSmallSystem(t)
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendSized(4<<10))
}

// Guards against the same with bodies whose size is not stated.
func TestCrowdOfLargeChunks(t *testing.T) {
	s := newSmallSystem(t)
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendChunked(64<<10))
}

// Guards against the same with bodies in chunks of a byte.
func TestCrowdOfSmallChunks(t *testing.T) {
	s := newSmallSystem(t)
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendChunked(1))
}

// A single request of the largest size is served.
func TestLargestRequestIsServed(t *testing.T) {
	s := newSmallSystem(t)
	for name, c := range map[string]client{
		"sized": sendSized(bodyBytes), "in pieces": sendSized(1 << 10), "in chunks": sendChunked(64 << 10), "in small chunks": sendChunked(1),
	} {
		conn, err := net.Dial("tcp", s.requestAddresses["entry-1"])
		if err != nil {
			t.Fatal(err)
		}
		if err := c(conn, int(s.ids.Add(1)), true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		b := make([]byte, 1<<10)
		n, err := conn.Read(b)
		if !strings.HasPrefix(string(b[:n]), "HTTP/1.1 200 ") {
			t.Errorf("%s: the largest request was answered %q, %v", name, b[:n], err)
		}
		_ = conn.Close()
	}
}
