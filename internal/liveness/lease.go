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
	// FirstMessageTimeout is how long a new connection may stay without a message before another one is opened.
	FirstMessageTimeout = 2 * time.Second
	// maxReadDelay is how much later than a message on another connection a message may be read that arrived before it.
	maxReadDelay = 500 * time.Millisecond
	// RetireDelay is how long the last connection to a process has to stay open after the first message on another one. Its
	// end then shows that both lead to the same process.
	RetireDelay = maxReadDelay + 100*time.Millisecond
	// releaseLag is how long after the release of a call the group's state may still count it.
	releaseLag = 250 * time.Millisecond
	// settleTime is how long a call has to stand before the group's state is certain to count it.
	settleTime = time.Second
	// minRefusedTime is how long dials have to be refused before a process that closed its connections in order counts
	// as dead.
	minRefusedTime = time.Second
	// maxMissingShare is the share of a process's circuits in calls that may be missing from its group states.
	maxMissingShare = 0.25
	// distrustAfter is how long the group states may contradict the calls of a live process before they are no longer
	// used as evidence.
	distrustAfter = 2 * time.Second
)

// ConnectionID identifies a connection to the core. Values increase in the order of opening and are never reused.
type ConnectionID uint64

// Reason is why the calls of a process are abandoned.
type Reason string

// Reasons for abandoning calls.
const (
	ReasonExpired  Reason = "silent"   // the lease has expired
	ReasonRefused  Reason = "refused"  // nothing listens at the address
	ReasonReplaced Reason = "replaced" // the process at the address does not have the calls
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
	MergeOverlap       MergeReason = "overlap"        // the earlier one was alive after the later one was reached
	MergeCallNamed     MergeReason = "call named"     // the later one named a call of the earlier one
	MergeCircuits      MergeReason = "circuits"       // the circuits in use include those of the calls
	MergeNothingStands MergeReason = "nothing stands" // no call or set-up depends on which is which
	MergeNoStates      MergeReason = "no states"      // the core's states can't tell processes apart
)

// isEvidence reports whether the reason shows that the processes are the same.
func (r MergeReason) isEvidence() bool { return r != MergeNothingStands && r != MergeNoStates }

// Merge records that a process with standing calls was taken for a later one.
type Merge struct {
	Reason MergeReason
	Calls  int     // of the earlier process
	InUse  float64 // circuits in use in the later process's last group state
}

// Decision is the set of actions that Tick requires of the caller.
type Decision struct {
	Expired []Expiry
	// Check requests a new connection. It may replace one of Idle, which carry no calls, or with ReplaceCarrying one of
	// Carrying, which carry calls of the unresponsive process: if the core closes its side too, it is the process that
	// has them.
	Check           bool
	ReplaceCarrying bool
	Idle            []ConnectionID // oldest first
	Carrying        []ConnectionID
}

// Lease tracks the processes, connections and standing calls of one core. The zero value is not usable; use New. A
// Lease is not safe for concurrent use. All times are on one clock of the caller.
type Lease struct {
	processes        []*process // ordered by first connection; the last one is at the address now
	connections      map[ConnectionID]*connection
	pending          map[string]pendingSetUp // by call key
	ended            []endedCircuits         // of calls and set-ups that ended just now
	endedLimit       int                     // length of ended at which old entries are removed
	stateOnConnect   bool                    // the core begins new connections with its group state
	statesSeen       bool                    // the core has sent a group state with its circuits
	statesVerified   bool                    // the group states have been observed to count the standing calls
	statesDistrusted bool                    // the group states have been observed not to count them
	lastCheckAt      time.Duration
	refusedSince     time.Duration // since when all dials are refused, 0 if they are not
	merges           []Merge       // since the last TakeMerges
}

// New returns a Lease for a core without connections or calls.
func New() *Lease {
	return &Lease{connections: map[ConnectionID]*connection{}, pending: map[string]pendingSetUp{}}
}

// Connected records a new connection. While calls stand or set-ups are pending, the connection gets a process of its own until evidence shows
// which process it leads to. If the core is not known to begin connections with its group state, the connection itself
// counts as a sign of life.
func (l *Lease) Connected(id ConnectionID, now time.Duration) {
	l.recordProvenEnds(now)
	p := &process{connections: map[ConnectionID]*connection{}, calls: map[string]call{}, lastAliveAt: now}
	if len(l.processes) > 0 {
		p.successor = l.newest().successor || l.newest().ended
		p.reopened = len(l.connections) == 0
	}
	if l.Calls() == 0 && len(l.pending) == 0 && len(l.processes) > 0 {
		l.newest().successor, l.newest().ended = p.successor, false
		l.newest().reopened = l.newest().reopened || p.reopened
		if p.reopened {
			l.newest().others = otherCircuits{} // another process may have other calls
		}
		p = l.newest() // without calls and set-ups there is nothing to attribute
		p.lastAliveAt = now
	} else {
		l.processes = append(l.processes, p)
	}
	l.refusedSince = 0
	c := &connection{process: p, openedAt: now}
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
	c.received = true
	l.stateOnConnect = l.stateOnConnect || first && m.GroupState
	reportsCircuits := m.GroupState && m.Size >= 0
	if reportsCircuits {
		l.statesSeen = true
		c.process.recordState(m.Size-m.Free, m.Free < 1, now)
	}
	l.renew(c, now)
	if m.Call != "" {
		l.evaluateCall(c.process, m.Call)
	}
	if reportsCircuits {
		l.evaluateState(c.process, now)
	}
}

