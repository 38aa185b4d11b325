package main

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"radishweir.org/load/internal/driver"
)

// loadScenario reads and checks a scenario file.
func loadScenario(path string) (*driver.Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Errorf("scenario %s cannot be read", path)
	}
	defer func() { _ = f.Close() }()
	s := &driver.Scenario{Slots: 8, Seed: 1, Seconds: 10, MeanRunMS: 100, DeadlineMS: 20_000}
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(s); err != nil {
		return nil, errors.Errorf("scenario %s: %v", path, err)
	}
	switch {
	case len(s.Entries) == 0 || len(s.Tokens) == 0 || s.Service == "":
		return nil, errors.Errorf("scenario %s: entries, tokens and service are required", path)
	case len(s.Speeds) != len(s.Upstreams):
		return nil, errors.Errorf("scenario %s: speeds must have one number for each upstream", path)
	case s.Load <= 0 && s.TasksPerSecond <= 0:
		return nil, errors.Errorf("scenario %s: load or tasks_per_second is required", path)
	}
	return s, nil
}
