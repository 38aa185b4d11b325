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
	// shrinkDivisor makes a list suspect that lost more than one in this many.
	shrinkDivisor = 2
	// shrinkPatience is how long a shrunk list is doubted.
	shrinkPatience = 60 * time.Second
)

// vmView is the last good VM list and what was seen of each entry's VM.
type vmView struct {
	list *wire.VMList
	// readAt is the time of the last successful read, changed or not.
	readAt time.Time
	// presentAt is the time at which each VM was last on the list.
	presentAt map[string]time.Time
	// startedAt is the time of the first good list.
	startedAt time.Time
	// doubtedSince is the time of the first suspect list in a row.
	doubtedSince time.Time
}

// suspect reports whether next lost so many VMs that it is not believed yet.
// An empty list is never believed while an earlier one held VMs.
func (v *vmView) suspect(next *wire.VMList, now time.Time) bool {
	before, after := len(v.list.GetVms()), len(next.GetVms())
	if after*shrinkDivisor >= before {
		v.doubtedSince = time.Time{}
		return false
	}
	if v.doubtedSince.IsZero() {
		v.doubtedSince = now
	}
	return after == 0 || now.Sub(v.doubtedSince) < shrinkPatience
}

// take records a read of the list; next is nil when it is unchanged.
func (v *vmView) take(next *wire.VMList, now time.Time) {
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

// gone reports whether the VM has been missing from fresh lists for long
// enough that none of its processes can be alive.
func (v *vmView) gone(name string, now time.Time) bool {
	if v.list == nil || !v.doubtedSince.IsZero() || now.Sub(v.readAt) > callTimeout+2*listInterval {
		return false
	}
	seen, ok := v.presentAt[name]
	if !ok {
		seen = v.startedAt
	}
	return now.Sub(seen) > absenceLimit
}

// list reads the VM list once.
func (r *Registrar) list(ctx context.Context) {
	r.mu.Lock()
	since := r.vms.list.GetRevision()
	r.mu.Unlock()
	next, err := r.Lister.VMs(ctx, since)
	if err != nil {
		r.Log.Debug().Err(err).Msg("vm_list_unread")
		return
	}
	now := time.Now()
	r.mu.Lock()
	doubted := !r.vms.doubtedSince.IsZero()
	if next != nil && r.vms.suspect(next, now) {
		r.mu.Unlock()
		if !doubted {
			r.Log.Error().Int("vms", len(next.GetVms())).Msg("vm_list_suspect")
		}
		return
	}
	r.vms.take(next, now)
	r.mu.Unlock()
	if next != nil {
		r.changed()
	}
}

// VMs returns the last good VM list.
func (r *Registrar) VMs() []*wire.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vms.list.GetVms()
}

// Suspect reports whether the VM list shrank so much that it is not believed.
func (r *Registrar) Suspect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.vms.doubtedSince.IsZero()
}
