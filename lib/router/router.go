// Package router holds the configuration of the queues and finds the queue of a
// request.
//
// # Usage
//
//	r := &router.Router{Log: log}
//	r.Apply(table)
//	queue, ok := r.Find("claims.example", "/status/5c0e7a21d94b36f8")
//
// A table is applied only if its version is higher than that of the table in
// force.
package router

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Queue is the configuration of one kind of request.
type Queue struct {
	// Name identifies the queue in logs.
	Name string
	// Host and Prefix select the requests of the queue: the host must be equal, and
	// the longest prefix of the path wins.
	Host   string
	Prefix string
	// Service is the name of the service whose upstreams run the tasks.
	Service string
	// Timeout limits the time to an answer; 0 for no limit.
	Timeout time.Duration
	// Target is the part of the allowed time to an answer that does not depend
	// on the job's run time.
	Target time.Duration
	// Stretch is the factor of the job's run time in the allowed time to an answer.
	Stretch float64
	// Priority is 0 for the most urgent queues.
	Priority int
	// MaxFailures is the number of failed runs of one task that fail its job.
	MaxFailures int
}

// Service is a pool of upstreams.
type Service struct {
	Name string
	// Connections limits the connections of all entries to one upstream.
	Connections int
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// MaxBodyBytes limits the body of a request; 0 for no limit.
	MaxBodyBytes int64
	// MaxHeaderBytes limits the header of a request, HeaderTimeout the time in which it has
	// to arrive, and IdleTimeout the time between two requests; 0 for the entry's default.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Router holds the table in force. Exported fields are set before Apply.
type Router struct {
	// Log receives events.
	Log zerolog.Logger

	table atomic.Pointer[appliedTable]
}

// appliedTable is a table, its queues by host, and the time at which it was applied.
type appliedTable struct {
	Table
	queuesByHost map[string][]Queue
	appliedAt    time.Time
}

// Apply puts a table in force if its version is higher than that in force.
func (r *Router) Apply(t Table) bool {
	n := &appliedTable{Table: t, queuesByHost: make(map[string][]Queue), appliedAt: time.Now()}
	for _, q := range t.Queues {
		n.queuesByHost[q.Host] = append(n.queuesByHost[q.Host], q)
	}
	for {
		old := r.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if r.table.CompareAndSwap(old, n) {
			r.Log.Info().Int64("version", t.Version).Int("queues", len(t.Queues)).Msg("configuration_in_force")
			return true
		}
	}
}

// Table returns the table in force; false if there is none.
func (r *Router) Table() (Table, bool) {
	t := r.table.Load()
	if t == nil {
		return Table{}, false
	}
	return t.Table, true
}

// AppliedAt returns the time at which the table in force was applied; zero if there
// is none.
func (r *Router) AppliedAt() time.Time {
	if t := r.table.Load(); t != nil {
		return t.appliedAt
	}
	return time.Time{}
}

// Find returns the queue of a request and the rest of the path after the queue's
// prefix; ok is false if no queue matches.
func (r *Router) Find(host, path string) (q Queue, rest string, ok bool) {
	t := r.table.Load()
	if t == nil {
		return Queue{}, "", false
	}
	for _, candidate := range t.queuesByHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) && (!ok || len(candidate.Prefix) > len(q.Prefix)) {
			q, rest, ok = candidate, path[len(candidate.Prefix):], true
		}
	}
	return q, rest, ok
}

// Service returns a service of the table in force.
func (r *Router) Service(name string) (Service, bool) {
	t, _ := r.Table()
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
