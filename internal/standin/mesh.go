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
	dayStart   = time.Hour              // of the virtual clock: processors that started earlier did so long ago
	resetAfter = 50 * time.Millisecond  // until the far end of a connection sees that its process has died
	listedLate = 500 * time.Millisecond // until controllers hear that a processor was replaced
	minStep    = time.Microsecond       // a controller that waits for its clock asks no sooner
	loadEvery  = 300 * time.Millisecond // between two looks at a processor's wait that reports tell
)

// Config is what a Mesh is made of.
type Config struct {
	Exchanges   int
	Controllers int    // exchanges from 0 on that have a controller of this program; the others only answer
	Lines       []Line // of the processors by exchange; one without costs takes no time
	Circuits    func(a, b int) int
	Delay       func(a, b int) time.Duration // one way
	Hold        []time.Duration              // mean length of a call, by class
	Settings    settings.Settings            // Here is set for each
	Engine      func(exchange int, c *core.Config)
	Reports     bool    // processors report their wait
	Spoilt      float64 // share of the set-ups whose answers are lost in a reset
	Seed        uint64
	Log         *slog.Logger
}

// Mesh is a mesh of exchanges on one virtual clock.
type Mesh struct {
	Config
	Clock
	Ledger Ledger
	rng    *rand.Rand
	nodes  []*Node
	groups map[[2]int]*group
	calls  map[string]*ticket
	lastID uint64
	loads  []*Callers
}

// group is the circuits between two exchanges.
type group struct{ size, used float64 }

// ticket is what the mesh knows of a try, under the key of its call.
type ticket struct {
	class, dest int
	width       float64
	hold        time.Duration
}

// Node is an exchange: its processor and, where it has one, its controller.
type Node struct {
	mesh   *Mesh
	number int
	Proc   *Processor
	start  int // counts processors that stood here: part of the switch's id
	waits  float64
	engine *core.Engine
	clock  func() time.Duration // the controller's own
	epoch  int                  // counts the controller's starts
	kicked bool
	wake   time.Duration
	out    map[string]*attempt // by key, sent from here
	open   map[*try]struct{}   // of callers
}

// NewMesh returns a Mesh at the start of its day, with its controllers up.
func NewMesh(c Config) (*Mesh, error) {
	if c.Log == nil {
		c.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	m := &Mesh{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), groups: map[[2]int]*group{}, calls: map[string]*ticket{}}
	m.now = dayStart
	m.Ledger = newLedger(m)
	for i := range c.Exchanges {
		m.nodes = append(m.nodes, &Node{mesh: m, number: i, Proc: newProcessor(&m.Clock, c.Lines[i])})
		for j := range i {
			m.groups[[2]int{j, i}] = &group{size: float64(c.Circuits(j, i))}
		}
	}
	for i := range c.Controllers {
		if err := m.Start(i); err != nil {
			return nil, err
		}
	}
	m.look()
	return m, nil
}

// Node is an exchange by its number.
func (m *Mesh) Node(i int) *Node { return m.nodes[i] }

// look reads the processors' waits now and then: reports tell what was read last.
func (m *Mesh) look() {
	for _, n := range m.nodes {
		n.waits = float64(n.Proc.Wait()) / float64(time.Millisecond)
	}
	m.After(loadEvery, m.look)
}

// group is that between two exchanges.
func (m *Mesh) group(a, b int) *group { return m.groups[[2]int{min(a, b), max(a, b)}] }

// id is the switch that stands at an exchange.
func (n *Node) id() brookmux.SwitchID { return brookmux.SwitchID(n.start*1000 + n.number + 1) }

// at is the exchange of a switch.
func (m *Mesh) at(id brookmux.SwitchID) *Node { return m.nodes[(int(id)-1)%1000] }

// list is the name service's whole word.
func (m *Mesh) list() brookmux.Members {
	l := brookmux.Members{Kind: brookmux.Full}
	for _, n := range m.nodes {
		l.Switches = append(l.Switches, brookmux.Switch{ID: n.id(), Number: n.number, State: brookmux.Ready, Since: n.Proc.since})
	}
	return l
}

