package core

import (
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
	queueLength        = 1024
	answerMargin       = 20 * time.Millisecond // a final answer is sent this long before the caller's deadline
	deadlineGuardDelay = 10 * time.Millisecond // time left to the module after that before the engine answers itself
	releaseMargin      = 20 * time.Millisecond // added to the release wait, since peers may read a message late
	endedRetention     = 30 * time.Second      // keys of ended calls are kept for one to two of these periods
	maxEndedKeys       = 16384                 // per period
	maxMovedIDs        = 256                   // former ids of cores that are kept, see Moved
	maxEarlyReports    = 256                   // group states of cores that are not listed yet

	// Callers send requests for up to 600 ms after SIGTERM, and the last ones may be read late: set-ups are accepted
	// for drainAcceptance, and the drain lasts at least drainMin.
	drainAcceptance = 650 * time.Millisecond
	drainMin        = 800 * time.Millisecond
	drainMax        = 5 * time.Minute // longest wait for calls that stand
	countsInterval  = 10 * time.Second
)

// Config holds the settings and the dependencies of an Engine.
type Config struct {
	Settings       settings.Settings
	Seed           uint64
	Trunks         Trunks
	Log            *slog.Logger
	Origin         time.Time                     // zero of the engine's clock; before any time passed to the engine
	ReleaseOrphan  func(key string, cause Cause) // releases a call of an earlier process to its caller, may be nil
	OnFirstRequest func()                        // called at the first accepted request, may be nil
	AnswersWait    func() bool                   // reports whether input of cores is unread, may be nil
	Reports        chan<- Counts                 // receives the totals periodically unless full; may be nil

	Storm             *storm.Storm         // detects and damps retry storms, nil for none
	OnStormChange     func(storm.Change)   // called at each change of a storm state, may be nil
	OnConditionChange func(int, Condition) // called when the condition of an exchange changes, may be nil; must not block

	MaxBytes int64 // limit on the memory of requests that are queued or await a final answer, 0 for none

	// Clock, if not nil, replaces the wall clock, and Step must be called instead of Run. All events are then handled
	// in the calling goroutine, at the times of this clock.
	Clock func() time.Duration
}

// Engine owns the decision module and the call table. Create it with New and start it with Run. Its exported methods
// may be called from any goroutine unless Config.Clock is set.
type Engine struct {
	Config
	ctl       *brookmux.Controller
	queue     chan func() // events other than requests, which are handled first
	requests  requestQueue
	stepQueue []func()      // replaces queue where Clock is set
	done      chan struct{} // closed when Run returns
	timers    timers
	wakeTimer *time.Timer
	now       time.Duration  // of the event being handled
	classes   map[string]int // index by name

	calls            map[string]*call
	byID             map[brookmux.CallID]*call
	lastID           brookmux.CallID
	switches         map[brookmux.SwitchID]brookmux.Switch
	ended            endedKeys
	movedIDs         map[brookmux.SwitchID]brookmux.SwitchID // current id by former id, of cores
	setUpCounters    map[int]*setUpCounter                   // by exchange
	knownExchanges   map[int]bool                            // every exchange that was ever listed
	published        map[int]Condition                       // of exchanges, as last published
	groupSizes       map[int]float64                         // circuits toward exchanges, as last reported
	earlyReports     map[brookmux.SwitchID]brookmux.Report   // group states of cores that are not listed yet
	planned          map[int]float64                         // planned set-ups a second, by exchange
	openCalls        int                                     // calls that await a final answer
	maxBytes         atomic.Int64                            // limit on heldBytes, 0 for none
	heldBytes        atomic.Int64                            // memory of requests that are queued or await a final answer
	orphanReleasedAt time.Duration                           // rate limit on orphan releases: virtual time of the last one
	deferred         []func()                                // run after the module has returned
	counts           Counts
	drained          chan struct{}
	drainStart       time.Duration // when Drain was called, 0 if not
	firstRequestSeen bool
	maxOpen          int           // limit on openCalls, 0 for none
	reportInterval   time.Duration // between two reports of the totals
	reportTimer      *timer
}

