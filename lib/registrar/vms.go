package registrar

import (
	"context"
	"time"

	"radishweir.org/lib/wire"
)

const (
	// absenceLimit is how long a VM must be missing from the list before it
	// counts as gone. It exceeds the lag of the list.
	absenceLimit = 60 * time.Second
	// shrinkDivisor bounds how much the list may shrink: a list is suspect if it
	// has fewer VMs than the last accepted list has, divided by shrinkDivisor.
	shrinkDivisor = 2
	// shrinkTimeout is how long suspect lists are rejected before one is accepted.
	// An empty suspect list is never accepted.
	shrinkTimeout = 60 * time.Second
)

// vmView is the last accepted VM list and when each VM was last on it.
type vmView struct {
	list *wire.VMList
	// readAt is the time of the last accepted read, also of an unchanged list.
	readAt time.Time
	// presentAt is the time of the last read with each VM on the list, by name.
	presentAt map[string]time.Time
	// startedAt is the time of the first accepted read.
	startedAt time.Time
	// suspectSince is the time of the first of the suspect lists in a row; zero if
	// the last list was not suspect.
	suspectSince time.Time
}

// suspect reports whether next lost so many VMs that it is not accepted yet. An
// empty list is never accepted while the last accepted one held VMs.
func (v *vmView) suspect(next *wire.VMList, now time.Time) bool {
	before, after := len(v.list.GetVms()), len(next.GetVms())
	if after*shrinkDivisor >= before {
		v.suspectSince = time.Time{}
		return false
	}
	if v.suspectSince.IsZero() {
		v.suspectSince = now
	}
	return after == 0 || now.Sub(v.suspectSince) < shrinkTimeout
}

// accept records an accepted read of the list; next is nil if it is unchanged.
func (v *vmView) accept(next *wire.VMList, now time.Time) {
	if v.presentAt == nil {
		v.presentAt = make(map[string]time.Time)
		v.startedAt = now
	}
	if next != nil {
		v.list = next
	}
	v.readAt = now
	for _, vm := range v.list.GetVms() {
		v.presentAt[vm.GetName()] = now
	}
}

// gone reports whether the VM has been missing from recent lists for so long that
// none of its processes can be alive. It returns false while the list is suspect
// or its last accepted read is too old.
func (v *vmView) gone(name string, now time.Time) bool {
	if v.list == nil || !v.suspectSince.IsZero() || now.Sub(v.readAt) > callTimeout+2*listInterval {
		return false
	}
	seen, ok := v.presentAt[name]
	if !ok {
		seen = v.startedAt
	}
	return now.Sub(seen) > absenceLimit
}

// readVMList reads the VM list once and keeps it unless it is suspect.
func (r *Registrar) readVMList(ctx context.Context) {
	r.mu.Lock()
	revision := r.vms.list.GetRevision()
	r.mu.Unlock()
	next, err := r.Lister.VMs(ctx, revision)
	if err != nil {
		r.Log.Debug().Err(err).Msg("vm_list_unread")
		return
	}
	now := time.Now()
	r.mu.Lock()
	wasSuspect := !r.vms.suspectSince.IsZero()
	if next != nil && r.vms.suspect(next, now) {
		r.mu.Unlock()
		if !wasSuspect {
			r.Log.Error().Int("vms", len(next.GetVms())).Msg("vm_list_suspect")
		}
		return
	}
	r.vms.accept(next, now)
	r.mu.Unlock()
	if next != nil {
		r.notifyChanged()
	}
}

// VMs returns the last accepted VM list.
func (r *Registrar) VMs() []*wire.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vms.list.GetVms()
}

// VMListSuspect reports whether the VM list shrank so much that it is not accepted.
func (r *Registrar) VMListSuspect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.vms.suspectSince.IsZero()
}
