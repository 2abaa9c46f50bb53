// Package storm sees storms of retries and reconnects, damps them, and says when those sent away should come
// back. A storm is more than a load: callers who failed come again, together, and what they ask for in vain keeps
// a processor too busy to serve anybody in time, also after its cause has gone.
//
// The package owns the learnt usual rates, the state of each scope, the windows toward destinations, the retry
// budgets, what callers were told, and the turns of new connections. It decides only: no I/O, no clock, no
// goroutine. Each method takes the present time on the caller's clock and is handed what happened; every table
// has a fixed size. It must not know any wire, any route, or how the decision module chooses: it stands before
// that module and turns calls away that would only make others late.
package storm

import (
	"fmt"
	"slices"
	"time"
)

// Class is what storm has to know of a class of call.
type Class struct {
	Name  string
	Aim   time.Duration // a set-up within this time earns the full worth
	Worth float64
}

// Config is what a Storm is made of.
type Config struct {
	Classes   []Class
	Instances int           // controllers in service
	MaxWait   time.Duration // longest wait that callers may be told, 0 if none may
	Seed      uint64

	// Each part can be switched off alone.
	Window, Budget, Advice, Callers, Cold bool

	Target float64 // part of the shortest aim that a set-up may wait in line, 0 for the usual one
}

// The bounds of tables that names from outside could fill.
const (
	mostDests  = 1024
	mostGroups = 512
	mostHeavy  = 64
)

const usualTarget = 0.25

// Reason says why a call is turned away.
type Reason int

// The reasons of a Verdict.
const (
	Admitted  Reason = iota
	NoRoom           // the destination's window is full
	CameEarly        // a caller who ignores advice, while there is not room for all
	reasons
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"admitted", "no room", "advice ignored"}[r]
}

// Offer is a call that has come.
type Offer struct {
	Class   int
	Dest    int
	Group   uint64 // hash of the caller group: an address or a point code
	Caller  uint64 // hash of what the tries of one caller have in common
	Number  uint64 // hash of the number called
	Resent  bool   // its caller says that it is a further try
	Transit bool
}

// Verdict is what becomes of it.
type Verdict struct {
	Reason Reason
	Wait   time.Duration // how long its caller should stay away, if it is turned away
}

// Admit tells whether the call goes on to the decision module.
func (v Verdict) Admit() bool { return v.Reason == Admitted }

// dest is a destination exchange.
type dest struct {
	window
	meter
	budget
	away    rate // callers who were told to stay away
	refused rate // first tries without room
	firsts  rate
	served  rate
	heavy   heavy
}

// Counts are totals since the start, by Reason, and of what was found.
type Counts struct {
	Offered, Redials, Ignorers int
	Turned                     [reasons]int
	Vetoed                     int // further attempts that no budget paid for
	Ramps                      int
}

// Storm is the whole of it for one controller. Use New. It is not safe for concurrent use.
type Storm struct {
	Config
	begun   time.Duration // when the first event came, -1 before
	now     time.Duration
	target  time.Duration
	worth   float64 // mean worth of the calls offered
	dests   map[int]*dest
	classes []meter
	groups  map[uint64]*meter
	others  meter // of groups over those that are followed
	whole   meter
	budget  budget
	callers callers
	adviser adviser
	changes []Change
	counts  Counts
}

// New returns a Storm that knows nothing but its settings, or an error that names the entry that can't be
// served.
func New(c Config) (*Storm, error) {
	s := &Storm{begun: -1, dests: map[int]*dest{}, groups: map[uint64]*meter{}, adviser: newAdviser(c.Seed)}
	s.whole.scope, s.others.scope = Scope{"all", ""}, Scope{"group", "others"}
	if err := s.use(c); err != nil {
		return nil, err
	}
	return s, nil
}

