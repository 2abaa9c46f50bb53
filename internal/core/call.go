package core

import (
	"slices"
	"time"

	"brookmux"
)

// call is an entry of the call table. It awaits its final answer until answered is set, and remains in the table as
// long as it stands.
type call struct {
	Request
	id             brookmux.CallID
	expires        time.Duration   // when its caller stops waiting, less answerMargin
	deadlineTimer  *timer          // sends a final answer where the module has sent none
	sends          int             // attempts that the module asked for
	wasSent        bool            // at least one of them was sent to a core
	current        *attempt        // the open attempt, or the one that stands; nil if none
	noSendUntil    time.Duration   // end of the release wait after a timeout, reset or cancel
	answered       bool            // its caller has a final answer, or no longer waits for one
	size           int64           // bytes charged for the request until the final answer
	at             time.Duration   // when the request was accepted
	lastResult     brookmux.Result // of its last attempt
	callerHash     uint64          // of what the tries of one caller have in common
	countedByStorm bool            // storm counts it as in progress
	failedAttempts int             // attempts that were sent and did not succeed

	unresolvedAt []brookmux.SwitchID // cores where an attempt was lost with its connection and may stand
}

// attempt is a set-up that was sent to a core.
type attempt struct {
	number  int // 0, 1, 2 ... within the call
	to      brookmux.SwitchID
	at      time.Duration
	timeout *timer
	stands  bool
}

// endedUnresolved reports whether an outcome is the end of an attempt that was lost with its connection: the call stood
// at that core, its answer was lost too, and the call is now over. It does not apply to a call that has been answered
// from another attempt, since the caller is connected through that one.
func (c *call) endedUnresolved(from brookmux.SwitchID, o Outcome) bool {
	return c != nil && !c.answered && o.Result == brookmux.ResultOK && slices.Contains(c.unresolvedAt, from)
}

// hasAttemptAt reports whether the call's open or standing attempt is at this core. It is false for a nil call.
func (c *call) hasAttemptAt(from brookmux.SwitchID) bool {
	return c != nil && c.current != nil && c.current.to == from
}
