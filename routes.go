// Routes: over which exchange an attempt goes, and what waits for a circuit.

package brookmux

import (
	"math"
	"slices"
	"time"
)

// rest is how long a tandem is left alone for a destination after it turned a call back.
type rest struct{ until, next time.Duration }

// reserve is how many circuits are kept for direct calls.
func (e *exchange) reserve() float64 {
	return max(reserveLeast, math.Floor(e.blocking*reserveMost*max(0, e.size)))
}

// room tells whether the group toward an exchange takes a call and leaves so many circuits, or was not told
// of.
func (e *exchange) room(width, spare float64) bool { return e.size < 0 || e.free-spare >= width }

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
