package standin

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/settings"
)

const (
	dayStart        = time.Hour              // virtual start time of a mesh; processors with start time 0 are warm
	resetDelay      = 50 * time.Millisecond  // from a process's death until the far ends of its connections detect it
	listUpdateDelay = 500 * time.Millisecond // from the replacement of a processor until controllers have the new list
	minWakeDelay    = time.Microsecond       // minimum delay until a controller's next timer step
	loadInterval    = 300 * time.Millisecond // between samples of the processors' waits for reports
)

// Config configures a Mesh.
type Config struct {
	Exchanges   int
	Controllers int                                // exchanges from 0 on with a controller; the others only answer
	Processors  []ProcessorConfig                  // processors by exchange; without Costs jobs take no time
	Circuits    func(a, b int) int                 // size of the circuit group between two exchanges
	Delay       func(a, b int) time.Duration       // one-way delay between two exchanges
	Hold        []time.Duration                    // mean duration of a call, by class
	Settings    settings.Settings                  // Start sets Module.Here for each controller
	Engine      func(exchange int, c *core.Config) // changes the configuration of each controller; may be nil
	Reports     bool                               // exchanges report the waits of their processors
	LostAnswers float64                            // share of the set-ups whose answers are lost in a reset
	Seed        uint64
	Log         *slog.Logger // nil discards the log
}

// Mesh is a mesh of exchanges on one virtual clock. It is not safe for concurrent use.
type Mesh struct {
	Config
	Clock
	Ledger        Ledger
	rng           *rand.Rand
	nodes         []*Node
	circuitGroups map[[2]int]*circuitGroup
	callInfo      map[string]*callInfo
	lastID        uint64
	callers       []*Callers
}

// circuitGroup is the circuits between two exchanges.
type circuitGroup struct{ size, used float64 }

// callInfo holds the properties of a try that the exchanges along its path need; it is found by the try's key.
type callInfo struct {
	class, destination int
	width              float64
	hold               time.Duration
}

// Node is an exchange with its processor and, where there is one, its controller.
type Node struct {
	mesh          *Mesh
	number        int
	Proc          *Processor
	replacements  int // number of times the processor was replaced; part of the switch id
	sampledWait   float64
	engine        *core.Engine
	clock         func() time.Duration // the controller's clock, which Config.Engine may change
	epoch         int                  // incremented at each start and death of the controller
	stepScheduled bool
	wakeAt        time.Duration
	attempts      map[string]*attempt // sent by this controller, by key
	openTries     map[*try]struct{}   // of callers at this controller
}

