// The controller and what it knows of exchanges. The types, events and actions stand in api.go.

package brookmux

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The tuned values, with their reasons.
const (
	period  = time.Second // between two closings of the rates; the paper's 5 s outlast whole bursts
	resets  = 3           // settings of the gates in a period: far reports are news within less than one
	spans   = 5           // periods averaged for a rate (paper, appendix A)
	ceiling = 0.95        // a processor's load that gates aim at (paper, 2.3)

	delayPart  = 3               // set-ups may wait this part of the shortest aim
	delayShare = 0.2             // weight of one new set-up delay in the average
	delayFades = time.Second / 4 // a set-up delay counts whole for so long, then half after each further one
	delayStale = 2 * time.Second // a set-up delay older than this tells nothing
	holdTwice  = 2               // what far exchanges hold back their own callers go on sending there
	scaleShare = 0.5             // weight of one period in the per-call work
	linePart   = 3               // a wait over this part of the target is a line that does not empty
	lineFall   = 0.5             // least that a processor with a line is taken to have been given in a period
	scaleDown  = 0.85            // a period's fall of the per-call work while gates bind and delays are small
	mixShare   = 0.02            // weight of one call in the mean width, length and worth

	worthier = 1.5 // times the mean worth: such a call is not held before a line

	reserveLeast = 2.0  // circuits kept for direct calls (design)
	blockShare   = 0.05 // weight of one call in the share of direct calls blocked
	blockFade    = 0.8  // what a period leaves of that share
	reserveMost  = 0.3  // share of a group that the growing reserve may reach

	silentSends  = 3                      // set-ups without any answer that make a processor suspect
	silentAfter  = time.Second            // and for how long; a full one rests as long
	tandemTries  = 1                      // attempts over a tandem, a call (design: one random tandem)
	pairRestMost = 8 * time.Second        // a group that turns calls back rests longer each time
	leastSetUp   = 20 * time.Millisecond  // no attempt is worth making with less time left
	boundOver    = 3                      // mean set-up delays that most set-ups take at most
	fallSafe     = 2                      // a cold processor is sent its part of this multiple
	mostRedials  = 8192                   // numbers remembered at a time
	askAgain     = 500 * time.Millisecond // after a failed call to discovery
)

// exchange is a destination (a pool, where there are pools) with the trunk group toward it.
type exchange struct {
	number     int
	at         *Switch // its ready switch, nil if there is none
	free, size float64 // of the own group, Absent until told
	ours       float64 // its circuits in use by calls that this controller handles

	offered, admitted, incoming, transit tally
	gate                                 float64 // share of new calls admitted

	report     Report
	reported   time.Duration
	delay      float64         // smoothed set-up delay, ms
	answered   time.Duration   // when the last-sent direct set-up that stood was sent
	stoodAt    time.Duration   // when a direct set-up last stood
	underWay   []time.Duration // when the direct set-ups now under way were sent
	unanswered int             // set-ups since it last answered
	silentFrom time.Duration
	restUntil  time.Duration
	blocking   float64      // recent share of direct calls that found no circuit
	avoid      map[int]rest // as tandem: not for these destinations
	proven     *exchange    // the tandem over which a call to it stood last
}

// pending is a call that is owed an answer.
type pending struct {
	Call
	class          Class
	first          time.Duration // when its caller first tried
	sends, tandems int           // attempts, and those over a tandem
	out            *attempt
	stands         bool
	ran            bool // an attempt may have run
	ranAt          time.Duration
	ranOn          *Switch
	notUntil       time.Duration // release wait
	worth          float64       // what it is worth if it stands now
	waits, gated   bool          // it waits for a circuit or, gated, for the gate
	from           *exchange     // in transit: where it holds circuits from
}

