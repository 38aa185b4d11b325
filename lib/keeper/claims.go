package keeper

import (
	"context"
	"time"

	"radishweir.org/lib/divider"
)

// claimInterval is the time between two checks of the answers to a claim.
const claimInterval = 50 * time.Millisecond

// takeover is a takeover, in progress, of the jobs of one holder.
type takeover struct {
	// sent holds the incarnations, by entry name, to which the claim was sent and which
	// have not answered it since, answered the last answers.
	sent     map[string]string
	answered map[string]claimAnswer
	// again is true once all entries have answered and were asked again. An upstream that was listed
	// again meanwhile may have been unknown to its owner as it answered first, but the others waited
	// until it had answered the owner.
	again bool
	// graceEnd is the earliest time of its first write.
	graceEnd time.Time
	// stopped holds the tasks whose last run is known to have ended without a result.
	stopped map[string]bool
	// evidence is the number of ends that were known when the records were last read.
	evidence int
}

// claimAnswer is the answer of an entry to a claim.
type claimAnswer struct {
	incarnation string
	// view is the one from which the entry had computed which upstreams it owns, 0 if
	// unknown.
	view divider.View
}

// covers reports whether an entry has answered for all upstreams that it owns by a view.
func (a claimAnswer) covers(incarnation string, view divider.View) bool {
	return a.incarnation == incarnation && (a.view == view || a.view == 0)
}

// claimsSettled sends the claims that are due and reports whether the answers cover all upstreams,
// also by the registrations as the store has them now: an entry that has registered since may have
// served its upstreams all the while.
func (k *Keeper) claimsSettled(ctx context.Context, holder string) bool {
	if !k.sendClaims(holder) || k.askAgain(holder) {
		return false
	}
	confirmed, err := k.Peers.Confirm(ctx)
	if err != nil {
		k.Log.Info().Str("holder", holder).Err(err).Msg("members_not_confirmed")
	}
	// The registrations may have changed during the read.
	return confirmed && k.sendClaims(holder)
}

// askAgain makes sendClaims ask all entries once more, and reports whether they had been asked only
// once.
func (k *Keeper) askAgain(holder string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.takeovers[holder]
	if t.again {
		return false
	}
	t.again = true
	clear(t.sent)
	clear(t.answered)
	return true
}

// sendClaims sends the claim on a holder to every registered entry that has not got it
// yet, or has answered it before the owners of the upstreams changed. It reports whether
// the answers of all registered entries cover all upstreams.
func (k *Keeper) sendClaims(holder string) bool {
	names := k.Peers.Incarnations()
	view := divider.NewView(names)
	k.mu.Lock()
	t := k.takeovers[holder]
	var unsent []string
	allAnswered := len(names) > 0
	for name, incarnation := range names {
		if t.answered[name].covers(incarnation, view) {
			continue
		}
		allAnswered = false
		if t.sent[name] != incarnation {
			unsent = append(unsent, name)
		}
	}
	k.mu.Unlock()
	for _, name := range unsent {
		k.Peers.Claim(name, holder)
	}
	return allAnswered
}

// ClaimAnswered records that an entry has answered the claim on a holder: it
// has stopped the holder's runs on the upstreams that it owns by a view, and reported
// their ends. The view is 0 if unknown.
func (k *Keeper) ClaimAnswered(peer, incarnation, holder string, view divider.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.takeovers[holder]; t != nil {
		t.answered[peer] = claimAnswer{incarnation, view}
		delete(t.sent, peer)
	}
}

// ClaimSent records that the claim on a holder was sent to this incarnation of an
// entry, so that it is not sent again until the entry has answered.
func (k *Keeper) ClaimSent(peer, incarnation, holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.takeovers[holder]; t != nil {
		t.sent[peer] = incarnation
	}
}

// ResendTo makes the claims and cancellations that an entry has not answered be sent to it
// again after its connection was lost.
func (k *Keeper) ResendTo(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.takeovers {
		delete(t.sent, peer)
	}
	for _, a := range k.announcements {
		delete(a.told, peer)
	}
}
