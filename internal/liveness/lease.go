// Package liveness decides whether the process that holds the calls standing on a core is still alive. It does no I/O,
// starts no goroutine and reads no clock: its owner reports what the core's connections bring and calls Tick often.
//
// Calls that stand hold a lease on the process that answered them. The lease is renewed by word of that process, and
// by nothing else. A process that is silent is checked on a new connection; the core's address alone proves nothing,
// as another process may listen there by now. A lease that is not renewed expires, whether or not anything is ever
// sent to the core, and the calls are over.
package liveness

import (
	"math"
	"slices"
	"time"
)

// The times of a lease. A call has to be released within 8 s of its end (protocol page, "The rules on sockets").
const (
	// Length is how long after the last word of a process its calls are given up. It leaves 0.6 s for the release.
	Length = 7400 * time.Millisecond
	// CheckAfter is how long a process with calls may be silent before it is checked. The shorter, the longer a core
	// that comes back is waited for: Length less CheckAfter at least.
	CheckAfter = time.Second
	// CheckEvery is the time between two checks while no word comes.
	CheckEvery = 500 * time.Millisecond
	// ProofWithin is how long a process may take to release the calls that have ended while it could not be reached.
	ProofWithin = time.Second
	// GreetWithin is how long a new connection may bring nothing before another is opened.
	GreetWithin = 2 * time.Second
	// settled is how long a call has to stand before the group's state is sure to count it.
	settled = time.Second
	// refusedFor is how long dials have to be refused until a process that closed its connections is taken for dead.
	refusedFor = time.Second
	// lostShare is the share of a process's calls that may be missing from its states.
	lostShare = 0.25
	// distrustAfter is how long a state may contradict the calls of a process that is alive before states count no
	// more.
	distrustAfter = 2 * time.Second
)

// ConnectionID names a connection to the core. It is never used twice.
type ConnectionID uint64

// Reason says why calls are given up.
type Reason string

// The reasons.
const (
	ReasonSilent   Reason = "silent"   // the lease has expired
	ReasonRefused  Reason = "refused"  // nothing listens at the address any more
	ReasonReplaced Reason = "replaced" // the address leads to a process that does not have the calls
)

// End is how a connection ended.
type End int

// The ends of a connection.
const (
	EndLocal  End = iota // closed by this side, or lost without a sign
	EndClosed            // closed by the core in order: its process was alive
	EndReset             // reset: its process may have died
)

// Message is what counts of a message from the core.
type Message struct {
	GroupState bool
	Free, Size float64 // circuits, with GroupState; Size is negative where it was not told
	Call       string  // that it names, if any
}

// Expiry lists calls that are over.
type Expiry struct {
	Calls  []string
	Reason Reason
	Silent time.Duration // since the last word of their process
}

// Decision is what Tick asks for.
type Decision struct {
	Expired []Expiry
	// Check asks for a new connection. It may take the place of one of Idle, which carry no calls; with Prove, of one of
	// Silent, which do: whether the core closes it as well tells whether it is the process that has the calls.
	Check  bool
	Prove  bool
	Idle   []ConnectionID // the longest open first
	Silent []ConnectionID
}

// call is a call that stands.
type call struct {
	on    ConnectionID // of its set-up: a core sends there what concerns it
	width float64
	since time.Duration
}

// setUp is a set-up that is open.
type setUp struct {
	on    ConnectionID
	width float64
}

// connection is an open connection.
type connection struct {
	process *process
	opened  time.Duration
	heard   bool // its process has shown itself on it
	spoke   bool // a message has come
	retired bool // closed to the core
}

// process is what is known of one process at the core's address.
type process struct {
	aliveAt     time.Duration // of the last word
	heard       bool
	connections map[ConnectionID]*connection
	calls       map[string]call
	outage      bool // since the last word, a check has failed
	closed      bool // the last connection was closed in order
	used        float64
	usedKnown   bool
	denied      *denial
	doubtSince  time.Duration // of its own states, 0 for none
}

// denial is a state of a later process in which circuits were free that an earlier one's calls would take.
type denial struct {
	at   time.Duration
	room float64 // circuits in use beside those of the later one's own calls
}

