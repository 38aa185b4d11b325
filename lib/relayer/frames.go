package relayer

import (
	"time"

	"radishweir.org/lib/platform"
	"radishweir.org/lib/watcher"
	"radishweir.org/lib/wire"
)

// Fill adds to a frame for a peer the subscription to its list, and the changes of
// this entry's list that the peer has subscribed to.
func (r *Relayer) Fill(peer string, f *wire.PeerFrame) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer == r.source {
		f.ListSubscription, f.ListFrom = r.subscription, r.revision
	}
	s := r.followers[peer]
	if s == nil || r.stopReading == nil || r.following || r.revision < s.from || r.items == nil {
		return
	}
	age := now.Sub(r.ReadAt())
	if age > maxAge {
		return
	}
	u := &wire.ListUpdate{Subscription: s.subscription, Revision: r.revision, AgeMs: uint32(age.Milliseconds()), Whole: !s.sentWhole, Items: s.changes}
	if u.GetWhole() {
		for _, item := range r.items {
			u.Items = append(u.Items, item)
		}
	}
	s.sentWhole, s.changes = true, nil
	f.ListUpdate = u
}

// Handle processes the subscription and the changes in a frame from a peer.
func (r *Relayer) Handle(peer string, f *wire.PeerFrame) {
	r.handleSubscription(peer, f)
	if u := f.GetListUpdate(); u != nil {
		r.handleUpdate(peer, u)
	}
}

// handleSubscription begins or ends the subscription of a peer.
func (r *Relayer) handleSubscription(peer string, f *wire.PeerFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.followers[peer]
	switch {
	case f.GetListSubscription() == 0:
		delete(r.followers, peer)
	case s == nil || s.subscription != f.GetListSubscription():
		if r.followers == nil {
			r.followers = make(map[string]*follower)
		}
		r.followers[peer] = &follower{subscription: f.GetListSubscription(), from: f.GetListFrom()}
	}
}

// handleUpdate applies the changes that the source sent.
func (r *Relayer) handleUpdate(peer string, u *wire.ListUpdate) {
	now := time.Now()
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.mu.Lock()
	stale := peer != r.source || u.GetSubscription() != r.subscription
	if stale || (!u.GetWhole() && !r.following) || u.GetRevision() < r.revision {
		r.mu.Unlock()
		return
	}
	if u.GetWhole() && !r.following {
		r.Log.Info().Str("source", peer).Int64("revision", u.GetRevision()).Msg("list_followed")
	}
	r.following = true
	r.freshAt = now.Add(-time.Duration(u.GetAgeMs()) * time.Millisecond)
	r.revision = u.GetRevision()
	if r.stopReading != nil {
		r.stopReading()
		r.stopReading = nil
	}
	r.mu.Unlock()
	if !u.GetWhole() && len(u.GetItems()) == 0 {
		return
	}
	update := watcher.Update{Reset: u.GetWhole(), Revision: u.GetRevision()}
	for _, item := range u.GetItems() {
		update.Events = append(update.Events, platform.Event{
			KeyValue: platform.KeyValue{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision()}, Deleted: item.GetDeleted(),
		})
	}
	r.Apply(update)
}
