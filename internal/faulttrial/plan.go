package faulttrial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a fault of a Plan.
type FaultKind string

// The kinds of faults.
const (
	FaultHang          FaultKind = "hang"            // a core hangs for For
	FaultCutOff        FaultKind = "cut-off"         // a core is off the network for For
	FaultVanish        FaultKind = "vanish"          // a core vanishes; the list says so after For
	FaultTakeover      FaultKind = "takeover"        // a core vanishes and another has its address after For
	FaultCrashRestart  FaultKind = "crash-restart"   // a core crashes and starts again under its id after For
	FaultCrashReplace  FaultKind = "crash-replace"   // a core crashes and another starts at its address after For
	FaultDrainReplace  FaultKind = "drain-replace"   // a core drains, and another takes its place after For
	FaultForget        FaultKind = "forget"          // a core forgets its idle connections
	FaultReset         FaultKind = "reset"           // a core resets its idle connections
	FaultClose         FaultKind = "close"           // a core closes its idle connections
	FaultLateUp        FaultKind = "late-up"         // connections to a core come up late for For
	FaultDiscovery     FaultKind = "discovery"       // discovery is in Mode for For, at Delay an answer
	FaultRestart       FaultKind = "restart"         // a controller gets SIGTERM, SIGKILL at the earliest, and starts again
	FaultRestartSeries FaultKind = "restart-series"  // all controllers, one after another
	FaultKill          FaultKind = "kill"            // a controller is killed and starts again
	FaultReload        FaultKind = "reload"          // a controller gets new configurations in quick succession
	FaultReloadBad     FaultKind = "reload-bad"      // a configuration that can't be used
	FaultCrowd         FaultKind = "crowd"           // connections that say nothing, for For
	FaultBurst         FaultKind = "burst"           // many set-ups at once
	FaultBadClients    FaultKind = "bad-clients"     // clients send what can't be read
	FaultMute          FaultKind = "mute-connection" // a caller's connection is cut without a sign
	FaultSignals       FaultKind = "signals"         // a restart, with further signals in a series while the controller drains
	FaultDrainEnds     FaultKind = "drain-ends"      // a restart; all calls end at once, For after SIGTERM
)

// FaultKinds are all of them.
var FaultKinds = []FaultKind{FaultHang, FaultCutOff, FaultVanish, FaultTakeover, FaultCrashRestart, FaultCrashReplace,
	FaultDrainReplace, FaultForget, FaultReset, FaultClose, FaultLateUp, FaultDiscovery, FaultRestart, FaultRestartSeries, FaultKill,
	FaultReload, FaultReloadBad, FaultCrowd, FaultBurst, FaultBadClients, FaultMute, FaultSignals, FaultDrainEnds}

const (
	firstExtendedSeed = 1000 // seeds before it replay what they drew from the former kinds
	formerKinds       = 21   // the first so many of FaultKinds
)

// Step is a fault at a time of the trial.
type Step struct {
	At         time.Duration `json:"at"`
	Kind       FaultKind     `json:"kind"`
	Core       int           `json:"core,omitempty"`       // exchange number
	Controller int           `json:"controller,omitempty"` // index
	For        time.Duration `json:"for,omitempty"`
	Mode       DiscoveryMode `json:"mode,omitempty"`
	Delay      time.Duration `json:"delay,omitempty"`
	Count      int           `json:"count,omitempty"`
	Quiet      bool          `json:"quiet,omitempty"` // callers send nothing once a controller's restart is under way
}

// String describes the step.
func (s Step) String() string {
	return fmt.Sprintf("%.2f s %s core %d controller %d for %v mode %s delay %v count %d", s.At.Seconds(), s.Kind, s.Core, s.Controller, s.For, s.Mode, s.Delay, s.Count)
}

// Plan is a trial drawn from a seed.
type Plan struct {
	Seed        uint64          `json:"seed"`
	Length      time.Duration   `json:"length"` // faults and load; the trial goes on until calls are over
	Controllers int             `json:"controllers"`
	Cores       int             `json:"cores"`
	Circuits    int             `json:"circuits"`
	Settings    Settings        `json:"settings"`
	Core        CoreBehaviour   `json:"core"`
	Callers     CallerBehaviour `json:"callers"`
	Steps       []Step          `json:"steps"`
}

// drawer draws a plan's figures.
type drawer struct{ *rand.Rand }

func (d drawer) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.Float64()*float64(to-from))
}

func (d drawer) chance(share float64) bool { return d.Float64() < share }

// NewPlan draws a trial from a seed. Only the kinds of faults that are named are drawn, or all if none is.
func NewPlan(seed uint64, only []FaultKind) Plan {
	d := drawer{rand.New(rand.NewPCG(seed, 0x5eed))}
	p := Plan{Seed: seed, Length: d.between(10*time.Second, 22*time.Second), Controllers: 2 + d.IntN(3), Cores: 2 + d.IntN(5)}
	p.Settings = drawSettings(d)
	hold := p.Settings.Classes[0].Hold
	rate := 4 + 30*d.Float64()
	quiet := d.chance(0.3) // hardly any traffic: nothing but the faults happens
	if quiet {
		rate = 0.5 + d.Float64()
	}
	p.Circuits = 6 + d.IntN(60)
	p.Core = CoreBehaviour{Work: d.between(2*time.Millisecond, 60*time.Millisecond), Hold: hold, Refuse: 0.1 * d.Float64(), Pieces: d.chance(0.25)}
	if d.chance(0.25) {
		p.Core.Spoil = 0.02
	}
	p.Callers = CallerBehaviour{Rate: rate, Connections: 1 + d.IntN(6), GiveUp: 0.1 * d.Float64(), HangUp: 0.3 * d.Float64(),
		Redial: 0.3 * d.Float64(), Pieces: d.chance(0.25), Acknowledge: d.chance(0.8), StopAt: p.Length}
	if seed >= firstExtendedSeed {
		p.extend(d)
	}
	p.Steps = drawSteps(d, p, only, quiet)
	return p
}

