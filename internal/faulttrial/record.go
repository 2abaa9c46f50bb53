// Package faulttrial runs short, dense fault-injection trials against the border controller as it is deployed: real
// processes on loopback, stand-in cores, discovery and callers, faults drawn from a seed, and a checker that judges
// from the records of the stand-ins alone.
//
// A trial is described by a Plan, played by Run, and judged by Check. Nothing in this package reads the
// controller's own state or log to reach a verdict.
package faulttrial

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind names what happened in an Event.
type Kind string

// The kinds of events. The comment names the fields that are set beside At.
const (
	CallerSent     Kind = "caller_sent"     // Call, Controller, Connection: a set-up was written whole
	CallerAnswer   Kind = "caller_answer"   // Call, Controller, Status, Text: a final answer was read
	CallerCancel   Kind = "caller_cancel"   // Call: the caller gave the set-up up
	CallerRelease  Kind = "caller_release"  // Call: the caller was told that the call is over
	CallerHangup   Kind = "caller_hangup"   // Call: the caller released the call
	CallerLost     Kind = "caller_lost"     // Call, Text: the connection of an unanswered set-up ended
	CoreSetup      Kind = "core_setup"      // Call, Core, Controller: a set-up was read
	CoreAnswer     Kind = "core_answer"     // Call, Core, Text: an answer was written
	CoreRefuse     Kind = "core_refuse"     // Call, Core, Cause: an attempt ended without an answer
	CoreGivenUp    Kind = "core_given_up"   // Call, Core: a set-up was given up by the controller
	CoreEnd        Kind = "core_end"        // Call, Core, Text: a call that stood is over
	CoreRelease    Kind = "core_release"    // Call, Core: the release of a call that stood was written
	CoreReleased   Kind = "core_released"   // Call, Core: the controller released a call that stood
	ProcessStart   Kind = "process_start"   // Controller
	ProcessReady   Kind = "process_ready"   // Controller
	ProcessSignal  Kind = "process_signal"  // Controller, Text
	ProcessExit    Kind = "process_exit"    // Controller, Text: how it ended
	DiscoverySet   Kind = "discovery_set"   // Core, Text: the list has a change
	DiscoverySent  Kind = "discovery_sent"  // Controller, Serial: an answer was sent
	DiscoveryFault Kind = "discovery_fault" // Text: a fault of discovery begins or ends
	Fault          Kind = "fault"           // Core or Controller, Text: a fault begins or ends
	Usage          Kind = "usage"           // Controller, Memory, Descriptors
	TrialEnd       Kind = "trial_end"       // nothing is judged past this
)

// Event is one line of a trial's record.
type Event struct {
	At          time.Duration `json:"at"` // since the trial's start
	Kind        Kind          `json:"kind"`
	Call        string        `json:"call,omitempty"`
	Controller  string        `json:"controller,omitempty"`
	Core        string        `json:"core,omitempty"`
	Connection  int           `json:"connection,omitempty"`
	Status      int           `json:"status,omitempty"`
	Cause       int           `json:"cause,omitempty"`
	Serial      uint32        `json:"serial,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"`
	Memory      int64         `json:"memory,omitempty"` // bytes resident
	Descriptors int           `json:"descriptors,omitempty"`
	Text        string        `json:"text,omitempty"`
}

// Recorder collects the events of a trial. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder returns a Recorder whose clock starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the time since the trial's start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event at the present time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.events = append(r.events, e)
}

// Events returns all events so far, in order.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// WriteTo writes the events as JSON lines.
func (r *Recorder) WriteTo(w io.Writer) (int64, error) {
	encoder := json.NewEncoder(w)
	for _, e := range r.Events() {
		if err := encoder.Encode(e); err != nil {
			return 0, fmt.Errorf("faulttrial: record: %w", err)
		}
	}
	return 0, nil
}
