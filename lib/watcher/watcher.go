// Package watcher watches all keys of radishweir in the platform's store.
//
// One watch per process covers configurations, registrations and shard tables.
// The watcher lists the prefix once, watches from that revision, and starts
// over after an error. Jitter spreads the reconnects of the entries over time.
//
// # Usage
//
//	w := &watcher.Watcher{Store: store, Prefix: platform.Prefix, Log: log}
//	w.On(platform.EntryPrefix, members.Apply)
//	go w.Run(ctx)
//
// After each list every subscriber gets a Reset with all keys below its
// prefix; a key missing there was deleted. If the Revision of a Reset is lower
// than one seen before, the store has gone back to an earlier state: Regressed
// is set, and the Reset is suspect.
package watcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
)

const (
	// firstBackoff is the mean wait before the first reconnect.
	firstBackoff = 200 * time.Millisecond
	// lastBackoff is the longest mean wait between reconnects.
	lastBackoff = 5 * time.Second
	// listTimeout limits each list of the prefix.
	listTimeout = 10 * time.Second
)

// Update is a batch of changes below one prefix.
type Update struct {
	// Reset is true if Events holds every key below the prefix; keys that it does
	// not hold no longer exist.
	Reset bool
	// Regressed is true if Revision is lower than one seen before. Only a Reset
	// sets it.
	Regressed bool
	// Revision is the store's revision after the changes.
	Revision int64
	// Events are the changes, oldest first.
	Events []platform.Event
}

type subscription struct {
	prefix string
	apply  func(Update)
}

// Watcher watches one prefix. Exported fields are set before Run.
type Watcher struct {
	// Store is the platform's key-value service.
	Store platform.Store
	// Prefix is the common prefix of all subscriptions.
	Prefix string
	// Pace is the wait after each batch with changes before the next batch is
	// requested, so that changes are gathered meanwhile; 0 means no wait.
	Pace time.Duration
	// LongestBackoff is the longest mean wait between reconnects; 0 means
	// lastBackoff.
	LongestBackoff time.Duration
	// Log receives log events.
	Log zerolog.Logger

	subscriptions   []subscription
	highestRevision int64
	connected       atomic.Bool
	lastMessageAt   atomic.Int64
}

// On subscribes apply to changes below prefix. It must be called before Run.
func (w *Watcher) On(prefix string, apply func(Update)) {
	w.subscriptions = append(w.subscriptions, subscription{prefix, apply})
}

// Connected reports whether the prefix was listed and is being watched.
func (w *Watcher) Connected() bool { return w.connected.Load() }

// Heard returns the time of the last message from the platform.
func (w *Watcher) Heard() time.Time { return time.Unix(0, w.lastMessageAt.Load()) }

// Run watches the prefix until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := w.follow(ctx, func() { backoff = firstBackoff })
		if w.connected.Swap(false) && ctx.Err() == nil {
			w.Log.Warn().Str("prefix", w.Prefix).Err(err).Msg("platform_watch_lost")
		}
		if !sleep(ctx, Jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, cmp.Or(w.LongestBackoff, lastBackoff))
	}
}

// follow lists the prefix and watches it until an error. It calls resetBackoff
// after a successful list.
func (w *Watcher) follow(ctx context.Context, resetBackoff func()) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	s, err := w.Store.List(listCtx, w.Prefix)
	cancel()
	if err != nil {
		return err
	}
	w.reset(s)
	resetBackoff()
	return w.Store.Watch(ctx, w.Prefix, s.Revision+1, func(batch []platform.Event, revision int64) {
		w.recordMessage(revision)
		w.publish(batch, revision)
		if len(batch) > 0 && w.Pace > 0 {
			sleep(ctx, w.Pace)
		}
	})
}

// reset passes a full listing to every subscriber.
func (w *Watcher) reset(s platform.Snapshot) {
	regressed := s.Revision < w.highestRevision
	if regressed {
		w.Log.Error().Int64("revision", s.Revision).Int64("highest", w.highestRevision).Msg("platform_went_back")
	}
	w.recordMessage(s.Revision)
	if !w.connected.Swap(true) {
		w.Log.Info().Str("prefix", w.Prefix).Int64("revision", s.Revision).Msg("platform_watch_up")
	}
	events := make([]platform.Event, 0, len(s.KeyValues))
	for _, kv := range s.KeyValues {
		events = append(events, platform.Event{KeyValue: kv})
	}
	for _, sub := range w.subscriptions {
		sub.apply(Update{Reset: true, Regressed: regressed, Revision: s.Revision, Events: withPrefix(sub.prefix, events)})
	}
}

// publish passes each subscriber the events of a batch below its prefix.
func (w *Watcher) publish(batch []platform.Event, revision int64) {
	for _, sub := range w.subscriptions {
		if events := withPrefix(sub.prefix, batch); len(events) > 0 {
			sub.apply(Update{Revision: revision, Events: events})
		}
	}
}

func (w *Watcher) recordMessage(revision int64) {
	w.highestRevision = max(w.highestRevision, revision)
	w.lastMessageAt.Store(time.Now().UnixNano())
}

// withPrefix returns the events whose key starts with prefix.
func withPrefix(prefix string, events []platform.Event) []platform.Event {
	var out []platform.Event
	for _, e := range events {
		if strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// Jitter returns a random duration between half of d and one and a half of d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits for d and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
