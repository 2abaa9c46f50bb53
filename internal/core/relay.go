package core

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"brookmux"
)

// timeoutTolerance is how long before the engine's own timer a core may end a set-up because its time is over.
const timeoutTolerance = 50 * time.Millisecond

// Answered handles a core's answer that a call stands and relays it with its description to the caller.
func (e *Engine) Answered(from brookmux.SwitchID, key string, description []byte, r brookmux.Report) {
	e.post(func() {
		from = e.currentID(from)
		e.applyReport(from, r, false)
		c := e.calls[key]
		if !c.hasAttemptAt(from) || c.current.stands {
			// The answer crossed the caller's CANCEL or the timeout. In both cases the core is sent a release.
			e.counts.LateAnswers++
			return
		}
		a := c.current
		a.timeout.stop()
		a.stands = true
		e.markAnswered(c)
		c.Caller.Answered(key, description)
		e.logAttempt("stands", c, a, r)
		e.ctl.Answered(e.now, brookmux.Answer{Call: c.id, Attempt: a.number, Elapsed: e.now - a.at})
	})
}

// Ended handles the end of an attempt, or of a call that stood, as sent by a core.
func (e *Engine) Ended(from brookmux.SwitchID, key string, o Outcome) {
	e.post(func() {
		from = e.currentID(from)
		c := e.calls[key]
		switch {
		case c.hasAttemptAt(from) && !o.OtherConnection:
			e.finishAttempt(c, o)
		case c.endedUnresolved(from, o):
			e.applyReport(from, o.Report, false)
			e.releaseAttempt(c)
			e.ctl.CallEnded(e.now, c.id)
			e.answerUnresolved(c)
		case c == nil && !e.recentlyEnded(key) && e.ReleaseOrphan != nil:
			// Set up by an earlier process of this controller: its caller must still be notified of the end.
			e.counts.Orphans++
			e.ReleaseOrphan(key, o.Cause)
			e.ended.add(key, true)
			e.applyReport(from, o.Report, false)
		default:
			if o.OtherConnection {
				e.countIgnored(from, key, "release of a set-up of another connection")
			}
			e.applyReport(from, o.Report, false)
		}
	})
}

// Lost handles the loss of the set-ups on a connection that is closed or, with Cut, also of the calls that stood at a
// core that has failed. Nil keys mean every call at that core but those excepted.
func (e *Engine) Lost(at brookmux.SwitchID, keys []string, loss Loss) {
	e.post(func() {
		at = e.currentID(at)
		if keys == nil {
			for k, c := range e.calls {
				if c.hasAttemptAt(at) && !slices.Contains(loss.Except, k) {
					keys = append(keys, k)
				}
			}
			slices.Sort(keys) // for decisions that do not depend on map order
		}
		standing, setUps := 0, 0
		for _, k := range keys {
			if c := e.calls[k]; c.hasAttemptAt(at) && (loss.Cut || !c.current.stands) &&
				(loss.Before <= 0 || c.current.at < loss.Before) {
				if c.current.stands {
					standing++
				} else {
					setUps++
				}
				if loss.MayStand && c.current.stands {
					e.Trunks.Release(at, k, loss.Outcome.Cause)
				}
				if !c.current.stands && !loss.Cut && loss.Outcome.Result == brookmux.ResultReset {
					c.unresolvedAt = append(c.unresolvedAt, at)
					e.Trunks.Release(at, k, NormalClearing) // it may stand there, with its answer lost
				}
				e.finishAttempt(c, loss.Outcome)
			}
		}
		e.counts.Lost.add(loss.Reason, standing)
		e.logLoss(at, loss, standing, setUps)
	})
}

// logLoss logs how many standing calls and set-ups a loss has ended, and why. The loss of a single connection is logged
// by its owner.
func (e *Engine) logLoss(at brookmux.SwitchID, loss Loss, standing, setUps int) {
	level := slog.LevelDebug
	if loss.Cut && standing+setUps > 0 {
		level = slog.LevelInfo
	}
	e.Config.Log.Log(context.Background(), level, "core_calls_lost", "core", at, "reason", string(loss.Reason),
		"standing", standing, "setups", setUps, "before", loss.Before, "kept", len(loss.Except))
}

