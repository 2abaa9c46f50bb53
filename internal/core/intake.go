package core

import (
	"time"

	"brookmux"
)

const (
	requestOverhead       = 512                   // approximate bytes of a request without its description
	orphanReleaseInterval = 10 * time.Millisecond // mean interval of hang-ups of unknown calls that are passed on
	orphanReleaseBurst    = 256                   // hang-ups of unknown calls that may be passed on at once
	causeProtocolError    = 111                   // protocol error, unspecified
)

// Offer submits a request, the first stage. It blocks until the request is taken, so that a caller that sends faster
// than calls can be decided is slowed down on its own connection. A request that would exceed the memory limit is
// rejected, and its description is dropped at once.
func (e *Engine) Offer(r Request) {
	size := int64(len(r.Description) + r.Retained + requestOverhead)
	if limit := e.maxBytes.Load(); e.heldBytes.Add(size) > limit && limit > 0 {
		e.heldBytes.Add(-size)
		r.Description = nil
		e.postRequest(func() {
			e.counts.Full++
			r.Caller.Refuse(r.Key, Verdict{Wait: e.Settings.Module.MaxRetryAfter, Cause: Congestion, Detail: "no memory"})
		})
		return
	}
	e.postRequest(func() {
		if !e.accept(r, size) {
			e.heldBytes.Add(-size)
		}
	})
}

// accept adds a request to the call table and reports whether it did. Otherwise it has answered the caller.
func (e *Engine) accept(r Request, size int64) bool {
	if e.draining() {
		e.counts.Draining++
		r.Caller.Refuse(r.Key, Verdict{Wait: e.Settings.Module.MaxRetryAfter, Cause: Congestion, Detail: "draining"})
		return false
	}
	if reason := e.validateRequest(r); reason != "" {
		e.counts.Invalid++
		r.Caller.Refuse(r.Key, Verdict{Failed: true, Invalid: true, Cause: NotImplemented, Detail: reason})
		return false
	}
	if e.calls[r.Key] != nil || e.recentlyEnded(r.Key) {
		// A caller that uses the id of another call must neither receive that call's answer nor divert it. The id of a
		// recently ended call can't be used again: late messages of a core for that call must not reach a later one.
		e.counts.Repeated++
		r.Caller.Refuse(r.Key, Verdict{Failed: true, Invalid: true, Cause: causeProtocolError, Detail: "id is in use"})
		return false
	}
	if !e.firstRequestSeen {
		e.firstRequestSeen = true
		if e.OnFirstRequest != nil {
			e.OnFirstRequest()
		}
	}
	e.lastID++
	if maxRemaining := e.Settings.Module.Classes[e.classes[r.Class]].Deadline; r.Remaining <= 0 ||
		maxRemaining > 0 && r.Remaining > maxRemaining {
		r.Remaining = maxRemaining
	}
	c := &call{Request: r, id: e.lastID, at: e.now, expires: e.now + r.Remaining - answerMargin, size: size}
	e.calls[r.Key], e.byID[c.id] = c, c
	e.openCalls++
	e.counts.Taken++
	c.deadlineTimer = e.schedule(c.expires-e.now+deadlineGuardDelay, func() { e.answerOverdue(c) })
	if e.stormAdmits(c) {
		e.admit(c)
	}
	return true
}

// answerOverdue refuses a call that the module has not answered by its deadline.
func (e *Engine) answerOverdue(c *call) {
	if c.answered {
		return
	}
	e.recordGuard("deadline", c)
	e.releaseAttempt(c)
	e.ctl.CallEnded(e.now, c.id)
	e.refuse(c, Verdict{Cause: TimerExpiry, Detail: "deadline passed"})
}

// Withdraw cancels a set-up on behalf of its caller, which gets no final answer then. done runs in the owner's
// goroutine: pending is set if the call was still awaiting its answer, known if it is a call of this caller or has
// recently ended.
func (e *Engine) Withdraw(caller Caller, key string, done func(pending, known bool)) {
	e.post(func() {
		c := e.calls[key]
		pending := c != nil && !c.answered && c.Caller == caller
		if pending {
			e.counts.Withdrawn++
			e.abandon(c)
		}
		done(pending, c != nil && c.Caller == caller || e.recentlyEnded(key))
	})
}

// CallerLost handles the loss of a caller's connection: the open set-ups among keys are cancelled, calls that stand
// continue.
func (e *Engine) CallerLost(caller Caller, keys []string) {
	e.post(func() {
		for _, k := range keys {
			if c := e.calls[k]; c != nil && !c.answered && c.Caller == caller {
				e.counts.CallerLost++
				e.abandon(c)
			}
		}
	})
}

// abandon ends a call whose caller no longer waits: it releases the open attempt and removes the call without an
// answer.
func (e *Engine) abandon(c *call) {
	e.releaseAttempt(c)
	e.ctl.CallEnded(e.now, c.id)
	e.close(c)
}

// releaseAttempt cancels the open attempt of a call, if any, and releases it at its core.
func (e *Engine) releaseAttempt(c *call) {
	if a := c.current; a != nil {
		a.timeout.stop()
		e.Trunks.Release(a.to, c.Key, NormalClearing)
		c.current = nil
	}
}

// Hangup handles a caller's release of a call that stands or of its own open set-up. The release of a call unknown to
// this process, for example after a restart, is passed on to every core, within a rate limit. done runs in the owner's
// goroutine and receives whether the call was known; an open set-up of another caller counts as unknown.
func (e *Engine) Hangup(caller Caller, key string, cause Cause, done func(known bool)) {
	e.post(func() {
		c := e.calls[key]
		known := c != nil || e.recentlyEnded(key)
		switch {
		case c != nil && c.current != nil && c.current.stands:
			a := c.current
			e.Trunks.Release(a.to, key, cause)
			e.counts.HungUp++
			e.ctl.AttemptEnded(e.now, brookmux.Outcome{Call: c.id, Attempt: a.number, Switch: a.to,
				Result: brookmux.ResultCancelled, Elapsed: e.now - a.at, CallEnded: true, Report: noReport})
			e.close(c)
		case c != nil && c.Caller == caller: // a BYE that overtook the CANCEL
			e.counts.Withdrawn++
			e.abandon(c)
		case c != nil: // set up by another caller and not standing yet
			known = false
		case !known && e.orphanReleaseAllowed(): // may be set up by an earlier process of this controller
			e.Trunks.ReleaseAnywhere(key, cause)
		}
		done(known)
	})
}

// orphanReleaseAllowed reports whether one more hang-up of an unknown call may be passed on, and counts it against the
// rate limit. Each one costs a message to every core, and any caller can invent ids.
func (e *Engine) orphanReleaseAllowed() bool {
	e.orphanReleasedAt = max(e.orphanReleasedAt, e.now-orphanReleaseBurst*orphanReleaseInterval)
	if e.orphanReleasedAt+orphanReleaseInterval > e.now {
		return false
	}
	e.orphanReleasedAt += orphanReleaseInterval
	return true
}
