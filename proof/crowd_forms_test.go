package proof

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"radishweir.org/platform/schema"
)

// limitedProgram is plainProgram with the number of descriptors lowered to fewDescriptors,
// which a crowd exceeds.
const (
	limitedProgram = "radishweir-limited"
	fewDescriptors = 600
)

// writeLimitedProgram writes limitedProgram.
func writeLimitedProgram(t *testing.T) {
	t.Helper()
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %q \"$@\"\n", fewDescriptors, filepath.Join(programs, plainProgram))
	if err := os.WriteFile(filepath.Join(programs, limitedProgram), []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
}

// sendText sends the text that f returns for each client.
func sendText(f func(n int, whole bool) string) client {
	return func(c net.Conn, n int, whole bool) error {
		_, err := io.WriteString(c, f(n, whole))
		return err
	}
}

// shortHeaders returns size bytes of header lines that are as short as distinct ones can be.
func shortHeaders(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/36/36%36])
	}
	return b.String()
}

// submission returns a whole request with a job as its body.
func submission(n int, job string) string {
	return head(n, fmt.Sprintf("X-Request-Deadline: 30000\r\nContent-Length: %d", len(job))) + job
}

// longJob is a job that takes 20 s by its own account.
const longJob = `{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":10,"estimate_ms":20000}]}`

// Guards against headers whose lines take many times the memory of their text.
func TestCrowdOfShortHeaderLines(t *testing.T) {
	s := newSmallSystem(t)
	lines := shortHeaders(15 << 10)
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendText(func(n int, whole bool) string {
		if whole {
			return head(n, lines+"Content-Length: 0")
		}
		return "POST /check/ HTTP/1.1\r\nHost: claims.example\r\n" + lines
	}))
}

// emptySteps returns the body of a job whose steps are empty, of at most the given size.
func emptySteps(size int) string {
	return `{"spec":"x","best_effort":true,"steps":[` + strings.Repeat("{},", (size-100)/3) + `{}]}`
}

// Guards against bodies whose values take many times the memory of their text.
func TestCrowdOfEmptySteps(t *testing.T) {
	for _, size := range []int{bodyBytes, 15 << 10} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			s := newSmallSystem(t)
			body := emptySteps(size)
			s.withstand(s.requestAddresses["entry-1"], crowdSize, sendText(func(n int, _ bool) string { return submission(n, body) }))
		})
	}
}

// waitingJob returns a job of many tasks that wait for the first one.
func waitingJob(more string) string {
	return fmt.Sprintf(`{"spec":"x",%s"steps":[{"count":1,"cpu":10,"estimate_ms":20000},{"count":9999,"cpu":10,"estimate_ms":20000,"after":[0]}]}`, more)
}

// holdTasks makes the tasks of a crowd run for longer than the crowd stays.
func (s *system) holdTasks() {
	s.host.Fleet.SetRunTime(func(task string) time.Duration {
		if strings.HasPrefix(task, "00000001") {
			return time.Hour
		}
		return 60 * time.Millisecond
	})
}

// Guards against small bodies whose jobs have many tasks.
func TestCrowdOfJobsWithManyTasks(t *testing.T) {
	s := newSmallSystem(t)
	s.holdTasks()
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendText(func(n int, _ bool) string {
		return submission(n, waitingJob(`"best_effort":true,`))
	}))
}

// Guards against the same with kept jobs, which stay when their callers have left.
func TestCrowdOfKeptJobsWithManyTasks(t *testing.T) {
	s := newSmallSystem(t)
	s.holdTasks()
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendText(func(n int, _ bool) string {
		return submission(n, waitingJob(""))
	}))
}

// Guards against tasks that run much longer than their jobs declare: the upstreams look as if
// they hung.
func TestCrowdOfStalledTasks(t *testing.T) {
	s := newSmallSystem(t)
	s.holdTasks()
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendText(func(n int, _ bool) string {
		return submission(n, ordinaryJob)
	}))
}

// Guards against callers that take all descriptors by connections without a request.
func TestCrowdOfIdleConnections(t *testing.T) {
	writeLimitedProgram(t)
	s := newSmallSystemOf(t, limitedProgram)
	s.withstand(s.requestAddresses["entry-1"], crowdSize, sendText(func(n int, whole bool) string {
		if whole {
			return ""
		}
		return fmt.Sprintf("GET /check/%016x HTTP/1.1\r\nHost: claims.example\r\n\r\n", 1<<32+n)
	}))
}

// Guards against callers that send request after request and read no answer.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	s := newSmallSystem(t)
	request := "GET /nothing/1 HTTP/1.1\r\nHost: claims.example\r\n\r\n"
	requests := strings.Repeat(request, (1<<20)/len(request))
	s.withstand(s.requestAddresses["entry-1"], crowdSize, func(c net.Conn, _ int, whole bool) error {
		if whole {
			_, err := io.WriteString(c, request)
			return err
		}
		// The write ends when the entry stops to read. The client stays, but reads nothing.
		_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
		for {
			if _, err := io.WriteString(c, requests); err != nil {
				break
			}
		}
		time.Sleep(crowdTime)
		return io.ErrShortWrite
	})
}

