package storm

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the storm state of a scope.
type State int

// The states of a scope.
const (
	Calm State = iota
	Rising
	Recovering // the storm has ended, but its callers may still retry together
	Storming
)

// String returns the state's name as logs and the management interface use it.
func (s State) String() string { return [...]string{"calm", "rising", "recovering", "storm"}[s] }

// Scope identifies what a state applies to. Kind is "all" for the whole controller, "class", "exchange", or "group"
// for a caller group.
type Scope struct{ Kind, Name string }

// Figures are the measurements that determine a state.
type Figures struct {
	Offered, Usual float64       // calls per second: current, and the learnt baseline
	Redials        float64       // share of redials among the calls offered
	Links          float64       // new connections and associations per second
	Window         float64       // of an exchange: maximum number of open calls
	Open           int           // of an exchange: open calls
	Wait           time.Duration // of an exchange: queueing delay of the last answered set-up
}

// Change is a transition of a scope between states, or a rise of an exchange's signalled congestion level.
type Change struct {
	Scope    Scope
	From, To State
	Cause    string
	At       time.Duration
	Figures
}

// Time constants and thresholds of the detection.
const (
	fastSpan    = time.Second      // time constant of the current rates
	slowSpan    = 60 * time.Second // time constant of the baseline rates
	minCalmTime = 5 * time.Second  // minimum calm time before there is a baseline rate
	minRate     = 5.0              // events per second; fewer are no storm, whatever the share of redials

	risingFactor      = 1.3 // times the baseline rate
	stormFactor       = 1.7
	linksFactor       = 2    // new connections, times the baseline rate
	risingRedialShare = 0.15 // share of redials among the calls
	stormRedialShare  = 0.35
	riseDelay         = 1500 * time.Millisecond // a higher state must be indicated this long: a burst is no storm
	fallDelay         = 3 * time.Second         // the same for a lower state
	minRecovering     = 8 * time.Second         // minimum time in Recovering without a relapse
)

// meter measures one scope and holds its state.
type meter struct {
	scope          Scope
	state          State
	since          time.Duration
	calls          rate
	baseline       baseline
	redials        rate
	links          rate
	linksBaseline  baseline // links per second
	candidate      State
	candidateSince time.Duration
	lastCallAt     time.Duration
}

// offered counts a call and, if resent, a redial.
func (m *meter) offered(now time.Duration, resent bool) {
	m.lastCallAt = now
	m.calls.add(now, 1, fastSpan)
	if resent {
		m.redials.add(now, 1, fastSpan)
	}
}

// figures returns the current measurements of the scope.
func (m *meter) figures(now time.Duration) Figures {
	offered := m.calls.get(now, fastSpan)
	return Figures{Offered: offered, Usual: m.baseline.rate(), Redials: share(m.redials.get(now, fastSpan), offered),
		Links: m.links.get(now, fastSpan)}
}

// status returns the scope's state and figures, without the figures of an exchange's window.
func (m *meter) status(now time.Duration) Status {
	return Status{Scope: m.scope, State: m.state, Figures: m.figures(now)}
}

// enter sets the state and restarts the hysteresis.
func (m *meter) enter(now time.Duration, to State) {
	m.state, m.since, m.candidate, m.candidateSince = to, now, to, now
}

// evaluate returns the state that the current figures indicate, and its cause. It applies no hysteresis.
func (m *meter) evaluate(now time.Duration) (State, string) {
	f := m.figures(now)
	factor := 0.0
	if f.Usual > 0 {
		factor = f.Offered / f.Usual
	}
	switch {
	case f.Offered < minRate && f.Links < minRate:
		return Calm, "few calls"
	case f.Redials > stormRedialShare:
		return Storming, "redials"
	case factor > stormFactor && f.Redials > risingRedialShare:
		return Storming, "calls and redials over the usual rate"
	case factor > risingFactor:
		return Rising, "calls over the usual rate"
	case f.Redials > risingRedialShare:
		return Rising, "redials"
	case m.linksBaseline.rate() > 0 && f.Links > linksFactor*max(m.linksBaseline.rate(), minRate):
		return Rising, "new connections over the usual rate"
	}
	return Calm, "usual rate"
}

