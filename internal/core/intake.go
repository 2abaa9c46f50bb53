package core

import (
	"time"

	"brookmux"
)

const (
	beside                = 512 // bytes that a request takes beside its description, about
	orphanReleaseInterval = 10 * time.Millisecond
	orphanReleaseBurst    = 256 // hang-ups of calls that nobody here knows, passed on at once
	causeRefused          = 111 // protocol error, unspecified
)

// Offer takes a request in: the first stage. It may wait while the queue is full, so that a caller that
// sends faster than calls can be decided is slowed by its own connection. Descriptions are held only as far as
// memory was set aside for them.
func (e *Engine) Offer(r Request) {
	size := int64(len(r.Description) + beside)
	if most := e.mostBytes.Load(); e.held.Add(size) > most && most > 0 {
		e.held.Add(-size)
		r.Description = nil
		e.post(func() {
			e.counts.Full++
			r.Caller.Refuse(r.Key, Verdict{Wait: e.Settings.Module.MaxRetryAfter, Cause: Congestion, Why: "no memory"})
		})
		return
	}
	e.post(func() {
		if !e.takeIn(r, size) {
			e.held.Add(-size)
		}
	})
}

// takeIn enters a request in the table, and tells whether it did.
func (e *Engine) takeIn(r Request, size int64) bool {
	if e.draining() {
		e.counts.Draining++
		r.Caller.Refuse(r.Key, Verdict{Wait: e.Settings.Module.MaxRetryAfter, Cause: Congestion, Why: "draining"})
		return false
	}
	if why := e.unfit(r); why != "" {
		e.counts.Unfit++
		r.Caller.Refuse(r.Key, Verdict{Failed: true, Bad: true, Cause: NotImplemented, Why: why})
		return false
	}
	if e.calls[r.Key] != nil || e.ended(r.Key) {
		// Whoever uses another call's id must not get that call's answer, nor take it from its caller. One that
		// is over stays over: what a core still says of it must not reach a later call.
		e.counts.Repeated++
		r.Caller.Refuse(r.Key, Verdict{Failed: true, Bad: true, Cause: causeRefused, Why: "id is in use"})
		return false
	}
	if !e.started {
		e.started = true
		if e.Took != nil {
			e.Took()
		}
	}
	e.lastID++
	if most := e.Settings.Module.Classes[e.classes[r.Class]].Deadline; r.Left <= 0 || most > 0 && r.Left > most {
		r.Left = most
	}
	c := &call{Request: r, id: e.lastID, at: e.now, expires: e.now + r.Left - answerEarly, size: size}
	e.calls[r.Key], e.byID[c.id] = c, c
	e.open++
	e.counts.Taken++
	c.deadline = e.in(c.expires-e.now+guardLate, func() { e.overdue(c) })
	if e.stormAdmits(c) {
		e.admit(c)
	}
	return true
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

// Withdraw takes a caller's word that it no longer waits for a set-up of its own. then runs, in the owner's
// goroutine, with whether the call was still owed an answer, and whether it is or was one that is known here.
func (e *Engine) Withdraw(who Caller, key string, then func(open, known bool)) {
	e.post(func() {
		c := e.calls[key]
		open := c != nil && !c.answered && c.Caller == who
		if open {
			e.counts.Withdrawn++
			e.leave(c)
		}
		then(open, c != nil && c.Caller == who || e.ended(key))
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

// Hangup takes a caller's release of a call that stands, or of a set-up of its own. One that this process does
// not know, as after a restart, is passed on to every core; then tells whether it was known.
func (e *Engine) Hangup(who Caller, key string, cause Cause, then func(known bool)) {
	e.post(func() {
		c := e.calls[key]
		known := c != nil || e.ended(key)
		switch {
		case c != nil && c.out != nil && c.out.stands:
			l := c.out
			e.Trunks.Release(l.to, key, cause)
			e.counts.HungUp++
			e.ctl.Ended(e.now, brookmux.Outcome{Call: c.id, Attempt: l.number, Switch: l.to,
				Result: brookmux.ResultCancelled, Took: e.now - l.at, Over: true, Report: noReport})
			e.close(c)
		case c != nil && c.Caller == who: // a BYE that overtook its CANCEL
			e.counts.Withdrawn++
			e.leave(c)
		case c != nil: // not the caller's own, and not yet a call
			known = false
		case !known && e.orphanReleaseAllowed(): // set up by an earlier process of this name
			e.Trunks.ReleaseAnywhere(key, cause)
		}
		then(known)
	})
}

// orphanReleaseAllowed tells whether one more hang-up of an unknown call may go to every core. Each is a message to all
// of them, and anyone can make up ids.
func (e *Engine) orphanReleaseAllowed() bool {
	e.orphanReleasedAt = max(e.orphanReleasedAt, e.now-orphanReleaseBurst*orphanReleaseInterval)
	if e.orphanReleasedAt+orphanReleaseInterval > e.now {
		return false
	}
	e.orphanReleasedAt += orphanReleaseInterval
	return true
}