// New returns an Engine, or an error that names the invalid setting.
func New(c Config) (*Engine, error) {
	e := &Engine{Config: c, queue: make(chan func(), queueLength), requests: newRequestQueue(), done: make(chan struct{}),
		wakeTimer: time.NewTimer(time.Hour), maxOpen: c.Settings.MaxOpenCalls, reportInterval: countsInterval,
		classes: map[string]int{}, calls: map[string]*call{}, byID: map[brookmux.CallID]*call{},
		switches: map[brookmux.SwitchID]brookmux.Switch{}, drained: make(chan struct{}),
		setUpCounters: map[int]*setUpCounter{}, knownExchanges: map[int]bool{},
		movedIDs: map[brookmux.SwitchID]brookmux.SwitchID{}, groupSizes: map[int]float64{},
		earlyReports: map[brookmux.SwitchID]brookmux.Report{}, published: map[int]Condition{}, ended: newEndedKeys()}
	e.maxBytes.Store(c.MaxBytes)
	var err error
	if e.ctl, err = brookmux.New(withReleaseMargin(c.Settings.Module), c.Seed, host{e}); err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	e.indexClasses()
	return e, nil
}

// withReleaseMargin returns the settings for the module, with the release wait extended by releaseMargin.
func withReleaseMargin(m brookmux.Settings) brookmux.Settings {
	m.ReleaseWait += releaseMargin
	return m
}

// indexClasses rebuilds the index of class names from the settings.
func (e *Engine) indexClasses() {
	clear(e.classes)
	for i, name := range e.Settings.ClassNames {
		if name != "" {
			e.classes[name] = i
		}
	}
}

// Configure applies new settings atomically between two events, or returns an error and changes nothing. Open calls
// keep the deadlines they were accepted with. It blocks until the owner has applied the settings or the engine has
// stopped.
func (e *Engine) Configure(s settings.Settings, maxBytes int64) error {
	done := make(chan error, 1)
	e.ConfigureLater(s, maxBytes, func(err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-e.done:
		return errors.New("core: engine has stopped")
	}
}

// ConfigureLater is Configure without the wait. done receives the result in the owner's goroutine; it is not called if
// the engine stops first.
func (e *Engine) ConfigureLater(s settings.Settings, maxBytes int64, done func(error)) {
	e.post(func() {
		next := s.WithIndexesOf(e.Settings)
		err := e.ctl.Configure(withReleaseMargin(next.Module))
		if err == nil && e.Storm != nil {
			err = e.Storm.Configure(StormConfig(e.Storm.Config, next))
		}
		if err == nil {
			e.Settings = next
			e.indexClasses()
			e.maxBytes.Store(maxBytes)
		}
		done(err)
	})
}

// post queues an event for the owner. It blocks while the queue is full. After Run has returned, events are dropped
// without blocking.
func (e *Engine) post(f func()) {
	if e.Clock != nil {
		e.stepQueue = append(e.stepQueue, f)
		return
	}
	select {
	case e.queue <- f:
	case <-e.done:
	}
}

// Run handles events until the context is cancelled. A panic is returned as an error with its stack trace.
func (e *Engine) Run(ctx context.Context) (err error) {
	defer close(e.done)
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("core: panic: %v\n%s", p, debug.Stack())
		}
	}()
	e.startTimers()
	for {
		f, err := e.next(ctx)
		if err != nil {
			return nil
		}
		if f != nil {
			e.readClock()
			f()
		}
		e.readClock()
		e.fireTimers()
		e.runDeferred()
		e.armWakeTimer()
	}
}

// startTimers starts the periodic tasks of the engine.
func (e *Engine) startTimers() {
	e.readClock()
	e.reportTimer = e.schedule(e.reportInterval, e.reportCounts)
	e.schedule(endedRetention, e.rotateEnded)
	if e.Storm != nil {
		e.schedule(stormInterval, e.tickStorm)
	}
}

// Step replaces Run where Clock is set. It handles all queued events and all due timers, and returns the time of the
// next timer on that clock.
func (e *Engine) Step() time.Duration {
	if e.reportTimer == nil {
		e.startTimers()
	}
	for e.readClock(); ; {
		if len(e.stepQueue) > 0 {
			f := e.stepQueue[0]
			e.stepQueue = e.stepQueue[1:]
			f()
		} else if e.dropStoppedTimers(); e.timers.list[0].at > e.now { // never empty: reportTimer is always pending
			return e.timers.list[0].at
		}
		e.fireTimers()
		e.runDeferred()
	}
}

// readClock sets now from the clock.
func (e *Engine) readClock() {
	if e.Clock != nil {
		e.now = e.Clock()
	} else {
		e.now = time.Since(e.Origin)
	}
}

// runDeferred runs the functions that had to wait until the module returned, such as the report of an outcome that a
// guard produced.
func (e *Engine) runDeferred() {
	for len(e.deferred) > 0 {
		f := e.deferred[0]
		e.deferred = e.deferred[1:]
		f()
	}
}

