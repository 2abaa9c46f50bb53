package core

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"sync/atomic"
	"time"

	"brookmux"
	"brookmux/internal/settings"
	"brookmux/internal/storm"
)

const (
	queueLength   = 1024
	answerEarly   = 20 * time.Millisecond  // a final answer leaves this long before the caller's own deadline
	guardLate     = 10 * time.Millisecond  // the guard on the deadline waits for the module this long
	releaseMargin = 20 * time.Millisecond  // on the wait after a timeout, reset or cancel: peers may read late
	recentSpan    = 30 * time.Second       // ended calls are remembered for one to two of these
	mostRecent    = 16384                  // and so many in each
	mostMoved     = 256                    // former ids of cores that are remembered
	drainAdmit    = 650 * time.Millisecond // after SIGTERM, calls are served for so long: callers go on for up to 600 ms
	drainMin      = 800 * time.Millisecond // requests go on coming for up to 600 ms after SIGTERM, and are read late
	drainMax      = 5 * time.Minute        // calls that stand are waited for no longer than this
	countsEvery   = 10 * time.Second
)

// Config is what an Engine is made of.
type Config struct {
	Settings      settings.Settings
	Seed          uint64
	Trunks        Trunks
	Log           *slog.Logger
	Origin        time.Time                     // the clock's zero; before any time that is handed in
	ReleaseOrphan func(key string, cause Cause) // releases a call that this process did not set up
	Took          func()                        // called at the first request, may be nil
	Reports       chan<- Counts                 // gets the totals now and then if it has room, may be nil

	Storm     *storm.Storm         // sees storms and damps them, nil for none
	Changed   func(storm.Change)   // told of each change of a storm's state, may be nil
	Condition func(int, Condition) // told how an exchange is when that changes, may be nil; it must not block

	MostBytes int64 // of requests that may be held at a time, 0 for any number

	// Clock, where it is not nil, takes the place of the wall clock, and Step that of Run: everything then happens
	// in one goroutine, at times that are the clock's.
	Clock func() time.Duration
}

// Engine owns the module and the table of calls. Use New, then Run.
type Engine struct {
	Config
	ctl     *brookmux.Controller
	queue   chan func()
	stepped []func()      // in place of queue where there is a Clock
	done    chan struct{} // closed when Run returns
	timers  timers
	wake    *time.Timer
	now     time.Duration // of the event being handled
	classes map[string]int

	calls            map[string]*call
	byID             map[brookmux.CallID]*call
	lastID           brookmux.CallID
	switches         map[brookmux.SwitchID]brookmux.Switch
	recent           [2]map[string]struct{}
	moved            map[brookmux.SwitchID]brookmux.SwitchID // former ids of cores
	loads            map[int]*load                           // by exchange
	numbers          map[int]bool                            // of the exchanges that were ever listed
	told             map[int]Condition                       // how exchanges are, as last told
	sizes            map[int]float64                         // of the groups toward them, as last told
	planned          map[int]float64                         // set-ups a second that exchanges are planned to bear, by number
	open             int                                     // calls that are owed an answer
	mostBytes        atomic.Int64                            // of them, 0 for any number
	held             atomic.Int64                            // bytes of the requests that are queued or owed an answer
	orphanReleasedAt time.Duration                           // when the last hang-up of an unknown call was paid for
	after            []func()
	counts           Counts
	drained          chan struct{}
	drainFrom        time.Duration // when Drain was called, 0 if it was not
	started          bool
	most             int           // calls open at a time, 0 for any number
	every            time.Duration // between two reports of the totals
	reporter         *timer
}

// New returns an Engine, or an error that names the setting it can't serve.
func New(c Config) (*Engine, error) {
	e := &Engine{Config: c, queue: make(chan func(), queueLength), done: make(chan struct{}), wake: time.NewTimer(time.Hour),
		most: c.Settings.MostHeld, every: countsEvery,
		classes: map[string]int{}, calls: map[string]*call{}, byID: map[brookmux.CallID]*call{},
		switches: map[brookmux.SwitchID]brookmux.Switch{}, drained: make(chan struct{}), loads: map[int]*load{},
		numbers: map[int]bool{}, moved: map[brookmux.SwitchID]brookmux.SwitchID{}, sizes: map[int]float64{}, told: map[int]Condition{}}
	e.recent = [2]map[string]struct{}{{}, {}}
	e.mostBytes.Store(c.MostBytes)
	var err error
	if e.ctl, err = brookmux.New(withMargin(c.Settings.Module), c.Seed, host{e}); err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	e.name()
	return e, nil
}

