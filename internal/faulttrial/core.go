package faulttrial

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// way is what a core shares with one controller: a listener, its connections and a group of circuits.
type way struct {
	core       *CoreProcess
	controller string
	listener   *net.TCPListener
	address    string
	size, used int
	conns      map[*coreConn]struct{}
	queued     []string // releases that wait for a connection
	recent     []sentRelease
	fillers    []net.Conn // hold the accept queue full while the core has vanished
	filled     []net.Conn
	cut        bool // new connections never come up
	lateUp     time.Duration
}

type sentRelease struct {
	call string
	at   time.Time
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

type coreConn struct {
	net.Conn
	way     *way
	write   sync.Mutex
	useless atomic.Bool // a spoilt answer was sent: nothing is read or written any more
	silent  atomic.Bool // the core has forgotten it
}

// line is a message of the core protocol.
type line struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  int            `json:"cause,omitempty"`
	SDP    *string        `json:"sdp,omitempty"`
}

// StartCore starts a core with a group of so many circuits towards each controller. Where addresses names one for a
// controller, the core listens there.
func StartCore(id string, number, circuits int, controllers []string, addresses map[string]string, b Behaviour, seed uint64, record *Recorder) (*CoreProcess, error) {
	c := &CoreProcess{ID: id, Number: number, behaviour: b, record: record, random: rand.New(rand.NewPCG(seed, 17)),
		ways: map[string]*way{}, calls: map[string]*coreCall{}}
	for _, name := range controllers {
		l, err := listen(addresses[name])
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

// Ports of listeners are taken from below those that the system gives to clients: one that is free for a while, as
// after a crash, must not become some connection's.
const (
	lowestPort  = 10000
	highestPort = 32000
	portTries   = 200
)

// listen listens at an address, or at a port that is free.
func listen(address string) (net.Listener, error) {
	if address != "" {
		return net.Listen("tcp", address)
	}
	var err error
	for range portTries {
		var l net.Listener
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, err
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

func (c *CoreProcess) accept(w *way, conn net.Conn) {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		conn.Close()
		return
	}
	if c.frozen || w.cut {
		w.filled = append(w.filled, conn)
		c.mu.Unlock()
		return
	}
	late := w.lateUp
	c.mu.Unlock()
	if late > 0 {
		time.Sleep(late)
	}
	if peerClosed(conn) { // given up before it was served
		conn.Close()
		return
	}
	x := &coreConn{Conn: conn, way: w}
	c.mu.Lock()
	w.conns[x] = struct{}{}
	state := w.state()
	queued := w.queued
	w.queued = nil
	kept := w.recent[:0]
	for _, r := range w.recent { // again on each that is opened: one that was closed meanwhile may be accepted before others
		if time.Since(r.at) < releaseRepeat {
			queued = append(queued, r.call)
			kept = append(kept, r)
		}
	}
	w.recent = kept
	c.mu.Unlock()
	x.send(state)
	for _, call := range queued {
		c.record.Add(Event{Kind: CoreRelease, Call: call, Core: c.ID, Controller: w.controller})
		x.send(line{Type: "release", ID: call, Cause: 16})
	}
	x.read()
}

func (w *way) accept(l *net.TCPListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go w.core.accept(w, conn)
	}
}

// state is the group's state. The lock is held.
func (w *way) state() line {
	return line{Type: "state", ID: "0000000000000000", Fields: map[string]any{"load": fmt.Sprintf("x0:%d;x1:%d", w.size-w.used, w.size)}}
}

// tell sends the group's state on the open connections. The lock is held.
func (w *way) tell() {
	sent := 0
	for x := range w.conns {
		if sent++; sent <= stateConnections {
			state := w.state()
			go x.send(state)
		}
	}
}

// encode writes a message as a line.
func encode(m line) []byte {
	if m.Fields == nil {
		m.Fields = map[string]any{}
	}
	b, _ := json.Marshal(m) // it has no values that can't be encoded
	return append(b, '\n')
}

// send writes a message, unless the core is frozen: then it waits.
func (x *coreConn) send(m line) { x.sendBytes(encode(m)) }

func (x *coreConn) sendBytes(b []byte) {
	x.write.Lock()
	defer x.write.Unlock()
	if !x.way.core.waitThaw() || x.useless.Load() || x.silent.Load() {
		return
	}
	if x.way.core.behaviour.Pieces {
		_ = writePieces(x.Conn, b)
		return
	}
	_, _ = x.Write(b) // an error is the connection's end, which its reader sees
}

// usable tells whether what is written on the connection may be read.
func (x *coreConn) usable() bool { return !x.useless.Load() && !x.silent.Load() && !peerClosed(x.Conn) }

// peerClosed tells whether the far end has closed a connection, whatever it sent before.
func peerClosed(conn net.Conn) bool {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return closed || err != nil
}

// writePieces writes in pieces of 1 to 20 bytes.
func writePieces(conn net.Conn, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), 1+rand.IntN(20))
		if _, err := conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// waitThaw returns once the core is not frozen, and tells whether it is alive.
func (c *CoreProcess) waitThaw() bool {
	for {
		c.mu.Lock()
		thaw, frozen, dead := c.thaw, c.frozen, c.dead
		c.mu.Unlock()
		if dead {
			return false
		}
		if !frozen {
			return true
		}
		<-thaw
	}
}

// read takes a connection's lines to its end.
func (x *coreConn) read() {
	c := x.way.core
	lines := bufio.NewScanner(x)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if !c.waitThaw() {
			return
		}
		var m line
		if x.useless.Load() || x.silent.Load() {
			continue
		}
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			break
		}
		switch m.Type {
		case "setup":
			c.setUp(x, m)
		case "release":
			c.released(m.ID)
		}
	}
	if !c.waitThaw() {
		return
	}
	c.mu.Lock()
	delete(x.way.conns, x)
	for id, call := range c.calls {
		if call.on == x && !call.stands {
			c.record.Add(Event{Kind: CoreGivenUp, Call: id, Core: c.ID, Text: "connection closed"})
			c.drop(call)
		}
	}
	c.mu.Unlock()
	if !x.silent.Load() && !x.useless.Load() {
		x.Close()
	}
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

