package storm

import (
	"math"
	"time"
)

// rate is an exponentially decaying average of events per second. The zero value is a rate of 0.
type rate struct {
	level float64
	at    time.Duration
}

// add counts n events at now, with the time constant span.
func (r *rate) add(now time.Duration, n float64, span time.Duration) {
	r.level = r.get(now, span) + n/span.Seconds()
	r.at = now
}

// get returns the rate at now. If the clock stepped back, the rate does not decay.
func (r *rate) get(now, span time.Duration) float64 {
	if now <= r.at {
		return r.level
	}
	return r.level * math.Exp(-float64(now-r.at)/float64(span))
}

// baseline is a rate learnt in calm periods only, so that the rate of a storm does not become the baseline and what
// was learnt before a storm is kept.
type baseline struct {
	level, weight float64
	calmTime      time.Duration // total time learnt from
	updatedAt     time.Duration
}

// learn adds the rate r for the time since the previous call, if that time was calm.
func (b *baseline) learn(now time.Duration, r float64, calm bool) {
	span := max(0, now-b.updatedAt)
	if b.updatedAt = max(b.updatedAt, now); !calm || span > slowSpan { // first call or a long gap: unknown rate between
		return
	}
	alpha := 1 - math.Exp(-float64(span)/float64(slowSpan))
	b.level += alpha * (r - b.level)
	b.weight += alpha * (1 - b.weight)
	b.calmTime += span
}

// rate returns the learnt rate, or 0 before minCalmTime of calm time.
func (b *baseline) rate() float64 {
	if b.calmTime < minCalmTime {
		return 0
	}
	return b.level / b.weight
}

// share returns a/b, or 0 if b is not positive.
func share(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}
