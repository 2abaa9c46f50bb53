package core

import (
	"container/heap"
	"time"
)

// timer is a scheduled callback. A stopped timer has a nil callback and stays in the heap until it reaches the head.
type timer struct {
	at       time.Duration
	seq      uint64 // order of creation, breaks ties
	callback func()
}

// timers is a heap ordered by due time.
type timers struct {
	list []*timer
	seq  uint64
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }
func (t *timers) Push(x any)    { t.list = append(t.list, x.(*timer)) }
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list[len(t.list)-1] = nil
	t.list = t.list[:len(t.list)-1]
	return last
}

// schedule runs f in the owner's goroutine after a delay.
func (e *Engine) schedule(delay time.Duration, f func()) *timer {
	e.timers.seq++
	t := &timer{at: e.now + max(0, delay), seq: e.timers.seq, callback: f}
	heap.Push(&e.timers, t)
	return t
}

// stop cancels a timer. It accepts a nil timer.
func (t *timer) stop() {
	if t != nil {
		t.callback = nil
	}
}

// fireTimers runs the timers that are due. A timer that one of them schedules without delay runs in the next round.
func (e *Engine) fireTimers() {
	last := e.timers.seq
	for e.timers.Len() > 0 && e.timers.list[0].at <= e.now && e.timers.list[0].seq <= last {
		if t := heap.Pop(&e.timers).(*timer); t.callback != nil {
			t.callback()
		}
	}
}

// dropStoppedTimers removes stopped timers from the head of the heap.
func (e *Engine) dropStoppedTimers() {
	for e.timers.Len() > 0 && e.timers.list[0].callback == nil {
		heap.Pop(&e.timers)
	}
}

// armWakeTimer sets the wake-up of Run for the next timer.
func (e *Engine) armWakeTimer() {
	e.dropStoppedTimers()
	if e.timers.Len() > 0 {
		e.wakeTimer.Reset(max(0, e.timers.list[0].at-time.Since(e.Origin)))
	}
}
