package faulttrial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the type of a Step's fault.
type FaultKind string

// The kinds of faults. For, Delay and Mode are the fields of the Step.
const (
	FaultHang          FaultKind = "hang"            // a core's process hangs for For
	FaultCutOff        FaultKind = "cut-off"         // a core is off the network for For
	FaultVanish        FaultKind = "vanish"          // a core vanishes; the membership list drops it after For
	FaultTakeover      FaultKind = "takeover"        // a core vanishes and another one starts at its address after For
	FaultCrashRestart  FaultKind = "crash-restart"   // a core crashes and restarts with the same id after For
	FaultCrashReplace  FaultKind = "crash-replace"   // a core crashes and another one starts at its address after For
	FaultDrainReplace  FaultKind = "drain-replace"   // a core drains for For, then another one replaces it
	FaultForget        FaultKind = "forget"          // a core silently stops serving its idle connections
	FaultReset         FaultKind = "reset"           // a core resets its idle connections
	FaultClose         FaultKind = "close"           // a core closes its idle connections
	FaultLateUp        FaultKind = "late-up"         // new connections to a core are served Delay late, for For
	FaultDiscovery     FaultKind = "discovery"       // discovery is in Mode for For, with Delay per answer
	FaultRestart       FaultKind = "restart"         // a controller gets SIGTERM, SIGKILL once permitted, and restarts
	FaultRestartSeries FaultKind = "restart-series"  // all controllers restart, one after another
	FaultKill          FaultKind = "kill"            // a controller gets SIGKILL and restarts
	FaultReload        FaultKind = "reload"          // a controller gets new configurations in quick succession
	FaultReloadBad     FaultKind = "reload-bad"      // a controller gets an invalid configuration
	FaultCrowd         FaultKind = "crowd"           // Count connections that send nothing, for For
	FaultBurst         FaultKind = "burst"           // Count set-ups at once
	FaultBadClients    FaultKind = "bad-clients"     // clients send malformed messages
	FaultMute          FaultKind = "mute-connection" // a caller's connection is cut without a FIN or RST
	FaultSignals       FaultKind = "signals"         // a restart, with Count more signals while the controller drains
	FaultDrainEnds     FaultKind = "drain-ends"      // a restart; all calls end at once, For after SIGTERM
	FaultReplace       FaultKind = "replace"         // another process takes a core's address, as Replacement says
)

// FaultKinds lists every kind. The order matters, as seeds draw kinds by index: see kindsOf.
var FaultKinds = []FaultKind{FaultHang, FaultCutOff, FaultVanish, FaultTakeover, FaultCrashRestart, FaultCrashReplace,
	FaultDrainReplace, FaultForget, FaultReset, FaultClose, FaultLateUp, FaultDiscovery, FaultRestart, FaultRestartSeries, FaultKill,
	FaultReload, FaultReloadBad, FaultCrowd, FaultBurst, FaultBadClients, FaultMute, FaultSignals, FaultDrainEnds,
	FaultReplace}

const (
	firstExtendedSeed = 1000  // lower seeds use the first originalKindCount kinds, so that their plans stay the same
	originalKindCount = 21    // the kinds at the start of FaultKinds that lower seeds draw from
	firstReplacedSeed = 10000 // lower seeds use the first extendedKindCount kinds
	extendedKindCount = 23
	firstSharedSeed   = 20000 // lower seeds have no calls of others on the groups, and no replacements without a sign
)

// kindsOf returns the kinds of faults that a seed draws from.
func kindsOf(seed uint64) []FaultKind {
	switch {
	case seed < firstExtendedSeed:
		return FaultKinds[:originalKindCount]
	case seed < firstReplacedSeed:
		return FaultKinds[:extendedKindCount]
	}
	return FaultKinds
}

// Step is one fault of a Plan. Which fields apply depends on the kind.
type Step struct {
	At         time.Duration `json:"at"`
	Kind       FaultKind     `json:"kind"`
	Core       int           `json:"core,omitempty"`       // exchange number
	Controller int           `json:"controller,omitempty"` // index
	For        time.Duration `json:"for,omitempty"`
	Mode       DiscoveryMode `json:"mode,omitempty"`
	Delay      time.Duration `json:"delay,omitempty"`
	Count      int           `json:"count,omitempty"`
	Quiet      bool          `json:"quiet,omitempty"` // callers stop sending during a controller's restart
	Replace    *Replacement  `json:"replace,omitempty"`
}

