// Package retainer holds registrations and retains those that lapsed during an
// outage of their source.
//
// Registrations may lapse during an outage of the store although the upstreams
// or entries that they name are alive. After a full read, each known
// registration that the read did not contain is therefore retained for the
// grace period, as is one that is removed within that period.
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
	// retainUntil is the time until which a missing registration is retained, zero
	// while the registration is present.
	retainUntil time.Time
}

// Retainer holds registrations of type T by key. Exported fields are set before
// the first call.
type Retainer[T any] struct {
	// Grace is how long a missing registration is retained after a full read.
	Grace time.Duration

	records map[string]record[T]
	// graceEnd is the end of the grace period of the last full read.
	graceEnd time.Time
}

// Reset begins a full read: registrations that are not put again are dropped after
// the grace period. It reports whether any registration was known before.
func (r *Retainer[T]) Reset(now time.Time) bool {
	if len(r.records) == 0 {
		return false
	}
	r.graceEnd = now.Add(r.Grace)
	for key, v := range r.records {
		if v.retainUntil.IsZero() {
			v.retainUntil = r.graceEnd
			r.records[key] = v
		}
	}
	return true
}

// Put sets a registration and returns its old value. present is false if there
// was no old value or it was missing.
func (r *Retainer[T]) Put(key string, value T) (old T, present bool) {
	if r.records == nil {
		r.records = make(map[string]record[T])
	}
	v, ok := r.records[key]
	r.records[key] = record[T]{value: value}
	return v.value, ok && v.retainUntil.IsZero()
}

// Drop removes a registration, but retains it until the end of the grace period if
// one is running. It reports whether the registration was removed at once.
func (r *Retainer[T]) Drop(key string, now time.Time) bool {
	v, ok := r.records[key]
	if !ok {
		return false
	}
	if now.Before(r.graceEnd) {
		v.retainUntil = r.graceEnd
		r.records[key] = v
		return false
	}
	delete(r.records, key)
	return true
}

// Get returns a registration; ok is false if it is unknown or missing.
func (r *Retainer[T]) Get(key string) (value T, ok bool) {
	v, ok := r.records[key]
	return v.value, ok && v.retainUntil.IsZero()
}

// All returns the registrations in order of their keys, including missing ones in
// their grace period, and removes those whose grace period has ended.
func (r *Retainer[T]) All(now time.Time) []T {
	out := make([]T, 0, len(r.records))
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		v := r.records[key]
		if !v.retainUntil.IsZero() && !now.Before(v.retainUntil) {
			delete(r.records, key)
			continue
		}
		out = append(out, v.value)
	}
	return out
}
