// Package registrar registers this entry in the platform and tracks the other
// entries.
//
// It combines three sources. A registration in the platform says that an entry
// is alive; its lapse only makes the entry suspect. A heartbeat says that a peer
// can be reached; its absence only makes the peer suspect. The death of an
// incarnation is confirmed by a newer registration of the same entry, which has
// bound the same sockets, or by the VM list, which no longer holds the VM or
// holds another instance of it.
//
// # Usage
//
//	r := &registrar.Registrar{Self: self, Store: store, Lister: lister, Log: log}
//	w.On(platform.EntryPrefix, r.Apply)
//	go r.Run(ctx)
//	for _, m := range r.Members() { ... }
package registrar

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/entry"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

const (
	// leaseSeconds is how long a registration lasts without a renewal.
	leaseSeconds = 10
	// renewInterval is the mean time between renewals.
	renewInterval = 3 * time.Second
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// listInterval is the mean time between reads of the VM list.
	listInterval = time.Second
	// heartbeatTimeout is how long a peer counts as reachable after a heartbeat.
	heartbeatTimeout = 4 * time.Second
)

// Member is what is known about one entry.
type Member struct {
	*wire.Registration
	// Registered is false once the registration has lapsed.
	Registered bool
	// ReachableUntil is when the last heartbeat expires.
	ReachableUntil time.Time
	// Draining is true when the entry is shutting down.
	Draining bool
	// Loads are the waiting tasks and idle slots by service, as last reported.
	Loads []*wire.ServiceLoad
}

// Peer returns the entry's name and address for calls through package entry.
func (m Member) Peer() entry.Peer {
	return entry.Peer{Name: m.GetName(), Address: m.GetEntryAddress()}
}

// Reachable reports whether the entry's last heartbeat has not expired.
func (m Member) Reachable(now time.Time) bool { return now.Before(m.ReachableUntil) }

// Registrar keeps the members. Exported fields are set before Run.
type Registrar struct {
	// Self is the registration of this entry.
	Self *wire.Registration
	// Store is the platform's key-value service.
	Store platform.Store
	// Lister is the platform's VM list.
	Lister platform.Lister
	// Log receives events.
	Log zerolog.Logger
	// Changed is called after the members or VMs may have changed; may be nil.
	Changed func()

	mu      sync.Mutex
	members map[string]Member
	vms     vmView
	lease   int64
}

// Run registers this entry and reads the VM list until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runEvery(ctx, renewInterval, r.renew) })
	wg.Go(func() { runEvery(ctx, listInterval, r.readVMList) })
	wg.Wait()
}

// runEvery calls f at once and then at jittered intervals until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		f(call)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-time.After(watcher.Jitter(interval)):
		}
	}
}

// renew keeps the lease alive and registers again once it has lapsed.
func (r *Registrar) renew(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		alive, err := r.Store.KeepAlive(ctx, lease)
		if err != nil || alive {
			return
		}
	}
	if err := r.register(ctx); err != nil {
		r.Log.Warn().Err(err).Msg("registration_failed")
	}
}

