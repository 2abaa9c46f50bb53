// Package liveness decides whether the process that holds the calls standing on a core is still alive. It does no I/O,
// starts no goroutine and reads no clock: the caller reports the events of the core's connections and calls Tick
// periodically.
//
// Calls that stand hold a lease on the process that answered them. Only evidence that this process is alive renews the
// lease, such as a message or an orderly close of a connection. An unresponsive process is checked by opening a new
// connection. That the core's address accepts connections proves nothing, because another process may have started to
// listen there. A lease that is not renewed expires, whether or not anything is sent to the core, and its calls end.
package liveness

import (
	"math"
	"slices"
	"time"
)

// Lease timing. A call has to be released within 8 s of its end (protocol page, "The rules on sockets").
const (
	// LeaseDuration is the time after the last sign of life of a process at which its calls are abandoned. It leaves
	// 0.6 s of the 8 s for the release.
	LeaseDuration = 7400 * time.Millisecond
	// CheckAfter is how long a process with calls may send nothing before it is checked. A core that becomes unreachable
	// has at least LeaseDuration-CheckAfter to come back; a smaller CheckAfter gives it more time.
	CheckAfter = time.Second
	// CheckInterval is the time between two checks while the process stays unresponsive.
	CheckInterval = 500 * time.Millisecond
	// ReleaseGrace is how long a process may take to release the calls that ended while it was unreachable.
	ReleaseGrace = time.Second
	// checksPerIdleTimeout is the minimum number of checks in the time after which a core closes idle connections.
	checksPerIdleTimeout = 4
	// FirstMessageTimeout is how long a new connection may stay without a message before another one is opened.
	FirstMessageTimeout = 2 * time.Second
	// maxReadDelay is how much later than a message on another connection a message may be read that arrived before it.
	maxReadDelay = 500 * time.Millisecond
	// RetireDelay is how long the last connection to a process has to stay open after the first message on another one. Its
	// end then shows that both lead to the same process.
	RetireDelay = maxReadDelay + 100*time.Millisecond
	// maxRetireDelay is how long a retired connection waits for the newest process. After it, one before that has to have been
	// heard: others may be reached again and again.
	maxRetireDelay = 2 * RetireDelay
	// minRefusedTime is how long dials have to be refused before a process that closed its connections in order counts
	// as dead.
	minRefusedTime = time.Second
	// closeAnswerLimit is how soon a live core closes its side of a connection that this side has closed.
	closeAnswerLimit = 250 * time.Millisecond
	// closeConfirmDelay is how long the other connections of a process have to stay open after its answer to a close: the
	// ends of several connections are read in any order.
	closeConfirmDelay = maxReadDelay
)

// ConnectionID identifies a connection to the core. Values increase in the order of opening and are never reused.
type ConnectionID uint64

// Reason is why the calls of a process are abandoned.
type Reason string

// Reasons for abandoning calls.
const (
	ReasonExpired   Reason = "silent"    // the lease has expired, and no other process was heard at the address
	ReasonUndecided Reason = "undecided" // the lease has expired, and a process at the address may or may not have the calls
	ReasonRefused   Reason = "refused"   // nothing listens at the address
	ReasonReplaced  Reason = "replaced"  // the process at the address does not have the calls
)

// End is the way a connection ended.
type End int

// Ways a connection ends.
const (
	EndLocal  End = iota // closed by this side, or lost without a signal from the core
	EndClosed            // closed by the core in order, which shows that its process was alive
	EndReset             // reset, so the core's process may have died
)

// Message is the part of a message from the core that is evidence of a process and its calls.
type Message struct {
	GroupState bool
	Free, Size float64 // in circuits, valid with GroupState; Size is negative if the message does not report it
	Call       string  // key of the call that the message names, or empty
}

// Expiry lists the calls of one process that are abandoned.
type Expiry struct {
	Calls           []string
	Reason          Reason
	UnresponsiveFor time.Duration // time since the last sign of life of their process
}

// MergeReason is why two processes are taken for one.
type MergeReason string

// Reasons for taking two processes for one.
const (
	MergeOverlap   MergeReason = "overlap"    // the earlier one was alive after the later one was reached
	MergeCallNamed MergeReason = "call named" // one of them named a call of the other
)

// Merge records that a process with standing calls was taken for a later one.
type Merge struct {
	Reason MergeReason
	Calls  int     // of the earlier process
	Later  int     // calls of the later process
	InUse  float64 // circuits in use in the later process's last group state
}

// Decision is the set of actions that Tick requires of the caller.
type Decision struct {
	Expired []Expiry
	Check   *Check // nil if none is due
}

// Lease tracks the processes, connections and standing calls of one core. The zero value is not usable; use New. A
// Lease is not safe for concurrent use. All times are on one clock of the caller.
type Lease struct {
	processes        []*process // ordered by first connection; the last one is at the address now
	connections      map[ConnectionID]*connection
	pending          map[string]pendingSetUp // by call key
	checkAfter       time.Duration           // silence of a process with calls after which it is checked
	renewAfter       time.Duration           // silence of a connection after which it is closed before others
	stateOnConnect   bool                    // the core begins new connections with its group state
	statesVerified   bool                    // the group states have been observed to count the standing calls
	statesDistrusted bool                    // the group states have been observed not to count them
	lastCheckAt      time.Duration
	refusedSince     time.Duration // since when all dials are refused, 0 if they are not
	merges           []Merge       // since the last TakeMerges
}

