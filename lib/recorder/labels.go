package recorder

import "sync"

const (
	// maxLabelValues limits the number of distinct values of a label that
	// operators choose. Current sites configure fewer than ten queues.
	maxLabelValues = 64
	// otherLabel replaces all values beyond maxLabelValues.
	otherLabel = "other"
)

// labelLimiter limits the number of distinct values of one label.
type labelLimiter struct {
	mu   sync.Mutex
	seen map[string]bool
}

// limit returns the value, or otherLabel if the value is new and
// maxLabelValues others were seen before.
func (l *labelLimiter) limit(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = make(map[string]bool)
	}
	if !l.seen[value] {
		if len(l.seen) >= maxLabelValues {
			return otherLabel
		}
		l.seen[value] = true
	}
	return value
}
