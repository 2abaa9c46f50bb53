// Attempts: sending set-ups, processing their outcomes, and the final answers to calls.

package brookmux

import (
	"slices"
	"time"
)

// attempt is a set-up that has been sent. If it is answered, the attempt lasts as long as its call stands.
type attempt struct {
	sentAt   time.Duration
	awaiting bool // direct, and the call does not stand yet
	to       *exchange
	direct   bool // to is the destination, not a tandem
}

// send starts an attempt over an exchange and counts its circuits. An exchange that has left several set-ups
// unanswered for unresponsiveAfter is backed off.
func (c *Controller) send(now time.Duration, p *pendingCall, e *exchange) {
	c.dequeue(p)
	to := c.exchange(p.Destination)
	if !p.Transit && p.attempts == 0 {
		to.admitted.current++
	}
	timeout := p.Expires - now
	if left := p.firstTried + p.class.Aim - c.settings.ReleaseWait - c.setUpBound - now; now < c.lossyUntil &&
		left > c.setUpBound && e.unanswered == 0 && p.class.Effect != Once && p.attempts+1 < c.settings.MaxAttempts {
		timeout = min(timeout, left) // leaves time for another set-up if the answer is lost
	}
	if e.unanswered++; e.unanswered == 1 {
		e.unansweredSince = now
	} else if e.unanswered > maxUnanswered && now-e.unansweredSince > unresponsiveAfter {
		e.backOffUntil = now + unresponsiveAfter // one set-up per back-off tests whether it answers again
	}
	e.free -= p.Width
	p.attempts++
	p.active = &attempt{to: e, sentAt: now, direct: e == to, awaiting: e == to}
	if e == to {
		e.outstanding = append(e.outstanding, now)
	} else {
		p.tandemAttempts++
	}
	if !p.mayHaveRun {
		p.firstRunAt, p.firstRunOn = now, e.readySwitch
	}
	e.circuitsInUse += p.Width
	c.host.Send(p.ID, e.readySwitch.ID, timeout)
}

// Answered processes the set-up of a call. One of an unknown call or an earlier attempt is ignored.
func (c *Controller) Answered(now time.Duration, s Answer) {
	c.noteEvent(now)
	p := c.calls[s.Call]
	if p == nil || p.active == nil || s.Attempt != p.attempts-1 {
		return
	}
	e, to := p.active.to, c.exchange(p.Destination)
	p.active.clearOutstanding()
	e.unanswered, to.unanswered, p.stands = 0, 0, true
	if p.active.direct {
		e.backOffUntil = 0 // it sets up calls again, so its back-off is over
	} else {
		delete(e.tandemBackOff, to.number)
		delete(to.tandemBackOff, e.number)
		to.lastTandem = e
	}
	c.setUpBound += time.Duration(delayWeight * (setUpBoundFactor*float64(s.Elapsed) - float64(c.setUpBound)))
	if took := float64(s.Elapsed) / float64(time.Millisecond); p.active.direct && took > 0 {
		e.lastAnsweredSend = max(e.lastAnsweredSend, p.active.sentAt)
		if c.minDelay == 0 || took < c.minDelay {
			c.minDelay = took
		}
		c.minPeriodWait = min(c.minPeriodWait, took-c.minDelay)
		e.setUpDelay += max(delayWeight, min(1, (now-e.lastStoodAt).Seconds())) * (took - e.setUpDelay)
		e.lastStoodAt = now
	}
}

// AttemptEnded processes the end of an attempt: it ends the call or routes it again. The report in the outcome is used
// even if the call is unknown.
func (c *Controller) AttemptEnded(now time.Duration, o Outcome) {
	c.noteEvent(now)
	if sw := c.switches[o.Switch]; sw != nil {
		c.applyReport(now, c.exchange(sw.Number), o.Report, true)
	}
	p := c.calls[o.Call]
	if p == nil || p.active == nil || o.Attempt != p.attempts-1 {
		return
	}
	a := p.active
	c.releaseCircuits(p)
	c.applyOutcome(now, p, a, o)
	if o.CallEnded || o.Result == ResultOK {
		c.recordUnserved(p) // for a call that is over and whose answer was not received
		c.drop(p)
		return
	}
	switch p.mayHaveRun = p.mayHaveRun || o.Result == ResultError; o.Result {
	case ResultTimeout, ResultReset, ResultCancelled:
		p.mayHaveRun, p.notBefore = true, now+c.settings.ReleaseWait
	}
	p.stands = false
	c.route(now, p)
}

