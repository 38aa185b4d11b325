package messenger

import (
	"context"
	"time"

	"radishweir.org/lib/wire"
)

const (
	// idleInterval is the maximum time between two frames to a peer with which this
	// entry has no work in progress.
	idleInterval = time.Second
	// idleSilenceLimit is the time without a frame after which an idle peer counts
	// as down.
	idleSilenceLimit = 2500 * time.Millisecond
	// activePeriod is how long a peer stays active after the last message to it, or
	// after runs were last found to link both.
	activePeriod = 2 * time.Second
	// minStateDelay and maxStateDelay bound the time for which changes of upstream
	// states are batched before they are sent. Run requests and reports of ended
	// runs are not delayed.
	minStateDelay = 3 * time.Millisecond
	maxStateDelay = 100 * time.Millisecond
	// stateDelayInterval is the time between two adjustments of the delay to the
	// number of active peers.
	stateDelayInterval = 200 * time.Millisecond
)

// pace decides how often frames are exchanged with one peer. The mutex of the peer
// protects it.
type pace struct {
	near bool
	// activeUntil is the end of the current period of activity.
	activeUntil time.Time
	// neededSince is the time since which this entry needs frequent frames from the
	// peer; zero if it does not.
	neededSince time.Time
	// peerNeeds is true while the peer needs frequent frames.
	peerNeeds bool
	// incoming is the connection that the peer dialled, nil if there is none.
	incoming *incoming
	// receivedAt is the time of the last frame from the peer, and promised the
	// maximum time until the next one.
	receivedAt time.Time
	promised   time.Duration
	// peerSentMs is the highest time of sending that the peer named on the connection.
	peerSentMs int64
	// aliveMs is the highest time by uptime at which the peer is known to have sent a
	// frame.
	aliveMs int64
	// sentMs are the times by uptime of the last two frames to the peer.
	sentMs [2]int64
	// stateInterval is the shortest interval at which the peer wants frames that
	// only carry upstream states.
	stateInterval time.Duration
}

// needed reports whether this entry needs frequent frames from the peer.
func (c *pace) needed(now time.Time) bool { return c.near || now.Before(c.activeUntil) }

// interval returns the maximum time between two frames to the peer. A peer that
// doesn't understand promises always gets frequent frames.
func (c *pace) interval(now time.Time) time.Duration {
	if c.needed(now) || c.peerNeeds || c.incoming == nil || !c.incoming.variableInterval {
		return heartbeatInterval
	}
	return idleInterval
}

// activate starts or extends the period of activity.
func (c *pace) activate(now time.Time) {
	c.activeUntil = now.Add(activePeriod)
	c.require(now)
}

// require records that frequent frames are needed from now on. Unless they were
// needed before, the peer's silence is measured from now.
func (c *pace) require(now time.Time) {
	if !c.neededSince.IsZero() {
		return
	}
	c.neededSince = now
	c.limitSilence(now)
}

// limitSilence sets the time at which the peer counts as silent.
func (c *pace) limitSilence(now time.Time) {
	if c.incoming != nil {
		_ = c.incoming.conn.SetReadDeadline(c.silentAt(now))
	}
}

// silentAt returns the time at which the peer counts as silent unless a frame
// arrives before.
func (c *pace) silentAt(now time.Time) time.Time {
	limit := SilenceLimit
	if c.promised > heartbeatInterval {
		limit = idleSilenceLimit
	}
	at := c.receivedAt.Add(limit)
	if !c.needed(now) {
		return at
	}
	since := c.receivedAt
	if c.neededSince.After(since) {
		since = c.neededSince
	}
	if urgent := since.Add(SilenceLimit); urgent.Before(at) {
		return urgent
	}
	return at
}

// adopt sets the connection on which frames of the peer arrive.
func (c *pace) adopt(in *incoming) {
	c.incoming, c.receivedAt, c.promised, c.peerNeeds, c.peerSentMs = in, time.Now(), 0, false, 0
	c.limitSilence(c.receivedAt)
}

// received records a frame of the peer and returns true if the peer needs a frame
// earlier than the last one promised.
func (c *pace) received(f *wire.PeerFrame, now time.Time) bool {
	before := c.interval(now)
	c.receivedAt, c.promised = now, time.Duration(f.GetNextFrameMs())*time.Millisecond
	c.peerNeeds = f.GetWantsHeartbeats()
	c.peerSentMs = max(c.peerSentMs, f.GetSentMs())
	c.aliveMs = max(c.aliveMs, c.sentAfter(f))
	c.stateInterval = min(time.Duration(f.GetStateIntervalMs())*time.Millisecond, maxStateDelay)
	c.limitSilence(now)
	return c.interval(now) < before
}

// sentAfter returns a time by uptime after which the last received frame, which echoes a time
// of sending, or a later one was sent. An idle peer's echo is old. If it is that of the last
// frame that the peer can have received, the frame, or one that waits behind it, is not much
// older than the last data from the kernel: the peer closes a connection on which data is not
// delivered for SilenceLimit. A peer of an earlier release echoes nothing. It returns 0 if it
// knows none.
func (c *pace) sentAfter(f *wire.PeerFrame) int64 {
	now, echo := uptime(), f.GetEchoMs()
	switch {
	case f.GetSentMs() == 0:
		return now
	case echo > now:
		// The peer has not noticed yet that this entry's former VM has ended.
		return 0
	}
	recent := now - SilenceLimit.Milliseconds()
	if echo >= recent || !c.echoesLast(echo, recent) {
		return echo
	}
	age, ok := dataAge(c.incoming.conn)
	if !ok {
		return echo
	}
	return max(echo, recent-age)
}

// echoesLast reports whether an echo is that of the last frame to the peer that was sent by
// the given time. Without such a frame on the connection to the peer none is.
func (c *pace) echoesLast(echo, by int64) bool {
	last := c.sentMs[0]
	if c.sentMs[1] <= by {
		last = c.sentMs[1]
	}
	return last != 0 && last <= by && echo >= last
}

// setNear sets whether the peer always gets frequent frames.
func (p *peer) setNear(near bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.near == near {
		return
	}
	now := time.Now()
	p.near = near
	if near {
		p.require(now)
		p.wakeWriter()
	}
}

// updateActivity extends the period of activity while runs link both entries, and
// ends it otherwise.
func (p *peer) updateActivity() {
	p.mu.Lock()
	ended := !p.neededSince.IsZero() && !p.needed(time.Now())
	p.mu.Unlock()
	if !ended {
		return
	}
	linked := p.messenger.Handler.Linked(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.needed(now):
		// A message was sent in the meantime.
	case linked:
		p.activeUntil = now.Add(activePeriod)
	default:
		p.neededSince = time.Time{}
	}
}

// frequent reports whether the peer gets frequent frames.
func (p *peer) frequent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outgoingUp && p.interval(now) == heartbeatInterval
}

// updateStateDelay sets stateDelay such that frames to all peers that get changes
// of states at once stay within StateFrames.
func (m *Messenger) updateStateDelay() {
	n, now := 0, time.Now()
	for _, p := range m.allPeers() {
		if p.frequent(now) {
			n++
		}
	}
	delay := minStateDelay
	if m.StateFrames > 0 {
		delay = time.Duration(float64(n) / m.StateFrames * float64(time.Second))
	}
	m.stateDelay.Store(int64(min(max(delay, minStateDelay), maxStateDelay)))
}

// adjustStateDelay updates the state delay until ctx ends.
func (m *Messenger) adjustStateDelay(ctx context.Context) {
	t := time.NewTicker(stateDelayInterval)
	defer t.Stop()
	for {
		m.updateStateDelay()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
