package coordinator

import (
	"time"

	"radishweir.org/lib/wire"
)

// Reasons why a run counts as over without an end that its upstream listed.
const (
	reportedByOwner  = "its owner reported it"
	silentOwner      = "its owner was silent for longer than a lease"
	unlistedUpstream = "its upstream is not listed and was given up for longer than a lease"
	vanishedUpstream = "its upstream is gone and has no owner"
)

// logGivenUp logs that the run of a placed task counts as over though its upstream did not
// list the end; the task may run again. The caller holds the lock.
func (c *Coordinator) logGivenUp(t *task, cause wire.RunEnd_Cause, reason string) {
	log := &c.givenUp
	switch cause {
	case wire.RunEnd_done, wire.RunEnd_failed, wire.RunEnd_stopped:
		return
	case wire.RunEnd_no_room, wire.RunEnd_refused:
		log = &c.rejections
	}
	line := log.Info()
	if !line.Enabled() {
		return
	}
	now := time.Now()
	line.Str("task", t.name()).Uint64("run", t.run).Str("upstream", t.upstream).Int64("incarnation", t.incarnation).
		Str("owner", t.owner).Int64("owned_ms", now.Sub(t.ownedAt).Milliseconds()).Stringer("cause", cause).Str("reason", reason)
	if s := c.upstreams[t.upstream]; s != nil {
		line.Str("claimed_by", s.owner).Int64("token", s.token).Int64("state_age_ms", sinceOrNever(now, s.updatedAt)).Bool("listed", s.unlistedSince.IsZero())
	}
	if l := c.peers[t.owner]; l != nil {
		line.Bool("owner_up", l.up)
	}
	line.Msg("run_given_up")
}
