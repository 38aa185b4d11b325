// Package configurer holds the configuration that is in force on one entry.
//
// A configuration arrives from the platform or from another entry. From either
// source it is accepted only if its revision is higher than the one in force, so
// a configuration never reverts. If the platform holds a lower revision than the
// entry, for example after it was restored from a backup, the entry writes its
// own revision back.
//
// # Usage
//
//	c := &configurer.Configurer{Store: store, Log: log, Changed: dispatcher.Configure}
//	w.On(platform.ConfigurationPrefix, c.Apply)
//	service := c.Service("claims")
package configurer

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// Service is the configuration of one service.
type Service = wire.ServiceConfiguration

// restoreTimeout bounds one write that restores a revision in the platform.
const restoreTimeout = 5 * time.Second

// Configurer holds every service's configuration. Exported fields are set
// before the first call.
type Configurer struct {
	// Store is the platform's key-value service, in which missing or lower
	// revisions are overwritten. If it is nil, nothing is restored.
	Store platform.Store
	// Log receives events.
	Log zerolog.Logger
	// Changed, if set, is called after a configuration has come into force.
	Changed func(*Service)

	mu       sync.RWMutex
	services map[string]heldConfig
}

// heldConfig is a configuration and the platform's revision of its key, which is
// 0 if the configuration came from another entry.
type heldConfig struct {
	service     *Service
	keyRevision int64
}

// Key returns the platform's key of a service's configuration.
func Key(service string) string { return platform.ConfigurationPrefix + service }

// Encode returns the stored form of a configuration.
func Encode(s *Service) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(s)
}

// Decode parses the stored form of a configuration.
func Decode(data []byte) (*Service, error) {
	s := &Service{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if s.GetService() == "" || s.GetRevision() == 0 {
		return nil, errors.New("configuration without service or revision")
	}
	return s, nil
}

// Apply processes changes from the platform.
func (c *Configurer) Apply(u watcher.Update) {
	seen := map[string]bool{}
	for _, e := range u.Events {
		if e.Deleted {
			continue
		}
		s, err := Decode(e.Value)
		if err != nil {
			c.Log.Error().Str("key", e.Key).Err(err).Msg("configuration_unreadable")
			continue
		}
		seen[s.GetService()] = true
		c.acceptIfNewer(s, e.Revision)
	}
	c.restoreMissing(u, seen)
}

// restoreMissing writes back configurations that the platform no longer holds.
func (c *Configurer) restoreMissing(u watcher.Update, seen map[string]bool) {
	for _, e := range u.Events {
		if e.Deleted {
			c.restore(strings.TrimPrefix(e.Key, platform.ConfigurationPrefix), 0)
		}
	}
	if !u.Reset {
		return
	}
	for _, s := range c.All() {
		if !seen[s.GetService()] {
			c.restore(s.GetService(), 0)
		}
	}
}

// Offer accepts those configurations of another entry that are newer.
func (c *Configurer) Offer(set *wire.ConfigurationSet) {
	for _, s := range set.GetServices() {
		c.acceptIfNewer(s, 0)
	}
}

// acceptIfNewer puts s in force if its revision is higher than the one in force.
// If the platform offers a lower revision, acceptIfNewer restores the one in
// force there.
func (c *Configurer) acceptIfNewer(s *Service, keyRevision int64) {
	c.mu.Lock()
	if c.services == nil {
		c.services = make(map[string]heldConfig)
	}
	old := c.services[s.GetService()]
	if s.GetRevision() > old.service.GetRevision() {
		c.services[s.GetService()] = heldConfig{s, keyRevision}
		c.mu.Unlock()
		c.Log.Info().Str("service", s.GetService()).Uint64("revision", s.GetRevision()).
			Str("author", s.GetAuthor()).Bool("from_peer", keyRevision == 0).Msg("configuration_in_force")
		if c.Changed != nil {
			c.Changed(s)
		}
		return
	}
	c.mu.Unlock()
	if keyRevision != 0 && s.GetRevision() < old.service.GetRevision() {
		c.Log.Error().Str("service", s.GetService()).Uint64("offered", s.GetRevision()).
			Uint64("in_force", old.service.GetRevision()).Msg("configuration_revert_refused")
		c.restore(s.GetService(), keyRevision)
	}
}

// restore overwrites a lower or missing revision in the platform with the
// configuration in force.
func (c *Configurer) restore(service string, expected int64) {
	s := c.Service(service)
	if s == nil || c.Store == nil {
		return
	}
	data, err := Encode(s)
	if err != nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
		defer cancel()
		w := platform.Write{Key: Key(service), Value: data, Expected: expected}
		_, err := c.Store.Swap(ctx, w)
		c.Log.Warn().Str("service", service).Uint64("revision", s.GetRevision()).AnErr("result", err).
			Msg("configuration_restored")
	}()
}

// Service returns the configuration in force, or nil.
func (c *Configurer) Service(name string) *Service {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.services[name].service
}

// All returns the configurations in force, sorted by service name.
func (c *Configurer) All() []*Service {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]*Service, 0, len(c.services))
	for _, h := range c.services {
		out = append(out, h.service)
	}
	slices.SortFunc(out, func(a, b *Service) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return out
}

// Revisions returns the revisions in force, sorted by service name.
func (c *Configurer) Revisions() []*wire.ServiceRevision {
	all := c.All()
	out := make([]*wire.ServiceRevision, 0, len(all))
	for _, s := range all {
		out = append(out, &wire.ServiceRevision{Service: s.GetService(), Revision: s.GetRevision()})
	}
	return out
}

// Behind reports whether the peer that sent h holds a newer configuration than
// this entry.
func (c *Configurer) Behind(h *wire.Heartbeat) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, r := range h.GetRevisions() {
		if r.GetRevision() > c.services[r.GetService()].service.GetRevision() {
			return true
		}
	}
	return false
}
