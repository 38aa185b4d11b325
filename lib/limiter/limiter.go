// Package limiter decides which connections and requests of callers an entry keeps when
// together they would take more memory or connections than its VM has.
//
// It answers a load of clients that nobody controls: many requests at once that stop short
// of their end, connections without a request, headers or bodies that cost much more memory
// than bytes, and jobs that are large in memory. A cap alone would let such clients hold all
// that there is, so the Ledger takes from those that make the least progress:
//
//   - A small request needs no room. Each connection has an allowance that is part of the
//     memory planned for it, so that ordinary callers do not compete with large requests.
//   - Large requests share Limits.Memory. If a request does not fit, the requests that have
//     not arrived whole and have been without progress for longest are refused. One that has
//     arrived whole is never refused for another.
//   - A request gets at most half of the room that is left, unless it is the only one, so
//     that the largest are refused first and room for smaller ones remains.
//   - If there are too many connections, those close first that are about to be closed
//     anyway, then those that leave a request unfinished, then idle ones, then requests that
//     have waited for their answer for long. If there is none of these, the new connection is
//     refused.
//   - A phase that lasts for too long ends its connection.
//
// # Usage
//
//	l := &limiter.Ledger[*conn]{Limits: limits}
//	victims, ok := l.Open(c, now)          // a connection was accepted
//	victims, ok = l.Receive(c, n, now)     // n bytes were read
//	l.BeginBody(c, now)                    // the header is complete
//	victims, ok = l.Reserve(c, n, now)     // the request needs n bytes of memory
//	l.BeginAnswer(c, now)                  // the request is complete
//	l.End(c, now)                          // the request is answered
//	l.BeginIdle(c, now)                    // the connection waits for the next request
//	l.Close(c)                             // the connection is closed
//	victims = l.Overdue(now)               // now and then
//
// The caller ends the victims. A Ledger is not safe for concurrent use.
package limiter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Allowance is the memory in bytes that each connection may use without a reservation.
	// It holds a job of a dozen tasks with its header and its body.
	Allowance = 8 << 10
	// headerAllowance is the size in bytes up to which a header needs no reservation.
	headerAllowance = 4 << 10
	// headerCost is the memory that one byte of a larger header may take once it is parsed
	// into short lines.
	headerCost = 32
	// stallTime is the time without progress after which an unfinished request gives its
	// connection to others before an idle connection does.
	stallTime = time.Second
	// flushTime is the time in which the last bytes of an answer are written after its handler
	// has returned. A connection that is closed sooner may lose them.
	flushTime = 200 * time.Millisecond
	// longWait is the time after which a request that waits for its answer gives its
	// connection to others. Ordinary callers get their answers sooner.
	longWait = 5 * time.Second
	// evictionShare is the share of the connections that are closed at a time when there are
	// too many, so that not each new connection looks for a victim.
	evictionShare = 32
	// leavingShare is the share of the connections that may be in the course of being closed
	// for others. Above it, new connections are refused.
	leavingShare = 4
	// releaseShare is the share of the memory that refused requests may still use. Above it,
	// no further request is refused to make room, unless it is the only one.
	releaseShare = 4
)

// Limits bounds what callers may take together. A limit of 0 does not apply.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Memory is the memory of requests in bytes, the allowances left out.
	Memory int64
	// HeaderBytes is the size of a request's header.
	HeaderBytes int
	// HeaderTimeout, BodyTimeout and IdleTimeout are how long a connection may take to send
	// a header, to send a body, and to begin the next request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	// StallTimeout is how long a request that has not arrived whole may be without progress.
	StallTimeout time.Duration
}

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	// Idle: no request has begun.
	Idle Phase = iota
	// Header: the header of a request is arriving.
	Header
	// Body: the body of a request is arriving.
	Body
	// Answer: a request has arrived whole and has no answer yet.
	Answer
	// Closing: the handler has returned, and its answer is being written.
	Closing
)

// Reason says why a connection or request is ended, in logs and metrics.
type Reason string

// The reasons.
const (
	TooManyConnections Reason = "connections"
	NoMemory           Reason = "memory"
	HeaderTooLarge     Reason = "header_size"
	HeaderTimedOut     Reason = "header_timeout"
	BodyTimedOut       Reason = "body_timeout"
	IdleTimedOut       Reason = "idle_timeout"
)

// Victim is a connection to close. If its phase is Body, its request is to be refused first.
type Victim[K comparable] struct {
	Key    K
	Phase  Phase
	Reason Reason
}

// use is what one connection uses.
type use struct {
	phase Phase
	// used is true once the connection has had a request.
	used bool
	// activeAt is the time of the last progress, deadline that by which the phase ends;
	// zero for none.
	activeAt time.Time
	deadline time.Time
	// header is the number of bytes of the header that have arrived.
	header int
	// bytes is the memory of the request, its allowance included.
	bytes int64
	// ended is true for a victim that was not closed yet, and leaving if its connection is
	// closed at once.
	ended   bool
	leaving bool
}

