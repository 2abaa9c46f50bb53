// Package standin simulates the environment of a border controller in virtual time: callers that redial,
// single-server processors, circuit groups and other controllers of this program. The controllers run the real core
// and decision module, driven step by step; everything else is simulated here.
//
// The package owns the virtual clock, the state of the simulation and the rule checks, which share no code with the
// guards of the core. It must not depend on how the controllers decide. A mesh runs on one goroutine, and the same
// seed gives the same run.
package standin

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of scheduled events. The zero value is ready for use and starts at 0. It is not
// safe for concurrent use.
type Clock struct {
	now    time.Duration
	events events
	seq    uint64
}

// Now returns the current virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules f to run after d. Events at the same time run in the order in which they were scheduled.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + max(0, d), c.seq, f})
}

// Run runs all events before until, in order of time, and advances the clock to until.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at < until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = max(c.now, until)
}

// event is a function that runs at a time of the clock.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// events is a heap ordered by time, then by the order of scheduling.
type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
