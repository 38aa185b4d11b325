// Package assembler builds an entry from its parts and runs it.
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

// connectionsPerUpstream bounds the connections of this entry to one upstream.
// The slots of the configuration bound the tasks, and so the connections, more
// tightly.
const connectionsPerUpstream = 64

// Entry is one entry daemon with all its parts.
type Entry struct {
	*Settings
	Log zerolog.Logger

	self        *wire.Registration
	registry    *prometheus.Registry
	recorder    *recorder.Recorder
	store       *platform.Etcd
	watcher     *watcher.Watcher
	configurer  *configurer.Configurer
	registrar   *registrar.Registrar
	placer      *placer.Placer
	tracker     *tracker.Tracker
	dispatcher  *dispatcher.Dispatcher
	sharer      *sharer.Sharer
	forwarder   *forwarder.Forwarder
	heartbeater *heartbeater.Heartbeater
	borrower    *borrower.Borrower
	entries     *entry.Client
	entryServer *entry.Server
	callers     *caller.Server
	operators   *operator.Server

	draining atomic.Bool
	started  time.Time
}

// New builds an entry. It binds the sockets, so it fails while an earlier
// process of this VM still runs.
func New(s *Settings, log zerolog.Logger) (*Entry, error) {
	tlsConfig, err := entry.LoadTLS(s.CertificateFile, s.KeyFile, s.AuthorityFile)
	if err != nil {
		return nil, err
	}
	e := &Entry{Settings: s, started: time.Now()}
	e.Log = log.With().Str("entry", s.Name).Logger()
	e.self = &wire.Registration{
		Name: s.Name, Incarnation: incarnation(e.started), FailureDomain: s.FailureDomain,
		EntryAddress: s.EntryAddress, OperatorAddress: s.OperatorAddress, Weight: uint32(s.Weight),
		StartedAt: timestamppb.New(e.started),
	}
	e.registry = prometheus.NewRegistry()
	e.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	e.recorder = recorder.New(e.registry)
	e.buildState()
	e.buildPeers(tlsConfig)
	e.buildLoans()
	e.buildServers(tlsConfig)
	e.connect()
	return e, e.listen()
}

// incarnation identifies one life of a process.
func incarnation(t time.Time) string {
	return fmt.Sprintf("%x-%x-%08x", t.UnixNano(), os.Getpid(), rand.Uint32())
}

// buildState builds the parts that hold the entry's state.
func (e *Entry) buildState() {
	e.store = platform.NewEtcd(e.PlatformAddresses, e.recorder)
	e.watcher = &watcher.Watcher{Store: e.store, Prefix: platform.Prefix, Log: e.Log}
	e.dispatcher = &dispatcher.Dispatcher{
		Incarnation: e.self.GetIncarnation(), Client: upstream.NewClient(connectionsPerUpstream),
		Recorder: e.recorder, Log: e.Log,
	}
	e.configurer = &configurer.Configurer{Store: e.store, Log: e.Log}
	e.registrar = &registrar.Registrar{Self: e.self, Store: e.store, Lister: e.store, Log: e.Log}
	e.tracker = &tracker.Tracker{Self: e.Name, Runner: e.dispatcher, Log: e.Log, SendAnswer: e.settle, Ended: e.ended}
	e.sharer = &sharer.Sharer{
		Self: e.self, Members: e.registrar, VMs: e.registrar, Services: e.configurer, Pools: e.dispatcher,
	}
}

// buildPeers builds the parts that talk to other entries.
func (e *Entry) buildPeers(cfg *tls.Config) {
	e.entries = &entry.Client{TLS: cfg}
	e.placer = &placer.Placer{
		Self: e.self, Store: e.store, Members: e.registrar, Tracker: e.tracker, Caller: e.entries, Log: e.Log,
	}
	e.forwarder = &forwarder.Forwarder{
		Placer: e.placer, Members: e.registrar, Tracker: e.tracker, Caller: e.entries, Recorder: e.recorder,
	}
	e.heartbeater = &heartbeater.Heartbeater{
		Self: e.self, Seeds: e.peers(), Members: e.registrar, Caller: e.entries, Heartbeat: e.heartbeat,
		SharedState: []heartbeater.SharedState{e.configurer, e.placer},
	}
}