// String returns the step as one line of text.
func (s Step) String() string {
	if s.Replace != nil {
		return fmt.Sprintf("%.2f s %s core %d %v", s.At.Seconds(), s.Kind, s.Core, s.Replace)
	}
	return fmt.Sprintf("%.2f s %s core %d controller %d for %v mode %s delay %v count %d", s.At.Seconds(), s.Kind, s.Core, s.Controller, s.For, s.Mode, s.Delay, s.Count)
}

// Plan describes a trial, usually as drawn from a seed.
type Plan struct {
	Seed        uint64          `json:"seed"`
	Length      time.Duration   `json:"length"` // of the load; the trial ends settleTime after that and all faults
	Controllers int             `json:"controllers"`
	Cores       int             `json:"cores"`
	Circuits    int             `json:"circuits"`
	Settings    Settings        `json:"settings"`
	Core        CoreBehaviour   `json:"core"`
	Callers     CallerBehaviour `json:"callers"`
	Steps       []Step          `json:"steps"`
}

// planRand draws the random values of a plan.
type planRand struct{ *rand.Rand }

func (r planRand) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.Float64()*float64(to-from))
}

func (r planRand) chance(share float64) bool { return r.Float64() < share }

// NewPlan draws a trial from a seed. If only is not empty, the faults are of these kinds. The same arguments always
// give the same plan.
func NewPlan(seed uint64, only []FaultKind) Plan {
	r := planRand{rand.New(rand.NewPCG(seed, 0x5eed))}
	p := Plan{Seed: seed, Length: r.between(10*time.Second, 22*time.Second), Controllers: 2 + r.IntN(3), Cores: 2 + r.IntN(5)}
	p.Settings = drawSettings(r)
	hold := p.Settings.Classes[0].Hold
	rate := 4 + 30*r.Float64()
	lowTraffic := r.chance(0.3) // so that little but the faults drives the controllers
	if lowTraffic {
		rate = 0.5 + r.Float64()
	}
	p.Circuits = 6 + r.IntN(60)
	p.Core = CoreBehaviour{Work: r.between(2*time.Millisecond, 60*time.Millisecond), Hold: hold, Refuse: 0.1 * r.Float64(), Pieces: r.chance(0.25)}
	if r.chance(0.25) {
		p.Core.Spoil = 0.02
	}
	p.Callers = CallerBehaviour{Rate: rate, Connections: 1 + r.IntN(6), GiveUp: 0.1 * r.Float64(), HangUp: 0.3 * r.Float64(),
		Redial: 0.3 * r.Float64(), Pieces: r.chance(0.25), Acknowledge: r.chance(0.8), StopAt: p.Length}
	if seed >= firstExtendedSeed {
		p.drawExtendedBehaviour(r)
	}
	if seed >= firstSharedSeed {
		p.Core.Others = drawOtherTraffic(r, p.Circuits)
		p.Circuits += p.Core.Others.Calls
	}
	p.Steps = drawSteps(r, p, only, lowTraffic)
	return p
}

// drawExtendedBehaviour draws the behaviour that seeds below firstExtendedSeed do not have.
func (p *Plan) drawExtendedBehaviour(r planRand) {
	if r.chance(0.3) {
		p.Core.BreakOff = 0.05
	}
	p.Callers.DialOnEnd, p.Callers.KeepOpen = r.chance(0.25), r.chance(0.25)
	if r.chance(0.25) {
		p.Callers.ReadPause = r.between(time.Millisecond, 8*time.Millisecond)
	}
}

// drawOtherTraffic draws the calls of others on each group, whose number stays about the same. On some groups there are
// none, or they neither begin nor end.
func drawOtherTraffic(r planRand, circuits int) OtherTraffic {
	if r.chance(0.2) {
		return OtherTraffic{}
	}
	t := OtherTraffic{Calls: 1 + r.IntN(circuits)}
	if r.chance(0.75) {
		t.Rate = 0.2 + 8*r.Float64()*r.Float64()
		t.Hold = time.Duration(float64(t.Calls) / t.Rate * float64(time.Second))
	}
	return t
}

// drawSettings draws the settings of the controllers, with one to three classes.
func drawSettings(r planRand) Settings {
	s := Settings{ConnectTimeout: r.between(200*time.Millisecond, time.Second), MaxAttempts: 2 + r.IntN(5), Memory: 96 + 32*r.IntN(4),
		Descriptors: 256 + 128*r.IntN(7)}
	for i := range 1 + r.IntN(3) {
		deadline := r.between(300*time.Millisecond, 4*time.Second)
		s.Classes = append(s.Classes, Class{Name: fmt.Sprintf("class-%d", i+1), Aim: deadline / 2, Deadline: deadline,
			Hold: r.between(500*time.Millisecond, 9*time.Second)})
	}
	return s
}

