package faulttrial

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	stateConnections = 4               // connections that a group's state is sent on
	releaseRepeat    = 2 * time.Second // a release this old is still repeated on the next connection
	maxLine          = 16 << 10
)

// Behaviour is how a stand-in core serves calls.
type Behaviour struct {
	Work   time.Duration // mean time from set-up to answer
	Hold   time.Duration // mean length of a call
	Refuse float64       // share of the set-ups refused or failed
	Spoil  float64       // share of the answers that come spoilt, on a connection of no further use afterwards
	Pieces bool          // lines are written in pieces of 1 to 20 bytes

	BreakOff float64 // share of the answers that break off, with a reset of their connection
}

// CoreProcess is a stand-in core: one process with one listener for each controller that may reach it, so that faults
// can strike one way only. Use StartCore.
type CoreProcess struct {
	ID        string
	Number    int // of its exchange
	behaviour Behaviour
	record    *Recorder

	mu     sync.Mutex
	random *rand.Rand
	ways   map[string]*way // by controller
	calls  map[string]*coreCall
	dead   bool
	frozen bool // neither reads nor writes
	thaw   chan struct{}
}

// coreCall is a set-up at work or a call that stands.
type coreCall struct {
	id     string
	way    *way
	on     *coreConn
	stands bool
	timer  *time.Timer
	due    bool // its end came while the core was frozen
}

// StartCore starts a core with a group of so many circuits towards each controller. Where addresses names one for a
// controller, the core listens there, else at ports of the host.
func StartCore(id, host string, number, circuits int, controllers []string, addresses map[string]string, b Behaviour, seed uint64, record *Recorder) (*CoreProcess, error) {
	c := &CoreProcess{ID: id, Number: number, behaviour: b, record: record, random: rand.New(rand.NewPCG(seed, 17)),
		ways: map[string]*way{}, calls: map[string]*coreCall{}}
	for _, name := range controllers {
		address := addresses[name]
		if address == "" {
			address = net.JoinHostPort(host, "0")
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			c.Crash()
			return nil, fmt.Errorf("faulttrial: core: %w", err)
		}
		w := &way{core: c, controller: name, listener: l.(*net.TCPListener), address: l.Addr().String(), size: circuits,
			conns: map[*coreConn]struct{}{}}
		c.ways[name] = w
		go w.accept(w.listener)
	}
	return c, nil
}

// Address is where a controller reaches the core.
func (c *CoreProcess) Address(controller string) string { return c.ways[controller].address }

// Addresses are all of them, by controller.
func (c *CoreProcess) Addresses() map[string]string {
	out := map[string]string{}
	for name, w := range c.ways {
		out[name] = w.address
	}
	return out
}

// setUp takes a set-up.
func (c *CoreProcess) setUp(x *coreConn, m line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Add(Event{Kind: CoreSetup, Call: m.ID, Core: c.ID, Controller: x.way.controller})
	refuse, cause, note := c.random.Float64() < c.behaviour.Refuse, 34, "swamped"
	if c.random.IntN(2) == 0 {
		cause, note = 17, ""
	}
	work := time.Duration(c.random.ExpFloat64() * float64(c.behaviour.Work))
	if x.way.used >= x.way.size {
		refuse, cause, note = true, 34, "blocked"
	}
	call := &coreCall{id: m.ID, way: x.way, on: x}
	c.calls[m.ID] = call
	x.way.used++
	x.way.tell()
	call.timer = time.AfterFunc(work, func() {
		if !c.waitThaw() {
			return
		}
		if refuse {
			c.refuse(call, cause, note)
		} else {
			c.answer(call)
		}
	})
}

// drop takes a call off. The lock is held.
func (c *CoreProcess) drop(call *coreCall) {
	call.timer.Stop()
	delete(c.calls, call.id)
	call.way.used--
	call.way.tell()
}

