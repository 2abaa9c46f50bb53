package faulttrial

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	maxStateConnections = 4               // a change of a group's state is sent on at most this many connections
	releaseRepeatPeriod = 2 * time.Second // a release is repeated on each connection opened within this time
	maxMessageLength    = 16 << 10        // bytes, of a message to a core or of a SIP body
	freedAddressTimeout = time.Second     // wait until a freed address can be listened at
	listenRetryDelay    = time.Millisecond
)

// CoreBehaviour configures how a stand-in core serves calls. Shares are between 0 and 1.
type CoreBehaviour struct {
	Work   time.Duration // mean time from set-up to answer
	Hold   time.Duration // mean length of a call
	Refuse float64       // share of the set-ups that are refused or fail
	Spoil  float64       // share of the answers that are malformed; their connection is not read or written afterwards
	Pieces bool          // write lines in pieces of 1 to 20 bytes

	BreakOff float64 // share of the answers that are truncated by a reset of their connection

	Others OtherTraffic
}

// CoreProcess is a stand-in core. It has a separate listener for each controller, so that a fault can affect the
// connection to one controller only. Create it with StartCore. Its methods are safe for concurrent use.
type CoreProcess struct {
	ID        string
	Number    int // number of its exchange
	behaviour CoreBehaviour
	record    *Recorder

	mu       sync.Mutex
	random   *rand.Rand
	links    map[string]*controllerLink // by controller
	calls    map[string]*coreCall
	ended    bool
	paused   bool // reads and writes nothing
	vanished bool // its machine has failed for good: Hang and Restore have no effect
	resumed  chan struct{}
}

// coreCall is a set-up in progress or a standing call.
type coreCall struct {
	id         string
	link       *controllerLink
	conn       *coreConn
	stands     bool
	timer      *time.Timer
	endPending bool // its hold time ended while the core was paused
}

// StartCore starts a core with a group of the given number of circuits towards each controller. It listens at the
// controller's entry in addresses or, without one, at a free port of the host.
func StartCore(id, host string, number, circuits int, controllers []string, addresses map[string]string,
	behaviour CoreBehaviour, seed uint64, record *Recorder) (*CoreProcess, error) {
	c := &CoreProcess{ID: id, Number: number, behaviour: behaviour, record: record, random: rand.New(rand.NewPCG(seed, 17)),
		links: map[string]*controllerLink{}, calls: map[string]*coreCall{}}
	for _, name := range controllers {
		address := addresses[name]
		if address == "" {
			address = net.JoinHostPort(host, "0")
		}
		listener, err := listen(address)
		if err != nil {
			c.Crash()
			return nil, fmt.Errorf("faulttrial: core: %w", err)
		}
		link := &controllerLink{core: c, controller: name, listener: listener.(*net.TCPListener), address: listener.Addr().String(), size: circuits,
			others: min(behaviour.Others.callsFor(name), circuits), conns: map[*coreConn]struct{}{}, recentReleases: map[string]time.Time{}}
		c.links[name] = link
		go link.acceptConnections(link.listener)
	}
	if behaviour.Others.Rate > 0 {
		for _, link := range c.links {
			go link.runOtherTraffic(behaviour.Others, seed)
		}
	}
	return c, nil
}

// listen listens at an address that may have been freed just now: a process that is being started holds copies of all
// sockets for a moment, so the address can stay in use for that long.
func listen(address string) (net.Listener, error) {
	deadline := time.Now().Add(freedAddressTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(listenRetryDelay)
	}
}

// Address returns the address at which a controller reaches the core.
func (c *CoreProcess) Address(controller string) string { return c.links[controller].address }

// Addresses returns the addresses of all listeners, by controller.
func (c *CoreProcess) Addresses() map[string]string {
	out := map[string]string{}
	for name, link := range c.links {
		out[name] = link.address
	}
	return out
}

// handleSetUp handles a set-up: it occupies a circuit, and answers or refuses the set-up after the service time.
// Without a free circuit the set-up is refused.
func (c *CoreProcess) handleSetUp(conn *coreConn, m coreMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Add(Event{Kind: CoreSetup, Call: m.ID, Core: c.ID, Controller: conn.link.controller})
	refuse, cause, note := c.random.Float64() < c.behaviour.Refuse, 34, "swamped"
	if c.random.IntN(2) == 0 {
		cause, note = 17, ""
	}
	serviceTime := time.Duration(c.random.ExpFloat64() * float64(c.behaviour.Work))
	if conn.link.inUse() >= conn.link.size {
		refuse, cause, note = true, 34, "blocked"
	}
	call := &coreCall{id: m.ID, link: conn.link, conn: conn}
	c.calls[m.ID] = call
	conn.link.used++
	conn.link.sendState()
	call.timer = time.AfterFunc(serviceTime, func() {
		if !c.waitResumed() {
			return
		}
		if refuse {
			c.refuse(call, cause, note)
		} else {
			c.answer(call)
		}
	})
}

