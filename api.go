// Package brookmux implements the call-control decisions for a mesh of exchanges: which calls to admit,
// which route each call takes, when to retry and when to reject or abandon a call. A call controller creates
// one Controller for its exchange, passes it every event, and carries out the actions requested on its Host.
//
// The package does no I/O, starts no goroutines and reads no clock. Each method that processes an event takes the
// current time, which the application measures on a clock of its choice. A Controller is not safe for concurrent
// use. Controllers share no state.
package brookmux

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// CallID identifies a call. An ID is never reused.
type CallID uint64

// SwitchID identifies a switch. A switch keeps its ID when its processor restarts; a replacement gets a new
// one.
type SwitchID uint32

// Effect classifies whether a set-up of a class of calls can be repeated safely.
type Effect int

// The effects of a class of call.
const (
	Safe  Effect = iota // can be repeated and refused at any time
	Keyed               // repeats are recognised within Class.Group and Class.Window
	Once                // must not be repeated after an attempt that may have run
)

// Scope is the set of switches that recognise a repeat of a Keyed set-up.
type Scope int

// The scopes of a Keyed class, relative to the switch of the first set-up.
const (
	ScopeAll  Scope = iota // all switches
	ScopeZone              // switches of the same zone
	ScopeCell              // switches of the same exchange
)

// ReportMode states in which messages this controller receives the load reports of other processors.
type ReportMode int

// The sources of load reports.
const (
	ReportsNone    ReportMode = iota // no reports
	ReportsAnswers                   // with outcomes and probe results
	ReportsProbe                     // with probe results only
)

// Class describes a class of calls: its deadlines, its worth and how its set-ups can be repeated.
type Class struct {
	Aim       time.Duration // set-up time up to which a served call has its full worth
	Deadline  time.Duration // period during which the caller keeps redialling
	Hold      time.Duration // mean holding time of a call, 0 if unknown
	Worth     float64       // what a served call counts
	LateWorth float64       // share of Worth for a set-up that takes longer than Aim
	Effect    Effect
	Group     Scope         // Keyed only: switches that recognise a repeat
	Window    time.Duration // Keyed only: time within which a repeat is recognised
	Pools     []int         // with Settings.Pools: numbers of the permitted pools; empty means any
}

// Settings configure a Controller. New takes the initial settings; Configure replaces them.
type Settings struct {
	Instances     int  // number of controllers in service
	Here          int  // number of the local exchange, -1 with Pools
	Pools         bool // destinations are agent pools shared by all controllers; there is no transit
	Classes       []Class
	FollowMembers bool // changes of the membership list must be requested with Host.Follow
	Reports       ReportMode
	Probes        bool          // switches answer probes
	RetryAfter    bool          // a rejection can carry retry advice
	MaxRetryAfter time.Duration // longest wait in retry advice
	MaxAttempts   int           // maximum attempts per call, at least 1
	ColdFrom      float64       // minimum share of its full capacity that a processor has right after its start
	WarmWithin    time.Duration // time after its start at which a processor has its full capacity
	FallMultiple  float64       // a cold processor fails above this ratio of load to capacity; 0: no limit
	ReleaseWait   time.Duration // wait before a retry after a time-out, reset or cancel
}

// check returns an error that names the first invalid setting, or nil.
func (s Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("brookmux: setting Classes is empty")
	} else if s.MaxAttempts < 1 {
		return fmt.Errorf("brookmux: setting MaxAttempts is %d, must be at least 1", s.MaxAttempts)
	} else if !s.Pools && s.Here < 0 {
		return fmt.Errorf("brookmux: setting Here is %d, must not be negative without Pools", s.Here)
	} else if s.ColdFrom > 1 {
		return fmt.Errorf("brookmux: setting ColdFrom is %v, must not exceed 1", s.ColdFrom)
	}
	type namedValue struct {
		name  string
		value float64
	}
	values := []namedValue{{"Instances", float64(s.Instances)}, {"MaxRetryAfter", float64(s.MaxRetryAfter)},
		{"ColdFrom", s.ColdFrom}, {"WarmWithin", float64(s.WarmWithin)}, {"FallMultiple", s.FallMultiple},
		{"ReleaseWait", float64(s.ReleaseWait)}}
	for i, class := range s.Classes {
		for _, v := range []namedValue{{"Aim", float64(class.Aim)}, {"Deadline", float64(class.Deadline)},
			{"Hold", float64(class.Hold)}, {"Worth", class.Worth}, {"LateWorth", class.LateWorth},
			{"Window", float64(class.Window)}} {
			values = append(values, namedValue{fmt.Sprintf("Classes[%d].%s", i, v.name), v.value})
		}
	}
	for _, v := range values {
		if !(v.value >= 0) || math.IsInf(v.value, 1) {
			return fmt.Errorf("brookmux: setting %s is %v, must be finite and not negative", v.name, v.value)
		}
	}
	return nil
}