// MembersChanged applies a membership list, or a change to it, from discovery.
func (e *Engine) MembersChanged(m brookmux.Members) {
	e.post(func() {
		before := maps.Clone(e.switches)
		if m.Kind != brookmux.Delta {
			clear(e.switches)
		}
		for _, s := range m.Switches {
			e.reportStart(before, s)
			delete(e.movedIDs, s.ID) // listed under its own id again
			if e.switches[s.ID] = s; s.State == brookmux.Gone {
				delete(e.switches, s.ID)
			}
			e.knownExchanges[s.Number] = true
		}
		e.ctl.MembersChanged(e.now, m)
		for _, s := range m.Switches {
			e.applyEarlyReport(s.ID)
		}
		e.publishConditions()
		e.Config.Log.Debug("members", "kind", m.Kind, "switches", m.Switches, "now", e.now)
	})
}

// Reported handles a report of a core that belongs to no call.
func (e *Engine) Reported(from brookmux.SwitchID, r brookmux.Report, unsolicited bool) {
	e.post(func() { e.applyReport(from, r, unsolicited) })
}

// applyReport passes a report to the module and keeps the size of the trunk group. An unsolicited report of a core that is
// not listed is kept until it is: cores report the state of a group when a connection opens, and then only its changes.
func (e *Engine) applyReport(from brookmux.SwitchID, r brookmux.Report, unsolicited bool) {
	s, listed := e.switches[from]
	switch {
	case listed && r.Size >= 0:
		e.groupSizes[s.Number] = r.Size
	case !listed && unsolicited:
		e.keepEarlyReport(from, r)
	}
	e.ctl.Probed(e.now, brookmux.ProbeResult{Switch: from, OK: true, Unsolicited: unsolicited, Report: r})
}

// keepEarlyReport keeps the report of a core that is not listed. At the limit those of other cores are dropped: they are
// mostly the last reports of cores that have gone.
func (e *Engine) keepEarlyReport(from brookmux.SwitchID, r brookmux.Report) {
	if len(e.earlyReports) >= maxEarlyReports {
		clear(e.earlyReports)
	}
	e.earlyReports[from] = r
}

// applyEarlyReport applies the report of a core that was kept until the core is listed, if there is one.
func (e *Engine) applyEarlyReport(id brookmux.SwitchID) {
	r, kept := e.earlyReports[id]
	if _, listed := e.switches[id]; kept && listed {
		delete(e.earlyReports, id)
		e.applyReport(id, r, true)
	}
}

// SetMaxOpenCalls sets the maximum number of calls that may await a final answer at a time; 0 means no limit.
func (e *Engine) SetMaxOpenCalls(n int) { e.post(func() { e.maxOpen = n }) }

// SetReportInterval sets the time between two reports of the totals; 0 or less means the default.
func (e *Engine) SetReportInterval(d time.Duration) {
	e.post(func() {
		if d <= 0 {
			d = countsInterval
		}
		if e.reportInterval != d {
			e.reportInterval = d
			e.reportTimer.stop()
			e.reportTimer = e.schedule(d, e.reportCounts)
		}
	})
}

// Drain starts the shutdown: open calls get their answers and calls that stand may finish. Set-ups that arrive after
// drainAcceptance are rejected. The channel is closed when no call is left and no more are expected, or after drainMax.
func (e *Engine) Drain() <-chan struct{} {
	e.post(func() {
		e.drainStart = max(1, e.now)
		e.schedule(drainMin, e.checkDrained)
		e.schedule(drainMax, e.finishDrain)
	})
	return e.drained
}

// draining reports whether set-ups are rejected because the process is shutting down.
func (e *Engine) draining() bool { return e.drainStart > 0 && e.now-e.drainStart >= drainAcceptance }

// checkDrained finishes the drain when no call is left and drainMin has passed.
func (e *Engine) checkDrained() {
	if e.drainStart > 0 && e.now-e.drainStart >= drainMin && len(e.calls) == 0 {
		e.finishDrain()
	}
}

// finishDrain closes the channel returned by Drain, once.
func (e *Engine) finishDrain() {
	select {
	case <-e.drained:
	default:
		e.Config.Log.Info("drained", "took", e.now-e.drainStart, "standing", len(e.calls)-e.openCalls,
			"open", e.openCalls, "turned_away", e.counts.Draining)
		close(e.drained)
	}
}