// extend draws the behaviour that former seeds do not have.
func (p *Plan) extend(d drawer) {
	if d.chance(0.3) {
		p.Core.BreakOff = 0.05
	}
	p.Callers.DialOnEnd, p.Callers.KeepOpen = d.chance(0.25), d.chance(0.25)
	if d.chance(0.25) {
		p.Callers.ReadPause = d.between(time.Millisecond, 8*time.Millisecond)
	}
}

func drawSettings(d drawer) Settings {
	s := Settings{ConnectTimeout: d.between(200*time.Millisecond, time.Second), MaxAttempts: 2 + d.IntN(5), Memory: 96 + 32*d.IntN(4),
		Descriptors: 256 + 128*d.IntN(7)}
	for i := range 1 + d.IntN(3) {
		deadline := d.between(300*time.Millisecond, 4*time.Second)
		s.Classes = append(s.Classes, Class{Name: fmt.Sprintf("class-%d", i+1), Aim: deadline / 2, Deadline: deadline,
			Hold: d.between(500*time.Millisecond, 9*time.Second)})
	}
	return s
}

// drawSteps draws the faults: at least two kinds, some after a long quiet time, some on top of each other.
func drawSteps(d drawer, p Plan, only []FaultKind, quiet bool) []Step {
	kinds := only
	extended := p.Seed >= firstExtendedSeed
	switch {
	case len(only) > 0:
	case extended:
		kinds = FaultKinds
	default:
		kinds = FaultKinds[:formerKinds]
	}
	first := d.between(time.Second, 3*time.Second)
	if d.chance(0.25) {
		first = p.Length / 2
	}
	var steps []Step
	silenced := d.chance(0.5) // discovery is faulty while something else happens
	if silenced && (len(only) == 0 || slices.Contains(only, FaultDiscovery)) {
		step := drawStep(d, p, FaultDiscovery, first)
		step.At = max(0, first-d.between(0, time.Second))
		step.For = d.between(3*time.Second, 12*time.Second)
		steps = append(steps, step)
	}
	for range 3 + d.IntN(5) {
		kind := kinds[d.IntN(len(kinds))]
		if kind == FaultMute && !p.Callers.Acknowledge {
			continue // nothing tells a controller of such a cut where releases are not acknowledged
		}
		steps = append(steps, drawStep(d, p, kind, d.between(first, max(first, p.Length-2*time.Second))))
	}
	if quiet && len(only) == 0 {
		steps = append(steps, drawStep(d, p, FaultBurst, first/2)) // calls that stand in a process that is quiet
	}
	if extended && len(only) == 0 {
		ends := []FaultKind{FaultRestart, FaultRestartSeries, FaultSignals, FaultDrainEnds}
		steps = append(steps, drawStep(d, p, ends[d.IntN(len(ends))], d.between(first, max(first, p.Length-2*time.Second))))
		if d.chance(0.3) {
			steps = append(steps, drawStep(d, p, FaultCrowd, first))
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

func drawStep(d drawer, p Plan, kind FaultKind, at time.Duration) Step {
	s := Step{At: at, Kind: kind, Core: 1 + d.IntN(p.Cores), Controller: d.IntN(p.Controllers)}
	switch kind {
	case FaultHang, FaultCutOff:
		s.For = d.between(300*time.Millisecond, 12*time.Second)
	case FaultVanish:
		s.For = d.between(time.Second, 14*time.Second)
	case FaultTakeover, FaultCrashRestart, FaultCrashReplace:
		s.For = d.between(50*time.Millisecond, 6*time.Second)
		s.Delay = d.between(300*time.Millisecond, 10*time.Second) // until the list says so
	case FaultDrainReplace:
		s.For = d.between(time.Second, 5*time.Second)
	case FaultLateUp:
		s.For, s.Delay = d.between(time.Second, 6*time.Second), d.between(200*time.Millisecond, time.Second)
	case FaultDiscovery:
		modes := []DiscoveryMode{Silent, Refused, Slow, Crowded, Failing, Short, WrongID, Older, Lossy}
		s.Mode, s.For = modes[d.IntN(len(modes))], d.between(500*time.Millisecond, 15*time.Second)
		switch s.Mode {
		case Slow:
			s.Delay = d.between(200*time.Millisecond, 6*time.Second)
		case Crowded:
			s.Delay = d.between(100*time.Millisecond, 700*time.Millisecond)
		}
	case FaultDrainEnds:
		s.For, s.Quiet = d.between(shutdownMargin, p.Settings.KillAfter()), d.chance(0.7)
		s.Delay = d.between(0, 3*time.Second) // until the next start
	case FaultSignals:
		s.Count = 1 + d.IntN(4)
	case FaultReload:
		s.Count = 1 + d.IntN(5)
	case FaultCrowd:
		s.For, s.Count = d.between(time.Second, 4*time.Second), 50+d.IntN(200)
	case FaultBurst:
		s.Count = 5 + d.IntN(60)
	case FaultBadClients:
		s.Count = 6 + d.IntN(20)
	}
	return s
}
