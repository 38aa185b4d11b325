// Command radishweir is the entry daemon.
//
// It takes jobs from callers, brings each to its home among the entries, runs
// its tasks on upstreams and answers with the whole result.
//
// # Usage
//
//	radishweir --settings radishweir.toml
//	radishweir --settings radishweir.toml --check-settings
//
// The first SIGTERM or SIGINT drains the process; a second one ends it with
// the verdict of every open job. The exit code is 0 after a drain, 1 after a
// failure and 2 for bad settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"radishweir.org/lib/logger"
	"radishweir.org/radishweir/internal/assembler"
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
	flaggy.Parse()

	settings, err := assembler.LoadSettings(path)
	if err != nil {
		fail(exitBadSettings, err)
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return
	}
	if err := run(settings); err != nil {
		fail(exitFailure, err)
	}
}

// fail prints err on one line and exits.
func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "radishweir:", err)
	os.Exit(code)
}

// run starts the entry and waits for its end.
func run(s *assembler.Settings) error {
	log, err := logger.New(os.Stderr, s.LogLevel)
	if err != nil {
		return err
	}
	e, err := assembler.New(s, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return e.Run(context.Background(), signals)
}
