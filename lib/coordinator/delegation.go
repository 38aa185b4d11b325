package coordinator

import (
	"math/rand/v2"
	"time"

	"radishweir.org/lib/delegator"
	"radishweir.org/lib/wire"
)

// shortageMemory is how long an entry that could not start a job counts as short of
// capacity; a few times the interval at which it tells near entries its load.
const shortageMemory = 250 * time.Millisecond

// delegationState is what the coordinator knows of delegated jobs and of the entries
// that may take some.
type delegationState struct {
	ledger delegator.Ledger
	// domains holds the failure domain of each registered peer, loads the last load that
	// each peer told, and lag the time by which the timers of this entry fire late.
	domains map[string]string
	loads   map[string]delegator.Load
	lag     time.Duration
	// startDelay is the mean time from the arrival of recent jobs to their first start, as
	// of startDelayAt.
	startDelay   time.Duration
	startDelayAt time.Time
	// refusedAt is the last time at which a job was refused because it would start too
	// late.
	refusedAt time.Time
	// shortAt is the last time at which a waiting job found no capacity.
	shortAt time.Time
	// delegateList are the peers that may take jobs as of delegateListAt, the time of a pass.
	delegateList   []delegator.Peer
	delegateListAt time.Time
}

// delegation is the state of a job that may be at another entry.
type delegation struct {
	// delegate is the entry that runs the job, empty while this entry does.
	delegate string
	// receivedAt is the time at which this entry got the job.
	receivedAt time.Time
	// refusedBy are the peers that refused the job.
	refusedBy []string
}

// SetDomains sets the failure domain of each registered peer.
func (c *Coordinator) SetDomains(domains map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domains = domains
}

// DomainOf returns the failure domain of a registered peer; empty if it is not known.
func (c *Coordinator) DomainOf(peer string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.domains[peer]
}

// SetLag sets the time by which the timers of this entry fire late.
func (c *Coordinator) SetLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag = lag
}

// PeerLoad records the load that a peer told.
func (c *Coordinator) PeerLoad(peer string, l delegator.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		c.loads = make(map[string]delegator.Load)
	}
	c.loads[peer] = l
}

// Load returns the load of this entry for its peers. It takes no jobs while it drains.
func (c *Coordinator) Load(now time.Time, draining bool) delegator.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := delegator.Load{Lag: c.lag, At: now}
	if now.Sub(c.startDelayAt) < shortageMemory {
		l.Wait = c.startDelay
	}
	l.Wait = max(l.Wait, c.meanWait(now))
	l.Accepts = !draining && c.Delegation.Accepts(l, now)
	return l
}

