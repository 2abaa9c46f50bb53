package liveness

import (
	"slices"
	"time"
)

// call is an answered call that has not ended.
type call struct {
	connectionID ConnectionID // connection of its set-up, on which a core sends the messages of the call
	width        float64
	answeredAt   time.Duration
}

// pendingSetUp is a set-up without a final answer.
type pendingSetUp struct {
	connectionID ConnectionID
	process      *process // to which it was sent, nil if the connection was not known
}

// connection is the state of an open connection.
type connection struct {
	process      *process
	openedAt     time.Duration
	heardAt      time.Duration // when the last message was received, or it was opened
	seenAlive    bool          // evidence that its process is alive arrived on it
	received     bool          // at least one message was received
	retired      bool          // to be closed by this side; the core has to close it too
	retiredAt    time.Duration
	replaced     bool // another connection was opened in its place
	halfClosed   bool // this side has closed its half
	halfClosedAt time.Duration
	endedBefore  bool // the core had closed its half before that
}

// process is the known state of one process at the core's address. Two records are merged when evidence shows that they
// are the same process.
type process struct {
	lastAliveAt       time.Duration // last sign of life
	lastProvenAt      time.Duration // last sign of life that no process gives as it ends
	firstAliveAt      time.Duration // valid with seenAlive
	seenAlive         bool
	connections       map[ConnectionID]*connection
	calls             map[string]call
	successor         bool          // another process that was at the address before has ended, or may have
	reopened          bool          // it was reached after all connections to the core had ended
	ended             bool          // refused dials have shown that it has ended
	closedInOrder     bool          // the last connection to end was closed in order by the core
	lostAt            time.Duration // when the core last ended a connection that this side had not closed
	closeAnsweredAt   time.Duration // when it answered a close of this side that is not confirmed yet, 0 if none
	closeAskedAt      time.Duration // when this side closed that connection
	answersUntil      time.Duration // the last close of this side that it is known to have answered, 0 if none
	used              float64
	usedKnown         bool
	stateAt           time.Duration // when the last state was received
	contradiction     *stateContradiction
	contradictedSince time.Duration // since when its own group states contradict its calls, 0 if they agree
}

// newProcess returns a process that was reached at a time.
func newProcess(now time.Duration) *process {
	return &process{connections: map[ConnectionID]*connection{}, calls: map[string]call{}, lastAliveAt: now}
}

// recordState records the circuits in use that a group state reports.
func (p *process) recordState(used float64, now time.Duration) {
	p.used, p.usedKnown, p.stateAt = used, true, now
}

// responding reports whether the process has an open connection on which a message was received, and gave a sign of life so
// recently that no check was due.
func (p *process) responding(now time.Duration) bool {
	for _, c := range p.connections {
		if c.received {
			return now-p.lastAliveAt < CheckAfter+CheckInterval
		}
	}
	return false
}

// expire removes the calls of a process and returns them as an Expiry.
func (p *process) expire(reason Reason, now time.Duration) Expiry {
	e := Expiry{Reason: reason, UnresponsiveFor: now - p.lastAliveAt}
	for id := range p.calls {
		e.Calls = append(e.Calls, id)
	}
	slices.Sort(e.Calls)
	clear(p.calls)
	p.contradiction = nil
	return e
}

// newest returns the process that is at the core's address now.
func (l *Lease) newest() *process { return l.processes[len(l.processes)-1] }

// laterProcesses returns the processes that follow p, which has to be listed, in order.
func (l *Lease) laterProcesses(p *process) []*process {
	index := slices.Index(l.processes, p)
	return slices.Clone(l.processes[index+1:])
}

// carriesNothing reports whether no call of a process stands and no set-up that was sent to it is pending.
func (l *Lease) carriesNothing(p *process) bool {
	if len(p.calls) > 0 {
		return false
	}
	for _, s := range l.pending {
		if s.process == p {
			return false
		}
	}
	return true
}

// disposable reports whether nothing is left of a process: no connection, no call, no set-up whose answer may still be
// in transit. The newest process stays on the list.
func (l *Lease) disposable(p *process) bool {
	return p != l.newest() && len(p.connections) == 0 && l.carriesNothing(p)
}

// remove takes a process off the list.
func (l *Lease) remove(p *process) {
	l.processes = slices.DeleteFunc(l.processes, func(q *process) bool { return q == p })
}

// merge combines two processes that are the same into one, with those that were reached between them: the address was
// theirs all the time.
func (l *Lease) merge(into, from *process, why MergeReason) {
	between := l.laterProcesses(into)
	for _, p := range between[:slices.Index(between, from)] {
		l.mergeOne(into, p, why)
	}
	l.mergeOne(into, from, why)
}

// mergeOne combines two processes into one.
func (l *Lease) mergeOne(into, from *process, why MergeReason) {
	if len(into.calls) > 0 {
		l.merges = append(l.merges, Merge{Reason: why, Calls: len(into.calls), Later: len(from.calls), InUse: from.used})
	}
	for id, c := range from.connections {
		c.process = into
		into.connections[id] = c
	}
	for id, k := range from.calls {
		into.calls[id] = k
	}
	for id, s := range l.pending {
		if s.process == from {
			s.process = into
			l.pending[id] = s
		}
	}
	if !into.seenAlive {
		into.firstAliveAt = from.firstAliveAt
	}
	into.lastAliveAt = max(into.lastAliveAt, from.lastAliveAt)
	into.lastProvenAt = max(into.lastProvenAt, from.lastProvenAt)
	into.closeAnsweredAt = max(into.closeAnsweredAt, from.closeAnsweredAt)
	into.closeAskedAt = max(into.closeAskedAt, from.closeAskedAt)
	into.answersUntil = max(into.answersUntil, from.answersUntil)
	into.lostAt = max(into.lostAt, from.lostAt)
	into.seenAlive = into.seenAlive || from.seenAlive
	into.ended, into.contradiction = false, nil
	if from.usedKnown {
		into.used, into.usedKnown, into.stateAt = from.used, true, from.stateAt
	}
	l.remove(from)
}

// markSuccessors records that p has ended, or may have, and the processes after it are others then.
func (l *Lease) markSuccessors(p *process) {
	for _, later := range l.laterProcesses(p) {
		later.successor = true
	}
}
