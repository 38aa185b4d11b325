// Package platform gives access to the platform's key-value service and VM list.
//
// The Store and Lister interfaces are narrow on purpose, so that other protocols
// can implement them. Etcd implements them on the published JSON mapping of etcd v3.
//
// # Usage
//
//	c := &platform.Etcd{Addresses: []string{"127.0.0.1:7900"}, Counter: counter}
//	entry, err := c.Get(ctx, "/radishweir/config/claims")
//
// Every call takes its deadline from ctx and is counted. A write whose answer is
// lost returns ErrUnknown, because it may have taken effect.
package platform

import (
	"context"

	"github.com/go-faster/errors"

	"radishweir.org/lib/wire"
)

// Prefix is the prefix of radishweir's keys.
const Prefix = "/radishweir/"

// Key prefixes, one per kind of value. HistoryPrefix lies outside Prefix, so that
// no entry watches the history.
const (
	ConfigurationPrefix = Prefix + "config/"
	HistoryPrefix       = "/radishweir-history/"
	EntryPrefix         = Prefix + "entries/"
	ShardPrefix         = Prefix + "shards/"
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Errors of a Store.
var (
	// ErrUnknown reports a write that may or may not have taken effect.
	ErrUnknown = errors.New("the write may or may not have taken effect")
	// ErrConflict reports a compare-and-swap that failed because of another write.
	ErrConflict = errors.New("the key was changed by another write")
	// ErrUnavailable reports a call that certainly had no effect.
	ErrUnavailable = errors.New("the platform cannot be reached")
	// ErrCompacted reports a watch from a revision that the store has compacted.
	ErrCompacted = errors.New("the watched revision is no longer kept")
)

// KeyValue is one key with its value and the revision of its last change.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64
}

// Snapshot is the result of a range read. If the read took several calls, Revision
// is that of the first.
type Snapshot struct {
	Revision  int64
	KeyValues []KeyValue
}

// Event is one change of a key. Deleted events carry no value.
type Event struct {
	KeyValue
	Deleted bool
}

// Write is one change inside a compare-and-swap.
type Write struct {
	Key   string
	Value []byte
	// Lease is the lease whose expiry deletes the key; 0 for none.
	Lease int64
	// Expected is the revision that the key must have; 0 if it must not exist.
	Expected int64
	// Unconditional skips the comparison.
	Unconditional bool
	// Delete removes the key.
	Delete bool
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key. A missing key has revision 0.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads all keys that start with prefix.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Swap applies all writes or none and returns the new revision.
	Swap(ctx context.Context, writes ...Write) (int64, error)
	// Grant creates a lease of ttl seconds.
	Grant(ctx context.Context, ttl int64) (int64, error)
	// KeepAlive renews a lease. It returns false if the lease has expired.
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	// Watch calls f for each batch of changes to keys with the prefix, starting at
	// revision. Progress notifications arrive as empty batches. Watch returns only
	// with an error.
	Watch(ctx context.Context, prefix string, revision int64, f func(batch []Event, revision int64)) error
}

// Lister is the platform's VM list.
type Lister interface {
	// VMs returns the list, or nil if it has not changed since revision since.
	VMs(ctx context.Context, since uint64) (*wire.VMList, error)
}
