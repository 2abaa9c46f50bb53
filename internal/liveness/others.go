package liveness

import (
	"math"
	"time"
)

// Tolerances of the estimate of the circuits in calls of others.
const (
	driftMemory     = 5 * time.Second // time constant with which observed changes are forgotten
	minDriftPeriod  = time.Second     // shortest observation from which a rate of change is computed
	driftDeviations = 2.5             // tolerated change, in standard deviations of a random walk
	roundingMargin  = 0.5             // circuits
	// maxToleranceShare is the largest share of the calls of a process by which those of others may have changed where a
	// state is to show that its sender has them.
	maxToleranceShare = 0.25
	// minWidthBesideOthers is the number of circuits that the calls of a process have to take for that where there are others.
	minWidthBesideOthers = 2
	// stateSettleTime is how long a state has to stay the last one before it is compared with the calls: the release of a
	// call may follow the state that omits it.
	stateSettleTime = 100 * time.Millisecond
)

// otherCircuits bounds the circuits of a core's group that are in use for calls of others: those of the far end and in
// transit. It is updated with each group state of one process. The zero value has no observation.
type otherCircuits struct {
	known     bool
	low, high float64
	firstAt   time.Duration
	at        time.Duration // of the last observation
	changes   float64       // sum of the squared changes, decaying with driftMemory
}

// observe updates the bounds with those that a group state shows. While they overlap, the estimate is what both allow;
// else calls of others have begun or ended.
func (o *otherCircuits) observe(low, high float64, now time.Duration) {
	if !o.known {
		*o = otherCircuits{known: true, low: low, high: high, firstAt: now, at: now}
		return
	}
	o.changes *= math.Exp(-float64(now-o.at) / float64(driftMemory))
	o.at = now
	switch {
	case low > o.high:
		o.changes += (low - o.high) * (low - o.high)
		o.low, o.high = low, low
	case high < o.low:
		o.changes += (o.low - high) * (o.low - high)
		o.low, o.high = high, high
	default:
		o.low, o.high = max(o.low, low), min(o.high, high)
	}
}

// tolerance returns by how many circuits the calls of others may change until now, judging by their changes so far.
func (o *otherCircuits) tolerance(now time.Duration) float64 {
	period := min(driftMemory, max(minDriftPeriod, o.at-o.firstAt))
	variance := o.changes / period.Seconds() * (now - o.at).Seconds()
	return roundingMargin + driftDeviations*math.Sqrt(variance)
}

// observeOthers updates the estimate of a process with its last group state, if the process is alive and its later states
// are known.
func (l *Lease) observeOthers(p *process, now time.Duration) {
	if !p.usedKnown || p.stateOutdated || now-p.usedSince < stateSettleTime || now-p.lastAliveAt > CheckAfter+CheckInterval {
		return
	}
	possible := p.width(now) + widthOf(l.earlierProcesses(p), now) + widthOf(l.laterProcesses(p), now) + l.allPendingWidth() + l.endedWidth(now)
	p.others.observe(max(0, p.used-possible), max(0, p.used-p.width(now-settleTime)), now)
}

// comparison is what a state of a later process shows about the calls of an earlier one.
type comparison int

// Results of a comparison.
const (
	inconclusive comparison = iota // calls that are being set up or have just ended may explain the circuits, too
	matching                       // it has the circuits of the calls, and of the others seen beside them
	differing                      // it has fewer or more
)

// tellableBeside reports whether the calls of p are enough to be told from changes of the calls of others.
func (p *process) tellableBeside(tolerance float64, now time.Duration) bool {
	width := p.width(now)
	return maxToleranceShare*width >= tolerance-roundingMargin && (p.others.high == 0 || width >= minWidthBesideOthers)
}

// compare compares the circuits in use in a state of sender, which follows p, with those of the calls of p and of the
// others that were last seen beside them. Calls of earlier processes count for those of p: a process that has them is p,
// too.
func (l *Lease) compare(p, sender *process, now time.Duration) comparison {
	if !p.others.known {
		return inconclusive
	}
	unexplained := l.unexplained(p, sender, now)
	tolerance := p.others.tolerance(now)
	settled := p.width(now - settleTime)
	if p.others.high == 0 { // no calls of others stand in for missing ones
		settled = minInUse(settled)
	}
	fewest := p.others.low + settled - tolerance
	most := p.others.high + p.width(now) + widthOf(l.earlierProcesses(p), now) + l.pendingWidth(p) + tolerance
	switch {
	case unexplained.high < fewest || unexplained.low > most:
		return differing
	case sender.full:
		return inconclusive // calls of others fill a group as well
	case p.others.high > 0 && (unexplained.low < fewest || unexplained.high > most):
		return inconclusive // calls of others may be among the unexplained circuits
	case unexplained.low > p.others.high+tolerance && p.tellableBeside(tolerance, now):
		return matching
	}
	return inconclusive
}
