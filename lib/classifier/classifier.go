// Package classifier attaches to errors a verdict: whether the failed request may
// have run.
//
// Every error that leaves the upstream, entry and tracker packages carries a
// verdict. A caller uses it to decide whether a retry is safe.
//
// # Usage
//
//	err := classifier.New(classifier.NotRun, "no upstream is live")
//	if classifier.Of(err) == classifier.NotRun {
//		// The request can go elsewhere.
//	}
package classifier

import (
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/wire"
)

// Verdict says whether a request may have run.
type Verdict = wire.Verdict

// Verdicts, ordered by how far the request may have got.
const (
	NotRun     = wire.Verdict_not_run
	MayHaveRun = wire.Verdict_may_have_run
	Ran        = wire.Verdict_ran
)

// Error is a failure with its verdict and the time after which to retry.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is a one-line, human-readable message.
	Reason string
	// RetryAfter is the recommended wait before a retry; 0 if unknown.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// Error returns the reason and the cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error with verdict v and the given reason.
func New(v Verdict, reason string) *Error {
	return &Error{Verdict: v, Reason: reason}
}

// Wrap returns an error with verdict v, the given reason and a cause.
func Wrap(v Verdict, err error, reason string) *Error {
	return &Error{Verdict: v, Reason: reason, Err: err}
}

// RetryLater returns a NotRun error that recommends a retry after d.
func RetryLater(reason string, d time.Duration) *Error {
	return &Error{Verdict: NotRun, Reason: reason, RetryAfter: d}
}

// Of returns the verdict of err. It is MayHaveRun if err carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// Combine returns the verdict of a job from the verdicts of its tasks: NotRun if
// all of them are NotRun, Ran if all are Ran, and MayHaveRun otherwise.
func Combine(vs []Verdict) Verdict {
	ran, notRun := 0, 0
	for _, v := range vs {
		switch v {
		case Ran:
			ran++
		case NotRun:
			notRun++
		}
	}
	switch len(vs) {
	case notRun:
		return NotRun
	case ran:
		return Ran
	}
	return MayHaveRun
}

// As returns the Error inside err, if there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
