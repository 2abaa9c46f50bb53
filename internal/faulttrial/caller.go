package faulttrial

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callerIdleTimeout = 4 * time.Second       // a caller closes a connection that has had no call for this long
	closeRaceWindow   = 50 * time.Millisecond // a set-up sent this shortly before the connection ended is sent again
)

// CallerBehaviour configures the callers of a controller. Shares are between 0 and 1.
type CallerBehaviour struct {
	Rate        float64       // set-ups per second
	Connections int           // number of open connections to hold
	GiveUp      float64       // share of the set-ups that are cancelled before their timeout
	HangUp      float64       // share of the answered calls that the caller releases
	Redial      float64       // share of the rejected set-ups that are followed by a new one at once
	Pieces      bool          // write messages in pieces of 1 to 20 bytes
	Acknowledge bool          // answer a release with 200
	DialOnEnd   bool          // send a new set-up together with the answer to a release
	KeepOpen    bool          // keep a connection that the controller has closed open for callerIdleTimeout
	ReadPause   time.Duration // delay before each message is handled
	StopAt      time.Duration // no new set-ups after this time since the trial's start
}

// Callers simulates the callers of one controller: SIP clients on a few TCP connections. Create it with NewCallers,
// then call Run and, at the end, Close. Its methods are safe for concurrent use.
type Callers struct {
	controller string
	address    string
	classes    []Class
	exchanges  []int
	behaviour  CallerBehaviour
	record     *Recorder

	mu                sync.Mutex
	random            *rand.Rand
	conns             []*callerConn
	calls             map[string]*callerCall
	lastCallID        uint64
	closed            bool
	connectingStopped bool // the front end has taken the controller out of service: open no new connections
	sendingStopped    bool // Run sends no set-ups
	finished          bool // Run returns
	lastConnNumber    int  // number of the connection opened last
	readers           sync.WaitGroup
}

// callerConn is a connection to the controller. Callers.mu guards lastUse and removed.
type callerConn struct {
	net.Conn
	number  int
	writeMu sync.Mutex
	lastUse time.Time
	removed bool
	muted   atomic.Bool // received messages are discarded
}

// callerCall is an unanswered set-up or an answered call. Callers.mu guards it.
type callerCall struct {
	id       string
	conn     *callerConn
	sent     time.Time
	deadline time.Duration
	message  string
	resent   bool
	answered bool
	stands   bool
}

// NewCallers returns the callers of a controller. The seed determines their random choices and, in its upper bits,
// their call ids.
func NewCallers(controller *Controller, classes []Class, exchanges []int, behaviour CallerBehaviour, seed uint64, record *Recorder) *Callers {
	return &Callers{controller: controller.Name, address: controller.Address(), classes: classes, exchanges: exchanges, behaviour: behaviour, record: record,
		random: rand.New(rand.NewPCG(seed, 23)), calls: map[string]*callerCall{}, lastCallID: seed << 24}
}

// Run sends set-ups at random intervals with the configured mean rate. It returns after StopAt, Finish or Close.
func (c *Callers) Run() {
	next := time.Now()
	for {
		c.mu.Lock()
		interval := time.Duration(c.random.ExpFloat64() / c.behaviour.Rate * float64(time.Second))
		c.mu.Unlock()
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		c.mu.Lock()
		done, stopped := c.closed || c.finished || c.record.Now() > c.behaviour.StopAt, c.sendingStopped
		c.mu.Unlock()
		if done {
			return
		}
		if !stopped {
			c.PlaceCall()
		}
	}
}

// Burst sends n set-ups at once.
func (c *Callers) Burst(n int) {
	for range n {
		c.PlaceCall()
	}
}

// SetConnectingStopped sets whether opening new connections is suspended. Open connections stay in use.
func (c *Callers) SetConnectingStopped(stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectingStopped = stopped
}

// SetSendingStopped sets whether Run is suspended: it then sends no set-ups. Cancels, releases and redials go on.
func (c *Callers) SetSendingStopped(stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendingStopped = stopped
}

// Finish makes Run return. Connections stay open while they have calls.
func (c *Callers) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
}

// Close closes all connections and waits until their readers have returned.
func (c *Callers) Close() {
	c.mu.Lock()
	c.closed = true
	conns := append([]*callerConn(nil), c.conns...)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
	c.readers.Wait()
}

// PlaceCall sends one set-up, without waiting for it.
func (c *Callers) PlaceCall() { go c.placeCall(true) }

