// Gates: admission control per destination.

package brookmux

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// worthCounter counts the offered calls of one worth.
type worthCounter struct {
	worth float64
	rateCounter
}

// updateGates recomputes the gates from the rates of the closed periods, then retries the queued calls.
func (c *Controller) updateGates(now time.Duration) {
	if c.gateUpdate == 0 {
		c.closePeriod(now)
	}
	c.gateUpdate = (c.gateUpdate + 1) % gateUpdatesPerPeriod
	budget := c.localBudget(now)
	if c.budgetSpent != (budget <= 0) {
		c.budgetSpent = budget <= 0
		c.host.Log(fmt.Sprintf("no processor budget left for local calls: %v", c.budgetSpent))
	}
	var limits []gateLimit
	for _, e := range c.exchanges {
		if rate := e.offered.rate(); e != c.local {
			limits = append(limits, gateLimit{e, rate, min(c.farGateLimit(now, e, rate), c.coldGate(now, e))})
		}
	}
	fillGates(budget/max(1e-6, c.workScale*outgoingWork[0]/1000), limits)
	for _, p := range slices.Clone(c.queue) {
		if p.gated {
			c.tryGate(now, p)
		} else if e := c.pickRoute(now, p); e != nil {
			c.send(now, p, e)
		}
	}
}

// gateLimit is a destination with its offered rate in calls per second and the largest gate that it permits.
type gateLimit struct {
	to          *exchange
	rate, limit float64
}

// fillGates distributes the budget, in calls per second: each gate is its limit or, if lower, a common value at
// which the budget is used up.
func fillGates(budget float64, limits []gateLimit) {
	unassigned := 0.0
	for _, l := range limits {
		unassigned += l.rate
	}
	slices.SortStableFunc(limits, func(a, b gateLimit) int { return cmp.Compare(a.limit, b.limit) })
	for _, l := range limits {
		l.to.gate = min(1, l.limit)
		if unassigned > 0 {
			l.to.gate = min(l.to.gate, max(0, budget)/unassigned)
		}
		budget -= l.to.gate * l.rate
		unassigned -= l.rate
	}
}

// currentWorth returns the worth of a call if its set-up is sent now. It is lower once the aim can't be met.
func (c *Controller) currentWorth(now time.Duration, p *pendingCall) float64 {
	worth := p.class.Worth
	if now > p.latestSend(c.exchange(p.Destination)) {
		worth *= p.class.LateWorth
	}
	return worth
}

// worthRank counts a call and returns its rank by worth among the calls offered recently, from 0 (highest worth)
// to 1. Calls of equal worth get random ranks. The call passes a gate above its rank.
func (c *Controller) worthRank(p *pendingCall) float64 {
	i := slices.IndexFunc(c.worthCounters, func(t worthCounter) bool { return t.worth == p.worth })
	if i < 0 {
		i = len(c.worthCounters)
		c.worthCounters = append(c.worthCounters, worthCounter{worth: p.worth})
	}
	c.worthCounters[i].current++
	above, same, all := 0.0, 0.0, 0.0
	for _, t := range c.worthCounters {
		n := t.rate()*ratePeriod.Seconds() + t.current
		all += n
		if t.worth > p.worth {
			above += n
		} else if t.worth == p.worth {
			same += n
		}
	}
	return (above + c.rng.Float64()*same) / all
}

// Offered processes a new call. A call with an unknown class or an ID that is in use is ignored.
func (c *Controller) Offered(now time.Duration, call Call) {
	c.noteEvent(now)
	c.start()
	if call.Class < 0 || call.Class >= len(c.settings.Classes) || c.calls[call.ID] != nil {
		return
	}
	p := &pendingCall{Call: call, class: c.settings.Classes[call.Class], firstTried: now}
	p.Width = max(1, p.Width)
	c.calls[call.ID] = p
	to := c.exchange(call.Destination)
	if call.Transit {
		to.transit.current++
		if p.transitFrom = c.exchangeByNumber[call.Via]; p.transitFrom != nil {
			p.transitFrom.circuitsInUse += p.Width
		}
		c.route(now, p)
		return
	}
	c.meanWidth += callWeight * (p.Width - c.meanWidth)
	if p.class.Hold > 0 {
		c.meanHold += time.Duration(callWeight * float64(p.class.Hold-c.meanHold))
	}
	// After a pause of this process a call has waited already: its age is how much less time it has to expiry than
	// other calls of its class had, and at most the length of the pause.
	left := p.Expires - now
	c.callerTimeout[call.Class] = max(c.callerTimeout[call.Class], left)
	p.firstTried -= min(c.eventGap, c.callerTimeout[call.Class]-left)
	c.matchRedial(now, p)
	p.worth = c.currentWorth(now, p)
	c.meanWorth += callWeight * (p.worth - c.meanWorth)
	c.tryGate(now, p)
}

// tryGate applies the destination's gate to a call. A call that doesn't pass is queued for the next gate update
// while it can still be set up in time: like a redial, but without the redial's processing and wait.
func (c *Controller) tryGate(now time.Duration, p *pendingCall) {
	to := c.exchange(p.Destination)
	to.offered.current++
	if p.gated = c.worthRank(p) >= to.gate; !p.gated {
		c.route(now, p)
	} else if !c.enqueue(now, p) {
		c.finish(p, c.settings.MaxRetryAfter)
	}
}