// buildLoans connects the pools to the slots of other entries.
func (e *Entry) buildLoans() {
	e.borrower = &borrower.Borrower{
		Self: e.self, Members: e.registrar, Caller: e.entries, Pools: e.dispatcher, Recorder: e.recorder,
	}
	e.dispatcher.OnBacklog, e.dispatcher.ReturnSlots, e.dispatcher.BorrowableSlots = e.borrower.Borrow, e.borrower.ReturnSlots, e.borrower.BorrowableSlots
}

// buildServers builds the three servers.
func (e *Entry) buildServers(cfg *tls.Config) {
	e.entryServer = &entry.Server{
		Address: e.EntryAddress, TLS: cfg, Log: e.Log, Refused: e.recorder.RefusedHandshake,
		Handler: &responder.Responder{
			Self: e.self, Configurer: e.configurer, Registrar: e.registrar, Placer: e.placer,
			Tracker: e.tracker, Forwarder: e.forwarder, Dispatcher: e.dispatcher, Heartbeat: e.heartbeat,
		},
	}
	e.callers = &caller.Server{
		Address: e.CallerAddress, Jobs: e.forwarder, Services: e.configurer, Ready: e.ready,
		Recorder: e.recorder, Log: e.Log,
	}
	e.operators = &operator.Server{
		Address: e.OperatorAddress, Gatherer: e.registry, Ready: e.ready, Status: e.status,
	}
}

// connect subscribes the parts to each other.
func (e *Entry) connect() {
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
	if err := e.callers.Listen(); err != nil {
		return err
	}
	return e.operators.Listen()
}

// Run serves until the first signal, drains, and returns nil after a whole
// drain. A second signal or the drain limit ends it with the verdict of every
// open job.
func (e *Entry) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.entryServer.Run(ctx) })
	g.Go(func() error { return e.callers.Run() })
	g.Go(func() error { return e.operators.Run(ctx) })
	var work sync.WaitGroup
	work.Go(func() { e.watcher.Run(ctx) })
	work.Go(func() { e.registrar.Run(ctx) })
	work.Go(func() { e.heartbeater.Run(ctx) })
	work.Go(func() { e.tracker.Run(ctx) })
	assigning, stopAssigning := context.WithCancel(ctx)
	defer stopAssigning()
	work.Go(func() { e.placer.Run(assigning) })
	e.Log.Info().Str("incarnation", e.self.GetIncarnation()).Str("callers", e.CallerAddress).Msg("started")
	select {
	case <-ctx.Done():
	case sig := <-signals:
		e.Log.Info().Str("signal", sig.String()).Msg("draining")
		stopAssigning()
		e.drain(ctx, signals)
	}
	cancel()
	work.Wait()
	err := g.Wait()
	e.entries.Close()
	e.Log.Info().Msg("stopped")
	return err
}

// ready reports whether new jobs are welcome.
func (e *Entry) ready() bool {
	return !e.draining.Load() && len(e.configurer.All()) > 0
}

// heartbeat describes this entry to its peers.
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

// ended counts a job that got its answer.
func (e *Entry) ended(j *tracker.Job, a *wire.JobAnswer) {
	e.recorder.Ended(j.Service(), j.Tenant(), a.GetState().String(), a.GetVerdict().String())
}

// settle sends the answer of a job to the present home of its shard.
func (e *Entry) settle(s placer.Shard, r *wire.JobRecord) {
	go func() {
		q := &wire.Envelope{Body: &wire.Envelope_Settle{Settle: &wire.Settle{Record: r}}}
		for range settleTries {
			if e.settleOnce(s, q) {
				return
			}
			time.Sleep(watcher.Jitter(settleInterval))
		}
		e.Log.Error().Str("tenant", r.GetTenant()).Str("job", r.GetJobId()).Msg("answer_not_delivered")
	}()
}

// settleOnce tries to deliver an answer once.
func (e *Entry) settleOnce(s placer.Shard, q *wire.Envelope) bool {
	owner, ok := e.placer.Owner(s)
	if !ok {
		return false
	}
	if e.placer.IsSelf(owner) {
		return e.tracker.ReceiveAnswer(s, q.GetSettle().GetRecord()) == nil
	}
	m, ok := e.registrar.Member(owner.GetName())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	reply, err := e.entries.Call(ctx, m.Peer(), q)
	return err == nil && reply.GetRefusal() == ""
}
