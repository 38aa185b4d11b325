package coordinator

import (
	"time"

	"radishweir.org/lib/wire"
)

const (
	// maxDelegations is the number of peers that may refuse a job before its caller is
	// told to come back. Each refusal costs the job a round trip.
	maxDelegations = 2
	// shortageMemory is how long an entry that could not start a job counts as short of
	// capacity; a few times the interval at which it tells others its load.
	shortageMemory = 250 * time.Millisecond
)

// Delegator decides which jobs are handed to another entry, and hands them over. Its
// methods are called with the coordinator's lock held, so they must not call the
// coordinator before they return.
type Delegator interface {
	// Lagging reports whether this entry is so short of CPU time that jobs should start
	// elsewhere even if there is capacity.
	Lagging() bool
	// Choose returns the peer that should run a job that has not begun; empty to keep
	// it. The job must start within slack to be in time, and is expected to wait for
	// the given time here. The peers in tried refused it.
	Choose(now time.Time, slack, wait time.Duration, tried []string) string
	// Message returns the message that hands the job to a peer.
	Message(j *Job, number uint64, now time.Time) func(f *wire.PeerFrame)
	// Closed reports that no answer of a peer to a delegated job is awaited any more.
	Closed(peer string)
}

// delegation is the state of a job at another entry.
type delegation struct {
	// delegate is the entry that runs the job, empty while this entry does.
	delegate string
	// delegateNumber identifies the hand-over.
	delegateNumber uint64
	// refusedBy are the peers that refused the job.
	refusedBy []string
}

// delegable reports whether a job may be handed to another entry: it is not kept, did
// not come from another entry, and no run of it was requested here.
func (j *job) delegable() bool {
	return !j.kept() && !j.Delegated && !j.started && j.firstPlacedAt.IsZero() && len(j.refusedBy) < maxDelegations
}

// delegate hands a waiting job to a peer if that is better for its caller. The caller
// holds the lock.
func (c *Coordinator) delegate(j *job, slack, wait time.Duration, now time.Time) (message, bool) {
	if c.Delegator == nil || !j.delegable() {
		return message{}, false
	}
	peer := c.Delegator.Choose(now, slack, wait, j.refusedBy)
	if peer == "" {
		return message{}, false
	}
	c.lastDelegation++
	j.delegate, j.delegateNumber = peer, c.lastDelegation
	c.removeWaiting(j)
	c.countDelegation("sent")
	return message{owner: peer, add: c.Delegator.Message(&j.Job, j.delegateNumber, now)}, true
}

// endDelegation ends the wait for the answer of a job's delegate and returns the
// message that cancels the job there; the caller holds the lock.
func (c *Coordinator) endDelegation(j *job) message {
	cancel := &wire.DelegatedCancel{Job: j.ID, Number: j.delegateNumber}
	m := message{owner: j.delegate, add: func(f *wire.PeerFrame) { f.DelegatedCancels = append(f.DelegatedCancels, cancel) }}
	c.Delegator.Closed(j.delegate)
	j.delegate = ""
	return m
}

// DelegateAnswered handles a peer's answer to a delegated job. Answers to earlier
// delegations of the job, and to jobs that are closed, are ignored.
func (c *Coordinator) DelegateAnswered(peer, id string, number uint64, a Answer) {
	c.mu.Lock()
	var out []message
	if j := c.jobs[id]; j != nil && j.delegate == peer && j.delegateNumber == number {
		c.Delegator.Closed(peer)
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
	for _, j := range c.jobs {
		if j.delegate == peer {
			c.Delegator.Closed(peer)
			j.delegate = ""
			c.countDelegation("lost")
			out = append(out, c.close(j, Answer{State: Expired, Reason: "the entry that ran the job cannot be reached"})...)
		}
	}
	return out
}

// delegateUnreachable ends the jobs at a peer to which no message can be sent.
func (c *Coordinator) delegateUnreachable(peer string) {
	c.mu.Lock()
	c.enqueueMessages(c.endDelegationsTo(peer))
	c.mu.Unlock()
}

// hasDelegatedTo reports whether a peer runs jobs of this entry; the caller holds the
// lock.
func (c *Coordinator) hasDelegatedTo(peer string) bool {
	for _, j := range c.jobs {
		if j.delegate == peer {
			return true
		}
	}
	return false
}

// countDelegation counts one step of a delegation.
func (c *Coordinator) countDelegation(result string) {
	if c.Observer != nil {
		c.Observer.Delegation(result)
	}
}

// ExpectedWait returns the expected time until a job that arrives now is started.
func (c *Coordinator) ExpectedWait(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Duration(0)
	if now.Sub(c.shortAt) < shortageMemory {
		wait = max(shortageMemory-now.Sub(c.shortAt), 0)
	}
	if len(c.waiting) > 0 {
		wait = max(wait, c.backlog())
	}
	return wait
}
