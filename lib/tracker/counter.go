package tracker

import "sync"

// counter counts the records of each service.
type counter struct {
	mu sync.Mutex
	n  map[string]int
}

// add adds n to the count of a service.
func (c *counter) add(service string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[string]int)
	}
	c.n[service] += n
}

// of returns the count of a service.
func (c *counter) of(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[service]
}
