package liveness

import (
	"slices"
	"time"
)

// renew records a message of a connection's process.
func (l *Lease) renew(c *connection, now time.Duration) {
	c.markAlive(now)
	l.mergeSeenAfter(c.process)
	// tryMerge removes only processes that follow the one it is given, so the index stays valid.
	for i := 0; i < slices.Index(l.processes, c.process); i++ {
		l.tryMerge(l.processes[i], now)
	}
	l.mergeSeenAfter(c.process)
}

// markAlive records a sign of life of a connection's process. Alone it says nothing about which process that is.
func (c *connection) markAlive(now time.Duration) {
	c.seenAlive = true
	p := c.process
	if !p.seenAlive {
		p.firstAliveAt = now
	}
	p.seenAlive, p.lastAliveAt, p.checkFailed, p.dialFailed = true, now, false, false
}

// mergeSeenAfter merges the processes after p that were seen alive while p was, too.
func (l *Lease) mergeSeenAfter(p *process) {
	for {
		later := l.laterProcesses(p)
		i := slices.IndexFunc(later, p.overlaps)
		if i < 0 {
			return
		}
		l.merge(p, later[i], MergeOverlap)
	}
}

// overlaps reports whether p gave a sign of life after a later process had been seen alive at the same address, so that
// they are one. The order in which messages of two connections are read is no evidence, nor is a sign of life of a process
// that hands its address over: its group states differ from those of the other.
func (p *process) overlaps(later *process) bool {
	if !later.seenAlive || p.lastAliveAt-later.firstAliveAt < maxReadDelay {
		return false
	}
	bothReport := p.usedKnown && p.stateAt > later.firstAliveAt && later.usedKnown
	return !bothReport || p.used == later.used
}

// tryMerge merges a later process that was seen alive into p if both were alive at the same time, if nothing depends on
// which of them is which, or if the core gives no evidence by which to tell them apart.
func (l *Lease) tryMerge(p *process, now time.Duration) {
	if p.ended || p.lacksCalls(now) {
		return // the next Tick expires its calls
	}
	if p.contradiction != nil && now-p.contradiction.at >= ReleaseGrace {
		p.contradiction = nil // the missing calls were released: the next states decide on the others
		p.series = nil
	}
	for _, later := range l.laterProcesses(p) {
		if why, merge := l.mergeReason(p, later); merge {
			l.merge(p, later, why)
			return
		}
	}
}

// mergeReason returns why a later process is taken for p, if it is.
func (l *Lease) mergeReason(p, later *process) (why MergeReason, merge bool) {
	switch {
	case !later.seenAlive:
		return "", false
	case p.overlaps(later):
		return MergeOverlap, true
	case l.carriesNothing(p):
		return MergeNothingStands, true
	case l.indistinguishable(p):
		return MergeNoStates, true
	}
	return "", false
}

// carriesNothing reports whether no call of a process stands and no set-up that was sent to it is pending.
func (l *Lease) carriesNothing(p *process) bool { return len(p.calls) == 0 && !l.hasPending(p) }

// indistinguishable reports whether the core's messages can't show which process has the calls of p, and nothing
// indicates that another one has its address: its group states do not count calls, p was not out of reach, and it has an
// open connection or has closed its last one in order. The absence of messages on its connections is no such indication,
// because an idle core sends nothing. Where the states count calls, the calls of p depend on evidence.
func (l *Lease) indistinguishable(p *process) bool {
	return !l.TellsProcessesApart() && !p.checkFailed && p.contradiction == nil &&
		(len(p.connections) > 0 || p.closedInOrder && !p.dialFailed)
}

// evaluateCall handles a message that names a call. Its sender is the process that answered the call.
func (l *Lease) evaluateCall(sender *process, id string) {
	for _, p := range slices.Clone(l.processes) {
		if _, ok := p.calls[id]; !ok || p == sender {
			continue
		}
		if slices.Contains(l.laterProcesses(p), sender) {
			l.merge(p, sender, MergeCallNamed)
		} else {
			l.merge(sender, p, MergeCallNamed)
		}
		return
	}
}

// evaluateState compares the sender's group state with the calls that stand on earlier processes. A sender with fewer
// circuits in use than they take is another process, unless releases of these calls are still to arrive; calls that the
// state may not count yet, as they were answered only just before, don't show that. A sender has the calls if its states,
// over a while, have the circuits of these calls and of the others that were seen beside them.
func (l *Lease) evaluateState(sender *process, now time.Duration) {
	for i := slices.Index(l.processes, sender) - 1; i >= 0; i-- {
		p := l.processes[i]
		settled := p.width(now - settleTime)
		unattributed := sender.used - sender.width(now-settleTime)
		switch {
		case len(p.calls) == 0, p.ended:
		case l.statesReliable() && unattributed < minInUse(settled):
			if p.contradiction == nil {
				p.contradiction = &stateContradiction{at: now, used: sender.used, sender: sender}
			}
		case p.contradiction != nil && p.contradiction.unattributed() < minInUse(settled):
			// Circuits that were taken since then are not those of its calls.
		case l.statesDistrusted:
		default:
			p.addState(sender, l.compare(p, sender, now), now)
			if series := p.series[sender]; series.complete(now) && series.matches() {
				l.merge(p, sender, MergeCircuits)
				sender = p // holds the states and the calls of both
			}
		}
	}
}

// mergeBeforeExpiry merges p with the process whose states have the circuits of its calls, if there is one, and reports
// whether it did. The states until the end of the lease decide, however few they are.
func (l *Lease) mergeBeforeExpiry(p *process) bool {
	if p.ended || p.contradiction != nil || l.statesDistrusted {
		return false
	}
	later := l.laterProcesses(p)
	i := slices.IndexFunc(later, func(sender *process) bool { return p.series[sender].matches() })
	if i < 0 {
		return false
	}
	l.merge(p, later[i], MergeCircuits)
	return true
}

// statesReliable reports whether the core's group states are known to count the standing calls.
func (l *Lease) statesReliable() bool { return l.statesVerified && !l.statesDistrusted }

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

// recordProvenEnds records which processes the refused dials so far show to have ended. The next connection ends the
// evidence, but not what it has shown.
func (l *Lease) recordProvenEnds(now time.Duration) {
	for _, p := range l.processes {
		p.ended = p.ended || l.refusalsProveEnd(p, now)
	}
}

// refusalsProveEnd reports whether the refused dials show that a process has ended.
func (l *Lease) refusalsProveEnd(p *process, now time.Duration) bool {
	return l.refusedSince > 0 && len(l.connections) == 0 &&
		(!p.closedInOrder || now-l.refusedSince >= minRefusedTime)
}