// drawSteps draws the faults in order of time. Some plans start them after a long time without faults, and faults may
// overlap.
func drawSteps(r planRand, p Plan, only []FaultKind, lowTraffic bool) []Step {
	kinds := only
	extended := p.Seed >= firstExtendedSeed
	if len(only) == 0 {
		kinds = kindsOf(p.Seed)
	}
	first := r.between(time.Second, 3*time.Second)
	if r.chance(0.25) {
		first = p.Length / 2
	}
	var steps []Step
	discoveryFaulty := r.chance(0.5) // discovery is faulty while other faults happen
	if discoveryFaulty && (len(only) == 0 || slices.Contains(only, FaultDiscovery)) {
		step := drawStep(r, p, FaultDiscovery, first)
		step.At = max(0, first-r.between(0, time.Second))
		step.For = r.between(3*time.Second, 12*time.Second)
		steps = append(steps, step)
	}
	for range 3 + r.IntN(5) {
		kind := kinds[r.IntN(len(kinds))]
		if kind == FaultMute && !p.Callers.Acknowledge {
			continue // a controller can't detect such a cut if releases are not acknowledged
		}
		steps = append(steps, drawStep(r, p, kind, r.between(first, max(first, p.Length-2*time.Second))))
	}
	if lowTraffic && len(only) == 0 {
		// Calls then stand in a controller with little traffic.
		steps = append(steps, drawStep(r, p, FaultBurst, first/2))
	}
	if extended && len(only) == 0 {
		restarts := []FaultKind{FaultRestart, FaultRestartSeries, FaultSignals, FaultDrainEnds}
		steps = append(steps, drawStep(r, p, restarts[r.IntN(len(restarts))], r.between(first, max(first, p.Length-2*time.Second))))
		if r.chance(0.3) {
			steps = append(steps, drawStep(r, p, FaultCrowd, first))
		}
	}
	if p.Seed >= firstReplacedSeed && len(only) == 0 {
		for range 1 + r.IntN(2) {
			steps = append(steps, drawStep(r, p, FaultReplace, r.between(first, max(first, p.Length-2*time.Second))))
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// drawStep draws a fault of a kind: its core, its controller, and the fields that the kind uses.
func drawStep(r planRand, p Plan, kind FaultKind, at time.Duration) Step {
	s := Step{At: at, Kind: kind, Core: 1 + r.IntN(p.Cores), Controller: r.IntN(p.Controllers)}
	switch kind {
	case FaultHang, FaultCutOff:
		s.For = r.between(300*time.Millisecond, 12*time.Second)
	case FaultVanish:
		s.For = r.between(time.Second, 14*time.Second)
	case FaultTakeover, FaultCrashRestart, FaultCrashReplace:
		s.For = r.between(50*time.Millisecond, 6*time.Second)
		s.Delay = r.between(300*time.Millisecond, 10*time.Second) // until the membership list has the new core
	case FaultDrainReplace:
		s.For = r.between(time.Second, 5*time.Second)
	case FaultLateUp:
		s.For, s.Delay = r.between(time.Second, 6*time.Second), r.between(200*time.Millisecond, time.Second)
	case FaultDiscovery:
		modes := []DiscoveryMode{Silent, Refused, Slow, Crowded, Failing, Short, WrongID, Older, Lossy}
		s.Mode, s.For = modes[r.IntN(len(modes))], r.between(500*time.Millisecond, 15*time.Second)
		switch s.Mode {
		case Slow:
			s.Delay = r.between(200*time.Millisecond, 6*time.Second)
		case Crowded:
			s.Delay = r.between(100*time.Millisecond, 700*time.Millisecond)
		}
	case FaultDrainEnds:
		s.For, s.Quiet = r.between(shutdownMargin, p.Settings.KillAfter()), r.chance(0.7)
		s.Delay = r.between(0, 3*time.Second) // until the next start
	case FaultSignals:
		s.Count = 1 + r.IntN(4)
	case FaultReload:
		s.Count = 1 + r.IntN(5)
	case FaultCrowd:
		s.For, s.Count = r.between(time.Second, 4*time.Second), 50+r.IntN(200)
	case FaultBurst:
		s.Count = 5 + r.IntN(60)
	case FaultBadClients:
		s.Count = 6 + r.IntN(20)
	case FaultReplace:
		x := drawReplacement(r)
		if p.Seed >= firstSharedSeed {
			x.drawSharedGroup(r, p.Core.Others)
		}
		s.Replace = &x
	}
	return s
}
