// Package operator serves the operators of one entry over HTTP.
//
//	GET /metrics  Prometheus metrics
//	GET /livez    200 while the process works
//	GET /readyz   200 while new jobs are welcome
//	GET /status   a status page in JSON
//	GET /debug/pprof/  profiles
//
// # Usage
//
//	s := &operator.Server{Address: addr, Gatherer: registry, Ready: ready, Status: status}
//	err := s.Run(ctx)
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// headerTimeout bounds the time that a client takes for its headers.
const headerTimeout = 5 * time.Second

// Server serves operators. Exported fields are set before Run.
type Server struct {
	// Address is the IP number and port to listen on.
	Address string
	// Gatherer holds the metrics.
	Gatherer prometheus.Gatherer
	// Ready reports whether new jobs are welcome.
	Ready func() bool
	// Status describes the entry.
	Status func() Status

	listener net.Listener
}

// Status is the status page of one entry.
type Status struct {
	Name          string    `json:"name"`
	Incarnation   string    `json:"incarnation"`
	FailureDomain string    `json:"failure_domain"`
	Ready         bool      `json:"ready"`
	Draining      bool      `json:"draining"`
	StartedAt     time.Time `json:"started_at"`
	// PlatformConnected is false while the watch is down.
	PlatformConnected bool `json:"platform_connected"`
	// PlatformHeardAt is the time of the platform's last message.
	PlatformHeardAt time.Time `json:"platform_heard_at"`
	// VMListSuspect is true while a shrunk VM list is not believed.
	VMListSuspect bool      `json:"vm_list_suspect"`
	OpenJobs      int       `json:"open_jobs"`
	Services      []Service `json:"services"`
	Members       []Member  `json:"members"`
	Shards        []Shards  `json:"shards"`
}

// Service is one service on the status page.
type Service struct {
	Name      string     `json:"name"`
	Revision  uint64     `json:"revision"`
	Author    string     `json:"author"`
	AppliedAt time.Time  `json:"applied_at"`
	Waiting   int        `json:"waiting"`
	Running   int        `json:"running"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one upstream on the status page.
type Upstream struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	Slots      int     `json:"slots"`
	Busy       int     `json:"busy"`
	RunSeconds float64 `json:"run_seconds"`
	Leaving    bool    `json:"leaving"`
	Ejected    bool    `json:"ejected"`
}

// Member is one entry on the status page.
type Member struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Registered    bool   `json:"registered"`
	Reachable     bool   `json:"reachable"`
	Draining      bool   `json:"draining"`
}

// Shards is one failure domain's shard table on the status page.
type Shards struct {
	FailureDomain string        `json:"failure_domain"`
	Version       uint64        `json:"version"`
	Owners        []ShardsOwner `json:"owners"`
}

// ShardsOwner is the number of shards of one entry.
type ShardsOwner struct {
	Name   string `json:"name"`
	Shards int    `json:"shards"`
}

// Listen binds the address.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.listener = l
	return nil
}

// Run serves until ctx ends. Listen must have been called.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
	if err := srv.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Status())
}

// Fetch reads the status page of the entry at address.
func Fetch(ctx context.Context, address string) (Status, error) {
	var st Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return st, errors.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return st, errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return st, errors.Wrap(err, "decode")
	}
	return st, nil
}