// Moved handles the notice that what is open under one core id belongs to the core with another id, which took over the
// address before it was listed. Later messages under the former id are attributed to the new one.
func (e *Engine) Moved(from, to brookmux.SwitchID) {
	e.post(func() {
		if len(e.movedIDs) >= maxMovedIDs {
			clear(e.movedIDs) // an entry is needed only for a short time
		}
		e.movedIDs[from] = to
		moved := 0
		for _, c := range e.calls {
			if c.hasAttemptAt(from) {
				c.current.to = to
				moved++
			}
		}
		e.Config.Log.Info("core_moved", "from", from, "to", to, "calls", moved)
	})
}

// currentID returns the id under which a core is listed now.
func (e *Engine) currentID(id brookmux.SwitchID) brookmux.SwitchID {
	if to, ok := e.movedIDs[id]; ok {
		return to
	}
	return id
}

// Ignored counts a message of a core that matches no open attempt: a duplicate or an unsolicited answer.
func (e *Engine) Ignored(from brookmux.SwitchID, key, what string) {
	e.post(func() { e.countIgnored(from, key, what) })
}

// countIgnored is Ignored for use in the owner's goroutine.
func (e *Engine) countIgnored(from brookmux.SwitchID, key, what string) {
	e.counts.Ignored++
	e.Config.Log.Debug("ignored", "core", from, "call", key, "what", what)
}

// finishAttempt ends a call's attempt and reports the outcome to the module, which may send another attempt or give the
// final answer.
func (e *Engine) finishAttempt(c *call, o Outcome) {
	a := c.current
	unresolved := o.Result == brookmux.ResultOK && !a.stands
	if unresolved && a.timeout.at-e.now <= timeoutTolerance {
		// A core whose set-up times out ends it with normal clearing, often just before the engine's own timer. It is
		// reported as a timeout: on ResultOK the module would drop the call without another attempt or a final answer,
		// for which its caller would go on waiting.
		o.Result, unresolved = brookmux.ResultTimeout, false
	}
	a.timeout.stop()
	c.current, c.lastResult = nil, o.Result
	switch o.Result {
	case brookmux.ResultTimeout, brookmux.ResultReset, brookmux.ResultCancelled:
		c.noSendUntil = e.now + e.Settings.Module.ReleaseWait
	}
	e.counts.addOutcome(o.Result, a.stands)
	e.stormOutcome(c, a, o)
	e.logAttempt("ended", c, a, o.Report, "result", o.Result, "reason", o.Reason)
	if a.stands {
		c.Caller.Release(c.Key, o.Cause)
	}
	e.ctl.AttemptEnded(e.now, brookmux.Outcome{Call: c.id, Attempt: a.number, Switch: a.to, Result: o.Result,
		Reason: o.Reason, Elapsed: e.now - a.at, CallEnded: a.stands, Report: o.Report})
	switch {
	case a.stands:
		e.close(c)
	case unresolved:
		e.answerUnresolved(c)
	}
}

// answerUnresolved refuses a call that stood at a core and has ended there before its answer, lost or late, was
// received. Another set-up would make a second call under the same id, so the caller is answered now.
func (e *Engine) answerUnresolved(c *call) {
	e.counts.Unresolved++
	e.refuse(c, Verdict{Failed: !e.repeatable(c), Cause: TemporaryFailure,
		Detail: "call ended before its answer was received"})
}

// repeatable reports whether a call that may already have been served can safely be requested again.
func (e *Engine) repeatable(c *call) bool {
	k := e.Settings.Module.Classes[e.classes[c.Class]]
	return k.Effect == brookmux.Safe || k.Effect == brookmux.Keyed && k.Group == brookmux.ScopeAll
}

// refuse gives the negative final answer to a call, releases its open attempt and removes it from the table.
func (e *Engine) refuse(c *call, v Verdict) {
	if c.answered {
		e.recordGuard("second final answer", c)
		return
	}
	if c.current != nil {
		e.releaseAttempt(c)
	}
	if v.Failed {
		e.counts.Failed++
	} else {
		e.counts.Refused++
	}
	c.Caller.Refuse(c.Key, v)
	e.close(c)
}
