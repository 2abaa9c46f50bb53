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
