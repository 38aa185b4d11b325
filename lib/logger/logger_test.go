package logger_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"radishweir.org/lib/logger"
)

// Logging must not block when nobody reads the output, and the dropped events
// must be counted.
func TestBlockedOutput(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	var mu sync.Mutex
	dropped := 0
	log, flush, err := logger.NewAsync(w, "info", func(n int) {
		mu.Lock()
		defer mu.Unlock()
		dropped += n
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 10000 {
			log.Info().Int("n", i).Msg("event")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks while its output is not read")
	}
	flushed := time.Now()
	flush()
	if d := time.Since(flushed); d > 10*time.Second {
		t.Errorf("flush waited %v for an output that is not read", d)
	}
	// The drops are reported once the output is read again.
	go func() { _, _ = io.Copy(io.Discard, r) }()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		n := dropped
		mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Error("10,000 events were logged to a queue of 2,000, but none was reported as dropped")
}

func TestLastEventsReachTheOutput(t *testing.T) {
	for range 100 {
		var out strings.Builder
		log, flush, err := logger.NewAsync(&out, "info", nil)
		if err != nil {
			t.Fatal(err)
		}
		log.Info().Msg("draining")
		log.Info().Msg("stopped")
		flush()
		if got := out.String(); !strings.Contains(got, "event=draining") || !strings.Contains(got, "event=stopped") {
			t.Fatalf("got %q", got)
		}
	}
}

func TestFormat(t *testing.T) {
	var out strings.Builder
	log, err := logger.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Debug().Msg("hidden")
	log.Info().Str("service", "claims").Msg("started")
	if got := out.String(); !strings.Contains(got, "level=info event=started service=claims") || strings.Contains(got, "hidden") {
		t.Errorf("got %q", got)
	}
}
