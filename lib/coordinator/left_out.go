package coordinator

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// refusalsPerSecond bounds the lines about refused jobs; the bound keeps a flood
// of refusals from costing more than the jobs that are served.
const refusalsPerSecond = 20

// leftOut is a zerolog.Sampler for the lines about refused jobs beyond
// refusalsPerSecond. It counts them instead of writing them.
type leftOut struct {
	observer Observer
	n        atomic.Int64
}

// Sample implements zerolog.Sampler.
func (l *leftOut) Sample(zerolog.Level) bool {
	l.n.Add(1)
	if l.observer != nil {
		l.observer.LeftOut(Refused.String())
	}
	return false
}

// reportLeftOut writes how many lines were left out since the last time.
func (c *Coordinator) reportLeftOut() {
	if n := c.leftOut.n.Swap(0); n > 0 {
		c.Log.Info().Stringer("state", Refused).Int64("jobs", n).Msg("job_lines_left_out")
	}
}
