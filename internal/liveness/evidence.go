package liveness

import (
	"slices"
	"time"
)

// renew records a sign of life of a connection's process that no process gives as it ends.
func (l *Lease) renew(c *connection, now time.Duration) {
	c.markAlive(now)
	c.process.lastProvenAt = now
	l.mergeSeenAfter(c.process)
	// tryMerge removes only processes that follow the one it is given, so the index stays valid.
	for i := 0; i < slices.Index(l.processes, c.process); i++ {
		l.tryMerge(l.processes[i], now)
	}
}

// markAlive records a sign of life of a connection's process. Alone it says nothing about which process that is.
func (c *connection) markAlive(now time.Duration) {
	c.seenAlive = true
	p := c.process
	if !p.seenAlive {
		p.firstAliveAt = now
	}
	p.seenAlive, p.lastAliveAt = true, now
}

// recordClose evaluates the end of a connection, which is not listed any more. The core's answer to a close of this side
// proves that its process is alive, if it comes at once and the process's other connections stay: a process that ends loses
// all of them. So it is confirmed only after a while.
func (l *Lease) recordClose(c *connection, now time.Duration, end End) {
	p := c.process
	p.closedInOrder = end == EndClosed
	if end == EndLocal {
		return
	}
	answered := end == EndClosed && c.halfClosed && !c.endedBefore && now-c.halfClosedAt < closeAnswerLimit && now-p.lostAt >= closeConfirmDelay
	if end == EndClosed {
		c.markAlive(now) // the process may have closed it while it ended
	}
	switch {
	case answered && len(p.connections) == 0:
		l.renew(c, now)
	case answered:
		p.closeAnsweredAt, p.closeAskedAt = max(1, now), c.halfClosedAt
	default:
		p.closeAnsweredAt, p.lostAt = 0, now
	}
}

// confirmClose counts a close that the process has answered, once its other connections have stayed for a while.
func (l *Lease) confirmClose(p *process, now time.Duration) {
	if p.closeAnsweredAt > 0 && now-p.closeAnsweredAt >= closeConfirmDelay {
		p.lastProvenAt = max(p.lastProvenAt, p.closeAnsweredAt)
		p.answersUntil = max(p.answersUntil, p.closeAskedAt)
		p.closeAnsweredAt = 0
	}
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
// they are one: it answered a close that followed, or was heard half a second later, as the order in which messages of two
// connections are read is no evidence. Nor is a sign of life of a process that hands its address over: its group states
// differ from those of the other.
func (p *process) overlaps(later *process) bool {
	answered := p.answersUntil > later.firstAliveAt
	if !later.seenAlive || !answered && p.lastProvenAt-later.firstAliveAt < maxReadDelay {
		return false
	}
	bothReport := p.usedKnown && p.stateAt > later.firstAliveAt && later.usedKnown
	return !bothReport || p.used == later.used
}

// mayBe reports whether p, which has been silent for long, may be a later process that was heard after it, on connections
// that p does not have.
func (p *process) mayBe(later *process) bool {
	if !later.seenAlive || later.lastAliveAt < p.lastAliveAt {
		return false
	}
	return len(p.connections) == 0 || later.lastAliveAt-p.lastAliveAt >= CheckAfter
}

// tryMerge merges a later process into p if both were alive at the same time.
func (l *Lease) tryMerge(p *process, now time.Duration) {
	if p.ended || l.lacksCalls(p, now) {
		return // the next Tick expires its calls
	}
	if p.contradiction != nil && now-p.contradiction.at >= ReleaseGrace {
		p.contradiction = nil // the missing calls were released: the next states decide on the others
	}
	l.mergeSeenAfter(p)
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
