package storm

import (
	"math"
	"time"
)

// heavy finds the numbers that take more than their part of a destination's calls, in bounded memory: the
// space-saving sketch of Metwally, Agrawal and El Abbadi (2005). Counts fade by forward decay: what comes later
// weighs more, so that no line has to be touched as time goes by.
type heavy struct {
	lines [mostHeavy]heavyLine
	all   float64
	zero  time.Duration // when a call weighed 1
	begun bool
}

type heavyLine struct {
	number uint64
	level  float64
	over   float64 // what the line may have taken over from others
}

const (
	heavyPart  = 0.3  // of a destination's calls
	heavyLeast = 5.0  // calls a second
	heavyScale = 1e12 // weights are brought down before they grow over this
)

// weight is what a call weighs now.
func (h *heavy) weight(now time.Duration) float64 {
	if !h.begun {
		h.begun, h.zero = true, now
	}
	w := math.Exp(float64(now-h.zero) / float64(fast))
	if w > heavyScale {
		for i := range h.lines {
			h.lines[i].level /= w
			h.lines[i].over /= w
		}
		h.all /= w
		h.zero, w = now, 1
	}
	return w
}

// add counts a call.
func (h *heavy) add(now time.Duration, number uint64) {
	w := h.weight(now)
	h.all += w
	least := &h.lines[0]
	for i := range h.lines {
		l := &h.lines[i]
		if l.number == number {
			l.level += w
			return
		}
		if l.level < least.level {
			least = l
		}
	}
	least.number, least.over = number, least.level
	least.level += w
}

// is tells whether a number is heavy for certain.
func (h *heavy) is(now time.Duration, number uint64) bool {
	for i := range h.lines {
		if l := &h.lines[i]; l.number == number {
			sure := l.level - l.over
			return sure > heavyLeast*fast.Seconds()*h.weight(now) && sure > heavyPart*h.all
		}
	}
	return false
}
