package storm

import (
	"math"
	"time"
)

// The window toward a destination. A processor with one line shows a line as set-ups that take longer than the
// least that was seen; a window on what is under way keeps the line short whatever the processor can do, however
// many others send there, and follows it within one set-up time. A rate would need all three to be known.
const (
	windowLeast = 2.0  // one set-up tells nothing of the next
	windowFirst = 16.0 // after a start and after an outage, of all controllers together
	windowEasy  = 6.0  // it grows so far without proof: fewer come together by chance
	windowMost  = 4096 // calls under way to one destination
	windowBack  = 0.7  // what a turned-away or lost set-up leaves of it
	backEvery   = 300 * time.Millisecond
	roomier     = 0.5 // it grows only while so much of it is used: what was never tried proves nothing
	leastFor    = 30 * time.Second
	silentFor   = time.Second // set-ups out and no answer for so long: an outage
)

// ranks are parts of the window open to calls: who comes first finds room longest.
type rank int

const (
	rankIgnorer rank = iota // came back before its time
	rankRedial
	rankHeavy   // to a number that takes more than its part
	rankTransit // on its way from elsewhere
	rankFirst
	rankWorthy // a class worth more than most
	ranks
)

var parts = [ranks]float64{0.15, 0.4, 0.7, 0.85, 1, 1.5}

// window bounds what is under way to a destination.
type window struct {
	size     float64
	open     int     // calls let through and neither answered nor over
	first    float64 // size at the start of a ramp
	ramping  bool
	ramps    int
	least    time.Duration // least set-up time of this span and the one before, 0 if none
	before   time.Duration
	leastAt  time.Duration
	wait     time.Duration // of the last set-up that stood
	heard    time.Duration // last answer
	asked    time.Duration // the first set-up after that
	waiting  bool
	backedAt time.Duration
	level    int           // of congestion, as the exchange told it
	levelTo  time.Duration // obeyed until then
}

// ramp starts the window again, from little, at the start and after an outage. Others start at the same time: the
// set-ups that all of them send before the first answer make one line.
func (w *window) ramp() {
	w.size, w.ramping = w.first, true
	w.ramps++
}

// eased is what congestion that the exchange itself has told leaves of the window, by its level. Worthy classes are
// eased less.
var eased = [4]float64{1, 0.5, 0.25, 0.1}

// levelFor is how long a told level is obeyed: T30 of automatic congestion control (Q.764, 2.11), 5 to 10 s.
const levelFor = 5 * time.Second

// congested takes the level that the exchange has told; 0 lifts it.
func (w *window) congested(now time.Duration, level int) {
	w.level, w.levelTo = min(max(0, level), len(eased)-1), now+levelFor
}

// fits tells whether a call finds room.
func (w *window) fits(now time.Duration, r rank) bool {
	size := w.size * parts[r]
	if w.level > 0 && now < w.levelTo && !(r == rankWorthy && w.level < 2) {
		size *= eased[w.level]
	}
	return float64(w.open) < max(1, size)
}

// sent notes a set-up.
func (w *window) sent(now time.Duration) {
	if !w.waiting {
		w.waiting, w.asked = true, now
	}
}

// silent tells whether set-ups went out and nothing came back for a while.
func (w *window) silent(now time.Duration) bool { return w.waiting && now-w.asked > silentFor }

// stood takes the time that a set-up took, and how long one may wait.
func (w *window) stood(now, took, target time.Duration) {
	if w.silent(now) {
		w.ramp()
	}
	w.heard, w.waiting = now, false
	if now-w.leastAt > leastFor {
		w.before, w.least, w.leastAt = w.least, 0, now
	}
	if w.least == 0 || took < w.least {
		w.least = took
	}
	base := w.least
	if w.before > 0 {
		base = min(base, w.before)
	}
	w.wait = took - base
	used := w.size < windowEasy || float64(w.open+1) >= roomier*w.size
	switch {
	case w.wait > target:
		w.ramping = false
		w.size += 2 * (max(0.5, float64(target)/float64(w.wait)) - 1)
	case used && w.ramping:
		w.size++
	case used:
		w.size += 2 / w.size
	}
	w.size = math.Min(max(windowLeast, w.size), windowMost)
}

// back takes word that a set-up was turned away by a full processor, or lost.
func (w *window) back(now time.Duration) {
	if now-w.backedAt < backEvery && w.backedAt > 0 {
		return
	}
	w.ramping, w.backedAt = false, now
	w.size = max(windowLeast, w.size*windowBack)
}