// setState changes a scope's state and queues the change.
func (s *Storm) setState(now time.Duration, m *meter, to State, cause string) {
	if m.state == to {
		return
	}
	s.addChange(Change{Scope: m.scope, From: m.state, To: to, Cause: cause, At: now, Figures: m.figures(now)})
	m.enter(now, to)
}

// maxChanges is the maximum number of changes kept between two calls of Tick; further ones are dropped.
const maxChanges = 64

// addChange queues a change for the next Tick.
func (s *Storm) addChange(c Change) {
	if len(s.changes) < maxChanges {
		s.changes = append(s.changes, c)
	}
}

// update learns the scope's baselines and applies the state transitions with hysteresis: up after riseDelay, down
// after fallDelay, and from Storming to Calm through Recovering only.
func (s *Storm) update(now time.Duration, m *meter) {
	next, cause := m.evaluate(now)
	f := m.figures(now)
	m.baseline.learn(now, f.Offered*(1-f.Redials), m.state == Calm && next == Calm)
	m.linksBaseline.learn(now, f.Links, m.state == Calm && next == Calm)
	if next != m.candidate {
		m.candidate, m.candidateSince = next, now
	}
	held := now - m.candidateSince
	switch {
	case next == Storming && m.state != Storming && held >= riseDelay:
		s.setState(now, m, Storming, cause)
	case next == Rising && m.state == Calm && held >= riseDelay:
		s.setState(now, m, Rising, cause)
	case next != Storming && m.state == Storming && held >= fallDelay:
		s.setState(now, m, Recovering, cause)
	case next == Calm && m.state == Rising && held >= fallDelay:
		s.setState(now, m, Calm, cause)
	case next == Calm && m.state == Recovering && now-m.since >= minRecovering && held >= fallDelay:
		s.setState(now, m, Calm, cause)
	}
}

// count counts a call in all its scopes.
func (s *Storm) count(now time.Duration, o Offer, d *dest) {
	if o.Resent {
		s.counts.Redials++
	} else {
		d.firstTries.add(now, 1, fastSpan)
	}
	d.heavy.add(now, o.Number)
	for _, m := range []*meter{&s.total, &s.classes[o.Class], &d.meter, s.groupMeter(o.Group)} {
		m.offered(now, o.Resent)
	}
}

// groupMeter returns the meter of a caller group. When maxGroups groups are tracked, new ones share otherGroups until
// some groups have sent no calls for groupTTL; their calls still count in all other scopes.
func (s *Storm) groupMeter(hash uint64) *meter {
	m := s.groups[hash]
	if m == nil && len(s.groups) >= maxGroups {
		return &s.otherGroups
	}
	if m == nil {
		m = &meter{scope: Scope{"group", fmt.Sprintf("%016x", hash)}}
		s.groups[hash] = m
	}
	return m
}

// CallerConnected records a new connection or association of a caller group.
func (s *Storm) CallerConnected(now time.Duration, group uint64) {
	now = s.advance(now)
	s.total.links.add(now, 1, fastSpan)
	s.groupMeter(group).links.add(now, 1, fastSpan)
}

// Tick updates the states of all scopes and returns the changes since the previous call. The caller invokes it a few
// times per second.
func (s *Storm) Tick(now time.Duration) []Change {
	now = s.advance(now)
	s.update(now, &s.total)
	for i := range s.classes {
		s.update(now, &s.classes[i])
	}
	for _, d := range s.dests {
		s.update(now, &d.meter)
	}
	for hash, m := range s.groups {
		if s.update(now, m); now-m.lastCallAt > groupTTL && m.state == Calm {
			delete(s.groups, hash)
		}
	}
	s.update(now, &s.otherGroups)
	out := s.changes
	s.changes = nil
	// Sort by time and scope, so that the order does not depend on map iteration.
	slices.SortStableFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Scope.Kind, b.Scope.Kind), cmp.Compare(a.Scope.Name, b.Scope.Name))
	})
	return out
}

// groupTTL is how long a calm caller group is tracked after its last call.
const groupTTL = 30 * time.Second
