package faulttrial

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"brookmux/internal/testhost"
)

const readyWithin = 10 * time.Second // of a controller that was started

// Lab holds the running parts of one trial: cores, discovery, controllers and callers. Use NewLab, and Close in any
// case.
type Lab struct {
	Record    *Recorder
	Discovery *Discovery
	Settings  Settings

	host        string   // where cores and controllers listen
	names       []string // of the controllers
	controllers []*Controller
	callers     []*Callers
	behaviour   CoreBehaviour
	circuits    int
	seed        uint64

	mu     sync.Mutex
	cores  map[int]*CoreProcess // the present one of each exchange
	former []*CoreProcess
	serial int // of core ids
	closed bool
}

// LabConfig is what a Lab is made of.
type LabConfig struct {
	Program     string // path of the program
	Dir         string // for files and logs
	Seed        uint64
	Controllers int
	Cores       int
	Circuits    int // of each group
	Settings    Settings
	Core        CoreBehaviour
	Callers     CallerBehaviour
}

// NewLab starts all parts; callers are idle until Run or Burst.
func NewLab(c LabConfig) (*Lab, error) {
	l := &Lab{host: testhost.Host(), Record: NewRecorder(), Settings: c.Settings, behaviour: c.Core, circuits: c.Circuits, seed: c.Seed, cores: map[int]*CoreProcess{}}
	for i := range c.Controllers {
		l.names = append(l.names, fmt.Sprintf("n%d", i+1))
	}
	var members []Member
	var exchanges []int
	for n := 1; n <= c.Cores; n++ {
		core, err := l.startCore(n, nil)
		if err != nil {
			l.Close()
			return nil, err
		}
		members = append(members, Member{ID: core.ID, Number: n, State: Ready, Addresses: core.Addresses()})
		exchanges = append(exchanges, n)
	}
	var err error
	if l.Discovery, err = NewDiscovery(l.host, l.names, members, l.Record); err != nil {
		l.Close()
		return nil, err
	}
	for i, name := range l.names {
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

// startCore starts the next process of an exchange, at the addresses of another if there are any.
func (l *Lab) startCore(number int, addresses map[string]string) (*CoreProcess, error) {
	l.mu.Lock()
	l.serial++
	id := fmt.Sprintf("s-%08x", l.serial)
	l.mu.Unlock()
	return l.startCoreAs(id, number, addresses)
}

func (l *Lab) startCoreAs(id string, number int, addresses map[string]string) (*CoreProcess, error) {
	core, err := StartCore(id, l.host, number, l.circuits, l.names, addresses, l.behaviour, l.seed+uint64(number)*7, l.Record)
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
		l.former = append(l.former, old)
	}
	l.cores[number] = core
	return core, nil
}

// Core is the present core of an exchange.
func (l *Lab) Core(number int) *CoreProcess {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cores[number]
}

// Controller is one of the controllers, by index.
func (l *Lab) Controller(i int) *Controller { return l.controllers[i] }

// Callers are those of a controller, by index.
func (l *Lab) Callers(i int) *Callers { return l.callers[i] }

// Replace starts another process in an exchange's place, at the same address. Unless sameID, it has a new id.
func (l *Lab) Replace(number int, sameID bool) error {
	old := l.Core(number)
	old.FreeAddresses()
	var core *CoreProcess
	var err error
	if sameID {
		core, err = l.startCoreAs(old.ID, number, old.Addresses())
	} else {
		core, err = l.startCore(number, old.Addresses())
	}
	if err != nil {
		return err
	}
	l.Record.Add(Event{Kind: Fault, Core: core.ID, Text: "started in the place of " + old.ID})
	return nil
}

// Announce has discovery list the present core of an exchange and drop the former ones.
func (l *Lab) Announce(number int, started time.Time) {
	l.mu.Lock()
	core := l.cores[number]
	var gone []string
	for _, old := range l.former {
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

// Standing is how many calls stand at all cores.
func (l *Lab) Standing() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.cores {
		n += c.Standing()
	}
	return n
}

// Close ends callers, controllers, cores and discovery.
func (l *Lab) Close() {
	for _, c := range l.callers {
		c.Close()
	}
	for _, c := range l.controllers {
		c.Kill()
	}
	l.mu.Lock()
	l.closed = true
	cores := append([]*CoreProcess(nil), l.former...)
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

// lossText tells whether a fault's text is one that ends a core's calls or keeps it silent.
func lossText(text string) bool {
	return text == "hang" || text == "cut off" || strings.HasPrefix(text, "crashed")
}
