// Package logger writes one line of key=value pairs for each event.
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
	return zerolog.New(console(w)).Level(l).Hook(stamp{}), nil
}

// queueLength is the number of events that wait for a slow reader; about ten
// seconds of events of a busy entry.
const queueLength = 2000

// NewAsync is New for programs that must not wait for the reader of their logs.
// Events that find the queue full are left out and counted through missed.
func NewAsync(w io.Writer, level string, missed func(n int)) (zerolog.Logger, error) {
	l, err := New(w, level)
	if err != nil {
		return l, err
	}
	return l.Output(diode.NewWriter(console(w), queueLength, 0, missed)), nil
}

// console formats events as key=value pairs.
func console(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatMessage:   func(v any) string { return fmt.Sprintf("event=%v", v) },
		FormatFieldName: func(v any) string { return fmt.Sprintf("%v=", v) },
	}
}

// stamp adds the time to each event, in UTC with milliseconds.
type stamp struct{}

// Run implements zerolog.Hook.
func (stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}
