package liveness

import (
	"cmp"
	"slices"
	"time"
)

// Check is a request to the caller for more evidence. It lists connections in order of preference: the caller takes the
// first one without an open set-up. If there is none, it opens a connection if fewer than usual are open.
type Check struct {
	// Close lists connections of an unresponsive process. One of them has to be retired: the core's answer to its close
	// shows that the process is alive. The connection that is opened in its place is the next one to be known by that.
	Close []ConnectionID
	// OpenFirst is set if the other connection has to be opened before the close, and heard for a while: few are left.
	OpenFirst bool
	// Renew lists connections to the address that are not known to lead to a process with calls. One of them has to be
	// replaced, as nothing was received on it of late.
	Renew []ConnectionID
}

// requestCheck requests evidence for an unresponsive process. Its connections are closed one at a time, the next one only
// after the core has answered or something else was received from the address. While nothing is received there, they are
// kept for when the core is back.
func (l *Lease) requestCheck(p *process, now time.Duration, d *Decision) {
	if now-p.lastAliveAt < l.checkAfter || d.Check != nil || l.closing(p) || p.awaitsCloseAnswer(now) {
		return
	}
	newest := l.newest()
	idle, carrying := l.replaceable(p, now)
	unansweredSince, unanswered := p.unansweredClose()
	heardSince := newest != p && newest.seenAlive && newest.lastAliveAt > max(unansweredSince, p.lastAliveAt)
	own := len(idle) + len(carrying)
	switch {
	case own > 0 && (newest == p && !unanswered || heardSince):
		proven := newest == p
		d.Check = &Check{Close: append(idle, carrying...), OpenFirst: proven && len(idle) < 2 || !proven && len(idle) == 0}
	case newest != p && own == 0:
		return // only a message that names a call can show that it lives
	case now-l.lastCheckAt < CheckInterval || newest.awaitsFirstMessage(now):
		return
	case newest != p:
		idle, _ = l.replaceable(newest, now)
		d.Check = &Check{Renew: idle}
	default:
		d.Check = &Check{}
	}
	l.lastCheckAt = now
}

// replaceable returns the connections of a process without pending set-ups, which may be replaced, those on which calls
// stand and which the core does not close soon apart, the one that was heard the longest ago first.
func (l *Lease) replaceable(p *process, now time.Duration) (idle, carrying []ConnectionID) {
	pending := map[ConnectionID]bool{}
	for _, s := range l.pending {
		pending[s.connectionID] = true
	}
	for id, c := range p.connections {
		switch {
		case c.retired || pending[id]:
		case l.Carries(id) && now-c.heardAt < l.renewAfter:
			carrying = append(carrying, id)
		default:
			idle = append(idle, id)
		}
	}
	heardFirst := func(a, b ConnectionID) int {
		return cmp.Or(cmp.Compare(p.connections[a].heardAt, p.connections[b].heardAt), cmp.Compare(a, b))
	}
	slices.SortFunc(idle, heardFirst)
	slices.SortFunc(carrying, heardFirst)
	return idle, carrying
}

// Carries reports whether a call stands whose set-up was sent on a connection.
func (l *Lease) Carries(id ConnectionID) bool {
	for _, p := range l.processes {
		for _, k := range p.calls {
			if k.connectionID == id {
				return true
			}
		}
	}
	return false
}

// closing reports whether a connection of the process is retired that has to stay open until the newest process has been
// heard for a while.
func (l *Lease) closing(p *process) bool {
	for _, c := range p.connections {
		if c.retired && !c.halfClosed && l.newest() != p {
			return true
		}
	}
	return false
}

// awaitsCloseAnswer reports whether a connection was closed by this side so recently that the core's answer may follow.
func (p *process) awaitsCloseAnswer(now time.Duration) bool {
	for _, c := range p.connections {
		if c.halfClosed && now-c.halfClosedAt < closeAnswerLimit {
			return true
		}
	}
	return false
}

// unansweredClose returns when the last close of a connection was sent that the process has not answered, if there is one
// since its last sign of life.
func (p *process) unansweredClose() (at time.Duration, unanswered bool) {
	for _, c := range p.connections {
		if c.halfClosed && c.halfClosedAt >= p.lastAliveAt {
			at, unanswered = max(at, c.halfClosedAt), true
		}
	}
	return at, unanswered
}

// awaitsFirstMessage reports whether a connection of the process was opened so recently that its first message may follow.
func (p *process) awaitsFirstMessage(now time.Duration) bool {
	for _, c := range p.connections {
		if !c.received && now-c.openedAt < FirstMessageTimeout {
			return true
		}
	}
	return false
}