// New returns a Lease for a core without connections or calls. idleTimeout is the time after which the core closes idle
// connections, 0 if it is not known: connections are renewed before it closes all of them.
func New(idleTimeout time.Duration) *Lease {
	l := &Lease{connections: map[ConnectionID]*connection{}, pending: map[string]pendingSetUp{}, checkAfter: CheckAfter,
		renewAfter: math.MaxInt64}
	if idleTimeout > 0 {
		l.checkAfter = min(CheckAfter, idleTimeout/checksPerIdleTimeout)
		l.renewAfter = idleTimeout / 2
	}
	return l
}

// Connected records a new connection. It gets a process of its own until evidence shows which process it leads to, unless
// nothing stands or is pending and the newest process was alive just now. If the core is not known to begin connections
// with its group state, the connection itself counts as a sign of life.
func (l *Lease) Connected(id ConnectionID, now time.Duration) {
	l.recordProvenEnds(now)
	p := newProcess(now)
	if len(l.processes) > 0 {
		p.successor = l.newest().successor || l.newest().ended
		p.reopened = len(l.connections) == 0
	}
	if len(l.processes) > 0 && l.Calls() == 0 && len(l.pending) == 0 && now-l.newest().lastAliveAt < maxReadDelay {
		l.newest().successor, l.newest().ended = p.successor, false
		l.newest().reopened = l.newest().reopened || p.reopened
		p = l.newest()
		p.lastAliveAt = now
	} else {
		l.processes = append(l.processes, p)
	}
	l.refusedSince = 0
	c := &connection{process: p, openedAt: now, heardAt: now}
	p.connections[id], l.connections[id] = c, c
	if !l.stateOnConnect {
		l.renew(c, now)
	}
}

// MessageReceived records a complete message from the core. Messages of connections that have ended are ignored.
func (l *Lease) MessageReceived(id ConnectionID, now time.Duration, m Message) {
	c := l.connections[id]
	if c == nil {
		return
	}
	first := !c.received
	c.received, c.heardAt = true, now
	l.stateOnConnect = l.stateOnConnect || first && m.GroupState
	reportsCircuits := m.GroupState && m.Size >= 0
	if reportsCircuits {
		c.process.recordState(m.Size-m.Free, now)
	}
	l.renew(c, now)
	if m.Call != "" {
		l.evaluateCall(c.process, m.Call)
	}
	if reportsCircuits {
		l.evaluateState(c.process, now)
	}
}

// SetUpSent records that a set-up was sent on a connection.
func (l *Lease) SetUpSent(id string, connectionID ConnectionID) {
	s := pendingSetUp{connectionID: connectionID}
	if c := l.connections[connectionID]; c != nil {
		s.process = c.process
	}
	l.pending[id] = s
}

// SetUpEnded records that a set-up is no longer pending.
func (l *Lease) SetUpEnded(id string) { delete(l.pending, id) }

// Retired records that a connection is not used any more. This side closes it as soon as MayHalfClose permits it, and the
// core has to close it too. replaced is set if another connection was opened in its place.
func (l *Lease) Retired(id ConnectionID, now time.Duration, replaced bool) {
	if c := l.connections[id]; c != nil && !c.retired {
		c.retired, c.retiredAt, c.replaced = true, now, replaced
	}
}

// HoldsEvidence reports whether a connection is the last one to a process with calls that is not retired: what arrives on it
// shows whether the process is still alive.
func (l *Lease) HoldsEvidence(id ConnectionID) bool {
	c := l.connections[id]
	if c == nil || len(c.process.calls) == 0 {
		return false
	}
	for _, other := range c.process.connections {
		if other != c && !other.retired {
			return false
		}
	}
	return true
}

// MayHalfClose reports whether this side may close its half of a retired connection. One that another connection replaces
// has to stay open until the newest process has been heard, and the last one to a process until it has been heard for a
// while: the core's answer then shows that both are the same.
func (l *Lease) MayHalfClose(id ConnectionID, now time.Duration) bool {
	c := l.connections[id]
	if c == nil || len(c.process.calls) == 0 || !c.replaced && !l.HoldsEvidence(id) {
		return true
	}
	wait := time.Duration(1) // the close has to follow
	if l.HoldsEvidence(id) {
		wait = RetireDelay
	}
	heard := func(p *process) bool { return p.seenAlive && now-p.firstAliveAt >= wait }
	if newest := l.newest(); newest != c.process && heard(newest) {
		return true
	}
	if now-c.retiredAt < maxRetireDelay {
		return false
	}
	return slices.ContainsFunc(l.laterProcesses(c.process), heard)
}

// MayAbandon reports whether a connection whose close the core does not answer may be given up: no call stands on its
// process, or no later process was reached.
func (l *Lease) MayAbandon(id ConnectionID) bool {
	c := l.connections[id]
	return c == nil || len(c.process.calls) == 0 || c.process == l.newest()
}

