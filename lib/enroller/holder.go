package enroller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
)

const (
	// holderLeaseSeconds is the time to live of a holder's lease. Most outages
	// of the store are shorter and therefore don't stop kept jobs.
	holderLeaseSeconds = 8
	// holderSeparator separates the entry's name and the lease number in a holder.
	holderSeparator = "@"
	// goneRetention is how long the time at which a holder was gone is kept at least.
	goneRetention = time.Minute
	// holderNotRenewed and holderKeyRemoved are the reasons in the log for the loss of a
	// holder whose lease may have ended, and of one whose key is gone.
	holderNotRenewed = "not renewed in time"
	holderKeyRemoved = "its key was removed"
)

// holderState is the state of this entry's holder and the list of all holders.
// A holder is a key of its own, with a longer lease than the registration.
// Other entries take over its jobs only after that key is gone.
type holderState struct {
	// holder is empty while this entry has none.
	holder      string
	holderLease int64
	// holderRevision is the revision of the store that wrote the holder's key.
	holderRevision int64
	holderTerm     leaseTerm
	// holders are all holders in the store.
	holders map[string]bool
	// goneAt holds, by entry, the time at which this entry learned that a holder is gone.
	goneAt map[string]time.Time
	// acquiring serializes the acquisition of a holder.
	acquiring sync.Mutex
	// oldHoldersRemoved is true once RemoveOldHolders was called.
	oldHoldersRemoved bool
}

// Holder returns the holder of this entry, or "" if it has none or its lease may
// have ended, so that other entries may have taken over its jobs.
func (e *Enroller) Holder() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holderTerm.lasts() {
		return ""
	}
	return e.holder
}

// Holders returns the holders that are in the store. It always includes the holder
// of this entry.
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

// HolderListed reports whether a holder is in the store, as far as this entry knows; it is true
// before the first list. Other entries take over the jobs of one that is not.
func (e *Enroller) HolderListed(holder string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holders == nil || e.holders[holder] || e.holder == holder
}

// HolderExists reads from the store whether a holder is there.
func (e *Enroller) HolderExists(ctx context.Context, holder string) (bool, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := e.Store.Get(call, platform.EntryPrefix+holder)
	return kv.Revision != 0, err
}

// HadHolder reports whether a holder of an entry, by its name, is in the store, or was there
// after the given time as far as this entry knows.
func (e *Enroller) HadHolder(entry string, after time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.goneAt[entry].After(after) {
		return true
	}
	for name := range e.holders {
		if entryOf(name) == entry {
			return true
		}
	}
	return false
}

// entryOf returns the name of the entry that a holder belongs to.
func entryOf(holder string) string {
	name, _, _ := strings.Cut(holder, holderSeparator)
	return name
}

