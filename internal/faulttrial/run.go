package faulttrial

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	newConnectionPeriod = 300 * time.Millisecond // after SIGTERM, callers open new connections for this long
	requestPeriod       = 500 * time.Millisecond // and, if they stop, send on open ones for this long
	reloadInterval      = 300 * time.Millisecond // between configurations in quick succession
	signalInterval      = 150 * time.Millisecond // between the signals of a series
	measureInterval     = 500 * time.Millisecond // between records of memory and descriptors
	settleTime          = 11 * time.Second       // after the last fault: releases are due within 8 s, discovery answers
	lagInterval         = 5 * time.Millisecond   // of the timers whose delay is measured
	coreCapacity        = 60                     // set-ups per second that a warm core can serve, for RuleCold
)

// Trial is a plan that was run, with its events and verdict.
type Trial struct {
	Plan    Plan
	Verdict Verdict
	Events  []Event
	Lag     time.Duration // largest delay of the trial's own timers
	Dir     string        // of logs and records
}

// runner runs a plan in a lab.
type runner struct {
	Plan
	lab  *Lab
	wait sync.WaitGroup
	stop chan struct{}

	mu              sync.Mutex
	faultyExchanges map[int]bool // exchanges with an active core fault; a further one is skipped
	restarting      map[int]bool // controllers that are being restarted or reloaded
	discoveryFaults int          // active faults of discovery, 0 or 1
	lag             time.Duration
	firstError      error
}

// Run runs a plan against a program and checks the result. It writes its files below dir. Closing stop ends the
// trial early. The error is the first that kept the trial or one of its faults from running; findings are not errors.
func Run(p Plan, program, dir string, stop <-chan struct{}) (Trial, error) {
	t := Trial{Plan: p, Dir: dir}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return t, fmt.Errorf("faulttrial: %w", err)
	}
	lab, err := NewLab(LabConfig{Program: program, Dir: dir, Seed: p.Seed, Controllers: p.Controllers, Cores: p.Cores,
		Circuits: p.Circuits, Settings: p.Settings, Core: p.Core, Callers: p.callerBehaviour()})
	if err != nil {
		return t, err
	}
	defer lab.Close()
	r := &runner{Plan: p, lab: lab, stop: make(chan struct{}), faultyExchanges: map[int]bool{}, restarting: map[int]bool{}}
	r.run(stop)
	t.Events, t.Lag = lab.Record.Events(), r.maxLag()
	t.Verdict = Check(t.Events, CheckConfig{Settings: p.Settings, Capacity: coreCapacity, Lag: t.Lag})
	return t, r.firstError
}

// callerBehaviour returns the behaviour of the callers without their own end of load: the runner ends the load, as the
// plan's length counts from the end of all start-ups.
func (p Plan) callerBehaviour() CallerBehaviour {
	c := p.Callers
	c.StopAt = time.Hour // the runner ends the load
	return c
}

// run executes the steps and returns once all calls have had time to end.
func (r *runner) run(stop <-chan struct{}) {
	startTime := time.Now()
	go r.watchTimers()
	go r.measureUsage()
	for i := range r.Controllers {
		r.wait.Go(r.lab.Callers(i).Run)
	}
	var steps sync.WaitGroup
	for _, s := range r.Steps {
		steps.Go(func() {
			select {
			case <-time.After(time.Until(startTime.Add(s.At))):
				r.runStep(s)
			case <-stop:
			}
		})
	}
	sleep(time.Until(startTime.Add(r.Length)), stop)
	for i := range r.Controllers {
		r.lab.Callers(i).Finish()
	}
	steps.Wait()
	sleep(settleTime, stop)
	r.lab.Record.Add(Event{Kind: TrialEnd})
	close(r.stop)
}

// sleep waits for a duration or until stop.
func sleep(d time.Duration, stop <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-stop:
	}
}

// watchTimers measures how late timers fire on this machine, until the trial ends.
func (r *runner) watchTimers() {
	for {
		before := time.Now()
		select {
		case <-r.stop:
			return
		case <-time.After(lagInterval):
		}
		late := time.Since(before) - lagInterval
		r.mu.Lock()
		r.lag = max(r.lag, late)
		r.mu.Unlock()
	}
}

func (r *runner) maxLag() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lag
}

// measureUsage records the memory and descriptors of all controllers at regular intervals, until the trial ends.
func (r *runner) measureUsage() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(measureInterval):
		}
		for i := range r.Controllers {
			r.lab.Controller(i).RecordUsage()
		}
	}
}

