// Package caller serves the callers of radishweir over HTTP.
//
// A job belongs to a service and a tenant. The tenant authenticates with a
// bearer token. The configuration holds only the token's hash.
//
//	POST   /v1/services/{service}/jobs       submit; waits unless ?wait=false
//	GET    /v1/services/{service}/jobs/{id}  pull; waits with ?wait=true
//	DELETE /v1/services/{service}/jobs/{id}  cancel
//	POST   /v1/services/{service}/job-ids    fresh identifiers, ?count=N
//	GET    /readyz                           200 while new jobs are accepted
//
// # Usage
//
//	s := &caller.Server{Address: addr, Jobs: forwarder, Services: configurer, Ready: ready}
//	err := s.Run(ctx)
//
// Bodies are messages of package wire, encoded as JSON or, with the content type
// application/x-protobuf, as protobuf. Client implements the client side.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/drainer"
	"radishweir.org/lib/forwarder"
	"radishweir.org/lib/limiter"
	"radishweir.org/lib/tracker"
	"radishweir.org/lib/wire"
)

const (
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes = 16 << 20
	// MaxTasks bounds the tasks of a job. A configuration can only lower it.
	MaxTasks = 390
	// MaxIdentifiers bounds one block of fresh identifiers.
	MaxIdentifiers = 1000
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// memoryRetry is the time after which a caller may come back for whose request there was
	// no memory.
	memoryRetry = time.Second
)

// Jobs routes requests to the homes of their jobs. forwarder.Forwarder
// implements it.
type Jobs interface {
	Submit(ctx context.Context, r forwarder.Request) (*wire.JobAnswer, error)
	Find(ctx context.Context, l *wire.Locate, domains []string, cancel bool) (*wire.JobAnswer, error)
	Issue(n int) ([]string, error)
}

// Services looks up configurations by service name. configurer.Configurer
// implements it.
type Services interface {
	Service(name string) *wire.ServiceConfiguration
}

// Recorder records metrics of callers' requests.
type Recorder interface {
	// Request counts one request with its HTTP status.
	Request(service, tenant string, status int)
	// Response records the time from a submission to its answer.
	Response(service, tenant string, d time.Duration)
	drainer.Observer
}

// Server serves callers. Exported fields are set before Run.
type Server struct {
	// Address is the IP number and port to listen on.
	Address string
	// Jobs handles the requests.
	Jobs Jobs
	// Services holds the configurations.
	Services Services
	// Ready reports whether new jobs are accepted.
	Ready func() bool
	// VM is the size of this VM, which bounds what the requests of all callers take, and
	// MaxConnections the number of their connections; 0 for what the VM has room for.
	VM             limiter.VM
	MaxConnections int
	// Recorder records metrics.
	Recorder Recorder
	// Log receives events.
	Log zerolog.Logger

	tenants  directory
	listener net.Listener
	server   *drainer.Server
	// requests ends when CancelRequests is called.
	requests       context.Context
	cancelRequests context.CancelFunc
}

// Listen binds the address.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.listener = l
	s.requests, s.cancelRequests = context.WithCancel(context.Background())
	s.server = &drainer.Server{
		Server: http.Server{
			Handler:        s.Handler(),
			MaxHeaderBytes: maxHeaderBytes,
			BaseContext:    func(net.Listener) context.Context { return s.requests },
		},
		Limits: s.limits, Observer: s.Recorder, Log: s.Log,
	}
	return nil
}

