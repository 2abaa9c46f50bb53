package storm

import (
	"math"
	"time"
)

// heavy finds the numbers that receive a large share of a destination's calls, in bounded memory, with the
// space-saving sketch of Metwally, Agrawal and El Abbadi (2005). Counts decay by forward decay: later calls weigh
// more, so that no counter has to be updated as time passes.
type heavy struct {
	counters [heavyCounters]heavyCounter
	total    float64
	epoch    time.Duration // time at which a call has the weight 1
	started  bool
}

// heavyCounter is the decayed count of one number.
type heavyCounter struct {
	number    uint64
	count     float64
	overcount float64 // upper bound of the part of count that was inherited from the replaced number
}

const (
	minHeavyShare  = 0.3  // minimum share of a destination's calls
	minHeavyRate   = 5.0  // minimum rate in calls per second
	maxHeavyWeight = 1e12 // weights are rescaled before they exceed this
)

// weight returns the weight of a call at this time. It rescales all counts when the weight grows too large.
func (h *heavy) weight(now time.Duration) float64 {
	if !h.started {
		h.started, h.epoch = true, now
	}
	w := math.Exp(float64(now-h.epoch) / float64(fastSpan))
	if w > maxHeavyWeight {
		for i := range h.counters {
			h.counters[i].count /= w
			h.counters[i].overcount /= w
		}
		h.total /= w
		h.epoch, w = now, 1
	}
	return w
}

// add counts a call to a number. A number without a counter takes over the smallest one.
func (h *heavy) add(now time.Duration, number uint64) {
	w := h.weight(now)
	h.total += w
	smallest := &h.counters[0]
	for i := range h.counters {
		c := &h.counters[i]
		if c.number == number {
			c.count += w
			return
		}
		if c.count < smallest.count {
			smallest = c
		}
	}
	smallest.number, smallest.overcount = number, smallest.count
	smallest.count += w
}

// isHeavy reports whether a number exceeds both thresholds even if the whole possible overcount is deducted.
func (h *heavy) isHeavy(now time.Duration, number uint64) bool {
	for i := range h.counters {
		if c := &h.counters[i]; c.number == number {
			certain := c.count - c.overcount
			return certain > minHeavyRate*fastSpan.Seconds()*h.weight(now) && certain > minHeavyShare*h.total
		}
	}
	return false
}
