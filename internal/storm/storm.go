// Package storm detects and damps storms of retries and reconnects, and computes when rejected callers should
// retry. A storm is more than a high load: failed callers retry together, and their retries keep a processor too
// busy to serve any call in time, even after the original cause is gone.
//
// The package owns the learnt baseline rates, the state of each scope, the windows toward destinations, the retry
// budgets, the retry advice given to callers, and the admission order of new connections. It only makes decisions:
// it does no I/O, reads no clock and starts no goroutine. Each method takes the current time on the caller's clock
// and the event that occurred; every table has a fixed maximum size. The package does not depend on wire formats,
// routes, or the way the decision module chooses: it runs before that module and rejects calls that would only
// delay others.
package storm

import (
	"fmt"
	"slices"
	"time"
)

// Class holds the properties of a class of calls that storm uses.
type Class struct {
	Name  string
	Aim   time.Duration // a set-up that completes within this time earns the full worth
	Worth float64
}

// Config holds the settings of a Storm.
type Config struct {
	Classes   []Class
	Instances int           // number of controllers in service
	MaxWait   time.Duration // maximum wait that callers may be given, 0 if they may be given none
	Seed      uint64

	// Each mechanism can be switched off on its own.
	Window, Budget, Advice, Callers, Cold bool

	Target float64 // maximum queueing delay of a set-up, as a fraction of the shortest Aim; 0 for the default
}

// Maximum sizes of the tables whose keys come from outside.
const (
	maxDests      = 1024
	maxGroups     = 512
	heavyCounters = 64
)

// defaultTarget is the value of Config.Target when it is 0.
const defaultTarget = 0.25

// Reason is the reason why a call is rejected.
type Reason int

// The reasons of a Verdict. Admitted marks a call that is not rejected.
const (
	Admitted  Reason = iota
	NoRoom           // the destination's window is full
	CameEarly        // the caller ignores retry advice, and its share of the window is full
	numReasons
)

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	return [...]string{"admitted", "no room", "advice ignored"}[r]
}

// Offer describes an incoming call.
type Offer struct {
	Class   int
	Dest    int
	Group   uint64 // hash of the caller group: an address or a point code
	Caller  uint64 // hash of what all tries of one caller have in common
	Number  uint64 // hash of the called number
	Resent  bool   // the caller marked the call as a further try
	Transit bool
}

// Verdict is the decision on an Offer.
type Verdict struct {
	Reason Reason
	Wait   time.Duration // time until the caller should retry, if the call is rejected
}

// Admit reports whether the call proceeds to the decision module.
func (v Verdict) Admit() bool { return v.Reason == Admitted }

// dest holds the window, the retry budget and the rates of a destination exchange.
type dest struct {
	window
	meter
	budget
	away       rate // callers given a wait, averaged over awaySpan
	rejected   rate // first tries without space in the window, except those to heavy numbers
	firstTries rate
	served     rate
	heavy      heavy
}

// Counts holds totals since the start.
type Counts struct {
	Offered, Redials, Ignorers int             // calls, redials among them, calls of callers that ignore advice
	Rejected                   [numReasons]int // rejected calls, by Reason
	Vetoed                     int             // further attempts denied by a retry budget
	Ramps                      int             // ramp-ups restarted after an outage or with a new processor
}

// Storm is the storm protection of one controller. Create it with New. It is not safe for concurrent use.
type Storm struct {
	Config
	startedAt   time.Duration // time of the first event, -1 before it
	now         time.Duration
	target      time.Duration
	meanWorth   float64 // moving average over the calls offered
	dests       map[int]*dest
	classes     []meter
	groups      map[uint64]*meter
	otherGroups meter // shared by the caller groups beyond maxGroups
	total       meter
	budget      budget
	callers     callers
	adviser     adviser
	changes     []Change
	counts      Counts
}

// New returns a Storm with these settings and no measurements, or an error that names the invalid setting.
func New(c Config) (*Storm, error) {
	s := &Storm{startedAt: -1, dests: map[int]*dest{}, groups: map[uint64]*meter{}, adviser: newAdviser(c.Seed)}
	s.total.scope, s.otherGroups.scope = Scope{"all", ""}, Scope{"group", "others"}
	if err := s.apply(c); err != nil {
		return nil, err
	}
	return s, nil
}

