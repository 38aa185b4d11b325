// Package retainer holds registrations and keeps those that went missing while
// their source was away.
//
// Registrations may lapse during an outage of the store although what they name
// lives. After a full read each known registration that is not there again is
// kept for Grace, as is one that is removed within that time.
//
// # Usage
//
//	r := &retainer.Retainer[Upstream]{Grace: 2500 * time.Millisecond}
//	r.Reset(now)            // a full read follows
//	r.Put("u1", upstream)
//	gone := r.Drop("u2", now)
//	list := r.All(now)
//
// A Retainer is not safe for concurrent use.
package retainer

import (
	"maps"
	"slices"
	"time"
)

// record is one registration.
type record[T any] struct {
	value T
	// until is the end of the grace of a missing registration; zero while it is
	// there.
	until time.Time
}

// Retainer holds registrations of type T by key. Exported fields are set before
// the first call.
type Retainer[T any] struct {
	// Grace is how long a registration may be missing after a full read.
	Grace time.Duration

	records map[string]record[T]
	reset   time.Time
}

// Reset begins a full read: all that is not put again lapses after the grace.
// It reports whether anything was known before.
func (r *Retainer[T]) Reset(now time.Time) bool {
	if len(r.records) == 0 {
		return false
	}
	r.reset = now.Add(r.Grace)
	for key, v := range r.records {
		if v.until.IsZero() {
			v.until = r.reset
			r.records[key] = v
		}
	}
	return true
}

// Put sets a registration and returns the former one; whole is false if there
// was none or it was missing.
func (r *Retainer[T]) Put(key string, value T) (old T, whole bool) {
	if r.records == nil {
		r.records = make(map[string]record[T])
	}
	v, ok := r.records[key]
	r.records[key] = record[T]{value: value}
	return v.value, ok && v.until.IsZero()
}

// Drop removes a registration, after the grace if the source was away just now.
// It reports whether it is gone already.
func (r *Retainer[T]) Drop(key string, now time.Time) bool {
	v, ok := r.records[key]
	if !ok {
		return false
	}
	if now.Before(r.reset) {
		v.until = r.reset
		r.records[key] = v
		return false
	}
	delete(r.records, key)
	return true
}

// Get returns a registration that is there; a missing one is not returned.
func (r *Retainer[T]) Get(key string) (value T, ok bool) {
	v, ok := r.records[key]
	return v.value, ok && v.until.IsZero()
}

// All returns the registrations by key, missing ones within their grace
// included, and forgets the others.
func (r *Retainer[T]) All(now time.Time) []T {
	out := make([]T, 0, len(r.records))
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		v := r.records[key]
		if !v.until.IsZero() && !now.Before(v.until) {
			delete(r.records, key)
			continue
		}
		out = append(out, v.value)
	}
	return out
}
