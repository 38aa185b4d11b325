package delegator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Delegated is a job that an entry delegated to another one.
type Delegated struct {
	// Number is that of the delegation within the incarnation of the first entry.
	Number uint64
	// Peer is the other entry: in a Ledger the one that runs the job, in Received the
	// first one.
	Peer string
	// Job is the identifier of the job.
	Job string
	// Cancelled is true if nobody waits for the answer any more.
	Cancelled bool
}

// Ledger records the jobs that this entry delegated and that are not answered yet. Its
// zero value is empty. The caller orders the calls.
type Ledger struct {
	last  uint64
	jobs  map[string]*Delegated
	peers map[string]map[uint64]*Delegated
	// lost holds the time at which the runs of a job are over whose peer went down.
	lost map[string]time.Time
}

// Add records that a job is about to be sent to a peer, and returns the number of the
// delegation. It returns false if the job is at a peer already, see At.
func (l *Ledger) Add(peer, job string, now time.Time) (number uint64, ok bool) {
	if l.At(job, now) {
		return 0, false
	}
	if l.jobs == nil {
		l.jobs, l.peers = make(map[string]*Delegated), make(map[string]map[uint64]*Delegated)
	}
	if l.peers[peer] == nil {
		l.peers[peer] = make(map[uint64]*Delegated)
	}
	l.last++
	d := &Delegated{Number: l.last, Peer: peer, Job: job}
	l.jobs[job], l.peers[peer][d.Number] = d, d
	return d.Number, true
}

// Answer removes a job that a peer answered. It returns false for an answer that must
// be dropped: that of a job which is not at the peer, such as one after PeerDown. The
// answer of a cancelled job has no caller.
func (l *Ledger) Answer(peer string, number uint64, job string) (Delegated, bool) {
	d := l.peers[peer][number]
	if d == nil || d.Job != job {
		return Delegated{}, false
	}
	delete(l.jobs, d.Job)
	delete(l.peers[peer], number)
	return *d, true
}

// PeerDown removes and returns the jobs that were at a peer; they may have run, and their
// runs are over at the given time. Until then At reports the jobs.
func (l *Ledger) PeerDown(peer string, now, runsOverAt time.Time) []Delegated {
	maps.DeleteFunc(l.lost, func(_ string, t time.Time) bool { return !now.Before(t) })
	if l.lost == nil {
		l.lost = make(map[string]time.Time)
	}
	var out []Delegated
	for _, d := range l.peers[peer] {
		delete(l.jobs, d.Job)
		l.lost[d.Job] = runsOverAt
		out = append(out, *d)
	}
	delete(l.peers, peer)
	slices.SortFunc(out, func(a, b Delegated) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// Cancel marks a job as cancelled and returns where it is, so that the peer can be told;
// false if it is at no peer or was cancelled before. The job stays recorded until the
// peer has answered, as its tasks may run until then.
func (l *Ledger) Cancel(job string) (Delegated, bool) {
	d := l.jobs[job]
	if d == nil || d.Cancelled {
		return Delegated{}, false
	}
	d.Cancelled = true
	return *d, true
}

// At reports whether a job may have runs that a peer started. Such a job must not be run
// here if it is submitted again.
func (l *Ledger) At(job string, now time.Time) bool {
	return l.jobs[job] != nil || now.Before(l.lost[job])
}

// Has reports whether the job with a number is recorded as one at a peer.
func (l *Ledger) Has(peer string, number uint64) bool { return l.peers[peer][number] != nil }

// Open returns the number of jobs at a peer.
func (l *Ledger) Open(peer string) int { return len(l.peers[peer]) }

// Received records the jobs that other entries delegated to this one and that are not
// answered yet. Its zero value is empty. The caller orders the calls.
type Received struct {
	peers map[string]map[uint64]*Delegated
}

// Add records a job from a peer. It returns nil if the number was used before on the
// same connection and is still open.
func (r *Received) Add(peer string, number uint64, job string) *Delegated {
	if r.peers[peer][number] != nil {
		return nil
	}
	if r.peers == nil {
		r.peers = make(map[string]map[uint64]*Delegated)
	}
	if r.peers[peer] == nil {
		r.peers[peer] = make(map[uint64]*Delegated)
	}
	d := &Delegated{Number: number, Peer: peer, Job: job}
	r.peers[peer][number] = d
	return d
}

// End removes a job that has ended. It returns false if its answer must not be sent, as
// the connection to the peer has ended since; the peer may use the number again.
func (r *Received) End(d *Delegated) bool {
	if r.peers[d.Peer][d.Number] != d {
		return false
	}
	delete(r.peers[d.Peer], d.Number)
	return true
}

// Cancel returns the job that a peer cancelled; nil if it has ended or is not known. The
// caller stops the job and then answers it, so that the peer knows that nothing runs.
func (r *Received) Cancel(peer string, number uint64, job string) *Delegated {
	d := r.peers[peer][number]
	if d == nil || d.Job != job {
		return nil
	}
	d.Cancelled = true
	return d
}

// PeerDown removes and returns the jobs of a peer whose connection ended; the caller
// stops them.
func (r *Received) PeerDown(peer string) []*Delegated {
	var out []*Delegated
	for _, d := range r.peers[peer] {
		d.Cancelled = true
		out = append(out, d)
	}
	delete(r.peers, peer)
	return out
}