// apply validates the settings and puts them in force. It adds a meter for each new class.
func (s *Storm) apply(c Config) error {
	if c.Target < 0 || c.Target > 1 {
		return fmt.Errorf("storm: target %v is not between 0 and 1", c.Target)
	} else if len(c.Classes) == 0 {
		return fmt.Errorf("storm: no classes are configured")
	} else if c.MaxWait < 0 {
		return fmt.Errorf("storm: maximum wait %v is negative", c.MaxWait)
	}
	if c.Target == 0 {
		c.Target = defaultTarget
	}
	aim := c.Classes[0].Aim
	for _, k := range c.Classes {
		aim = min(aim, k.Aim)
	}
	s.Config, s.target = c, max(time.Millisecond, time.Duration(c.Target*float64(aim)))
	for len(s.classes) < len(c.Classes) {
		s.classes = append(s.classes, meter{scope: Scope{"class", c.Classes[len(s.classes)].Name}})
	}
	return nil
}

// Configure replaces the settings and keeps all measurements. Classes keep their indexes; it returns an error if
// there are fewer classes than before.
func (s *Storm) Configure(c Config) error {
	if len(c.Classes) < len(s.Classes) {
		return fmt.Errorf("storm: configured classes cannot be removed")
	}
	return s.apply(c)
}

// advance moves the current time forward to now and returns it. If the clock stepped back, the current time stays
// as it is until the clock has caught up. The first call records the start.
func (s *Storm) advance(now time.Duration) time.Duration {
	if s.startedAt < 0 {
		s.startedAt, s.now = now, now
		s.addChange(Change{Scope: s.total.scope, From: Calm, To: Recovering, Cause: "own start", At: now})
		s.total.enter(now, Recovering)
	}
	s.now = max(s.now, now)
	return s.now
}

// dest returns the state of a destination and creates it on first use. Destinations come from the membership list
// only, but the table is bounded here as well: beyond maxDests the state returned is not kept.
func (s *Storm) dest(number int) *dest {
	d := s.dests[number]
	if d == nil {
		d = &dest{}
		d.meter.scope = Scope{"exchange", fmt.Sprint(number)}
		d.rampSize = max(minWindow, initialWindow/float64(max(1, s.Instances)))
		d.ramp()
		if len(s.dests) < maxDests {
			s.dests[number] = d
		}
	}
	return d
}

// rank returns the rank of a call, which sets the share of the window open to it.
func (s *Storm) rank(o Offer, ignorer, heavy bool) rank {
	switch {
	case o.Transit:
		return rankTransit
	case ignorer:
		return rankIgnorer
	case o.Resent:
		return rankRedial
	case s.Classes[o.Class].Worth > worthyFactor*s.meanWorth:
		return rankWorthy
	case heavy:
		return rankHeavy
	}
	return rankFirst
}

const (
	worthyFactor    = 1.5  // times the mean worth
	meanWorthWeight = 0.02 // weight of one call in the mean worth
)

// Offered decides whether an incoming call is admitted. An admitted call counts as open until Answered or Unanswered is
// called for it.
func (s *Storm) Offered(now time.Duration, o Offer) Verdict {
	now = s.advance(now)
	d := s.dest(o.Dest)
	s.counts.Offered++
	worth := s.Classes[o.Class].Worth
	if s.meanWorth == 0 {
		s.meanWorth = worth
	}
	s.meanWorth += meanWorthWeight * (worth - s.meanWorth)
	ignorer, tries := false, 0
	if !o.Transit {
		ignorer, tries = s.callers.recordTry(now, o.Caller, o.Resent)
		s.count(now, o, d)
	}
	if ignorer {
		s.counts.Ignorers++
	}
	if !s.Callers {
		ignorer = false
	}
	v := Verdict{}
	if r := s.rank(o, ignorer, d.heavy.isHeavy(now, o.Number)); s.Window && !d.admits(now, r) {
		v.Reason = NoRoom
		if r == rankIgnorer {
			v.Reason = CameEarly
		}
		if r == rankFirst || r == rankWorthy {
			d.rejected.add(now, 1, fastSpan)
		}
	}
	if v.Reason != Admitted {
		s.counts.Rejected[v.Reason]++
		if !o.Transit {
			v.Wait = s.advise(now, d, o.Caller, tries)
		}
		return v
	}
	d.open++
	return v
}

// Advise returns the wait for a caller that the decision module rejects.
func (s *Storm) Advise(now time.Duration, number int, caller uint64) time.Duration {
	now = s.advance(now)
	tries := 0
	if e := s.callers.find(now, caller); e != nil {
		tries = int(e.tries)
	}
	return s.advise(now, s.dest(number), caller, tries)
}

