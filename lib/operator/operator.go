// Package operator serves metrics, health checks, a status page and profiles of
// one entry to its operators over HTTP.
//
//	GET /metrics  Prometheus metrics
//	GET /livez    200 while the process answers
//	GET /readyz   200 while the entry accepts new jobs
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
	"github.com/rs/zerolog"

	"radishweir.org/lib/drainer"
	"radishweir.org/lib/limiter"
)

// limits bounds what clients may take together, as the port may be reached by others than
// operators.
var limits = limiter.Limits{
	Connections: 64, Memory: 1 << 20, HeaderBytes: 16 << 10,
	HeaderTimeout: 5 * time.Second, BodyTimeout: 5 * time.Second, IdleTimeout: time.Minute,
}

// Server serves operators. Exported fields are set before Run.
type Server struct {
	// Address is the IP address and port to listen on.
	Address string
	// Gatherer holds the metrics.
	Gatherer prometheus.Gatherer
	// Ready reports whether the entry accepts new jobs.
	Ready func() bool
	// Status returns the content of the status page.
	Status func() Status
	// Observer counts reached limits.
	Observer drainer.Observer
	// Log receives log events.
	Log zerolog.Logger

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
	// PlatformConnected is false while the watch on the platform is down.
	PlatformConnected bool `json:"platform_connected"`
	// PlatformHeardAt is the time of the platform's last message.
	PlatformHeardAt time.Time `json:"platform_heard_at"`
	// VMListSuspect is true while a VM list is not accepted because it shrank too
	// much.
	VMListSuspect bool      `json:"vm_list_suspect"`
	OpenJobs      int       `json:"open_jobs"`
	Services      []Service `json:"services"`
	Members       []Member  `json:"members"`
	Shards        []Shards  `json:"shards"`
	// Leased is the state of an entry with leased upstreams; nil on others.
	Leased *Leased `json:"leased,omitempty"`
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

// Leased is the view that an entry with leased upstreams has of them, with the
// times at which its parts were updated.
type Leased struct {
	ConfigurationVersion int64 `json:"configuration_version"`
	// ConfigurationTakenAt is when the entry applied that version.
	ConfigurationTakenAt time.Time `json:"configuration_taken_at"`
	// UpstreamsReadAt is the time of the last update of the list of upstreams.
	UpstreamsReadAt time.Time `json:"upstreams_read_at"`
	// EvacuatedDomains are the failure domains that take no new runs.
	EvacuatedDomains []string `json:"evacuated_domains,omitempty"`
	// Revision is the revision of the registrations that determine the owners of
	// the upstreams.
	Revision    int64            `json:"revision"`
	WaitingJobs int              `json:"waiting_jobs"`
	Upstreams   []LeasedUpstream `json:"upstreams"`
}

// LeasedUpstream is one leased upstream as one entry sees it.
type LeasedUpstream struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	// Owner is the entry that may start runs there, empty if unknown.
	Owner string `json:"owner"`
	// Token is the fencing token under which the owner claims it.
	Token int64 `json:"token"`
	// Usable is true while new runs may be sent there.
	Usable  bool `json:"usable"`
	Leaving bool `json:"leaving"`
	// FreeCores is the number of cores that are free for new runs.
	FreeCores float64 `json:"free_cores"`
	// Slowness is the ratio of the upstream's run times to the expected ones.
	Slowness float64 `json:"slowness"`
	// HeardAt is the time of the owner's last report on the upstream.
	HeardAt time.Time `json:"heard_at"`
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

// Run serves requests until ctx ends. Listen must have been called.
func (s *Server) Run(ctx context.Context) error {
	srv := &drainer.Server{
		Server: http.Server{Handler: s.Handler(), MaxHeaderBytes: limits.HeaderBytes},
		Limits: func() limiter.Limits { return limits }, Observer: s.Observer, Log: s.Log,
	}
	defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
	if err := srv.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}

// Handler returns a handler for all paths of the package.
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