// shared returns the part of the memory that counts towards Limits.Memory.
func (u *use) shared() int64 { return max(0, u.bytes-Allowance) }

// Ledger holds what the connections use, by connection. The limits may change at any time.
type Ledger[K comparable] struct {
	Limits

	uses map[K]*use
	// shared is the memory of requests that counts towards Limits.Memory, releasing the
	// part of requests that are refused but not answered yet, which shared leaves out.
	shared    int64
	releasing int64
	// leaving is the number of connections that are being closed for new ones.
	leaving int
}

// Open adds a connection. It returns the connections to close instead; if it returns false,
// the new connection is to be closed.
func (l *Ledger[K]) Open(k K, now time.Time) ([]Victim[K], bool) {
	if l.uses == nil {
		l.uses = make(map[K]*use)
	}
	var out []Victim[K]
	if l.Connections > 0 && len(l.uses)-l.leaving >= l.Connections {
		if l.leaving <= l.Connections/leavingShare {
			out = l.evictConnections(now)
		}
		if len(out) == 0 {
			return nil, false
		}
	}
	l.uses[k] = &use{activeAt: now, deadline: after(now, l.HeaderTimeout)}
	return out, true
}

// after returns the time d after now, zero if d is not positive.
func after(now time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// Receive records that n bytes arrived. If it returns false, the connection is to be closed
// for the reason that the last victim has.
func (l *Ledger[K]) Receive(k K, n int, now time.Time) ([]Victim[K], bool) {
	u := l.uses[k]
	if u == nil {
		return nil, true
	}
	if u.phase == Idle {
		u.phase, u.header, u.deadline = Header, 0, after(now, l.HeaderTimeout)
	}
	u.activeAt = now
	if u.phase != Header {
		return nil, true
	}
	before := max(u.header, headerAllowance)
	u.header += n
	// The bytes may include some that follow the header.
	if l.HeaderBytes > 0 && u.header > l.HeaderBytes+headerAllowance {
		return l.end(nil, k, u, HeaderTooLarge), false
	}
	if u.header <= before {
		return nil, true
	}
	out, ok := l.Reserve(k, int64(u.header-before)*headerCost, now)
	if !ok {
		return l.end(out, k, u, NoMemory), false
	}
	return out, true
}

// BeginBody records that the header of a request is complete and its body is arriving.
func (l *Ledger[K]) BeginBody(k K, now time.Time) {
	if u := l.uses[k]; u != nil && !u.ended {
		u.phase, u.used, u.activeAt, u.deadline = Body, true, now, after(now, l.BodyTimeout)
	}
}

// BeginAnswer records that a request has arrived whole. A victim stays one.
func (l *Ledger[K]) BeginAnswer(k K, now time.Time) {
	if u := l.uses[k]; u != nil && !u.ended {
		u.phase, u.used, u.activeAt, u.deadline = Answer, true, now, time.Time{}
	}
}

// Reserve adds n bytes to the memory of a connection's request. It returns the requests to
// refuse so that there is room, and whether there is.
func (l *Ledger[K]) Reserve(k K, n int64, now time.Time) ([]Victim[K], bool) {
	u := l.uses[k]
	if u == nil {
		return nil, true
	}
	if u.ended {
		return nil, false
	}
	more := max(0, u.bytes+n-Allowance) - u.shared()
	var out []Victim[K]
	if l.Memory > 0 && more > 0 && !l.fits(u, more) {
		out = l.evictRequests(k, u, more)
		if !l.fits(u, more) {
			return out, false
		}
	}
	u.bytes += n
	l.shared += more
	u.activeAt = now
	return out, true
}

// fits reports whether there is room for more memory of a request.
func (l *Ledger[K]) fits(u *use, more int64) bool {
	if l.shared+l.releasing+more > l.Memory+l.Memory/releaseShare {
		return false
	}
	left := l.Memory - l.shared
	alone := l.shared == u.shared()
	return more <= left/2 || alone && more <= left
}

// Release subtracts n bytes from the memory of a connection's request.
func (l *Ledger[K]) Release(k K, n int64) {
	if u := l.uses[k]; u != nil {
		l.setBytes(u, max(0, u.bytes-n))
	}
}

// setBytes sets the memory of a request.
func (l *Ledger[K]) setBytes(u *use, n int64) {
	before := u.shared()
	u.bytes = n
	if u.ended {
		l.releasing -= before - u.shared()
	} else {
		l.shared -= before - u.shared()
	}
}

// End records that a request is answered and its memory is free.
func (l *Ledger[K]) End(k K, now time.Time) {
	if u := l.uses[k]; u != nil {
		l.setBytes(u, 0)
		u.phase, u.activeAt, u.deadline = Closing, now, time.Time{}
	}
}

// BeginIdle records that a connection waits for its next request.
func (l *Ledger[K]) BeginIdle(k K, now time.Time) {
	if u := l.uses[k]; u != nil && !u.ended {
		l.setBytes(u, 0)
		u.phase, u.header, u.activeAt, u.deadline = Idle, 0, now, after(now, l.IdleTimeout)
	}
}

// Close removes a connection.
func (l *Ledger[K]) Close(k K) {
	if u := l.uses[k]; u != nil {
		l.setBytes(u, 0)
		delete(l.uses, k)
		if u.leaving {
			l.leaving--
		}
	}
}

// Overdue returns the connections whose phase has lasted for too long.
func (l *Ledger[K]) Overdue(now time.Time) []Victim[K] {
	var out []Victim[K]
	for k, u := range l.uses {
		late := !u.deadline.IsZero() && !now.Before(u.deadline)
		if u.ended || !late && !l.stalled(u, now) {
			continue
		}
		reason := IdleTimedOut
		switch {
		case u.phase == Body:
			reason = BodyTimedOut
		case u.phase == Header || !u.used:
			reason = HeaderTimedOut
		}
		out = l.end(out, k, u, reason)
	}
	return out
}

// stalled reports whether an unfinished request has been without progress for too long.
func (l *Ledger[K]) stalled(u *use, now time.Time) bool {
	return l.StallTimeout > 0 && (u.phase == Header || u.phase == Body) && now.Sub(u.activeAt) >= l.StallTimeout
}

// Extend gives a victim of Overdue that has made progress since until the given time.
func (l *Ledger[K]) Extend(k K, until time.Time) {
	u := l.uses[k]
	if u == nil || !u.ended {
		return
	}
	u.ended, u.deadline, u.activeAt = false, until, until
	l.releasing -= u.shared()
	l.shared += u.shared()
}

// Counts returns the number of open connections and the memory in bytes that counts towards
// Limits.Memory.
func (l *Ledger[K]) Counts() (connections int, memory int64) {
	return len(l.uses), l.shared + l.releasing
}

// end makes a connection a victim.
func (l *Ledger[K]) end(out []Victim[K], k K, u *use, reason Reason) []Victim[K] {
	if !u.ended {
		u.ended = true
		l.shared -= u.shared()
		l.releasing += u.shared()
	}
	return append(out, Victim[K]{Key: k, Phase: u.phase, Reason: reason})
}

// candidate is a connection that may become a victim.
type candidate[K comparable] struct {
	key  K
	use  *use
	rank int
}

// evictRequests refuses the unfinished requests without progress for longest until more
// memory of another request fits.
func (l *Ledger[K]) evictRequests(k K, u *use, more int64) []Victim[K] {
	var list []candidate[K]
	for other, o := range l.uses {
		if other != k && !o.ended && (o.phase == Body || o.phase == Header) && o.shared() > 0 {
			list = append(list, candidate[K]{other, o, 0})
		}
	}
	sortByRank(list)
	var out []Victim[K]
	for _, c := range list {
		if l.fits(u, more) || l.releasing > 0 && l.releasing+c.use.shared() > l.Memory/releaseShare {
			break
		}
		out = l.end(out, c.key, c.use, NoMemory)
	}
	return out
}

// evictConnections ends some connections, those of the least use first.
func (l *Ledger[K]) evictConnections(now time.Time) []Victim[K] {
	var list []candidate[K]
	for k, u := range l.uses {
		if rank, ok := u.rank(now); ok && !u.leaving {
			list = append(list, candidate[K]{k, u, rank})
		}
	}
	sortByRank(list)
	excess := len(l.uses) - l.leaving - l.Connections + max(1, l.Connections/evictionShare)
	var out []Victim[K]
	for _, c := range list[:min(len(list), excess)] {
		out = l.end(out, c.key, c.use, TooManyConnections)
		out[len(out)-1].Phase = Closing
		c.use.leaving = true
		l.leaving++
	}
	return out
}

// rank returns the order in which connections are closed, the lowest first; false for one
// that is kept.
func (u *use) rank(now time.Time) (int, bool) {
	switch {
	case u.phase == Closing:
		return 0, now.Sub(u.activeAt) >= flushTime
	case u.phase == Answer:
		return 4, now.Sub(u.activeAt) >= longWait
	case u.used && u.phase == Idle:
		return 2, true
	case now.Sub(u.activeAt) >= stallTime:
		return 1, true
	}
	return 3, true
}

// sortByRank orders candidates by rank and by the time of their last progress.
func sortByRank[K comparable](list []candidate[K]) {
	slices.SortFunc(list, func(a, b candidate[K]) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.use.activeAt.Compare(b.use.activeAt))
	})
}
