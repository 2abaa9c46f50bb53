package core

import (
	"time"

	"brookmux"
)

// send starts an attempt, with the timer that gives it up.
func (e *Engine) send(c *call, number int, to brookmux.SwitchID, timeout time.Duration) {
	if timeout <= 0 || timeout > c.expires-e.now {
		timeout = c.expires - e.now
	}
	l := &attempt{number: number, to: to, at: e.now}
	c.out = l
	l.timeout = e.in(timeout, func() { e.timedOut(c, l) })
	e.counts.Sent++
	e.Trunks.SetUp(to, Attempt{Key: c.Key, Class: c.Class, Number: c.Number, Left: timeout, Width: c.Width,
		Description: c.Description})
}

// timedOut gives an attempt up that brought no answer in time. Its core is told first: from then on the
// release wait runs.
func (e *Engine) timedOut(c *call, l *attempt) {
	if c.out != l || l.stands {
		return
	}
	e.Trunks.Release(l.to, c.Key, NormalClearing)
	e.finishAttempt(c, Outcome{Result: brookmux.ResultTimeout, Report: noReport})
}
