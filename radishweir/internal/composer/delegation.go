package composer

import (
	"context"
	"sync"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/delegator"
	"radishweir.org/lib/delegator/codec"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// receivedJobs holds the jobs that other entries delegated to this one.
type receivedJobs struct {
	mu       sync.Mutex
	received delegator.Received
	cancels  map[*delegator.Delegated]context.CancelFunc
}

// buildDelegation makes the coordinator hand jobs to other entries.
func (e *Entry) buildDelegation() {
	e.coordinator.Delegation = delegator.Policy{Enabled: e.Delegation, Domain: e.FailureDomain, Config: delegator.DefaultConfig()}
	e.coordinator.EncodeDelegation = codec.JobToWire
}

// load returns the load of this entry for its peers, nil if they need none.
func (e *Entry) load() *wire.EntryLoad {
	if !e.Delegation && !e.OverloadControl {
		return nil
	}
	l := e.coordinator.Load(time.Now(), e.draining.Load())
	return &wire.EntryLoad{LagMs: uint32(l.Lag.Milliseconds()), WaitMs: uint32(l.Wait.Milliseconds()), Accepts: l.Accepts}
}

// handleDelegation processes the fields of a frame that concern delegated jobs.
func (e *Entry) handleDelegation(peer string, f *wire.PeerFrame) {
	if l := f.GetLoad(); l != nil {
		e.recordPeerLag(peer, time.Duration(l.GetLagMs())*time.Millisecond)
		e.coordinator.PeerLoad(peer, delegator.Load{
			Lag: time.Duration(l.GetLagMs()) * time.Millisecond, Wait: time.Duration(l.GetWaitMs()) * time.Millisecond,
			Accepts: l.GetAccepts(), At: time.Now(),
		})
	}
	for _, m := range f.GetDelegated() {
		e.receiveJob(peer, m)
	}
	for _, m := range f.GetDelegatedCancels() {
		e.received.cancel(peer, m)
	}
	for _, m := range f.GetDelegatedAnswers() {
		a, err := codec.AnswerFromWire(m)
		if err != nil {
			e.Log.Warn().Str("peer", peer).Str("job", m.GetJob()).Err(err).Msg("delegated_answer_unreadable")
			a = coordinator.Answer{State: coordinator.Expired, Reason: "the answer of the other entry cannot be read"}
		}
		e.coordinator.DelegateAnswered(peer, m.GetJob(), m.GetNumber(), a)
	}
}

// receiveJob runs a job for a peer and answers it.
func (e *Entry) receiveJob(peer string, m *wire.DelegatedJob) {
	j, err := codec.JobFromWire(m, time.Now())
	refusal := coordinator.Answer{State: coordinator.Refused, Reason: "the entry is stopping", RetryAfter: time.Second}
	if err != nil {
		e.Log.Warn().Str("peer", peer).Str("job", m.GetJob()).Err(err).Msg("delegated_job_unreadable")
		refusal.Reason = "the job cannot be read"
	}
	if err != nil || e.draining.Load() {
		e.answerPeer(peer, m.GetJob(), m.GetNumber(), refusal)
		return
	}
	ctx, d := e.received.add(e.ctx, peer, m)
	if d == nil {
		return
	}
	if e.isDown(peer) {
		// The peer has given the job up, and no further end of the connection would cancel it.
		if e.received.end(d) {
			refusal.Reason = "the entries are not connected"
			e.answerPeer(peer, m.GetJob(), m.GetNumber(), refusal)
		}
		return
	}
	j.Delegated, j.CallerGone = true, func() bool { return e.hasGivenUp(peer) }
	go func() {
		a := e.coordinator.Submit(ctx, j)
		if e.received.end(d) {
			e.answerPeer(peer, m.GetJob(), m.GetNumber(), a)
		}
	}()
}

// hasGivenUp reports whether a peer has given up the jobs that it delegated: it was silent for
// longer than a connection lasts without frames. After a pause of this entry, the end of the
// connection may not have been processed yet.
func (e *Entry) hasGivenUp(peer string) bool {
	return e.runner.LastSeen != nil && time.Since(e.runner.LastSeen(peer)) > runner.LeaseTTL
}

// answerPeer sends the answer to a delegated job. A peer that cannot be reached has given
// the job up.
func (e *Entry) answerPeer(peer, job string, number uint64, a coordinator.Answer) {
	m := codec.AnswerToWire(job, number, a)
	e.messenger.Send(peer, func(f *wire.PeerFrame) { f.DelegatedAnswers = append(f.DelegatedAnswers, m) })
}

// add records a job of a peer and returns the context that ends when it is cancelled; nil
// for a job that is known.
func (r *receivedJobs) add(ctx context.Context, peer string, m *wire.DelegatedJob) (context.Context, *delegator.Delegated) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.received.Add(peer, m.GetNumber(), m.GetJob())
	if d == nil {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	if r.cancels == nil {
		r.cancels = make(map[*delegator.Delegated]context.CancelFunc)
	}
	r.cancels[d] = cancel
	return ctx, d
}

// end removes a job that has ended and reports whether its peer awaits the answer.
func (r *receivedJobs) end(d *delegator.Delegated) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[d]()
	delete(r.cancels, d)
	return r.received.End(d)
}

// cancel cancels a job for which nobody waits any more.
func (r *receivedJobs) cancel(peer string, m *wire.DelegatedCancel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.received.Cancel(peer, m.GetNumber(), m.GetJob()); d != nil {
		r.cancels[d]()
	}
}

// peerDown cancels the jobs of a peer whose connection ended. Its callers' connections
// may have ended too.
func (r *receivedJobs) peerDown(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.received.PeerDown(peer) {
		if cancel := r.cancels[d]; cancel != nil {
			cancel()
		}
	}
}

// open returns the number of jobs of other entries that have not ended.
func (r *receivedJobs) open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cancels)
}

// from reports whether jobs of a peer have not ended.
func (r *receivedJobs) from(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range r.cancels {
		if d.Peer == peer {
			return true
		}
	}
	return false
}