// placeCall sends a set-up with a random class, exchange and timeout and, for a share of them, schedules its cancel. A
// set-up that is not the first attempt carries X-Resent.
func (c *Callers) placeCall(firstAttempt bool) {
	c.mu.Lock()
	class := c.classes[c.random.IntN(len(c.classes))]
	exchange := c.exchanges[c.random.IntN(len(c.exchanges))]
	c.lastCallID++
	id := fmt.Sprintf("%016x", c.lastCallID)
	cancels := c.random.Float64() < c.behaviour.GiveUp
	timeout := time.Duration((0.4 + 0.6*c.random.Float64()) * float64(class.Deadline))
	token := c.random.Uint64()
	cancelAfter := time.Duration(c.random.Float64() * float64(timeout) / 2)
	c.mu.Unlock()
	resent := ""
	if !firstAttempt {
		resent = "X-Resent: 1\r\n"
	}
	body := fmt.Sprintf("%016x\r\nm=audio\r\n", token)
	message := fmt.Sprintf("INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nX-Tier: %s\r\n"+
		"X-Deadline: %d\r\n%sX-Attrs: dest:%d;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s", token, id, class.Name, timeout.Milliseconds(), resent, exchange, len(body), body)
	call := &callerCall{id: id, deadline: timeout, message: message}
	if !c.send(call) {
		return
	}
	if cancels {
		time.AfterFunc(cancelAfter, func() { c.cancel(call) })
	}
}

// send writes a set-up on an open or a new connection, and reports whether it was written.
func (c *Callers) send(call *callerCall) bool {
	conn := c.pickConnection()
	if conn == nil {
		return false
	}
	c.mu.Lock()
	if conn.removed {
		c.mu.Unlock()
		return false
	}
	call.conn = conn
	c.calls[call.id] = call
	call.sent = time.Now() // provisional: set again once the message is written
	c.mu.Unlock()
	written := c.writeTo(conn, call.message)
	c.mu.Lock()
	call.sent = time.Now()
	c.mu.Unlock()
	if written {
		c.record.Add(Event{Kind: CallerSent, Call: call.id, Controller: c.controller, Connection: conn.number, Deadline: call.deadline})
	}
	return written
}

// writeTo writes a message on a connection and reports whether it was written whole.
func (c *Callers) writeTo(conn *callerConn, message string) bool {
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	c.mu.Lock()
	conn.lastUse = time.Now()
	c.mu.Unlock()
	if c.behaviour.Pieces {
		return writeInPieces(conn.Conn, []byte(message)) == nil
	}
	_, err := io.WriteString(conn.Conn, message)
	return err == nil
}

// pickConnection returns a random open connection or, while there are fewer than configured, a new one. It returns nil
// if there is none and none can be opened.
func (c *Callers) pickConnection() *callerConn {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	if len(c.conns) >= c.behaviour.Connections || c.connectingStopped && len(c.conns) > 0 {
		conn := c.conns[c.random.IntN(len(c.conns))]
		c.mu.Unlock()
		return conn
	}
	paused := c.connectingStopped
	c.mu.Unlock()
	if paused {
		return nil
	}
	return c.connect()
}

// connect opens a connection and starts its reader. It returns nil if that fails.
func (c *Callers) connect() *callerConn {
	netConn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	c.lastConnNumber++
	conn := &callerConn{Conn: netConn, number: c.lastConnNumber, lastUse: time.Now()}
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	c.readers.Go(func() { c.readMessages(conn) })
	return conn
}

// cancel sends CANCEL for a set-up, unless it has a final answer.
func (c *Callers) cancel(call *callerCall) {
	c.mu.Lock()
	answered, conn := call.answered, call.conn
	c.mu.Unlock()
	if answered {
		return
	}
	c.record.Add(Event{Kind: CallerCancel, Call: call.id, Controller: c.controller})
	c.writeTo(conn, fmt.Sprintf("CANCEL sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n", call.id))
}

// hangUp sends BYE for a standing call, on any connection.
func (c *Callers) hangUp(call *callerCall) {
	c.mu.Lock()
	stands := call.stands
	call.stands = false
	c.mu.Unlock()
	if !stands {
		return
	}
	conn := c.pickConnection()
	if conn == nil {
		return
	}
	c.record.Add(Event{Kind: CallerHangup, Call: call.id, Controller: c.controller})
	c.writeTo(conn, fmt.Sprintf("BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", call.id))
}

// readMessages handles a connection's messages until the connection ends or is idle.
func (c *Callers) readMessages(conn *callerConn) {
	reader := textproto.NewReader(bufio.NewReader(conn))
	for {
		if conn.SetReadDeadline(time.Now().Add(callerIdleTimeout)) != nil {
			break
		}
		message, err := readSIP(reader)
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			if c.removeIfIdle(conn) {
				break
			}
			continue
		}
		if err != nil {
			break
		}
		if conn.muted.Load() {
			continue
		}
		time.Sleep(c.behaviour.ReadPause)
		c.handleMessage(conn, message)
	}
	if conn.muted.Load() { // the controller's end does not reach this side, nor is it answered
		time.AfterFunc(mutedLifetime, func() { conn.Close() })
		return
	}
	c.handleConnectionEnd(conn)
}

