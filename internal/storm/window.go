package storm

import (
	"math"
	"time"
)

// The window toward a destination. At a processor with one queue, queueing shows as set-ups that take longer than
// the shortest time observed. A window on the open calls keeps the queue short whatever the processor's capacity and
// however many other controllers send to it, and adapts within one set-up time. A rate limit would need to know the
// capacity, the load from the other controllers and the changes of both.
const (
	minWindow       = 2.0  // a single set-up says nothing about the next
	initialWindow   = 16.0 // after a start or an outage, total of all controllers
	unprovenWindow  = 6.0  // below this size it grows without proof of use: how many of so few calls coincide is chance
	maxWindow       = 4096 // maximum number of open calls to one destination
	backOffFactor   = 0.7  // the size is multiplied by this after a rejected or lost set-up
	backOffInterval = 300 * time.Millisecond
	minUsedShare    = 0.5              // it grows only while this share is used: unused capacity is unproven
	minTimeSpan     = 30 * time.Second // queueing delay is measured against the minimum of this span and the one before
	outageAfter     = time.Second      // set-ups sent and no answer for this long: an outage
)

// rank orders calls by the share of the window that is open to them, lowest first. See rankShares.
type rank int

const (
	rankIgnorer rank = iota // retried before the end of its wait, repeatedly
	rankRedial
	rankHeavy   // to a number that receives a large share of the calls
	rankTransit // transit call of another exchange
	rankFirst
	rankWorthy // of a class whose worth is well above the mean
	numRanks
)

// rankShares is the share of the window open to each rank.
var rankShares = [numRanks]float64{0.15, 0.4, 0.7, 0.85, 1, 1.5}

// window limits the open calls to a destination. Its size adapts to the queueing delay of the answered set-ups.
type window struct {
	size            float64
	open            int     // admitted calls that are neither answered nor ended
	rampSize        float64 // size at the start of a ramp-up
	ramping         bool
	ramps           int
	minTime         time.Duration // minimum set-up time in the current minTimeSpan, 0 if none
	prevMinTime     time.Duration // minimum of the span before, 0 if none
	minTimeAt       time.Duration // start of the current span
	wait            time.Duration // queueing delay of the last answered set-up
	answeredAt      time.Duration // time of the last answer
	unansweredSince time.Duration // time of the first set-up after that
	unanswered      bool          // a set-up was sent since the last answer
	backedOffAt     time.Duration // time of the last back-off
	level           int           // congestion level signalled by the exchange
	levelUntil      time.Duration // level applies until then
}

// ramp restarts the window from its initial size, at the start and after an outage. Other controllers restart at the
// same time, and the set-ups that all of them send before the first answer share one queue.
func (w *window) ramp() {
	w.size, w.ramping = w.rampSize, true
	w.ramps++
}

// levelShares is the share of the window that stays open at each congestion level signalled by the exchange. Calls of
// rankWorthy are not reduced at level 1.
var levelShares = [4]float64{1, 0.5, 0.25, 0.1}

// levelValidity is how long a signalled level applies: T30 of automatic congestion control (Q.764, 2.11), 5 to 10 s.
const levelValidity = 5 * time.Second

// congested sets the congestion level signalled by the exchange; 0 clears it.
func (w *window) congested(now time.Duration, level int) {
	w.level, w.levelUntil = min(max(0, level), len(levelShares)-1), now+levelValidity
}

// admits reports whether the window has space for a call of rank r.
func (w *window) admits(now time.Duration, r rank) bool {
	size := w.size * rankShares[r]
	if w.level > 0 && now < w.levelUntil && !(r == rankWorthy && w.level < 2) {
		size *= levelShares[w.level]
	}
	return float64(w.open) < max(1, size)
}

// sent records an outgoing set-up.
func (w *window) sent(now time.Duration) {
	if !w.unanswered {
		w.unanswered, w.unansweredSince = true, now
	}
}

// unresponsive reports whether a set-up was sent more than outageAfter ago and nothing has been answered since.
func (w *window) unresponsive(now time.Duration) bool {
	return w.unanswered && now-w.unansweredSince > outageAfter
}

// answered records an answered set-up that took this long and adapts the size: it shrinks while the queueing delay
// exceeds target, and grows while the window is used or smaller than unprovenWindow.
func (w *window) answered(now, took, target time.Duration) {
	if w.unresponsive(now) {
		w.ramp()
	}
	w.answeredAt, w.unanswered = now, false
	if now-w.minTimeAt > minTimeSpan {
		w.prevMinTime, w.minTime, w.minTimeAt = w.minTime, 0, now
	}
	if w.minTime == 0 || took < w.minTime {
		w.minTime = took
	}
	base := w.minTime
	if w.prevMinTime > 0 {
		base = min(base, w.prevMinTime)
	}
	w.wait = took - base
	used := w.size < unprovenWindow || float64(w.open+1) >= minUsedShare*w.size
	switch {
	case w.wait > target:
		w.ramping = false
		w.size += 2 * (max(0.5, float64(target)/float64(w.wait)) - 1)
	case used && w.ramping:
		w.size++
	case used:
		w.size += 2 / w.size
	}
	w.size = math.Min(max(minWindow, w.size), maxWindow)
}

// backOff shrinks the window after a set-up was rejected by a full processor or lost, at most once per
// backOffInterval.
func (w *window) backOff(now time.Duration) {
	if now-w.backedOffAt < backOffInterval && w.backedOffAt > 0 {
		return
	}
	w.ramping, w.backedOffAt = false, now
	w.size = max(minWindow, w.size*backOffFactor)
}
