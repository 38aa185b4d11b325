package assembler

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/entry"
	"radishweir.org/lib/loader"
)

// Settings holds the contents of an entry's settings file.
type Settings struct {
	Name              string   `toml:"name"`
	FailureDomain     string   `toml:"failure_domain"`
	CallerAddress     string   `toml:"caller_address"`
	EntryAddress      string   `toml:"entry_address"`
	OperatorAddress   string   `toml:"operator_address"`
	PlatformAddresses []string `toml:"platform_addresses"`
	CertificateFile   string   `toml:"certificate_file"`
	KeyFile           string   `toml:"key_file"`
	AuthorityFile     string   `toml:"authority_file"`
	LogLevel          string   `toml:"log_level"`
	Weight            int      `toml:"weight"`
	BalancerWait      string   `toml:"balancer_wait"`
	DrainLimit        string   `toml:"drain_limit"`
	Seeds             []string `toml:"seeds"`
	MemoryMB          int      `toml:"memory_mb"`
	MaxConnections    int      `toml:"max_connections"`
	MaxDescriptors    int      `toml:"max_descriptors"`
}

// fields lists the settings with their defaults and validators.
func (s *Settings) fields() []loader.Field {
	return []loader.Field{
		{Key: "name", Value: &s.Name, Check: loader.Name},
		{Key: "failure_domain", Value: &s.FailureDomain, Check: loader.Name},
		{Key: "caller_address", Value: &s.CallerAddress, Check: loader.Address},
		{Key: "entry_address", Value: &s.EntryAddress, Check: loader.Address},
		{Key: "operator_address", Value: &s.OperatorAddress, Check: loader.Address},
		{Key: "platform_addresses", Value: &s.PlatformAddresses, Check: loader.Addresses},
		{Key: "certificate_file", Value: &s.CertificateFile, Check: loader.File},
		{Key: "key_file", Value: &s.KeyFile, Check: loader.File},
		{Key: "authority_file", Value: &s.AuthorityFile, Check: loader.File},
		{Key: "log_level", Value: &s.LogLevel, Default: "info", Check: loader.OneOf("debug", "info", "warn", "error")},
		{Key: "weight", Value: &s.Weight, Default: 1, Check: loader.IntRange(1, 100)},
		{Key: "balancer_wait", Value: &s.BalancerWait, Default: "2s", Check: loader.DurationRange(0, time.Minute)},
		{Key: "drain_limit", Value: &s.DrainLimit, Default: "60s", Check: loader.DurationRange(time.Second, time.Hour)},
		{Key: "seeds", Value: &s.Seeds, Default: []string{}, Check: checkSeeds},
		{Key: "memory_mb", Value: &s.MemoryMB, Default: 0, Check: loader.IntRange(0, 1<<20)},
		{Key: "max_connections", Value: &s.MaxConnections, Default: 0, Check: loader.IntRange(0, 1<<20)},
		{Key: "max_descriptors", Value: &s.MaxDescriptors, Default: 0, Check: loader.IntRange(0, 1<<30)},
	}
}

// checkSeeds accepts a list of name=address pairs.
func checkSeeds(v any) error {
	list, _ := v.([]string)
	for _, s := range list {
		name, address, ok := strings.Cut(s, "=")
		if !ok || !loader.ValidName(name) || loader.Address(address) != nil {
			return errors.New("allowed is a list such as [\"entry-1=127.0.0.1:7101\"]")
		}
	}
	return nil
}

// seedPeers returns the peers that the seeds name.
func (s *Settings) seedPeers() []entry.Peer {
	var out []entry.Peer
	for _, text := range s.Seeds {
		name, address, _ := strings.Cut(text, "=")
		out = append(out, entry.Peer{Name: name, Address: address})
	}
	return out
}

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{}
	return s, loader.Load(path, s, s.fields())
}
