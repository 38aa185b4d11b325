package codec_test

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/delegator/codec"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/wire"
)

var now = time.Unix(1000, 0)

func job() coordinator.Job {
	return coordinator.Job{
		ID: "j:1", Kind: "search", Service: "pages", Spec: "x", Priority: 2, MaxFailures: 3,
		Arrived: now.Add(-7 * time.Millisecond), Due: now.Add(-time.Millisecond), Deadline: now.Add(time.Second),
		Steps: []coordinator.Step{
			{Tasks: 8, Need: packer.Amount{CPU: 16000, Memory: 100, GPU: 1}, Expected: 51300 * time.Microsecond, Label: "l", Data: "d", MaxPerUpstream: 2},
			{Tasks: 1, After: []int{0}},
		},
	}
}

// TestJob guards against a field that is lost between entries, and against times that
// depend on the clock of the first entry.
func TestJob(t *testing.T) {
	m, err := codec.JobToWire(job(), 5, now)
	if err != nil || m.GetNumber() != 5 {
		t.Fatalf("converted to %v, %v", m, err)
	}
	const ahead = time.Hour
	got, err := codec.JobFromWire(m, now.Add(ahead))
	want := job()
	want.Arrived, want.Due, want.Deadline = want.Arrived.Add(ahead), want.Due.Add(ahead), want.Deadline.Add(ahead)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	want.Arrived, want.Due, want.Deadline = time.Time{}, now.Add(-1000*time.Hour), now.Add(1000*time.Hour)
	m, _ = codec.JobToWire(want, 1, now)
	if got, err := codec.JobFromWire(m, now); err != nil || !got.Due.Before(now) || !got.Deadline.After(now) || !got.Arrived.Before(now) || now.Sub(got.Arrived) > time.Hour {
		t.Errorf("times far away overflow or are not bounded: %+v, %v", got, err)
	}
}

// TestJobNotSent guards against jobs whose guarantees or content the peer would lose, and
// against a frame that cannot be encoded.
func TestJobNotSent(t *testing.T) {
	for i, change := range []func(*coordinator.Job){
		func(j *coordinator.Job) { j.Holder = "h" },
		func(j *coordinator.Job) { j.Deadline = time.Time{} },
		func(j *coordinator.Job) { j.Spec = "\xff" },
		func(j *coordinator.Job) { j.Spec = strings.Repeat("x", 1<<20+1) },
		func(j *coordinator.Job) { j.Priority = -1 },
		func(j *coordinator.Job) { j.Steps[0].Tasks = -1 },
		func(j *coordinator.Job) { j.Steps[1].After[0] = -1 },
	} {
		j := job()
		if change(&j); !fails(codec.JobToWire(j, 1, now)) {
			t.Errorf("change %d: sent", i)
		}
	}
}

func fails[T any](_ T, err error) bool { return err != nil }

// TestJobMalformed guards against a peer that makes this entry panic or hold a job of
// any size.
func TestJobMalformed(t *testing.T) {
	for i, change := range []func(*wire.DelegatedJob){
		func(m *wire.DelegatedJob) { proto.Reset(m) },
		func(m *wire.DelegatedJob) { m.Number = 0 },
		func(m *wire.DelegatedJob) { m.Kind = strings.Repeat("x", 257) },
		func(m *wire.DelegatedJob) { m.Priority = math.MaxUint32 },
		func(m *wire.DelegatedJob) { m.Steps = nil },
		func(m *wire.DelegatedJob) { m.Steps[0] = nil },
		func(m *wire.DelegatedJob) { m.Steps = make([]*wire.KeptStep, 2000) },
		func(m *wire.DelegatedJob) { m.Steps[0].Tasks, m.Steps[1].Tasks = 1000, 1000 },
		func(m *wire.DelegatedJob) { m.Steps[0].Need.Cpu = -1 },
		func(m *wire.DelegatedJob) { m.Steps[0].Need.Memory = math.MaxInt64 },
		func(m *wire.DelegatedJob) { m.Steps[0].ExpectedMs = math.NaN() },
		func(m *wire.DelegatedJob) { m.Steps[0].ExpectedMs = -1 },
		func(m *wire.DelegatedJob) { m.Steps[1].After[0] = 1 },
		func(m *wire.DelegatedJob) { m.Steps[1].After[0] = math.MaxUint32 },
		func(m *wire.DelegatedJob) { m.Steps[1].After = []uint32{0, 0} },
		func(m *wire.DelegatedJob) { m.Steps[1].Label = strings.Repeat("x", 257) },
	} {
		m, _ := codec.JobToWire(job(), 1, now)
		if change(m); !fails(codec.JobFromWire(m, now)) || !fails(codec.JobFromWire(nil, now)) {
			t.Errorf("change %d: accepted", i)
		}
	}
}

// TestAnswer guards against an outcome that changes between entries, foremost a refusal,
// and against a reason that a frame cannot hold.
func TestAnswer(t *testing.T) {
	for state := coordinator.Complete; state <= coordinator.Cancelled; state++ {
		want := coordinator.Answer{State: state, Reason: "no room in time", RetryAfter: 1200 * time.Millisecond}
		m := codec.AnswerToWire("j:1", 5, want)
		if got, err := codec.AnswerFromWire(m); err != nil || got != want || m.GetJob() != "j:1" || m.GetNumber() != 5 {
			t.Errorf("got %v, %v, want %v", got, err, want)
		}
	}
	m := codec.AnswerToWire("j:1", 5, coordinator.Answer{State: coordinator.Refused, Reason: strings.Repeat("ä", 300) + "\xff", RetryAfter: time.Hour})
	if _, err := proto.Marshal(m); err != nil || fails(codec.AnswerFromWire(m)) {
		t.Errorf("%v cannot be sent: %v", m, err)
	}
	for _, m := range []*wire.DelegatedAnswer{
		nil,
		{State: uint32(coordinator.Accepted)},
		{State: math.MaxUint32},
		{State: uint32(coordinator.Refused), Reason: strings.Repeat("x", 257)},
		{State: uint32(coordinator.Refused), RetryAfterMs: math.MaxUint32},
	} {
		if !fails(codec.AnswerFromWire(m)) {
			t.Errorf("accepted %v", m)
		}
	}
}
