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
	newConnectionsFor = 300 * time.Millisecond // after SIGTERM, callers open new connections for so long
	requestsFor       = 500 * time.Millisecond // and where they fall quiet, they send on open ones for so long
	reloadGap         = 300 * time.Millisecond // between configurations in quick succession
	signalGap         = 150 * time.Millisecond // between signals in a series
	measureInterval   = 500 * time.Millisecond
	settleAfter       = 11 * time.Second // after the last fault: a call's end is due within 8 s, and discovery is heard
	lagInterval       = 5 * time.Millisecond
	coreCapacity      = 60 // set-ups a second that a warm core bears, for the rule on cold cores
)

// Trial is a plan that was played, with what its records show.
type Trial struct {
	Plan    Plan
	Verdict Verdict
	Events  []Event
	Lag     time.Duration // how late the trial's own timers were at most
	Dir     string        // holds logs and records
}

// player plays a plan.
type player struct {
	Plan
	lab  *Lab
	wait sync.WaitGroup
	stop chan struct{}

	mu       sync.Mutex
	faulty   map[int]bool // exchanges with a fault under way: another has to wait for its end
	starting map[int]bool // controllers that are being restarted
	modes    int          // faults of discovery under way
	lag      time.Duration
	failure  error
}

// Run plays a plan against a program, with its files under a folder.
func Run(p Plan, program, dir string, stop <-chan struct{}) (Trial, error) {
	t := Trial{Plan: p, Dir: dir}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return t, fmt.Errorf("faulttrial: %w", err)
	}
	lab, err := NewLab(LabConfig{Program: program, Dir: dir, Seed: p.Seed, Controllers: p.Controllers, Cores: p.Cores,
		Circuits: p.Circuits, Settings: p.Settings, Core: p.Core, Callers: p.shifted()})
	if err != nil {
		return t, err
	}
	defer lab.Close()
	x := &player{Plan: p, lab: lab, stop: make(chan struct{}), faulty: map[int]bool{}, starting: map[int]bool{}}
	x.play(stop)
	t.Events, t.Lag = lab.Record.Events(), x.worstLag()
	t.Verdict = Check(t.Events, CheckConfig{Settings: p.Settings, Capacity: coreCapacity, Lag: t.Lag})
	return t, x.failure
}

// shifted are the callers' figures with times from the trial's own start, which the start of processes delays.
func (p Plan) shifted() CallerBehaviour {
	c := p.Callers
	c.StopAt = time.Hour // the player ends them
	return c
}

// play carries the steps out, and returns once all calls had time to end.
func (x *player) play(stop <-chan struct{}) {
	began := time.Now()
	go x.watchLag()
	go x.measure()
	for i := range x.Controllers {
		x.wait.Go(x.lab.Callers(i).Run)
	}
	var steps sync.WaitGroup
	for _, s := range x.Steps {
		steps.Go(func() {
			select {
			case <-time.After(time.Until(began.Add(s.At))):
				x.carryOut(s)
			case <-stop:
			}
		})
	}
	sleep(time.Until(began.Add(x.Length)), stop)
	for i := range x.Controllers {
		x.lab.Callers(i).Finish()
	}
	steps.Wait()
	sleep(settleAfter, stop)
	x.lab.Record.Add(Event{Kind: TrialEnd})
	close(x.stop)
}

func sleep(d time.Duration, stop <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-stop:
	}
}

// watchLag measures how late timers are on this machine.
func (x *player) watchLag() {
	for {
		before := time.Now()
		select {
		case <-x.stop:
			return
		case <-time.After(lagInterval):
		}
		late := time.Since(before) - lagInterval
		x.mu.Lock()
		x.lag = max(x.lag, late)
		x.mu.Unlock()
	}
}

func (x *player) worstLag() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lag
}

func (x *player) measure() {
	for {
		select {
		case <-x.stop:
			return
		case <-time.After(measureInterval):
		}
		for i := range x.Controllers {
			x.lab.Controller(i).RecordUsage()
		}
	}
}

// fail keeps the first error of a fault's own making.
func (x *player) fail(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil && x.failure == nil {
		x.failure = err
	}
}

// claim takes an exchange or a controller for a fault; false if another fault has it.
func (x *player) claim(taken map[int]bool, n int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if taken[n] {
		return false
	}
	taken[n] = true
	return true
}

func (x *player) release(taken map[int]bool, n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(taken, n)
}

// carryOut plays a step to its end.
func (x *player) carryOut(s Step) {
	x.lab.Record.Add(Event{Kind: Fault, Text: "step: " + s.String()})
	switch s.Kind {
	case FaultHang, FaultCutOff, FaultVanish, FaultTakeover, FaultCrashRestart, FaultCrashReplace, FaultDrainReplace:
		if x.claim(x.faulty, s.Core) {
			x.fail(x.coreFault(s))
			x.release(x.faulty, s.Core)
		}
	case FaultForget, FaultReset, FaultClose:
		x.lab.Core(s.Core).DropIdleConnections(string(s.Kind))
	case FaultLateUp:
		core := x.lab.Core(s.Core)
		core.SetAcceptDelay(s.Delay)
		time.Sleep(s.For)
		core.SetAcceptDelay(0)
	case FaultDiscovery:
		x.discoveryFault(s)
	case FaultRestart, FaultKill:
		x.restart(s.Controller, shutdownOf(s))
	case FaultSignals:
		go x.signalSeries(s)
		x.restart(s.Controller, shutdownOf(s))
	case FaultDrainEnds:
		time.AfterFunc(s.For, x.endCalls)
		x.restart(s.Controller, shutdownOf(s))
	case FaultRestartSeries:
		x.restartSeries()
	case FaultReload, FaultReloadBad:
		x.reload(s)
	case FaultCrowd:
		end := x.lab.Callers(s.Controller).OpenIdleConnections(s.Count)
		time.Sleep(s.For)
		end()
	case FaultBurst:
		x.lab.Callers(s.Controller).Burst(s.Count)
	case FaultBadClients:
		x.lab.Callers(s.Controller).SendMalformed(s.Count)
	case FaultMute:
		x.lab.Callers(s.Controller).MuteConnection()
	}
}

