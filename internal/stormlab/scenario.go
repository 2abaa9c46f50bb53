// Package stormlab simulates storms of retries on the stand-in mesh and measures their cost: the time to recovery, the
// worth lost, and the load on controllers and processors. It owns the scenarios, the variants (storm control off, on,
// and on with one part disabled) and the result tables. It makes no control decisions itself and uses the controllers
// only through package core.
package stormlab

import (
	"fmt"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/standin"
	"brookmux/internal/storm"
)

// Scenario describes a simulated run with a storm: the mesh, the load and the scripted faults. Times are from the start
// of the run. Script has at least one step and is in order of time.
type Scenario struct {
	Name, Description string
	Mesh              func(seed uint64) standin.Config
	Load              func(m *standin.Mesh, r *standin.Record)
	Script            []Step
	RecoveryStart     time.Duration // recovery is measured from here
	End               time.Duration
}

// Step is an action on the mesh at a time of the run.
type Step struct {
	At time.Duration
	Do func(m *standin.Mesh) error
}

// slowProcessors returns an action that reduces the processors of exchanges to the given share of their speed, for d.
func slowProcessors(speed float64, d time.Duration, exchanges ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range exchanges {
			m.Node(i).Proc.Slow(speed, d)
		}
		return nil
	}
}

// sequence returns an action that runs several actions in order, up to the first error.
func sequence(actions ...func(m *standin.Mesh) error) func(m *standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, action := range actions {
			if err := action(m); err != nil {
				return err
			}
		}
		return nil
	}
}

// killControllers returns an action that kills the controllers of exchanges.
func killControllers(exchanges ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range exchanges {
			m.Kill(i)
		}
		return nil
	}
}

// startControllers returns an action that starts the controllers of exchanges.
func startControllers(exchanges ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range exchanges {
			if err := m.Start(i); err != nil {
				return err
			}
		}
		return nil
	}
}

// replaceProcessors returns an action that replaces the processors of exchanges by cold ones.
func replaceProcessors(exchanges ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range exchanges {
			m.Replace(i)
		}
		return nil
	}
}

// stallProcessors returns an action that makes the processors of exchanges accept set-ups but process none, for d.
func stallProcessors(d time.Duration, exchanges ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range exchanges {
			m.Node(i).Proc.Stall(d)
		}
		return nil
	}
}

// Settings of the scenarios.
const (
	coreCapacity = 45.0 // set-ups per second that the processor of a one-core scenario can do
	numExchanges = 7    // in a mesh scenario, each with a controller
	plannedRate  = 10.0 // calls per second of each exchange's callers at the planned load
	second       = time.Second
)

// affectedExchanges are the exchanges whose controllers are killed or whose processors are slowed or replaced, in
// scenarios that affect three of them.
var affectedExchanges = []int{1, 3, 5}

// oneCoreScenario returns a scenario with one controller in front of one core. The controller is killed at 10 s and
// restarted at 14 s. The rate is in calls per second; ignore is the share of callers that ignore retry advice. adjust,
// if not nil, changes the mesh.
func oneCoreScenario(name string, rate, ignore float64, description string, adjust func(*standin.Config)) Scenario {
	return Scenario{Name: name, Description: description, RecoveryStart: 14 * second, End: 62 * second,
		Mesh: func(seed uint64) standin.Config {
			c := standin.OneCore(coreCapacity, seed)
			c.Reports = false
			if adjust != nil {
				adjust(&c)
			}
			return c
		},
		Load: func(m *standin.Mesh, r *standin.Record) {
			m.StartCallers(0, rate, []float64{0, 1}, standin.Impatient(ignore), r)
		},
		Script: []Step{{10 * second, killControllers(0)}, {14 * second, startControllers(0)}}}
}

