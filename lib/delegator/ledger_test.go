package delegator_test

import (
	"testing"
	"time"

	"radishweir.org/lib/delegator"
)

// TestLedgerPeerDown guards against two answers to a job whose peer went down, and
// against a second run of it here while the peer's runs may go on.
func TestLedgerPeerDown(t *testing.T) {
	var l delegator.Ledger
	over := start.Add(time.Second)
	a, _ := l.Add("p", "a", start)
	b, _ := l.Add("p", "b", start)
	_, again := l.Add("q", "a", start)
	_, wrong := l.Answer("q", a, "a")
	if _, ok := l.Answer("p", b, "b"); !ok || again || wrong || l.Open("p") != 1 {
		t.Errorf("a job is at two peers or answered by the wrong one, or %d are open", l.Open("p"))
	}
	if list := l.PeerDown("p", start, over); len(list) != 1 || list[0].Job != "a" {
		t.Errorf("%v are lost, want job a", list)
	}
	_, late := l.Answer("p", a, "a")
	if _, ok := l.Add("q", "a", start); ok || late || !l.At("a", over.Add(-1)) || l.At("a", over) {
		t.Error("a lost job is answered, or may run here too early or never")
	}
}

// TestLedgerCancel guards against a second run of a job while the peer stops the first.
func TestLedgerCancel(t *testing.T) {
	var l delegator.Ledger
	n, _ := l.Add("p", "a", start)
	d, first := l.Cancel("a")
	if _, second := l.Cancel("a"); !first || second || d.Peer != "p" || d.Number != n || !l.At("a", start) {
		t.Errorf("cancelled %v not once, or it is gone before the peer's answer", d)
	}
	if d, ok := l.Answer("p", n, "a"); !ok || !d.Cancelled || l.At("a", start) {
		t.Errorf("the answer of a cancelled job leaves %v", d)
	}
}

// TestReceived guards against answers that reach a later incarnation of the first entry,
// which numbers its delegations from the start, and against jobs that outlive it.
func TestReceived(t *testing.T) {
	var r delegator.Received
	a := r.Add("p", 1, "a")
	if r.Add("p", 1, "a") != nil || r.Cancel("p", 1, "b") != nil || r.Cancel("p", 1, "a") != a {
		t.Error("a repeated job is taken, or the wrong one cancelled")
	}
	if list := r.PeerDown("p"); len(list) != 1 || list[0] != a {
		t.Errorf("%v end with the connection, want job a", list)
	}
	if b := r.Add("p", 1, "a"); r.End(a) || !r.End(b) || r.End(b) {
		t.Error("the answer of an earlier connection is sent, or that of this one not once")
	}
}
