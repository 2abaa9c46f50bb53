// Package brookmux makes the decisions of a call control for a mesh of exchanges: which calls to
// admit, which route each takes, when to try again and when to give up. A call controller creates one
// Controller for its exchange, hands it what happens, and carries out what it asks of the Host.
//
// The package does no I/O, starts no goroutine and reads no clock. Each method takes the present time
// on the caller's own clock. A Controller is not safe for concurrent use; Controllers share nothing.
package brookmux

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// CallID names a call; it is never used twice.
type CallID uint64

// SwitchID names a switch. A restarted processor keeps its switch's ID, a replacement has a new one.
type SwitchID uint32

// Effect says what repeating a set-up does.
type Effect int

// The effects of a class of call.
const (
	Safe  Effect = iota // may be repeated and refused freely
	Keyed               // repeats are recognised within Class.Group and Class.Window
	Once                // must not be repeated once it may have run
)

// Scope is the set of switches that recognise repeats of a Keyed set-up.
type Scope int

// The scopes of a Keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// ReportHow says how far processors' figures reach this controller.
type ReportHow int

// The ways of reporting.
const (
	ReportsNone    ReportHow = iota
	ReportsAnswers           // with outcomes and probe results
	ReportsProbe             // with probe results only
)

// Class is a kind of call.
type Class struct {
	Aim       time.Duration // a set-up within this time earns the full worth
	Deadline  time.Duration // the caller goes on trying for so long
	Hold      time.Duration // mean length of a call, 0 if unknown
	Worth     float64
	LateWorth float64 // share of the worth for a set-up after Aim
	Effect    Effect
	Group     Scope
	Window    time.Duration // of a Keyed class
	Pools     []int         // pools only: those it may go to; empty means any
}

// Settings are given at the start; Configure puts others in force.
type Settings struct {
	Instances     int  // controllers in service
	Here          int  // own exchange's number, -1 with pools
	Pools         bool // pools of agents shared by all controllers, no transit
	Classes       []Class
	Ask           bool // the list of switches must be asked for
	Reports       ReportHow
	Probes        bool
	RetryAfter    bool
	MaxRetryAfter time.Duration
	MaxAttempts   int
	ColdFrom      float64 // a fresh processor does at least this share of its work
	WarmWithin    time.Duration
	FallMultiple  float64
	ReleaseWait   time.Duration
}

// check returns an error that names the first setting that can't be served.
func (s Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("brookmux: setting Classes is empty")
	} else if s.MaxAttempts < 1 {
		return fmt.Errorf("brookmux: setting MaxAttempts is %d, at least 1 is needed", s.MaxAttempts)
	} else if !s.Pools && s.Here < 0 {
		return fmt.Errorf("brookmux: setting Here is %d in a mesh", s.Here)
	} else if s.ColdFrom > 1 {
		return fmt.Errorf("brookmux: setting ColdFrom is %v, a share is needed", s.ColdFrom)
	}
	type figure struct {
		name  string
		value float64
	}
	figures := []figure{{"Instances", float64(s.Instances)}, {"MaxRetryAfter", float64(s.MaxRetryAfter)},
		{"ColdFrom", s.ColdFrom}, {"WarmWithin", float64(s.WarmWithin)}, {"FallMultiple", s.FallMultiple},
		{"ReleaseWait", float64(s.ReleaseWait)}}
	for i, k := range s.Classes {
		for _, f := range []figure{{"Aim", float64(k.Aim)}, {"Deadline", float64(k.Deadline)},
			{"Hold", float64(k.Hold)}, {"Worth", k.Worth}, {"LateWorth", k.LateWorth}, {"Window", float64(k.Window)}} {
			figures = append(figures, figure{fmt.Sprintf("Classes[%d].%s", i, f.name), f.value})
		}
	}
	for _, f := range figures {
		if !(f.value >= 0) || math.IsInf(f.value, 1) {
			return fmt.Errorf("brookmux: setting %s is %v", f.name, f.value)
		}
	}
	return nil
}

