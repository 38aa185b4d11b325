package enroller

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"radishweir.org/lib/platform"
)

const (
	// holderSeconds is the life of an identity that is not renewed. Outages of the
	// store are usually shorter, and do not stop kept jobs.
	holderSeconds = 8
	// holderMark stands between the name of an entry and the number of an
	// identity.
	holderMark = "@"
)

// holding is the identity under which an entry keeps jobs. It is a key of its
// own, under a longer lease than the registration; others take the jobs over
// only when it is gone.
type holding struct {
	// holder is empty while there is none.
	holder      string
	holderLease int64
	// validUntil is the time since boot at which the lease may have ended.
	validUntil time.Duration
	// holders are all identities in the store.
	holders map[string]bool
	// taking lets one call at a time take an identity.
	taking sync.Mutex
	// heir is true once identities of earlier lives were removed.
	heir bool
}

// sinceBoot is a clock that goes on while the VM is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// Holder returns the identity under which this entry keeps jobs; empty if it has
// none or others may have taken its jobs over.
func (e *Enroller) Holder() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sinceBoot() >= e.validUntil {
		return ""
	}
	return e.holder
}

// Holders returns the identities that are in the store.
func (e *Enroller) Holders() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]bool, len(e.holders)+1)
	for name := range e.holders {
		out[name] = true
	}
	if e.holder != "" {
		out[e.holder] = true
	}
	return out
}

// Hold returns the identity of this entry, and takes one if it has none. On an
// error nothing can be kept.
func (e *Enroller) Hold(ctx context.Context) (string, error) {
	if h := e.Holder(); h != "" {
		return h, nil
	}
	e.taking.Lock()
	defer e.taking.Unlock()
	if h := e.Holder(); h != "" {
		return h, nil
	}
	e.mu.Lock()
	expired := e.holder
	e.mu.Unlock()
	if expired != "" {
		e.loseHolder(expired, "not renewed in time")
	}
	asked := sinceBoot()
	lease, err := e.Store.Grant(ctx, holderSeconds)
	if err != nil {
		return "", errors.Wrap(err, "lease")
	}
	name := fmt.Sprintf("%s%s%d", e.Self.GetName(), holderMark, lease)
	w := platform.Write{Key: platform.EntryPrefix + name, Value: []byte(e.Self.GetIncarnation()), Lease: lease, Unconditional: true}
	if _, err := e.Store.Swap(ctx, w); err != nil {
		return "", errors.Wrap(err, "write")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holder, e.holderLease, e.validUntil = name, lease, asked+holderSeconds*time.Second
	e.Log.Info().Str("holder", name).Msg("holder_taken")
	return name, nil
}

// renewHolder keeps the identity alive, and ends it when its lease is gone or may
// be.
func (e *Enroller) renewHolder(ctx context.Context) {
	e.mu.Lock()
	holder, lease, until := e.holder, e.holderLease, e.validUntil
	e.mu.Unlock()
	if holder == "" {
		return
	}
	asked := sinceBoot()
	if asked >= until {
		e.loseHolder(holder, "not renewed in time")
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	alive, err := e.Store.KeepAlive(call, lease)
	switch {
	case err != nil:
		e.noteRenewal(err)
	case !alive:
		e.loseHolder(holder, "its lease is gone")
	default:
		e.mu.Lock()
		if e.holder == holder {
			e.validUntil = asked + holderSeconds*time.Second
		}
		e.mu.Unlock()
	}
}

// loseHolder ends the identity.
func (e *Enroller) loseHolder(holder, why string) {
	e.mu.Lock()
	if e.holder != holder {
		e.mu.Unlock()
		return
	}
	e.holder, e.validUntil = "", 0
	e.mu.Unlock()
	e.Log.Warn().Str("holder", holder).Str("reason", why).Msg("holder_lost")
	if e.Lost != nil {
		e.Lost()
	}
}

// ReleaseHolder ends the identity at once, so that others take the jobs over.
func (e *Enroller) ReleaseHolder(ctx context.Context) error {
	e.mu.Lock()
	holder := e.holder
	e.mu.Unlock()
	if holder == "" {
		return nil
	}
	e.loseHolder(holder, "released")
	return e.removeHolder(ctx, holder)
}

func (e *Enroller) removeHolder(ctx context.Context, holder string) error {
	_, err := e.Store.Swap(ctx, platform.Write{Key: platform.EntryPrefix + holder, Unconditional: true, Delete: true})
	return err
}

// Inherit removes the identities of earlier lives of this entry, whose processes
// have certainly ended.
func (e *Enroller) Inherit(ctx context.Context) {
	e.mu.Lock()
	var old []string
	for name := range e.holders {
		if strings.HasPrefix(name, e.Self.GetName()+holderMark) && name != e.holder {
			old = append(old, name)
		}
	}
	first := !e.heir
	e.heir = true
	e.mu.Unlock()
	if !first {
		return
	}
	for _, name := range old {
		if err := e.removeHolder(ctx, name); err != nil {
			// It lapses by itself.
			e.Log.Warn().Str("holder", name).Err(err).Msg("holder_not_removed")
		}
	}
}

// applyHolder takes a change of an identity; the caller holds the lock.
func (e *Enroller) applyHolder(name string, v platform.Event) {
	if e.holders == nil {
		e.holders = make(map[string]bool)
	}
	if v.Deleted {
		delete(e.holders, name)
		e.Log.Info().Str("holder", name).Int64("revision", v.Revision).Msg("holder_gone")
		return
	}
	e.holders[name] = true
}
