package m3ua

import (
	"sync"
	"time"

	"brookmux/internal/core"
)

// mostTries is how often a REL is sent: with the usual T1, for the five minutes that Q.764 gives it.
const mostTries = 20

// phase is where a circuit's call is.
type phase int

const (
	seized    phase = iota // set up, not yet answered
	answered               // the call stands
	releasing              // REL is sent or waits for the association, RLC is awaited
)

// circuit is a circuit in use.
type circuit struct {
	cic   uint16
	key   string
	phase phase
	rel   isup        // while releasing
	again *time.Timer // sends rel again
	tries int         // how often it was sent
	owner any
}

// group is the circuits between two point codes. They outlive the association: a call that stands goes on
// without signalling, and what has to be said of it waits for the next association.
type group struct {
	mu       sync.Mutex
	circuits map[uint16]*circuit
	byKey    map[string]*circuit
	send     func(isup) bool // nil while there is no active association
	t1       time.Duration   // a release that is not confirmed is sent again (Q.764)
}

func newGroup(t1 time.Duration) *group {
	return &group{circuits: map[uint16]*circuit{}, byKey: map[string]*circuit{}, t1: t1}
}

// seize takes a circuit, or nil if it is in use.
func (g *group) seize(cic uint16, key string, owner any) *circuit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.circuits[cic] != nil {
		return nil
	}
	c := &circuit{cic: cic, key: key, owner: owner}
	g.circuits[cic], g.byKey[key] = c, c
	return c
}

// seizeAny takes the first free circuit of so many, or nil.
func (g *group) seizeAny(most int, key string) *circuit {
	for cic := 1; cic <= most; cic++ {
		if c := g.seize(uint16(cic), key, nil); c != nil {
			return c
		}
	}
	return nil
}

// say sends a message for a circuit, and tells whether there was an association.
func (g *group) say(m isup) bool {
	g.mu.Lock()
	send := g.send
	g.mu.Unlock()
	return send != nil && send(m)
}

// answer marks a seized circuit as answered, and tells whether it was seized.
func (g *group) answer(c *circuit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c == nil || c.phase != seized || g.circuits[c.cic] != c { // released meanwhile: the answer crossed it
		return false
	}
	c.phase = answered
	return true
}

// at returns the circuit of a number, with its phase.
func (g *group) at(cic uint16) (*circuit, phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.circuits[cic]
	if c == nil {
		return nil, seized
	}
	return c, c.phase
}

// of returns the circuit of a call that is not being released, or nil.
func (g *group) of(key string) *circuit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byKey[key]
}

// release starts to release a circuit: REL goes out now or with the next association, and again until RLC.
func (g *group) release(c *circuit, cause core.Cause, wait time.Duration) {
	g.refuse(c, isup{cause: cause, wait: wait})
}

// refuse starts to release a circuit with all that a REL may say.
func (g *group) refuse(c *circuit, rel isup) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c == nil || c.phase == releasing || g.circuits[c.cic] != c {
		return
	}
	rel.cic, rel.kind = c.cic, kindREL
	c.phase, c.rel = releasing, rel
	delete(g.byKey, c.key)
	g.push(c)
}

// push sends a circuit's REL, and again after T1 while it is not confirmed. The lock is held.
func (g *group) push(c *circuit) {
	if c.again != nil {
		c.again.Stop()
	}
	if g.send == nil {
		return
	}
	if c.tries++; c.tries > mostTries { // a peer that confirms nothing must not keep circuits for ever
		delete(g.circuits, c.cic)
		return
	}
	g.send(c.rel)
	c.again = time.AfterFunc(g.t1, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.circuits[c.cic] == c {
			g.push(c)
		}
	})
}

// clear frees a circuit.
func (g *group) clear(cic uint16) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.circuits[cic]
	if c == nil {
		return
	}
	if c.again != nil {
		c.again.Stop()
	}
	delete(g.circuits, cic)
	if g.byKey[c.key] == c {
		delete(g.byKey, c.key)
	}
}

// up takes an active association; releases that are not confirmed go out on it.
func (g *group) up(send func(isup) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send = send
	for _, c := range g.circuits {
		if c.phase == releasing {
			g.push(c)
		}
	}
}

// down takes the association's end, and returns the circuits that were seized and not answered.
func (g *group) down() []*circuit {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send = nil
	var open []*circuit
	for _, c := range g.circuits {
		if c.again != nil {
			c.again.Stop()
		}
		if c.phase == seized {
			open = append(open, c)
		}
	}
	return open
}

// used is how many circuits are in use.
func (g *group) used() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.circuits)
}

// releaseAll starts to release every circuit.
func (g *group) releaseAll(cause core.Cause) {
	g.mu.Lock()
	list := make([]*circuit, 0, len(g.circuits))
	for _, c := range g.circuits {
		list = append(list, c)
	}
	g.mu.Unlock()
	for _, c := range list {
		g.release(c, cause, 0)
	}
}