// Absent marks a Report field that was not reported. Any negative, NaN or infinite value means the same.
const Absent = -1

// Report holds the contents of one report on a switch: the circuits toward it and the load of its processor.
// Each field can be Absent.
type Report struct {
	Free, Size float64 // free and total circuits of the local trunk group toward it, at the time of the report
	Active     float64 // messages being processed
	Queue      float64 // messages waiting
	Util       float64 // processor utilisation, 0 to 1
	Wait       float64 // queueing time at the processor in milliseconds
	Rate       float64 // new set-ups per second that it can accept from all senders together
	HoldBack   float64 // share of new set-ups that it asks each sender to withhold
}

// SwitchState is the state of a switch in the membership list.
type SwitchState int

// The states of a switch.
const (
	Gone     SwitchState = iota // removed; it does not return under the same ID
	Ready                       // accepts calls
	Draining                    // accepts no new calls
)

// Switch is one entry of the membership list.
type Switch struct {
	ID     SwitchID
	Number int // number of its exchange or pool
	Zone   int
	State  SwitchState
	Since  time.Duration // time of its last start, 0 if long ago
}

// ListKind is the kind of a Members event.
type ListKind int

// The kinds of Members events.
const (
	Delta  ListKind = iota // the changed entries only
	Full                   // the complete list
	Cached                 // the complete list as stored before a restart, possibly stale
	Failed                 // a Follow request failed; the current list still applies
)

// Members carries the membership list of switches, or a change to it.
type Members struct {
	Kind     ListKind
	Switches []Switch
}

// Call describes a call that is offered to this controller.
type Call struct {
	ID          CallID
	Class       int
	Tenant      int
	Number      uint64        // dialled number, 0 if unknown; a redial is matched by it
	Expires     time.Duration // time at which the caller abandons this try
	Destination int           // number of the destination exchange or pool
	Width       float64       // circuits that the call occupies, at least 1
	Via         int           // in transit: the exchange the call arrives from; else the advised tandem, or -1
	Transit     bool          // the call arrives from another exchange, and this exchange is its tandem
}

// Answer reports that an attempt has set up its call.
type Answer struct {
	Call    CallID
	Attempt int
	Elapsed time.Duration // time since the attempt was sent
}

// Result is the outcome of an attempt.
type Result int

// The results of an attempt.
const (
	ResultError         Result = iota // failed; the set-up may have run
	ResultOK                          // the call was served
	ResultFull                        // rejected for lack of circuits or processor capacity
	ResultTimeout                     // no answer within the time-out; the set-up may have run
	ResultConnectFailed               // no connection to the switch
	ResultReset                       // connection lost; the set-up may have run
	ResultCancelled                   // cancelled; the set-up may have run
	ResultMoot                        // the set-up can't have run
)

// Reason qualifies a Result.
type Reason int

// The reasons for a result.
const (
	ReasonNone             Reason = iota
	ReasonNoCircuit               // no circuit or agent
	ReasonRejectedByTandem        // rejected by the tandem
	ReasonDestinationFull         // rejected by the tandem because the destination's processor was full
	ReasonProcessorFull           // ResultFull: the switch's processor is full; ResultMoot: the local one is down
	ReasonLineBusy                // the called line is busy
	ReasonNotSent                 // the host did not send the set-up, because sending it would have broken a rule
)

// Outcome reports the end of an attempt. Each Send gets exactly one Outcome.
type Outcome struct {
	Call      CallID
	Attempt   int
	Switch    SwitchID
	Result    Result
	Reason    Reason
	Wait      time.Duration // back-off that a full processor asked for, 0 if none
	Elapsed   time.Duration // time since the attempt was sent
	CallEnded bool          // the call has ended and awaits no further answer
	Report    Report
}

// ProbeResult is the answer to a Probe, or an unsolicited report of a change in the circuits toward a switch.
type ProbeResult struct {
	Switch      SwitchID
	OK          bool
	Unsolicited bool // unsolicited: of the Report, only Free and Size are used
	Report      Report
}

// Host carries out the actions of a Controller. Its methods must not call the Controller.
type Host interface {
	// Send starts the call's next attempt with a time-out. The attempts of a call are numbered from 0.
	Send(call CallID, to SwitchID, timeout time.Duration)
	// Refuse rejects the call. A positive wait is retry advice: the caller should not redial before it is over.
	Refuse(call CallID, wait time.Duration)
	// Fail ends a call that must not be repeated because an attempt may have run.
	Fail(call CallID)
	// Probe asks a switch for its report.
	Probe(to SwitchID)
	// SetTimer requests a Timer event with this token after the delay. Timers can't be cancelled.
	SetTimer(delay time.Duration, token uint64)
	// Follow requests the changes of the membership list from now on.
	Follow()
	// Log records a message for on-call staff.
	Log(line string)
}
