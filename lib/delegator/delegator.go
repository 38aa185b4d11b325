// Package delegator decides whether an entry delegates a job to another entry, and
// records the jobs that are at other entries.
//
// It handles two kinds of load. Where one failure domain has more demand than its
// upstreams can serve while others have capacity, jobs go to entries of other failure
// domains. Where one entry is short of CPU time, so that its timers fire late, jobs go
// to near entries, which see the same upstreams. A job is delegated only as a whole and
// before any of its tasks was sent to an upstream, so that it is in exactly one entry at
// a time; an entry does not delegate a job that was delegated to it.
//
// The package uses no network, clock, goroutine or lock: the caller gives the time, the
// loads of the peers and random numbers, and orders the calls. Package
// radishweir.org/lib/delegator/codec has the messages.
//
// # Usage
//
//	p := &delegator.Policy{Enabled: true, Domain: "domain-1", Config: delegator.DefaultConfig()}
//	peer, reason := p.Choose(now, delegator.Job{Slack: slack}, self, peers, rand.IntN)
//	if peer != "" {
//		if number, ok := ledger.Add(peer, job.ID, now); ok { send(peer, job, number) }
//	}
//	load.Accepts = p.Accepts(self, now)
//
// Choose is called only for best-effort jobs that arrived at this entry from a caller
// and of which no task was sent. If it names no peer, the entry goes on with the job as
// it would without the package; that includes the refusal. When the peer's answer is a
// refusal, the peer is added to Tried and Choose is called again.
//
// On the side of the peer, Received records the jobs that others delegated to it.
//
// Integrations count the results of Choose by reason, except InTime and Off, and the
// delegated jobs by outcome: answered, refused by the peer, lost with the peer,
// cancelled.
package delegator

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Load is what an entry tells its peers about itself.
type Load struct {
	// Lag is the time by which the entry's timers fire late.
	Lag time.Duration
	// Wait is the expected time until a job that arrives now is started.
	Wait time.Duration
	// Accepts is true if the entry takes delegated jobs.
	Accepts bool
	// At is the time at which this load was received.
	At time.Time
}

// Peer is another entry.
type Peer struct {
	Name string
	// Domain is the failure domain of the peer.
	Domain string
	// Near is true if the peer sees the same upstreams as this entry.
	Near bool
	// Up is true if messages to the peer arrive.
	Up   bool
	Load Load
	// Open is the number of jobs that were delegated to the peer and are not answered
	// yet; see Ledger.Open.
	Open int
}

// Job is a job that has not begun.
type Job struct {
	// Slack is the time until the latest start that is in time.
	Slack time.Duration
	// Tried lists the peers that refused the job.
	Tried []string
}

// Reason is the reason of a choice.
type Reason int

// Reasons of choices. A peer is named only with Lag and Capacity.
const (
	// Off means that the policy is not enabled.
	Off Reason = iota
	// InTime means that this entry is expected to start the job in time.
	InTime
	// Lag means that this entry has capacity but is short of CPU time.
	Lag
	// Capacity means that this entry is expected to start the job too late.
	Capacity
	// TooLate means that no peer could start the job in time.
	TooLate
	// Exhausted means that as many peers as allowed have refused the job.
	Exhausted
	// NoPeer means that no peer is expected to start the job in time.
	NoPeer
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	return [...]string{"off", "in_time", "lag", "capacity", "too_late", "exhausted", "no_peer"}[r]
}

// Config holds the thresholds of a policy.
type Config struct {
	// Margin is the time that a delegation takes until the peer considers the job: the
	// round trip between failure domains and the time until the peer's next pass.
	Margin time.Duration
	// MaxAge is the age above which a load is not used. Idle peers send one each second.
	MaxAge time.Duration
	// Growth is the time by which the expected wait of a peer may have grown for each
	// second of its load's age.
	Growth time.Duration
	// OpenCost is the time that each open job at a peer may add to the wait there. It
	// keeps an entry from sending all its jobs to the same peer between two loads.
	OpenCost time.Duration
	// MaxOpen limits the open jobs of this entry at one peer, and so what is lost with
	// the peer.
	MaxOpen int
	// MaxRefusals is the number of refusals after which a job is not delegated again.
	MaxRefusals int
	// AcceptWait and AcceptLag are the expected wait and the lag above which an entry
	// takes no delegated jobs, as its own would be late.
	AcceptWait time.Duration
	AcceptLag  time.Duration
	// ResumeAfter is the time for which both must be below half of these limits before
	// the entry takes delegated jobs again.
	ResumeAfter time.Duration
}

// DefaultConfig returns the thresholds for callers that wait about a second for jobs
// that run for a tenth of one.
func DefaultConfig() Config {
	return Config{
		Margin:      10 * time.Millisecond,
		MaxAge:      1500 * time.Millisecond,
		Growth:      30 * time.Millisecond,
		OpenCost:    5 * time.Millisecond,
		MaxOpen:     4,
		MaxRefusals: 2,
		AcceptWait:  50 * time.Millisecond,
		AcceptLag:   15 * time.Millisecond,
		ResumeAfter: 500 * time.Millisecond,
	}
}

