package dispatcher

import "sync"

// permille is the unit of the shares in the configuration.
const permille = 1000

// budget allows extra attempts as a share of first attempts.
type budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// configure sets the share in thousandths and fills the budget.
func (b *budget) configure(share uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = float64(share) / permille
	b.tokens = retryBurst * min(b.share*permille, 1)
}

// earn adds the share of one first attempt.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, retryBurst)
}

// spend takes one extra attempt; false when the budget is exhausted.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
