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

// historyLength is the number of revisions that are kept of each service.
const historyLength = 20

// settleTries bounds the tries to find out what became of a write.
const settleTries = 20

// settleInterval is the time between them.
const settleInterval = 250 * time.Millisecond

// ErrOutcomeUnknown reports an apply whose write may or may not be in force.
var ErrOutcomeUnknown = errors.New("the platform does not tell whether the configuration was accepted")

// ConflictError reports an apply that lost against another operator.
type ConflictError struct {
	// Current is the configuration that is in the platform.
	Current *Service
}

// Error tells who won and when.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d of %s was applied at %s before this one; nothing was changed",
		e.Current.GetRevision(), e.Current.GetAuthor(), e.Current.GetAppliedAt().AsTime().Format(time.RFC3339))
}

// Applier puts new configurations into the platform. Exported fields are set
// before use.
type Applier struct {
	// Store is the platform's key-value service.
	Store platform.Store
	// Author is the operator's name.
	Author string
	// HighestInForce is the highest revision that any entry has in force.
	HighestInForce uint64
	// BasedOn is the revision that the operator has seen; 0 for the present one.
	BasedOn uint64
}

// HistoryKey returns the platform's key of one past revision.
func HistoryKey(service string, revision uint64) string {
	return fmt.Sprintf("%s%s/%012d", platform.HistoryPrefix, service, revision)
}

// Current reads a service's configuration; nil if there is none.
func Current(ctx context.Context, st platform.Store, service string) (*Service, int64, error) {
	kv, err := st.Get(ctx, Key(service))
	if err != nil || kv.Revision == 0 {
		return nil, 0, err
	}
	s, err := Decode(kv.Value)
	return s, kv.Revision, err
}

// Apply writes s with the next revision. It returns nil only when s is in the
// platform, a RaceError when another operator's is, and ErrUnsettled when the
// platform does not tell.
func (a *Applier) Apply(ctx context.Context, s *Service) error {
	old, key, err := Current(ctx, a.Store, s.GetService())
	if err != nil {
		return errors.Wrap(err, "read the present configuration")
	}
	if a.BasedOn != 0 && a.BasedOn != old.GetRevision() {
		return &ConflictError{old}
	}
	a.stamp(s, old)
	w, err := writes(s, key)
	if err != nil {
		return err
	}
	_, err = a.Store.Swap(ctx, w...)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return a.lost(ctx, s)
	case errors.Is(err, platform.ErrUnknown):
		return a.settle(ctx, s, w)
	}
	return err
}

// stamp sets revision, write identifier, author, time and placement.
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

// writes puts the configuration and its history entry in one transaction.
func writes(s *Service, key int64) ([]platform.Write, error) {
	data, err := Encode(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	w := []platform.Write{
		{Key: Key(s.GetService()), Value: data, Expected: key},
		{Key: HistoryKey(s.GetService(), s.GetRevision()), Value: data, Unconditional: true},
	}
	if s.GetRevision() > historyLength {
		old := HistoryKey(s.GetService(), s.GetRevision()-historyLength)
		w = append(w, platform.Write{Key: old, Unconditional: true, Delete: true})
	}
	return w, nil
}

// settle finds out what became of a write whose answer was lost. It reads
// whose configuration is there; while the old one is, it writes again. The same
// write from the same revision is harmless: at most one takes effect.
func (a *Applier) settle(ctx context.Context, s *Service, w []platform.Write) error {
	for range settleTries {
		now, key, err := Current(ctx, a.Store, s.GetService())
		if err == nil && key != w[0].Expected {
			return a.judge(ctx, s, now)
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
		case <-time.After(settleInterval):
		}
	}
	return ErrOutcomeUnknown
}

// lost reads whose configuration won a compare-and-swap.
func (a *Applier) lost(ctx context.Context, s *Service) error {
	for range settleTries {
		if now, _, err := Current(ctx, a.Store, s.GetService()); err == nil {
			return a.judge(ctx, s, now)
		}
		select {
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-time.After(settleInterval):
		}
	}
	return ErrOutcomeUnknown
}

// judge compares s with the configuration that is there now. The own one may
// be, by a write whose answer was lost, or may have been for a while.
func (a *Applier) judge(ctx context.Context, s, now *Service) error {
	switch {
	case now.GetWriteId() == s.GetWriteId():
		return nil
	case now.GetRevision() > s.GetRevision():
		return a.overtaken(ctx, s, now)
	}
	return &ConflictError{now}
}

// overtaken tells from the history whether s was accepted before now replaced
// it.
func (a *Applier) overtaken(ctx context.Context, s, now *Service) error {
	kv, err := a.Store.Get(ctx, HistoryKey(s.GetService(), s.GetRevision()))
	if err != nil {
		return ErrOutcomeUnknown
	}
	if past, err := Decode(kv.Value); err == nil && past.GetWriteId() == s.GetWriteId() {
		return nil
	}
	return &ConflictError{now}
}
