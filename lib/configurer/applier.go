package configurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/platform"
)

// historyLength is the number of revisions kept per service.
const historyLength = 20

// maxResolveAttempts bounds the attempts to determine the outcome of a write.
const maxResolveAttempts = 20

// resolveInterval is the time between these attempts.
const resolveInterval = 250 * time.Millisecond

// ErrOutcomeUnknown reports that a configuration may or may not have been
// written.
var ErrOutcomeUnknown = errors.New("it is unknown whether the platform accepted the configuration")

// ConflictError reports that another operator's configuration was written first.
type ConflictError struct {
	// Current is the configuration that the platform holds.
	Current *Service
}

// Error names the author and time of the current configuration.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d of %s was applied at %s before this one; nothing was changed",
		e.Current.GetRevision(), e.Current.GetAuthor(), e.Current.GetAppliedAt().AsTime().Format(time.RFC3339))
}

// Applier writes new configurations to the platform. Exported fields are set
// before use.
type Applier struct {
	// Store is the platform's key-value service.
	Store platform.Store
	// Author is the operator's name.
	Author string
	// HighestInForce is the highest revision that any entry has in force.
	HighestInForce uint64
	// BasedOn is the revision that the operator's change is based on; 0 means
	// the current one.
	BasedOn uint64
}

// HistoryKey returns the platform's key of one revision in the history.
func HistoryKey(service string, revision uint64) string {
	return fmt.Sprintf("%s%s/%012d", platform.HistoryPrefix, service, revision)
}

// Current reads a service's configuration and the platform's revision of its
// key. The configuration is nil if there is none.
func Current(ctx context.Context, st platform.Store, service string) (*Service, int64, error) {
	kv, err := st.Get(ctx, Key(service))
	if err != nil || kv.Revision == 0 {
		return nil, 0, err
	}
	s, err := Decode(kv.Value)
	return s, kv.Revision, err
}

// Apply writes s with the next revision. It returns nil only if the platform
// accepted s, a ConflictError if another operator's configuration was accepted
// instead, and ErrOutcomeUnknown if the outcome cannot be determined.
func (a *Applier) Apply(ctx context.Context, s *Service) error {
	old, keyRevision, err := Current(ctx, a.Store, s.GetService())
	if err != nil {
		return errors.Wrap(err, "read the current configuration")
	}
	if a.BasedOn != 0 && a.BasedOn != old.GetRevision() {
		return &ConflictError{old}
	}
	a.stamp(s, old)
	w, err := transaction(s, keyRevision)
	if err != nil {
		return err
	}
	_, err = a.Store.Swap(ctx, w...)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return a.resolveConflict(ctx, s)
	case errors.Is(err, platform.ErrUnknown):
		return a.resolveUnknownWrite(ctx, s, w)
	}
	return err
}

// stamp sets the revision, write identifier, author and times of s. PlacedAt
// changes only if the failure domains do.
func (a *Applier) stamp(s, old *Service) {
	s.Revision = max(old.GetRevision(), a.HighestInForce) + 1
	s.WriteId = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	s.Author = a.Author
	s.AppliedAt = timestamppb.Now()
	s.PlacedAt = old.GetPlacedAt()
	if old != nil && !slices.Equal(old.GetFailureDomains(), s.GetFailureDomains()) {
		s.PlacedAt = s.AppliedAt
	}
}

// transaction returns the writes that store s and its history entry and delete
// the oldest history entry.
func transaction(s *Service, keyRevision int64) ([]platform.Write, error) {
	data, err := Encode(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	w := []platform.Write{
		{Key: Key(s.GetService()), Value: data, Expected: keyRevision},
		{Key: HistoryKey(s.GetService(), s.GetRevision()), Value: data, Unconditional: true},
	}
	if s.GetRevision() > historyLength {
		old := HistoryKey(s.GetService(), s.GetRevision()-historyLength)
		w = append(w, platform.Write{Key: old, Unconditional: true, Delete: true})
	}
	return w, nil
}

// resolveUnknownWrite determines the outcome of a write whose response was lost.
// It reads the current configuration and repeats the write as long as the
// previous one is still there. Repeating it is safe because all attempts expect
// the same key revision, so at most one takes effect.
func (a *Applier) resolveUnknownWrite(ctx context.Context, s *Service, w []platform.Write) error {
	for range maxResolveAttempts {
		current, keyRevision, err := Current(ctx, a.Store, s.GetService())
		if err == nil && keyRevision != w[0].Expected {
			return a.compareWithCurrent(ctx, s, current)
		}
		if err == nil {
			_, err = a.Store.Swap(ctx, w...)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-time.After(resolveInterval):
		}
	}
	return ErrOutcomeUnknown
}

// resolveConflict reads the configuration that made a compare-and-swap fail.
func (a *Applier) resolveConflict(ctx context.Context, s *Service) error {
	for range maxResolveAttempts {
		if current, _, err := Current(ctx, a.Store, s.GetService()); err == nil {
			return a.compareWithCurrent(ctx, s, current)
		}
		select {
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-time.After(resolveInterval):
		}
	}
	return ErrOutcomeUnknown
}

// compareWithCurrent returns nil if s was written: by a write whose response was
// lost, s may be the current configuration or an earlier one that has been
// replaced since.
func (a *Applier) compareWithCurrent(ctx context.Context, s, current *Service) error {
	switch {
	case current.GetWriteId() == s.GetWriteId():
		return nil
	case current.GetRevision() > s.GetRevision():
		return a.checkHistory(ctx, s, current)
	}
	return &ConflictError{current}
}

// checkHistory returns nil if the history shows that s was accepted before
// current replaced it.
func (a *Applier) checkHistory(ctx context.Context, s, current *Service) error {
	kv, err := a.Store.Get(ctx, HistoryKey(s.GetService(), s.GetRevision()))
	if err != nil {
		return ErrOutcomeUnknown
	}
	if recorded, err := Decode(kv.Value); err == nil && recorded.GetWriteId() == s.GetWriteId() {
		return nil
	}
	return &ConflictError{current}
}