// SetUpSent records that a set-up of the given width, in circuits, was sent on a connection. From then on it may take
// circuits of the process there.
func (l *Lease) SetUpSent(id string, width float64, connectionID ConnectionID) {
	s := pendingSetUp{connectionID: connectionID, width: max(1, width)}
	if c := l.connections[connectionID]; c != nil {
		s.process = c.process
	}
	l.pending[id] = s
}

// SetUpEnded records that a set-up is no longer pending.
func (l *Lease) SetUpEnded(id string, now time.Duration) { l.endSetUp(id, now, releaseLag) }

// SetUpLost records that a set-up was lost with its connection. It may go on at the core until that reads its release.
func (l *Lease) SetUpLost(id string, now time.Duration) { l.endSetUp(id, now, settleTime) }

// endSetUp ends a pending set-up, whose circuits may be counted for the given time.
func (l *Lease) endSetUp(id string, now, lag time.Duration) {
	if s, pending := l.pending[id]; pending {
		delete(l.pending, id)
		l.addEnded(s.width, now, lag)
	}
}

// Retired records that another connection replaces a connection. This side closes it as soon as MayHalfClose permits it,
// and the core has to close it too.
func (l *Lease) Retired(id ConnectionID) {
	if c := l.connections[id]; c != nil {
		c.retired = true
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

// MayHalfClose reports whether this side may close its half of a connection that another one replaces. One that holds
// evidence has to stay open until the process at the address has been seen alive for a while: its end then shows that both
// are the same process. One that comes up in between may lead to another process.
func (l *Lease) MayHalfClose(id ConnectionID, now time.Duration) bool {
	if !l.HoldsEvidence(id) {
		return true
	}
	newest := l.newest()
	return newest != l.connections[id].process && newest.seenAlive && now-newest.firstAliveAt >= RetireDelay
}

// Disconnected records the end of a connection.
func (l *Lease) Disconnected(id ConnectionID, now time.Duration, end End) {
	c := l.connections[id]
	if c == nil {
		return
	}
	switch {
	case end == EndClosed && c.retired:
		l.renew(c, now) // the core's response to the close of this side, like a message
	case end == EndClosed:
		c.markAlive(now) // the process may have closed it while it ended
	}
	p := c.process
	p.closedInOrder = end == EndClosed
	if end != EndLocal && !c.retired {
		l.endSeries(p)
	}
	delete(p.connections, id)
	delete(l.connections, id)
	if l.disposable(p) {
		l.remove(p)
	}
}

// DialFailed records a failed connection attempt; refused says whether the core's host refused it.
func (l *Lease) DialFailed(now time.Duration, refused bool) {
	for _, p := range l.processes {
		p.dialFailed = true
		p.checkFailed = p.checkFailed || now-p.lastAliveAt >= CheckAfter
	}
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
		p = &process{connections: map[ConnectionID]*connection{}, calls: map[string]call{}, lastAliveAt: now}
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
func (l *Lease) CallEnded(id string, now time.Duration) {
	for _, p := range l.processes {
		if k, stands := p.calls[id]; stands {
			delete(p.calls, id)
			p.stateOutdated = true
			l.addEnded(k.width, now, releaseLag)
		}
	}
}

// SuccessorCalls returns the calls and pending set-ups of a process that has, or may have, taken the core's address after
// another one had ended, if it has an open connection and gave a sign of life so recently that no check was due. The end
// of the core that was at the address before does not end them. It may have taken the address if it was reached after all
// connections had ended, or those of an earlier process, and has not been shown to be that one.
func (l *Lease) SuccessorCalls(now time.Duration) (keys []string) {
	mayFollow := false
	for _, p := range l.processes {
		successor := p.successor || p.reopened || mayFollow
		mayFollow = mayFollow || len(p.connections) == 0
		if !successor || !p.responding(now) {
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
	// Only tryMerge changes the list here. It removes processes that follow p, whose calls then belong to p.
	for i := 0; i < len(l.processes); i++ {
		p := l.processes[i]
		l.observeOthers(p, now)
		if len(p.calls) == 0 {
			continue
		}
		l.verifyStates(p, now)
		reason := l.expiryReason(p, now)
		if reason == ReasonExpired && l.mergeBeforeExpiry(p) {
			reason = ""
		}
		if reason != "" {
			d.Expired = append(d.Expired, p.expire(reason, now))
			if reason == ReasonReplaced {
				l.markSuccessors(p)
			}
			continue
		}
		l.tryMerge(p, now)
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
	case p.lacksCalls(now):
		return ReasonReplaced
	case now-p.lastAliveAt >= LeaseDuration:
		return ReasonExpired
	}
	return ""
}
