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
	// Sender returns the entry that sends from a network address, for the events of
	// Fleet; nil if it is unknown.
	Sender func(address string) string

	mu       sync.Mutex
	listener net.Listener
	workers  []*worker
}

// worker is one worker with its listener and its record in the store.
type worker struct {
	listener net.Listener
	record   schema.Worker
	name     string
	// silentSince is when the worker was cut off from the store; zero if it is not.
	silentSince time.Time
}

// New returns a platform without workers.
func New() *Platform { return &Platform{Fleet: simulator.New(), Store: newStore()} }

// Listen opens the store's listener on a free port of loopback.
func (p *Platform) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	p.listener = l
	return nil
}

// Address returns the store's address.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// AddWorkers adds n workers of a service in a failure domain.
func (p *Platform) AddWorkers(service, domain string, n int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen for a worker")
		}
		name := fmt.Sprintf("i-%s-%d", domain, len(p.workers))
		born := time.Now().UnixMilli()
		w := &worker{listener: l, name: name, record: schema.Worker{
			Service: service, Address: l.Addr().String(), Zone: domain, State: schema.WorkerStateReady,
			Capacity: schema.Capacity{CPU: 16000, MemMb: 65536}, Born: float64(born),
		}}
		p.workers = append(p.workers, w)
		p.Fleet.Add(runner.Upstream{
			Name: name, Incarnation: born, Capacity: packer.Amount{CPU: 16000, Memory: 65536},
		}, 1)
	}
	return nil
}

// Configure writes a configuration to the store.
func (p *Platform) Configure(c schema.Configuration) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	p.Store.put("op/config", base64.StdEncoding.EncodeToString(data), 0)
	return nil
}

// Workers returns the names of the workers.
func (p *Platform) Workers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, w := range p.workers {
		out = append(out, w.name)
	}
	return out
}

// WorkerAddresses returns the addresses of the workers by name.
func (p *Platform) WorkerAddresses() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string)
	for _, w := range p.workers {
		out[w.name] = w.record.Address
	}
	return out
}

// RestartWorker restarts a worker under its name.
func (p *Platform) RestartWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.name == name {
			born := time.Now().UnixMilli()
			w.record.Born, w.record.Sequence = float64(born), 0
			p.Fleet.Restart(name, born)
		}
	}
}

// Drain makes a worker report that it is draining.
func (p *Platform) Drain(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.name == name {
			w.record.State = schema.WorkerStateDraining
		}
	}
}

// SetCutOff cuts the workers of a failure domain off from the store, which drops their records
// after three intervals without a report, or ends that.
func (p *Platform) SetCutOff(domain string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.record.Zone != domain {
			continue
		}
		if w.silentSince = (time.Time{}); cut {
			w.silentSince = time.Now()
		}
	}
}

// Run serves the store and the workers until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	var work sync.WaitGroup
	serve := func(l net.Listener, handler http.Handler) {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		work.Go(func() { _ = s.Serve(l) })
		work.Go(func() { <-ctx.Done(); _ = s.Close() })
	}
	serve(p.listener, p.Store.Handler(nil))
	p.mu.Lock()
	for _, w := range p.workers {
		serve(w.listener, p.workerHandler(w.name))
	}
	p.mu.Unlock()
	work.Go(func() { p.reportWorkers(ctx) })
	work.Wait()
}

// reportWorkers writes the record of each worker to the store at every
// reportInterval until ctx ends.
func (p *Platform) reportWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		for _, w := range p.workers {
			if !w.silentSince.IsZero() {
				if time.Since(w.silentSince) > 3*reportInterval && !p.Store.isDown() {
					p.Store.Remove("servers/" + w.name)
				}
				continue
			}
			w.record.Sequence++
			data, err := json.Marshal(w.record)
			if err == nil && !p.Store.isDown() {
				p.Store.put("servers/"+w.name, base64.StdEncoding.EncodeToString(data), 0)
			}
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}
