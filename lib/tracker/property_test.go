package tracker

import (
	"context"
	"flag"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/wire"
)

// init fixes the seed and the number of checks, so that every run draws the same
// cases. Flags on the command line override both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

// home is one entry incarnation of the model.
type home struct {
	*Tracker
	runner *fakeRunner
}

// message is an attempt in transit; it may be delivered late, more than once or
// never.
type message struct {
	sub Submission
}

// model drives a shard through homes that die, hand over and refuse, while
// attempts at one job arrive in any order. It checks that the job starts at most
// once and that no attempt starts after a later one was answered with not_run.
type model struct {
	homes   []*home
	current int
	epoch   uint64
	id      string
	attempt uint32
	pending []*message
	// highestNotRun is the highest attempt that was answered with not_run.
	highestNotRun uint32
	// startsAtNotRun is the number of starts at the time of that answer.
	startsAtNotRun int
	handover       int
	// now is the model's time, an hour ahead of the clock so that no job reaches
	// its deadline.
	now, takenAt time.Time
}

func (m *model) starts() int {
	n := 0
	for _, h := range m.homes {
		n = max(n, 0) + h.runner.starts["t/"+m.id+"/0"]
	}
	return n
}

func (m *model) addHome() {
	r := newRunner()
	m.homes = append(m.homes, &home{newTracker(r), r})
	m.current = len(m.homes) - 1
}

// send makes the caller's next attempt. Only the first attempt has the
// number 1, and a later one is made only after the caller abandoned the one
// before it.
func (m *model) send(*rapid.T) {
	m.attempt++
	sub := submission(m.id, m.attempt)
	sub.Request.Deadline = timestamppb.New(m.now.Add(20 * time.Second))
	m.pending = append(m.pending, &message{sub: sub})
}

// deliver hands one pending attempt to the present home. The attempt may stay
// pending, so that it is delivered again.
func (m *model) deliver(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "message")
	msg := m.pending[i]
	if !rapid.Bool().Draw(t, "again") {
		m.pending = append(m.pending[:i], m.pending[i+1:]...)
	}
	h := m.homes[m.current]
	h.runner.refuse = nil
	if late := m.now.After(msg.sub.Request.GetDeadline().AsTime()); late || rapid.Bool().Draw(t, "busy") {
		h.runner.refuse = classifier.RetryLater("busy", time.Second)
	}
	before := m.starts()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	j, err := h.Submit(ctx, shardA, msg.sub)
	msg.sub.DeliveredEpoch = max(msg.sub.DeliveredEpoch, m.epoch)
	verdict := classifier.Of(err)
	if err == nil {
		a := j.Answer()
		verdict = a.GetVerdict()
		if a.GetState() != wire.JobState_failed {
			verdict = classifier.MayHaveRun
		}
	}
	if verdict == classifier.NotRun && msg.sub.Request.GetAttempt() >= m.highestNotRun {
		m.highestNotRun = msg.sub.Request.GetAttempt()
		m.startsAtNotRun = m.starts()
	}
	if n := m.starts(); n > before && msg.sub.Request.GetAttempt() < m.highestNotRun {
		t.Fatalf("attempt %d ran after attempt %d was answered not_run", msg.sub.Request.GetAttempt(), m.highestNotRun)
	}
}

func (m *model) finish(*rapid.T) { m.homes[m.current].runner.finish() }

// owner returns the shard table's owner record of the present epoch.
func (m *model) owner(handover string) *wire.ShardOwner {
	o := owner(m.epoch, handover)
	if m.epoch > 1 {
		o.TakenAt = timestamppb.New(m.takenAt)
	}
	return o
}

// wait advances the model's time.
func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

// kill replaces the home without a handover.
func (m *model) kill(*rapid.T) {
	m.addHome()
	m.epoch++
	m.takenAt = m.now
	m.homes[m.current].Open(shardA, m.owner(""))
}

// handOver moves the shard to a new home. Some handovers are abandoned, and some
// lose the records in transit.
func (m *model) handOver(t *rapid.T) {
	old := m.homes[m.current]
	records := old.Pause([]placer.Shard{shardA})
	if rapid.Bool().Draw(t, "abandoned") {
		old.Resume([]placer.Shard{shardA})
		return
	}
	m.addHome()
	next := m.homes[m.current]
	old.Tracker.SendAnswer = func(s placer.Shard, r *wire.JobRecord) { _ = next.ReceiveAnswer(s, r) }
	m.handover++
	id := string(rune('a' + m.handover%26))
	lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
	if !lost {
		next.Stage(&wire.Handover{Id: id, Shards: records})
	}
	next.Open(shardA, m.owner(id))
	if sh := next.shards[shardA]; lost {
		sh.takenAt = m.now // Open set it by the clock, which is behind the model's time
	}
	old.Release([]placer.Shard{shardA})
	old.runner.finish()
}

// checkStartedOnce is called after every action: the job was started at most once.
func (m *model) checkStartedOnce(t *rapid.T) {
	if n := m.starts(); n > 1 {
		t.Fatalf("the job was started %d times", n)
	}
}

func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{epoch: 1, now: time.Now().Add(time.Hour)}
		m.addHome()
		m.homes[0].Open(shardA, m.owner(""))
		m.id = "chosen"
		if rapid.Bool().Draw(t, "issued") {
			m.id = placer.Issue(shardA, 1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": m.send, "deliver": m.deliver, "deliver again": m.deliver, "finish": m.finish,
			"kill": m.kill, "hand over": m.handOver, "wait": m.wait, "": m.checkStartedOnce,
		})
	})
}
