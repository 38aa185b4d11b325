package placer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ShardsPerDomain is the number of shards in each failure domain.
const ShardsPerDomain = 64

// MaxIdentifierBytes is the longest job identifier.
const MaxIdentifierBytes = 128

// issuedParts is the number of dot-separated parts of an issued identifier.
const issuedParts = 4

// Shard identifies one shard of one failure domain.
type Shard struct {
	FailureDomain string
	Number        int
}

// String returns the shard in the form "north/12".
func (s Shard) String() string { return s.FailureDomain + "/" + strconv.Itoa(s.Number) }

// ParseShard parses the form that String returns.
func ParseShard(text string) (Shard, bool) {
	fd, n, ok := strings.Cut(text, "/")
	number, err := strconv.Atoi(n)
	if !ok || err != nil || number < 0 || number >= ShardsPerDomain || fd == "" {
		return Shard{}, false
	}
	return Shard{fd, number}, true
}

// Issue returns a fresh job identifier in shard s and its epoch e.
func Issue(s Shard, e uint64) string {
	return fmt.Sprintf("%s.%d.%d.%016x", s.FailureDomain, s.Number, e, rand.Uint64())
}

// ParseIssued parses an identifier made by Issue; ok is false for any other.
func ParseIssued(id string) (s Shard, epoch uint64, ok bool) {
	parts := strings.Split(id, ".")
	if len(parts) != issuedParts {
		return Shard{}, 0, false
	}
	number, err := strconv.Atoi(parts[1])
	if err != nil || number < 0 || number >= ShardsPerDomain {
		return Shard{}, 0, false
	}
	epoch, err = strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Shard{}, 0, false
	}
	return Shard{parts[0], number}, epoch, true
}

// ShardOf returns the shard of a job. An issued identifier names its shard; any
// other is hashed, with the tenant, over all shards of domains.
func ShardOf(tenant, id string, domains []string) (Shard, bool) {
	if s, _, ok := ParseIssued(id); ok {
		return s, true
	}
	if len(domains) == 0 {
		return Shard{}, false
	}
	h := xxhash.Sum64String(tenant + "\x00" + id)
	n := int(h % uint64(len(domains)*ShardsPerDomain))
	return Shard{domains[n/ShardsPerDomain], n % ShardsPerDomain}, true
}

// ValidIdentifier reports whether id is 1 to 128 letters, digits, dots, colons,
// hyphens and underscores.
func ValidIdentifier(id string) bool {
	if id == "" || len(id) > MaxIdentifierBytes {
		return false
	}
	for _, c := range id {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.ContainsRune(".:_-", c):
		default:
			return false
		}
	}
	return true
}
