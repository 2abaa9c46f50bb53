// Package core processes call requests in the border controller, independently of any wire protocol. Front ends submit
// requests, trunks carry the attempts to the cores, and the decision module selects the routes.
//
// A request passes the stages intake, admission, routing, sending, relaying of the outcome and accounting, each in its
// own file. One goroutine, the owner, has exclusive access to the module and the call table. It receives all events
// through one bounded queue and never blocks on a socket.
package core

import (
	"time"

	"brookmux"
)

// Cause is a Q.850 cause value. All front ends and trunks use it to say why a call ended.
type Cause int

// The causes that this package sets itself.
const (
	NormalClearing   Cause = 16
	TemporaryFailure Cause = 41
	Congestion       Cause = 42 // switching equipment congestion
	NotImplemented   Cause = 79 // service or option not implemented
	TimerExpiry      Cause = 102
)

// Request is a set-up received by a front end.
type Request struct {
	Key         string        // identifies the call in every protocol, passed on unchanged
	Class       string        // as named in the settings
	Number      string        // the called number, hex digits, passed on unchanged
	Remaining   time.Duration // time the caller still waits, 0 for the deadline of its class
	Destination int           // number of the exchange called
	Width       float64       // circuits that the call takes
	Via         int           // in transit: the exchange the call comes from; else the advised tandem, or -1
	Transit     bool
	Description []byte // session description, passed on unchanged
	Retained    int    // bytes that the front keeps until the final answer, beside the description
	Caller      Caller
	Group       string // caller group: an address or a point code, empty if unknown
	Resent      bool   // the caller states that this is a repeated request
}

// Verdict is a negative final answer.
type Verdict struct {
	Failed  bool          // abandoned, and trying again may do harm; false if rejected
	Invalid bool          // the request itself is invalid: trying again can't succeed
	Wait    time.Duration // retry advice: how long the caller should wait, 0 for none
	Cause   Cause
	Level   int    // automatic congestion level of the destination (Q.763, 3.4), 0 for none
	Detail  string // explanation for logs and traces; the SIP front end sends it where Invalid is set
}

// Caller is the party that requested a call, as its front end sees it. The engine calls the methods from its own
// goroutine: they must not block and must not call back into the engine.
type Caller interface {
	// Answered is the positive final answer: the call stands. It carries the session description sent by the core.
	Answered(key string, description []byte)
	// Refuse is the negative final answer.
	Refuse(key string, v Verdict)
	// Release reports the end of a call that stood.
	Release(key string, cause Cause)
}

// Attempt is a set-up to be sent to a core.
type Attempt struct {
	Key         string
	Class       string
	Number      string
	Timeout     time.Duration // how long the engine waits for the outcome
	Width       float64       // circuits that the call takes
	Description []byte
}

// Trunks carry attempts to the cores. The engine calls the methods from its own goroutine: they must not block and must
// not call back into the engine.
type Trunks interface {
	// SetUp sends an attempt. Its outcome is reported through Events as Answered, Ended or Lost.
	SetUp(to brookmux.SwitchID, a Attempt)
	// Release cancels an open set-up or ends a call that stands.
	Release(to brookmux.SwitchID, key string, cause Cause)
	// ReleaseAnywhere ends a call whose core is unknown, for example after a restart, by a release to every core.
	ReleaseAnywhere(key string, cause Cause)
}

// Outcome describes how a core ended an attempt or a call.
type Outcome struct {
	Result brookmux.Result
	Reason brookmux.Reason
	Report brookmux.Report
	Cause  Cause
	Level  int // automatic congestion level reported by the core (Q.763, 3.4), 0 for none
	// OtherConnection is set if the outcome arrived on another connection than the one on which a set-up of the call is
	// open: it is not the end of that set-up.
	OtherConnection bool
}

// Condition is the state of an exchange as published to peers.
type Condition struct {
	Available bool // it has a core that accepts set-ups, or is the local exchange
	Level     int  // congestion level: 0 for none, 1 or 2
}

// LossReason is why attempts or calls at a core are lost, as logged.
type LossReason string

// Reasons for a Loss.
const (
	LossConnection LossReason = "connection ended"
	LossNotReached LossReason = "no connection"
	LossSilent     LossReason = "core silent"
	LossUndecided  LossReason = "process not known to have the calls"
	LossRefused    LossReason = "core refuses connections"
	LossMissing    LossReason = "process without the calls"
	LossUnlisted   LossReason = "core not listed"
	LossMoved      LossReason = "core has another address"
	LossRestarted  LossReason = "core restarted"
	LossReplaced   LossReason = "core replaced"
)

// Loss describes which attempts or calls at a core are lost, why, and with which outcome.
type Loss struct {
	Reason   LossReason
	Cut      bool          // calls that stand are lost too
	MayStand bool          // the core may still have them, so it is sent releases
	Before   time.Duration // only those sent before this time on the engine's clock; 0 or less for all
	Except   []string      // keys of calls that are not lost
	Outcome  Outcome
}

// Events receives the messages and the failures of the cores. *Engine implements it.
type Events interface {
	// Answered reports that a call stands, with the session description sent by the core.
	Answered(from brookmux.SwitchID, key string, description []byte, r brookmux.Report)
	// Ended reports how a core ended an attempt or a call that stood.
	Ended(from brookmux.SwitchID, key string, o Outcome)
	// Lost reports that attempts or calls at a core are lost; see Engine.Lost.
	Lost(at brookmux.SwitchID, keys []string, l Loss)
	// Moved reports that what is open under one core id belongs to the core with another id, which took over the
	// address before it was listed.
	Moved(from, to brookmux.SwitchID)
	// Reported passes on a report of a core that belongs to no call. unsolicited is set if the core sent it without a
	// request.
	Reported(from brookmux.SwitchID, r brookmux.Report, unsolicited bool)
	// Congested passes on the congestion level reported by a core, 0 for none.
	Congested(from brookmux.SwitchID, level int)
	// Ignored reports a message for a call that matches no open attempt. what describes it for the log.
	Ignored(from brookmux.SwitchID, key, what string)
}