// Validate returns an error if a threshold is out of its range.
func (c *Config) Validate() error {
	for _, d := range [...]time.Duration{c.Margin, c.Growth, c.OpenCost, c.ResumeAfter} {
		if d < 0 {
			return errors.New("delegation: a duration is negative")
		}
	}
	if c.MaxAge <= 0 || c.AcceptWait <= 0 || c.AcceptLag <= 0 {
		return errors.New("delegation: max_age, accept_wait and accept_lag must be positive")
	}
	if c.MaxOpen < 1 || c.MaxRefusals < 1 {
		return errors.New("delegation: max_open and max_refusals must be at least 1")
	}
	return nil
}

// lagFactor is how often a job waits for the timers of the entry that runs it: for the
// pass that starts it and for the ends of its runs. The answer to the caller passes the
// first entry either way, so its lag there does not count.
const lagFactor = 2

// Policy decides on delegations. Exported fields are set before the first call. Without
// a Config no peer qualifies.
type Policy struct {
	// Enabled is false to keep all jobs and to take none.
	Enabled bool
	// Domain is the failure domain of this entry.
	Domain string
	Config Config

	// resumeAt is the earliest time at which delegated jobs are accepted again; zero
	// while they are accepted.
	resumeAt time.Time
	// preferred and others are reused by each call of Choose.
	preferred, others []candidate
}

// candidate is a peer that is expected to start a job in time.
type candidate struct {
	index int
	start time.Duration
}

// Choose returns the peer to which a job is delegated, and why; the name is empty if the
// job stays here. The caller has tried to start the job: self.Wait is the expected time
// until it starts here. random returns a number in [0, n).
func (p *Policy) Choose(now time.Time, j Job, self Load, peers []Peer, random func(n int) int) (peer string, reason Reason) {
	switch {
	case !p.Enabled:
		return "", Off
	case self.Wait+lagFactor*self.Lag <= j.Slack:
		return "", InTime
	case j.Slack <= p.Config.Margin:
		return "", TooLate
	case len(j.Tried) >= p.Config.MaxRefusals:
		return "", Exhausted
	}
	reason = Lag
	if self.Wait > j.Slack {
		reason = Capacity
	}
	p.preferred, p.others = p.preferred[:0], p.others[:0]
	for i := range peers {
		start, ok := p.expectedStart(now, &peers[i], j.Slack)
		if !ok || slices.Contains(j.Tried, peers[i].Name) {
			continue
		}
		if p.prefers(&peers[i], reason) {
			p.preferred = append(p.preferred, candidate{i, start})
		} else {
			p.others = append(p.others, candidate{i, start})
		}
	}
	list := p.preferred
	if len(list) == 0 {
		list = p.others
	}
	if len(list) == 0 {
		return "", NoPeer
	}
	return peers[betterOfTwo(list, random).index].Name, reason
}

// expectedStart returns the time until a peer is expected to start a job that is sent
// now; false if the peer takes none or would start it after the slack. Under load most
// peers fail the first checks, which are the cheap ones.
func (p *Policy) expectedStart(now time.Time, peer *Peer, slack time.Duration) (time.Duration, bool) {
	l := &peer.Load
	if !l.Accepts || !peer.Up || peer.Open >= p.Config.MaxOpen {
		return 0, false
	}
	start := p.Config.Margin + l.Wait + lagFactor*l.Lag + time.Duration(peer.Open)*p.Config.OpenCost
	if start > slack {
		return 0, false
	}
	age := max(now.Sub(l.At), 0)
	if age > p.Config.MaxAge {
		return 0, false
	}
	start += time.Duration(age.Seconds() * float64(p.Config.Growth))
	return start, start <= slack
}

// prefers reports whether a peer is among those that are asked first. Near entries see
// the same upstreams, so they help against lag but rarely against lack of capacity.
func (p *Policy) prefers(peer *Peer, reason Reason) bool {
	if reason == Lag {
		return peer.Near
	}
	return peer.Domain != p.Domain
}

// betterOfTwo draws two candidates and returns the one that is expected to start the job
// earlier. The best of all would be chosen by all entries at once.
func betterOfTwo(list []candidate, random func(n int) int) candidate {
	i := random(len(list))
	if len(list) == 1 {
		return list[i]
	}
	k := random(len(list) - 1)
	if k >= i {
		k++
	}
	if list[k].start < list[i].start {
		return list[k]
	}
	return list[i]
}

// Accepts reports whether this entry takes delegated jobs. Once it takes none, wait and
// lag must stay below half of their limits for a while until it does again, so that the
// peers' view of it is not out of date at once.
func (p *Policy) Accepts(self Load, now time.Time) bool {
	c := &p.Config
	switch {
	case !p.Enabled:
		return false
	case self.Wait > c.AcceptWait || self.Lag > c.AcceptLag,
		!p.resumeAt.IsZero() && (self.Wait > c.AcceptWait/2 || self.Lag > c.AcceptLag/2):
		p.resumeAt = now.Add(c.ResumeAfter)
	case !now.Before(p.resumeAt):
		p.resumeAt = time.Time{}
	}
	return p.resumeAt.IsZero()
}
