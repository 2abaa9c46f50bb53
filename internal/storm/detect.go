package storm

import (
	"cmp"
	"fmt"
	"slices"
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
	learnFrom = 5 * time.Second  // less than so much of calm time makes no usual rate
	leastRate = 5.0              // events a second: fewer are no storm, whatever their shares

	risingOver = 1.3 // times the usual rate
	stormOver  = 1.7
	linksOver  = 2    // new connections, times the usual rate
	risingPart = 0.15 // redials among the calls
	stormPart  = 0.35
	lateRising = 1500 * time.Millisecond // a state must be asked for so long: bursts are not storms
	lateCalm   = 3 * time.Second         // and the way back for longer
	calmAfter  = 8 * time.Second         // in recovering without a relapse
)

// meter follows one scope.
type meter struct {
	scope  Scope
	state  State
	since  time.Duration
	now    rate
	usual  usual
	again  rate
	links  rate
	linked usual // links a second
	wanted State
	wantAt time.Duration
	seen   time.Duration
}

// offered counts a call.
func (m *meter) offered(now time.Duration, resent bool) {
	m.seen = now
	m.now.add(now, 1, fast)
	if resent {
		m.again.add(now, 1, fast)
	}
}

// figures are what there is to say.
func (m *meter) figures(now time.Duration) Figures {
	offered := m.now.get(now, fast)
	return Figures{Offered: offered, Usual: m.usual.rate(), Redials: share(m.again.get(now, fast), offered),
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
	case m.linked.rate() > 0 && f.Links > linksOver*max(m.linked.rate(), leastRate):
		return Rising, "new connections over the usual rate"
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
	f := m.figures(now)
	m.usual.learn(now, f.Offered*(1-f.Redials), m.state == Calm && want == Calm)
	m.linked.learn(now, f.Links, m.state == Calm && want == Calm)
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
	for _, m := range []*meter{&s.whole, &s.classes[o.Class], &d.meter, s.group(o.Group)} {
		m.offered(now, o.Resent)
	}
}

// group is a caller group's meter. Where too many are followed, new ones share one until some have been silent for
// a while: what they do still counts in all other scopes.
func (s *Storm) group(hash uint64) *meter {
	m := s.groups[hash]
	if m == nil && len(s.groups) >= mostGroups {
		return &s.others
	}
	if m == nil {
		m = &meter{scope: Scope{"group", fmt.Sprintf("%016x", hash)}}
		s.groups[hash] = m
	}
	return m
}

// Linked counts a new connection or association of a caller group.
func (s *Storm) Linked(now time.Duration, group uint64) {
	now = s.tick(now)
	s.whole.links.add(now, 1, fast)
	s.group(group).links.add(now, 1, fast)
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
	s.follow(now, &s.others)
	out := s.changes
	s.changes = nil
	// In the order of their times and scopes, whatever map they came from.
	slices.SortStableFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Scope.Kind, b.Scope.Kind), cmp.Compare(a.Scope.Name, b.Scope.Name))
	})
	return out
}

const groupForget = 30 * time.Second
