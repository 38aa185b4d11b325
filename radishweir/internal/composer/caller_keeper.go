package composer

import (
	"context"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/keeper"
)

// callerKeeper is the keeper for callers' requests. These may wait for the store until the
// process is about to end.
type callerKeeper struct {
	*keeper.Keeper
	calls context.Context
}

// newCallerKeeper returns the keeper for callers' requests, which endCalls ends.
func (e *Entry) newCallerKeeper() *callerKeeper {
	k := &callerKeeper{Keeper: e.keeper}
	k.calls, e.endCalls = context.WithCancel(context.Background())
	return k
}

// limit returns a context that ends with ctx or when the wait for the store has to end.
func (k *callerKeeper) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(k.calls, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Submit implements platform.Keeper.
func (k *callerKeeper) Submit(ctx context.Context, j coordinator.Job) coordinator.Answer {
	ctx, cancel := k.limit(ctx)
	defer cancel()
	return k.Keeper.Submit(ctx, j)
}

// State implements platform.Keeper.
func (k *callerKeeper) State(ctx context.Context, id string) (string, error) {
	ctx, cancel := k.limit(ctx)
	defer cancel()
	return k.Keeper.State(ctx, id)
}

// Cancel implements platform.Keeper.
func (k *callerKeeper) Cancel(ctx context.Context, id string) (bool, error) {
	ctx, cancel := k.limit(ctx)
	defer cancel()
	return k.Keeper.Cancel(ctx, id)
}
