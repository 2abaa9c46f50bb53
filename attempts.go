// Attempts: set-ups under way, their ends, and the final answers.

package brookmux

import (
	"slices"
	"time"
)

// attempt is a set-up under way.
type attempt struct {
	at     time.Duration
	waits  bool // direct and not yet standing
	to     *exchange
	direct bool
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
