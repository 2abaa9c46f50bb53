package core

import "brookmux"

// Offer takes a request in: the first stage. It may wait while the queue is full, so that a caller that
// sends faster than calls can be decided is slowed by its own connection.
func (e *Engine) Offer(r Request) { e.post(func() { e.takeIn(r) }) }

// takeIn enters a request in the table.
func (e *Engine) takeIn(r Request) {
	if c := e.calls[r.Key]; c != nil {
		// A set-up that crossed the close of its connection is sent again on a new one: it must not be
		// answered twice, nor on the old one.
		e.counts.Repeated++
		c.Caller = r.Caller
		return
	}
	if e.ended(r.Key) {
		e.counts.Repeated++
		return
	}
	if !e.started {
		e.started = true
		if e.Took != nil {
			e.Took()
		}
	}
	e.lastID++
	c := &call{Request: r, id: e.lastID, at: e.now, expires: e.now + r.Left - answerEarly}
	e.calls[r.Key], e.byID[c.id] = c, c
	e.open++
	e.counts.Taken++
	c.deadline = e.in(c.expires-e.now+guardLate, func() { e.overdue(c) })
	e.admit(c)
}

// overdue answers a call that the module left open past its deadline.
func (e *Engine) overdue(c *call) {
	if c.answered {
		return
	}
	e.guard("deadline", c)
	e.giveUp(c)
	e.ctl.Left(e.now, c.id)
	e.refuse(c, Verdict{Cause: TimerExpiry, Why: "deadline passed"})
}

// Withdraw takes word that the caller no longer waits for a set-up. then runs, in the owner's goroutine,
// with whether the call was still owed an answer.
func (e *Engine) Withdraw(key string, then func(open bool)) {
	e.post(func() {
		c := e.calls[key]
		open := c != nil && !c.answered
		if open {
			e.counts.Withdrawn++
			e.leave(c)
		}
		then(open)
	})
}

// CallerLost takes word that a caller's connection is over: set-ups open on it are withdrawn, calls that
// stand go on.
func (e *Engine) CallerLost(who Caller, keys []string) {
	e.post(func() {
		for _, k := range keys {
			if c := e.calls[k]; c != nil && !c.answered && c.Caller == who {
				e.counts.CallerLost++
				e.leave(c)
			}
		}
	})
}

// leave ends a call whose caller has gone: its attempt is called off, no answer is owed.
func (e *Engine) leave(c *call) {
	e.giveUp(c)
	e.ctl.Left(e.now, c.id)
	e.close(c)
}

// giveUp calls the open attempt off.
func (e *Engine) giveUp(c *call) {
	if l := c.out; l != nil {
		l.timeout.stop()
		e.Trunks.Release(l.to, c.Key, NormalClearing)
		c.out = nil
	}
}

// Hangup takes a caller's release of a call that stands. One that this process does not know, as after a
// restart, is passed on to every core; then tells whether it was known.
func (e *Engine) Hangup(key string, cause Cause, then func(known bool)) {
	e.post(func() {
		c := e.calls[key]
		switch {
		case c != nil && c.out != nil && c.out.stands:
			l := c.out
			e.Trunks.Release(l.to, key, cause)
			e.counts.HungUp++
			e.ctl.Ended(e.now, brookmux.Outcome{Call: c.id, Attempt: l.number, Switch: l.to,
				Result: brookmux.ResultCancelled, Took: e.now - l.at, Over: true, Report: noReport})
			e.close(c)
		case c != nil: // a BYE that overtook its CANCEL
			e.leave(c)
		case !e.ended(key): // set up by an earlier process of this name
			e.Trunks.ReleaseAnywhere(key, cause)
		}
		then(c != nil || e.ended(key))
	})
}
