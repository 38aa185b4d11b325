// Package assembler builds an entry daemon from its components and runs it.
//
// # Usage
//
//	e, err := assembler.New(settings, log)
//	err = e.Run(ctx, signals)
package assembler

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/borrower"
	"radishweir.org/lib/caller"
	"radishweir.org/lib/configurer"
	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/entry"
	"radishweir.org/lib/forwarder"
	"radishweir.org/lib/heartbeater"
	"radishweir.org/lib/operator"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/recorder"
	"radishweir.org/lib/registrar"
	"radishweir.org/lib/responder"
	"radishweir.org/lib/sharer"
	"radishweir.org/lib/tracker"
	"radishweir.org/lib/upstream"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// connectionsPerUpstream limits the connections from this entry to one upstream.
// The configured slots limit the tasks, and so the connections, more tightly.
const connectionsPerUpstream = 64

// Entry is an entry daemon with all its components.
type Entry struct {
	*Settings
	Log zerolog.Logger

	self           *wire.Registration
	registry       *prometheus.Registry
	recorder       *recorder.Recorder
	store          *platform.Etcd
	watcher        *watcher.Watcher
	configurer     *configurer.Configurer
	registrar      *registrar.Registrar
	placer         *placer.Placer
	tracker        *tracker.Tracker
	dispatcher     *dispatcher.Dispatcher
	sharer         *sharer.Sharer
	forwarder      *forwarder.Forwarder
	heartbeater    *heartbeater.Heartbeater
	borrower       *borrower.Borrower
	entryClient    *entry.Client
	entryServer    *entry.Server
	callerServer   *caller.Server
	operatorServer *operator.Server

	draining atomic.Bool
	started  time.Time
	// unsentAnswers counts the answers that sendAnswer has not delivered yet.
	unsentAnswers atomic.Int64
}

// New builds an entry and binds its sockets. It fails while an earlier process on
// this VM still holds them.
func New(s *Settings, log zerolog.Logger) (*Entry, error) {
	tlsConfig, err := entry.LoadTLS(s.CertificateFile, s.KeyFile, s.AuthorityFile)
	if err != nil {
		return nil, err
	}
	s.limitMemory()
	e := &Entry{Settings: s, started: time.Now()}
	e.Log = log.With().Str("entry", s.Name).Logger()
	e.self = &wire.Registration{
		Name: s.Name, Incarnation: newIncarnation(e.started), FailureDomain: s.FailureDomain,
		EntryAddress: s.EntryAddress, OperatorAddress: s.OperatorAddress, Weight: uint32(s.Weight),
		StartedAt: timestamppb.New(e.started),
	}
	e.registry = prometheus.NewRegistry()
	e.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	e.recorder = recorder.New(e.registry)
	e.buildState()
	e.buildPeers(tlsConfig)
	e.buildBorrower()
	e.buildServers(tlsConfig)
	e.subscribe()
	return e, e.listen()
}

// newIncarnation returns a unique identifier for the process started at t.
func newIncarnation(t time.Time) string {
	return fmt.Sprintf("%x-%x-%08x", t.UnixNano(), os.Getpid(), rand.Uint32())
}

// buildState builds the components that hold the entry's state.
func (e *Entry) buildState() {
	e.store = platform.NewEtcd(e.PlatformAddresses, e.recorder)
	e.watcher = &watcher.Watcher{Store: e.store, Prefix: platform.Prefix, Log: e.Log}
	e.dispatcher = &dispatcher.Dispatcher{
		Incarnation: e.self.GetIncarnation(), Client: upstream.NewClient(connectionsPerUpstream),
		Recorder: e.recorder, Log: e.Log,
	}
	e.configurer = &configurer.Configurer{Store: e.store, Log: e.Log}
	e.registrar = &registrar.Registrar{Self: e.self, Store: e.store, Lister: e.store, Log: e.Log}
	e.tracker = &tracker.Tracker{Self: e.Name, Runner: e.dispatcher, Log: e.Log, SendAnswer: e.sendAnswer, Ended: e.countEndedJob}
	e.sharer = &sharer.Sharer{
		Self: e.self, Members: e.registrar, VMs: e.registrar, Services: e.configurer, Pools: e.dispatcher,
	}
}

// buildPeers builds the components that communicate with other entries.
func (e *Entry) buildPeers(cfg *tls.Config) {
	e.entryClient = &entry.Client{TLS: cfg, Log: e.Log}
	e.placer = &placer.Placer{
		Self: e.self, Store: e.store, Members: e.registrar, Tracker: e.tracker, Caller: e.entryClient, Log: e.Log,
	}
	e.forwarder = &forwarder.Forwarder{
		Placer: e.placer, Members: e.registrar, Tracker: e.tracker, Caller: e.entryClient, Recorder: e.recorder,
	}
	e.heartbeater = &heartbeater.Heartbeater{
		Self: e.self, Seeds: e.seedPeers(), Members: e.registrar, Caller: e.entryClient, Heartbeat: e.heartbeat,
		SharedState: []heartbeater.SharedState{e.configurer, e.placer},
	}
}

// buildBorrower lets the pools borrow slots from other entries.
func (e *Entry) buildBorrower() {
	e.borrower = &borrower.Borrower{
		Self: e.self, Members: e.registrar, Caller: e.entryClient, Pools: e.dispatcher, Recorder: e.recorder,
	}
	e.dispatcher.OnBacklog, e.dispatcher.ReturnSlots, e.dispatcher.BorrowableSlots = e.borrower.Borrow, e.borrower.ReturnSlots, e.borrower.BorrowableSlots
}

