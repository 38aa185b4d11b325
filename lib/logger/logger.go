// Package logger writes each log event as one line of key=value pairs.
//
// # Usage
//
//	log, err := logger.New(os.Stderr, "info")
//	log.Info().Str("service", "claims").Msg("configuration_in_force")
//
// prints
//
//	time=2026-12-04T00:00:00.000Z level=info event=configuration_in_force service=claims
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// timeFormat is RFC 3339 in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of at least the given level to w.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), errors.Errorf("log level %q is none of debug, info, warn, error", level)
	}
	return zerolog.New(newConsoleWriter(w)).Level(l).Hook(timestampHook{}), nil
}

// queueLength is the number of events that are buffered for a slow reader:
// about ten seconds of events of a busy entry.
const queueLength = 2000

// flushTimeout bounds how long the end of a process waits for a reader of its log.
const flushTimeout = 200 * time.Millisecond

// flushInterval is the time between two looks at the queue while it is written out, so short
// that it does not delay the end of a process.
const flushInterval = 5 * time.Millisecond

// NewAsync is like New, but logging never blocks on w. Events that do not fit
// into the queue are dropped, and onDropped is called with their number. The
// returned function writes out the queue, for at most 200 ms; events that are logged
// after its call are lost.
func NewAsync(w io.Writer, level string, onDropped func(n int)) (zerolog.Logger, func(), error) {
	l, err := New(w, level)
	if err != nil {
		return l, nil, err
	}
	q := &queue{out: newConsoleWriter(w)}
	q.Writer = diode.NewWriter(output{q}, queueLength, 0, func(n int) {
		q.settled.Add(int64(n))
		if onDropped != nil {
			onDropped(n)
		}
	})
	return l.Output(q), q.flush, nil
}

// queue buffers events for a slow reader. Closing a diode.Writer may leave behind events that
// were written just before, so flush waits for them.
type queue struct {
	diode.Writer
	out io.Writer
	// accepted is the number of events that were logged, settled that of those which were
	// written or dropped.
	accepted, settled atomic.Int64
}

// Write implements io.Writer.
func (q *queue) Write(p []byte) (int, error) {
	q.accepted.Add(1)
	return q.Writer.Write(p)
}

// flush writes out the events that were logged before its call, and ends the queue.
func (q *queue) flush() {
	deadline, seen := time.Now().Add(flushTimeout), int64(-1)
	for last := q.accepted.Load(); time.Now().Before(deadline); time.Sleep(flushInterval) {
		n := q.settled.Load()
		if n >= last {
			break
		}
		if n == seen {
			// The reader may have missed the last event. An empty one wakes it.
			_, _ = q.Write(nil)
		}
		seen = n
	}
	// Close may wait for the output for longer. It fails only if that can be closed.
	go func() { _ = q.Close() }()
}

// output writes the events of a queue. It has no Close method, so that closing the queue
// leaves the output open.
type output struct{ queue *queue }

// Write implements io.Writer.
func (o output) Write(p []byte) (int, error) {
	defer o.queue.settled.Add(1)
	if len(p) == 0 {
		return 0, nil
	}
	return o.queue.out.Write(p)
}

// newConsoleWriter returns a writer that formats events as key=value pairs.
func newConsoleWriter(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatMessage:   func(v any) string { return fmt.Sprintf("event=%v", v) },
		FormatFieldName: func(v any) string { return fmt.Sprintf("%v=", v) },
	}
}

// timestampHook adds the current time to each event, in timeFormat.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}
