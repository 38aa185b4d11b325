// Package composer builds an entry for a platform whose upstreams run tasks
// under leases, and runs it.
//
// # Usage
//
//	e, err := composer.New(settings, log)
//	err = e.Run(ctx, signals)
package composer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/committer"
	"radishweir.org/lib/confirmer"
	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/divider"
	"radishweir.org/lib/drainer"
	"radishweir.org/lib/enroller"
	"radishweir.org/lib/evacuator"
	"radishweir.org/lib/keeper"
	"radishweir.org/lib/messenger"
	"radishweir.org/lib/operator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/recorder"
	"radishweir.org/lib/relayer"
	"radishweir.org/lib/relinquisher"
	"radishweir.org/lib/roster"
	"radishweir.org/lib/router"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/throttler"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
	adapter "radishweir.org/platform"
)

const (
	// upstreamPace is the time for which changes of upstream registrations are
	// batched. It is well below the time within which a leaving upstream must get
	// its last run.
	upstreamPace = 400 * time.Millisecond
	// longestBackoff is the longest mean wait between reconnects to the store. It
	// is short so that the entry soon notices that the store is back.
	longestBackoff = 400 * time.Millisecond
	// callerProbeInterval is the interval of keep-alive probes on silent connections of callers.
	// A caller whose reset was lost answers one with a reset, before it submits its job again.
	// callerProbes is the number of unanswered probes after which a connection is closed; a
	// caller on a path that is cut may still wait for its answer.
	callerProbeInterval = time.Second
	callerProbes        = 30
	// memoryLimitPercent is the memory limit of the Go runtime, in percent of the
	// VM's memory. Near the limit the garbage collector runs more often. The rest
	// is left to kernel buffers.
	memoryLimitPercent = 70
	// stateFramesPerCore is the number of frames per second and core that may be
	// sent only for states of upstreams; they take about a tenth of the processor.
	stateFramesPerCore = 2000
	// cancelDelay is the time after which the runs of an unreachable peer are
	// canceled. A connection that was only reset is re-established by then.
	cancelDelay = 150 * time.Millisecond
)

// Entry is one entry daemon with all its components.
type Entry struct {
	// Settings are the settings at startup; current holds those in force.
	*Settings
	Log zerolog.Logger
	// SettingsPath is the file to reload settings from, after a signal on Hangups
	// or when the file changes. If it is empty, settings are not reloaded.
	SettingsPath string
	Hangups      <-chan os.Signal

	self            *wire.Registration
	registry        *prometheus.Registry
	store           *adapter.Client
	router          *router.Router
	evacuator       *evacuator.Evacuator
	enroller        *enroller.Enroller
	roster          *roster.Roster
	runner          *runner.Runner
	coordinator     *coordinator.Coordinator
	messenger       *messenger.Messenger
	committer       *committer.Committer
	keeper          *keeper.Keeper
	confirmer       *confirmer.Confirmer
	relayer         *relayer.Relayer
	watchers        []*watcher.Watcher
	callerServer    *drainer.Server
	readinessServer *drainer.Server
	operatorServer  *operator.Server

	current  atomic.Pointer[Settings]
	ctx      context.Context
	assignMu sync.Mutex
	// departures tells when the leases of entries have ended that left, and vanished, which
	// assignMu guards, which upstreams these may serve although the list lacks them.
	departures relinquisher.Ledger
	vanished   relinquisher.Vanished
	// members are the registered entries from which the upstreams were divided last.
	members atomic.Pointer[divider.Members]
	// view is the divider.View from which the upstreams of this entry were computed; 0
	// before they are known.
	view     atomic.Uint64
	draining atomic.Bool
	closing  atomic.Bool
	// down holds for each peer that was up before whether it is unreachable now.
	down sync.Map
	// claims holds, by upstream, the token of the last published state.
	claims sync.Map
	// keptJobsExist is true once this entry knows that kept jobs exist on any
	// entry. A kept job is a durable job whose record is in the platform's store
	// from acceptance to end.
	keptJobsExist atomic.Bool
	pending       pending
	// endCalls ends the wait of callers' requests for the store.
	endCalls context.CancelFunc
	received receivedJobs
	overload overload
	life     life
	// interference is nil unless separation is set.
	interference *runner.Interference
}

