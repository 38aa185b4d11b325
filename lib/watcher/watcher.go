// Package watcher follows all keys of radishweir in the platform.
//
// One watch per process covers configurations, registrations and shard tables.
// The watcher lists the prefix once, watches from that revision, and starts
// over after an error. Reconnects are spread by jitter.
//
// # Usage
//
//	w := &watcher.Watcher{Store: store, Prefix: platform.Prefix, Log: log}
//	w.On(platform.EntryPrefix, members.Apply)
//	go w.Run(ctx)
//
// After each list every subscriber gets a Reset with all keys below its
// prefix; a key missing there was deleted. A Reset is suspect when the store
// has gone back in time: its Revision is then lower than one seen before.
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
	// listTimeout bounds the initial read.
	listTimeout = 10 * time.Second
)

// Update is a batch of changes below one prefix.
type Update struct {
	// Reset is true when Events holds every key and all others are gone.
	Reset bool
	// Regressed is true when the store's revision went back.
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

// Watcher follows one prefix. Exported fields are set before Run.
type Watcher struct {
	// Store is the platform's key-value service.
	Store platform.Store
	// Prefix is the common prefix of all subscriptions.
	Prefix string
	// Pace is the time that changes are gathered for before the next batch is
	// asked for; 0 takes each at once.
	Pace time.Duration
	// LongestBackoff is the longest mean wait between reconnects; 0 takes
	// lastBackoff.
	LongestBackoff time.Duration
	// Log receives events.
	Log zerolog.Logger

	subscriptions []subscription
	highest       int64
	connected     atomic.Bool
	heard         atomic.Int64
}

// On subscribes apply to changes below prefix. It must be called before Run.
func (w *Watcher) On(prefix string, apply func(Update)) {
	w.subscriptions = append(w.subscriptions, subscription{prefix, apply})
}

// Connected reports whether the watch is up.
func (w *Watcher) Connected() bool { return w.connected.Load() }

// Heard returns the time of the last message from the platform.
func (w *Watcher) Heard() time.Time { return time.Unix(0, w.heard.Load()) }

// Run follows the prefix until ctx ends.
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

// follow lists and watches once.
func (w *Watcher) follow(ctx context.Context, up func()) error {
	listing, cancel := context.WithTimeout(ctx, listTimeout)
	s, err := w.Store.List(listing, w.Prefix)
	cancel()
	if err != nil {
		return err
	}
	w.reset(s)
	up()
	return w.Store.Watch(ctx, w.Prefix, s.Revision+1, func(batch []platform.Event, revision int64) {
		w.touch(revision)
		w.publish(batch, revision)
		if len(batch) > 0 && w.Pace > 0 {
			sleep(ctx, w.Pace)
		}
	})
}

// reset hands a full listing to every subscriber.
func (w *Watcher) reset(s platform.Snapshot) {
	regressed := s.Revision < w.highest
	if regressed {
		w.Log.Error().Int64("revision", s.Revision).Int64("highest", w.highest).Msg("platform_went_back")
	}
	w.touch(s.Revision)
	if !w.connected.Swap(true) {
		w.Log.Info().Str("prefix", w.Prefix).Int64("revision", s.Revision).Msg("platform_watch_up")
	}
	events := make([]platform.Event, 0, len(s.KeyValues))
	for _, kv := range s.KeyValues {
		events = append(events, platform.Event{KeyValue: kv})
	}
	for _, sub := range w.subscriptions {
		sub.apply(Update{Reset: true, Regressed: regressed, Revision: s.Revision, Events: below(sub.prefix, events)})
	}
}

// publish hands a batch to the subscribers that it concerns.
func (w *Watcher) publish(batch []platform.Event, revision int64) {
	for _, sub := range w.subscriptions {
		if events := below(sub.prefix, batch); len(events) > 0 {
			sub.apply(Update{Revision: revision, Events: events})
		}
	}
}

func (w *Watcher) touch(revision int64) {
	w.highest = max(w.highest, revision)
	w.heard.Store(time.Now().UnixNano())
}

// below returns the events whose key starts with prefix.
func below(prefix string, events []platform.Event) []platform.Event {
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
