package core

import (
	"time"

	"brookmux"
)

// host carries out what the module asks. The module must not be called from within: what has to go back to
// it waits in Engine.after.
type host struct{ e *Engine }

// Send is the module's choice of a route. The guards on the rules stand between it and the trunks: an attempt
// that would break one never leaves, and the module hears that it was moot.
func (h host) Send(id brookmux.CallID, to brookmux.SwitchID, timeout time.Duration) {
	e := h.e
	c := e.byID[id]
	if c == nil {
		return
	}
	number := c.sends
	c.sends++
	if why := e.forbids(c, to); why != "" {
		e.guard(why, c)
		e.after = append(e.after, func() {
			e.ctl.Ended(e.now, brookmux.Outcome{Call: id, Attempt: number, Switch: to,
				Result: brookmux.ResultMoot, Report: noReport,
				Reason: brookmux.ReasonHeldBack})
		})
		return
	}
	if e.Storm != nil && !e.Storm.Sent(e.now, c.Destination, c.failed > 0) {
		// Who has failed and would only press a destination that serves others gets its answer now.
		e.after = append(e.after, func() { e.turnAway(c, "retry budget spent") })
		return
	}
	e.send(c, number, to, timeout)
}

// forbids names the rule that a send would break, or nothing.
func (e *Engine) forbids(c *call, to brookmux.SwitchID) string {
	switch {
	case c.answered:
		return "send after the final answer"
	case c.out != nil:
		return "second attempt"
	case e.now < c.notUntil:
		return "send within the release wait"
	case e.switches[to].State != brookmux.Ready:
		return "send to a core that drains or is gone"
	case c.Transit && e.switches[to].Number != c.Destination:
		return "call in transit to another than its destination"
	case !e.Settings.Module.Pools && e.switches[to].Number == e.Settings.Module.Here:
		return "send to the own exchange"
	case e.tooCold(to): // last: it counts what it lets pass
		return "set-ups to a cold core"
	}
	return ""
}

// Refuse and Fail are the module's final answers.
func (h host) Refuse(id brookmux.CallID, wait time.Duration) {
	if c := h.e.byID[id]; c != nil {
		h.e.refuse(c, h.e.advised(c, Verdict{Wait: wait, Cause: h.e.cause(c), Why: "turned away"}))
	}
}

// cause is that of a call turned away: its time ran out, or there was no room for it.
func (e *Engine) cause(c *call) Cause {
	if e.now >= c.expires {
		return TimerExpiry
	}
	return Congestion
}

// Fail gives the call up.
func (h host) Fail(id brookmux.CallID) {
	if c := h.e.byID[id]; c != nil {
		h.e.refuse(c, Verdict{Failed: true, Cause: TemporaryFailure, Why: "given up"})
	}
}

// Probe does nothing: the deployment rules probes out.
func (h host) Probe(brookmux.SwitchID) {}

// SetTimer implements brookmux.Host.
func (h host) SetTimer(delay time.Duration, token uint64) {
	h.e.in(delay, func() { h.e.ctl.Timer(h.e.now, token) })
}

// Follow does nothing: the directory follows the name service from the start.
func (h host) Follow() {}

// Log implements brookmux.Host.
func (h host) Log(line string) { h.e.Config.Log.Info("module", "line", line) }
