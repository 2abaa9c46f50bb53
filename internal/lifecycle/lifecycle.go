// Package lifecycle tracks the phase of the program, from start to exit.
package lifecycle

import (
	"fmt"
	"sync"
	"time"
)

// State is a phase of the program.
type State int

// The states, in the order in which the program passes them.
const (
	Starting State = iota // accepts no requests
	Ready                 // listens and passes health checks
	Serving               // has accepted a request
	Draining              // was asked to stop: still accepts requests that arrive, and completes them
	Stopped               // nothing is open
)

// stateNames holds the name of each State, in the order of the constants.
var stateNames = [...]string{"starting", "ready", "serving", "draining", "stopped"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state %d", int(s))
	}
	return stateNames[s]
}

// Lifecycle holds the current state of the program. Its zero value is in Starting. It is safe for concurrent use.
type Lifecycle struct {
	mu       sync.Mutex
	state    State
	entered  time.Time // when the current state was entered, zero before the first change
	watchers []func(from, to State)
}

// State returns the current state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Since returns how long s has been the current state, or 0 if it is not the current state or no change was made.
func (l *Lifecycle) Since(s State) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != s || l.entered.IsZero() {
		return 0
	}
	return time.Since(l.entered)
}

// Watch registers f to be called at each later change. Functions are called one after the other in the order of their
// registration, with the lock held: f must not call back into the Lifecycle.
func (l *Lifecycle) Watch(f func(from, to State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, f)
}

// Advance changes to a later state; states in between may be skipped. If next is not a later state, Advance returns an
// error and changes nothing.
func (l *Lifecycle) Advance(next State) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next <= l.state || next > Stopped {
		return fmt.Errorf("lifecycle: invalid transition from %v to %v", l.state, next)
	}
	from := l.state
	l.state, l.entered = next, time.Now()
	for _, f := range l.watchers {
		f(from, next)
	}
	return nil
}