// Controller is the call control of one exchange. Use New.
type Controller struct {
	set            Settings
	host           Host
	rng            *rand.Rand
	machines       map[SwitchID]*Switch
	byNumber       map[int]*exchange
	exchanges      []*exchange // by number
	calls          map[CallID]*pending
	self           *exchange                  // the own exchange, nil with pools
	target         float64                    // the wait, in ms, at which a processor is as busy as wanted
	least          float64                    // least set-up delay seen, ms; 0 if none
	shortest       float64                    // shortest wait of the set-ups that stood in this period, ms
	gap, heard     time.Duration              // nothing was heard for so long before the events of that time
	patience       []time.Duration            // the longest time that callers of a class left to a try
	ownWait        float64                    // the own processor's wait a period ago, in ms
	looks          tally                      // calls turned away unsent, looked at all the same
	scale          float64                    // per-call work against the paper's
	width          float64                    // mean circuits a call takes
	bound          time.Duration              // a set-up that takes longer is unlikely to stand
	lossy          time.Duration              // until then answers are taken to get lost
	length         time.Duration              // mean length of a call
	mean           float64                    // mean worth of the calls offered
	worth          []worthTally               // what calls offered were worth
	redials        map[caller][]time.Duration // first tries of calls that may be dialled again
	waiting        []*pending                 // for a circuit
	turn           int                        // of the settings of the gates in a period
	started, spent bool                       // the first timer is set; no budget was left for own calls
}

const periodToken, followToken = 0, 2 // of the own timers; a call's is its ID times two, plus one

// New returns the controller of one exchange, or an error that names the setting it can't serve.
func New(s Settings, seed uint64, host Host) (*Controller, error) {
	if host == nil {
		return nil, errors.New("brookmux: host is missing")
	} else if err := s.check(); err != nil {
		return nil, err
	}
	c := &Controller{set: s, host: host, rng: rand.New(rand.NewPCG(seed, 1)), machines: map[SwitchID]*Switch{},
		byNumber: map[int]*exchange{}, redials: map[caller][]time.Duration{}, calls: map[CallID]*pending{},
		width: 1, shortest: math.Inf(1)}
	c.use(s)
	c.length = max(time.Second, s.Classes[0].Hold)
	if !s.Pools {
		c.self = c.exchange(s.Here)
	}
	return c, nil
}

// use takes settings that were checked.
func (c *Controller) use(s Settings) {
	aim := s.Classes[0].Aim
	for _, k := range s.Classes {
		aim = min(aim, k.Aim)
	}
	c.set = s
	c.set.Instances = max(1, s.Instances)
	c.target = max(1, float64(aim/time.Millisecond)/delayPart)
	c.patience = append(c.patience, make([]time.Duration, len(s.Classes)-len(c.patience))...)
}

// Configure puts other settings in force, or returns an error and changes nothing. Classes keep their places,
// new ones come after them; calls that were offered before keep what they were offered with.
func (c *Controller) Configure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	} else if s.Here != c.set.Here || s.Pools != c.set.Pools || len(s.Classes) < len(c.set.Classes) {
		return errors.New("brookmux: Here, Pools and the places of Classes stay for good")
	}
	c.use(s)
	return nil
}

// exchange returns the exchange of a number, made when first heard of.
func (c *Controller) exchange(number int) *exchange {
	if e := c.byNumber[number]; e != nil {
		return e
	}
	e := &exchange{number: number, free: Absent, size: Absent, gate: 1, avoid: map[int]rest{},
		report: Report{Absent, Absent, Absent, Absent, Absent, Absent, Absent, Absent}}
	c.byNumber[number] = e
	c.exchanges = append(c.exchanges, e)
	slices.SortFunc(c.exchanges, func(a, b *exchange) int { return cmp.Compare(a.number, b.number) })
	return e
}

// start sets the first timer, once the clock is known.
func (c *Controller) start() {
	if !c.started {
		c.host.SetTimer(period, periodToken)
	}
	if !c.started && c.set.Ask {
		c.host.Follow()
	}
	c.started = true
}

