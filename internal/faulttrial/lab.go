package faulttrial

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"brookmux/internal/testhost"
)

const readyWithin = 10 * time.Second // a controller that was started must be ready by then

// Lab holds the running parts of one trial: cores, discovery, controllers and callers. Create it with NewLab, which
// starts them, and end it with Close.
type Lab struct {
	Record    *Recorder
	Discovery *Discovery
	Settings  Settings

	host            string   // where cores and controllers listen
	controllerNames []string // by index
	controllers     []*Controller
	callers         []*Callers
	behaviour       CoreBehaviour
	circuits        int
	seed            uint64

	mu         sync.Mutex
	cores      map[int]*CoreProcess // the current core of each exchange, by number
	replaced   []*CoreProcess
	lastCoreID int // serial of the last core id
	closed     bool
}

// LabConfig holds the parameters of a Lab.
type LabConfig struct {
	Program     string // path of the controller's program
	Dir         string // for configurations and logs
	Seed        uint64
	Controllers int
	Cores       int
	Circuits    int // of each circuit group
	Settings    Settings
	Core        CoreBehaviour
	Callers     CallerBehaviour
}

// NewLab starts all parts and returns once every controller is ready. Callers are idle until Run or Burst. On an error,
// it closes what it has started.
func NewLab(c LabConfig) (*Lab, error) {
	l := &Lab{host: testhost.Host(), Record: NewRecorder(), Settings: c.Settings, behaviour: c.Core, circuits: c.Circuits, seed: c.Seed, cores: map[int]*CoreProcess{}}
	for i := range c.Controllers {
		l.controllerNames = append(l.controllerNames, fmt.Sprintf("n%d", i+1))
	}
	var members []Member
	var exchanges []int
	for n := 1; n <= c.Cores; n++ {
		core, err := l.startCoreAs(l.newCoreID(), n, nil, l.behaviour.Others)
		if err != nil {
			l.Close()
			return nil, err
		}
		members = append(members, Member{ID: core.ID, Number: n, State: Ready, Addresses: core.Addresses()})
		exchanges = append(exchanges, n)
	}
	var err error
	if l.Discovery, err = NewDiscovery(l.host, l.controllerNames, members, l.Record); err != nil {
		l.Close()
		return nil, err
	}
	for i, name := range l.controllerNames {
		controller, err := NewController(name, l.host, c.Program, c.Dir, c.Settings, c.Seed+uint64(i), l.Discovery, l.Record)
		if err != nil {
			l.Close()
			return nil, err
		}
		l.controllers = append(l.controllers, controller)
		if err := controller.Start(readyWithin); err != nil {
			l.Close()
			return nil, err
		}
		l.callers = append(l.callers, NewCallers(controller, c.Settings.Classes, exchanges, c.Callers, c.Seed*16+uint64(i), l.Record))
	}
	return l, nil
}

// newCoreID returns an id that no core has had.
func (l *Lab) newCoreID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCoreID++
	return fmt.Sprintf("s-%08x", l.lastCoreID)
}

// startCoreAs starts a core of an exchange under an id, with calls of others on it, and makes it the exchange's current
// one. It listens at the given addresses, if any. If the lab is closed, it ends the core again.
func (l *Lab) startCoreAs(id string, number int, addresses map[string]string, others OtherTraffic) (*CoreProcess, error) {
	behaviour := l.behaviour
	behaviour.Others = others
	core, err := StartCore(id, l.host, number, l.circuits, l.controllerNames, addresses, behaviour, l.seed+uint64(number)*7, l.Record)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		core.Crash()
		return core, nil
	}
	if old := l.cores[number]; old != nil {
		l.replaced = append(l.replaced, old)
	}
	l.cores[number] = core
	return core, nil
}

// Core returns the current core of an exchange.
func (l *Lab) Core(number int) *CoreProcess {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cores[number]
}

// Controller returns a controller by its index, which starts at 0.
func (l *Lab) Controller(i int) *Controller { return l.controllers[i] }

// Callers returns the callers of a controller, by the controller's index.
func (l *Lab) Callers(i int) *Callers { return l.callers[i] }

// Replace starts another core of an exchange at the addresses of the current one, which must have ended or vanished.
// The new core has the same id if sameID is set, else a new one. Discovery does not list the new core, or with the same
// id its new start, before Announce.
func (l *Lab) Replace(number int, sameID bool) error {
	others := l.behaviour.Others
	others.Calls = l.Core(number).OtherCalls(l.controllerNames[0])
	if sameID {
		return l.replaceAs(l.Core(number).ID, number, others)
	}
	return l.replaceAs(l.newCoreID(), number, others)
}

// replaceAs is Replace with the id of the new core and the calls of others on it.
func (l *Lab) replaceAs(id string, number int, others OtherTraffic) error {
	old := l.Core(number)
	old.FreeAddresses()
	core, err := l.startCoreAs(id, number, old.Addresses(), others)
	if err != nil {
		return err
	}
	l.Record.Add(Event{Kind: Fault, Core: core.ID, Text: "started in the place of " + old.ID})
	return nil
}

// announceAs puts a core that has the addresses of a former one into the membership list in place of that one, whether or
// not it listens yet.
func (l *Lab) announceAs(id string, former *CoreProcess, started time.Time) {
	l.Discovery.Set(Member{ID: former.ID, State: Gone})
	l.Discovery.Set(Member{ID: id, Number: former.Number, State: Ready, Addresses: former.Addresses(), Started: started})
}

// Announce puts the current core of an exchange into the membership list and removes the replaced ones.
func (l *Lab) Announce(number int, started time.Time) {
	l.mu.Lock()
	core := l.cores[number]
	var gone []string
	for _, old := range l.replaced {
		if old.Number == number && old.ID != core.ID {
			gone = append(gone, old.ID)
		}
	}
	l.mu.Unlock()
	for _, id := range gone {
		if l.Discovery.Listed(id) {
			l.Discovery.Set(Member{ID: id, State: Gone})
		}
	}
	l.Discovery.Set(Member{ID: core.ID, Number: number, State: Ready, Addresses: core.Addresses(), Started: started})
}

// Standing returns the number of calls that stand at the current cores.
func (l *Lab) Standing() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.cores {
		n += c.Standing()
	}
	return n
}

// Close ends callers, controllers, cores and discovery, in this order. Controllers are killed.
func (l *Lab) Close() {
	for _, c := range l.callers {
		c.Close()
	}
	for _, c := range l.controllers {
		c.Kill()
	}
	l.mu.Lock()
	l.closed = true
	cores := append([]*CoreProcess(nil), l.replaced...)
	for _, c := range l.cores {
		cores = append(cores, c)
	}
	l.mu.Unlock()
	for _, c := range cores {
		c.Crash()
	}
	if l.Discovery != nil {
		l.Discovery.Close()
	}
}

// isOutageText reports whether the text of a core's Fault event starts an outage: the core ends its calls or becomes
// unresponsive.
func isOutageText(text string) bool {
	return text == "hang" || text == "cut off" || strings.HasPrefix(text, "crashed")
}