// recordError keeps the first error that occurred while faults were applied. Nil is ignored.
func (r *runner) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.firstError == nil {
		r.firstError = err
	}
}

// claim reserves an exchange or a controller for a fault. It returns false if another fault has it; else the fault must
// release it.
func (r *runner) claim(taken map[int]bool, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if taken[n] {
		return false
	}
	taken[n] = true
	return true
}

func (r *runner) release(taken map[int]bool, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(taken, n)
}

// runStep applies a step's fault and returns at its end. It skips a fault whose target another fault has claimed.
func (r *runner) runStep(s Step) {
	r.lab.Record.Add(Event{Kind: Fault, Text: "step: " + s.String()})
	switch s.Kind {
	case FaultHang, FaultCutOff, FaultVanish, FaultTakeover, FaultCrashRestart, FaultCrashReplace, FaultDrainReplace, FaultReplace:
		if r.claim(r.faultyExchanges, s.Core) {
			r.recordError(r.coreFault(s))
			r.release(r.faultyExchanges, s.Core)
		}
	case FaultForget, FaultReset, FaultClose:
		r.lab.Core(s.Core).DropIdleConnections(string(s.Kind))
	case FaultLateUp:
		core := r.lab.Core(s.Core)
		core.SetAcceptDelay(s.Delay)
		time.Sleep(s.For)
		core.SetAcceptDelay(0)
	case FaultDiscovery:
		r.discoveryFault(s)
	case FaultRestart, FaultKill:
		r.restart(s.Controller, shutdownOf(s))
	case FaultSignals:
		go r.sendSignals(s)
		r.restart(s.Controller, shutdownOf(s))
	case FaultDrainEnds:
		time.AfterFunc(s.For, r.endCalls)
		r.restart(s.Controller, shutdownOf(s))
	case FaultRestartSeries:
		r.restartSeries()
	case FaultReload, FaultReloadBad:
		r.reload(s)
	case FaultCrowd:
		end := r.lab.Callers(s.Controller).OpenIdleConnections(s.Count)
		time.Sleep(s.For)
		end()
	case FaultBurst:
		r.lab.Callers(s.Controller).Burst(s.Count)
	case FaultBadClients:
		r.lab.Callers(s.Controller).SendMalformed(s.Count)
	case FaultMute:
		r.lab.Callers(s.Controller).MuteConnection()
	}
}

// coreFault applies a fault to a core whose exchange is claimed.
func (r *runner) coreFault(s Step) error {
	core := r.lab.Core(s.Core)
	switch s.Kind {
	case FaultHang:
		core.Hang()
		time.Sleep(s.For)
		core.Restore()
	case FaultCutOff:
		core.CutOff()
		time.Sleep(s.For)
		core.Restore()
	case FaultVanish:
		core.Vanish()
		time.Sleep(s.For)
		r.lab.Discovery.Set(Member{ID: core.ID, State: Gone})
	case FaultTakeover:
		core.Vanish()
		return r.replace(s, false)
	case FaultCrashRestart:
		core.Crash()
		return r.replace(s, true)
	case FaultCrashReplace:
		core.Crash()
		return r.replace(s, false)
	case FaultDrainReplace:
		r.lab.Discovery.Set(Member{ID: core.ID, Number: s.Core, State: Draining, Addresses: core.Addresses()})
		time.Sleep(s.For)
		core.Crash()
		s.For, s.Delay = 50*time.Millisecond, 200*time.Millisecond
		return r.replace(s, false)
	case FaultReplace:
		return r.lab.PlayReplacement(s.Core, *s.Replace)
	}
	return nil
}

// replace starts another process at a core's address after For, and announces it in the membership list after Delay.
func (r *runner) replace(s Step, sameID bool) error {
	time.Sleep(s.For)
	started := time.Now()
	if err := r.lab.Replace(s.Core, sameID); err != nil {
		return err
	}
	time.Sleep(s.Delay)
	r.lab.Announce(s.Core, started)
	return nil
}