func (c *CoreProcess) refuse(call *coreCall, cause int, note string) {
	c.mu.Lock()
	if c.calls[call.id] != call {
		c.mu.Unlock()
		return
	}
	c.drop(call)
	c.record.Add(Event{Kind: CoreRefuse, Call: call.id, Core: c.ID, Cause: cause})
	c.mu.Unlock()
	fields := map[string]any{}
	if note != "" {
		fields["note"] = note
	}
	call.on.send(line{Type: "release", ID: call.id, Fields: fields, Cause: cause})
}

// answer makes a call stand, and sets the time of its end.
func (c *CoreProcess) answer(call *coreCall) {
	c.mu.Lock()
	if c.calls[call.id] != call {
		c.mu.Unlock()
		return
	}
	call.stands = true
	spoil := c.random.Float64() < c.behaviour.Spoil
	breakOff := c.behaviour.BreakOff > 0 && c.random.Float64() < c.behaviour.BreakOff
	hold := time.Duration((0.2 + 1.6*c.random.Float64()) * float64(c.behaviour.Hold))
	sdp := fmt.Sprintf("%016x %s", c.random.Uint64(), call.id)
	text := sdp
	if spoil || breakOff {
		text = ""
	}
	c.record.Add(Event{Kind: CoreAnswer, Call: call.id, Core: c.ID, Controller: call.way.controller, Text: text})
	call.timer = time.AfterFunc(hold, func() { c.finish(call) })
	c.mu.Unlock()
	switch {
	case spoil:
		call.on.spoil()
		return
	case breakOff:
		call.on.breakOff(call.id)
		return
	}
	call.on.send(line{Type: "answer", ID: call.id, SDP: &sdp})
}

// finish ends a call that stands by itself.
func (c *CoreProcess) finish(call *coreCall) {
	c.mu.Lock()
	if c.dead || c.calls[call.id] != call {
		c.mu.Unlock()
		return
	}
	if c.frozen {
		call.due = true
		c.mu.Unlock()
		return
	}
	c.drop(call)
	c.record.Add(Event{Kind: CoreEnd, Call: call.id, Core: c.ID, Controller: call.way.controller, Text: "finished"})
	on := call.way.connectionFor(call)
	if on == nil {
		call.way.queued = append(call.way.queued, call.id)
	} else {
		call.way.recent = append(call.way.recent, sentRelease{call.id, time.Now()})
		c.record.Add(Event{Kind: CoreRelease, Call: call.id, Core: c.ID, Controller: call.way.controller})
	}
	c.mu.Unlock()
	if on != nil {
		on.send(line{Type: "release", ID: call.id, Cause: 16})
	}
}

// EndCalls ends all calls that stand, and writes their releases at once: those of a connection's calls in one piece on it.
func (c *CoreProcess) EndCalls() {
	c.mu.Lock()
	if c.dead || c.frozen {
		c.mu.Unlock()
		return
	}
	bursts := map[*coreConn][]byte{}
	for _, call := range c.calls {
		on := call.way.connectionFor(call)
		if on == nil || !call.stands {
			continue
		}
		call.way.recent = append(call.way.recent, sentRelease{call.id, time.Now()})
		c.drop(call) // stops the timer of its own end
		c.record.Add(Event{Kind: CoreEnd, Call: call.id, Core: c.ID, Controller: call.way.controller, Text: "finished"})
		c.record.Add(Event{Kind: CoreRelease, Call: call.id, Core: c.ID, Controller: call.way.controller})
		bursts[on] = append(bursts[on], encode(line{Type: "release", ID: call.id, Cause: 16})...)
	}
	c.mu.Unlock()
	for x, burst := range bursts {
		x.sendBytes(burst)
	}
}

// released takes a release from the controller.
func (c *CoreProcess) released(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	if call == nil {
		return
	}
	kind := CoreGivenUp
	if call.stands {
		kind = CoreReleased
	}
	c.record.Add(Event{Kind: kind, Call: id, Core: c.ID})
	c.drop(call)
}

// Standing is how many calls stand.
func (c *CoreProcess) Standing() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, call := range c.calls {
		if call.stands {
			n++
		}
	}
	return n
}
