// Command load sends jobs to a fleet of entries, measures the responses and checks
// invariants.
//
// # Usage
//
//	load --scenario steady.toml
//
// It prints response times relative to two ideal schedulers, messages per task
// and the number of violated invariants. The exit code is 1 if any invariant was
// violated, and 2 if the scenario is invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/integrii/flaggy"

	"radishweir.org/load/internal/driver"
	"radishweir.org/load/internal/reporter"
)

func main() {
	path := "scenario.toml"
	asJSON := false
	load, seconds, seed := 0.0, 0.0, 0
	flaggy.SetName("load")
	flaggy.SetDescription("an open-loop load for radishweir")
	flaggy.String(&path, "s", "scenario", "the scenario file, in TOML")
	flaggy.Bool(&asJSON, "j", "json", "print JSON")
	flaggy.Float64(&load, "l", "load", "share of the upstreams' capacity; goes before the file")
	flaggy.Float64(&seconds, "t", "seconds", "length of the run; goes before the file")
	flaggy.Int(&seed, "e", "seed", "seed of the trace; goes before the file")
	flaggy.Parse()

	s, err := loadScenario(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(2)
	}
	applyFlags(s, load, seconds, seed)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r := reporter.Measure(ctx, s)
	r.Print(os.Stdout, asJSON)
	if r.Violations.Total() > 0 {
		os.Exit(1)
	}
}

// applyFlags overrides values of the scenario file by the flags that are set.
func applyFlags(s *driver.Scenario, load, seconds float64, seed int) {
	if load > 0 {
		s.Load, s.TasksPerSecond = load, 0
	}
	if seconds > 0 {
		s.Seconds = seconds
	}
	if seed > 0 {
		s.Seed = seed
	}
}
