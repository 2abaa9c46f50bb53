package core

import (
	"slices"
	"time"

	"brookmux"
)

// call is a line of the table. It is owed an answer until answered, and stays while it stands.
type call struct {
	Request
	id             brookmux.CallID
	expires        time.Duration // when its caller stops waiting
	deadline       *timer        // the guard on the final answer
	sends          int
	out            *attempt      // the attempt that is out, or the one that stands
	notUntil       time.Duration // the wait after a timeout, reset or cancel
	answered       bool
	size           int64           // that its request counts for while it is owed an answer
	at             time.Duration   // when it came
	last           brookmux.Result // of its last attempt
	caller         uint64          // hash of what the tries of its caller have in common
	countedByStorm bool            // storm counts it as under way
	failed         int             // attempts that left and did not stand

	unresolvedAt []brookmux.SwitchID // where attempts were lost with their connection: they may stand there unresolved
}

// attempt is a set-up that was sent.
type attempt struct {
	number  int
	to      brookmux.SwitchID
	at      time.Duration
	timeout *timer
	stands  bool
}

// endedUnresolved tells whether this is the end of an attempt that was lost with its connection: it stood there, its
// answer was lost too, and it is over. A caller that has its answer from another attempt is on that one.
func (c *call) endedUnresolved(from brookmux.SwitchID, o Outcome) bool {
	return c != nil && !c.answered && o.Result == brookmux.ResultOK && slices.Contains(c.unresolvedAt, from)
}

// has tells whether the call's open attempt is at this core.
func (c *call) has(from brookmux.SwitchID) bool { return c != nil && c.out != nil && c.out.to == from }
