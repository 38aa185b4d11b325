package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"radishweir.org/lib/caller"
	"radishweir.org/lib/operator"
)

// programs is the directory of the built programs, set by TestMain.
var programs string

// proxyProgram is the stand-in built without the race detector.
const proxyProgram = "standin-proxy"

// token is the bearer token of the tenant in all tests.
const token = "quixada-token"

// raceDetector builds the programs with the race detector.
var raceDetector = flag.Bool("race-programs", true, "build the programs with the race detector")

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "radishweir")
	if err != nil {
		panic(err)
	}
	programs = dir
	build := func(name, source string, race bool) {
		out, err := exec.Command("go", "build", fmt.Sprintf("-race=%v", race), "-o", filepath.Join(dir, name), "../"+source).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %s\n", name, out)
			os.Exit(1)
		}
	}
	for _, p := range []string{"radishweir", "radishweirctl", "standin", "load"} {
		build(p, p, *raceDetector)
	}
	build(proxyProgram, "standin", false)
	build(plainProgram, "radishweir", false)
	os.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH"))
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program.
type process struct {
	*exec.Cmd
	args []string
	log  *output
	done chan error
}

// maxOutput is the number of bytes of a program's output after which the older half is
// dropped.
const maxOutput = 8 << 20

// output collects what a program prints.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buf.Len() > maxOutput {
		o.buf.Next(maxOutput / 2)
	}
	return o.buf.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// fleet is a set of processes on loopback.
type fleet struct {
	t                 testing.TB
	dir               string
	platform          string
	domains           []string
	entries           map[string]*process
	upstreams         []string
	callerAddresses   map[string]string
	operatorAddresses map[string]string
	peerAddresses     map[string]string
	vms               []map[string]any
	// entryProgram is the entry daemon, entrySettings holds more lines of its settings.
	entryProgram, entrySettings string
}

// firstPort and portCount set the range of ports that the tests use. The range
// lies below the one from which kernels take the ports of outgoing connections,
// so that no such connection takes a port between its choice and its use.
const (
	firstPort = 12000
	portCount = 18000
)

// reservations holds, by address, the listener that reserves it until the process
// ends.
var reservations sync.Map

// freeAddress returns an address whose port is free for TCP and UDP. It is reserved for
// this process by a listener on the same port of another loopback address, as nothing
// listens on the address itself until its program runs.
func freeAddress(t testing.TB) string {
	t.Helper()
	for {
		port := firstPort + rand.IntN(portCount)
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
		if err != nil {
			continue
		}
		a := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", a); err == nil {
			l.Close()
			if u, err := net.ListenPacket("udp", a); err == nil {
				u.Close()
				reservations.Store(a, reservation)
				return a
			}
		}
		reservation.Close()
	}
}

// start runs a program until the test ends.
func (f *fleet) start(args ...string) *process {
	f.t.Helper()
	p := &process{Cmd: exec.Command(filepath.Join(programs, args[0]), args[1:]...), args: args, log: &output{}, done: make(chan error, 1)}
	p.Stderr, p.Stdout = p.log, p.log
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { p.done <- p.Wait() }()
	f.t.Cleanup(func() {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		<-time.After(10 * time.Millisecond)
		if strings.Contains(p.log.String(), "DATA RACE") {
			f.t.Errorf("%v: data race", p.args)
		}
		if f.t.Failed() {
			f.t.Logf("%v:\n%s", p.args, tail(p.log.String()))
		}
	})
	return p
}

func tail(s string) string {
	lines := strings.Split(s, "\n")
	return strings.Join(lines[max(0, len(lines)-300):], "\n")
}

// newFleet starts a platform, upstreams and entries: in each failure domain,
// perDomain entries and two upstreams.
func newFleet(t testing.TB, perDomain int, domains ...string) *fleet {
	t.Helper()
	return newFleetOf(t, "radishweir", "", perDomain, domains...)
}