// Start starts a controller that knows nothing but the list.
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
	n.engine, n.out, n.open, n.wake = e, map[string]*attempt{}, map[*try]struct{}{}, 0
	n.epoch++
	e.Listed(m.list())
	for _, o := range m.nodes {
		if o != n {
			n.tell(o)
		}
	}
	n.kick()
	return nil
}

// Kill ends a controller: its connections are reset, and calls that stand go on without it.
func (m *Mesh) Kill(i int) {
	n := m.nodes[i]
	n.engine = nil
	n.epoch++
	for _, a := range sorted(n.out) {
		if !a.stands {
			a.giveUp()
		}
	}
	for _, t := range sortedTries(n.open) {
		m.After(resetAfter, t.reset)
	}
}

// Reconfigure puts other settings in force at a controller; the error that comes of it stands there once the
// controller has taken them.
func (m *Mesh) Reconfigure(i int, s settings.Settings) *error {
	out := new(error)
	n := m.nodes[i]
	s.Module.Here = n.number
	n.event(func(e *core.Engine) { e.ConfigureLater(s, 0, func(err error) { *out = err }) })
	return out
}

// Drain lets a controller finish what is open, while callers go on calling it; the channel closes then.
func (m *Mesh) Drain(i int) <-chan struct{} {
	n := m.nodes[i]
	defer n.kick()
	return n.engine.Drain()
}

// Replace puts a cold processor in the place of the one at an exchange.
func (m *Mesh) Replace(i int) {
	n := m.nodes[i]
	n.Proc.Restart()
	n.start++
	for _, from := range m.nodes {
		for _, a := range sorted(from.out) {
			if a.to == n {
				a.end(core.Outcome{Result: brookmux.ResultReset, Cause: core.TemporaryFailure}, 0)
			}
		}
	}
	m.After(listedLate, func() {
		for _, o := range m.nodes {
			o.event(func(e *core.Engine) { e.Listed(m.list()) })
		}
	})
}

// event hands something to the controller that is here, if there is one.
func (n *Node) event(f func(*core.Engine)) {
	if n.engine != nil {
		f(n.engine)
		n.kick()
	}
}

// kick lets the controller handle what it was handed, once what happens now is over.
func (n *Node) kick() {
	if n.kicked {
		return
	}
	n.kicked = true
	n.mesh.After(0, func() {
		n.kicked = false
		if n.engine == nil {
			return
		}
		now := n.mesh.Now()
		next := now + max(minStep, n.engine.Step()-n.clock()) // its clock may be off
		if n.wake > now && n.wake <= next {
			return
		}
		n.wake = next
		n.mesh.After(next-now, func() {
			if n.wake == next {
				n.kick()
			}
		})
	})
}

// report is what an exchange tells of the group toward it and, where it does, of its processor.
func (n *Node) report(o *Node, load bool) brookmux.Report {
	r, g := settings.NoReport(), n.mesh.group(n.number, o.number)
	r.Free, r.Size = g.size-g.used, g.size
	if load && n.mesh.Reports {
		r.Wait = o.waits
	}
	return r
}

// tell lets the controller know the state of the group toward another exchange.
func (n *Node) tell(o *Node) {
	n.event(func(e *core.Engine) { e.Reported(o.id(), n.report(o, false), true) })
}

// take takes circuits between two exchanges, and tells whether there were enough.
func (m *Mesh) take(a, b *Node, width float64) bool {
	g := m.group(a.number, b.number)
	if g.size-g.used < width {
		return false
	}
	g.used += width
	a.tell(b)
	b.tell(a)
	return true
}

// free gives them back.
func (m *Mesh) free(a, b *Node, width float64) {
	m.group(a.number, b.number).used -= width
	a.tell(b)
	b.tell(a)
}
