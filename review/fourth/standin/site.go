package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"radishweir.org/standin/proxier"
)

// network holds the links between entries, and from entries to workers.
type network struct {
	mu       sync.Mutex
	commands *json.Encoder
	answers  *json.Decoder
	// links holds the number of each link by its ends, targets its target.
	links     map[[2]string]int
	addresses map[[2]string]string
	states    map[[2]string]proxier.State
	// sources holds the IP number from which the links of an end dial.
	sources map[string]string
}

func newNetwork() *network {
	in, toIn := io.Pipe()
	fromOut, out := io.Pipe()
	go func() { check(proxier.Run(in, out)) }()
	return &network{
		commands: json.NewEncoder(toIn), answers: json.NewDecoder(fromOut),
		links: make(map[[2]string]int), addresses: make(map[[2]string]string), states: make(map[[2]string]proxier.State),
		sources: make(map[string]string),
	}
}

// link returns the address of the link from one end to another, and opens it at first.
func (n *network) link(from, to, target string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	ends := [2]string{from, to}
	if a := n.addresses[ends]; a != "" {
		return a
	}
	number := len(n.links)
	n.links[ends] = number
	if n.sources[from] == "" {
		n.sources[from] = fmt.Sprintf("127.0.1.%d", len(n.sources)+1)
	}
	check(n.commands.Encode(proxier.Command{Link: number, Source: n.sources[from], Target: target}))
	var address string
	check(n.answers.Decode(&address))
	n.addresses[ends] = address
	return address
}