// newFleetOf is newFleet with a build of the entry daemon and more lines of its settings.
func newFleetOf(t testing.TB, program, settings string, perDomain int, domains ...string) *fleet {
	t.Helper()
	f := &fleet{
		entryProgram: program, entrySettings: settings,
		t: t, dir: t.TempDir(), platform: freeAddress(t), domains: domains,
		entries: map[string]*process{}, callerAddresses: map[string]string{}, operatorAddresses: map[string]string{}, peerAddresses: map[string]string{},
	}
	f.start("standin", "platform", "--address", f.platform)
	var names []string
	for _, d := range domains {
		for range 2 {
			f.addUpstream(d)
		}
		for range perDomain {
			n := fmt.Sprintf("entry-%d", len(f.callerAddresses)+1)
			names = append(names, "--names", n)
			f.writeSettings(n, d)
		}
	}
	f.await("platform", func() bool { return f.putAdmin(f.platform, "vms", map[string]any{"vms": f.vms}) == nil })
	f.ctl(0, append([]string{"keys", "issue", filepath.Join(f.dir, "keys")}, names...)...)
	for n := range f.callerAddresses {
		f.entries[n] = f.start(f.entryProgram, "--settings", f.settingsFile(n))
	}
	f.await("entries to register", func() bool { return f.registered() == len(f.callerAddresses) })
	f.applyQuestionnaire("claims", true)
	f.applyQuestionnaire("status", false)
	f.awaitShards()
	return f
}

// registered counts the entries whose status page lists every entry as a member.
func (f *fleet) registered() int {
	n := 0
	for _, st := range f.statuses() {
		if len(st.Members) == len(f.callerAddresses) {
			n++
		}
	}
	return n
}

// awaitShards waits until the shards of every domain are spread over its entries
// and each entry has slots.
func (f *fleet) awaitShards() {
	f.t.Helper()
	f.await("shards and slots", func() bool {
		for _, st := range f.statuses() {
			if len(st.Shards) != len(f.domains) || !hasShards(st) || !hasSlots(st) {
				return false
			}
		}
		return true
	})
}

func hasShards(st operator.Status) bool {
	for _, t := range st.Shards {
		for _, o := range t.Owners {
			if o.Name == st.Name {
				return true
			}
		}
	}
	return false
}

func hasSlots(st operator.Status) bool {
	n := 0
	for _, s := range st.Services {
		for _, u := range s.Upstreams {
			n += u.Slots
		}
	}
	return n > 0
}

// statuses reads the status page of each entry that answers.
func (f *fleet) statuses() map[string]operator.Status {
	out := map[string]operator.Status{}
	for n, a := range f.operatorAddresses {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if st, err := operator.Fetch(ctx, a); err == nil {
			out[n] = st
		}
		cancel()
	}
	return out
}

// logStates logs the status page and the goroutines of each entry.
func (f *fleet) logStates() {
	for n, a := range f.operatorAddresses {
		for _, path := range []string{"/status", "/debug/pprof/goroutine?debug=1"} {
			f.t.Logf("%s%s:\n%s", n, path, fetch("http://"+a+path))
		}
	}
}

// fetch returns the body at an address, or the error.
func fetch(address string) string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(address)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// addUpstream starts an upstream and adds it to the VM list.
func (f *fleet) addUpstream(domain string) {
	n := fmt.Sprintf("upstream-%d", len(f.upstreams)+1)
	a := freeAddress(f.t)
	f.start("standin", "upstream", "--address", a, "--name", n)
	f.upstreams = append(f.upstreams, a)
	f.vms = append(f.vms, map[string]any{
		"name": n, "instance": "1", "role": "upstream", "group": "claims", "failure_domain": domain, "address": a,
	})
}

func (f *fleet) settingsFile(name string) string { return filepath.Join(f.dir, name+".toml") }