// applyOutcome updates the exchanges of an attempt's route from its outcome.
func (c *Controller) applyOutcome(now time.Duration, p *pendingCall, a *attempt, o Outcome) {
	e, to := a.to, c.exchange(p.Destination)
	switch o.Result {
	case ResultConnectFailed:
		e.unanswered = max(e.unanswered, maxUnanswered)
		e.unansweredSince = min(e.unansweredSince, now-unresponsiveAfter-1)
	case ResultFull:
		if !a.direct {
			backOffPair(now, e, to)
		}
		if e.unanswered = 0; o.Reason == ReasonProcessorFull {
			e.backOffUntil = now + max(unresponsiveAfter, o.Wait)
		} else if o.Reason == ReasonDestinationFull {
			to.backOffUntil = now + unresponsiveAfter
		}
	case ResultMoot:
		if o.Reason == ReasonProcessorFull { // no set-up can be sent: calls wait and keep their attempts
			for _, other := range c.exchanges {
				other.backOffUntil = max(other.backOffUntil, now+time.Duration(c.targetWait*float64(time.Millisecond)))
			}
		} else if o.Reason != ReasonNotSent && !known(o.Report.Free) {
			e.free, e.freeReported = 0, true
		}
		e.unanswered = max(0, e.unanswered-1)
	case ResultOK, ResultError:
		e.unanswered = 0
	case ResultTimeout:
		if a.direct && a.sentAt < e.lastAnsweredSend { // processors serve set-ups in order, so this answer was lost
			c.lossyUntil = now + averagedPeriods*ratePeriod
		}
	}
}

// clearOutstanding removes a direct set-up from the outstanding ones of its exchange.
func (a *attempt) clearOutstanding() {
	if i := slices.Index(a.to.outstanding, a.sentAt); a.awaiting && i >= 0 {
		a.to.outstanding = slices.Delete(a.to.outstanding, i, i+1)
	}
	a.awaiting = false
}

// CallEnded processes the end of a call by other means than an Outcome: its caller has left, or the host has ended or
// answered it. The Controller gives it no further answer.
func (c *Controller) CallEnded(now time.Duration, id CallID) {
	if p := c.calls[id]; p != nil {
		c.recordUnserved(p)
		c.drop(p)
	}
}

// drop removes a call from the table and releases the circuits counted for it.
func (c *Controller) drop(p *pendingCall) {
	delete(c.calls, p.ID)
	c.dequeue(p)
	if c.releaseCircuits(p); p.transitFrom != nil {
		p.transitFrom.circuitsInUse -= p.Width
	}
}

// releaseCircuits ends the current attempt, if any, and releases the circuits counted for it.
func (c *Controller) releaseCircuits(p *pendingCall) {
	if p.active != nil {
		p.active.clearOutstanding()
		p.active.to.circuitsInUse -= p.Width
		p.active = nil
	}
}

// finish gives a call its final answer. It rejects the call with the wait as retry advice, or fails it where an
// attempt may have run and a redial could reach a switch that doesn't recognise the repeat.
func (c *Controller) finish(p *pendingCall, wait time.Duration) {
	c.drop(p)
	if c.recordUnserved(p); p.attempts == 0 {
		c.rejectedUnsent.current++
	}
	if !c.settings.RetryAfter {
		wait = 0
	}
	if p.mayHaveRun && (p.class.Effect == Once || p.class.Effect == Keyed && p.class.Group != ScopeAll) {
		c.host.Fail(p.ID)
	} else {
		c.host.Refuse(p.ID, wait)
	}
}