// sender returns the end behind the address from which a link has dialled.
func (n *network) sender(address string) string {
	host, _, _ := net.SplitHostPort(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, source := range n.sources {
		if source == host {
			return name
		}
	}
	return ""
}

// set changes the state of the link from one end to another, if there is one.
func (n *network) set(from, to string, change func(s *proxier.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ends := [2]string{from, to}
	number, ok := n.links[ends]
	if !ok {
		return
	}
	s := n.states[ends]
	change(&s)
	n.states[ends] = s
	check(n.commands.Encode(proxier.Command{Link: number, State: s}))
}

// reset resets the connections of a link.
func (n *network) reset(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number, ok := n.links[[2]string{from, to}]; ok {
		check(n.commands.Encode(proxier.Command{Link: number, Reset: true}))
	}
}

// cut makes the link from one end to another lose everything, or carry it again.
func (n *network) cut(from, to string, cut bool) {
	n.set(from, to, func(s *proxier.State) {
		s.Forth, s.Back = proxier.Passing, proxier.Passing
		if cut {
			s.Forth, s.Back = proxier.Losing, proxier.Losing
		}
	})
}

// entry is one entry VM with the process on it.
type entry struct {
	name, zone                            string
	caller, readiness, internal, operator string
	settings                              string
	log                                   *os.File
	cmd                                   *exec.Cmd
	done                                  chan struct{}
}

// site is a small deployment.
type site struct {
	judge   *judge
	store   *store
	network *network
	dir     string
	program string
	names   []string
	entries map[string]*entry
	workers []*worker
	client  *http.Client
	ids     int
	idsMu   sync.Mutex
}

// lastPort is the last port that freeAddress returned. It is below the ports that the
// kernel gives to connections.
var lastPort atomic.Int32

// list returns the names of the entries.
func (s *site) list() []string {
	s.idsMu.Lock()
	defer s.idsMu.Unlock()
	return slices.Clone(s.names)
}

// drop takes an entry that is gone for good off the list.
func (s *site) drop(name string) {
	s.idsMu.Lock()
	defer s.idsMu.Unlock()
	s.names = slices.DeleteFunc(s.names, func(n string) bool { return n == name })
}

// pool returns the workers.
func (s *site) pool() []*worker {
	s.idsMu.Lock()
	defer s.idsMu.Unlock()
	return slices.Clone(s.workers)
}

// replaceWorker puts another worker in the place of one that is gone.
func (s *site) replaceWorker(old, fresh *worker) {
	s.idsMu.Lock()
	defer s.idsMu.Unlock()
	s.workers[slices.Index(s.workers, old)] = fresh
}

// firstPort is the port before the first one that freeAddress returns.
const firstPort = 20000

// freeAddress returns a free address on a loopback IP number of this process, so that plays
// at the same time do not take each other's ports.
func freeAddress() string {
	pid := os.Getpid()
	for {
		port := firstPort + lastPort.Add(1)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f, port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
}

func newSite(j *judge, program string, seed uint64) *site {
	dir, err := os.MkdirTemp("", "trial")
	check(err)
	s := &site{
		judge: j, store: newStore(seed), network: newNetwork(), dir: dir, program: program, entries: make(map[string]*entry),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.store.view = s.see
	return s
}

// see returns a value of the store as an entry sees it: the addresses of other ends are
// those of its links to them.
func (s *site) see(client, key, value string) string {
	field := ""
	switch {
	case strings.HasPrefix(key, "servers/"):
		field = "address"
	case strings.HasPrefix(key, "/radishweir/entries/") && !strings.Contains(key, "@"):
		field = "entry_address"
	default:
		return value
	}
	data, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return value
	}
	var record map[string]any
	if json.Unmarshal(data, &record) != nil {
		return value
	}
	address, _ := record[field].(string)
	to := key[strings.LastIndex(key, "/")+1:]
	if address == "" || to == client {
		return value
	}
	record[field] = s.network.link(client, to, address)
	out, err := json.Marshal(record)
	check(err)
	return base64.StdEncoding.EncodeToString(out)
}

// configure writes the configuration.
func (s *site) configure(version int) {
	s.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-claims", "host": "claims.example", "prefix": "/claims/", "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 1, "service": "claims", "max_attempts": s.judge.maxAttempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": "claims", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// addEntry writes the settings of an entry, as the template of the deploy file does, and
// starts it.
func (s *site) addEntry(name, zone string) {
	e := &entry{name: name, zone: zone, caller: freeAddress(), readiness: freeAddress(), internal: freeAddress(), operator: freeAddress()}
	e.settings = filepath.Join(s.dir, name+".toml")
	text := fmt.Sprintf(`name = %q
failure_domain = %q
caller_address = %q
readiness_address = %q
entry_address = %q
operator_address = %q
platform_address = %q
store_writes = 400
memory_mb = 284
max_descriptors = 4100
cores = "0.4"
far_factor = "1.5"
congestion_control = true
tight_packing = true
delegation = true
`, name, zone, e.caller, e.readiness, e.internal, e.operator, s.store.serve(name))
	check(os.WriteFile(e.settings, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	check(err)
	e.log = log
	s.idsMu.Lock()
	s.names = append(s.names, name)
	entries := maps.Clone(s.entries)
	entries[name] = e
	s.entries = entries
	s.idsMu.Unlock()
	s.startEntry(name)
}

// startEntry starts the process of an entry with the command of the deploy file.
func (s *site) startEntry(name string) {
	e := s.entries[name]
	e.cmd = exec.Command(s.program, "leased", "--settings", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(e.cmd.Start())
	done := make(chan struct{})
	e.done = done
	cmd := e.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// signal sends a signal to the process of an entry.
func (s *site) signal(name string, sig syscall.Signal) { _ = s.entries[name].cmd.Process.Signal(sig) }

// kill kills the process of an entry and waits for its end.
func (s *site) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	<-s.entries[name].done
}

// stop ends all processes.
func (s *site) stop() {
	for _, name := range s.names {
		s.signal(name, syscall.SIGCONT)
		s.kill(name)
	}
	_ = os.RemoveAll(s.dir)
}

// ready waits until all entries are ready.
func (s *site) ready() bool {
	end := time.Now().Add(15 * time.Second)
	for _, name := range s.names {
		for {
			r, err := s.client.Get("http://" + s.entries[name].readiness + "/api/readiness")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return true
}

// newID returns a new job ID.
func (s *site) newID() string {
	s.idsMu.Lock()
	defer s.idsMu.Unlock()
	s.ids++
	return fmt.Sprintf("%016x", 0x5c0e7a2100000000+s.ids)
}

// call sends one request of a client; the status is 0 without an answer.
func (s *site) call(method, name, id string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.entries[name].caller+"/claims/"+id, bytes.NewReader(body))
	check(err)
	r.Host = "claims.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Deadline", fmt.Sprint(wait.Milliseconds()))
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var a struct {
		State   string `json:"state"`
		Pending *int   `json:"pending"`
	}
	_ = json.Unmarshal(data, &a)
	if a.Pending != nil {
		a.State = fmt.Sprint(*a.Pending)
	}
	return resp.StatusCode, a.State
}

// step is a step of a job.
type step struct {
	Count int   `json:"count"`
	CPU   int   `json:"cpu"`
	Mem   int   `json:"mem_mb"`
	MS    int   `json:"estimate_ms"`
	After []int `json:"after,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:"requires,omitempty"`
}

// submit hands a job in, as clients do: without an answer, or after 502 or 504, again at
// another entry. It returns the last status.
func (s *site) submit(id string, fail int, steps []step, pick func() string) int {
	spec := fmt.Sprintf(`{"ms":%d,"fail":%d,"cpu":%d}`, steps[0].MS, fail, steps[0].CPU)
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	check(err)
	var counts []int
	for _, st := range steps {
		counts = append(counts, st.Count)
	}
	status := 0
	for range 8 {
		v := s.judge.submitted(id, spec, true, counts)
		name := pick()
		status, _ = s.call(http.MethodPost, name, id, body, 1500*time.Millisecond)
		s.judge.note("POST %s at %s: %d", id, name, status)
		s.judge.mu.Lock()
		switch {
		case status >= 200 && status < 300:
			v.accepted = time.Now()
		case status == 429 || status == 503:
			v.rejected++
		}
		s.judge.mu.Unlock()
		if status != 0 && status != 502 && status != 504 {
			return status
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return status
}

// cancel cancels an accepted job and returns the status.
func (s *site) cancel(id, name string) int {
	s.judge.mu.Lock()
	v := s.judge.jobs[id]
	if v.cancelSent.IsZero() {
		v.cancelSent = time.Now()
	}
	s.judge.mu.Unlock()
	status, _ := s.call(http.MethodDelete, name, id, nil, 3*time.Second)
	s.judge.note("DELETE %s at %s: %d", id, name, status)
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	if status >= 200 && status < 300 && v.cancelled.IsZero() {
		v.cancelled = time.Now()
	}
	return status
}

// state asks for the state of a job.
func (s *site) state(id, name string) (int, string) {
	status, state := s.call(http.MethodGet, name, id, nil, 3*time.Second)
	s.judge.shown(id, name, status, state)
	return status, state
}
