package core

import (
	"time"

	"brookmux"
)

// host implements brookmux.Host for the decision module. Its methods run inside a call of the module and must not call
// it back: they queue such calls in Engine.deferred.
type host struct{ e *Engine }

// Send starts an attempt on the route that the module chose. An attempt that would break a rule is not sent, and its
// outcome is reported to the module as moot.
func (h host) Send(id brookmux.CallID, to brookmux.SwitchID, timeout time.Duration) {
	e := h.e
	c := e.byID[id]
	if c == nil {
		return
	}
	number := c.sends
	c.sends++
	if rule := e.violatedRule(c, to); rule != "" {
		e.recordGuard(rule, c)
		e.deferred = append(e.deferred, func() {
			e.ctl.AttemptEnded(e.now, brookmux.Outcome{Call: id, Attempt: number, Switch: to,
				Result: brookmux.ResultMoot, Report: noReport,
				Reason: brookmux.ReasonNotSent})
		})
		return
	}
	if e.Storm != nil && !e.Storm.Sent(e.now, c.Destination, c.failedAttempts > 0) {
		// A further attempt would only add load to a destination that is serving other calls: refuse the call now.
		e.deferred = append(e.deferred, func() { e.rejectOverBudget(c, "retry budget exhausted") })
		return
	}
	e.send(c, number, to, timeout)
}

// violatedRule names the rule that a send would break, or returns an empty string.
func (e *Engine) violatedRule(c *call, to brookmux.SwitchID) string {
	switch {
	case c.answered:
		return "send after the final answer"
	case c.current != nil:
		return "second attempt"
	case e.now < c.noSendUntil:
		return "send within the release wait"
	case e.switches[to].State != brookmux.Ready:
		return "send to a core that is draining or gone"
	case c.Transit && e.switches[to].Number != c.Destination:
		return "transit call to an exchange other than its destination"
	case !e.Settings.Module.Pools && e.switches[to].Number == e.Settings.Module.Here:
		return "send to the local exchange"
	case e.exceedsColdLimit(to): // last, since it counts the set-ups that it allows
		return "too many set-ups to a cold core"
	}
	return ""
}

// Refuse gives the module's final answer to a call that it rejects, with the retry advice for its caller.
func (h host) Refuse(id brookmux.CallID, wait time.Duration) {
	if c := h.e.byID[id]; c != nil {
		h.e.refuse(c, h.e.withRetryAdvice(c, Verdict{Wait: wait, Cause: h.e.refusalCause(c),
			Detail: "rejected by the decision module"}))
	}
}

// refusalCause returns the cause of a rejected call: timer expiry after its deadline, else congestion.
func (e *Engine) refusalCause(c *call) Cause {
	if e.now >= c.expires {
		return TimerExpiry
	}
	return Congestion
}

// Fail gives the final answer to a call that the module abandons.
func (h host) Fail(id brookmux.CallID) {
	if c := h.e.byID[id]; c != nil {
		h.e.refuse(c, Verdict{Failed: true, Cause: TemporaryFailure, Detail: "abandoned by the decision module"})
	}
}

// Probe does nothing: this deployment does not use probes.
func (h host) Probe(brookmux.SwitchID) {}

// SetTimer schedules a timer event for the module.
func (h host) SetTimer(delay time.Duration, token uint64) {
	h.e.schedule(delay, func() { h.e.ctl.Timer(h.e.now, token) })
}

// Follow does nothing: discovery delivers list changes from the start.
func (h host) Follow() {}

// Log writes a message of the module to the log.
func (h host) Log(line string) { h.e.Config.Log.Info("module", "line", line) }
