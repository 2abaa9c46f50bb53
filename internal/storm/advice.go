package storm

import (
	"math"
	"math/rand/v2"
	"time"
)

// Retry advice. Callers rejected together must not retry together, and not before there is free capacity: the
// waits of a destination are spread over the time that its backlog of callers needs, and no two of a hundred
// successive waits are equal.
const (
	minAdvice     = 100 * time.Millisecond
	minSpareShare = 0.1 // minimum share of a destination's served rate that is assumed to be available for retries
	growthPerTry  = 0.5 // each further try of a caller lengthens its wait by this fraction
	recentWaits   = 128 // number of recent waits among which none is repeated
	goldenRatio   = 0.6180339887498949
)

// adviser draws the waits of rejected callers. Waits are deterministic for a given seed.
type adviser struct {
	rng    *rand.Rand
	phase  float64
	recent [recentWaits]int32 // ms
	drawn  int
}

// newAdviser returns an adviser whose waits are determined by seed.
func newAdviser(seed uint64) adviser {
	a := adviser{rng: rand.New(rand.NewPCG(seed, 3))}
	a.phase = a.rng.Float64()
	return a
}

// draw returns a wait of at most maxWait for a destination that has backlog callers staying away and can serve
// spare of them per second. tries is the number of waits already given to the caller. It returns 0 if maxWait is
// not positive.
func (a *adviser) draw(backlog, spare float64, tries int, maxWait time.Duration) time.Duration {
	if maxWait <= 0 {
		return 0
	}
	span := time.Duration(math.Min(backlog/math.Max(spare, 1e-3), 3600) * float64(time.Second))
	span = time.Duration(float64(span+minAdvice) * (1 + growthPerTry*float64(tries)))
	// If the backlog needs longer than maxWait, spread the waits over the upper three quarters of the permitted range.
	minWait := min(minAdvice, maxWait)
	if span > maxWait {
		minWait, span = max(minWait, maxWait/4), maxWait
	}
	// Multiples of the golden ratio modulo 1 stay evenly spaced for any number of draws; the jitter makes the
	// sequences of different controllers diverge.
	a.phase += goldenRatio + a.rng.Float64()*1e-3
	a.phase -= math.Floor(a.phase)
	ms := int32((minWait + time.Duration(a.phase*float64(max(0, span-minWait)))).Milliseconds())
	for range recentWaits {
		if !a.isRecent(ms) {
			break
		}
		if ms++; time.Duration(ms)*time.Millisecond > maxWait {
			ms = int32(minWait.Milliseconds())
		}
	}
	ms = max(1, ms)
	a.recent[a.drawn%recentWaits] = ms
	a.drawn++
	return time.Duration(ms) * time.Millisecond
}

// isRecent reports whether a wait is among the recent ones.
func (a *adviser) isRecent(ms int32) bool {
	for _, m := range a.recent {
		if m == ms {
			return true
		}
	}
	return false
}
