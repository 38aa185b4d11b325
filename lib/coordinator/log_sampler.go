package coordinator

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// refusalsPerSecond limits the log lines about refused jobs, so that a flood of
// refusals doesn't cost more than the jobs that are served.
const refusalsPerSecond = 20

// suppressedLines is a zerolog.Sampler that gets the log lines beyond
// refusalsPerSecond. It suppresses and counts them.
type suppressedLines struct {
	observer Observer
	count    atomic.Int64
}

// Sample implements zerolog.Sampler.
func (l *suppressedLines) Sample(zerolog.Level) bool {
	l.count.Add(1)
	if l.observer != nil {
		l.observer.LogLineSuppressed(Refused.String())
	}
	return false
}

// reportSuppressed logs how many lines were suppressed since its last call.
func (c *Coordinator) reportSuppressed() {
	if n := c.suppressed.count.Swap(0); n > 0 {
		c.Log.Info().Stringer("state", Refused).Int64("jobs", n).Msg("job_lines_left_out")
	}
}