// use takes settings.
func (s *Storm) use(c Config) error {
	if c.Target < 0 || c.Target > 1 {
		return fmt.Errorf("storm: target %v is not a part of an aim", c.Target)
	} else if len(c.Classes) == 0 {
		return fmt.Errorf("storm: classes are missing")
	} else if c.MaxWait < 0 {
		return fmt.Errorf("storm: longest wait is %v", c.MaxWait)
	}
	if c.Target == 0 {
		c.Target = usualTarget
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

// Configure puts other settings in force; what was learnt stays. Classes keep their places.
func (s *Storm) Configure(c Config) error {
	if len(c.Classes) < len(s.Classes) {
		return fmt.Errorf("storm: the places of classes stay for good")
	}
	return s.use(c)
}

// tick moves on. A clock that went back stands still until it is back.
func (s *Storm) tick(now time.Duration) time.Duration {
	if s.begun < 0 {
		s.begun, s.now = now, now
		s.note(Change{Scope: s.whole.scope, From: Calm, To: Recovering, Cause: "own start", At: now})
		s.whole.enter(now, Recovering)
	}
	s.now = max(s.now, now)
	return s.now
}

// dest returns a destination, made when first heard of. Only the list names destinations, and it is bounded
// here all the same.
func (s *Storm) dest(number int) *dest {
	d := s.dests[number]
	if d == nil {
		d = &dest{}
		d.meter.scope = Scope{"exchange", fmt.Sprint(number)}
		d.first = max(windowLeast, windowFirst/float64(max(1, s.Instances)))
		d.ramp()
		if len(s.dests) < mostDests {
			s.dests[number] = d
		}
	}
	return d
}

// rank is where a call stands among those that want room.
func (s *Storm) rank(o Offer, ignorer, heavy bool) rank {
	switch {
	case o.Transit:
		return rankTransit
	case ignorer:
		return rankIgnorer
	case o.Resent:
		return rankRedial
	case s.Classes[o.Class].Worth > worthier*s.worth:
		return rankWorthy
	case heavy:
		return rankHeavy
	}
	return rankFirst
}

const (
	worthier  = 1.5  // times the mean worth
	worthPart = 0.02 // weight of one call in the mean worth
)

// Offered takes a call and decides whether it goes on. One that does counts as under way until Stood, or Over.
func (s *Storm) Offered(now time.Duration, o Offer) Verdict {
	now = s.tick(now)
	d := s.dest(o.Dest)
	s.counts.Offered++
	worth := s.Classes[o.Class].Worth
	if s.worth == 0 {
		s.worth = worth
	}
	s.worth += worthPart * (worth - s.worth)
	ignorer, tries := false, 0
	if !o.Transit {
		ignorer, tries = s.callers.came(now, o.Caller, o.Resent)
		s.measure(now, o, d)
	}
	if ignorer {
		s.counts.Ignorers++
	}
	if !s.Callers {
		ignorer = false
	}
	v := Verdict{}
	if r := s.rank(o, ignorer, d.heavy.is(now, o.Number)); s.Window && !d.fits(now, r) {
		v.Reason = NoRoom
		if r == rankIgnorer {
			v.Reason = CameEarly
		}
		if r == rankFirst || r == rankWorthy {
			d.refused.add(now, 1, fast)
		}
	}
	if v.Reason != Admitted {
		s.counts.Turned[v.Reason]++
		if !o.Transit {
			v.Wait = s.advise(now, d, o.Caller, tries)
		}
		return v
	}
	d.open++
	return v
}

// Advise returns how long a caller whom the decision module turns away should stay away.
func (s *Storm) Advise(now time.Duration, number int, caller uint64) time.Duration {
	now = s.tick(now)
	tries := 0
	if e := s.callers.find(now, caller); e != nil {
		tries = int(e.tries)
	}
	return s.advise(now, s.dest(number), caller, tries)
}

// advise draws a wait and remembers it.
func (s *Storm) advise(now time.Duration, d *dest, caller uint64, tries int) time.Duration {
	if !s.Advice {
		return s.MaxWait
	}
	d.away.add(now, 1, awayFor)
	spare := d.served.get(now, fast)
	spare = max(spare-d.firsts.get(now, fast), spareLeast*spare, 1)
	wait := s.adviser.draw(d.away.get(now, awayFor)*awayFor.Seconds(), spare, tries, s.MaxWait)
	s.callers.tell(now, caller, wait)
	return wait
}

// awayFor is how long callers count as staying away.
const awayFor = 2 * time.Second

// Sent takes a set-up that goes out, direct or not, and tells whether it may where it is a further attempt of
// its call.
func (s *Storm) Sent(now time.Duration, number int, further bool) bool {
	now = s.tick(now)
	d := s.dest(number)
	if further && s.Budget {
		if !d.budget.has(now) || !s.budget.has(now) {
			s.counts.Vetoed++
			return false
		}
		d.budget.spend()
		s.budget.spend()
	}
	d.sent(now)
	return true
}

// Stood takes a set-up that stood: it was under way, and direct if its time tells of the destination.
func (s *Storm) Stood(now time.Duration, number int, caller uint64, took time.Duration, direct bool) {
	now = s.tick(now)
	d := s.dest(number)
	d.open = max(0, d.open-1)
	d.served.add(now, 1, fast)
	d.earn(now)
	s.budget.earn(now)
	s.callers.served(now, caller)
	if direct && took > 0 {
		ramps := d.ramps
		d.stood(now, took, s.target)
		s.counts.Ramps += d.ramps - ramps
	}
}

// Failed takes a set-up that a full processor turned away, or that was lost.
func (s *Storm) Failed(now time.Duration, number int) { s.dest(number).back(s.tick(now)) }

// Over takes a call that was under way and got another end than that it stands.
func (s *Storm) Over(now time.Duration, number int) {
	s.tick(now)
	d := s.dest(number)
	d.open = max(0, d.open-1)
}

// Congested takes the congestion level that an exchange itself has told (Q.763, 3.4, or RFC 4666, 3.4.4).
func (s *Storm) Congested(now time.Duration, number, level int) {
	now = s.tick(now)
	d := s.dest(number)
	was := d.level
	if d.congested(now, level); level > was {
		s.note(Change{Scope: d.meter.scope, From: d.state, To: d.state, Cause: fmt.Sprintf("congestion level %d told", d.level),
			At: now, Figures: d.figures(now)})
	}
}

// Started takes word that an exchange has a new processor: what the one before could do proves nothing.
func (s *Storm) Started(now time.Duration, number int) {
	now = s.tick(now)
	d := s.dest(number)
	d.ramp()
	s.counts.Ramps++
	d.least, d.before = 0, 0
	s.move(now, &d.meter, Recovering, "new processor")
}

// Counts are the totals.
func (s *Storm) Counts() Counts { return s.counts }

// levelLeast is how many first tries a second without room are worth telling.
const levelLeast = 0.2

// Level is the congestion level of a destination as ISUP counts it (Q.763, 3.4): 0 for none, 1, or 2.
func (s *Storm) Level(now time.Duration, number int) int {
	d := s.dests[number]
	if d == nil {
		return 0
	}
	if d.refused.get(now, fast) < levelLeast { // it has passed
		return 0
	}
	switch part := share(d.refused.get(now, fast), d.firsts.get(now, fast)); {
	case part > 0.4:
		return 2
	case part > 0.1:
		return 1
	}
	return 0
}

// Status is a scope with its state and figures, for those who read them.
type Status struct {
	Scope Scope
	State State
	Figures
}

// Statuses lists the whole, the classes and the exchanges.
func (s *Storm) Statuses(now time.Duration) []Status {
	out := []Status{s.whole.status(now)}
	for i := range s.classes {
		out = append(out, s.classes[i].status(now))
	}
	numbers := make([]int, 0, len(s.dests))
	for n := range s.dests {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		st := s.dests[n].meter.status(now)
		st.Window, st.Open, st.Wait = s.dests[n].size, s.dests[n].open, s.dests[n].wait
		out = append(out, st)
	}
	return out
}