// Absent is the value of a figure that was not reported. Any negative, NaN or infinite value means the same.
const Absent = -1

// Report holds what one message told of a switch: the circuits toward it, and its processor's figures.
type Report struct {
	Free, Size float64 // circuits of the own group toward it, true at that time
	Active     float64 // messages in work
	Queue      float64 // messages waiting
	Util       float64 // share of the processor busy
	Wait       float64 // milliseconds of wait at the processor
	Rate       float64 // new set-ups a second it can take from all senders
	HoldBack   float64 // share of new set-ups it asks each sender to hold back
}

// SwitchState is the list's word on a switch.
type SwitchState int

// The states of a switch.
const (
	Gone SwitchState = iota
	Ready
	Draining
)

// Switch is one line of the list.
type Switch struct {
	ID     SwitchID
	Number int // of its exchange or pool
	Zone   int
	State  SwitchState
	Since  time.Duration // time of its last start, 0 long ago
}

// ListKind says what a Members event holds.
type ListKind int

// The kinds of list.
const (
	Delta  ListKind = iota // changed lines only
	Full                   // the complete list
	Cached                 // the complete list as last seen before a start, possibly stale
	Failed                 // a Follow failed, the old list still applies
)

// Members is the list of switches or a change to it.
type Members struct {
	Kind     ListKind
	Switches []Switch
}

// Call is a call that was handed to this controller.
type Call struct {
	ID          CallID
	Class       int
	Tenant      int
	Number      uint64        // the number dialled, 0 if unknown
	Expires     time.Duration // when the caller gives this try up
	Destination int
	Width       float64
	Via         int // in transit: the exchange it comes from; else the advised tandem, or -1
	Transit     bool
}

// Stands tells that an attempt has set its call up.
type Stands struct {
	Call    CallID
	Attempt int
	Took    time.Duration
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	ResultError Result = iota
	ResultOK
	ResultFull
	ResultTimeout
	ResultConnectFailed
	ResultReset
	ResultCancelled
	ResultMoot
)

// Reason says more on a result.
type Reason int

// The reasons for a result.
const (
	ReasonNone          Reason = iota
	ReasonNoCircuit            // no circuit or agent
	ReasonTurnedBack           // by the tandem
	ReasonFarFull              // by the tandem: the destination's processor was full
	ReasonProcessorFull        // with ResultMoot: the own processor is down
	ReasonLineBusy
	ReasonHeldBack // the host did not let it leave: it would have broken a rule
)

// Outcome is the end of an attempt; each Send gets exactly one.
type Outcome struct {
	Call    CallID
	Attempt int
	Switch  SwitchID
	Result  Result
	Reason  Reason
	Wait    time.Duration // a full processor's own word, 0 if none
	Took    time.Duration
	Over    bool // nothing more is owed to the caller
	Report  Report
}

// ProbeResult answers a Probe, or comes unasked when the circuits toward a switch change.
type ProbeResult struct {
	Switch  SwitchID
	OK      bool
	Unasked bool
	Report  Report
}

// Host carries out the module's actions. It must not call back into the Controller.
type Host interface {
	// Send starts the call's next attempt, numbered 0, 1, 2 ..., with a time-out.
	Send(call CallID, to SwitchID, timeout time.Duration)
	// Refuse turns the call away; a positive wait asks the caller to stay away so long.
	Refuse(call CallID, wait time.Duration)
	// Fail gives the call up.
	Fail(call CallID)
	// Probe asks a switch for its report.
	Probe(to SwitchID)
	// SetTimer asks for a Timer event with this token after the delay. Timers can't be taken back.
	SetTimer(delay time.Duration, token uint64)
	// Follow asks for changes of the list from now on.
	Follow()
	// Log records a line for on-call staff.
	Log(line string)
}