// removeCall removes a call and frees its circuit. The caller holds c.mu.
func (c *CoreProcess) removeCall(call *coreCall) {
	call.timer.Stop()
	delete(c.calls, call.id)
	call.link.used--
	call.link.sendState()
}

// refuse ends a set-up with a release.
func (c *CoreProcess) refuse(call *coreCall, cause int, note string) {
	c.mu.Lock()
	if c.calls[call.id] != call {
		c.mu.Unlock()
		return
	}
	c.removeCall(call)
	c.record.Add(Event{Kind: CoreRefuse, Call: call.id, Core: c.ID, Cause: cause})
	c.mu.Unlock()
	fields := map[string]any{}
	if note != "" {
		fields["note"] = note
	}
	call.conn.send(coreMessage{Type: "release", ID: call.id, Fields: fields, Cause: cause})
}

// answer answers a set-up and schedules the end of the call.
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
	c.record.Add(Event{Kind: CoreAnswer, Call: call.id, Core: c.ID, Controller: call.link.controller, Text: text})
	call.timer = time.AfterFunc(hold, func() { c.finish(call) })
	c.mu.Unlock()
	switch {
	case spoil:
		call.conn.sendMalformed()
		return
	case breakOff:
		call.conn.sendTruncated(call.id)
		return
	}
	call.conn.send(coreMessage{Type: "answer", ID: call.id, SDP: &sdp})
}

// finish ends a standing call at the end of its hold time and sends its release, or queues the release while there is
// no usable connection. While the core is paused, the end is deferred to Restore.
func (c *CoreProcess) finish(call *coreCall) {
	c.mu.Lock()
	if c.ended || c.calls[call.id] != call {
		c.mu.Unlock()
		return
	}
	if c.paused {
		call.endPending = true
		c.mu.Unlock()
		return
	}
	c.removeCall(call)
	c.record.Add(Event{Kind: CoreEnd, Call: call.id, Core: c.ID, Controller: call.link.controller, Text: "finished"})
	c.mu.Unlock()
	c.sendRelease(call.link, call.id, call.conn)
}

// sendRelease sends the release of a call that has ended, on the preferred connection if it is usable, or queues it while
// no connection is. While the core is paused it waits, and chooses the connection after that.
func (c *CoreProcess) sendRelease(link *controllerLink, call string, preferred *coreConn) {
	for c.waitResumed() {
		c.mu.Lock()
		conn := link.usableConnection(preferred)
		if conn == nil {
			link.queuedReleases = append(link.queuedReleases, call)
			c.mu.Unlock()
			return
		}
		link.recentReleases[call] = time.Now()
		c.mu.Unlock()
		if conn.writeReleases(call) {
			return
		}
	}
}

// EndCalls ends all standing calls at once. The releases of a connection's calls are sent in a single write.
func (c *CoreProcess) EndCalls() {
	c.mu.Lock()
	if c.ended || c.paused {
		c.mu.Unlock()
		return
	}
	releases := map[*coreConn][]string{}
	for _, call := range c.calls {
		conn := call.link.usableConnection(call.conn)
		if conn == nil || !call.stands {
			continue
		}
		call.link.recentReleases[call.id] = time.Now()
		c.removeCall(call) // also stops the timer of its hold time
		c.record.Add(Event{Kind: CoreEnd, Call: call.id, Core: c.ID, Controller: call.link.controller, Text: "finished"})
		releases[conn] = append(releases[conn], call.id)
	}
	c.mu.Unlock()
	for conn, calls := range releases {
		if conn.writeReleases(calls...) {
			continue
		}
		for _, call := range calls {
			c.sendRelease(conn.link, call, conn)
		}
	}
}

// handleRelease handles a release from the controller. A set-up without an answer counts as abandoned.
func (c *CoreProcess) handleRelease(id string) {
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
	c.removeCall(call)
}

// Standing returns the number of standing calls.
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