// Lease is the state of one core. The zero value is not usable; use New.
type Lease struct {
	processes    []*process // by the time of their first connection; the last is at the address now
	connections  map[ConnectionID]*connection
	pending      map[string]setUp // by call
	greets       bool             // new connections begin with the group's state
	truthful     bool             // states were seen to count the calls that stand
	distrusted   bool             // states were seen not to
	checkedAt    time.Duration
	refusedSince time.Duration // 0 while dials are not refused
}

// New returns a Lease of a core without connections or calls.
func New() *Lease {
	return &Lease{connections: map[ConnectionID]*connection{}, pending: map[string]setUp{}}
}

// Connected reports a new connection.
func (l *Lease) Connected(id ConnectionID, now time.Duration) {
	l.refusedSince = 0
	p := &process{connections: map[ConnectionID]*connection{}, calls: map[string]call{}, aliveAt: now}
	if l.Calls() == 0 && len(l.processes) > 0 {
		p = l.processes[len(l.processes)-1] // nothing can be confused
		p.aliveAt = now
	} else {
		l.processes = append(l.processes, p)
	}
	c := &connection{process: p, opened: now}
	p.connections[id], l.connections[id] = c, c
	if !l.greets {
		l.word(c, now)
	}
}

// Heard reports a whole message from the core.
func (l *Lease) Heard(id ConnectionID, now time.Duration, m Message) {
	c := l.connections[id]
	if c == nil {
		return
	}
	first := !c.spoke
	c.spoke = true
	l.greets = l.greets || first && m.GroupState
	told := m.GroupState && m.Size >= 0
	if told {
		c.process.used, c.process.usedKnown = m.Size-m.Free, true
	}
	l.word(c, now)
	if m.Call != "" {
		l.named(c.process, m.Call)
	}
	if told {
		l.audit(c.process, now)
	}
}

// word renews the lease of a connection's process. Later processes that were heard are the same one: it is alive after
// they were reached at its address.
func (l *Lease) word(c *connection, now time.Duration) {
	c.heard = true
	p := c.process
	p.heard, p.aliveAt, p.outage = true, now, false
	for _, later := range l.after(p) {
		if later.heard {
			l.merge(p, later)
		}
	}
	for _, earlier := range slices.Clone(l.processes) {
		if earlier == p {
			return
		}
		l.prove(earlier, now)
	}
}

// after lists the processes later than one.
func (l *Lease) after(p *process) []*process {
	at := slices.Index(l.processes, p)
	return slices.Clone(l.processes[at+1:])
}

// merge takes two processes for one.
func (l *Lease) merge(into, from *process) {
	for id, c := range from.connections {
		c.process = into
		into.connections[id] = c
	}
	for id, k := range from.calls {
		into.calls[id] = k
	}
	into.aliveAt = max(into.aliveAt, from.aliveAt)
	into.heard = into.heard || from.heard
	into.outage, into.denied = false, nil
	if from.usedKnown {
		into.used, into.usedKnown = from.used, true
	}
	l.processes = slices.DeleteFunc(l.processes, func(p *process) bool { return p == from })
}

// named takes a core's word on a call: whoever knows it is the process that answered it.
func (l *Lease) named(by *process, id string) {
	for _, p := range slices.Clone(l.processes) {
		if _, ok := p.calls[id]; ok && p != by {
			l.merge(p, by)
			return
		}
	}
}

// audit compares a group's state with the calls that stood on earlier processes. A process that counts them has them;
// one with fewer circuits in use than they take has not, unless their releases are still to come.
func (l *Lease) audit(by *process, now time.Duration) {
	if !l.counts() {
		return
	}
	for _, p := range slices.Backward(slices.Clone(l.processes[:slices.Index(l.processes, by)])) {
		width := p.width(now - settled)
		switch {
		case width == 0:
		case by.used-by.width(now-settled) < required(width):
			if p.denied == nil {
				p.denied = &denial{at: now, room: by.used - by.width(now-settled)}
			}
		case by.used >= required(width)+l.widthAfter(p, now):
			l.merge(p, by)
			by = p // has the states and the calls of both
		}
	}
}

// required is how many circuits have to be in use for calls of a width to stand. Of many calls a few may have ended and
// their releases been lost: that is no sign of another process.
func required(width float64) float64 { return width - math.Floor(width*lostShare) }

