package core

import (
	"strconv"

	"brookmux"
)

// admit hands a call to the module, which lets it pass its gates or not.
func (e *Engine) admit(c *call) {
	class, ok := e.classes[c.Class]
	if !ok {
		e.refuse(c, Verdict{Failed: true, Cause: NotImplemented, Why: "unknown class"})
		return
	}
	if e.most > 0 && e.open > e.most {
		e.counts.Full++
		e.refuse(c, Verdict{Wait: e.Settings.Module.MaxRetryAfter, Cause: Congestion, Why: "too many calls open"})
		return
	}
	number, err := strconv.ParseUint(c.Number, 16, 64)
	if err != nil {
		number = 0 // to the module, a number that is not known
	}
	e.ctl.Offered(e.now, brookmux.Call{ID: c.id, Class: class, Number: number, Expires: c.expires,
		Destination: c.Destination, Width: c.Width, Via: c.Via, Transit: c.Transit})
}