// EnsureHolder returns the holder of this entry, and acquires one if there is
// none. After an error this entry cannot accept kept jobs.
func (e *Enroller) EnsureHolder(ctx context.Context) (string, error) {
	if h := e.Holder(); h != "" {
		return h, nil
	}
	e.acquiring.Lock()
	defer e.acquiring.Unlock()
	if h := e.Holder(); h != "" {
		return h, nil
	}
	e.mu.Lock()
	expired := e.holder
	e.mu.Unlock()
	if expired != "" {
		e.dropHolder(expired, holderNotRenewed)
	}
	requested := sinceBoot()
	lease, err := e.Store.Grant(ctx, holderLeaseSeconds)
	if err != nil {
		return "", errors.Wrap(err, "lease")
	}
	name := fmt.Sprintf("%s%s%d", e.Self.GetName(), holderSeparator, lease)
	w := platform.Write{Key: platform.EntryPrefix + name, Value: []byte(e.Self.GetIncarnation()), Lease: lease, Unconditional: true}
	revision, err := e.Store.Swap(ctx, w)
	if err != nil {
		return "", errors.Wrap(err, "write")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holder, e.holderLease, e.holderRevision = name, lease, revision
	e.extendHolder(name, requested)
	e.Log.Info().Str("holder", name).Msg("holder_taken")
	return name, nil
}

// holderRemoved reports whether an update shows that the key of this entry's holder is gone,
// although the lease may still be renewed: other entries take over the jobs. A list that is
// older than the key does not. The caller holds the lock and has applied the update.
func (e *Enroller) holderRemoved(u watcher.Update) bool {
	if e.holder == "" || e.holders[e.holder] {
		return false
	}
	if u.Reset {
		return u.Revision > e.holderRevision
	}
	return slices.ContainsFunc(u.Events, func(v platform.Event) bool {
		return v.Deleted && v.Key == platform.EntryPrefix+e.holder
	})
}

// renewHolder renews the lease of the holder, and drops the holder if the lease has
// ended or may have ended.
func (e *Enroller) renewHolder(ctx context.Context) {
	e.mu.Lock()
	holder, lease := e.holder, e.holderLease
	e.mu.Unlock()
	if holder == "" {
		return
	}
	requested := sinceBoot()
	if !e.holderTerm.lasts() {
		// The VM may have been suspended, which the timer of the term does not count.
		e.dropHolder(holder, holderNotRenewed)
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	alive, err := e.Store.KeepAlive(call, lease)
	switch {
	case err != nil:
		e.logRenewal(err)
	case !alive:
		e.dropHolder(holder, "lease ended")
	default:
		e.mu.Lock()
		if e.holder == holder {
			e.extendHolder(holder, requested)
		}
		e.mu.Unlock()
	}
}

// extendHolder extends the term of the holder's lease after a renewal that was sent at
// the given time since boot. The caller holds the lock.
func (e *Enroller) extendHolder(holder string, requested time.Duration) {
	e.holderTerm.extend(requested+holderLeaseSeconds*time.Second, func() { e.dropHolder(holder, holderNotRenewed) })
}

// dropHolder drops the holder and calls HolderLost, unless holder is no longer the
// current one.
func (e *Enroller) dropHolder(holder, reason string) {
	e.mu.Lock()
	if e.holder != holder {
		e.mu.Unlock()
		return
	}
	e.holder = ""
	e.holderTerm.end()
	e.mu.Unlock()
	e.Log.Warn().Str("holder", holder).Str("reason", reason).Msg("holder_lost")
	if e.HolderLost != nil {
		e.HolderLost()
	}
}

// ReleaseHolder drops the holder and removes its key, so that other entries
// take over its jobs at once.
func (e *Enroller) ReleaseHolder(ctx context.Context) error {
	e.mu.Lock()
	holder := e.holder
	e.mu.Unlock()
	if holder == "" {
		return nil
	}
	e.dropHolder(holder, "released")
	return e.removeHolder(ctx, holder)
}

func (e *Enroller) removeHolder(ctx context.Context, holder string) error {
	_, err := e.Store.Swap(ctx, platform.Write{Key: platform.EntryPrefix + holder, Unconditional: true, Delete: true})
	return err
}

// RemoveOldHolders removes the holders of earlier incarnations of this entry,
// whose processes have certainly ended. Only the first call has an effect.
func (e *Enroller) RemoveOldHolders(ctx context.Context) {
	e.mu.Lock()
	var old []string
	for name := range e.holders {
		if strings.HasPrefix(name, e.Self.GetName()+holderSeparator) && name != e.holder {
			old = append(old, name)
		}
	}
	first := !e.oldHoldersRemoved
	e.oldHoldersRemoved = true
	e.mu.Unlock()
	if !first {
		return
	}
	for _, name := range old {
		if err := e.removeHolder(ctx, name); err != nil {
			// The key disappears when its lease ends.
			e.Log.Warn().Str("holder", name).Err(err).Msg("holder_not_removed")
		}
	}
}

// applyHolder applies a change of a holder. The caller holds the lock.
func (e *Enroller) applyHolder(name string, v platform.Event) {
	if e.holders == nil {
		e.holders = make(map[string]bool)
	}
	if v.Deleted {
		e.recordGone(name)
		delete(e.holders, name)
		e.Log.Info().Str("holder", name).Int64("revision", v.Revision).Msg("holder_gone")
		return
	}
	e.holders[name] = true
}

// resetHolders replaces the list of all holders by an empty one, before those that are in
// the store are applied. The caller holds the lock.
func (e *Enroller) resetHolders() {
	for name := range e.holders {
		e.recordGone(name)
	}
	e.holders = make(map[string]bool)
}

// recordGone records that a holder is gone, unless it is not known. The caller holds the
// lock.
func (e *Enroller) recordGone(name string) {
	if !e.holders[name] {
		return
	}
	now := time.Now()
	if e.goneAt == nil {
		e.goneAt = make(map[string]time.Time)
	}
	maps.DeleteFunc(e.goneAt, func(_ string, at time.Time) bool { return now.Sub(at) > goneRetention })
	e.goneAt[entryOf(name)] = now
}
