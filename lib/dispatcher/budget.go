package dispatcher

import "sync"

// permille is the denominator of the shares in the configuration.
const permille = 1000

// budget is a token bucket that limits extra attempts (retries or hedges) to a
// share of the successful first attempts.
type budget struct {
	mu sync.Mutex
	// share is the number of tokens that each successful first attempt adds.
	share  float64
	tokens float64
}

// configure sets the share, in thousandths, and fills the bucket; a share of 0
// leaves it empty.
func (b *budget) configure(share uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = float64(share) / permille
	b.tokens = retryBurst * min(b.share*permille, 1)
}

// credit adds the share of one successful first attempt.
func (b *budget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, retryBurst)
}

// spend takes the token for one extra attempt. It returns false if the budget
// is exhausted.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