// spoil sends an answer that can't be read, after which the connection is of no use.
func (x *coreConn) spoil() {
	x.write.Lock()
	defer x.write.Unlock()
	if !x.useless.Load() {
		_, _ = x.Write([]byte("{\"type\":\"answer\",\"id\":\"nonsense\n"))
	}
	x.useless.Store(true)
}

// breakOff sends the first bytes of an answer and resets the connection.
func (x *coreConn) breakOff(call string) {
	x.write.Lock()
	defer x.write.Unlock()
	if !x.useless.Load() && !x.silent.Load() {
		_, _ = x.Write([]byte(`{"type":"answer","id":"` + call)) // an error is the connection's end, which its reader sees
		_ = x.Conn.(*net.TCPConn).SetLinger(0)
		x.Close()
	}
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
	bursts := map[*coreConn][]byte{}
	for _, call := range c.calls {
		on := call.way.connectionFor(call)
		if on == nil || !call.stands {
			continue
		}
		call.way.recent = append(call.way.recent, sentRelease{call.id, time.Now()})
		c.drop(call)
		c.record.Add(Event{Kind: CoreEnd, Call: call.id, Core: c.ID, Controller: call.way.controller, Text: "finished"})
		c.record.Add(Event{Kind: CoreRelease, Call: call.id, Core: c.ID, Controller: call.way.controller})
		bursts[on] = append(bursts[on], encode(line{Type: "release", ID: call.id, Cause: 16})...)
	}
	c.mu.Unlock()
	for x, burst := range bursts {
		x.sendBytes(burst)
	}
}

// connectionFor is the connection that a core sends on what concerns a call: that of its set-up, or else any open one. The
// lock is held.
func (w *way) connectionFor(call *coreCall) *coreConn {
	if _, open := w.conns[call.on]; open && call.on.usable() {
		return call.on
	}
	for x := range w.conns {
		if x.usable() {
			return x
		}
	}
	return nil
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

// Hang stops the process in the middle of its work: connections come up in the kernel, and nothing is read or written.
func (c *CoreProcess) Hang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freeze()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "hang"})
}

func (c *CoreProcess) freeze() {
	if !c.frozen {
		c.frozen, c.thaw = true, make(chan struct{})
	}
}

// CutOff takes the machine off the network: open connections stay open and silent, new ones never come up. Calls go
// on, and those that end are released after Return.
func (c *CoreProcess) CutOff() {
	c.mu.Lock()
	c.freeze()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "cut off"})
	c.mu.Unlock()
	for _, w := range c.ways {
		w.fill()
	}
}