// limits returns the limits of callers.
func (s *Server) limits() limiter.Limits {
	return limiter.Limits{
		Connections: s.VM.Connections(s.MaxConnections), Memory: s.VM.RequestMemory(), HeaderBytes: maxHeaderBytes,
		HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
}

// Usage returns the number of callers' connections and the memory of their requests in bytes,
// as far as it counts towards the limits.
func (s *Server) Usage() (connections int, memory int64) { return s.server.Usage() }

// Run serves until Drain. Listen must have been called.
func (s *Server) Run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// Retire makes the server close each connection after its current answer.
func (s *Server) Retire() { s.server.Retire() }

// Drain refuses new connections and waits until what has arrived is answered.
func (s *Server) Drain(ctx context.Context) error { return s.server.Drain(ctx) }

// CancelRequests answers the open requests, and those that follow, with what is known of
// their jobs: the answer, the progress, or may_have_run if another entry runs the job.
func (s *Server) CancelRequests() { s.cancelRequests() }

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/jobs", s.withAuth(s.submit))
	mux.HandleFunc("GET /v1/services/{service}/jobs/{id}", s.withAuth(s.pull))
	mux.HandleFunc("DELETE /v1/services/{service}/jobs/{id}", s.withAuth(s.cancel))
	mux.HandleFunc("POST /v1/services/{service}/job-ids", s.withAuth(s.issue))
	mux.HandleFunc("GET /readyz", s.readyz)
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// authContext holds the service and the authenticated tenant of a request.
type authContext struct {
	service *wire.ServiceConfiguration
	tenant  *wire.Tenant
}

// handler answers an authenticated request, or returns the error to refuse it
// with.
type handler func(w http.ResponseWriter, r *http.Request, auth authContext) error

// withAuth authenticates a request, calls h, writes the returned error, if any,
// and records the status.
func (s *Server) withAuth(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rec := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		auth, err := s.authenticate(r)
		if err == nil {
			err = h(rec, r, auth)
		}
		if err != nil {
			writeError(rec, r, err)
		}
		s.Recorder.Request(r.PathValue("service"), auth.tenant.GetName(), rec.status)
	}
}

// authenticate looks up the service and the tenant whose token hash matches.
func (s *Server) authenticate(r *http.Request) (authContext, error) {
	auth := authContext{service: s.Services.Service(r.PathValue("service"))}
	if auth.service == nil {
		return authContext{}, refuse(http.StatusNotFound, "the service is not known")
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return authContext{}, refuse(http.StatusUnauthorized, "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	auth.tenant = s.tenants.find(auth.service, hex.EncodeToString(sum[:]))
	if auth.tenant == nil {
		return authContext{}, refuse(http.StatusUnauthorized, "the bearer token is not known")
	}
	return auth, nil
}

// submit accepts a job.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, auth authContext) error {
	start := time.Now()
	job, err := readJob(r)
	if err != nil {
		return err
	}
	if err := validate(job, auth.service); err != nil {
		return err
	}
	wait := r.URL.Query().Get("wait") != "false"
	answer, err := s.Jobs.Submit(r.Context(), forwarder.Request{
		Tenant: auth.tenant, Service: auth.service, Job: job, Wait: wait,
	})
	if err != nil {
		answer = tracker.FailedAnswer(job.GetJobId(), err)
	}
	if wait {
		s.Recorder.Response(auth.service.GetService(), auth.tenant.GetName(), time.Since(start))
	}
	return writeAnswer(w, r, answer)
}

// pull returns the answer of a job, or its progress if it has not ended.
func (s *Server) pull(w http.ResponseWriter, r *http.Request, auth authContext) error {
	return s.find(w, r, auth, false)
}

// cancel cancels a job.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request, auth authContext) error {
	return s.find(w, r, auth, true)
}

func (s *Server) find(w http.ResponseWriter, r *http.Request, auth authContext, cancel bool) error {
	l := &wire.Locate{
		Tenant: auth.tenant.GetName(), Service: auth.service.GetService(), JobId: r.PathValue("id"),
		Wait: r.URL.Query().Get("wait") == "true",
	}
	answer, err := s.Jobs.Find(r.Context(), l, auth.service.GetFailureDomains(), cancel)
	if errors.Is(err, forwarder.ErrUnknownJob) {
		return refuse(http.StatusNotFound, "the job is not known")
	}
	if err != nil {
		answer = tracker.FailedAnswer(l.GetJobId(), err)
	}
	return writeAnswer(w, r, answer)
}

// issue returns fresh identifiers.
func (s *Server) issue(w http.ResponseWriter, r *http.Request, _ authContext) error {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxIdentifiers {
			return refuse(http.StatusBadRequest, "count must be a whole number from 1 to 1000")
		}
		count = n
	}
	ids, err := s.Jobs.Issue(count)
	if err != nil {
		return err
	}
	return writeMessage(w, r, http.StatusOK, &wire.IdentifierBlock{JobIds: ids})
}
