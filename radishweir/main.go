// Command radishweir is the entry daemon.
//
// It accepts jobs from callers, forwards each to its home among the entries,
// runs the tasks on upstreams and answers with the whole result.
//
// # Usage
//
//	radishweir --settings radishweir.toml
//	radishweir --settings radishweir.toml --check-settings
//	radishweir leased --settings leased.toml
//
// The subcommand leased serves a platform whose upstreams run tasks under
// leases. It has its own set of settings.
//
// The first SIGTERM or SIGINT drains the process; a second one ends it with
// the verdict of every open job. SIGHUP makes a leased entry reload its
// settings. The exit code is 0 after a drain, 1 after a failure and 2 for bad
// settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"radishweir.org/lib/logger"
	"radishweir.org/radishweir/internal/assembler"
	"radishweir.org/radishweir/internal/composer"
)

// version is the release of the program.
const version = "0.1.0"

// Exit codes.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

func main() {
	path := "radishweir.toml"
	checkOnly := false
	flaggy.SetName("radishweir")
	flaggy.SetDescription("the entry daemon of a dispatcher for sub-second tasks")
	flaggy.SetVersion(version)
	flaggy.String(&path, "s", "settings", "the settings file, in TOML")
	flaggy.Bool(&checkOnly, "c", "check-settings", "check the settings file and exit")
	leased := flaggy.NewSubcommand("leased")
	leased.Description = "serve upstreams that run tasks under leases"
	flaggy.AttachSubcommand(leased, 1)
	flaggy.Parse()

	build := newEntry
	if leased.Used {
		build = newLeased
	}
	if err := run(build, path, checkOnly); err != nil {
		code := exitFailure
		var bad *settingsError
		if errors.As(err, &bad) {
			code = exitBadSettings
		}
		fail(code, err)
	}
}

// settingsError reports settings that cannot be used.
type settingsError struct{ error }

// entry is a daemon that serves until it gets a signal.
type entry interface {
	Run(ctx context.Context, signals <-chan os.Signal) error
}

// builder reads the settings at path and, unless checkOnly is set, builds the
// daemon.
type builder func(path string, checkOnly bool) (entry, error)

// newEntry builds the entry for upstreams that answer each task separately.
func newEntry(path string, checkOnly bool) (entry, error) {
	s, err := assembler.LoadSettings(path)
	if err != nil {
		return nil, &settingsError{err}
	}
	if checkOnly {
		return nil, nil
	}
	log, err := logger.New(os.Stderr, s.LogLevel)
	if err != nil {
		return nil, err
	}
	return assembler.New(s, log)
}

// newLeased builds the entry for upstreams that run tasks under leases.
func newLeased(path string, checkOnly bool) (entry, error) {
	s, err := composer.LoadSettings(path)
	if err != nil {
		return nil, &settingsError{err}
	}
	if checkOnly {
		return nil, nil
	}
	// The entry sets the global level from its settings, which may change while
	// it runs, so the logger itself lets every level pass.
	missed := &atomic.Int64{}
	log, flush, err := logger.NewAsync(os.Stdout, zerolog.LevelDebugValue, func(n int) { missed.Add(int64(n)) })
	if err != nil {
		return nil, err
	}
	e, err := composer.New(s, log, missed)
	if err != nil {
		return nil, err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	e.SettingsPath, e.Hangups = path, hangups
	return &loggingEntry{entry: e, flush: flush}, nil
}

// loggingEntry writes out the queue of the entry's logger when the entry has ended.
type loggingEntry struct {
	entry
	flush func()
}

// Run implements entry.
func (e *loggingEntry) Run(ctx context.Context, signals <-chan os.Signal) error {
	defer e.flush()
	return e.entry.Run(ctx, signals)
}

// fail prints err on one line and exits.
func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "radishweir:", err)
	os.Exit(code)
}

// run builds the entry and serves until it stops.
func run(build builder, path string, checkOnly bool) error {
	e, err := build(path, checkOnly)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return nil
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return e.Run(context.Background(), signals)
}
