package proof

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// metric returns the value of a metric without labels, as text.
func (s *system) metric(entry, name string) string {
	s.t.Helper()
	resp, err := http.Get("http://" + s.operatorAddresses[entry] + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// runCtl runs radishweirctl with the given standard input and returns its output.
func runCtl(t *testing.T, in string, args ...string) string {
	t.Helper()
	c := exec.Command(filepath.Join(programs, "radishweirctl"), args...)
	c.Stdin = strings.NewReader(in)
	out, err := c.CombinedOutput()
	if err != nil {
		t.Errorf("radishweirctl %v: %v\n%s", args, err, out)
	}
	return string(out)
}

// An entry whose output nobody reads keeps serving, and afterwards reports that log
// events were dropped.
func TestLeasedUnreadOutput(t *testing.T) {
	s := newSystem(t, 1, 16)
	first := s.entries["entry-1"]
	_ = first.Process.Kill()
	<-first.done
	path := filepath.Join(s.dir, "entry-1.toml")
	settings, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(settings, "log_level = \"debug\"\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	c := exec.Command(filepath.Join(programs, "radishweir"), "leased", "--settings", path)
	c.Stdout = w
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	defer func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	}()
	s.waitReady("entry-1")
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	s.load(ctx, 10*time.Millisecond, "entry-1")
	s.checkInvariants()
	if s.successShare() < 0.99 {
		t.Errorf("the share of served jobs is %.3f, want 0.99", s.successShare())
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := s.metric("entry-1", "radishweir_log_events_missed"); n != "0" && n != "" {
			return
		}
	}
	t.Error("no log event was counted as dropped")
}

// Operators can see the owner of each upstream, and can trace a job from its
// identifier to the cause of its failure, even if an entry has died.
func TestLeasedOperators(t *testing.T) {
	s := newSystem(t, 3, 6)
	status := runCtl(t, "", "--platform", s.host.Address(), "leased", "status")
	for _, name := range s.names {
		if !strings.Contains(status, name) || strings.Contains(status, "unreachable") {
			t.Errorf("%s is not shown as reachable:\n%s", name, status)
		}
	}
	upstreams := runCtl(t, "", "--platform", s.host.Address(), "leased", "upstreams")
	if n := strings.Count(upstreams, "usable"); n != 6 || strings.Contains(upstreams, "nobody") || strings.Contains(upstreams, "says") {
		t.Errorf("six upstreams with one owner each are expected:\n%s", upstreams)
	}

	_ = s.entries["entry-2"].Process.Kill()
	<-s.entries["entry-2"].done
	// The job has far more tasks than fit, so it is refused for lack of capacity.
	statusCode, _ := s.submitJob("entry-1", "/check/", "00000000000000aa", 4000)
	if statusCode != http.StatusServiceUnavailable {
		t.Errorf("a job without room was answered %d", statusCode)
	}
	// Log lines are written with a short delay.
	logs := ""
	s.await("the log line of the job", func() bool {
		logs = ""
		for _, name := range s.names {
			logs += s.entries[name].log.String()
		}
		return strings.Contains(logs, "job=00000000000000aa")
	})
	e := runCtl(t, logs, "explain", "00000000000000aa")
	for _, want := range []string{"cause: overload", "peer_down", "entry-2", "state=refused"} {
		if !strings.Contains(e, want) {
			t.Errorf("the explanation lacks %q:\n%s", want, e)
		}
	}
	if e := runCtl(t, logs, "explain", "ffffffffffffffff"); !strings.Contains(e, "cause: no line") {
		t.Errorf("an unknown job:\n%s", e)
	}
}