// meshScenario returns a scenario with seven exchanges, each with a controller. The load is loadFactor times the
// planned rate, and the run ends 50 s after recoveryStart.
func meshScenario(name string, loadFactor float64, callers func(exchange int) standin.CallerConfig, description string,
	recoveryStart time.Duration, script ...Step) Scenario {
	return Scenario{Name: name, Description: description, RecoveryStart: recoveryStart, End: recoveryStart + 50*second,
		Script: script,
		Mesh:   func(seed uint64) standin.Config { return standin.MeshConfig(numExchanges, plannedRate, seed) },
		Load: func(m *standin.Mesh, r *standin.Record) {
			for i := range numExchanges {
				m.StartCallers(i, loadFactor*plannedRate, standin.Shares(numExchanges, i), callers(i), r)
			}
		}}
}

// peerScenario returns a mesh scenario in which an M3UA peer of exchange 0 sends eight times its calls for 20 s.
func peerScenario(name, description string) Scenario {
	s := meshScenario(name, 0.8, meshCallers(0.3), description, 30*second, Step{30 * second, func(m *standin.Mesh) error {
		peerCallers := m.Callers()[numExchanges] // follows the callers of the exchanges
		peerCallers.SetRate(8)
		m.After(20*second, func() { peerCallers.SetRate(1) })
		return nil
	}})
	loadMesh := s.Load
	s.Load = func(m *standin.Mesh, r *standin.Record) {
		loadMesh(m, r)
		config := meshCallers(0.3)(0)
		config.Group = "point code 200"
		m.StartCallers(0, 1, standin.Shares(numExchanges, 0), config, r)
	}
	return s
}

// busyScenario returns a mesh scenario with processors and circuits for six times the planned rate, at 97% load.
func busyScenario(name, description string, recoveryStart time.Duration, script ...Step) Scenario {
	s := meshScenario(name, 6*0.97, meshCallers(0.3), description, recoveryStart, script...)
	s.Mesh = func(seed uint64) standin.Config { return standin.MeshConfig(numExchanges, 6*plannedRate, seed) }
	return s
}

// meshCallers returns the behaviour of an exchange's callers: impatient callers, a share of whom ignores retry advice.
func meshCallers(ignore float64) func(int) standin.CallerConfig {
	return func(int) standin.CallerConfig {
		config := standin.Impatient(ignore)
		config.Upgrade = 0.06
		return config
	}
}

