package liveness

import (
	"slices"
	"time"
)

// requestCheck requests a new connection if a process is unresponsive and a connection could give more evidence.
func (l *Lease) requestCheck(p *process, now time.Duration, d *Decision) {
	if now-p.lastAliveAt < CheckAfter || now-l.lastCheckAt < l.checkInterval() {
		return
	}
	carrying := map[ConnectionID]bool{}
	for _, q := range l.processes {
		for _, k := range q.calls {
			carrying[k.connectionID] = true
		}
	}
	for id, c := range l.connections {
		switch {
		case c.retired:
		case !carrying[id]:
			d.Idle = append(d.Idle, id)
		case c.process == p:
			d.Carrying = append(d.Carrying, id)
		}
	}
	slices.Sort(d.Idle)
	slices.Sort(d.Carrying)
	statesDecide := l.statesReliable() && !l.newest().full
	d.ReplaceCarrying = p != l.newest() && !statesDecide && len(d.Carrying) > 0
	if p != l.newest() && !d.ReplaceCarrying && l.newestResponding(now) && !l.stateInconclusive(p) {
		return // the process at the address has sent a message, or still has time to
	}
	l.lastCheckAt = now
	d.Check = true
}

// checkInterval returns the time between two checks. After a check that was answered, the next one compares a later state.
func (l *Lease) checkInterval() time.Duration {
	if newest := l.newest(); newest.seenAlive && newest.lastAliveAt >= l.lastCheckAt {
		return CheckAfter
	}
	return CheckInterval
}

// stateInconclusive reports whether the states of the process at the address left open, because of pending set-ups,
// whether it has the calls of p, and a new state would decide it, as no set-up is pending.
func (l *Lease) stateInconclusive(p *process) bool {
	return l.TellsProcessesApart() && l.newest().usedKnown && p.contradiction == nil && l.laterPendingWidth(p) == 0
}

// newestResponding reports whether the process at the address was seen alive recently, or still has time to send its
// first message.
func (l *Lease) newestResponding(now time.Duration) bool {
	for _, c := range l.newest().connections {
		if c.seenAlive && now-l.newest().lastAliveAt < FirstMessageTimeout || now-c.openedAt < FirstMessageTimeout {
			return true
		}
	}
	return false
}
