package proof

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/wire"
)

const (
	// fleetMemoryMB is the memory of the VM in MB in the tests of entries whose upstreams
	// answer each task, fleetMemoryBound the bound in bytes. Their bodies are larger.
	fleetMemoryMB    = 256
	fleetMemoryBound = fleetMemoryMB * 1_000_000
	// fleetBodyBytes is the size of a body of the crowd.
	fleetBodyBytes = 1 << 20
	// fleetCrowdSize is the number of connections of the crowd.
	fleetCrowdSize = 500
)

// newSmallFleet starts one entry on a small VM.
func newSmallFleet(t *testing.T, program string) *fleet {
	t.Helper()
	return newFleetOf(t, program, fmt.Sprintf("memory_mb = %d\n", fleetMemoryMB), 1, "north")
}

// fleetHead returns the first lines of a submission.
func fleetHead(token, kind, framing string) string {
	return "POST /v1/services/claims/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + token + "\r\nContent-Type: " + kind + "\r\n" + framing + "\r\n\r\n"
}

// requireJob checks that an ordinary caller gets a whole answer on a new connection. A caller
// that is refused comes back.
func (f *fleet) requireJob(when string, n int) {
	f.t.Helper()
	var err error
	for i, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		j := newJob(fmt.Sprintf("ordinary-%d-%d", n, i), "claims", 2, time.Millisecond)
		c := f.client("entry-1")
		c.HTTP.Transport = &http.Transport{DisableKeepAlives: true}
		var a *wire.JobAnswer
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a, err = c.Submit(ctx, j, true)
		cancel()
		if err == nil && a.GetState() == wire.JobState_complete {
			return
		}
		time.Sleep(returnInterval)
	}
	f.t.Errorf("%s an ordinary job ended with %v", when, err)
}

// withstandFleet checks that an entry withstands a crowd at one of its addresses, like
// system.withstand.
func (f *fleet) withstandFleet(address string, n int, client client) {
	t, p := f.t.(*testing.T), f.entries["entry-1"]
	t.Helper()
	f.requireJob("before the crowd came,", 0)
	end := watchUsage(p, f.callerAddresses["entry-1"], f.operatorAddresses["entry-1"])
	c := startCrowd(t, address, n, client)
	f.requireJob("while the crowd was there,", 1)
	time.Sleep(crowdTime)
	f.requireJob("while the crowd stayed,", 2)
	c.stop()
	u := end()
	t.Logf("at most %d MB of memory, %d kB of it in sockets, and %d descriptors in %d samples", u.memory/1e6, u.unread/1e3, u.descriptors, u.samples)
	if u.memory > fleetMemoryBound {
		t.Errorf("the process used %d MB, want at most %d", u.memory/1e6, fleetMemoryMB)
	}
	checkAlive(t, p)
	f.requireJob("after the crowd had left,", 3)
	f.checkSingleStarts()
}

// Guards against the crowds of callers at an entry whose upstreams answer each task.
func TestFleetCrowds(t *testing.T) {
	spaces := strings.Repeat(" ", fleetBodyBytes-1)
	tasks, err := proto.Marshal(&wire.JobRequest{Service: "claims", Tasks: make([]*wire.Task, fleetBodyBytes/2)})
	if err != nil {
		t.Fatal(err)
	}
	length := fmt.Sprintf("Content-Length: %d", fleetBodyBytes)
	for name, text := range map[string]string{
		"unfinished bodies":          fleetHead(token, "application/json", length) + spaces,
		"unfinished chunks":          fleetHead(token, "application/json", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s", fleetBodyBytes, spaces),
		"bodies of strangers":        fleetHead("nobody", "application/json", length) + spaces,
		"empty tasks":                fleetHead(token, "application/x-protobuf", fmt.Sprintf("Content-Length: %d", len(tasks))) + string(tasks),
		"empty tasks in JSON":        fleetHead(token, "application/json", length) + `{"tasks":[` + strings.Repeat("{},", (fleetBodyBytes-14)/3) + "{}]}  ",
		"short header lines":         "GET /readyz HTTP/1.1\r\nHost: h\r\n" + shortHeaders(15<<10),
		"requests without an answer": strings.Repeat("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n", 30_000),
	} {
		t.Run(name, func(t *testing.T) {
			f := newSmallFleet(t, plainProgram)
			f.withstandFleet(f.callerAddresses["entry-1"], fleetCrowdSize, func(c net.Conn, _ int, _ bool) error {
				_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
				_, err := io.WriteString(c, text)
				if strings.HasPrefix(text, "GET /readyz") {
					time.Sleep(crowdTime)
				}
				return err
			})
		})
	}
	t.Run("idle connections", func(t *testing.T) {
		writeLimitedProgram(t)
		f := newSmallFleet(t, limitedProgram)
		for _, a := range []string{f.callerAddresses["entry-1"], f.operatorAddresses["entry-1"]} {
			f.withstandFleet(a, crowdSize, sendText(func(int, bool) string { return "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n" }))
		}
	})
}

// A single submission of almost the largest size, 16 MiB, is served.
func TestFleetServesTheLargestBody(t *testing.T) {
	f := newSmallFleet(t, plainProgram)
	const tasks, inputBytes = 250, 65_000
	j := newJob("largest", "claims", tasks, time.Millisecond)
	for _, task := range j.Tasks {
		// A run time with leading zeros is as good as one without.
		task.Input = []byte(strings.Repeat("0", inputBytes-4) + "1000")
	}
	a, err := f.client("entry-1").Submit(t.Context(), j, true)
	if err != nil {
		t.Fatal(err)
	}
	requireCompleteAnswer(t, j, a)
}
