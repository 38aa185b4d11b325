package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const cancelMS = 3 * time.Second

// queue is a route of the configuration.
type queue struct {
	name, host, prefix, service string
	priority, attempts          int
	stretch, target             float64
}

// entry is a machine of the system with one process.
type entry struct {
	w       *World
	index   int
	name    string
	zone    string
	front   *Front
	caller  string
	ready   string
	peerAt  string // the address at which it listens for the others
	oper    string
	links   []*link // as the others reach it, by their index
	path    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // frozen
	calmAt  time.Time
	log     io.Writer
}

// link is a proxy on the way from one machine to another.
type link struct {
	addr   string
	target string
	mu     sync.Mutex
	mode   string // empty, silent or reset
	conns  map[net.Conn]bool
}

func newLink(target string) *link {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	k := &link{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(c)
		}
	}()
	return k
}

func (k *link) get() string { k.mu.Lock(); defer k.mu.Unlock(); return k.mode }

// set changes the mode. Connections break as a silence ends, and at a reset.
func (k *link) set(mode string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode != "silent" {
		for c := range k.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (k *link) carry(c net.Conn) {
	if k.get() == "reset" {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	var d net.Conn
	for k.get() == "silent" {
		time.Sleep(10 * time.Millisecond)
	}
	d, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	k.mu.Lock()
	k.conns[d] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	pipe := func(a, b net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := b.Read(buf)
			for k.get() == "silent" {
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, werr := a.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = a.Close()
		_ = b.Close()
	}
	wg.Go(func() { pipe(c, d) })
	wg.Go(func() { pipe(d, c) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, d)
	k.mu.Unlock()
}

// World is the platform with its machines, workers and clients.
type World struct {
	store   *Store
	entries []*entry
	workers []*Worker
	check   *Check
	queues  []*queue
	version int
	dir     string
	program string
	client  *http.Client
	guards  bool
}

func (w *World) specOf(task string) taskSpec {
	id, s := splitTask(task)
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	j := w.check.jobs[id]
	if j == nil || s >= len(j.steps) {
		return taskSpec{cpu: 1000, work: 100 * time.Millisecond}
	}
	return taskSpec{cpu: j.steps[s].cpu, work: j.steps[s].work, fails: j.fails && strings.HasSuffix(task, ".0.0.0")}
}

// host is the loopback address of this process's stand-ins.
var host = fmt.Sprintf("127.1.%d.%d", os.Getpid()/250%250, 1+os.Getpid()%250)

var lastPort = 10000 + os.Getpid()%5000

// freeAddr returns an address whose port is free, below those that the kernel chooses.
func freeAddr() string {
	for {
		lastPort++
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, lastPort))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
}

func newWorld(program, dir string, out io.Writer, zones []string) *World {
	w := &World{store: newStore(), check: newCheck(out), program: program, dir: dir, guards: true}
	w.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, z := range zones {
		w.entries = append(w.entries, w.newEntry(i, z))
	}
	for _, e := range w.entries {
		for range w.entries {
			e.links = append(e.links, newLink(e.peerAt))
		}
		e.front.view = w.viewFor(e.index)
	}
	return w
}

func (w *World) newEntry(i int, zone string) *entry {
	e := &entry{w: w, index: i, zone: zone, name: fmt.Sprintf("edge-%s-%d", zone, i), caller: freeAddr(), ready: freeAddr(), peerAt: freeAddr(), oper: freeAddr()}
	e.front = w.store.serve(host)
	e.path = filepath.Join(w.dir, e.name+".toml")
	return e
}

// viewFor translates addresses for one machine, so that each of its paths has a proxy.
func (w *World) viewFor(i int) func(key, value string) string {
	return func(key, value string) string {
		if strings.HasPrefix(key, "servers/") {
			for _, k := range w.workers {
				if a := k.listen[0].Addr().String(); strings.Contains(value, a) {
					return strings.Replace(value, a, k.listen[i+1].Addr().String(), 1)
				}
			}
		}
		if strings.HasPrefix(key, "/radishweir/entries/") {
			for _, e := range w.entries {
				if e.index != i && len(e.links) > i && strings.Contains(value, e.peerAt) {
					return strings.Replace(value, e.peerAt, e.links[i].addr, 1)
				}
			}
		}
		return value
	}
}

func (e *entry) settings() string {
	return fmt.Sprintf(`name = %q
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
far_factor = "2"
congestion_control = true
tight_packing = true
delegation = true
`, e.name, e.zone, e.caller, e.ready, e.peerAt, e.oper, e.front.addr)
}

// start starts the process and starts it again when it ends.
func (e *entry) start() {
	if err := os.WriteFile(e.path, []byte(e.settings()), 0o600); err != nil {
		panic(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.log == nil {
		f, err := os.Create(filepath.Join(e.w.dir, e.name+".log"))
		if err != nil {
			panic(err)
		}
		e.log = f
	}
	c := exec.Command(e.w.program, "leased", "--settings", e.path)
	c.Stdout, c.Stderr = e.log, e.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		panic(err)
	}
	done := make(chan struct{})
	e.cmd, e.exited, e.calmAt = c, done, time.Now()
	go func() { _ = c.Wait(); close(done) }()
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// stop stops the process as the platform does, with SIGTERM and after grace_s with SIGKILL.
func (e *entry) stop() {
	e.signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(6 * time.Second):
		e.kill()
	}
}

func (w *World) configure() {
	w.version += 3
	var routes []map[string]any
	services := map[string]bool{}
	for _, q := range w.queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": q.host, "prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": q.target, "priority": q.priority, "service": q.service, "max_attempts": q.attempts, "stretch": q.stretch,
		})
		services[q.service] = true
	}
	var list []map[string]any
	for s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": w.guards, "standby": false})
	}
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// waitReady waits until all machines are ready.
func (w *World) waitReady(d time.Duration) error {
	end := time.Now().Add(d)
	for _, e := range w.entries {
		for {
			r, err := w.client.Get("http://" + e.ready + "/api/readiness")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (w *World) body(j *job) []byte {
	var steps []map[string]any
	for _, s := range j.steps {
		m := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": 64, "estimate_ms": s.estimate}
		if len(s.after) > 0 {
			m["after"] = s.after
		}
		if s.requires != "" {
			m["requires"] = s.requires
		}
		if s.affinity != "" {
			m["affinity"] = s.affinity
		}
		if s.anti > 0 {
			m["anti_affinity"] = s.anti
		}
		steps = append(steps, m)
	}
	b := map[string]any{"spec": j.spec, "steps": steps}
	if !j.kept {
		b["best_effort"] = true
	}
	data, _ := json.Marshal(b)
	return data
}

// call sends one request of a client; the status is 0 without a complete answer.
func (w *World) call(method, addr string, q *queue, path string, body []byte, wait time.Duration) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+q.prefix+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = q.host
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	r.Header.Set("X-Request-Deadline", fmt.Sprint(wait.Milliseconds()))
	resp, err := w.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(data, &out)
	return resp.StatusCode, out
}

// add makes a job known before it is sent.
func (w *World) add(j *job) {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.jobs[j.id] = j
}

// submit sends a job to a machine and records the answer.
func (w *World) submit(j *job, e *entry, wait time.Duration) int {
	status, body := w.call("POST", e.caller, j.queue, j.id, w.body(j), wait)
	c := w.check
	c.mu.Lock()
	defer c.mu.Unlock()
	j.attempts++
	switch {
	case status/100 == 2:
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	case status == 429 || status == 503 || status == 404:
		j.rejected++
	}
	if status != 200 {
		c.line("post %s to %s: %d %v", j.id, e.name, status, body["reason"])
	}
	return status
}

// get asks a machine for the state of a job.
func (w *World) get(j *job, e *entry) string {
	status, body := w.call("GET", e.caller, j.queue, j.id, nil, 3*time.Second)
	switch status {
	case 200:
		s, _ := body["state"].(string)
		w.check.shown(j, s, e.name)
		return s
	case 410:
		w.check.shown(j, "gone", e.name)
		return "gone"
	}
	return ""
}

// cancel sends a DELETE and records its acknowledgement.
func (w *World) cancel(j *job, e *entry) int {
	w.check.mu.Lock()
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	w.check.mu.Unlock()
	status, _ := w.call("DELETE", e.caller, j.queue, j.id, nil, 3*time.Second)
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.line("delete %s at %s: %d", j.id, e.name, status)
	if (status/100 == 2 || status == 410) && j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
	return status
}

func (w *World) stopAll() {
	for _, e := range w.entries {
		e.mu.Lock()
		if e.cmd != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
		}
		e.mu.Unlock()
	}
}