// Vanish takes the machine away for good, and its calls with it.
func (c *CoreProcess) Vanish() {
	c.CutOff()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAll("vanished")
}

// endAll ends the calls. The lock is held.
func (c *CoreProcess) endAll(how string) {
	for id, call := range c.calls {
		if call.stands {
			c.record.Add(Event{Kind: CoreEnd, Call: id, Core: c.ID, Controller: call.way.controller, Text: how})
		} else {
			c.record.Add(Event{Kind: CoreGivenUp, Call: id, Core: c.ID, Text: how})
		}
		call.timer.Stop()
		delete(c.calls, id)
		call.way.used--
	}
}

// Return brings a core back that hung or was cut off.
func (c *CoreProcess) Return() {
	for _, w := range c.ways {
		w.empty()
	}
	c.mu.Lock()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "back"})
	if c.frozen {
		c.frozen = false
		close(c.thaw)
	}
	var due []*coreCall
	for _, call := range c.calls {
		if call.due {
			due = append(due, call)
		}
	}
	var waiting []net.Conn
	var on []*way
	for _, w := range c.ways {
		for _, conn := range w.filled {
			waiting, on = append(waiting, conn), append(on, w)
		}
		w.filled = nil
	}
	c.mu.Unlock()
	for _, call := range due {
		c.finish(call)
	}
	for i, conn := range waiting {
		go c.accept(on[i], conn)
	}
}

// Crash ends the process: its connections are reset, its port refuses, its calls are cut.
func (c *CoreProcess) Crash() {
	c.end("crashed", true)
}

// Abandon frees the address of a core that has vanished, so that another may listen there. Its open connections stay
// open and silent.
func (c *CoreProcess) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.ways {
		w.listener.Close()
		for _, conn := range w.fillers {
			conn.Close()
		}
		w.fillers = nil
	}
}

// end takes the process away.
func (c *CoreProcess) end(how string, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return
	}
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: how})
	c.endAll(how)
	c.dead = true
	if c.frozen {
		c.frozen = false
		close(c.thaw)
	}
	for _, w := range c.ways {
		w.listener.Close()
		for _, conn := range append(w.filled, w.fillers...) {
			conn.Close()
		}
		for x := range w.conns {
			if t, ok := x.Conn.(*net.TCPConn); ok && reset {
				_ = t.SetLinger(0)
			}
			x.Close()
		}
	}
}

// Disturb closes, resets or forgets the connections on which no set-up is open.
func (c *CoreProcess) Disturb(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen || c.dead {
		return // it does nothing
	}
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: how + " idle connections"})
	busy := map[*coreConn]bool{}
	for _, call := range c.calls {
		if !call.stands {
			busy[call.on] = true
		}
	}
	for _, w := range c.ways {
		for x := range w.conns {
			if busy[x] {
				continue
			}
			switch how {
			case "forget":
				x.silent.Store(true)
				delete(w.conns, x)
			case "reset":
				_ = x.Conn.(*net.TCPConn).SetLinger(0)
				x.Close()
			default:
				x.Close()
			}
		}
	}
}

// SetLateUp has new connections be served so much later.
func (c *CoreProcess) SetLateUp(late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: fmt.Sprintf("connections come up %v late", late)})
	for _, w := range c.ways {
		w.lateUp = late
	}
}

// setBacklog changes the length of a listener's accept queue.
func setBacklog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// fill has new connections never come up: the accept queue is as short as may be, and full.
func (w *way) fill() {
	w.core.mu.Lock()
	w.cut = true
	w.core.mu.Unlock()
	_ = w.listener.SetDeadline(time.Now()) // ends the accepting
	setBacklog(w.listener, 0)
	for range 8 {
		conn, err := net.DialTimeout("tcp", w.address, 30*time.Millisecond)
		if err != nil {
			break
		}
		w.core.mu.Lock()
		w.fillers = append(w.fillers, conn)
		w.core.mu.Unlock()
	}
}

// empty has new connections come up again.
func (w *way) empty() {
	w.core.mu.Lock()
	cut, fillers := w.cut, w.fillers
	w.cut, w.fillers = false, nil
	w.core.mu.Unlock()
	if !cut {
		return
	}
	setBacklog(w.listener, syscall.SOMAXCONN)
	for _, conn := range fillers {
		conn.Close()
	}
	_ = w.listener.SetDeadline(time.Time{})
	go w.accept(w.listener)
}
