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
	width        float64
}

// connection is the state of an open connection.
type connection struct {
	process   *process
	openedAt  time.Duration
	seenAlive bool // evidence that its process is alive arrived on it
	received  bool // at least one message was received
	retired   bool // closed by this side; the core has to close it too
}

// process is the known state of one process at the core's address. Two records are merged when evidence shows that they
// are the same process.
type process struct {
	lastAliveAt       time.Duration // last sign of life
	firstAliveAt      time.Duration // valid with seenAlive
	seenAlive         bool
	connections       map[ConnectionID]*connection
	calls             map[string]call
	successor         bool // another process that was at the address before is known to have ended
	reopened          bool // it was reached after all connections to the core had ended
	ended             bool // refused dials have shown that it has ended
	checkFailed       bool // a check has failed since the last sign of life
	dialFailed        bool // a dial has failed since the last sign of life
	closedInOrder     bool // the last connection to end was closed in order by the core
	used              float64
	usedKnown         bool
	full              bool          // the last state has no free circuit
	usedSince         time.Duration // since when the states report this number
	stateAt           time.Duration // when the last state was received
	stateOutdated     bool          // a call has ended since then
	contradiction     *stateContradiction
	series            map[*process]*stateSeries // by later process
	others            otherCircuits
	contradictedSince time.Duration // since when its own group states contradict its calls, 0 if they agree
}

// stateContradiction is a group state of a later process with too few circuits in use to include the calls of an
// earlier one.
type stateContradiction struct {
	at     time.Duration
	used   float64
	sender *process
}

// unattributed returns the circuits in use that the later process's own calls do not account for. Its calls that have
// ended since may have ended before the state: their releases may be read after it.
func (c *stateContradiction) unattributed() float64 { return c.used - c.sender.width(c.at-settleTime) }

// recordState records the circuits in use that a group state reports, and whether all are.
func (p *process) recordState(used float64, full bool, now time.Duration) {
	if !p.usedKnown || p.used != used {
		p.usedSince = now
	}
	p.full = full
	p.used, p.usedKnown, p.stateAt, p.stateOutdated = used, true, now, false
}

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

// lacksCalls reports whether a later process has shown that it does not have the calls of this one, and has had time to
// release those that have ended.
func (p *process) lacksCalls(now time.Duration) bool {
	return p.contradiction != nil && now-p.contradiction.at >= ReleaseGrace &&
		minInUse(p.width(p.contradiction.at-settleTime)) > p.contradiction.unattributed()
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

// hasPending reports whether a set-up that was sent to a process is pending.
func (l *Lease) hasPending(p *process) bool {
	for _, s := range l.pending {
		if s.process == p {
			return true
		}
	}
	return false
}

// disposable reports whether nothing is left of a process: no connection, no call, no set-up whose answer may still be
// in transit. The newest process stays on the list.
func (l *Lease) disposable(p *process) bool {
	return p != l.newest() && len(p.connections) == 0 && len(p.calls) == 0 && !l.hasPending(p)
}

// remove takes a process off the list.
func (l *Lease) remove(p *process) {
	l.processes = slices.DeleteFunc(l.processes, func(q *process) bool { return q == p })
	for _, q := range l.processes {
		delete(q.series, p)
	}
}

// merge combines two processes that are the same into one, with those that were reached between them: the address was
// theirs all the time. Without evidence that they are the same, those between stay.
func (l *Lease) merge(into, from *process, why MergeReason) {
	if why.isEvidence() {
		between := l.laterProcesses(into)
		for _, p := range between[:slices.Index(between, from)] {
			l.mergeOne(into, p, why)
		}
	}
	l.mergeOne(into, from, why)
}

// mergeOne combines two processes into one.
func (l *Lease) mergeOne(into, from *process, why MergeReason) {
	if len(into.calls) > 0 {
		l.merges = append(l.merges, Merge{Reason: why, Calls: len(into.calls), InUse: from.used})
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
	if !into.seenAlive || why == MergeNothingStands { // they need not be one process
		into.firstAliveAt = from.firstAliveAt
	}
	if why == MergeNothingStands {
		into.others = from.others
	}
	into.lastAliveAt = max(into.lastAliveAt, from.lastAliveAt)
	into.seenAlive = into.seenAlive || from.seenAlive
	into.ended, into.checkFailed, into.dialFailed, into.contradiction, into.series = false, false, false, nil, nil
	if from.usedKnown {
		into.used, into.usedKnown, into.usedSince = from.used, true, from.usedSince
		into.full = from.full
		into.stateAt, into.stateOutdated = from.stateAt, from.stateOutdated
	}
	l.mergeSeries(into, from, why)
	for _, p := range l.processes {
		if p.contradiction != nil && p.contradiction.sender == from {
			p.contradiction.sender = into
		}
	}
	l.remove(from)
}

// markSuccessors records that p has ended and the processes after it are others.
func (l *Lease) markSuccessors(p *process) {
	for _, later := range l.laterProcesses(p) {
		later.successor = true
	}
}
