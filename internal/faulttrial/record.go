// Package faulttrial runs short, dense fault-injection trials against the border controller as it is deployed. The
// controllers are real processes on loopback; cores, discovery and callers are simulated, and the faults are drawn from
// a seed.
//
// A Plan describes a trial, Run executes it, and Check evaluates it from the records of the simulated parts alone.
// Nothing in this package reads the controller's own state or log to reach a verdict.
package faulttrial

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind is the type of an Event.
type Kind string

// The kinds of events. Each comment lists the fields that are set beside At.
const (
	CallerSent     Kind = "caller_sent"     // Call, Controller, Connection, Deadline: a set-up was written completely
	CallerAnswer   Kind = "caller_answer"   // Call, Controller, Connection, Status, Text: a final answer was read
	CallerCancel   Kind = "caller_cancel"   // Call, Controller: the caller cancelled the set-up
	CallerRelease  Kind = "caller_release"  // Call, Controller, Connection: the controller released the call
	CallerHangup   Kind = "caller_hangup"   // Call, Controller: the caller released the call
	CallerLost     Kind = "caller_lost"     // Call, Controller, Connection, Text: the connection ended with no answer
	CoreSetup      Kind = "core_setup"      // Call, Core, Controller: a set-up was read
	CoreAnswer     Kind = "core_answer"     // Call, Core, Controller, Text: an answer was written
	CoreRefuse     Kind = "core_refuse"     // Call, Core, Cause: an attempt ended without an answer
	CoreGivenUp    Kind = "core_given_up"   // Call, Core, Text if its connection or core ended: a set-up was abandoned
	CoreEnd        Kind = "core_end"        // Call, Core, Controller, Text: a standing call ended, and how
	CoreRelease    Kind = "core_release"    // Call, Core, Controller: the core wrote the release of a standing call
	CoreReleased   Kind = "core_released"   // Call, Core: the controller released a standing call
	ProcessStart   Kind = "process_start"   // Controller
	ProcessReady   Kind = "process_ready"   // Controller
	ProcessSignal  Kind = "process_signal"  // Controller, Text
	ProcessExit    Kind = "process_exit"    // Controller, Text: exit status, or what ended the process
	CoreUnlinked   Kind = "core_unlinked"   // Core, Controller: the core has dropped all connections from the controller
	DiscoverySet   Kind = "discovery_set"   // Core, Serial, Started, Text: the membership list changed, Text is the new state
	DiscoverySent  Kind = "discovery_sent"  // Controller, Serial, Asked: an answer with the list at this serial was sent
	DiscoveryFault Kind = "discovery_fault" // Text: a fault of discovery begins or ends
	Fault          Kind = "fault"           // Core or Controller, Text: a fault begins or ends
	Usage          Kind = "usage"           // Controller, Memory, Descriptors
	TrialEnd       Kind = "trial_end"       // limits that end later are not checked
)

// Event is one entry of a trial's record. Fields that do not apply to its kind are zero.
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
	Asked       time.Duration `json:"asked,omitempty"`   // when the query that is answered arrived
	Started     time.Duration `json:"started,omitempty"` // of the core, as listed, since the trial's start
	Memory      int64         `json:"memory,omitempty"`  // resident set size in bytes
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

// Since returns the time from the trial's start to t.
func (r *Recorder) Since(t time.Time) time.Duration { return t.Sub(r.start) }

// Add appends an event and sets its At to the current time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.events = append(r.events, e)
}

// Events returns a copy of all events so far, in order.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// WriteTo writes the events as JSON lines. The returned count is always 0.
func (r *Recorder) WriteTo(w io.Writer) (int64, error) {
	encoder := json.NewEncoder(w)
	for _, e := range r.Events() {
		if err := encoder.Encode(e); err != nil {
			return 0, fmt.Errorf("faulttrial: record: %w", err)
		}
	}
	return 0, nil
}