// withMargin is what the module is told: it waits a little longer than it has to.
func withMargin(m brookmux.Settings) brookmux.Settings {
	m.ReleaseWait += releaseMargin
	return m
}

// name takes the names of the classes.
func (e *Engine) name() {
	clear(e.classes)
	for i, name := range e.Settings.ClassNames {
		if name != "" {
			e.classes[name] = i
		}
	}
}

// Configure puts other settings in force, all of them between two events, or returns an error and changes
// nothing. Calls under way go on with what they were taken with.
func (e *Engine) Configure(s settings.Settings, mostBytes int64) error {
	done := make(chan error, 1)
	e.ConfigureLater(s, mostBytes, func(err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-e.done:
		return errors.New("core: has ended")
	}
}

// ConfigureLater is Configure without the wait: then is told, in the owner's goroutine.
func (e *Engine) ConfigureLater(s settings.Settings, mostBytes int64, then func(error)) {
	e.post(func() {
		next := s.After(e.Settings)
		err := e.ctl.Configure(withMargin(next.Module))
		if err == nil && e.Storm != nil {
			err = e.Storm.Configure(StormConfig(e.Storm.Config, next))
		}
		if err == nil {
			e.Settings = next
			e.name()
			e.mostBytes.Store(mostBytes)
		}
		then(err)
	})
}

// post hands an event to the owner; readers wait here while the queue is full. After the owner has ended
// nothing is taken any more, and nobody waits.
func (e *Engine) post(f func()) {
	if e.Clock != nil {
		e.stepped = append(e.stepped, f)
		return
	}
	select {
	case e.queue <- f:
	case <-e.done:
	}
}

// Run handles events until the context ends. A panic is returned as an error with its stack.
func (e *Engine) Run(ctx context.Context) (err error) {
	defer close(e.done)
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("core: panic: %v\n%s", p, debug.Stack())
		}
	}()
	e.begin()
	for {
		select {
		case f := <-e.queue:
			e.tick()
			f()
		case <-e.wake.C:
		case <-ctx.Done():
			return nil
		}
		e.tick()
		e.fire()
		e.settle()
		e.arm()
	}
}

// begin starts what runs as long as the engine does.
func (e *Engine) begin() {
	e.tick()
	e.reporter = e.in(e.every, e.report)
	e.in(recentSpan, e.forget)
	if e.Storm != nil {
		e.in(stormEvery, e.followStorm)
	}
}

// Step handles all that was handed in and all timers that are due, in place of Run, and returns the time of the
// next timer on the engine's Clock.
func (e *Engine) Step() time.Duration {
	if e.reporter == nil {
		e.begin()
	}
	for e.tick(); ; {
		if len(e.stepped) > 0 {
			f := e.stepped[0]
			e.stepped = e.stepped[1:]
			f()
		} else if e.trim(); e.timers.list[0].at > e.now { // the reporter is always there
			return e.timers.list[0].at
		}
		e.fire()
		e.settle()
	}
}

// tick reads the clock.
func (e *Engine) tick() {
	if e.Clock != nil {
		e.now = e.Clock()
	} else {
		e.now = time.Since(e.Origin)
	}
}

// settle runs what had to wait until the module returned, such as an outcome that a guard made.
func (e *Engine) settle() {
	for len(e.after) > 0 {
		f := e.after[0]
		e.after = e.after[1:]
		f()
	}
}

// timer is an event to come. One that is no longer wanted is marked by a nil do.
type timer struct {
	at  time.Duration
	seq uint64
	do  func()
}

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

