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

// NewAsync is like New, but logging never blocks on w. Events that do not fit
// into the queue are dropped, and onDropped is called with their number. The
// returned function writes out the queue, for at most 200 ms; events that are logged
// after its call are lost.
func NewAsync(w io.Writer, level string, onDropped func(n int)) (zerolog.Logger, func(), error) {
	l, err := New(w, level)
	if err != nil {
		return l, nil, err
	}
	queue := diode.NewWriter(unclosable{newConsoleWriter(w)}, queueLength, 0, onDropped)
	flush := func() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			// Close only fails if the wrapped writer can be closed.
			_ = queue.Close()
		}()
		select {
		case <-done:
		case <-time.After(flushTimeout):
		}
	}
	return l.Output(queue), flush, nil
}

// unclosable hides the Close method of a writer, so that closing the queue leaves the
// output open.
type unclosable struct{ io.Writer }

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
