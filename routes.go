// Routes: route selection for attempts, and the queue of calls that wait for a circuit.

package brookmux

import (
	"math"
	"slices"
	"sort"
	"time"
)

// backOff is the time during which no call to a destination goes over a tandem that has rejected one. The duration
// is that of the last back-off.
type backOff struct{ until, duration time.Duration }

// reserve returns the number of circuits reserved for direct calls. It grows with the share of blocked calls.
func (e *exchange) reserve() float64 {
	return max(minReserve, math.Floor(e.blocking*maxReserveShare*max(0, e.size)))
}

// freeCircuits returns the number of free circuits of the group toward an exchange. While only the size of the group has
// been reported, the circuits that this controller does not use count as free.
func (e *exchange) freeCircuits() float64 {
	if !e.freeReported {
		return e.size - e.circuitsInUse
	}
	return e.free
}

// hasCapacity reports whether the group toward an exchange has circuits for a call of this width with spare
// circuits left. A group whose size is unknown counts as free.
func (e *exchange) hasCapacity(width, spare float64) bool {
	return e.size < 0 || e.freeCircuits()-spare >= width
}

// latestSend returns the latest time to send a set-up to an exchange so that the call stands within its aim. At
// most half the aim is allowed for the set-up delay.
func (p *pendingCall) latestSend(e *exchange) time.Duration {
	return p.firstTried + p.class.Aim - min(time.Duration(e.setUpDelay*float64(time.Millisecond)), p.class.Aim/2)
}

// expectedSetUpTime returns the likely duration of a set-up. A set-up that can't stand before its caller leaves
// would be wasted work.
func (c *Controller) expectedSetUpTime(now time.Duration, e *exchange) time.Duration {
	if excessWait, ok := c.excessWait(now, e); ok {
		return time.Duration((c.minDelay + excessWait) * float64(time.Millisecond))
	}
	return time.Duration((c.minDelay + c.localWait) * float64(time.Millisecond))
}

// enqueue queues a call that has no circuit or did not pass its gate, until it can no longer stand in time. It
// reports whether the call is queued. Calls in transit and calls to an exchange without a ready switch are not.
func (c *Controller) enqueue(now time.Duration, p *pendingCall) bool {
	to := c.exchange(p.Destination)
	until := min(p.latestSend(to), p.Expires-minSetUpTime)
	if p.Transit || until <= now || to.readySwitch == nil {
		return false
	}
	if !p.queued {
		p.queued = true
		i := sort.Search(len(c.queue), func(i int) bool { return c.queue[i].worth < p.worth })
		c.queue = slices.Insert(c.queue, i, p)
		c.host.SetTimer(until-now, uint64(p.ID)*2+1)
	}
	return true
}

// retryQueued sends the calls that wait for a circuit over an exchange whose circuits have changed, those of highest
// worth first.
func (c *Controller) retryQueued(now time.Duration, e *exchange) {
	for _, p := range slices.Clone(c.queue) {
		if !p.gated && (p.Destination == e.number && c.pickRoute(now, p) == e || c.usableTandem(now, p, e)) {
			c.send(now, p, e)
		}
	}
}

// dequeue removes a call from the queue.
func (c *Controller) dequeue(p *pendingCall) {
	if p.queued {
		p.queued = false
		first := sort.Search(len(c.queue), func(i int) bool { return c.queue[i].worth <= p.worth })
		if i := slices.Index(c.queue[first:], p); i >= 0 {
			c.queue = slices.Delete(c.queue, first+i, first+i+1)
		}
	}
}

// route sends a call's next attempt, waits for the end of its release wait, or queues it. It ends the call if no
// attempt is permitted or there is no route.
func (c *Controller) route(now time.Duration, p *pendingCall) {
	from := max(now, p.notBefore)
	if p.attempts >= c.settings.MaxAttempts || p.Expires-from < minSetUpTime ||
		!c.mayRepeat(from, p, p.firstRunOn) {
		c.finish(p, 0)
	} else if from > now {
		c.host.SetTimer(from-now, uint64(p.ID)*2+1)
	} else if e := c.pickRoute(now, p); e != nil {
		c.send(now, p, e)
	} else if !c.enqueue(now, p) {
		c.finish(p, 0)
	}
}