// discoveryFault puts discovery into a faulty mode for a while, unless it already is in one.
func (r *runner) discoveryFault(s Step) {
	r.mu.Lock()
	active := r.discoveryFaults > 0
	if !active {
		r.discoveryFaults++
	}
	r.mu.Unlock()
	if active {
		return
	}
	r.recordError(r.lab.Discovery.SetMode(s.Mode, s.Delay))
	time.Sleep(s.For)
	r.recordError(r.lab.Discovery.SetMode(Prompt, 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryFaults--
}

// shutdown describes how a controller is ended.
type shutdown struct {
	graceful    bool          // SIGTERM first, then SIGKILL as early as the settings permit
	callersStop bool          // callers stop sending during the shutdown
	downtime    time.Duration // until the next start
}

// shutdownOf returns the shutdown that a step describes.
func shutdownOf(s Step) shutdown {
	return shutdown{graceful: s.Kind != FaultKill, callersStop: s.Quiet, downtime: s.Delay}
}

// restart ends a controller and starts it again. Callers use their open connections until the kill, unless callersStop
// is set, and resume as soon as the controller is ready.
func (r *runner) restart(index int, how shutdown) {
	if !r.claim(r.restarting, index) {
		return
	}
	defer r.release(r.restarting, index)
	controller, callers := r.lab.Controller(index), r.lab.Callers(index)
	if how.graceful {
		controller.Signal(syscall.SIGTERM)
		time.AfterFunc(newConnectionPeriod, func() { callers.SetConnectingStopped(true) })
		if how.callersStop {
			time.AfterFunc(requestPeriod, func() { callers.SetSendingStopped(true) })
		}
		select {
		case <-time.After(r.Settings.KillAfter()):
		case <-controller.Exited():
		}
	}
	controller.Kill()
	callers.SetConnectingStopped(true)
	time.Sleep(how.downtime)
	r.recordError(controller.Start(readyWithin))
	callers.SetConnectingStopped(false)
	callers.SetSendingStopped(false)
}

// sendSignals sends SIGTERM and SIGHUP in turn to a controller that drains.
func (r *runner) sendSignals(s Step) {
	for i := range s.Count {
		time.Sleep(signalInterval)
		signal := syscall.SIGTERM
		if i%2 == 1 {
			signal = syscall.SIGHUP
		}
		r.lab.Controller(s.Controller).Signal(signal)
	}
}

// endCalls ends the standing calls on all cores that no fault has claimed.
func (r *runner) endCalls() {
	for n := range r.Cores {
		if number := n + 1; r.claim(r.faultyExchanges, number) {
			r.lab.Core(number).EndCalls()
			r.release(r.faultyExchanges, number)
		}
	}
}

// restartSeries restarts all controllers, each half a kill time after the one before.
func (r *runner) restartSeries() {
	var all sync.WaitGroup
	for i := range r.Controllers {
		all.Go(func() { r.restart(i, shutdown{graceful: true}) })
		time.Sleep(r.Settings.KillAfter() / 2)
	}
	all.Wait()
}

// reload gives a controller new configurations in quick succession, each with another address of discovery. For
// FaultReloadBad it writes one invalid configuration, sends SIGHUP and then restores the file.
func (r *runner) reload(s Step) {
	if !r.claim(r.restarting, s.Controller) {
		return
	}
	defer r.release(r.restarting, s.Controller)
	controller := r.lab.Controller(s.Controller)
	if s.Kind == FaultReloadBad {
		r.recordError(controller.WriteConfig(true))
		controller.Signal(syscall.SIGHUP)
		time.Sleep(reloadInterval)
		r.recordError(controller.WriteConfig(false))
		return
	}
	for range s.Count {
		r.recordError(r.lab.Discovery.Move(controller.Name))
		r.recordError(controller.WriteConfig(false))
		controller.Signal(syscall.SIGHUP)
		time.Sleep(reloadInterval)
	}
}

// Save writes events.jsonl with the events and findings.txt with the findings and the plan's steps to the trial's
// folder.
func (t Trial) Save() error {
	record, err := os.Create(filepath.Join(t.Dir, "events.jsonl"))
	if err != nil {
		return fmt.Errorf("faulttrial: %w", err)
	}
	defer record.Close()
	r := &Recorder{events: t.Events}
	if _, err := r.WriteTo(record); err != nil {
		return err
	}
	findings, err := os.Create(filepath.Join(t.Dir, "findings.txt"))
	if err != nil {
		return fmt.Errorf("faulttrial: %w", err)
	}
	defer findings.Close()
	for _, f := range t.Verdict.Findings {
		fmt.Fprintln(findings, f)
		for _, e := range f.Evidence {
			fmt.Fprintf(findings, "    %8.3f %s call=%s controller=%s core=%s connection=%d status=%d cause=%d %s\n", e.At.Seconds(), e.Kind, e.Call,
				e.Controller, e.Core, e.Connection, e.Status, e.Cause, e.Text)
		}
	}
	for _, s := range t.Plan.Steps {
		fmt.Fprintln(findings, "plan:", s)
	}
	return nil
}
