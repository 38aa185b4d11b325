package recorder

import "sync"

const (
	// labelLimit bounds the values of a label that operators choose; a
	// configuration of today's sites names under ten queues.
	labelLimit = 64
	// otherLabel stands for all values beyond labelLimit.
	otherLabel = "other"
)

// labels keeps the number of values of one label bounded.
type labels struct {
	mu   sync.Mutex
	seen map[string]bool
}

// bound returns the value, or otherLabel once too many others were seen.
func (l *labels) bound(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = make(map[string]bool)
	}
	if !l.seen[value] {
		if len(l.seen) >= labelLimit {
			return otherLabel
		}
		l.seen[value] = true
	}
	return value
}
