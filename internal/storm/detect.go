package storm

import (
	"time"
)

// State is how stormy a scope is.
type State int

// The states of a scope.
const (
	Calm State = iota
	Rising
	Recovering // the storm is over, and its callers may still come together
	Storming
)

// String returns the state's name.
func (s State) String() string { return [...]string{"calm", "rising", "recovering", "storm"}[s] }

// Scope is what a state is of: the whole, a class, an exchange or a caller group.
type Scope struct{ Kind, Name string }

// Figures are what a state goes by.
type Figures struct {
	Offered, Usual float64 // calls a second: now, and as learnt
	Redials        float64 // share of the calls offered
	Links          float64 // new connections and associations a second
	Window         float64 // calls that may be under way, of an exchange
	Open           int     // calls that are
	Wait           time.Duration
}

// Change is a scope's way from one state to another.
type Change struct {
	Scope    Scope
	From, To State
	Cause    string
	At       time.Duration
	Figures
}

const (
	fast      = time.Second      // memory of what is happening
	slow      = 60 * time.Second // and of what is usual
	learnFrom = 5 * time.Second  // a meter this young has no usual rate
	leastRate = 5.0              // events a second: fewer are no storm, whatever their shares

	risingOver = 1.3 // times the usual rate
	stormOver  = 1.7
	risingPart = 0.15 // redials among the calls
	stormPart  = 0.35
	lateRising = 1 * time.Second // a state must be asked for so long: bursts are not storms
	lateCalm   = 3 * time.Second // and the way back for longer
	calmAfter  = 8 * time.Second // in recovering without a relapse
)

// meter follows one scope.
type meter struct {
	scope   Scope
	state   State
	since   time.Duration
	begun   time.Duration
	now     rate
	usual   rate
	again   rate
	links   rate
	wanted  State
	wantAt  time.Duration
	started bool
	seen    time.Duration
}

// offered counts a call.
func (m *meter) offered(now time.Duration, resent bool) {
	if !m.started {
		m.started, m.begun = true, now
	}
	m.seen = now
	m.now.add(now, 1, fast)
	if resent {
		m.again.add(now, 1, fast)
	}
	if m.state == Calm && !resent { // a storm must not become the usual
		m.usual.add(now, 1, slow)
	}
}

// learnt is the usual rate, corrected for a memory that is not full yet; 0 while there is none.
func (m *meter) learnt(now time.Duration) float64 {
	age := now - m.begun
	if !m.started || age < learnFrom {
		return 0
	}
	return m.usual.get(now, slow) / min(1, max(0.08, float64(age)/float64(slow)))
}

// figures are what there is to say.
func (m *meter) figures(now time.Duration) Figures {
	offered := m.now.get(now, fast)
	return Figures{Offered: offered, Usual: m.learnt(now), Redials: share(m.again.get(now, fast), offered),
		Links: m.links.get(now, fast)}
}

func (m *meter) status(now time.Duration) Status {
	return Status{Scope: m.scope, State: m.state, Figures: m.figures(now)}
}

// enter moves to a state.
func (m *meter) enter(now time.Duration, to State) {
	m.state, m.since, m.wanted, m.wantAt = to, now, to, now
}

// judge tells which state a scope should be in, and why.
func (m *meter) judge(now time.Duration) (State, string) {
	f := m.figures(now)
	over := 0.0
	if f.Usual > 0 {
		over = f.Offered / f.Usual
	}
	switch {
	case f.Offered < leastRate && f.Links < leastRate:
		return Calm, "few calls"
	case f.Redials > stormPart:
		return Storming, "redials"
	case over > stormOver && f.Redials > risingPart:
		return Storming, "calls and redials over the usual rate"
	case over > risingOver:
		return Rising, "calls over the usual rate"
	case f.Redials > risingPart:
		return Rising, "redials"
	}
	return Calm, "usual rate"
}

// move changes a scope's state and notes it.
func (s *Storm) move(now time.Duration, m *meter, to State, cause string) {
	if m.state == to {
		return
	}
	s.note(Change{Scope: m.scope, From: m.state, To: to, Cause: cause, At: now, Figures: m.figures(now)})
	m.enter(now, to)
}

// mostChanges are kept for the log until it takes them.
const mostChanges = 64

func (s *Storm) note(c Change) {
	if len(s.changes) < mostChanges {
		s.changes = append(s.changes, c)
	}
}

// follow moves a scope on, with hysteresis: up after a moment, down after a while, and from a storm to calm by
// way of recovering.
func (s *Storm) follow(now time.Duration, m *meter) {
	want, cause := m.judge(now)
	if want != m.wanted {
		m.wanted, m.wantAt = want, now
	}
	held := now - m.wantAt
	switch {
	case want == Storming && m.state != Storming && held >= lateRising:
		s.move(now, m, Storming, cause)
	case want == Rising && m.state == Calm && held >= lateRising:
		s.move(now, m, Rising, cause)
	case want != Storming && m.state == Storming && held >= lateCalm:
		s.move(now, m, Recovering, cause)
	case want == Calm && m.state == Rising && held >= lateCalm:
		s.move(now, m, Calm, cause)
	case want == Calm && m.state == Recovering && now-m.since >= calmAfter && held >= lateCalm:
		s.move(now, m, Calm, cause)
	}
}

// measure counts a call in all its scopes.
func (s *Storm) measure(now time.Duration, o Offer, d *dest) {
	if o.Resent {
		s.counts.Redials++
	} else {
		d.firsts.add(now, 1, fast)
	}
	d.heavy.add(now, o.Number)
	for _, m := range []*meter{&s.whole, &s.classes[o.Class], &d.meter, s.group(now, o.Group)} {
		m.offered(now, o.Resent)
	}
}

// group is a caller group's meter. Where there are too many, one that has long been silent makes room, and
// else the new one is not followed: what it does still counts in all other scopes.
func (s *Storm) group(now time.Duration, hash uint64) *meter {
	m := s.groups[hash]
	if m != nil {
		return m
	}
	m = &meter{scope: Scope{"group", groupName(hash)}}
	if len(s.groups) < mostGroups {
		s.groups[hash] = m
	}
	return m
}

// Linked counts a new connection or association of a caller group.
func (s *Storm) Linked(now time.Duration, group uint64) {
	now = s.tick(now)
	s.whole.links.add(now, 1, fast)
	s.group(now, group).links.add(now, 1, fast)
}

// Tick follows all scopes; it is called a few times a second. It returns the changes since the last time.
func (s *Storm) Tick(now time.Duration) []Change {
	now = s.tick(now)
	s.follow(now, &s.whole)
	for i := range s.classes {
		s.follow(now, &s.classes[i])
	}
	for _, d := range s.dests {
		s.follow(now, &d.meter)
	}
	for hash, m := range s.groups {
		if s.follow(now, m); now-m.seen > groupForget && m.state == Calm {
			delete(s.groups, hash)
		}
	}
	out := s.changes
	s.changes = nil
	sortChanges(out)
	return out
}

const groupForget = 30 * time.Second
