package liveness

import (
	"math"
	"slices"
	"time"
)

// Circuits in use may show that calls are missing at a process, never that it has them: calls of others, from the far end
// of a group or in transit, take circuits of the same group.
const (
	// settleTime is how long a call has to stand before the group's state is certain to count it.
	settleTime = time.Second
	// maxMissingShare is the share of a process's circuits in calls that may be missing from its group states.
	maxMissingShare = 0.25
	// distrustAfter is how long the group states may contradict the calls of a live process before they are no longer
	// used as evidence.
	distrustAfter = 2 * time.Second
)

// stateContradiction is a group state of a later process with too few circuits in use to include the calls of an
// earlier one.
type stateContradiction struct {
	at    time.Duration
	used  float64
	later []string // calls of the sender, and of those between, that the state has to count too if all are one process
}

// minInUse returns the minimum number of circuits in use at which calls of the given width can stand. Of many calls, a
// few may have ended with their releases lost, which does not indicate another process.
func minInUse(width float64) float64 { return width - math.Floor(width*maxMissingShare) }

// width returns the number of circuits of the calls that were answered at or before a time.
func (p *process) width(before time.Duration) float64 {
	sum := 0.0
	for _, k := range p.calls {
		if k.answeredAt <= before {
			sum += k.width
		}
	}
	return sum
}

// settledCalls returns the calls of processes that a state of a process with all of them has to count.
func settledCalls(processes []*process, now time.Duration) []string {
	var ids []string
	for _, p := range processes {
		for id, k := range p.calls {
			if k.answeredAt <= now-settleTime {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// standingWidth returns the number of circuits of those of the given calls that have not ended.
func (l *Lease) standingWidth(ids []string) float64 {
	sum := 0.0
	for _, p := range l.processes {
		for _, id := range ids {
			sum += p.calls[id].width
		}
	}
	return sum
}

// lacksCalls reports whether a later process has shown that it does not have the calls of p, and has had time to release
// those that have ended. Later calls that have ended since may have ended before its state, and are not counted.
func (l *Lease) lacksCalls(p *process, now time.Duration) bool {
	c := p.contradiction
	return c != nil && now-c.at >= ReleaseGrace && c.used-l.standingWidth(c.later) < minInUse(p.width(c.at-settleTime))
}

// evaluateState compares the sender's group state with the calls that stand on earlier processes. A sender with fewer
// circuits in use than they take is another process, unless releases of these calls are still to arrive; calls that the
// state may not count yet, as they were answered only just before, don't show that.
func (l *Lease) evaluateState(sender *process, now time.Duration) {
	if !l.statesVerified || l.statesDistrusted {
		return
	}
	index := slices.Index(l.processes, sender)
	for i, p := range l.processes[:index] {
		later := settledCalls(l.processes[i+1:index+1], now)
		if p.contradiction == nil && sender.used-l.standingWidth(later) < minInUse(p.width(now-settleTime)) {
			p.contradiction = &stateContradiction{at: now, used: sender.used, later: later}
		}
	}
}

// verifyStates determines whether the core's group states count its calls, as long as it is certain which process sends
// them.
func (l *Lease) verifyStates(p *process, now time.Duration) {
	width := p.width(now - settleTime)
	if p != l.newest() || len(l.processes) > 1 || !p.usedKnown || width == 0 ||
		now-p.lastAliveAt > CheckAfter+CheckInterval {
		return
	}
	if p.used >= width {
		p.contradictedSince, l.statesVerified = 0, true
		return
	}
	if p.contradictedSince == 0 {
		p.contradictedSince = now
	}
	l.statesDistrusted = l.statesDistrusted || now-p.contradictedSince >= distrustAfter
}
