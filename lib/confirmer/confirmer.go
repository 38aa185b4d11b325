// Package confirmer confirms what this entry knows of the registered entries with a read of the
// store.
//
// The watch of the registrations may be late, and an entry that is cut off learns nothing. What an
// upstream's silence means depends on whether another entry owns the upstream by now, so whoever
// concludes from silence that a run is over confirms first that it still is the owner.
//
// # Usage
//
//	c := &confirmer.Confirmer{Read: read, Known: known, Log: log}
//	if c.ConfirmedSince(ctx, leaseEnd) { ... }    // starts a read if there is none yet
//	ok, err := c.Confirm(ctx)
package confirmer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/divider"
)

const (
	// readTimeout bounds one read.
	readTimeout = time.Second
	// readInterval is the shortest time between the starts of two reads. It bounds the reads while
	// many upstreams are silent.
	readInterval = 100 * time.Millisecond
)

// Confirmer compares what is known with the store. Exported fields are set before the first call.
type Confirmer struct {
	// Read reads the registered entries from the store.
	Read func(ctx context.Context) (divider.View, error)
	// Known returns the view from which the owners of upstreams were computed; 0 if there is none.
	Known func() divider.View
	// Confirmed is called after a read that showed the known view.
	Confirmed func()
	// Log receives events.
	Log zerolog.Logger

	mu sync.Mutex
	// confirmedAt is when the last read was sent that showed the known view.
	confirmedAt time.Time
	// nextRead is the time before which no further read is started.
	nextRead time.Time
	reading  bool
}

// Confirm reads the registered entries and reports whether they are the known ones.
func (c *Confirmer) Confirm(ctx context.Context) (bool, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	view, err := c.Read(call)
	if err != nil || view != c.Known() {
		return false, err
	}
	c.mu.Lock()
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
	c.mu.Unlock()
	c.Confirmed()
	return true, nil
}

// ConfirmedSince reports whether a read that was sent after the given time has shown the known
// view. If none has, one is started unless it is under way.
func (c *Confirmer) ConfirmedSince(ctx context.Context, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.After(at) {
		return true
	}
	now := time.Now()
	if c.reading || now.Before(c.nextRead) {
		return false
	}
	c.reading, c.nextRead = true, now.Add(readInterval)
	go func() {
		if _, err := c.Confirm(ctx); err != nil {
			c.Log.Debug().Err(err).Msg("members_not_confirmed")
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reading = false
	}()
	return false
}
