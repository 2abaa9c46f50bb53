// Package stormlab plays storms on the stand-in mesh and measures what they cost: how soon service is back, what
// worth was lost, and what it took. It owns the scenarios, the variants (the subsystem off, on, and each part off
// alone) and the tables; it must not decide anything, and it knows the controllers only through their core.
package stormlab

import (
	"fmt"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/standin"
	"brookmux/internal/storm"
)

// Scenario is a day with a storm in it.
type Scenario struct {
	Name, About string
	Mesh        func(seed uint64) standin.Config
	Load        func(m *standin.Mesh, r *standin.Record)
	Script      []Step
	Back        time.Duration // from when on recovery is measured
	End         time.Duration
}

// Step is something that happens on the day.
type Step struct {
	At time.Duration
	Do func(m *standin.Mesh) error
}

func slow(part float64, d time.Duration, who ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range who {
			m.Node(i).Proc.Slow(part, d)
		}
		return nil
	}
}

// steps join steps at one time.
func steps(f ...func(m *standin.Mesh) error) func(m *standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, s := range f {
			if err := s(m); err != nil {
				return err
			}
		}
		return nil
	}
}

func kill(who ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range who {
			m.Kill(i)
		}
		return nil
	}
}

func start(who ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range who {
			if err := m.Start(i); err != nil {
				return err
			}
		}
		return nil
	}
}

func replace(who ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range who {
			m.Replace(i)
		}
		return nil
	}
}

func stall(d time.Duration, who ...int) func(*standin.Mesh) error {
	return func(m *standin.Mesh) error {
		for _, i := range who {
			m.Node(i).Proc.Stall(d)
		}
		return nil
	}
}

const (
	coreRate  = 45.0 // set-ups a second of the one core
	exchanges = 7
	planned   = 10.0 // calls a second of an exchange's callers
	second    = time.Second
)

var three = []int{1, 3, 5}

// one is the experiment of the one core: killed at 10 s, started again at 14 s.
func one(name string, rate, ignore float64, about string, change func(*standin.Config)) Scenario {
	return Scenario{Name: name, About: about, Back: 14 * second, End: 62 * second,
		Mesh: func(seed uint64) standin.Config {
			c := standin.OneCore(coreRate, seed)
			c.Reports = false
			if change != nil {
				change(&c)
			}
			return c
		},
		Load: func(m *standin.Mesh, r *standin.Record) {
			m.Call(0, rate, []float64{0, 1}, standin.Impatient(ignore), r)
		},
		Script: []Step{{10 * second, kill(0)}, {14 * second, start(0)}}}
}

// mesh is a counting day with seven controllers.
func mesh(name string, load float64, habit func(exchange int) standin.Habit, about string, back time.Duration, script ...Step) Scenario {
	return Scenario{Name: name, About: about, Back: back, End: back + 50*second, Script: script,
		Mesh: func(seed uint64) standin.Config { return standin.MeshDay(exchanges, planned, seed) },
		Load: func(m *standin.Mesh, r *standin.Record) {
			for i := range exchanges {
				m.Call(i, load*planned, standin.Shares(exchanges, i), habit(i), r)
			}
		}}
}

// peer is a mesh in which a peer of one exchange storms.
func peer(name, about string) Scenario {
	s := mesh(name, 0.8, usual(0.3), about, 30*second, Step{30 * second, func(m *standin.Mesh) error {
		flood := m.Loads()[exchanges] // after those of the exchanges
		flood.SetRate(8)
		m.After(20*second, func() { flood.SetRate(1) })
		return nil
	}})
	load := s.Load
	s.Load = func(m *standin.Mesh, r *standin.Record) {
		load(m, r)
		h := usual(0.3)(0)
		h.Group = "point code 200"
		m.Call(0, 1, standin.Shares(exchanges, 0), h, r)
	}
	return s
}

// busy is a mesh with six times the calls.
func busy(name, about string, back time.Duration, script ...Step) Scenario {
	s := mesh(name, 6*0.97, usual(0.3), about, back, script...)
	s.Mesh = func(seed uint64) standin.Config { return standin.MeshDay(exchanges, 6*planned, seed) }
	return s
}

func usual(ignore float64) func(int) standin.Habit {
	return func(int) standin.Habit {
		h := standin.Impatient(ignore)
		h.Upgrade = 0.06
		return h
	}
}