// Members takes the list's word on switches.
func (c *Controller) Members(now time.Duration, m Members) {
	c.start()
	if m.Kind == Failed {
		c.host.SetTimer(askAgain+time.Duration(c.rng.Int64N(int64(askAgain))), followToken)
		return
	}
	if m.Kind != Delta {
		clear(c.machines)
	}
	for _, s := range m.Switches {
		c.exchange(s.Number)
		if c.machines[s.ID] = &s; s.State == Gone { // another will come under another ID
			delete(c.machines, s.ID)
		}
	}
	c.settle(now)
}

// settle chooses each exchange's switch: the ready one that started last.
func (c *Controller) settle(now time.Duration) {
	best := map[int]*Switch{}
	for _, x := range c.machines {
		if b := best[x.Number]; x.State == Ready &&
			(b == nil || x.Since > b.Since || x.Since == b.Since && x.ID > b.ID) {
			best[x.Number] = x
		}
	}
	for _, e := range c.exchanges {
		was := e.at
		e.at = best[e.number]
		if e.at != nil && (was == nil || was.ID != e.at.ID || was.Since != e.at.Since) {
			e.unanswered, e.restUntil = 0, 0
			e.report, e.reported = Report{Absent, Absent, Absent, Absent, Absent, Absent, Absent, Absent}, 0
		}
		e.gate = min(e.gate, c.coldShare(now, e))
	}
}

// warmth is the share of its work that an exchange's processor can do by now at least, 1 when warm.
func (c *Controller) warmth(now time.Duration, e *exchange) float64 {
	if e == nil || e.at == nil || e.at.Since <= 0 || now-e.at.Since >= c.set.WarmWithin {
		return 1
	}
	age := max(0, now-e.at.Since)
	return c.set.ColdFrom + (1-c.set.ColdFrom)*float64(age)/float64(c.set.WarmWithin)
}

// coldShare is the largest gate while an exchange's processor, or the own one, is cold: each controller sends
// its usual traffic times what it can do by now, so that all together stay within that, at one start or many.
func (c *Controller) coldShare(now time.Duration, e *exchange) float64 {
	share := min(c.warmth(now, e), c.warmth(now, c.self))
	if share == 1 || c.set.FallMultiple <= 0 {
		return share
	}
	return share * min(1, c.set.FallMultiple/fallSafe)
}

// known tells whether a reported figure can be used.
func known(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// learn takes a report's figures.
func (c *Controller) learn(now time.Duration, e *exchange, r Report, full bool) {
	if known(r.Size) {
		e.size = r.Size
	}
	if known(r.Free) {
		e.free = r.Free
	}
	if full && (known(r.Queue) || known(r.Util) || known(r.Wait) || known(r.Rate) || known(r.HoldBack)) {
		e.report, e.reported = r, now
	}
}

// Probed takes a probe's answer, or unasked word of changed circuits.
func (c *Controller) Probed(now time.Duration, p ProbeResult) {
	c.hear(now)
	x := c.machines[p.Switch]
	if x == nil || !p.OK {
		return
	}
	e := c.exchange(x.Number)
	c.learn(now, e, p.Report, !p.Unasked)
	c.serve(now, e)
}

// Timer takes one of the own timers.
func (c *Controller) Timer(now time.Duration, token uint64) {
	c.hear(now)
	switch {
	case token == periodToken:
		c.host.SetTimer(period/resets, periodToken)
		c.setGates(now)
	case token == followToken:
		c.host.Follow()
	default:
		if p := c.calls[CallID(token/2)]; p != nil && p.out == nil && !p.stands {
			if c.leave(p); p.gated {
				c.finish(p, c.set.MaxRetryAfter)
			} else {
				c.route(now, p)
			}
		}
	}
}

// hear notes how long nothing was heard before this batch of events: what it brings may be as old.
func (c *Controller) hear(now time.Duration) {
	if now > c.heard {
		c.gap, c.heard = now-c.heard, now
	}
}