// mayRepeat reports whether a call may be sent to a switch, given the effect of an earlier attempt that may have
// run.
func (c *Controller) mayRepeat(now time.Duration, p *pendingCall, sw *Switch) bool {
	if !p.mayHaveRun || p.class.Effect == Safe || sw == nil || p.firstRunOn == nil {
		return !p.mayHaveRun || p.class.Effect == Safe
	}
	sameZone, sameExchange := sw.Zone == p.firstRunOn.Zone, sw.Number == p.firstRunOn.Number
	return p.class.Effect == Keyed && now-p.firstRunAt < p.class.Window &&
		(p.class.Group == ScopeAll || p.class.Group == ScopeZone && sameZone ||
			p.class.Group == ScopeCell && sameExchange)
}

// usable reports whether a call's set-up may be sent to an exchange now and can stand before its caller leaves.
func (c *Controller) usable(now time.Duration, p *pendingCall, e *exchange) bool {
	return e != c.local && e.readySwitch != nil && now >= e.backOffUntil && c.mayRepeat(now, p, e.readySwitch) &&
		!c.queueTooLong(now, p, e) && now+c.expectedSetUpTime(now, e) < p.Expires
}

// usableTandem reports whether an exchange can be a call's tandem now: it is warm, not backed off, and has free
// circuits beyond its reserve. The gates of tandem and destination apply, by a random draw.
func (c *Controller) usableTandem(now time.Duration, p *pendingCall, e *exchange) bool {
	to := c.exchange(p.Destination)
	servesClass := !c.settings.Pools || len(p.class.Pools) == 0 || slices.Contains(p.class.Pools, e.number)
	return e != to && !p.Transit && p.tandemAttempts < maxTandemAttempts && servesClass &&
		e.hasCapacity(p.Width, e.reserve()) && now >= e.tandemBackOff[to.number].until &&
		c.warmShare(now, e) >= 1 && now <= p.latestSend(to) && c.usable(now, p, e) &&
		(c.settings.Pools || c.usable(now, p, to)) && c.rng.Float64() < e.gate*to.gate
}

// pickRoute returns the exchange for a call's next set-up, or nil. The direct route takes precedence, then the
// advised tandem, then the tandem over which a call to the destination stood last, then a random usable tandem.
// The random choice is weighted by free circuits, since large groups lead to exchanges with many circuits. A call
// doesn't take direct circuits that a queued, wider call of higher worth waits for.
func (c *Controller) pickRoute(now time.Duration, p *pendingCall) *exchange {
	to := c.exchange(p.Destination)
	if c.usable(now, p, to) {
		spare := 0.0
		if p.Transit || now > p.latestSend(to) {
			spare = to.reserve()
		}
		available := to.hasCapacity(p.Width, spare) && !slices.ContainsFunc(c.queue, func(w *pendingCall) bool {
			return !w.gated && w.Destination == p.Destination && w.Width > p.Width && w.worth > p.worth
		})
		if !p.Transit && !p.queued {
			to.blocking *= 1 - blockingWeight
		}
		if available {
			return to
		} else if !p.Transit && !p.queued {
			to.blocking += blockingWeight
		}
	}
	for _, e := range []*exchange{c.exchangeByNumber[p.Via], to.lastTandem} {
		if e != nil && c.usableTandem(now, p, e) {
			return e
		}
	}
	chosen, sum := (*exchange)(nil), 0.0
	for _, e := range c.exchanges {
		if weight := max(1, e.freeCircuits()-e.reserve()); c.usableTandem(now, p, e) {
			if sum += weight; c.rng.Float64()*sum < weight {
				chosen = e
			}
		}
	}
	return chosen
}

// backOffPair backs off the trunk group between two exchanges, in both directions. The back-off doubles each time,
// up to maxPairBackOff.
func backOffPair(now time.Duration, a, b *exchange) {
	r := a.tandemBackOff[b.number]
	r.duration = min(max(unresponsiveAfter, 2*r.duration), maxPairBackOff)
	r.until = now + r.duration
	a.tandemBackOff[b.number], b.tandemBackOff[a.number] = r, r
	if b.lastTandem == a {
		b.lastTandem = nil
	}
}
