package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program and template are paths in the repository.
	program  = "target/radishweir"
	template = "deploy/settings.toml.tmpl"
	// host, prefix and service stand in the configuration.
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
	// clientDeadline is how long clients wait for an answer.
	clientDeadline = 1500 * time.Millisecond
	// readyTimeout bounds the start of an entry.
	readyTimeout = 20 * time.Second
)

// scene is a small deployment.
type scene struct {
	rec     *recorder
	trouble bool
	// only is the number of the one disruption to cause; empty for all.
	only  string
	store *store
	plant *plant
	dir   string
	// network is nil unless a case cuts paths.
	network *network
	zoneOf  map[string]string

	mu sync.Mutex
	// closed is true once no entry may be started any more.
	closed  bool
	entries map[string]*entry
}

// entry is a process of radishweir.
type entry struct {
	name, zone                string
	front, readiness, peers   string
	operator, store, settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func newScene(rec *recorder, trouble bool) (*scene, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %s is not built", errSetup, program)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &scene{rec: rec, trouble: trouble, only: os.Getenv("ONLY"), dir: dir, entries: make(map[string]*entry)}
	s.store = newStore(rec)
	s.plant = &plant{rec: rec, store: s.store}
	return s, nil
}

// causes reports whether a case causes its disruption of a number.
func (s *scene) causes(number string) bool {
	return s.trouble && (s.only == "" || s.only == number)
}

// close ends all processes that the scene started.
func (s *scene) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.mu.Lock()
		ended := e.ended
		e.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// configure puts the first configuration in force.
func (s *scene) configure(maxAttempts int) {
	data, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-lohu930", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
			"priority": 0, "service": service, "max_attempts": maxAttempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.store.put("op/config", base64.StdEncoding.EncodeToString(data))
}

// addWorkers adds workers in racks of six in the given zones, as many in each.
func (s *scene) addWorkers(zones []string, inEach int, slowness float64) error {
	for z, zone := range zones {
		for i := range inEach {
			n := z*inEach + i
			labels := []string{"a", fmt.Sprintf("r1-%d", n/6+1)}
			if _, err := s.plant.add(fmt.Sprintf("i-%08x", 0x7f3a0000+n), zone, service, labels, amount{16000, 65536}, slowness); err != nil {
				return err
			}
		}
	}
	return nil
}

// loopback is the address of loopback that the stand-ins of this process use, and
// entryLoopback that of the entries, so that several cases can run at the same time.
var (
	loopback      = fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, 1+os.Getpid()/200%250)
	entryLoopback = loopback[:len(loopback)-1] + "2"
)

// usedAddresses holds the addresses that freeAddress returned.
var usedAddresses = make(map[string]bool)

// freeAddress returns an address of loopback with a free port that it has not returned
// before.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", entryLoopback+":0")
		if err != nil {
			return "", err
		}
		a := l.Addr().String()
		_ = l.Close()
		if !usedAddresses[a] {
			usedAddresses[a] = true
			return a, nil
		}
	}
}

// addEntry starts a new entry.
func (s *scene) addEntry(name, zone string) error {
	e := &entry{name: name, zone: zone}
	for _, address := range []*string{&e.front, &e.readiness, &e.peers, &e.operator} {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		*address = a
	}
	var err error
	if s.network != nil {
		if err := s.connect(e); err != nil {
			return err
		}
	}
	if e.store, err = s.store.listen(name); err != nil {
		return err
	}
	e.settings = filepath.Join(s.dir, name+".toml")
	if err := e.writeSettings(); err != nil {
		return err
	}
	s.mu.Lock()
	s.entries[name] = e
	s.mu.Unlock()
	return s.startEntry(name)
}

// cutPaths makes paths between zones breakable. It is called before build.
func (s *scene) cutPaths() {
	s.network = newNetwork(s)
	s.plant.network = s.network
	s.store.view = s.network.view
	zone := make(map[string]string)
	s.store.gate = func(name string, next http.Handler) http.Handler {
		return s.network.gate(zone[name], "", next)
	}
	s.zoneOf = zone
}