// New builds an entry and binds the socket for its peers. The missed counter
// holds the number of dropped log events.
func New(s *Settings, log zerolog.Logger, missed *atomic.Int64) (*Entry, error) {
	e := &Entry{Settings: s, Log: log.With().Str("entry", s.Name).Logger()}
	e.applySettings(s)
	if s.FailureDomains != "" {
		e.departures.Domains = strings.Split(s.FailureDomains, ",")
	}
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	started := time.Now()
	e.self = &wire.Registration{
		Name: s.Name, Incarnation: fmt.Sprintf("%x-%x-%08x", started.UnixNano(), os.Getpid(), rand.Uint32()),
		FailureDomain: s.FailureDomain, EntryAddress: s.EntryAddress, OperatorAddress: s.OperatorAddress,
		Weight: s.weight(), StartedAt: timestamppb.New(started),
	}
	e.registry = prometheus.NewRegistry()
	e.registry.MustRegister(collectors.NewGoCollector())
	e.registerGauges(missed)
	rec := recorder.New(e.registry)
	e.store = adapter.NewClient(s.PlatformAddress, rec)
	e.router = &router.Router{Log: e.Log}
	e.evacuator = &evacuator.Evacuator{Prefix: adapter.EvacuationPrefix, Changed: e.applyEvacuation, Log: e.Log}
	e.buildJobComponents(rec)
	e.buildDelegation()
	e.buildSeparation()
	e.buildMembership()
	e.buildKeeper()
	e.buildServers(rec)
	return e, e.messenger.Listen()
}

// buildJobComponents builds the components that run jobs.
func (e *Entry) buildJobComponents(rec *recorder.Recorder) {
	e.runner = &runner.Runner{
		Client: &adapter.UpstreamClient{Counter: rec}, Ended: e.reportRunEnd, Changed: e.publishState, LastSeen: e.lastSeen,
		Registered:            func() bool { return e.enroller.HoldsRegistration() },
		HolderListed:          func(holder string) bool { return e.enroller.HolderListed(holder) },
		MembersConfirmedSince: func(at time.Time) bool { return e.confirmer.ConfirmedSince(e.ctx, at) },
		SettledAt:             e.departures.SettledAt, UnseenUntil: e.departures.UnseenUntil, HasAnswered: e.hasAnswered, RenewableUntil: e.renewableUntil,
		Evacuated: e.evacuated(), Observer: rec, Log: e.Log,
	}
	e.messenger = &messenger.Messenger{
		Name: e.Name, Incarnation: e.self.GetIncarnation(), Address: e.EntryAddress, Handler: e, Log: e.Log,
		StateFrames: e.cores() * stateFramesPerCore,
	}
	e.coordinator = &coordinator.Coordinator{
		Self: e.Name, Domain: e.FailureDomain, PeerTimeout: messenger.SilenceLimit, FarFactor: e.farFactor(),
		Throttle: throttler.Throttler{Enabled: e.CongestionControl}, TightPacking: e.TightPacking,
		MaxKeptMemory: e.vm().RequestMemory(),
		Local:         e.runner, Remote: e.messenger, Evacuated: e.evacuated(), Observer: rec, Log: e.Log,
	}
}

// buildMembership builds the components that watch the store.
func (e *Entry) buildMembership() {
	e.enroller = &enroller.Enroller{Self: e.self, Store: e.store, Changed: e.assignUpstreams, Log: e.Log}
	e.roster = &roster.Roster{Decode: (&adapter.UpstreamDecoder{}).Decode, Changed: e.assignUpstreams, Log: e.Log}
	watch := func(prefix string, pace time.Duration, apply func(watcher.Update)) *watcher.Watcher {
		w := &watcher.Watcher{Store: e.store, Prefix: prefix, Pace: pace, LongestBackoff: longestBackoff, Log: e.Log}
		if apply != nil {
			w.On(prefix, apply)
		}
		return w
	}
	e.watchers = []*watcher.Watcher{watch(platform.EntryPrefix, 0, e.enroller.Apply)}
	if e.Evacuation {
		// Evacuations share the watch of the configuration, as the store counts each
		// watch. They come first: the entry serves as soon as it has a configuration.
		w := watch(adapter.OperatorPrefix, 0, nil)
		w.On(adapter.EvacuationPrefix, e.evacuator.Apply)
		w.On(adapter.ConfigurationKey, e.applyConfiguration)
		e.watchers = append(e.watchers, w)
	} else {
		e.watchers = append(e.watchers, watch(adapter.ConfigurationKey, 0, e.applyConfiguration))
	}
	e.confirmer = &confirmer.Confirmer{
		Read: e.readView, Known: func() divider.View { return divider.View(e.view.Load()) }, Confirmed: e.runner.ReviewExpired, Log: e.Log,
	}
	e.relayer = &relayer.Relayer{Self: e.Name, Apply: e.roster.Apply, Log: e.Log}
	e.roster.Relay = e.relayer.Relay
	w := watch(adapter.UpstreamPrefix, upstreamPace, e.relayer.FromStore)
	e.relayer.Read, e.relayer.ReadAt = w.Run, w.Heard
}

