// Budgets: how much work processors have left, from the calls offered and the reports that came.

package brookmux

import (
	"math"
	"slices"
	"time"
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