// connect opens the paths between a new entry and all others.
func (s *scene) connect(e *entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zoneOf[e.name] = e.zone
	var others []*entry
	for _, o := range s.entries {
		others = append(others, o)
	}
	for _, w := range s.plant.workers {
		if err := w.openFor(e, s.network); err != nil {
			return err
		}
	}
	return s.network.link(e, others)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#.*?\}\}.*?\{\{/.*?\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// writeSettings fills in the template of the deployment. The template has one address
// for the machine; here all machines share one and have ports of their own.
func (e *entry) writeSettings() error {
	data, err := os.ReadFile(template)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	text := section.ReplaceAllString(string(data), "")
	values := map[string]string{
		"node": e.name, "zone": e.zone, "listen.front": e.front, "listen.readiness": e.readiness, "platform.address": e.store,
		"platform.writes_per_s": "400", "limits.memory_mb": "284", "limits.cpu_share": "0.4", "bounds.remote_factor": "1.5",
	}
	text = strings.ReplaceAll(text, `{{ip}}:{{port_range.0}}`, e.peers)
	text = regexp.MustCompile(`\{\{ip\}\}:\d+`).ReplaceAllString(text, e.operator)
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			missing = m[1]
		}
		if m[2] != "" {
			return fmt.Sprintf("%q", v)
		}
		return v
	})
	if missing != "" {
		return fmt.Errorf("%w: the template has an unknown field %s", errSetup, missing)
	}
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		text += fmt.Sprintf("\nlog_level = %q\n", level)
	}
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// startEntry starts the process of an entry and waits until it is ready.
func (s *scene) startEntry(name string) error {
	e := s.entry(name)
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return fmt.Errorf("%w: the case has ended", errSetup)
	}
	c := exec.Command(program, "leased", "--settings", e.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	ended := make(chan struct{})
	go func() { _ = c.Wait(); close(ended) }()
	e.mu.Lock()
	e.command, e.ended = c, ended
	e.mu.Unlock()
	s.rec.note("entry %s is started", name)
	return nil
}

// waitReady waits until an entry is ready.
func (s *scene) waitReady(names ...string) error {
	for _, name := range names {
		e := s.entry(name)
		for until := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
			if resp, err := http.Get("http://" + e.readiness + "/api/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%w: entry %s is not ready", errSetup, name)
			}
		}
		s.rec.note("entry %s is ready", name)
	}
	return nil
}

func (s *scene) entry(name string) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[name]
}

func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil && e.command.ProcessState == nil {
		_ = e.command.Process.Signal(sig)
	}
}

// signal sends a signal to an entry.
func (s *scene) signal(name string, sig syscall.Signal) {
	s.rec.note("entry %s gets %v", name, sig)
	s.entry(name).signal(sig)
}

// kill kills an entry and waits for its end.
func (s *scene) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	<-s.entry(name).ended
}

// step is a step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"mem_mb"`
	Estimate     int    `json:"estimate_ms"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

// call sends a request of a client to an entry. It returns status 0 without an answer.
func (s *scene) call(method, name, id string, body any) (status int, state string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.entry(name).front+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Deadline", fmt.Sprint(clientDeadline.Milliseconds()))
	sent := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.rec.note("client: %s %s at %s has no answer after %v", method, id, name, time.Since(sent).Round(time.Millisecond))
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	out, _ := io.ReadAll(resp.Body)
	var answer struct {
		State  string `json:"state"`
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(out, &answer)
	s.rec.note("client: %s %s at %s is answered with %d %s%s", method, id, name, resp.StatusCode, answer.State, answer.Reason)
	return resp.StatusCode, answer.State
}

// submit sends a job that must be kept.
func (s *scene) submit(name, id, spec string, steps ...step) int {
	status, _ := s.call(http.MethodPost, name, id, map[string]any{"spec": spec, "steps": steps})
	return status
}

// build starts a deployment: entries by zone, named after it, and workers.
func (s *scene) build(zones []string, entries, workersInEach int, slowness float64, maxAttempts int) ([]string, error) {
	s.configure(maxAttempts)
	if err := s.addWorkers(zones, workersInEach, slowness); err != nil {
		return nil, err
	}
	var names []string
	for i := range entries {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1)
		if err := s.addEntry(name, zone); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	if err := s.waitReady(names...); err != nil {
		return nil, err
	}
	// Traffic starts some seconds after the machines.
	time.Sleep(4 * time.Second)
	s.rec.note("traffic starts")
	return names, nil
}