// NewMesh returns a Mesh at dayStart with its controllers started.
func NewMesh(config Config) (*Mesh, error) {
	if config.Log == nil {
		config.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	m := &Mesh{Config: config, rng: rand.New(rand.NewPCG(config.Seed, 77)), circuitGroups: map[[2]int]*circuitGroup{},
		callInfo: map[string]*callInfo{}}
	m.now = dayStart
	m.Ledger = newLedger(m)
	for i := range config.Exchanges {
		m.nodes = append(m.nodes, &Node{mesh: m, number: i, Proc: newProcessor(&m.Clock, config.Processors[i])})
		for j := range i {
			m.circuitGroups[[2]int{j, i}] = &circuitGroup{size: float64(config.Circuits(j, i))}
		}
	}
	for i := range config.Controllers {
		if err := m.Start(i); err != nil {
			return nil, err
		}
	}
	m.sampleWaits()
	return m, nil
}

// Node returns the exchange with a number.
func (m *Mesh) Node(i int) *Node { return m.nodes[i] }

// sampleWaits samples the processors' waits every loadInterval. Reports carry the last sample.
func (m *Mesh) sampleWaits() {
	for _, n := range m.nodes {
		n.sampledWait = float64(n.Proc.Wait()) / float64(time.Millisecond)
	}
	m.After(loadInterval, m.sampleWaits)
}

// groupBetween returns the circuit group between two exchanges.
func (m *Mesh) groupBetween(a, b int) *circuitGroup {
	return m.circuitGroups[[2]int{min(a, b), max(a, b)}]
}

// switchID returns the id of the exchange's current switch; each replacement gets a new one.
func (n *Node) switchID() brookmux.SwitchID {
	return brookmux.SwitchID(n.replacements*1000 + n.number + 1)
}

// nodeOf returns the exchange of a switch, current or replaced.
func (m *Mesh) nodeOf(id brookmux.SwitchID) *Node { return m.nodes[(int(id)-1)%1000] }

// members returns the full membership list.
func (m *Mesh) members() brookmux.Members {
	l := brookmux.Members{Kind: brookmux.Full}
	for _, n := range m.nodes {
		l.Switches = append(l.Switches, brookmux.Switch{ID: n.switchID(), Number: n.number, State: brookmux.Ready,
			Since: n.Proc.startedAt})
	}
	return l
}

// Start starts a controller with no state but the membership list and the reports on its circuit groups.
func (m *Mesh) Start(i int) error {
	n := m.nodes[i]
	s := m.Settings
	s.Module.Here = n.number
	c := core.Config{Settings: s, Seed: m.rng.Uint64(), Trunks: n, Log: m.Log.With("exchange", i, "start", n.epoch),
		Clock: m.Now}
	if m.Engine != nil {
		m.Engine(i, &c)
	}
	e, err := core.New(c)
	if err != nil {
		return fmt.Errorf("standin: controller %d: %w", i, err)
	}
	n.clock = c.Clock
	n.engine, n.attempts, n.openTries, n.wakeAt = e, map[string]*attempt{}, map[*try]struct{}{}, 0
	n.epoch++
	e.MembersChanged(m.members())
	for _, other := range m.nodes {
		if other != n {
			n.reportCircuits(other)
		}
	}
	n.scheduleStep()
	return nil
}

// Kill ends a controller as a crash does. Its connections are reset, and calls that stand continue without it.
func (m *Mesh) Kill(i int) {
	n := m.nodes[i]
	n.engine = nil
	n.epoch++
	for _, a := range sortedAttempts(n.attempts) {
		if !a.stands {
			a.abandon()
		}
	}
	for _, t := range sortedTries(n.openTries) {
		m.After(resetDelay, t.connectionReset)
	}
}

// Reconfigure passes new settings to a controller. The returned variable receives the error, or nil, when the
// controller has applied them.
func (m *Mesh) Reconfigure(i int, s settings.Settings) *error {
	out := new(error)
	n := m.nodes[i]
	s.Module.Here = n.number
	n.withEngine(func(e *core.Engine) { e.ConfigureLater(s, 0, func(err error) { *out = err }) })
	return out
}

// Drain starts the drain of a controller and returns a channel that closes when the drain is complete. Callers continue
// to call the controller.
func (m *Mesh) Drain(i int) <-chan struct{} {
	n := m.nodes[i]
	defer n.scheduleStep()
	return n.engine.Drain()
}

// Replace replaces the processor of an exchange by a cold one. Attempts to it end with a reset, and the controllers
// receive the new membership list after listUpdateDelay.
func (m *Mesh) Replace(i int) {
	n := m.nodes[i]
	n.Proc.Restart()
	n.replacements++
	for _, from := range m.nodes {
		for _, a := range sortedAttempts(from.attempts) {
			if a.to == n {
				a.end(core.Outcome{Result: brookmux.ResultReset, Cause: core.TemporaryFailure}, 0)
			}
		}
	}
	m.After(listUpdateDelay, func() {
		for _, o := range m.nodes {
			o.withEngine(func(e *core.Engine) { e.MembersChanged(m.members()) })
		}
	})
}

// withEngine calls f with the exchange's controller, if it is up, and schedules its next step.
func (n *Node) withEngine(f func(*core.Engine)) {
	if n.engine != nil {
		f(n.engine)
		n.scheduleStep()
	}
}

// scheduleStep schedules a step of the controller after the current event.
func (n *Node) scheduleStep() {
	if n.stepScheduled {
		return
	}
	n.stepScheduled = true
	n.mesh.After(0, func() {
		n.stepScheduled = false
		if n.engine == nil {
			return
		}
		now := n.mesh.Now()
		next := now + max(minWakeDelay, n.engine.Step()-n.clock()) // the controller's clock may differ from the mesh's
		if n.wakeAt > now && n.wakeAt <= next {
			return
		}
		n.wakeAt = next
		n.mesh.After(next-now, func() {
			if n.wakeAt == next {
				n.scheduleStep()
			}
		})
	})
}

// report returns an exchange's report on the circuit group toward it and, with withWait and Config.Reports, on its
// processor's wait.
func (n *Node) report(to *Node, withWait bool) brookmux.Report {
	r, g := settings.EmptyReport(), n.mesh.groupBetween(n.number, to.number)
	r.Free, r.Size = g.size-g.used, g.size
	if withWait && n.mesh.Reports {
		r.Wait = to.sampledWait
	}
	return r
}

// reportCircuits reports the state of the circuit group toward another exchange to the controller.
func (n *Node) reportCircuits(to *Node) {
	n.withEngine(func(e *core.Engine) { e.Reported(to.switchID(), n.report(to, false), true) })
}

// seizeCircuits seizes circuits between two exchanges and reports whether enough were free.
func (m *Mesh) seizeCircuits(a, b *Node, width float64) bool {
	g := m.groupBetween(a.number, b.number)
	if g.size-g.used < width {
		return false
	}
	g.used += width
	a.reportCircuits(b)
	b.reportCircuits(a)
	return true
}

// releaseCircuits releases circuits between two exchanges.
func (m *Mesh) releaseCircuits(a, b *Node, width float64) {
	m.groupBetween(a.number, b.number).used -= width
	a.reportCircuits(b)
	b.reportCircuits(a)
}
