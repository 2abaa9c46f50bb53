package faulttrial

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// controllerLink is a core's interface to one controller: a listener, its connections and a group of circuits. The
// core's mutex guards it, except for the listener and its address, which don't change.
type controllerLink struct {
	core           *CoreProcess
	controller     string
	listener       *net.TCPListener
	address        string
	size, used     int
	others         int // circuits of calls that the controller did not send
	conns          map[*coreConn]struct{}
	queuedReleases []string             // ids of calls whose releases wait for a connection
	recentReleases map[string]time.Time // when the releases of the last releaseRepeatPeriod were sent, by call
	queueFillers   []net.Conn           // keep the accept queue full while the core is unreachable
	unserved       []net.Conn           // accepted while the core was paused or unreachable
	ignored        []net.Conn           // ended by the controller and not closed here; the runtime closes what nothing refers to
	unreachable    bool                 // new connections are not established
	acceptDelay    time.Duration
}

// coreConn is a connection from the controller to the core.
type coreConn struct {
	net.Conn
	link      *controllerLink
	writeMu   sync.Mutex
	corrupted atomic.Bool // a malformed answer was sent: nothing more is read or written
	forgotten atomic.Bool // the core ignores it without having closed it
}

// coreMessage is a message of the core protocol.
type coreMessage struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  int            `json:"cause,omitempty"`
	SDP    *string        `json:"sdp,omitempty"`
}

// serveConnection serves a connection until its end, after the accept delay. It first sends the group's state, the
// queued releases and the recent ones. While the core is paused or unreachable, the connection is kept unserved
// instead.
func (c *CoreProcess) serveConnection(link *controllerLink, netConn net.Conn) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		netConn.Close()
		return
	}
	if c.paused || link.unreachable {
		link.unserved = append(link.unserved, netConn)
		c.mu.Unlock()
		return
	}
	delay := link.acceptDelay
	c.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if peerClosed(netConn) { // the controller has closed it before it was served
		netConn.Close()
		return
	}
	conn := &coreConn{Conn: netConn, link: link}
	c.mu.Lock()
	link.conns[conn] = struct{}{}
	releases := link.queuedReleases
	link.queuedReleases = nil
	// Repeat them on each new connection: one that is closed already may be accepted before the others.
	for call, sentAt := range link.recentReleases {
		if time.Since(sentAt) < releaseRepeatPeriod {
			releases = append(releases, call)
		} else {
			delete(link.recentReleases, call)
		}
	}
	c.mu.Unlock()
	conn.sendState()
	for _, call := range releases {
		if !conn.writeReleases(call) {
			c.sendRelease(link, call, conn)
		}
	}
	conn.readMessages()
}

// acceptConnections accepts connections until the listener is closed or its deadline passes.
func (link *controllerLink) acceptConnections(listener *net.TCPListener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go link.core.serveConnection(link, conn)
	}
}

// stateMessage returns the message with the group's free and total circuits. The caller holds the core's mutex.
func (link *controllerLink) stateMessage() coreMessage {
	return coreMessage{Type: "state", ID: "0000000000000000", Fields: map[string]any{"load": fmt.Sprintf("x0:%d;x1:%d", link.size-link.inUse(), link.size)}}
}

// sendState sends the group's state on at most maxStateConnections of the open connections, without waiting. The caller
// holds the core's mutex.
func (link *controllerLink) sendState() {
	sent := 0
	for conn := range link.conns {
		if sent++; sent <= maxStateConnections {
			go conn.sendState()
		}
	}
}

// sendState writes the state that the group has at that moment: the last state on each connection is the current one.
func (conn *coreConn) sendState() {
	conn.sendBytes(func() []byte {
		conn.link.core.mu.Lock()
		defer conn.link.core.mu.Unlock()
		return encodeLine(conn.link.stateMessage())
	})
}

// encodeLine returns a message as a JSON line.
func encodeLine(m coreMessage) []byte {
	if m.Fields == nil {
		m.Fields = map[string]any{}
	}
	b, _ := json.Marshal(m) // can't fail: the fields are strings
	return append(b, '\n')
}

// send writes a message; while the core is paused it waits. Nothing is written on a corrupted or forgotten connection.
func (conn *coreConn) send(m coreMessage) { conn.sendBytes(func() []byte { return encodeLine(m) }) }