// writeSettings writes the settings of an entry and adds its VM to the list.
func (f *fleet) writeSettings(name, domain string) {
	f.callerAddresses[name], f.operatorAddresses[name], f.peerAddresses[name] = freeAddress(f.t), freeAddress(f.t), freeAddress(f.t)
	text := fmt.Sprintf(`name = %q
failure_domain = %q
caller_address = %q
entry_address = %q
operator_address = %q
platform_addresses = [%q]
certificate_file = "%[7]s/keys/%[1]s.pem"
key_file = "%[7]s/keys/%[1]s.key"
authority_file = "%[7]s/keys/authority.pem"
balancer_wait = "300ms"
drain_limit = "20s"
`, name, domain, f.callerAddresses[name], f.peerAddresses[name], f.operatorAddresses[name], f.platform, f.dir)
	if err := os.WriteFile(f.settingsFile(name), []byte(text+f.entrySettings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.vms = append(f.vms, map[string]any{"name": name, "instance": "1", "role": "entry", "failure_domain": domain})
}

// addSeed adds a seed to the settings of an entry.
func (f *fleet) addSeed(name, seed string) {
	f.t.Helper()
	data, err := os.ReadFile(f.settingsFile(name))
	if err != nil {
		f.t.Fatal(err)
	}
	line := fmt.Sprintf("seeds = [%q]\n", seed+"="+f.peerAddresses[seed])
	if err := os.WriteFile(f.settingsFile(name), append(data, line...), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// applyQuestionnaire applies a questionnaire for a service.
func (f *fleet) applyQuestionnaire(service string, mustNeverRepeat bool) {
	f.t.Helper()
	file := filepath.Join(f.dir, service+".toml")
	domains, _ := json.Marshal(f.domains)
	text := fmt.Sprintf(`service = %q
requests = "test"
must_never_repeat = %v
typical_run = "20ms"
longest_run = "5s"
answer_within = "20s"
upstream_group = "claims"
failure_domains = %s
[[tenants]]
name = "quixada"
token_sha256 = "98f2d7c5b6dbc9ef28d8d4ab5ea54cd8ed0f53f8ee1ff0ee65cf5cd1ce2cb6fa"
`, service, mustNeverRepeat, domains)
	text = strings.Replace(text, "98f2d7c5b6dbc9ef28d8d4ab5ea54cd8ed0f53f8ee1ff0ee65cf5cd1ce2cb6fa", tokenHash(token), 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.ctl(0, "questionnaire", "apply", file, "--wait")
}

// ctl runs radishweirctl, checks its exit code and returns its output.
func (f *fleet) ctl(code int, args ...string) string {
	f.t.Helper()
	args = append([]string{"--platform", f.platform, "--author", "tester"}, args...)
	cmd := exec.Command(filepath.Join(programs, "radishweirctl"), args...)
	out, _ := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != code {
		f.t.Fatalf("radishweirctl %v: exit %d, want %d: %s", args, cmd.ProcessState.ExitCode(), code, out)
	}
	return string(out)
}

// putAdmin sends a value to an admin route of a stand-in.
func (f *fleet) putAdmin(address, what string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+address+"/admin/"+what, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// setFaults sets the faults of every upstream.
func (f *fleet) setFaults(v map[string]any) {
	f.t.Helper()
	for _, a := range f.upstreams {
		if err := f.putAdmin(a, "faults", v); err != nil {
			f.t.Fatal(err)
		}
	}
}

// startsAt lists the tasks that one upstream recorded as started.
func (f *fleet) startsAt(upstream int) []string {
	f.t.Helper()
	resp, err := http.Get("http://" + f.upstreams[upstream] + "/admin/starts")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var list []struct {
		Task string `json:"task"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		f.t.Fatal(err)
	}
	var out []string
	for _, s := range list {
		out = append(out, s.Task)
	}
	return out
}

// starts counts the recorded starts of each task over all upstreams.
func (f *fleet) starts() map[string]int {
	f.t.Helper()
	out := map[string]int{}
	for u := range f.upstreams {
		for _, task := range f.startsAt(u) {
			out[task]++
		}
	}
	return out
}

// await polls until ok returns true, and fails the test after 30 s.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("waited in vain for %s", what)
}

// client returns a client for the caller API of one entry.
func (f *fleet) client(entry string) *caller.Client {
	return &caller.Client{Address: f.callerAddresses[entry], Token: token, HTTP: &http.Client{Timeout: 30 * time.Second}}
}