// advise draws a wait for a rejected caller and records it. If Config.Advice is off, it returns MaxWait and records
// nothing.
func (s *Storm) advise(now time.Duration, d *dest, caller uint64, tries int) time.Duration {
	if !s.Advice {
		return s.MaxWait
	}
	d.away.add(now, 1, awaySpan)
	spare := d.served.get(now, fastSpan)
	spare = max(spare-d.firstTries.get(now, fastSpan), minSpareShare*spare, 1)
	wait := s.adviser.draw(d.away.get(now, awaySpan)*awaySpan.Seconds(), spare, tries, s.MaxWait)
	s.callers.recordWait(now, caller, wait)
	return wait
}

// awaySpan is how long callers count as staying away after they are given a wait.
const awaySpan = 2 * time.Second

// Sent records an outgoing set-up, direct or through a tandem, and reports whether it may be sent. Only a further
// attempt of a call can be denied, when a retry budget is exhausted.
func (s *Storm) Sent(now time.Duration, number int, further bool) bool {
	now = s.advance(now)
	d := s.dest(number)
	if further && s.Budget {
		if !d.budget.available(now) || !s.budget.available(now) {
			s.counts.Vetoed++
			return false
		}
		d.budget.spend()
		s.budget.spend()
	}
	d.sent(now)
	return true
}

// Answered records that a set-up of an open call was answered after took. direct reports whether the set-up went
// straight to the destination, so that took measures the destination alone.
func (s *Storm) Answered(now time.Duration, number int, caller uint64, took time.Duration, direct bool) {
	now = s.advance(now)
	d := s.dest(number)
	d.open = max(0, d.open-1)
	d.served.add(now, 1, fastSpan)
	d.earn(now)
	s.budget.earn(now)
	s.callers.served(now, caller)
	if direct && took > 0 {
		ramps := d.ramps
		d.answered(now, took, s.target)
		s.counts.Ramps += d.ramps - ramps
	}
}

// Failed records a set-up that a full processor rejected, or that was lost.
func (s *Storm) Failed(now time.Duration, number int) { s.dest(number).backOff(s.advance(now)) }

// Unanswered records that an open call ended without being answered.
func (s *Storm) Unanswered(now time.Duration, number int) {
	s.advance(now)
	d := s.dest(number)
	d.open = max(0, d.open-1)
}

// Congested records the congestion level signalled by an exchange (Q.763, 3.4, or RFC 4666, 3.4.4).
func (s *Storm) Congested(now time.Duration, number, level int) {
	now = s.advance(now)
	d := s.dest(number)
	before := d.level
	if d.congested(now, level); level > before {
		s.addChange(Change{Scope: d.meter.scope, From: d.state, To: d.state, Cause: fmt.Sprintf("congestion level %d told", d.level),
			At: now, Figures: d.figures(now)})
	}
}

// ProcessorStarted records that an exchange has a new processor. The window ramps up again, because the capacity of the
// previous processor says nothing about the new one.
func (s *Storm) ProcessorStarted(now time.Duration, number int) {
	now = s.advance(now)
	d := s.dest(number)
	d.ramp()
	s.counts.Ramps++
	d.minTime, d.prevMinTime = 0, 0
	s.setState(now, &d.meter, Recovering, "new processor")
}

// Counts returns the totals since the start.
func (s *Storm) Counts() Counts { return s.counts }

// minRejectedRate is the rate of rejected first tries per second below which Level is 0.
const minRejectedRate = 0.2

// Level returns the ISUP congestion level of a destination (Q.763, 3.4): 0 for none, 1, or 2.
func (s *Storm) Level(now time.Duration, number int) int {
	d := s.dests[number]
	if d == nil {
		return 0
	}
	if d.rejected.get(now, fastSpan) < minRejectedRate { // the congestion has ended, or is too small to report
		return 0
	}
	switch ratio := share(d.rejected.get(now, fastSpan), d.firstTries.get(now, fastSpan)); {
	case ratio > 0.4:
		return 2
	case ratio > 0.1:
		return 1
	}
	return 0
}

// Status is the state of a scope with its figures, as reported to operators.
type Status struct {
	Scope Scope
	State State
	Figures
}

// Statuses returns the status of the whole controller, of each class by index and of each exchange by number.
func (s *Storm) Statuses(now time.Duration) []Status {
	out := []Status{s.total.status(now)}
	for i := range s.classes {
		out = append(out, s.classes[i].status(now))
	}
	numbers := make([]int, 0, len(s.dests))
	for n := range s.dests {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		status := s.dests[n].meter.status(now)
		status.Window, status.Open, status.Wait = s.dests[n].size, s.dests[n].open, s.dests[n].wait
		out = append(out, status)
	}
	return out
}
