package core

import (
	"time"

	"brookmux"
)

// send starts an attempt and its timer. The timeout never exceeds the time left to the call.
func (e *Engine) send(c *call, number int, to brookmux.SwitchID, timeout time.Duration) {
	if timeout <= 0 || timeout > c.expires-e.now {
		timeout = c.expires - e.now
	}
	a := &attempt{number: number, to: to, at: e.now}
	c.current, c.wasSent = a, true
	a.timeout = e.schedule(timeout, func() { e.timedOut(c, a) })
	e.counts.Sent++
	e.Trunks.SetUp(to, Attempt{Key: c.Key, Class: c.Class, Number: c.Number, Timeout: timeout, Width: c.Width,
		Description: c.Description})
}

// timedOut ends an attempt that was not answered in time. The release is sent to the core first, since the release wait
// starts from it.
func (e *Engine) timedOut(c *call, a *attempt) {
	if c.current != a || a.stands {
		return
	}
	e.Trunks.Release(a.to, c.Key, NormalClearing)
	e.finishAttempt(c, Outcome{Result: brookmux.ResultTimeout, Report: noReport})
}
