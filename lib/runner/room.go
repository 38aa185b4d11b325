package runner

import (
	"time"

	"radishweir.org/lib/packer"
)

// roomCheckDelay is the time after which an upstream that refused a run for want of
// room may get one again that does not fit into what it is known to have. It exceeds the
// time after which a smaller capacity shows in the registration.
const roomCheckDelay = 2 * time.Second

// room is what an owner learns from runs that an upstream refused for want of room,
// though they fit into the capacity of its registration.
type room struct {
	// withheld is the amount by which the free capacity was lowered.
	withheld packer.Amount
	// checkAt is the time at which withheld is given back, zero if there is none.
	checkAt time.Time
	// checking is true from then until a start was not refused. Meanwhile one start
	// at a time is sent.
	checking bool
}

// available returns the capacity that new runs may use; the caller holds the lock.
func (h *ownedUpstream) available() packer.Amount {
	if !h.room.checking {
		return h.free
	}
	for _, r := range h.runs {
		if r.phase == starting {
			return packer.Amount{}
		}
	}
	return h.free
}

// withholdRoom lowers the free capacity such that a refused amount no longer fits,
// until the registration changes or roomCheckDelay has passed. Runs that end raise it
// as usual. The caller holds the lock.
func (h *ownedUpstream) withholdRoom(refused packer.Amount) {
	excess := excessOver(h.free, refused)
	if excess == (packer.Amount{}) {
		return
	}
	checkAt := time.Now().Add(roomCheckDelay)
	h.free = h.free.Minus(excess)
	h.room = room{withheld: h.room.withheld.Plus(excess), checkAt: checkAt}
	h.log.Info().Int64("cpu", excess.CPU).Int64("memory", excess.Memory).Int64("gpu", excess.GPU).Msg("upstream_has_less_room")
	time.AfterFunc(roomCheckDelay, func() {
		h.mu.Lock()
		defer h.unlock()
		if h.room.checkAt.Equal(checkAt) && !h.released {
			h.restoreRoom()
			h.room.checking = true
		}
	})
}

// restoreRoom gives back what was withheld; the caller holds the lock.
func (h *ownedUpstream) restoreRoom() {
	h.free = h.free.Plus(h.room.withheld)
	h.room = room{}
}

// endRoomCheck ends the check that an upstream has room again; the caller holds the
// lock.
func (h *ownedUpstream) endRoomCheck() {
	h.room.checking = false
}

// excessOver returns what must be taken from the free amount so that it no longer
// holds the refused one. It takes it from the resource that holds the fewest copies, as
// the refusal does not name it.
func excessOver(free, refused packer.Amount) packer.Amount {
	if !free.Holds(refused) {
		return packer.Amount{}
	}
	var out packer.Amount
	fewest := int64(-1)
	try := func(free, refused int64, excess packer.Amount) {
		if refused > 0 && (fewest < 0 || free/refused < fewest) {
			fewest, out = free/refused, excess
		}
	}
	try(free.CPU, refused.CPU, packer.Amount{CPU: free.CPU - refused.CPU + 1})
	try(free.Memory, refused.Memory, packer.Amount{Memory: free.Memory - refused.Memory + 1})
	try(free.GPU, refused.GPU, packer.Amount{GPU: free.GPU - refused.GPU + 1})
	return out
}