// SetUpSent reports that a set-up is open on a connection; it takes circuits of the process there from then on.
func (l *Lease) SetUpSent(id string, width float64, on ConnectionID) {
	l.pending[id] = setUp{on: on, width: max(1, width)}
}

// SetUpOver reports that a set-up is open no more.
func (l *Lease) SetUpOver(id string) { delete(l.pending, id) }

// widthAfter is how many circuits may be taken by what was set up on later processes than one. What is open on its own
// connections, or on those of earlier ones, reached none of them.
func (l *Lease) widthAfter(p *process, now time.Duration) float64 {
	sum := l.pendingAfter(p)
	for _, later := range l.after(p) {
		sum += later.width(now)
	}
	return sum
}

// pendingAfter is how many circuits the set-ups may take that are open on later processes than one.
func (l *Lease) pendingAfter(p *process) float64 {
	later := l.after(p)
	sum := 0.0
	for _, s := range l.pending {
		if c := l.connections[s.on]; c == nil || slices.Contains(later, c.process) {
			sum += s.width
		}
	}
	return sum
}

// width is how many circuits the calls take that stood before a time.
func (p *process) width(before time.Duration) float64 {
	sum := 0.0
	for _, k := range p.calls {
		if k.since <= before {
			sum += k.width
		}
	}
	return sum
}

// Retired reports that a connection was closed to the core, which has to close it as well.
func (l *Lease) Retired(id ConnectionID) {
	if c := l.connections[id]; c != nil {
		c.retired = true
	}
}

// Disconnected reports the end of a connection.
func (l *Lease) Disconnected(id ConnectionID, now time.Duration, how End) {
	c := l.connections[id]
	if c == nil {
		return
	}
	if how == EndClosed {
		l.word(c, now)
	}
	p := c.process
	p.closed = how == EndClosed
	delete(p.connections, id)
	delete(l.connections, id)
	if len(p.connections) == 0 && len(p.calls) == 0 && p != l.newest() {
		l.drop(p)
	}
}

func (l *Lease) newest() *process { return l.processes[len(l.processes)-1] }

func (l *Lease) drop(p *process) {
	l.processes = slices.DeleteFunc(l.processes, func(q *process) bool { return q == p })
}

// DialFailed reports that a connection did not come up.
func (l *Lease) DialFailed(now time.Duration, refused bool) {
	for _, p := range l.processes {
		p.outage = p.outage || now-p.aliveAt >= CheckAfter
	}
	switch {
	case !refused || len(l.connections) > 0: // where connections are up, a core may refuse further ones
		l.refusedSince = 0
	case l.refusedSince == 0:
		l.refusedSince = max(1, now)
	}
}

// Stands reports that a call stands, answered on a connection.
func (l *Lease) Stands(id string, width float64, on ConnectionID, now time.Duration) {
	var p *process
	switch c := l.connections[on]; {
	case c != nil:
		p = c.process
	case len(l.processes) > 0: // it ended while the answer was on its way
		p = l.newest()
	default:
		p = &process{connections: map[ConnectionID]*connection{}, calls: map[string]call{}, aliveAt: now}
		l.processes = append(l.processes, p)
	}
	p.calls[id] = call{on: on, width: max(1, width), since: now}
}

// Over reports that a call is over.
func (l *Lease) Over(id string) {
	for _, p := range l.processes {
		delete(p.calls, id)
	}
}

// OverBefore forgets the calls that stood before a time, as their process was started anew since.
func (l *Lease) OverBefore(at time.Duration) {
	for _, p := range l.processes {
		for id, k := range p.calls {
			if k.since < at {
				delete(p.calls, id)
			}
		}
	}
}

// Calls is how many calls stand.
func (l *Lease) Calls() int {
	n := 0
	for _, p := range l.processes {
		n += len(p.calls)
	}
	return n
}

// Tick makes the decisions that are due. It has to be called at least every 100 ms, whatever happens.
func (l *Lease) Tick(now time.Duration) Decision {
	var d Decision
	if l.Calls() == 0 {
		return d
	}
	for _, p := range slices.Clone(l.processes) {
		if len(p.calls) == 0 {
			continue
		}
		l.examine(p, now)
		if reason := l.over(p, now); reason != "" {
			d.Expired = append(d.Expired, p.expire(reason, now))
			continue
		}
		l.prove(p, now)
		l.check(p, now, &d)
	}
	for _, p := range slices.Clone(l.processes) {
		if len(p.calls) == 0 && len(p.connections) == 0 && p != l.newest() {
			l.drop(p)
		}
	}
	return d
}