// sendBytes writes the messages that encode returns, as send does.
func (conn *coreConn) sendBytes(encode func() []byte) {
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	if !conn.link.core.waitResumed() || conn.corrupted.Load() || conn.forgotten.Load() {
		return
	}
	conn.write(encode())
}

// write writes encoded messages at once. The caller holds writeMu.
func (conn *coreConn) write(b []byte) {
	if conn.link.core.behaviour.Pieces {
		_ = writeInPieces(conn.Conn, b)
		return
	}
	_, _ = conn.Write(b) // the reader detects an error as the connection's end
}

// writeReleases writes and records the releases of calls in a single write. It reports whether it did: nothing is written
// while the core is paused, or on a connection that is no longer usable.
func (conn *coreConn) writeReleases(calls ...string) bool {
	core := conn.link.core
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	var lines []byte
	core.mu.Lock()
	if core.paused || core.ended || !conn.usable() {
		core.mu.Unlock()
		return false
	}
	for _, call := range calls {
		core.record.Add(Event{Kind: CoreRelease, Call: call, Core: core.ID, Controller: conn.link.controller})
		lines = append(lines, encodeLine(coreMessage{Type: "release", ID: call, Cause: 16})...)
	}
	core.mu.Unlock()
	conn.write(lines)
	return true
}

// usable reports whether the controller may still read what is written on the connection.
func (conn *coreConn) usable() bool {
	return !conn.corrupted.Load() && !conn.forgotten.Load() && !peerClosed(conn.Conn)
}

// peerClosed reports whether the peer has closed a connection, even if data received before the close is still unread.
// It asks the kernel for the TCP state.
func peerClosed(conn net.Conn) bool {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
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

// writeInPieces writes b in pieces of 1 to 20 bytes.
func writeInPieces(conn net.Conn, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), 1+rand.IntN(20))
		if _, err := conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// readMessages handles a connection's messages until its end, and then drops the unanswered set-ups that arrived on it.
func (conn *coreConn) readMessages() {
	core := conn.link.core
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(nil, maxMessageLength)
	for scanner.Scan() {
		if !core.waitResumed() {
			return
		}
		var m coreMessage
		if conn.corrupted.Load() || conn.forgotten.Load() {
			continue
		}
		if json.Unmarshal(scanner.Bytes(), &m) != nil {
			break
		}
		switch m.Type {
		case "setup":
			core.handleSetUp(conn, m)
		case "release":
			core.handleRelease(m.ID)
		}
	}
	ignored := conn.forgotten.Load() || conn.corrupted.Load()
	if ignored { // also by a process that has ended
		core.mu.Lock()
		conn.link.ignored = append(conn.link.ignored, conn.Conn)
		core.mu.Unlock()
	}
	if !core.waitResumed() {
		return
	}
	core.mu.Lock()
	delete(conn.link.conns, conn)
	for id, call := range core.calls {
		if call.conn == conn && !call.stands {
			core.record.Add(Event{Kind: CoreGivenUp, Call: id, Core: core.ID, Text: "connection closed"})
			core.removeCall(call)
		}
	}
	core.mu.Unlock()
	if !ignored {
		conn.Close()
	}
}

// sendMalformed sends an answer that can't be parsed. Nothing is read or written on the connection afterwards.
func (conn *coreConn) sendMalformed() {
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	if !conn.corrupted.Load() {
		_, _ = conn.Write([]byte("{\"type\":\"answer\",\"id\":\"nonsense\n"))
	}
	conn.corrupted.Store(true)
}

// sendTruncated sends the first bytes of an answer and resets the connection.
func (conn *coreConn) sendTruncated(call string) {
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	if !conn.corrupted.Load() && !conn.forgotten.Load() {
		_, _ = conn.Write([]byte(`{"type":"answer","id":"` + call)) // the reader detects the connection's end
		_ = conn.Conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// usableConnection returns the connection for messages on a call: the preferred one, which is that of its set-up, or any
// other if that is no longer usable; nil without a usable connection. The caller holds the core's mutex.
func (link *controllerLink) usableConnection(preferred *coreConn) *coreConn {
	if _, open := link.conns[preferred]; open && preferred.usable() {
		return preferred
	}
	for conn := range link.conns {
		if conn.usable() {
			return conn
		}
	}
	return nil
}