// applyEvacuation puts a change of the evacuated failure domains in force.
func (e *Entry) applyEvacuation() {
	e.coordinator.EvacuationChanged()
	e.runner.EvacuationChanged()
}

// evacuated returns the function that reports evacuated failure domains; nil if this
// deployment has no evacuations.
func (e *Entry) evacuated() func(domain string) bool {
	if !e.Evacuation {
		return nil
	}
	return e.evacuator.Evacuated
}

// buildServers builds the servers for callers, the load balancer and operators.
func (e *Entry) buildServers(rec *recorder.Recorder) {
	e.callerServer = &drainer.Server{
		Server: http.Server{
			Addr: e.CallerAddress, MaxHeaderBytes: headerBytesBound, ConnContext: adapter.WithConnection,
			Handler: &adapter.JobHandler{Router: e.router, Jobs: e.coordinator, Keeper: e.newCallerKeeper(), Pending: e.Pending, Log: e.Log},
		},
		Limits: e.callerLimits, Observer: rec, Log: e.Log,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adapter.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() || !e.acceptsConnections() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	e.readinessServer = &drainer.Server{
		Server: http.Server{Addr: e.ReadinessAddress, MaxHeaderBytes: maxHeaderBytes, Handler: mux},
		Limits: e.otherLimits, Observer: rec, Log: e.Log,
	}
	e.operatorServer = &operator.Server{Observer: rec, Log: e.Log, Address: e.OperatorAddress, Gatherer: e.registry, Ready: e.ready, Status: e.status}
}

// ready reports whether the entry accepts new connections.
func (e *Entry) ready() bool {
	_, ok := e.router.Table()
	return ok && !e.draining.Load() && len(e.roster.Upstreams()) > 0
}

// applyConfiguration applies the operators' configuration from the store.
func (e *Entry) applyConfiguration(u watcher.Update) {
	for _, v := range u.Events {
		if v.Deleted || v.Key != adapter.ConfigurationKey {
			continue
		}
		t, err := adapter.DecodeConfiguration(v.Value)
		if err != nil {
			e.Log.Error().Err(err).Msg("configuration_unreadable")
			continue
		}
		if e.router.Apply(t) {
			e.assignUpstreams()
		}
	}
}

// Run serves until the first signal, then drains and returns nil. It returns
// an error if the messenger or a server fails.
func (e *Entry) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.ctx = ctx
	e.coordinator.Init(ctx)
	failed := make(chan error, 4)
	var work sync.WaitGroup
	work.Go(func() { failed <- e.messenger.Run(ctx) })
	for _, w := range e.watchers {
		work.Go(func() { w.Run(ctx) })
	}
	work.Go(func() { e.relayer.Run(ctx) })
	work.Go(func() { e.enroller.Run(ctx) })
	work.Go(func() { e.coordinator.Run(ctx) })
	work.Go(func() { e.committer.Run(ctx) })
	work.Go(func() { e.keeper.Run(ctx) })
	work.Go(func() { e.followSettings(ctx) })
	work.Go(func() { e.exchangeInterference(ctx) })
	work.Go(func() { e.monitorLag(ctx) })
	for _, s := range []struct {
		address string
		serve   func(net.Listener) error
	}{{e.CallerAddress, e.callerServer.Serve}, {e.ReadinessAddress, e.readinessServer.Serve}} {
		l, err := listen(ctx, s.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		go func() { failed <- s.serve(l) }()
	}
	if err := e.operatorServer.Listen(); err != nil {
		return err
	}
	work.Go(func() { failed <- e.operatorServer.Run(ctx) })
	e.Log.Info().Str("incarnation", e.self.GetIncarnation()).Str("callers", e.CallerAddress).Msg("started")
	var err error
	select {
	case err = <-failed:
	case sig := <-signals:
		e.Log.Info().Str("signal", sig.String()).Msg("draining")
		e.drain(ctx)
	}
	cancel()
	e.Log.Info().Msg("stopped")
	return err
}

// listen listens for connections of callers or of the load balancer.
func listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: callerProbeInterval, Interval: callerProbeInterval, Count: callerProbes,
	}}
	return c.Listen(ctx, "tcp", address)
}
