package coordinator

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// refusalsPerSecond limits the log lines about refused jobs, so that a flood of
	// refusals doesn't cost more than the jobs that are served.
	refusalsPerSecond = 20
	// runsPerSecond limits the log lines about runs that counted as over without an end
	// that their upstream listed, and separately those about runs that were rejected.
	runsPerSecond = 10
)

// limitedLog is a logger that writes a limited number of lines a second, and counts those
// that it leaves out.
type limitedLog struct {
	zerolog.Logger
	// name is the label of the lines that were left out in the metric.
	name     string
	observer Observer
	leftOut  atomic.Int64
}

// init prepares the logger to write the given number of lines a second to log.
func (l *limitedLog) init(log zerolog.Logger, name string, perSecond uint32, o Observer) {
	l.name, l.observer = name, o
	l.Logger = log.Sample(&zerolog.BurstSampler{Burst: perSecond, Period: time.Second, NextSampler: l})
}

// Sample implements zerolog.Sampler for the lines beyond the limit.
func (l *limitedLog) Sample(zerolog.Level) bool {
	l.leftOut.Add(1)
	if l.observer != nil {
		l.observer.LogLineSuppressed(l.name)
	}
	return false
}

// reportSuppressed logs how many lines were left out since its last call.
func (c *Coordinator) reportSuppressed() {
	if n := c.refusals.leftOut.Swap(0); n > 0 {
		c.Log.Info().Stringer("state", Refused).Int64("jobs", n).Msg("job_lines_left_out")
	}
	for _, l := range []*limitedLog{&c.givenUp, &c.rejections} {
		if n := l.leftOut.Swap(0); n > 0 {
			c.Log.Info().Str("lines", l.name).Int64("runs", n).Msg("run_lines_left_out")
		}
	}
}
