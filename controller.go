// The types, events and actions of this module stand together in api.go; all that decides stands here.

package brookmux

import (
	"cmp"
	"errors"
	"fmt"
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

// Work of a call in milliseconds: its first job, done if it is refused too (paper, table 1), and that of the
// period it starts and the next two (appendix A).
const lookWork = 50

var (
	outWork = [3]float64{141, 88, 21}
	inWork  = [3]float64{61, 68, 21}
)

// tally counts events of this period and of the last few.
type tally struct {
	now  float64
	past [spans]float64
	held int
}

// roll closes a period.
func (t *tally) roll() {
	copy(t.past[1:], t.past[:])
	t.past[0], t.now = t.now, 0
	t.held = min(t.held+1, spans)
}

// rate is the mean over the last periods, in events a second.
func (t *tally) rate() float64 {
	if t.held == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range t.past {
		sum += v
	}
	return sum / (float64(t.held) * period.Seconds())
}

// last is the rate of the last period.
func (t *tally) last() float64 { return t.past[0] / period.Seconds() }

// leftover is the work that calls of the last two periods still bring.
func (t *tally) leftover(work [3]float64) float64 {
	return (work[1]*t.past[0] + work[2]*t.past[1]) / 1000 / period.Seconds()
}

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

// rest is how long a tandem is left alone for a destination after it turned a call back.
type rest struct{ until, next time.Duration }

// attempt is a set-up under way.
type attempt struct {
	at     time.Duration
	waits  bool // direct and not yet standing
	to     *exchange
	direct bool
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

// worthTally counts the calls offered of one worth.
type worthTally struct {
	worth float64
	tally
}

// caller is what a call and its redials have in common.
type caller struct {
	number                uint64
	class, tenant, wanted int
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

// setGates sets the gates anew, with the rates of the periods that are over.
func (c *Controller) setGates(now time.Duration) {
	if c.turn == 0 {
		c.closePeriod(now)
	}
	c.turn = (c.turn + 1) % resets
	own := c.ownBudget(now)
	if c.spent != (own <= 0) {
		c.spent = own <= 0
		c.host.Log(fmt.Sprintf("no budget left for own calls: %v", c.spent))
	}
	var limits []limit
	for _, e := range c.exchanges {
		if rate := e.offered.rate(); e != c.self {
			limits = append(limits, limit{e, rate, min(c.farLimit(now, e, rate), c.coldShare(now, e))})
		}
	}
	fill(own/max(1e-6, c.scale*outWork[0]/1000), limits)
	for _, p := range slices.Clone(c.waiting) {
		if p.gated {
			c.enter(now, p)
		} else if e := c.pick(now, p); e != nil {
			c.send(now, p, e)
		}
	}
}

// closePeriod takes the rates of the period that ends.
func (c *Controller) closePeriod(now time.Duration) {
	for _, e := range c.exchanges {
		e.incoming.now = max(0, e.size-max(0, e.free)-e.ours) / c.width / c.length.Seconds() * period.Seconds()
		for _, t := range []*tally{&e.offered, &e.admitted, &e.incoming, &e.transit} {
			t.roll()
		}
		e.blocking *= blockFade
		if c.set.Probes && e.offered.past[0] > 0 && c.set.Reports != ReportsNone && e != c.self && e.at != nil {
			c.host.Probe(e.at.ID)
		}
	}
	c.looks.roll()
	for i := range c.worth {
		c.worth[i].roll()
	}
	c.forgetRedials(now)
	c.rescale(now)
}

// rescale sets the per-call work by the own processor's wait, which shows in the set-up delays to all
// destinations: in the least of them. With a line at both ends of a period the processor was always busy:
// what came is a period's work and what the line grew by. Until a line has shown, gates are open.
func (c *Controller) rescale(now time.Duration) {
	wait, bound := c.shortest, false
	for _, e := range c.exchanges {
		w, ok := c.wait(now, e)
		if now-e.stoodAt >= period { // a wait of before is no line: nothing may be under way any more
			w, ok = c.oldest(now, e)
		}
		if ok && math.IsInf(c.shortest, 1) {
			wait = min(wait, max(0, w))
		}
		bound = bound || e.gate < 1
	}
	if c.shortest = math.Inf(1); math.IsInf(wait, 1) {
		wait = 0
	}
	own, others := c.load((*tally).last)
	if line := c.target / linePart; min(wait, c.ownWait) > line && own+others > 0 {
		found := max(lineFall, 1+(wait-c.ownWait)/1000/period.Seconds()) / (own + others)
		if c.scale == 0 {
			c.scale = found
		}
		c.scale += scaleShare * (found - c.scale)
	} else if bound && wait < line {
		c.scale = min(c.scale*scaleDown, 1/max(1e-6, own+others)) // what came was done within the period
	}
	c.ownWait = wait
}

// wait is how long, in ms, set-ups toward an exchange wait beyond the least seen to any: by those that stood
// of late, or by the age of the oldest under way, which tells sooner.
func (c *Controller) wait(now time.Duration, e *exchange) (float64, bool) {
	w, ok := 0.0, e.delay > 0 && now-e.stoodAt < delayStale
	if ok {
		// A line that nothing new was seen of has been worked off meanwhile, or is about to be.
		w = (e.delay - c.least) * math.Exp2(-max(0, (now-e.stoodAt-delayFades).Seconds())/delayFades.Seconds())
	}
	if age, under := c.oldest(now, e); under && age > w {
		return age, true
	}
	return w, ok
}

// oldest is how long, in ms, the oldest direct set-up under way to an exchange waits beyond the least seen.
func (c *Controller) oldest(now time.Duration, e *exchange) (float64, bool) {
	// One that a later one has overtaken was lost: it tells nothing of a line.
	i := slices.IndexFunc(e.underWay, func(sent time.Duration) bool { return sent > e.answered })
	if i < 0 || c.least <= 0 {
		return 0, false
	}
	return float64((now-e.underWay[i])/time.Millisecond) - c.least, true
}

// pressed tells whether set-ups to an exchange wait longer than wanted, by the oldest under way. Gates tell
// later, and until then every set-up sent makes the line longer; now each answer lets the next one out. Calls
// worth more than most go on, and calls in transit, which have cost their work.
func (c *Controller) pressed(now time.Duration, p *pending, e *exchange) bool {
	age, ok := c.oldest(now, e)
	return ok && age > c.target && !p.Transit && p.worth < worthier*c.mean
}

// load is the work of own calls that start and of all others at the own processor, in the paper's figures.
func (c *Controller) load(rate func(*tally) float64) (own, others float64) {
	others = lookWork * rate(&c.looks) / 1000
	for _, e := range c.exchanges {
		own += rate(&e.admitted) * outWork[0] / 1000
		others += (rate(&e.transit)*outWork[0] + rate(&e.incoming)*inWork[0]) / 1000
		others += e.admitted.leftover(outWork) + e.incoming.leftover(inWork) + e.transit.leftover(outWork)
	}
	return own, others
}

// ownBudget is what the own processor has left for new calls of its subscribers (paper, 2.3, eq. 8).
func (c *Controller) ownBudget(now time.Duration) float64 {
	_, others := c.load((*tally).rate)
	return ceiling*c.warmth(now, c.self) - others*c.scale
}

// farLimit is the largest gate that a destination's processor allows (paper, 3.1, eq. 9).
func (c *Controller) farLimit(now time.Duration, e *exchange, offered float64) float64 {
	if offered <= 0 {
		return 1
	}
	if r := e.report; known(r.HoldBack) {
		age := max(0, (now - e.reported).Seconds())
		return max(0, min(1, 1-holdTwice*r.HoldBack*math.Exp2(-max(0, age-delayStale.Seconds()))))
	}
	ours := e.admitted.last()*inWork[0]/1000 + e.admitted.leftover(inWork)
	theirs := e.incoming.rate() * outWork[0] / 1000
	left := e.admitted.leftover(inWork) + e.incoming.leftover(outWork)
	back := max(0, c.farLoad(now, e)-(ours+theirs)*c.scale)
	budget := ceiling*c.warmth(now, e) - back - (theirs+left)*c.scale
	return max(0, min(1, budget/max(1e-6, c.scale*inWork[0]/1000*offered)))
}

// farLoad is a far processor's load from its report, else from another figure, else from own set-up delays.
func (c *Controller) farLoad(now time.Duration, e *exchange) float64 {
	wait := 0.0
	fresh := now-e.reported < delayStale
	switch {
	case fresh && known(e.report.Util):
		return e.report.Util
	case fresh && known(e.report.Wait):
		wait = e.report.Wait
	case fresh && known(e.report.Queue) && known(e.report.Rate):
		wait = 1000 * e.report.Queue / max(1, e.report.Rate)
	default:
		wait, _ = c.wait(now, e)
	}
	return ceiling * wait / c.target
}

// limit is a destination with its offered rate and the largest gate that its processor allows.
type limit struct {
	to         *exchange
	rate, most float64
}

// fill raises one common gate until the budget, in calls a second, is spent, each under its own limit.
func fill(budget float64, limits []limit) {
	open := 0.0
	for _, l := range limits {
		open += l.rate
	}
	slices.SortStableFunc(limits, func(a, b limit) int { return cmp.Compare(a.most, b.most) })
	for _, l := range limits {
		l.to.gate = min(1, l.most)
		if open > 0 {
			l.to.gate = min(l.to.gate, max(0, budget)/open)
		}
		budget -= l.to.gate * l.rate
		open -= l.rate
	}
}

// reserve is how many circuits are kept for direct calls.
func (e *exchange) reserve() float64 {
	return max(reserveLeast, math.Floor(e.blocking*reserveMost*max(0, e.size)))
}

// room tells whether the group toward an exchange takes a call and leaves so many circuits, or was not told
// of.
func (e *exchange) room(width, spare float64) bool { return e.size < 0 || e.free-spare >= width }

// value is what a call is worth if it stands: less when late.
func (c *Controller) value(now time.Duration, p *pending) float64 {
	worth := p.class.Worth
	if now > p.latest(c.exchange(p.Destination)) {
		worth *= p.class.LateWorth
	}
	return worth
}

// place is where a call stands among those offered, by worth: 0 first, 1 last. It passes a gate above that.
func (c *Controller) place(p *pending) float64 {
	i := slices.IndexFunc(c.worth, func(t worthTally) bool { return t.worth == p.worth })
	if i < 0 {
		i = len(c.worth)
		c.worth = append(c.worth, worthTally{worth: p.worth})
	}
	c.worth[i].now++
	above, same, all := 0.0, 0.0, 0.0
	for _, t := range c.worth {
		n := t.rate()*period.Seconds() + t.now
		all += n
		if t.worth > p.worth {
			above += n
		} else if t.worth == p.worth {
			same += n
		}
	}
	return (above + c.rng.Float64()*same) / all
}

// Offered takes a new call.
func (c *Controller) Offered(now time.Duration, k Call) {
	c.hear(now)
	c.start()
	if k.Class < 0 || k.Class >= len(c.set.Classes) || c.calls[k.ID] != nil {
		return
	}
	p := &pending{Call: k, class: c.set.Classes[k.Class], first: now}
	p.Width = max(1, p.Width)
	c.calls[k.ID] = p
	to := c.exchange(k.Destination)
	if k.Transit {
		to.transit.now++
		if p.from = c.byNumber[k.Via]; p.from != nil {
			p.from.ours += p.Width
		}
		c.route(now, p)
		return
	}
	c.width += mixShare * (p.Width - c.width)
	if p.class.Hold > 0 {
		c.length += time.Duration(mixShare * float64(p.class.Hold-c.length))
	}
	// After an own standstill a call is as old as its caller's patience has shrunk, the standstill at most.
	left := p.Expires - now
	c.patience[k.Class] = max(c.patience[k.Class], left)
	p.first -= min(c.gap, c.patience[k.Class]-left)
	c.recognise(now, p)
	p.worth = c.value(now, p)
	c.mean += mixShare * (p.worth - c.mean)
	c.enter(now, p)
}

// enter puts a call before its destination's gate. One that does not pass tries again next period, while it
// can stand in time: as a redial would, but without its work and wait.
func (c *Controller) enter(now time.Duration, p *pending) {
	to := c.exchange(p.Destination)
	to.offered.now++
	if p.gated = c.place(p) >= to.gate; !p.gated {
		c.route(now, p)
	} else if !c.hold(now, p) {
		c.finish(p, c.set.MaxRetryAfter)
	}
}

// recognise finds out whether a call is a redial: its number was called and left unserved, once for each
// redial.
func (c *Controller) recognise(now time.Duration, p *pending) {
	k := caller{p.Number, p.Call.Class, p.Tenant, p.Destination}
	if tries := c.redials[k]; p.Number != 0 && len(tries) > 0 {
		if now-tries[0] < p.class.Deadline {
			p.first = tries[0]
		}
		if c.redials[k] = tries[1:]; len(tries) == 1 {
			delete(c.redials, k)
		}
	}
}

// forgetRedials drops what no caller can come back to.
func (c *Controller) forgetRedials(now time.Duration) {
	for k, tries := range c.redials {
		if now-tries[len(tries)-1] >= c.set.Classes[k.class].Deadline {
			delete(c.redials, k)
		}
	}
}

// unserved remembers a call that its caller may dial again.
func (c *Controller) unserved(p *pending) {
	k := caller{p.Number, p.Call.Class, p.Tenant, p.Destination}
	if !p.Transit && !p.stands && p.Number != 0 && len(c.redials) < mostRedials {
		c.redials[k] = append(c.redials[k], p.first)
	}
}

// latest is when a set-up to an exchange must be sent to stand within the call's aim; it takes half at most.
func (p *pending) latest(e *exchange) time.Duration {
	return p.first + p.class.Aim - min(time.Duration(e.delay*float64(time.Millisecond)), p.class.Aim/2)
}

// expected is how long a set-up is likely to take: one that can't stand before its caller leaves is lost
// work.
func (c *Controller) expected(now time.Duration, e *exchange) time.Duration {
	if wait, ok := c.wait(now, e); ok {
		return time.Duration((c.least + wait) * float64(time.Millisecond))
	}
	return time.Duration((c.least + c.ownWait) * float64(time.Millisecond))
}

// hold keeps a call that found no circuit while it can still stand in time.
func (c *Controller) hold(now time.Duration, p *pending) bool {
	to := c.exchange(p.Destination)
	until := min(p.latest(to), p.Expires-leastSetUp)
	if p.Transit || until <= now || to.at == nil {
		return false
	}
	if !p.waits {
		p.waits = true
		i := 0
		for i < len(c.waiting) && c.waiting[i].worth >= p.worth {
			i++
		}
		c.waiting = slices.Insert(c.waiting, i, p)
		c.host.SetTimer(until-now, uint64(p.ID)*2+1)
	}
	return true
}

// serve tries the waiting calls again, the worthiest first, once circuits toward an exchange have come free.
func (c *Controller) serve(now time.Duration, e *exchange) {
	for _, p := range slices.Clone(c.waiting) {
		if !p.gated && (p.Destination == e.number && c.pick(now, p) == e || c.fits(now, p, e)) {
			c.send(now, p, e)
		}
	}
}

// leave takes a call out of the waiting line.
func (c *Controller) leave(p *pending) {
	if p.waits {
		p.waits = false
		c.waiting = slices.DeleteFunc(c.waiting, func(x *pending) bool { return x == p })
	}
}

// route sends a call on, or ends it where no route is left.
func (c *Controller) route(now time.Duration, p *pending) {
	from := max(now, p.notUntil)
	if p.sends >= c.set.MaxAttempts || p.Expires-from < leastSetUp || !c.repeats(from, p, p.ranOn) {
		c.finish(p, 0)
	} else if from > now {
		c.host.SetTimer(from-now, uint64(p.ID)*2+1)
	} else if e := c.pick(now, p); e != nil {
		c.send(now, p, e)
	} else if !c.hold(now, p) {
		c.finish(p, 0)
	}
}

// repeats tells whether a switch may get a call again after a set-up that may have run.
func (c *Controller) repeats(now time.Duration, p *pending, m *Switch) bool {
	if !p.ran || p.class.Effect == Safe || m == nil || p.ranOn == nil {
		return !p.ran || p.class.Effect == Safe
	}
	zone, cell := m.Zone == p.ranOn.Zone, m.Number == p.ranOn.Number
	return p.class.Effect == Keyed && now-p.ranAt < p.class.Window &&
		(p.class.Group == ScopeAll || p.class.Group == ScopeZone && zone || p.class.Group == ScopeCell && cell)
}

// usable tells whether a set-up of a call may go to an exchange now, and can stand before its caller leaves.
func (c *Controller) usable(now time.Duration, p *pending, e *exchange) bool {
	return e != c.self && e.at != nil && now >= e.restUntil && c.repeats(now, p, e.at) &&
		!c.pressed(now, p, e) && now+c.expected(now, e) < p.Expires
}

// fits tells whether an exchange can be a call's tandem now: warm, rested, with room beyond the reserve.
func (c *Controller) fits(now time.Duration, p *pending, e *exchange) bool {
	to := c.exchange(p.Destination)
	skilled := !c.set.Pools || len(p.class.Pools) == 0 || slices.Contains(p.class.Pools, e.number)
	return e != to && !p.Transit && p.tandems < tandemTries && skilled && e.room(p.Width, e.reserve()) &&
		now >= e.avoid[to.number].until && c.warmth(now, e) >= 1 && now <= p.latest(to) && c.usable(now, p, e) &&
		(c.set.Pools || c.usable(now, p, to)) && c.rng.Float64() < e.gate*to.gate
}

// pick chooses the route: direct first, else a tandem that fits: the one a centre advises, the one over which
// a call stood last, or a random one by room, since large groups lead to exchanges with many. Circuits gather
// for a waiting wider call of more worth.
func (c *Controller) pick(now time.Duration, p *pending) *exchange {
	to := c.exchange(p.Destination)
	if c.usable(now, p, to) {
		spare := 0.0
		if p.Transit || now > p.latest(to) {
			spare = to.reserve()
		}
		ok := to.room(p.Width, spare) && !slices.ContainsFunc(c.waiting, func(w *pending) bool {
			return !w.gated && w.Destination == p.Destination && w.Width > p.Width && w.worth > p.worth
		})
		if !p.Transit && !p.waits {
			to.blocking *= 1 - blockShare
		}
		if ok {
			return to
		} else if !p.Transit && !p.waits {
			to.blocking += blockShare
		}
	}
	for _, e := range []*exchange{c.byNumber[p.Via], to.proven} {
		if e != nil && c.fits(now, p, e) {
			return e
		}
	}
	chosen, sum := (*exchange)(nil), 0.0
	for _, e := range c.exchanges {
		if weight := max(1, e.free-e.reserve()); c.fits(now, p, e) {
			if sum += weight; c.rng.Float64()*sum < weight {
				chosen = e
			}
		}
	}
	return chosen
}

// send starts an attempt.
func (c *Controller) send(now time.Duration, p *pending, e *exchange) {
	c.leave(p)
	to := c.exchange(p.Destination)
	if !p.Transit && p.sends == 0 {
		to.admitted.now++
	}
	timeout := p.Expires - now
	if left := p.first + p.class.Aim - c.set.ReleaseWait - c.bound - now; now < c.lossy && left > c.bound &&
		e.unanswered == 0 && p.class.Effect != Once && p.sends+1 < c.set.MaxAttempts {
		timeout = min(timeout, left) // were the answer lost, there would be time for a further set-up
	}
	if e.unanswered++; e.unanswered == 1 {
		e.silentFrom = now
	} else if e.unanswered > silentSends && now-e.silentFrom > silentAfter {
		e.restUntil = now + silentAfter // it takes set-ups and answers none: one a while tells when it is back
	}
	e.free -= p.Width
	p.sends++
	p.out = &attempt{to: e, at: now, direct: e == to, waits: e == to}
	if e == to {
		e.underWay = append(e.underWay, now)
	} else {
		p.tandems++
	}
	if !p.ran {
		p.ranAt, p.ranOn = now, e.at
	}
	e.ours += p.Width
	c.host.Send(p.ID, e.at.ID, timeout)
}

// Stands takes word that a call stands.
func (c *Controller) Stands(now time.Duration, s Stands) {
	c.hear(now)
	p := c.calls[s.Call]
	if p == nil || p.out == nil || s.Attempt != p.sends-1 {
		return
	}
	e, to := p.out.to, c.exchange(p.Destination)
	p.out.settle()
	e.unanswered, to.unanswered, p.stands = 0, 0, true
	if p.out.direct {
		e.restUntil = 0 // it takes calls again: a rest after silence or a full line has done its work
	} else {
		delete(e.avoid, to.number)
		delete(to.avoid, e.number)
		to.proven = e
	}
	c.bound += time.Duration(delayShare * (boundOver*float64(s.Took) - float64(c.bound)))
	if took := float64(s.Took) / float64(time.Millisecond); p.out.direct && took > 0 {
		e.answered = max(e.answered, p.out.at)
		if c.least == 0 || took < c.least {
			c.least = took
		}
		c.shortest = min(c.shortest, took-c.least)
		e.delay += max(delayShare, min(1, (now-e.stoodAt).Seconds())) * (took - e.delay)
		e.stoodAt = now
	}
}

// Ended takes the end of an attempt.
func (c *Controller) Ended(now time.Duration, o Outcome) {
	c.hear(now)
	if x := c.machines[o.Switch]; x != nil {
		c.learn(now, c.exchange(x.Number), o.Report, true)
	}
	p := c.calls[o.Call]
	if p == nil || p.out == nil || o.Attempt != p.sends-1 {
		return
	}
	a := p.out
	c.release(p)
	c.judge(now, p, a, o)
	if o.Over || o.Result == ResultOK {
		c.unserved(p) // where it is over and its answer was never heard
		c.drop(p)
		return
	}
	switch p.ran = p.ran || o.Result == ResultError; o.Result {
	case ResultTimeout, ResultReset, ResultCancelled:
		p.ran, p.notUntil = true, now+c.set.ReleaseWait
	}
	p.stands = false
	c.route(now, p)
}

// judge draws from an outcome what it tells of the exchanges on the way.
func (c *Controller) judge(now time.Duration, p *pending, a *attempt, o Outcome) {
	e, to := a.to, c.exchange(p.Destination)
	switch o.Result {
	case ResultConnectFailed:
		e.unanswered = max(e.unanswered, silentSends)
		e.silentFrom = min(e.silentFrom, now-silentAfter-1)
	case ResultFull:
		if !a.direct {
			shun(now, e, to)
		}
		if e.unanswered = 0; o.Reason == ReasonProcessorFull {
			e.restUntil = now + max(silentAfter, o.Wait)
		} else if o.Reason == ReasonFarFull {
			to.restUntil = now + silentAfter
		}
	case ResultMoot:
		if o.Reason == ReasonProcessorFull { // nothing leaves here: calls wait rather than use up their attempts
			for _, x := range c.exchanges {
				x.restUntil = max(x.restUntil, now+time.Duration(c.target*float64(time.Millisecond)))
			}
		} else if o.Reason != ReasonHeldBack && !known(o.Report.Free) {
			e.free = 0
		}
		e.unanswered = max(0, e.unanswered-1)
	case ResultOK, ResultError:
		e.unanswered = 0
	case ResultTimeout:
		if a.direct && a.at < e.answered { // a processor takes set-ups in turn: this answer was lost
			c.lossy = now + spans*period
		}
	}
}

// shun leaves the group between two exchanges alone.
func shun(now time.Duration, a, b *exchange) {
	r := a.avoid[b.number]
	r.next = min(max(silentAfter, 2*r.next), pairRestMost)
	r.until = now + r.next
	a.avoid[b.number], b.avoid[a.number] = r, r
	if b.proven == a {
		b.proven = nil
	}
}

// settle takes a direct set-up off those under way.
func (a *attempt) settle() {
	if i := slices.Index(a.to.underWay, a.at); a.waits && i >= 0 {
		a.to.underWay = slices.Delete(a.to.underWay, i, i+1)
	}
	a.waits = false
}

// Left takes word that the caller has gone, or that the call was ended otherwise.
func (c *Controller) Left(now time.Duration, id CallID) {
	if p := c.calls[id]; p != nil {
		c.unserved(p)
		c.drop(p)
	}
}

// drop forgets a call and the circuits counted for it.
func (c *Controller) drop(p *pending) {
	delete(c.calls, p.ID)
	c.leave(p)
	if c.release(p); p.from != nil {
		p.from.ours -= p.Width
	}
}

// release takes back the circuits counted for an attempt that is over.
func (c *Controller) release(p *pending) {
	if p.out != nil {
		p.out.settle()
		p.out.to.ours -= p.Width
		p.out = nil
	}
}

// finish gives the final answer: turned away, or given up where a set-up may have run and its class forbids
// that.
func (c *Controller) finish(p *pending, wait time.Duration) {
	c.drop(p)
	if c.unserved(p); p.sends == 0 {
		c.looks.now++
	}
	if !c.set.RetryAfter {
		wait = 0
	}
	if p.ran && (p.class.Effect == Once || p.class.Effect == Keyed && p.class.Group != ScopeAll) {
		c.host.Fail(p.ID)
	} else {
		c.host.Refuse(p.ID, wait)
	}
}
