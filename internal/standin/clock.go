// Package standin plays everything that a border controller talks to, in virtual time: callers that dial again,
// processors with one line, circuit groups and other controllers of this program. The controllers are the
// project's own core and decision module, driven step by step; what stands in for the rest is scripted here.
//
// The package owns the virtual clock, the stand-ins' state and the checks of the rules, which share no code with
// the guards of the core. It must not know how anything is decided. One goroutine runs a mesh; the same seed
// gives the same run.
package standin

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with the events that are to come. The zero value stands at 0.
type Clock struct {
	now    time.Duration
	events events
	seq    uint64
}

// Now is the present time.
func (c *Clock) Now() time.Duration { return c.now }

// After runs f so much later; events of one time run in the order in which they were asked for.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + max(0, d), c.seq, f})
}

// Run lets all happen that comes before a time, and moves there.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at < until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = max(c.now, until)
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

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