func (x *player) coreFault(s Step) error {
	core := x.lab.Core(s.Core)
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
		x.lab.Discovery.Set(Member{ID: core.ID, State: Gone})
	case FaultTakeover:
		core.Vanish()
		return x.replace(s, false)
	case FaultCrashRestart:
		core.Crash()
		return x.replace(s, true)
	case FaultCrashReplace:
		core.Crash()
		return x.replace(s, false)
	case FaultDrainReplace:
		x.lab.Discovery.Set(Member{ID: core.ID, Number: s.Core, State: Draining, Addresses: core.Addresses()})
		time.Sleep(s.For)
		core.Crash()
		s.For, s.Delay = 50*time.Millisecond, 200*time.Millisecond
		return x.replace(s, false)
	}
	return nil
}

// replace starts another process in a core's place, and has the list say so.
func (x *player) replace(s Step, sameID bool) error {
	time.Sleep(s.For)
	started := time.Now()
	if err := x.lab.Replace(s.Core, sameID); err != nil {
		return err
	}
	time.Sleep(s.Delay)
	x.lab.Announce(s.Core, started)
	return nil
}

// discoveryFault has discovery faulty for a while, unless it is already.
func (x *player) discoveryFault(s Step) {
	x.mu.Lock()
	taken := x.modes > 0
	if !taken {
		x.modes++
	}
	x.mu.Unlock()
	if taken {
		return
	}
	x.fail(x.lab.Discovery.SetMode(s.Mode, s.Delay))
	time.Sleep(s.For)
	x.fail(x.lab.Discovery.SetMode(Prompt, 0))
	x.mu.Lock()
	defer x.mu.Unlock()
	x.modes--
}

// shutdown is how a controller is ended.
type shutdown struct {
	planned bool          // by SIGTERM, and SIGKILL at the earliest
	quiet   bool          // callers fall quiet meanwhile
	down    time.Duration // until the next start
}

// shutdownOf is the shutdown of a step.
func shutdownOf(s Step) shutdown {
	return shutdown{planned: s.Kind != FaultKill, quiet: s.Quiet, down: s.Delay}
}

// restart ends a controller and starts it again. Callers go on using open connections until the kill, unless they fall
// quiet, and come again at once after the start.
func (x *player) restart(i int, how shutdown) {
	if !x.claim(x.starting, i) {
		return
	}
	defer x.release(x.starting, i)
	controller, callers := x.lab.Controller(i), x.lab.Callers(i)
	if how.planned {
		controller.Signal(syscall.SIGTERM)
		time.AfterFunc(newConnectionsFor, func() { callers.SetConnectingStopped(true) })
		if how.quiet {
			time.AfterFunc(requestsFor, func() { callers.SetSendingStopped(true) })
		}
		select {
		case <-time.After(x.Settings.KillAfter()):
		case <-controller.Exited():
		}
	}
	controller.Kill()
	callers.SetConnectingStopped(true)
	time.Sleep(how.down)
	x.fail(controller.Start(readyWithin))
	callers.SetConnectingStopped(false)
	callers.SetSendingStopped(false)
}

// signalSeries sends a controller that drains SIGTERM and SIGHUP in turn.
func (x *player) signalSeries(s Step) {
	for i := range s.Count {
		time.Sleep(signalGap)
		signal := syscall.SIGTERM
		if i%2 == 1 {
			signal = syscall.SIGHUP
		}
		x.lab.Controller(s.Controller).Signal(signal)
	}
}

// endCalls ends the calls on all cores that are not faulty.
func (x *player) endCalls() {
	for n := range x.Cores {
		if number := n + 1; x.claim(x.faulty, number) {
			x.lab.Core(number).EndCalls()
			x.release(x.faulty, number)
		}
	}
}

func (x *player) restartSeries() {
	var all sync.WaitGroup
	for i := range x.Controllers {
		all.Go(func() { x.restart(i, shutdown{planned: true}) })
		time.Sleep(x.Settings.KillAfter() / 2)
	}
	all.Wait()
}

// reload gives a controller new configurations in quick succession, each with another address of discovery.
func (x *player) reload(s Step) {
	if !x.claim(x.starting, s.Controller) {
		return
	}
	defer x.release(x.starting, s.Controller)
	controller := x.lab.Controller(s.Controller)
	if s.Kind == FaultReloadBad {
		x.fail(controller.WriteConfig(true))
		controller.Signal(syscall.SIGHUP)
		time.Sleep(reloadGap)
		x.fail(controller.WriteConfig(false))
		return
	}
	for range s.Count {
		x.fail(x.lab.Discovery.Move(controller.Name))
		x.fail(controller.WriteConfig(false))
		controller.Signal(syscall.SIGHUP)
		time.Sleep(reloadGap)
	}
}

// Save writes the plan, the events and the findings to the trial's folder.
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
		for _, e := range f.Lines {
			fmt.Fprintf(findings, "    %8.3f %s call=%s controller=%s core=%s connection=%d status=%d cause=%d %s\n", e.At.Seconds(), e.Kind, e.Call,
				e.Controller, e.Core, e.Connection, e.Status, e.Cause, e.Text)
		}
	}
	for _, s := range t.Plan.Steps {
		fmt.Fprintln(findings, "plan:", s)
	}
	return nil
}
