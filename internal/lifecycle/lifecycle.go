// Package lifecycle holds the program's phases, from start to exit, as the named states of one object.
package lifecycle

import (
	"fmt"
	"sync"
	"time"
)

// State is a phase of the program.
type State int

// The states, in the order in which they are passed.
const (
	Starting State = iota // nothing is taken yet
	Ready                 // listens and passes tests
	Serving               // has taken a request
	Draining              // told to stop: goes on taking what still comes, and finishes it
	Stopped               // nothing is open any more
)

var names = [...]string{"starting", "ready", "serving", "draining", "stopped"}

// String returns the state's name.
func (s State) String() string {
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("state %d", int(s))
	}
	return names[s]
}

// Lifecycle is the program's phase. Its zero value is Starting; it may be used from any goroutine.
type Lifecycle struct {
	mu      sync.Mutex
	state   State
	entered time.Time // when the present state was entered
	watches []func(from, to State)
}

// State returns the present state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Since returns how long a state has been the present one, 0 if it is not.
func (l *Lifecycle) Since(s State) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != s || l.entered.IsZero() {
		return 0
	}
	return time.Since(l.entered)
}

// Watch calls f, in turn, at each later change. f must not call back into the Lifecycle.
func (l *Lifecycle) Watch(f func(from, to State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches = append(l.watches, f)
}

// To moves on to a later state. It returns an error, and changes nothing, when that is not ahead.
func (l *Lifecycle) To(next State) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next <= l.state || next > Stopped {
		return fmt.Errorf("lifecycle: no way from %v to %v", l.state, next)
	}
	from := l.state
	l.state, l.entered = next, time.Now()
	for _, f := range l.watches {
		f(from, next)
	}
	return nil
}