// Scenarios are all there are.
func Scenarios() []Scenario {
	outage := []Step{{20 * second, kill(three...)}, {25 * second, start(three...)}}
	cold := []Step{{20 * second, kill(three...)}, {25 * second, steps(replace(three...), start(three...))}}
	again := append(cold[:2:2], Step{31 * second, kill(three...)}, Step{36 * second, steps(replace(three...), start(three...))})
	all := []int{0, 1, 2, 3, 4, 5, 6}
	number := func(int) standin.Habit {
		h := usual(0.3)(0)
		h.OneNumber = 0.5
		return h
	}
	elsewhere := func(int) standin.Habit {
		h := usual(0.3)(0)
		h.Elsewhere, h.Jitter, h.PerHost = 0.5, 0.2, 3
		return h
	}
	return []Scenario{
		one("one-98", 44, 0.3, "one core at 98% of what it does, the controller killed for 4 s", nil),
		one("one-111", 50, 0.3, "the same at 111%", nil),
		one("one-133", 60, 0.3, "the same at 133%", nil),
		one("one-all-ignore", 50, 1, "at 111%, all callers ignore advice", nil),
		one("one-no-advice", 50, 0.3, "at 111%, the settings bound advice to 0", func(c *standin.Config) {
			c.Settings.Module.RetryAfter, c.Settings.Module.MaxRetryAfter = false, 0
		}),
		one("one-spoilt", 40, 0.3, "at 89%, half of the answers are lost in resets", func(c *standin.Config) { c.Spoilt = 0.5 }),
		one("one-picky", 50, 0.3, "at 111%, a core that turns set-ups away from a wait of 0.2 s on", func(c *standin.Config) {
			c.Lines[1].TurnAway, c.Lines[1].Refuse = 200*time.Millisecond, 8*time.Millisecond
		}),
		mesh("mesh", 0.97, usual(0.3), "seven controllers at 97%, three killed for 5 s", 25*second, outage...),
		mesh("mesh-cold", 0.97, usual(0.3), "the same, with cold processors after it", 25*second, cold...),
		mesh("mesh-again", 0.97, usual(0.3), "cold, and a second outage 6 s into recovery", 36*second, again...),
		mesh("mesh-obedient", 0.97, usual(0), "cold, and all callers follow advice", 25*second, cold...),
		mesh("mesh-all-cold", 0.97, usual(0.3), "all exchanges cold at once", 25*second,
			Step{20 * second, kill(all...)}, Step{25 * second, steps(replace(all...), start(all...))}),
		mesh("mesh-half-cold", 1.1, usual(0.3), "at 110%, half of the processors cold", 25*second,
			Step{25 * second, replace(three...)}),
		mesh("mesh-number", 1.1, number, "at 110%, half of all calls to one number; three killed for 5 s", 25*second, outage...),
		mesh("mesh-elsewhere", 0.97, elsewhere, "cold, with shared addresses and redials through other controllers", 25*second, cold...),
		peer("mesh-peer", "an M3UA peer calls eight times as often as usual for 20 s, SIP is calm"),
		mesh("mesh-slow", 0.97, usual(0.3), "three processors three times slower for 20 s", 20*second,
			Step{20 * second, slow(0.33, 20*second, three...)}),
		busy("busy-cold", "seven exchanges with six times the calls, all cold at once", 25*second,
			Step{20 * second, kill(all...)}, Step{25 * second, steps(replace(all...), start(all...))}),
		mesh("mesh-stall", 0.97, usual(0.3), "one processor takes set-ups and answers none for 10 s", 30*second,
			Step{20 * second, stall(10*second, 2)}),
	}
}

// Find returns a scenario by its name.
func Find(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("stormlab: no scenario %q", name)
}

// Variants are the ways to play a scenario: the subsystem off, on, and on but for one part.
var Variants = []string{"off", "on", "no-window", "no-budget", "no-advice", "no-callers", "no-cold"}

// engine sets what a variant makes of a controller.
func engine(variant string, out *Result) (func(int, *core.Config), error) {
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
		p := parts
		p.Seed = c.Seed
		s, err := storm.New(core.StormConfig(p, c.Settings))
		if err == nil { // the settings are the scenario's own
			c.Storm = s
			c.Changed = func(x storm.Change) { out.Changes = append(out.Changes, x) }
		}
	}, nil
}
