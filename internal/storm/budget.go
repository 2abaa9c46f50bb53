package storm

import "time"

// Retry budget: served calls earn tokens and further attempts spend them. In normal operation calls earn far more
// tokens than attempts spend; when set-ups fail, the attempts per call fall towards 1. First attempts are never
// limited.
const (
	budgetPerCall   = 0.2 // tokens earned by a served call
	maxBudget       = 10.0
	budgetPerSecond = 0.5 // tokens added per second without any served call, so that a recovered route is found
	initialBudget   = 5.0
)

// budget is the token bucket of a retry budget. The zero value fills to initialBudget on first use.
type budget struct {
	tokens    float64
	updatedAt time.Duration
	started   bool
}

// refill adds the tokens accrued since the last update.
func (b *budget) refill(now time.Duration) {
	if !b.started {
		b.started, b.tokens, b.updatedAt = true, initialBudget, now
	}
	if now > b.updatedAt {
		b.tokens = min(maxBudget, b.tokens+budgetPerSecond*(now-b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// earn credits a served call.
func (b *budget) earn(now time.Duration) {
	b.refill(now)
	b.tokens = min(maxBudget, b.tokens+budgetPerCall)
}

// available reports whether there is a token for a further attempt.
func (b *budget) available(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= 1
}

// spend takes one token; the caller has checked available.
func (b *budget) spend() { b.tokens-- }