// meanWait returns the mean time that the waiting jobs have waited here. The backlog is no
// measure of the wait: a single job of a second of work on many cores would count as one of
// tenths of a second. The caller holds the lock.
func (c *Coordinator) meanWait(now time.Time) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for _, j := range c.waiting {
		if !j.kept() {
			sum += now.Sub(j.receivedAt)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// startDelayShare is the weight of one job in the mean time to a start; the mean follows a
// burst within some ten jobs.
const startDelayShare = 0.1

// countStartDelay adds a job that begins now to the mean time to a start. The time that a
// delegated job spent at another entry says nothing of this one. The caller holds the lock.
func (c *Coordinator) countStartDelay(j *job, now time.Time) {
	delay := now.Sub(j.Arrived)
	if j.Delegated {
		delay = now.Sub(j.receivedAt)
	}
	if now.Sub(c.startDelayAt) >= shortageMemory {
		c.startDelay = delay
	}
	c.startDelay += time.Duration(startDelayShare * float64(delay-c.startDelay))
	c.startDelayAt = now
}

// delegable reports whether a job may be handed to another entry: it is not kept, did
// not come from another entry, and no run of it was requested here.
func (j *job) delegable() bool {
	return !j.kept() && !j.Delegated && !j.started && j.firstPlacedAt.IsZero()
}

// delegate hands a waiting job to a peer if it is expected to be late here and in time
// there. It cancels the job instead if its callers have gone. The caller holds the lock.
func (c *Coordinator) delegate(j *job, slack, wait time.Duration, now time.Time) ([]message, bool) {
	if !c.Delegation.Enabled || !j.delegable() {
		return nil, false
	}
	self := delegator.Load{Lag: c.lag, Wait: wait, At: now}
	d := delegator.Job{Slack: slack, Tried: j.refusedBy}
	peer, reason := c.Delegation.Choose(now, d, self, c.delegates(now), rand.IntN)
	if peer == "" {
		return nil, false
	}
	if j.abandoned() {
		return c.close(j, callerGone), true
	}
	number, ok := c.ledger.Add(peer, j.ID, now)
	if !ok {
		return nil, false
	}
	add, err := c.EncodeDelegation(j.Job, number, now)
	if err != nil {
		c.ledger.Answer(peer, number, j.ID)
		c.Log.Warn().Str("job", j.ID).Err(err).Msg("job_not_delegable")
		return nil, false
	}
	j.delegate = peer
	c.removeWaiting(j)
	c.countOpen(peer, 1)
	c.countDelegation("sent_for_" + reason.String())
	return []message{{owner: peer, delegated: add, add: func(f *wire.PeerFrame) { f.Delegated = append(f.Delegated, add) }}}, true
}

// sendDelegation sends a job to a peer unless it was given up since, as the peer went down
// and came up again. The lock is held while the message is queued, so that the peer cannot
// go down in between; the caller does not hold it.
func (c *Coordinator) sendDelegation(m message) {
	c.mu.Lock()
	open := c.ledger.Has(m.owner, m.delegated.GetNumber())
	sent := open && c.Remote.Send(m.owner, m.add)
	c.mu.Unlock()
	if open && !sent {
		// It has not left this entry, and goes on here.
		c.DelegateAnswered(m.owner, m.delegated.GetJob(), m.delegated.GetNumber(), Answer{State: Refused})
	}
}

// delegateAt returns the time from which a waiting job, which is expected to wait as long
// again as it has waited, is expected to start after the latest time that is in time.
func delegateAt(j *job, latest time.Time) time.Time {
	return j.Arrived.Add(latest.Sub(j.Arrived)/2 + minPassDelay)
}

// waitHere returns the expected time until a waiting job starts at this entry, which is
// estimated from the work ahead of it. The caller holds the lock.
func (c *Coordinator) waitHere(j *job, slack, estimated time.Duration, now time.Time) time.Duration {
	if now.Sub(c.refusedAt) < shortageMemory {
		// Others that waited like this job were refused.
		return slack + startMargin
	}
	// A job that has waited is expected to wait as long again.
	return max(estimated, now.Sub(j.Arrived))
}

// delegates returns the peers that may take jobs, collected once in a pass; the caller
// holds the lock.
func (c *Coordinator) delegates(now time.Time) []delegator.Peer {
	if c.delegateListAt.Equal(now) {
		return c.delegateList
	}
	c.delegateList, c.delegateListAt = c.delegateList[:0], now
	for name, l := range c.peers {
		if l.up && c.loads[name].Accepts {
			c.delegateList = append(c.delegateList, delegator.Peer{
				Name: name, Domain: c.domains[name], Near: c.near[name], Up: true, Load: c.loads[name], Open: c.ledger.Open(name),
			})
		}
	}
	return c.delegateList
}

// countOpen counts a job that was sent to a peer in this pass.
func (c *Coordinator) countOpen(peer string, n int) {
	for i := range c.delegateList {
		if c.delegateList[i].Name == peer {
			c.delegateList[i].Open += n
		}
	}
}

// cancelDelegation returns the message that tells the delegate of a job that nobody
// waits for it; the caller holds the lock.
func (c *Coordinator) cancelDelegation(j *job) []message {
	d, ok := c.ledger.Cancel(j.ID)
	j.delegate = ""
	if !ok {
		return nil
	}
	cancel := &wire.DelegatedCancel{Job: j.ID, Number: d.Number}
	return []message{{owner: d.Peer, add: func(f *wire.PeerFrame) { f.DelegatedCancels = append(f.DelegatedCancels, cancel) }}}
}

// DelegateAnswered handles a peer's answer to a delegated job. Answers of jobs that are
// closed or were given up are ignored.
func (c *Coordinator) DelegateAnswered(peer, id string, number uint64, a Answer) {
	c.mu.Lock()
	var out []message
	d, ok := c.ledger.Answer(peer, number, id)
	if j := c.jobs[id]; ok && !d.Cancelled && j != nil && j.delegate == peer {
		j.delegate = ""
		switch a.State {
		case Refused:
			// None of its tasks has run there.
			c.countDelegation("refused")
			j.refusedBy = append(j.refusedBy, peer)
			c.waiting = append(c.waiting, j)
		case Complete, Failed:
			c.countDelegation("answered")
			out = c.close(j, a)
		default:
			c.countDelegation("lost")
			out = c.close(j, Answer{State: Expired, Reason: a.Reason})
		}
	}
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	c.Wake()
}

// endDelegationsTo ends the jobs at a peer that is down. They may have run there. The
// peer stops them as it notices the silence too, before a caller submits them again. The
// caller holds the lock.
func (c *Coordinator) endDelegationsTo(peer string) []message {
	var out []message
	now := time.Now()
	for _, d := range c.ledger.PeerDown(peer, now, now.Add(c.lostAfter())) {
		if j := c.jobs[d.Job]; j != nil && j.delegate == peer {
			j.delegate = ""
			c.countDelegation("lost")
			out = append(out, c.close(j, Answer{State: Expired, Reason: "the entry that ran the job cannot be reached"})...)
		}
	}
	return out
}

// countDelegation counts one step of a delegation.
func (c *Coordinator) countDelegation(result string) {
	if c.Observer != nil {
		c.Observer.Delegation(result)
	}
}
