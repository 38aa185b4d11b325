package coordinator_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// slowSender takes 10 ms to send a run request, and records what was sent last.
type slowSender struct {
	mu   sync.Mutex
	last string
}

func (s *slowSender) Send(_ string, add func(f *wire.PeerFrame)) bool {
	f := &wire.PeerFrame{}
	add(f)
	kind := "cancel"
	if len(f.GetRequests()) > 0 {
		kind = "request"
		time.Sleep(10 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = kind
	return true
}

func TestCancellationDoesNotOvertakeItsRequest(t *testing.T) {
	withFakeTime(t, func(t *testing.T, ctx context.Context) {
		sent := &slowSender{}
		c := &coordinator.Coordinator{Self: "entry-1", PeerTimeout: 350 * time.Millisecond, Remote: sent, Log: zerolog.Nop()}
		c.Init(ctx)
		go c.Run(ctx)
		c.SetUpstreams([]runner.Upstream{{Name: "u0", Service: "claims", Capacity: packer.Amount{CPU: 16000, Memory: 1000}}})
		c.PeerUp("entry-2", 1)
		c.UpdateStates("entry-2", false, []*wire.UpstreamState{{
			Upstream: "u0", Free: &wire.Amount{Cpu: 16000, Memory: 1000}, Slowness: 1, Usable: true, Token: 1,
		}})
		caller, leave := context.WithTimeout(ctx, 5*time.Millisecond)
		defer leave()
		now := time.Now()
		c.Submit(caller, coordinator.Job{
			ID: "a", Kind: "check", Service: "claims", Steps: []coordinator.Step{{Tasks: 1, Need: need, Expected: 5 * time.Second}},
			Arrived: now, Due: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second), MaxFailures: 3,
		})
		time.Sleep(100 * time.Millisecond)
		sent.mu.Lock()
		defer sent.mu.Unlock()
		if sent.last != "cancel" {
			t.Errorf("the last message is a %s, want the cancellation", sent.last)
		}
	})
}
