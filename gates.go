// Gates: which calls are admitted to a destination.

package brookmux

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// worthTally counts the calls offered of one worth.
type worthTally struct {
	worth float64
	tally
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
