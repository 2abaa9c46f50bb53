package liveness

import (
	"math"
	"slices"
	"time"
)

// endedCircuits are the circuits of a call or set-up that has ended here. A group state may count them until a time, as
// the core may not have read the release yet.
type endedCircuits struct {
	width float64
	until time.Duration
}

// minEndedLimit is the number of entries from which those that no longer count are removed.
const minEndedLimit = 64

// addEnded records that circuits may be counted for a while after the end of their call or set-up.
func (l *Lease) addEnded(width float64, now, lag time.Duration) {
	if len(l.ended) >= l.endedLimit {
		l.ended = slices.DeleteFunc(l.ended, func(e endedCircuits) bool { return e.until <= now })
		l.endedLimit = max(minEndedLimit, 2*len(l.ended))
	}
	l.ended = append(l.ended, endedCircuits{width, now + lag})
}

// endedWidth returns the number of circuits that a state may still count although their calls and set-ups have ended.
func (l *Lease) endedWidth(now time.Duration) float64 {
	sum := 0.0
	for _, e := range l.ended {
		if e.until > now {
			sum += e.width
		}
	}
	return sum
}

// circuitRange is a range of numbers of circuits, as it is not certain which of them a state counts.
type circuitRange struct{ low, high float64 }

// minInUse returns the minimum number of circuits in use at which calls of the given width can stand. Of many calls, a
// few may have ended with their releases lost, which does not indicate another process.
func minInUse(width float64) float64 { return width - math.Floor(width*maxMissingShare) }

// widthOf returns the maximum number of circuits that calls on some processes may take at one that these may be, without
// those that are known not to be it.
func widthOf(processes []*process, now time.Duration) float64 {
	sum := 0.0
	for _, p := range processes {
		if !p.ended && p.contradiction == nil {
			sum += p.width(now)
		}
	}
	return sum
}

// unexplained returns the circuits in use at sender, which follows p, that calls and set-ups of this side on processes
// after p do not explain, nor calls and set-ups that ended just now.
func (l *Lease) unexplained(p, sender *process, now time.Duration) circuitRange {
	possible := widthOf(l.laterProcesses(p), now) + l.allPendingWidth() - l.pendingWidth(p) + l.endedWidth(now)
	return circuitRange{sender.used - possible, sender.used - sender.width(now-settleTime)}
}

// allPendingWidth returns the number of circuits of all pending set-ups.
func (l *Lease) allPendingWidth() float64 {
	sum := 0.0
	for _, s := range l.pending {
		sum += s.width
	}
	return sum
}

// pendingWidth returns the maximum number of circuits taken by pending set-ups that were sent to p.
func (l *Lease) pendingWidth(p *process) float64 {
	sum := 0.0
	for _, s := range l.pending {
		if s.process == p {
			sum += s.width
		}
	}
	return sum
}

// earlierProcesses returns the processes before p, which has to be listed, in order.
func (l *Lease) earlierProcesses(p *process) []*process {
	return l.processes[:slices.Index(l.processes, p)]
}

// laterPendingWidth returns the maximum number of circuits taken by pending set-ups on processes that follow p. Set-ups
// on connections that have ended are included, as their process is unknown.
func (l *Lease) laterPendingWidth(p *process) float64 {
	later := l.laterProcesses(p)
	sum := 0.0
	for _, s := range l.pending {
		if c := l.connections[s.connectionID]; c == nil || slices.Contains(later, c.process) {
			sum += s.width
		}
	}
	return sum
}
