// Package core carries requests through the border controller. It deals in requests, attempts and outcomes
// and knows no wire: fronts hand it requests, trunks carry its attempts, and the decision module chooses.
//
// A request passes the stages take in, admit, route, send, relay and book, each in a file of its own. One
// goroutine owns the module and the table of calls; everything reaches it through one bounded queue, and it
// never waits for a socket.
package core

import (
	"time"

	"brookmux"
)

// Cause is a Q.850 cause, the vocabulary that all fronts and trunks share for the end of a call.
type Cause int

// The causes that the core itself uses.
const (
	NormalClearing   Cause = 16
	TemporaryFailure Cause = 41
	Congestion       Cause = 42 // switching equipment congestion
	NotImplemented   Cause = 79 // service or option not implemented
	TimerExpiry      Cause = 102
)

// Request is a set-up that a front has taken.
type Request struct {
	Key         string        // names the call on every wire, passed on unchanged
	Class       string        // as named in the settings
	Number      string        // the number called, hex digits, passed on unchanged
	Left        time.Duration // how long the caller waits from now on, 0 for as long as its class allows
	Destination int
	Width       float64
	Via         int // where a call in transit comes from, or the advised tandem, or -1
	Transit     bool
	Description []byte
	Caller      Caller
	Group       string // the caller group it came from: an address or a point code, empty if not known
	Resent      bool   // its caller says that it asked before
}

// Verdict is a final answer other than that the call stands.
type Verdict struct {
	Failed bool          // given up, and trying again may do harm; else turned away
	Bad    bool          // the request is at fault itself: no other answer would come to it later
	Wait   time.Duration // how long the caller should stay away, 0 for no advice
	Cause  Cause
	Level  int    // automatic congestion level of the destination (Q.763, 3.4), 0 for none
	Why    string // for the log and for people who read traces
}

// Caller is the party that asked for a call, as its front sees it. The methods must not block and must not
// call back into the core.
type Caller interface {
	// Stands is the final answer that the call stands, with the description that a core gave for it.
	Stands(key string, description []byte)
	// Refuse is the final answer that it does not.
	Refuse(key string, v Verdict)
	// Release tells that a call that stood is over.
	Release(key string, cause Cause)
}

// Attempt is a set-up sent to a core.
type Attempt struct {
	Key         string
	Class       string
	Number      string
	Left        time.Duration // how long its outcome will be waited for
	Width       float64       // circuits that it takes
	Description []byte
}

// Trunks carry attempts to the cores. The methods must not block and must not call back into the core.
type Trunks interface {
	// SetUp sends an attempt; what becomes of it arrives as Answered, Ended or Lost.
	SetUp(to brookmux.SwitchID, a Attempt)
	// Release gives a set-up up, or ends a call that stands.
	Release(to brookmux.SwitchID, key string, cause Cause)
	// ReleaseAnywhere ends a call whose core is not known, as after a restart.
	ReleaseAnywhere(key string, cause Cause)
}

// Outcome is how a core ended an attempt or a call.
type Outcome struct {
	Result brookmux.Result
	Reason brookmux.Reason
	Report brookmux.Report
	Cause  Cause
	Level  int // automatic congestion level that the core told (Q.763, 3.4), 0 for none
	// Elsewhere tells that it came on another connection than the one on which a set-up of the call is open: it
	// is not that set-up's end.
	Elsewhere bool
}

// Condition is how an exchange is, for peers that are told of it.
type Condition struct {
	Available bool // it has a core that takes set-ups
	Level     int  // of congestion: 0 for none, 1 or 2
}

// Loss is what became of the attempts or calls that a core lost.
type Loss struct {
	Cut     bool          // calls that stand are lost too
	Unsure  bool          // the core may still have them: it is told to let go
	Before  time.Duration // those sent before this time only, on the engine's clock; 0 or less for all
	Outcome Outcome
}

// Events take what is heard of the cores. *Engine is one.
type Events interface {
	// Answered tells that a call stands, with the core's description.
	Answered(from brookmux.SwitchID, key string, description []byte, r brookmux.Report)
	// Ended tells how a core ended an attempt, or a call that stood.
	Ended(from brookmux.SwitchID, key string, o Outcome)
	// Lost tells that what was open at a core is lost; see Engine.Lost.
	Lost(at brookmux.SwitchID, keys []string, l Loss)
	// Moved tells that what is open under one id is at the core of another: it had taken the address before it was
	// listed.
	Moved(from, to brookmux.SwitchID)
	// Reported hands on a core's report that belongs to no call.
	Reported(from brookmux.SwitchID, r brookmux.Report, unasked bool)
	// Congested tells the congestion level that a core has told, 0 for none.
	Congested(from brookmux.SwitchID, level int)
	// Ignored tells that a core sent something for a call that belongs to nothing.
	Ignored(from brookmux.SwitchID, key, what string)
}