// examine learns whether the core's states count its calls, while there is no doubt about who sends them.
func (l *Lease) examine(p *process, now time.Duration) {
	width := p.width(now - settled)
	if p != l.newest() || len(l.processes) > 1 || !p.usedKnown || width == 0 || now-p.aliveAt > CheckAfter+CheckEvery {
		return
	}
	if p.used >= width {
		p.doubtSince, l.truthful = 0, true
		return
	}
	if p.doubtSince == 0 {
		p.doubtSince = now
	}
	l.distrusted = l.distrusted || now-p.doubtSince >= distrustAfter
}

// over tells why the calls of a process are over, or returns "".
func (l *Lease) over(p *process, now time.Duration) Reason {
	refused := l.refusedSince > 0 && len(l.connections) == 0
	switch {
	case refused && (!p.closed || now-l.refusedSince >= refusedFor):
		return ReasonRefused
	case p.lacksCalls(now):
		return ReasonReplaced
	case now-p.aliveAt >= Length:
		return ReasonSilent
	}
	return ""
}

// lacksCalls tells whether a later process was seen not to have the calls of this one, and has had time to release those
// that have ended.
func (p *process) lacksCalls(now time.Duration) bool {
	return p.denied != nil && now-p.denied.at >= ProofWithin && required(p.width(p.denied.at-settled)) > p.denied.room
}

// expire takes the calls off a process.
func (p *process) expire(reason Reason, now time.Duration) Expiry {
	e := Expiry{Reason: reason, Silent: now - p.aliveAt}
	for id := range p.calls {
		e.Calls = append(e.Calls, id)
	}
	slices.Sort(e.Calls)
	clear(p.calls)
	p.denied = nil
	return e
}

// prove takes a later process for the same one where nothing speaks against it: no check has failed, and states don't
// tell. That its connections are silent is no sign: a core with nothing to say says nothing.
func (l *Lease) prove(p *process, now time.Duration) {
	if p.lacksCalls(now) {
		return // its calls are over with the next Tick
	}
	released := p.denied != nil && now-p.denied.at >= ProofWithin // the rest has been released since
	if released {
		p.denied = nil
	}
	for _, later := range l.after(p) {
		told := l.counts() && later.usedKnown && p.width(now-settled) > 0
		if later.heard && (released || !told && !p.outage && p.denied == nil) {
			l.merge(p, later)
			return
		}
	}
}

// counts tells whether the core's states are known to count the calls that stand.
func (l *Lease) counts() bool { return l.truthful && !l.distrusted }

// check asks for a new connection where a process is silent and one could tell more.
func (l *Lease) check(p *process, now time.Duration, d *Decision) {
	if now-p.aliveAt < CheckAfter || now-l.checkedAt < CheckEvery {
		return
	}
	carrying := map[ConnectionID]bool{}
	for _, q := range l.processes {
		for _, k := range q.calls {
			carrying[k.on] = true
		}
	}
	for id, c := range l.connections {
		switch {
		case c.retired:
		case !carrying[id]:
			d.Idle = append(d.Idle, id)
		case c.process == p:
			d.Silent = append(d.Silent, id)
		}
	}
	slices.Sort(d.Idle)
	slices.Sort(d.Silent)
	d.Prove = p != l.newest() && !l.counts() && len(d.Silent) > 0
	if p != l.newest() && !d.Prove && l.reached(now) && !l.undecided(p) {
		return // the process there now has spoken, or has still time to
	}
	l.checkedAt = now
	d.Check = true
}

// undecided tells whether the states of the process at the address have not shown if it has the calls of an earlier one,
// as set-ups were open, and would now: there are none any more.
func (l *Lease) undecided(p *process) bool {
	return l.counts() && l.newest().usedKnown && p.denied == nil && l.pendingAfter(p) == 0
}

// reached tells whether the process at the address now was heard, or has still time to greet.
func (l *Lease) reached(now time.Duration) bool {
	for _, c := range l.newest().connections {
		if c.heard && now-l.newest().aliveAt < GreetWithin || now-c.opened < GreetWithin {
			return true
		}
	}
	return false
}
