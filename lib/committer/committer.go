// Package committer batches independent writes to the platform's store into few
// transactions.
//
// Writes of different keys that are queued at the same time go into one
// transaction. A transaction is all or nothing, so after a conflict each of its
// writes is tried alone. A write whose answer was lost is retried until its outcome
// is known.
//
// # Usage
//
//	c := &committer.Committer{Store: store, Interval: 30 * time.Millisecond, Log: log}
//	go c.Run(ctx)
//	c.Commit(platform.Write{Key: key, Value: value, Expected: revision}, func(revision int64, err error) { ... })
package committer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"radishweir.org/lib/platform"
)

const (
	// batchLimit is the most writes in a transaction. Each needs two operations, a
	// comparison and a write, and the store allows 32 of them in a transaction.
	batchLimit = 16
	// batchBytes bounds the sum of the values in a transaction, except for a single
	// larger value. It is well under the store's limit for one value.
	batchBytes = 256 << 10
	// callTimeout bounds one call to the store.
	callTimeout = 1500 * time.Millisecond
	// retryInterval is the pause before a write of unknown outcome is tried again.
	retryInterval = 100 * time.Millisecond
)

// Committer queues and batches writes. Exported fields are set before Run.
type Committer struct {
	Store platform.Store
	// Interval returns the shortest time between the starts of two transactions; nil
	// means no limit.
	Interval func() time.Duration
	// Log receives events.
	Log zerolog.Logger

	mu        sync.Mutex
	queue     []queuedWrite
	wake      chan struct{}
	lastStart time.Time
}

// queuedWrite is a queued write with the callback for its result.
type queuedWrite struct {
	write platform.Write
	done  func(revision int64, err error)
}

// Commit queues a conditional write and calls done with its result: the new
// revision, platform.ErrConflict, or platform.ErrUnavailable if nothing was
// written. done must not block.
func (c *Committer) Commit(w platform.Write, done func(revision int64, err error)) {
	c.mu.Lock()
	c.queue = append(c.queue, queuedWrite{w, done})
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	wake := c.wake
	c.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run writes the queued changes until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	c.mu.Lock()
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	wake := c.wake
	c.mu.Unlock()
	for ctx.Err() == nil {
		batch := c.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
			case <-wake:
				c.pace(ctx)
			}
			continue
		}
		c.writeBatch(ctx, batch)
		c.pace(ctx)
	}
}

// pace waits until the next transaction may start.
func (c *Committer) pace(ctx context.Context) {
	if c.Interval != nil {
		pause(ctx, time.Until(c.lastStart.Add(c.Interval())))
	}
}

// nextBatch removes the changes of the next transaction from the queue. Two writes of one key
// do not go into the same transaction: both would be compared with the value before it, so that
// the second overwrites the first.
func (c *Committer) nextBatch() []queuedWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, size := 0, 0
	keys := make(map[string]bool)
	for n < len(c.queue) && n < batchLimit {
		w := c.queue[n].write
		if keys[w.Key] || (n > 0 && size+len(w.Value) > batchBytes) {
			break
		}
		keys[w.Key] = true
		size += len(w.Value)
		n++
	}
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	return batch
}

// writeBatch writes a batch in one transaction. If that fails with a conflict or an
// unknown outcome, it writes the changes one by one.
func (c *Committer) writeBatch(ctx context.Context, batch []queuedWrite) {
	c.lastStart = time.Now()
	writes := make([]platform.Write, 0, len(batch))
	for _, b := range batch {
		writes = append(writes, b.write)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	revision, err := c.Store.Swap(call, writes...)
	cancel()
	unknown := errors.Is(err, platform.ErrUnknown)
	if err == nil || errors.Is(err, platform.ErrUnavailable) || (len(batch) == 1 && !unknown) {
		for _, b := range batch {
			b.done(revision, err)
		}
		return
	}
	c.Log.Info().Int("writes", len(batch)).Err(err).Msg("transaction_split")
	for _, b := range batch {
		if unknown {
			// Resolving the outcome can take as long as an outage of the store
			// and must not hold up other writes.
			go func() { b.done(c.resolve(ctx, b.write)) }()
			continue
		}
		c.writeBatch(ctx, []queuedWrite{b})
	}
}

// resolve retries a write of unknown outcome until the outcome is known or ctx ends.
// After a conflict it compares the stored value with the written one, because the
// conflict may come from an earlier attempt that took effect.
func (c *Committer) resolve(ctx context.Context, w platform.Write) (int64, error) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		revision, err := c.Store.Swap(call, w)
		cancel()
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			kv, err := c.Store.Get(call, w.Key)
			cancel()
			switch {
			case err != nil:
			case w.Delete == (kv.Revision == 0) && (w.Delete || bytes.Equal(kv.Value, w.Value)):
				return kv.Revision, nil
			default:
				return 0, platform.ErrConflict
			}
		}
		pause(ctx, retryInterval)
	}
	return 0, platform.ErrUnknown
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
