package composer

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/loader"
)

// Settings holds the contents of the settings file of one process.
type Settings struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"failure_domain"`
	// FailureDomains lists all failure domains that have entries, separated by commas; empty if unknown.
	FailureDomains    string `toml:"failure_domains"`
	CallerAddress     string `toml:"caller_address"`
	ReadinessAddress  string `toml:"readiness_address"`
	EntryAddress      string `toml:"entry_address"`
	OperatorAddress   string `toml:"operator_address"`
	PlatformAddress   string `toml:"platform_address"`
	StoreWrites       int    `toml:"store_writes"`
	LogLevel          string `toml:"log_level"`
	Cores             string `toml:"cores"`
	FarFactor         string `toml:"far_factor"`
	MemoryMB          int    `toml:"memory_mb"`
	Evacuation        bool   `toml:"evacuation"`
	CongestionControl bool   `toml:"congestion_control"`
	Delegation        bool   `toml:"delegation"`
	TightPacking      bool   `toml:"tight_packing"`
	Separation        bool   `toml:"separation"`
	OverloadControl   bool   `toml:"overload_control"`
	BalancerWait      string `toml:"balancer_wait"`
	DrainLimit        string `toml:"drain_limit"`
	BodyTimeout       string `toml:"body_timeout"`
	MaxConnections    int    `toml:"max_connections"`
	MaxDescriptors    int    `toml:"max_descriptors"`
}

// fields is the table of settings with their defaults and validators.
func (s *Settings) fields() []loader.Field {
	return []loader.Field{
		{Key: "name", Value: &s.Name, Check: loader.Name},
		{Key: "failure_domain", Value: &s.FailureDomain, Check: loader.Name},
		{Key: "failure_domains", Value: &s.FailureDomains, Default: ""},
		{Key: "caller_address", Value: &s.CallerAddress, Check: loader.Address},
		{Key: "readiness_address", Value: &s.ReadinessAddress, Check: loader.Address},
		{Key: "entry_address", Value: &s.EntryAddress, Check: loader.Address},
		{Key: "operator_address", Value: &s.OperatorAddress, Check: loader.Address},
		{Key: "platform_address", Value: &s.PlatformAddress, Check: loader.Address},
		{Key: "store_writes", Value: &s.StoreWrites, Default: 400, Check: loader.IntRange(1, 1<<20)},
		{Key: "log_level", Value: &s.LogLevel, Default: "info", Check: loader.OneOf("debug", "info", "warn", "error")},
		{Key: "cores", Value: &s.Cores, Default: "1", Check: loader.FloatRange(0.01, 1024)},
		{Key: "far_factor", Value: &s.FarFactor, Default: "1", Check: loader.FloatRange(1, 100)},
		{Key: "memory_mb", Value: &s.MemoryMB, Default: 256, Check: loader.IntRange(32, 1<<20)},
		{Key: "evacuation", Value: &s.Evacuation, Default: false},
		{Key: "congestion_control", Value: &s.CongestionControl, Default: false},
		{Key: "delegation", Value: &s.Delegation, Default: false},
		{Key: "tight_packing", Value: &s.TightPacking, Default: false},
		{Key: "separation", Value: &s.Separation, Default: false},
		{Key: "overload_control", Value: &s.OverloadControl, Default: false},
		{Key: "balancer_wait", Value: &s.BalancerWait, Default: "2500ms", Check: loader.DurationRange(0, time.Minute)},
		{Key: "drain_limit", Value: &s.DrainLimit, Default: "5500ms", Check: loader.DurationRange(time.Second, time.Hour)},
		{Key: "body_timeout", Value: &s.BodyTimeout, Default: "10s", Check: loader.DurationRange(time.Second, time.Hour)},
		{Key: "max_connections", Value: &s.MaxConnections, Default: 0, Check: loader.IntRange(0, 1<<20)},
		{Key: "max_descriptors", Value: &s.MaxDescriptors, Default: 0, Check: loader.IntRange(0, 1<<30)},
	}
}

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{}
	return s, loader.Load(path, s, s.fields())
}

// settingsInterval is the time between two reads of the settings file, which
// may change without a signal.
const settingsInterval = time.Second

// followSettings reloads changed settings until ctx ends.
func (e *Entry) followSettings(ctx context.Context) {
	if e.SettingsPath == "" {
		return
	}
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Hangups:
		case <-t.C:
		}
		s, err := LoadSettings(e.SettingsPath)
		if err != nil {
			e.Log.Error().Err(err).Msg("settings_refused")
			continue
		}
		if *s != *e.current.Load() {
			e.applySettings(s)
		}
	}
}

// applySettings puts settings in force. A change of a name, address or size
// takes effect only after a restart.
func (e *Entry) applySettings(s *Settings) {
	if old := e.current.Swap(s); old != nil {
		e.Log.Info().Str("balancer_wait", s.BalancerWait).Str("drain_limit", s.DrainLimit).Str("log_level", s.LogLevel).
			Bool("needs_restart", s.withoutReloadable() != old.withoutReloadable()).Msg("settings_in_force")
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		e.Log.Error().Err(err).Msg("log_level_refused")
		return
	}
	zerolog.SetGlobalLevel(level)
}

// withoutReloadable returns the settings without those that can change while the
// entry runs.
func (s *Settings) withoutReloadable() Settings {
	out := *s
	out.BalancerWait, out.DrainLimit, out.BodyTimeout, out.LogLevel = "", "", "", ""
	out.MaxConnections, out.MaxDescriptors = 0, 0
	return out
}

// weightPerCore is the weight of one core in the division of the upstreams. A
// tenth of a core has weight 2.
const weightPerCore = 20

// farFactor returns the factor by which the run time of a task grows on an
// upstream that is not near the task's data.
func (s *Settings) farFactor() float64 {
	// LoadSettings has already checked the value.
	f, _ := strconv.ParseFloat(s.FarFactor, 64)
	return f
}

// weight returns the weight of this entry in the division of the upstreams among
// the entries.
func (s *Settings) weight() uint32 {
	return uint32(max(1, math.Round(s.cores()*weightPerCore)))
}

// cores returns the share of a core that this entry may use.
func (s *Settings) cores() float64 {
	// LoadSettings has already checked the value.
	n, _ := strconv.ParseFloat(s.Cores, 64)
	return n
}