// removeIfIdle removes a connection from use if it has no calls and was not used for callerIdleTimeout, and reports
// whether it did. A muted connection is never idle.
func (c *Callers) removeIfIdle(conn *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.muted.Load() {
		return false
	}
	for _, call := range c.calls {
		if call.conn == conn {
			return false
		}
	}
	if time.Since(conn.lastUse) < callerIdleTimeout {
		return false
	}
	c.removeConnection(conn)
	return true
}

// removeConnection removes a connection from use without closing it. The caller holds c.mu.
func (c *Callers) removeConnection(conn *callerConn) {
	conn.removed = true
	for i, other := range c.conns {
		if conn == other {
			c.conns = append(c.conns[:i], c.conns[i+1:]...)
			return
		}
	}
}

// handleConnectionEnd removes a connection and its unanswered set-ups. A set-up that was sent within closeRaceWindow
// before the end may have crossed the controller's close: it is sent again, once. The others are recorded as lost.
func (c *Callers) handleConnectionEnd(conn *callerConn) {
	if c.behaviour.KeepOpen {
		time.AfterFunc(callerIdleTimeout, func() { conn.Close() })
	} else {
		conn.Close()
	}
	c.mu.Lock()
	c.removeConnection(conn)
	var lost, resend []*callerCall
	for id, call := range c.calls {
		if call.conn != conn || call.answered {
			continue
		}
		delete(c.calls, id)
		if !call.resent && time.Since(call.sent) < closeRaceWindow && !c.closed {
			call.resent = true
			resend = append(resend, call)
		} else {
			lost = append(lost, call)
		}
	}
	c.mu.Unlock()
	for _, call := range lost {
		c.record.Add(Event{Kind: CallerLost, Call: call.id, Controller: c.controller, Connection: conn.number, Text: "connection ended"})
	}
	for _, call := range resend {
		go func() {
			if newConn := c.connect(); newConn == nil || !c.resendOn(newConn, call) {
				c.record.Add(Event{Kind: CallerLost, Call: call.id, Controller: c.controller, Connection: conn.number, Text: "crossed a close, and no new connection"})
			}
		}()
	}
}

// resendOn sends a set-up again on a new connection and reports whether it was written.
func (c *Callers) resendOn(conn *callerConn, call *callerCall) bool {
	c.mu.Lock()
	call.conn = conn
	c.calls[call.id] = call
	call.sent = time.Now()
	c.mu.Unlock()
	c.record.Add(Event{Kind: Fault, Call: call.id, Controller: c.controller, Text: "set-up crossed a close and is sent again"})
	return c.writeTo(conn, call.message)
}

// handleMessage handles a message of the controller: a release or a final answer to a set-up.
func (c *Callers) handleMessage(conn *callerConn, message sipMessage) {
	id := message.header.Get("Call-Id")
	switch {
	case message.status == 0 && message.method == "BYE":
		c.record.Add(Event{Kind: CallerRelease, Call: id, Controller: c.controller, Connection: conn.number})
		c.mu.Lock()
		if call := c.calls[id]; call != nil {
			call.stands = false
			delete(c.calls, id)
		}
		c.mu.Unlock()
		if c.behaviour.DialOnEnd {
			c.PlaceCall()
		}
		answer := fmt.Sprintf("SIP/2.0 200 OK\r\nVia: %s\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: 0\r\n\r\n", message.header.Get("Via"), id, message.header.Get("Cseq"))
		if c.behaviour.Acknowledge {
			c.writeTo(conn, answer) // what was received before the connection broke is read all the same
		}
	case message.status >= 200 && message.method == "INVITE":
		c.handleAnswer(conn, id, message)
	}
}

// handleAnswer handles a final answer: it acknowledges the answer and schedules the hang-up or the redial.
func (c *Callers) handleAnswer(conn *callerConn, id string, message sipMessage) {
	c.record.Add(Event{Kind: CallerAnswer, Call: id, Controller: c.controller, Connection: conn.number, Status: message.status, Text: message.body})
	c.mu.Lock()
	call := c.calls[id]
	if call == nil || call.answered {
		c.mu.Unlock()
		return
	}
	call.answered = true
	call.stands = message.status < 300
	hangUp := call.stands && c.random.Float64() < c.behaviour.HangUp
	redial := message.status >= 300 && c.random.Float64() < c.behaviour.Redial
	hangUpAfter := time.Duration(c.random.Float64() * float64(3*time.Second))
	if !call.stands {
		delete(c.calls, id)
	}
	c.mu.Unlock()
	c.writeTo(conn, fmt.Sprintf("ACK sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", id))
	if hangUp {
		time.AfterFunc(hangUpAfter, func() { c.hangUp(call) })
	}
	if redial {
		go c.placeCall(false)
	}
}