// buildServers builds the servers for other entries, callers and operators.
func (e *Entry) buildServers(cfg *tls.Config) {
	e.entryServer = &entry.Server{
		Address: e.EntryAddress, TLS: cfg, Log: e.Log, Refused: e.recorder.RefusedHandshake,
		Handler: &responder.Responder{
			Self: e.self, Configurer: e.configurer, Registrar: e.registrar, Placer: e.placer,
			Tracker: e.tracker, Forwarder: e.forwarder, Dispatcher: e.dispatcher, Heartbeat: e.heartbeat,
		},
	}
	e.callerServer = &caller.Server{
		Address: e.CallerAddress, Jobs: e.forwarder, Services: e.configurer, Ready: e.ready,
		VM: e.vm(), MaxConnections: e.MaxConnections,
		Recorder: e.recorder, Log: e.Log,
	}
	e.operatorServer = &operator.Server{
		Address: e.OperatorAddress, Gatherer: e.registry, Ready: e.ready, Status: e.status,
		Observer: e.recorder, Log: e.Log,
	}
}

// subscribe registers the components for changes of the platform's data and of
// each other.
func (e *Entry) subscribe() {
	e.watcher.On(platform.ConfigurationPrefix, e.configurer.Apply)
	e.watcher.On(platform.EntryPrefix, e.registrar.Apply)
	e.watcher.On(platform.ShardPrefix, e.placer.Apply)
	e.configurer.Changed = func(s *wire.ServiceConfiguration) {
		e.dispatcher.Configure(s)
		e.sharer.Refresh()
	}
	e.registrar.Changed = func() {
		e.sharer.Refresh()
		e.placer.Wake()
	}
}

// listen binds all sockets.
func (e *Entry) listen() error {
	if err := e.entryServer.Listen(); err != nil {
		return err
	}
	if err := e.callerServer.Listen(); err != nil {
		return err
	}
	return e.operatorServer.Listen()
}

// Run serves until the first signal, then drains the entry and returns nil after
// a complete drain. A second signal or the drain limit cuts the drain short: Run
// then cancels the jobs that are still open, so that each gets a verdict.
func (e *Entry) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.entryServer.Run(ctx) })
	g.Go(func() error { return e.callerServer.Run() })
	g.Go(func() error { return e.operatorServer.Run(ctx) })
	var background sync.WaitGroup
	background.Go(func() { e.watcher.Run(ctx) })
	background.Go(func() { e.registrar.Run(ctx) })
	background.Go(func() { e.heartbeater.Run(ctx) })
	background.Go(func() { e.tracker.Run(ctx) })
	placerCtx, stopPlacer := context.WithCancel(ctx)
	defer stopPlacer()
	background.Go(func() { e.placer.Run(placerCtx) })
	e.Log.Info().Str("incarnation", e.self.GetIncarnation()).Str("callers", e.CallerAddress).Msg("started")
	select {
	case <-ctx.Done():
	case sig := <-signals:
		e.Log.Info().Str("signal", sig.String()).Msg("draining")
		e.placer.Stop()
		e.drain(ctx, signals, stopPlacer)
	}
	cancel()
	background.Wait()
	err := g.Wait()
	e.entryClient.Close()
	e.Log.Info().Msg("stopped")
	return err
}

// ready reports whether the entry accepts new jobs: it is not draining and has
// the configuration of at least one service.
func (e *Entry) ready() bool {
	return !e.draining.Load() && len(e.configurer.All()) > 0
}

// heartbeat returns this entry's heartbeat message to its peers.
func (e *Entry) heartbeat() *wire.Heartbeat {
	h := &wire.Heartbeat{
		Name: e.Name, Incarnation: e.self.GetIncarnation(), Draining: e.draining.Load(),
		Revisions: e.configurer.Revisions(), Tables: e.placer.Versions(),
	}
	for _, p := range e.dispatcher.Pools() {
		h.Loads = append(h.Loads, p.AdvertisedLoad())
	}
	return h
}

// countEndedJob counts a job that was answered, by its state and verdict.
func (e *Entry) countEndedJob(j *tracker.Job, a *wire.JobAnswer) {
	e.recorder.Ended(j.Service(), j.Tenant(), a.GetState().String(), a.GetVerdict().String())
}

// sendAnswer sends the answer of a job to the current home of its shard. It
// returns at once and retries in the background.
func (e *Entry) sendAnswer(s placer.Shard, r *wire.JobRecord) {
	e.unsentAnswers.Add(1)
	go func() {
		defer e.unsentAnswers.Add(-1)
		message := &wire.Envelope{Body: &wire.Envelope_Settle{Settle: &wire.Settle{Record: r}}}
		for range answerAttempts {
			if e.trySendAnswer(s, message) {
				return
			}
			time.Sleep(watcher.Jitter(answerRetryInterval))
		}
		e.Log.Error().Str("tenant", r.GetTenant()).Str("job", r.GetJobId()).Msg("answer_not_delivered")
	}()
}

// trySendAnswer makes one attempt to deliver an answer and reports whether it
// succeeded.
func (e *Entry) trySendAnswer(s placer.Shard, message *wire.Envelope) bool {
	owner, ok := e.placer.Owner(s)
	if !ok {
		return false
	}
	if e.placer.IsSelf(owner) {
		return e.tracker.ReceiveAnswer(s, message.GetSettle().GetRecord()) == nil
	}
	m, ok := e.registrar.Member(owner.GetName())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerAttemptTimeout)
	defer cancel()
	reply, err := e.entryClient.Call(ctx, m.Peer(), message)
	return err == nil && reply.GetRefusal() == ""
}