// in runs f after a delay.
func (e *Engine) in(delay time.Duration, f func()) *timer {
	e.timers.seq++
	t := &timer{at: e.now + max(0, delay), seq: e.timers.seq, do: f}
	heap.Push(&e.timers, t)
	return t
}

// stop takes a timer back.
func (t *timer) stop() {
	if t != nil {
		t.do = nil
	}
}

// fire runs the timers that are due; one that they add for now comes in the next round.
func (e *Engine) fire() {
	last := e.timers.seq
	for e.timers.Len() > 0 && e.timers.list[0].at <= e.now && e.timers.list[0].seq <= last {
		if t := heap.Pop(&e.timers).(*timer); t.do != nil {
			t.do()
		}
	}
}

// trim takes off timers at the head that are no longer wanted.
func (e *Engine) trim() {
	for e.timers.Len() > 0 && e.timers.list[0].do == nil {
		heap.Pop(&e.timers)
	}
}

// arm sets the alarm for the next timer.
func (e *Engine) arm() {
	e.trim()
	if e.timers.Len() > 0 {
		e.wake.Reset(max(0, e.timers.list[0].at-time.Since(e.Origin)))
	}
}

// Listed takes the name service's word on the cores.
func (e *Engine) Listed(m brookmux.Members) {
	e.post(func() {
		before := maps.Clone(e.switches)
		if m.Kind != brookmux.Delta {
			clear(e.switches)
		}
		for _, s := range m.Switches {
			e.noteStart(before, s)
			delete(e.moved, s.ID) // listed under its own id again
			if e.switches[s.ID] = s; s.State == brookmux.Gone {
				delete(e.switches, s.ID)
			}
			e.numbers[s.Number] = true
		}
		e.ctl.Members(e.now, m)
		e.tellConditions()
		e.Config.Log.Debug("members", "kind", m.Kind, "switches", m.Switches, "now", e.now)
	})
}

// Reported takes a core's report that belongs to no call.
func (e *Engine) Reported(from brookmux.SwitchID, r brookmux.Report, unasked bool) {
	e.post(func() { e.learn(from, r, unasked) })
}

// learn hands a report to the module.
func (e *Engine) learn(from brookmux.SwitchID, r brookmux.Report, unasked bool) {
	if s, ok := e.switches[from]; ok && r.Size >= 0 {
		e.sizes[s.Number] = r.Size
	}
	e.ctl.Probed(e.now, brookmux.ProbeResult{Switch: from, OK: true, Unasked: unasked, Report: r})
}

// SetMostOpen bounds the calls that may be owed an answer at a time; 0 means any number.
func (e *Engine) SetMostOpen(n int) { e.post(func() { e.most = n }) }

// SetReportEvery sets the time between two reports of the totals; 0 means the usual one.
func (e *Engine) SetReportEvery(d time.Duration) {
	e.post(func() {
		if d <= 0 {
			d = countsEvery
		}
		if e.every != d {
			e.every = d
			e.reporter.stop()
			e.reporter = e.in(d, e.report)
		}
	})
}

// Drain lets the calls finish that are owed an answer or stand; the channel closes once there are none and no more can
// come, or when they were waited for long enough. Set-ups that still come after a while are turned away.
func (e *Engine) Drain() <-chan struct{} {
	e.post(func() {
		e.drainFrom = max(1, e.now)
		e.in(drainMin, e.checkDrained)
		e.in(drainMax, e.endDrain)
	})
	return e.drained
}

// draining tells whether set-ups are turned away because the program is about to end.
func (e *Engine) draining() bool { return e.drainFrom > 0 && e.now-e.drainFrom >= drainAdmit }

// checkDrained ends the drain when nothing is left.
func (e *Engine) checkDrained() {
	if e.drainFrom > 0 && e.now-e.drainFrom >= drainMin && len(e.calls) == 0 {
		e.endDrain()
	}
}

// endDrain closes the channel of Drain.
func (e *Engine) endDrain() {
	select {
	case <-e.drained:
	default:
		e.Config.Log.Info("drained", "took", e.now-e.drainFrom, "standing", len(e.calls)-e.open, "open", e.open, "turned_away", e.counts.Draining)
		close(e.drained)
	}
}
