package storm

import "time"

// A retry budget: served work earns tokens, further attempts spend them. While all is well every attempt is paid
// for many times over; where set-ups fail, attempts per call fall towards 1. It never stands before a first
// attempt.
const (
	budgetEarn  = 0.2 // tokens that a served call earns
	budgetMost  = 10.0
	budgetDrip  = 0.5 // tokens a second that come by themselves, so that a route that is back is found
	budgetStart = 5.0
)

type budget struct {
	tokens float64
	at     time.Duration
	begun  bool
}

func (b *budget) fill(now time.Duration) {
	if !b.begun {
		b.begun, b.tokens, b.at = true, budgetStart, now
	}
	if now > b.at {
		b.tokens = min(budgetMost, b.tokens+budgetDrip*(now-b.at).Seconds())
	}
	b.at = now
}

func (b *budget) earn(now time.Duration) {
	b.fill(now)
	b.tokens = min(budgetMost, b.tokens+budgetEarn)
}

func (b *budget) has(now time.Duration) bool {
	b.fill(now)
	return b.tokens >= 1
}

func (b *budget) spend() { b.tokens-- }