// register writes this entry's registration under a fresh lease. It replaces
// the registration of an earlier incarnation, which cannot be alive because this
// one holds its sockets. The write is a compare-and-swap, so that a delayed write
// of the earlier incarnation cannot overwrite this one.
func (r *Registrar) register(ctx context.Context) error {
	lease, err := r.Store.Grant(ctx, leaseSeconds)
	if err != nil {
		return errors.Wrap(err, "grant a lease")
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(r.Self)
	if err != nil {
		return errors.Wrap(err, "encode the registration")
	}
	old, err := r.Store.Get(ctx, r.ownKey())
	if err != nil {
		return errors.Wrap(err, "read the old registration")
	}
	w := platform.Write{Key: r.ownKey(), Value: data, Lease: lease, Expected: old.Revision}
	if _, err := r.Store.Swap(ctx, w); err != nil {
		return errors.Wrap(err, "write the registration")
	}
	r.mu.Lock()
	r.lease = lease
	r.mu.Unlock()
	r.Log.Info().Str("incarnation", r.Self.GetIncarnation()).Msg("registered")
	return nil
}

// Leave removes this entry's registration at the end of a drain.
func (r *Registrar) Leave(ctx context.Context) error {
	_, err := r.Store.Swap(ctx, platform.Write{Key: r.ownKey(), Unconditional: true, Delete: true})
	return err
}

func (r *Registrar) ownKey() string { return platform.EntryPrefix + r.Self.GetName() }

// Apply applies changes of registrations that a watch of the platform delivers.
// Registrations that are missing after a reset of the watch have lapsed, unless
// the platform went back to an older state.
func (r *Registrar) Apply(u watcher.Update) {
	r.mu.Lock()
	seen := map[string]bool{}
	for _, e := range u.Events {
		r.applyEvent(e)
		seen[e.Key] = true
	}
	if u.Reset && !u.Regressed {
		for name, m := range r.members {
			if !seen[platform.EntryPrefix+name] {
				r.markLapsed(name, m)
			}
		}
	}
	r.mu.Unlock()
	r.notifyChanged()
}

// applyEvent applies one change of a registration; the caller holds the lock.
func (r *Registrar) applyEvent(e platform.Event) {
	name := e.Key[len(platform.EntryPrefix):]
	if e.Deleted {
		if m, ok := r.members[name]; ok {
			r.markLapsed(name, m)
		}
		return
	}
	reg := &wire.Registration{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(e.Value, reg); err != nil {
		r.Log.Error().Str("key", e.Key).Err(err).Msg("registration_unreadable")
		return
	}
	if r.members == nil {
		r.members = make(map[string]Member)
	}
	old, known := r.members[name]
	if known && old.GetIncarnation() == reg.GetIncarnation() {
		old.Registered = true
		r.members[name] = old
		return
	}
	if known && old.GetStartedAt().AsTime().After(reg.GetStartedAt().AsTime()) {
		return
	}
	r.members[name] = Member{Registration: reg, Registered: true, ReachableUntil: time.Now().Add(heartbeatTimeout)}
	r.Log.Info().Str("entry", name).Str("incarnation", reg.GetIncarnation()).
		Str("failure_domain", reg.GetFailureDomain()).Msg("member_joined")
}

// markLapsed marks a registration as lapsed; the caller holds the lock.
func (r *Registrar) markLapsed(name string, m Member) {
	if !m.Registered {
		return
	}
	m.Registered = false
	r.members[name] = m
	r.Log.Warn().Str("entry", name).Str("incarnation", m.GetIncarnation()).Msg("registration_lapsed")
}

// Heard applies a peer's heartbeat. It ignores other incarnations than the
// registered one.
func (r *Registrar) Heard(h *wire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[h.GetName()]
	if !ok || m.GetIncarnation() != h.GetIncarnation() {
		return
	}
	m.ReachableUntil = time.Now().Add(heartbeatTimeout)
	// A drain ends with the process; a reply from before it may come later.
	m.Draining = m.Draining || h.GetDraining()
	m.Loads = h.GetLoads()
	r.members[h.GetName()] = m
}

// Hint replaces a peer's load of one service by the one that came with a reply.
// A nil load is ignored.
func (r *Registrar) Hint(name string, load *wire.ServiceLoad) {
	if load == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	if !ok {
		return
	}
	loads := []*wire.ServiceLoad{load}
	for _, l := range m.Loads {
		if l.GetService() != load.GetService() {
			loads = append(loads, l)
		}
	}
	m.Loads = loads
	r.members[name] = m
}

// Learn adds the entries that a peer knows and this entry does not know yet.
func (r *Registrar) Learn(list []*wire.Registration) {
	r.mu.Lock()
	if r.members == nil {
		r.members = make(map[string]Member)
	}
	for _, g := range list {
		if _, known := r.members[g.GetName()]; !known {
			r.members[g.GetName()] = Member{Registration: g, Registered: true, ReachableUntil: time.Now().Add(heartbeatTimeout)}
		}
	}
	r.mu.Unlock()
	r.notifyChanged()
}

// Members returns every known entry, this one included, sorted by name.
func (r *Registrar) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Collect(maps.Values(r.members))
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// Member returns one entry by name.
func (r *Registrar) Member(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	return m, ok
}

// Dead reports whether the death of an incarnation is confirmed.
func (r *Registrar) Dead(name, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	if ok && m.GetIncarnation() != incarnation {
		return true
	}
	return !m.Registered && r.vms.gone(name, time.Now())
}

func (r *Registrar) notifyChanged() {
	if r.Changed != nil {
		r.Changed()
	}
}
