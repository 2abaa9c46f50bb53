package core

import (
	"strconv"

	"brookmux"
)

// validateRequest returns the reason why no core can serve a request, or an empty string. The SIP
// front end sends the reason to the caller.
func (e *Engine) validateRequest(r Request) string {
	class, ok := e.classes[r.Class]
	switch {
	case !ok:
		return "unknown class"
	case !e.knownExchanges[r.Destination]:
		// The decision module keeps state for each exchange number it is given, so a caller may name only exchanges of
		// the membership list.
		return "unknown destination"
	case class < len(e.Settings.Widths) && e.Settings.Widths[class] > 0 && r.Width != e.Settings.Widths[class]:
		return "width is not that of the class"
	}
	return ""
}

// admit hands a call to the decision module, whose gates accept or refuse it. It refuses the call itself where too many
// calls are open.
func (e *Engine) admit(c *call) {
	if e.maxOpen > 0 && e.openCalls > e.maxOpen {
		e.counts.Full++
		e.refuse(c, Verdict{Wait: e.Settings.Module.MaxRetryAfter, Cause: Congestion, Detail: "too many calls open"})
		return
	}
	number, err := strconv.ParseUint(c.Number, 16, 64)
	if err != nil {
		number = 0 // means unknown to the module
	}
	e.ctl.Offered(e.now, brookmux.Call{ID: c.id, Class: e.classes[c.Class], Number: number, Expires: c.expires,
		Destination: c.Destination, Width: c.Width, Via: c.Via, Transit: c.Transit})
}
