// Command stand runs one case of the review: it serves small stand-ins for the
// platform's store and for workers on loopback, starts entries of radishweir as
// separate processes, acts as their clients and judges what it saw.
//
// # Usage
//
//	stand CASE FOLDER
//
// FOLDER gets record.txt. The exit code is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// errSetup marks errors because of which a case could not run.
var errSetup = errors.New("setup")

// cases holds the function of each case. It returns what broke the rule, empty if
// the rule held.
var cases = map[string]func(s *scene) (string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and returns the exit code.
func run(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer rec.close()
	s, err := newScene(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("the case could not run: %v", err)
		return cannotRun
	}
	defer s.close()
	type result struct {
		why string
		err error
	}
	done := make(chan result, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- result{"", fmt.Errorf("panic: %v", p)}
			}
		}()
		why, err := cases[name](s)
		done <- result{why, err}
	}()
	var r result
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
		r.err = errors.New("the case was interrupted")
	case r = <-done:
	case <-time.After(timeLimit):
		r.err = errors.New("the case took too long")
	}
	switch {
	case r.err != nil:
		rec.note("the case could not run: %v", r.err)
		return cannotRun
	case r.why != "":
		rec.note("BROKEN: %s", r.why)
		return broken
	}
	rec.note("the rule held")
	return held
}