// HalfClosed records that this side has closed its half of a connection. ended is set if the core had closed its half by
// then, though that was not read yet: it is no answer.
func (l *Lease) HalfClosed(id ConnectionID, now time.Duration, ended bool) {
	if c := l.connections[id]; c != nil {
		c.halfClosed, c.halfClosedAt, c.endedBefore = true, now, ended
	}
}

// Disconnected records the end of a connection.
func (l *Lease) Disconnected(id ConnectionID, now time.Duration, end End) {
	c := l.connections[id]
	if c == nil {
		return
	}
	p := c.process
	delete(p.connections, id)
	delete(l.connections, id)
	l.recordClose(c, now, end)
	if p = c.process; slices.Contains(l.processes, p) && l.disposable(p) {
		l.remove(p)
	}
}

// DialFailed records a failed connection attempt; refused says whether the core's host refused it.
func (l *Lease) DialFailed(now time.Duration, refused bool) {
	switch {
	case !refused || len(l.connections) > 0: // a core may refuse further connections while some are open
		l.refusedSince = 0
	case l.refusedSince == 0:
		l.refusedSince = max(1, now)
	}
}

// CallAnswered records that a call of the given width, in circuits, was answered on a connection, and ends its set-up.
// The connection may have ended while the answer was in transit.
func (l *Lease) CallAnswered(id string, width float64, connectionID ConnectionID, now time.Duration) {
	p := l.answeringProcess(id, connectionID)
	if p == nil {
		p = newProcess(now)
		l.processes = append(l.processes, p)
	}
	delete(l.pending, id)
	p.calls[id] = call{connectionID: connectionID, width: max(1, width), answeredAt: now}
}

// answeringProcess returns the process that answered a call on a connection, or nil if no process is known.
func (l *Lease) answeringProcess(id string, connectionID ConnectionID) *process {
	if c := l.connections[connectionID]; c != nil {
		return c.process
	}
	if s := l.pending[id]; s.process != nil && s.connectionID == connectionID {
		return s.process
	}
	if len(l.processes) == 0 {
		return nil
	}
	return l.newest()
}

// CallEnded records the end of a call.
func (l *Lease) CallEnded(id string) {
	for _, p := range l.processes {
		delete(p.calls, id)
	}
}

// SuccessorCalls returns the calls and pending set-ups of a process that has, or may have, taken the core's address after
// another one had ended, or may have. If that is not known, it has to have an open connection and a sign of life so recent that
// no check was due. The end of the core that was at the address before does not end them; their lease does. It may have taken the address if it was reached after all
// connections had ended, or those of an earlier process, and has not been shown to be that one.
func (l *Lease) SuccessorCalls(now time.Duration) (keys []string) {
	mayFollow := false
	for _, p := range l.processes {
		successor := p.successor || p.reopened || mayFollow
		mayFollow = mayFollow || len(p.connections) == 0
		if !successor || !p.successor && !p.responding(now) {
			continue
		}
		for key := range p.calls {
			keys = append(keys, key)
		}
		for key, s := range l.pending {
			if p.connections[s.connectionID] != nil {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// TakeMerges returns the merges of processes with calls since it was last called.
func (l *Lease) TakeMerges() []Merge {
	merges := l.merges
	l.merges = nil
	return merges
}

// Processes returns the number of processes at the core's address that are not known to be one.
func (l *Lease) Processes() int { return len(l.processes) }

// Calls returns the number of standing calls.
func (l *Lease) Calls() int {
	n := 0
	for _, p := range l.processes {
		n += len(p.calls)
	}
	return n
}

// Tick returns the decisions that are due. It has to be called at least every 100 ms, whether or not events arrive.
func (l *Lease) Tick(now time.Duration) Decision {
	var d Decision
	if l.Calls() == 0 {
		return d
	}
	l.recordProvenEnds(now)
	// Only tryMerge changes the list here: it removes processes that follow p, whose calls then belong to p.
	for i := 0; i < len(l.processes); i++ {
		p := l.processes[i]
		l.confirmClose(p, now)
		if len(p.calls) == 0 {
			continue
		}
		l.verifyStates(p, now)
		l.tryMerge(p, now)
		if reason := l.expiryReason(p, now); reason != "" {
			d.Expired = append(d.Expired, p.expire(reason, now))
			if reason == ReasonReplaced || reason == ReasonUndecided {
				l.markSuccessors(p)
			}
			continue
		}
		l.requestCheck(p, now, &d)
	}
	for _, p := range slices.Clone(l.processes) {
		if l.disposable(p) {
			l.remove(p)
		}
	}
	return d
}

// expiryReason returns why the calls of a process have to be abandoned, or "" if they stand.
func (l *Lease) expiryReason(p *process, now time.Duration) Reason {
	switch {
	case p.ended:
		return ReasonRefused
	case l.lacksCalls(p, now):
		return ReasonReplaced
	case now-p.lastAliveAt < LeaseDuration:
		return ""
	case slices.ContainsFunc(l.laterProcesses(p), p.mayBe):
		return ReasonUndecided
	}
	return ReasonExpired
}
