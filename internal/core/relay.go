package core

import (
	"slices"
	"time"

	"brookmux"
)

// ownTime is how close to the end of a set-up's time its core may find that this is over.
const ownTime = 50 * time.Millisecond

// Answered takes a core's word that a call stands, with its description, and relays it.
func (e *Engine) Answered(from brookmux.SwitchID, key string, description []byte, r brookmux.Report) {
	e.post(func() {
		from = e.present(from)
		e.learn(from, r, false)
		c := e.calls[key]
		if !c.has(from) || c.out.stands {
			// It crossed the caller's CANCEL or the time-out: the core has been or is told to let go.
			e.counts.LateAnswers++
			return
		}
		l := c.out
		l.timeout.stop()
		l.stands = true
		e.answer(c)
		c.Caller.Stands(key, description)
		e.debug("stands", c, l, r)
		e.ctl.Stands(e.now, brookmux.Stands{Call: c.id, Attempt: l.number, Took: e.now - l.at})
	})
}

// Ended takes a core's end of an attempt or of a call that stood.
func (e *Engine) Ended(from brookmux.SwitchID, key string, o Outcome) {
	e.post(func() {
		from = e.present(from)
		c := e.calls[key]
		switch {
		case c.has(from) && !o.Elsewhere:
			e.finishAttempt(c, o)
		case c.endedUnresolved(from, o):
			e.learn(from, o.Report, false)
			e.giveUp(c)
			e.ctl.Left(e.now, c.id)
			e.answerUnresolved(c)
		case c == nil && !e.ended(key) && e.ReleaseOrphan != nil:
			// Set up by an earlier process of this name: its caller still has to hear that it is over.
			e.counts.Orphans++
			e.ReleaseOrphan(key, o.Cause)
			e.remember(key)
			e.learn(from, o.Report, false)
		default:
			if o.Elsewhere {
				e.ignored(from, key, "release of a set-up of another connection")
			}
			e.learn(from, o.Report, false)
		}
	})
}

// Lost takes word that what was open at a core is lost: set-ups on a connection that is over, or, with Cut,
// calls that stood on a core that has died. An empty list of keys means every call there.
func (e *Engine) Lost(at brookmux.SwitchID, keys []string, l Loss) {
	e.post(func() {
		at = e.present(at)
		if keys == nil {
			for k, c := range e.calls {
				if c.has(at) {
					keys = append(keys, k)
				}
			}
			slices.Sort(keys) // the same events give the same decisions
		}
		for _, k := range keys {
			if c := e.calls[k]; c.has(at) && (l.Cut || !c.out.stands) && (l.Before <= 0 || c.out.at < l.Before) {
				if l.Unsure && c.out.stands {
					e.Trunks.Release(at, k, l.Outcome.Cause)
				}
				if !c.out.stands && !l.Cut && l.Outcome.Result == brookmux.ResultReset {
					c.unresolvedAt = append(c.unresolvedAt, at)
					e.Trunks.Release(at, k, NormalClearing) // it may stand there, its answer unheard
				}
				e.finishAttempt(c, l.Outcome)
			}
		}
	})
}

// Moved takes word that what is open under one id is at the core of another: it had taken the address before it was
// listed. What is still said under the former id is the latter's.
func (e *Engine) Moved(from, to brookmux.SwitchID) {
	e.post(func() {
		if len(e.moved) >= mostMoved {
			clear(e.moved) // they are of use for a moment only
		}
		e.moved[from] = to
		for _, c := range e.calls {
			if c.has(from) {
				c.out.to = to
			}
		}
	})
}

// present is the id under which a core is listed now.
func (e *Engine) present(id brookmux.SwitchID) brookmux.SwitchID {
	if to, ok := e.moved[id]; ok {
		return to
	}
	return id
}

// Ignored counts what a core sent beside what it owes: a second copy, or an answer that nobody asked for.
func (e *Engine) Ignored(from brookmux.SwitchID, key, what string) {
	e.post(func() { e.ignored(from, key, what) })
}

// ignored is Ignored in the owner's goroutine.
func (e *Engine) ignored(from brookmux.SwitchID, key, what string) {
	e.counts.Ignored++
	e.Config.Log.Debug("ignored", "core", from, "call", key, "what", what)
}

// finishAttempt ends a call's open attempt and tells the module, which may send again or give the final answer.
func (e *Engine) finishAttempt(c *call, o Outcome) {
	l := c.out
	unresolved := o.Result == brookmux.ResultOK && !l.stands
	if unresolved && l.timeout.at-e.now <= ownTime {
		// A core that gives a set-up up at the end of its time says so with a normal clearing, often just
		// before our own timer. To the module an end is no end of a call that never stood: it would wait
		// for ever, and the caller with it.
		o.Result, unresolved = brookmux.ResultTimeout, false
	}
	l.timeout.stop()
	c.out, c.last = nil, o.Result
	switch o.Result {
	case brookmux.ResultTimeout, brookmux.ResultReset, brookmux.ResultCancelled:
		c.notUntil = e.now + e.Settings.Module.ReleaseWait
	}
	e.counts.outcome(o.Result, l.stands)
	e.stormOutcome(c, l, o)
	e.debug("ended", c, l, o.Report, "result", o.Result, "reason", o.Reason)
	if l.stands {
		c.Caller.Release(c.Key, o.Cause)
	}
	e.ctl.Ended(e.now, brookmux.Outcome{Call: c.id, Attempt: l.number, Switch: l.to, Result: o.Result,
		Reason: o.Reason, Took: e.now - l.at, Over: l.stands, Report: o.Report})
	switch {
	case l.stands:
		e.close(c)
	case unresolved:
		e.answerUnresolved(c)
	}
}

// answerUnresolved answers a call that stood, whose answer was lost or is late, and that has come to its end. Whatever
// was made of it by another set-up would be a second call under its id: the caller is told now.
func (e *Engine) answerUnresolved(c *call) {
	e.counts.Unresolved++
	e.refuse(c, Verdict{Failed: !e.harmless(c), Cause: TemporaryFailure, Why: "over before its answer was heard"})
}

// harmless tells whether a call that may have run may be asked for again.
func (e *Engine) harmless(c *call) bool {
	k := e.Settings.Module.Classes[e.classes[c.Class]]
	return k.Effect == brookmux.Safe || k.Effect == brookmux.Keyed && k.Group == brookmux.ScopeAll
}

// refuse gives the final answer that a call does not stand.
func (e *Engine) refuse(c *call, v Verdict) {
	if c.answered {
		e.guard("second final answer", c)
		return
	}
	if c.out != nil {
		e.giveUp(c)
	}
	if v.Failed {
		e.counts.Failed++
	} else {
		e.counts.Refused++
	}
	c.Caller.Refuse(c.Key, v)
	e.close(c)
}