// Guards against callers that go on to send while their first request is served.
func TestCrowdThatSendsAhead(t *testing.T) {
	s := newSmallSystem(t)
	s.holdTasks()
	s.withstand(s.requestAddresses["entry-1"], crowdSize, func(c net.Conn, n int, whole bool) error {
		text := submission(n, longJob)
		if !whole {
			text += strings.Repeat("x", bodyBytes)
		}
		_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
		// What does not fit the buffers stays with the client.
		_, _ = io.WriteString(c, text)
		return nil
	})
}

// Guards against the crowd of large bodies while the entry has no configuration.
func TestCrowdWithoutConfiguration(t *testing.T) {
	s := newSmallSystem(t)
	s.host.Store.SetDown(true)
	p := s.entries["entry-1"]
	_ = p.Process.Kill()
	<-p.done
	s.startEntry("entry-1")
	s.await("the entry", func() bool {
		c, err := net.Dial("tcp", s.requestAddresses["entry-1"])
		if err != nil {
			return false
		}
		return c.Close() == nil
	})
	p = s.entries["entry-1"]
	end := watchUsage(p, s.requestAddresses["entry-1"])
	c := startCrowd(t, s.requestAddresses["entry-1"], crowdSize, sendSized(bodyBytes))
	time.Sleep(crowdTime)
	checkAlive(t, p)
	s.host.Store.SetDown(false)
	s.requireAnswer("while the crowd stayed,")
	c.stop()
	checkUsage(t, end())
	checkAlive(t, p)
	s.requireAnswer("after the crowd had left,")
}

// Guards against the crowd of large bodies while the entry drains: it ends, and within its
// bounds.
func TestCrowdWhileDraining(t *testing.T) {
	s := newSmallSystem(t)
	p := s.entries["entry-1"]
	end := watchUsage(p, s.requestAddresses["entry-1"])
	c := startCrowd(t, s.requestAddresses["entry-1"], crowdSize/2, sendSized(bodyBytes))
	_ = p.Process.Signal(syscall.SIGTERM)
	late := startCrowd(t, s.requestAddresses["entry-1"], crowdSize/2, sendChunked(64<<10))
	select {
	case err := <-p.done:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
		p.done <- err
	case <-time.After(30 * time.Second):
		t.Error("the process did not end")
	}
	c.stop()
	late.stop()
	checkUsage(t, end())
	s.startEntry("entry-1")
	s.waitReady("entry-1")
	s.requireAnswer("after the restart,")
	s.checkInvariants()
}

// Guards against strangers at the port of the other entries.
func TestCrowdAtPeersPort(t *testing.T) {
	s := newSmallSystem(t)
	const size = 8 << 20
	prefix := string(binary.AppendUvarint(nil, size-1))
	s.withstand(s.entryAddresses["entry-1"], crowdSize, sendText(func(int, bool) string {
		return prefix + strings.Repeat("x", bodyBytes)
	}))
}

// Guards against strangers at the ports of the load balancer and of operators.
func TestCrowdAtOtherPorts(t *testing.T) {
	writeLimitedProgram(t)
	lines := shortHeaders(15 << 10)
	for _, c := range []struct {
		name, path string
		addresses  func(s *system) map[string]string
	}{
		{"readiness", "/api/readiness", func(s *system) map[string]string { return s.readinessAddresses }},
		{"operators", "/status", func(s *system) map[string]string { return s.operatorAddresses }},
	} {
		t.Run(c.name+" headers", func(t *testing.T) {
			s := newSmallSystem(t)
			s.withstand(c.addresses(s)["entry-1"], crowdSize, sendText(func(int, bool) string {
				return "GET " + c.path + " HTTP/1.1\r\nHost: h\r\n" + lines
			}))
		})
		t.Run(c.name+" idle", func(t *testing.T) {
			s := newSmallSystemOf(t, limitedProgram)
			s.withstand(c.addresses(s)["entry-1"], crowdSize, sendText(func(int, bool) string {
				return "GET " + c.path + " HTTP/1.1\r\nHost: h\r\n\r\n"
			}))
		})
	}
}

// The limits of the configuration are in force, also after a change.
func TestLimitsOfTheConfiguration(t *testing.T) {
	s := newSmallSystem(t)
	c := configuration(3, "/check/")
	c.Limits = &schema.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 2000, HeaderTimeoutMs: 1000, IdleTimeoutMs: 1000}
	if err := s.host.Configure(c); err != nil {
		t.Fatal(err)
	}
	s.await("the configuration", func() bool {
		st := s.statuses()["entry-1"].Leased
		return st != nil && st.ConfigurationVersion == 3
	})
	time.Sleep(2 * time.Second)
	for name, c := range map[string]struct{ text, want string }{
		"body":   {submission(1, largeBody(1001)), "HTTP/1.1 413 "},
		"header": {head(2, shortHeaders(14<<10)), "HTTP/1.1 431 "},
		"start":  {"POST /check/ HT", ""},
		"idle":   {"GET /nothing/ HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404 "},
	} {
		conn, err := net.Dial("tcp", s.requestAddresses["entry-1"])
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, c.text)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, err := io.ReadAll(conn)
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%s: the connection was not closed", name)
		}
		if !strings.HasPrefix(string(got), c.want) {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
		_ = conn.Close()
	}
	s.requireAnswer("with other limits,")
}
