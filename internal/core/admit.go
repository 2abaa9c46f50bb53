package core

import (
	"strconv"

	"brookmux"
)

// unfit tells what makes a request one that no core could serve, or nothing.
func (e *Engine) unfit(r Request) string {
	class, ok := e.classes[r.Class]
	switch {
	case !ok:
		return "unknown class"
	case !e.numbers[r.Destination]:
		// The module keeps figures of each exchange it hears of: only the list may name them.
		return "unknown destination"
	case class < len(e.Settings.Widths) && e.Settings.Widths[class] > 0 && r.Width != e.Settings.Widths[class]:
		return "width is not that of the class"
	}
	return ""
}

// admit hands a call to the module, which lets it pass its gates or not.
func (e *Engine) admit(c *call) {
	if e.most > 0 && e.open > e.most {
		e.counts.Full++
		e.refuse(c, Verdict{Wait: e.Settings.Module.MaxRetryAfter, Cause: Congestion, Why: "too many calls open"})
		return
	}
	number, err := strconv.ParseUint(c.Number, 16, 64)
	if err != nil {
		number = 0 // to the module, a number that is not known
	}
	e.ctl.Offered(e.now, brookmux.Call{ID: c.id, Class: e.classes[c.Class], Number: number, Expires: c.expires,
		Destination: c.Destination, Width: c.Width, Via: c.Via, Transit: c.Transit})
}