// Scenarios returns all scenarios, in the order in which they are listed and run.
func Scenarios() []Scenario {
	outage := []Step{
		{20 * second, killControllers(affectedExchanges...)},
		{25 * second, startControllers(affectedExchanges...)}}
	coldOutage := []Step{
		{20 * second, killControllers(affectedExchanges...)},
		{25 * second, sequence(replaceProcessors(affectedExchanges...), startControllers(affectedExchanges...))}}
	secondOutage := append(coldOutage[:2:2],
		Step{31 * second, killControllers(affectedExchanges...)},
		Step{36 * second, sequence(replaceProcessors(affectedExchanges...), startControllers(affectedExchanges...))})
	allExchanges := []int{0, 1, 2, 3, 4, 5, 6}
	oneNumberCallers := func(int) standin.CallerConfig {
		config := meshCallers(0.3)(0)
		config.OneNumber = 0.5
		return config
	}
	otherControllerCallers := func(int) standin.CallerConfig {
		config := meshCallers(0.3)(0)
		config.OtherController, config.Jitter, config.SharedHosts = 0.5, 0.2, 3
		return config
	}
	return []Scenario{
		oneCoreScenario("one-98", 44, 0.3, "one core at 98% of its capacity, the controller killed for 4 s", nil),
		oneCoreScenario("one-111", 50, 0.3, "the same at 111%", nil),
		oneCoreScenario("one-133", 60, 0.3, "the same at 133%", nil),
		oneCoreScenario("one-all-ignore", 50, 1, "at 111%, all callers ignore retry advice", nil),
		oneCoreScenario("one-no-advice", 50, 0.3, "at 111%, the settings disable retry advice", func(c *standin.Config) {
			c.Settings.Module.RetryAfter, c.Settings.Module.MaxRetryAfter = false, 0
		}),
		oneCoreScenario("one-spoilt", 40, 0.3, "at 89%, half of the answers are lost to connection resets", func(c *standin.Config) {
			c.LostAnswers = 0.5
		}),
		oneCoreScenario("one-picky", 50, 0.3, "at 111%, a core that rejects set-ups that would wait more than 0.2 s", func(c *standin.Config) {
			c.Processors[1].MaxWait, c.Processors[1].Refuse = 200*time.Millisecond, 8*time.Millisecond
		}),
		meshScenario("mesh", 0.97, meshCallers(0.3), "seven controllers at 97%, three killed for 5 s", 25*second, outage...),
		meshScenario("mesh-cold", 0.97, meshCallers(0.3), "the same, with cold processors after the outage", 25*second, coldOutage...),
		meshScenario("mesh-again", 0.97, meshCallers(0.3), "cold, and a second outage 6 s into recovery", 36*second, secondOutage...),
		meshScenario("mesh-obedient", 0.97, meshCallers(0), "cold, and all callers follow retry advice", 25*second, coldOutage...),
		meshScenario("mesh-all-cold", 0.97, meshCallers(0.3), "all exchanges cold at once", 25*second,
			Step{20 * second, killControllers(allExchanges...)},
			Step{25 * second, sequence(replaceProcessors(allExchanges...), startControllers(allExchanges...))}),
		meshScenario("mesh-half-cold", 1.1, meshCallers(0.3), "at 110%, half of the processors cold", 25*second,
			Step{25 * second, replaceProcessors(affectedExchanges...)}),
		meshScenario("mesh-number", 1.1, oneNumberCallers, "at 110%, half of all calls to one number; three killed for 5 s", 25*second,
			outage...),
		meshScenario("mesh-elsewhere", 0.97, otherControllerCallers, "cold, with shared addresses and redials through other controllers", 25*second,
			coldOutage...),
		peerScenario("mesh-peer", "an M3UA peer sends eight times its usual calls for 20 s, SIP load is unchanged"),
		meshScenario("mesh-slow", 0.97, meshCallers(0.3), "three processors three times slower for 20 s", 20*second,
			Step{20 * second, slowProcessors(0.33, 20*second, affectedExchanges...)}),
		busyScenario("busy-cold", "seven exchanges with six times the calls, all cold at once", 25*second,
			Step{20 * second, killControllers(allExchanges...)},
			Step{25 * second, sequence(replaceProcessors(allExchanges...), startControllers(allExchanges...))}),
		meshScenario("mesh-stall", 0.97, meshCallers(0.3), "one processor accepts set-ups but processes none for 10 s", 30*second,
			Step{20 * second, stallProcessors(10*second, 2)}),
	}
}

// FindScenario returns the scenario with a name, or an error if there is none.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("stormlab: no scenario %q", name)
}

// Variants lists the variants of a run: storm control off, on, and on with one part disabled.
var Variants = []string{"off", "on", "no-window", "no-budget", "no-advice", "no-callers", "no-cold"}

// engineConfigurer returns the function that sets up storm control in a controller's configuration for a variant, and
// collects its state changes in result. It returns nil for the variant "off", and an error for an unknown variant.
func engineConfigurer(variant string, result *Result) (func(int, *core.Config), error) {
	parts := storm.Config{Window: true, Budget: true, Advice: true, Callers: true, Cold: true}
	switch variant {
	case "off":
		return nil, nil
	case "on":
	case "no-window":
		parts.Window = false
	case "no-budget":
		parts.Budget = false
	case "no-advice":
		parts.Advice = false
	case "no-callers":
		parts.Callers = false
	case "no-cold":
		parts.Cold = false
	default:
		return nil, fmt.Errorf("stormlab: no variant %q", variant)
	}
	return func(_ int, c *core.Config) {
		config := parts
		config.Seed = c.Seed
		s, err := storm.New(core.StormConfig(config, c.Settings))
		if err == nil { // cannot fail: the settings come from the scenario
			c.Storm = s
			c.OnStormChange = func(change storm.Change) { result.Changes = append(result.Changes, change) }
		}
	}, nil
}
