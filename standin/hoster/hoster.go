// Package hoster is a small stand-in for the users' platform. It serves the
// platform's store and workers from memory, over HTTP on loopback.
//
// It implements the part of the platform's protocol that radishweir uses. The
// workers are simulated by package simulator, which also records violations of
// the rules for their runs.
//
// # Usage
//
//	p := hoster.New()
//	err := p.Listen()
//	p.AddWorkers("claims", "domain-1", 4)
//	go p.Run(ctx)
//	p.Configure(configuration)
package hoster

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/simulator"
	"radishweir.org/platform/schema"
)

// reportInterval is the time between two status reports of a worker.
const reportInterval = 500 * time.Millisecond

// headerTimeout limits how long a client may take to send its headers.
const headerTimeout = 5 * time.Second

// Platform is the stand-in. Exported fields are set before Listen.
type Platform struct {
	// Fleet simulates the workers and records violations.
	Fleet *simulator.Fleet
	// Store is the key-value service.
	Store *Store

	mu       sync.Mutex
	listener net.Listener
	workers  []*worker
}

// worker is one worker with its listener and its record in the store.
type worker struct {
	listener net.Listener
	record   schema.Worker
	name     string
}

// New returns a platform without workers.
func New() *Platform { return &Platform{Fleet: simulator.New(), Store: newStore()} }

// Listen opens the store's listener on a free port of loopback.
func (h *Platform) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	h.listener = l
	return nil
}

// Address returns the store's address.
func (h *Platform) Address() string { return h.listener.Addr().String() }

// AddWorkers adds n workers of a service in a failure domain.
func (h *Platform) AddWorkers(service, domain string, n int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen for a worker")
		}
		name := fmt.Sprintf("i-%s-%d", domain, len(h.workers))
		born := time.Now().UnixMilli()
		w := &worker{listener: l, name: name, record: schema.Worker{
			Service: service, Address: l.Addr().String(), Zone: domain, State: schema.WorkerStateReady,
			Capacity: schema.Capacity{CPU: 16000, MemMb: 65536}, Born: float64(born),
		}}
		h.workers = append(h.workers, w)
		h.Fleet.Add(runner.Upstream{
			Name: name, Incarnation: born, Capacity: packer.Amount{CPU: 16000, Memory: 65536},
		}, 1)
	}
	return nil
}

// Configure writes a configuration to the store.
func (h *Platform) Configure(c schema.Configuration) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	h.Store.put("op/config", base64.StdEncoding.EncodeToString(data), 0)
	return nil
}

// Workers returns the names of the workers.
func (h *Platform) Workers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, w := range h.workers {
		out = append(out, w.name)
	}
	return out
}

// Drain makes a worker report that it is draining.
func (h *Platform) Drain(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		if w.name == name {
			w.record.State = schema.WorkerStateDraining
		}
	}
}

// Run serves the store and the workers until ctx ends.
func (h *Platform) Run(ctx context.Context) {
	var work sync.WaitGroup
	serve := func(l net.Listener, handler http.Handler) {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		work.Go(func() { _ = s.Serve(l) })
		work.Go(func() { <-ctx.Done(); _ = s.Close() })
	}
	serve(h.listener, h.Store.handler())
	h.mu.Lock()
	for _, w := range h.workers {
		serve(w.listener, h.workerHandler(w.name))
	}
	h.mu.Unlock()
	work.Go(func() { h.reportWorkers(ctx) })
	work.Wait()
}

// reportWorkers writes the record of each worker to the store at every
// reportInterval until ctx ends.
func (h *Platform) reportWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		for _, w := range h.workers {
			w.record.Sequence++
			data, err := json.Marshal(w.record)
			if err == nil && !h.Store.isDown() {
				h.Store.put("servers/"+w.name, base64.StdEncoding.EncodeToString(data), 0)
			}
		}
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}
