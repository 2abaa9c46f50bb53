package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// Core is the stand-in of an exchange's core: it answers set-ups, ends calls, and tells the state of its group first on
// each new connection and then at each change. Its processor looks at set-ups after SetUpWait, and at releases, its own
// and those that it gets, after ReleaseWait: answers and releases wait in line.
type Core struct {
	Name, Addr  string
	Size        int           // circuits of the group
	SetUpWait   time.Duration // from a set-up to its answer
	ReleaseWait time.Duration // from the end of a call, which frees its circuit, to the message about it

	lab      *Lab
	listener net.Listener

	mu       sync.Mutex
	conns    map[*coreConn]bool
	calls    map[string]*CoreCall
	unsent   []string // releases to be sent on the next connection that is opened too
	received int
}

// CoreCall is what a core knows of a call.
type CoreCall struct {
	conn              *coreConn
	SetUps            int       // set-ups received
	LastSetUp         time.Time // when the last one came
	Stands            bool
	Ended             time.Time // when it ended, zero if it has not
	EndedByController bool
}

type coreConn struct {
	net.Conn
	mu sync.Mutex
}

type line struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  int            `json:"cause"`
	SDP    string         `json:"sdp"`
}

// NewCore starts a core.
func (l *Lab) NewCore(name string, size int) *Core {
	n, err := net.Listen("tcp", l.Host+":0")
	if err != nil {
		Fail("%v", err)
	}
	c := &Core{Name: name, Addr: n.Addr().String(), Size: size, SetUpWait: 50 * time.Millisecond, lab: l, listener: n,
		conns: map[*coreConn]bool{}, calls: map[string]*CoreCall{}}
	go c.accept()
	return c
}

func (c *Core) accept() {
	for {
		n, err := c.listener.Accept()
		if err != nil {
			return
		}
		x := &coreConn{Conn: n}
		c.mu.Lock()
		c.conns[x] = true
		c.sendState(x)
		unsent := c.unsent
		c.unsent = nil
		c.mu.Unlock()
		for _, id := range unsent {
			c.sendRelease(x, id)
		}
		go c.serve(x)
	}
}

// send writes a line; an error is seen by the reader.
func (c *Core) send(x *coreConn, text string) {
	c.lab.Log(c.Name, "-> %s", text)
	x.mu.Lock()
	defer x.mu.Unlock()
	_, _ = x.Write([]byte(text + "\n"))
}

// used counts the circuits in use. The lock is held.
func (c *Core) used() (n int) {
	for _, k := range c.calls {
		if k.Ended.IsZero() {
			n++
		}
	}
	return n
}

// load returns the report of the group. The lock is held.
func (c *Core) load() string { return fmt.Sprintf("x0:%d;x1:%d", c.Size-c.used(), c.Size) }

// sendState tells the state of the group. The lock is held.
func (c *Core) sendState(x *coreConn) {
	c.send(x, fmt.Sprintf(`{"type":"state","id":"0","fields":{"load":"%s"}}`, c.load()))
}

// changed tells the state on all connections. The lock is held.
func (c *Core) changed() {
	for x := range c.conns {
		c.sendState(x)
	}
}

func (c *Core) sendRelease(x *coreConn, id string) {
	c.send(x, fmt.Sprintf(`{"type":"release","id":"%s","fields":{},"cause":16}`, id))
}

func (c *Core) serve(x *coreConn) {
	s := bufio.NewScanner(x)
	s.Buffer(nil, 64<<10)
	for s.Scan() {
		c.lab.Log(c.Name, "<- %s", s.Text())
		var m line
		if json.Unmarshal(s.Bytes(), &m) != nil {
			break
		}
		switch m.Type {
		case "setup":
			c.setUp(x, m.ID)
		case "release":
			time.AfterFunc(c.ReleaseWait, func() { c.released(m.ID) })
		}
	}
	x.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, x)
	for _, k := range c.calls { // the set-ups open on a connection that closes are given up
		if k.conn == x && !k.Stands && k.Ended.IsZero() {
			k.Ended = time.Now()
		}
	}
}

func (c *Core) setUp(x *coreConn, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received++
	k := &CoreCall{conn: x, LastSetUp: time.Now()}
	if old := c.calls[id]; old != nil {
		k.SetUps = old.SetUps
	}
	k.SetUps++
	c.calls[id] = k
	c.changed()
	time.AfterFunc(c.SetUpWait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.calls[id] != k || !k.Ended.IsZero() || !c.conns[x] {
			return
		}
		k.Stands = true
		c.send(x, fmt.Sprintf(`{"type":"answer","id":"%s","fields":{"load":"%s"},"sdp":"answer of %s to %s"}`, id, c.load(), c.Name, id))
	})
}

// released handles a release by the controller.
func (c *Core) released(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.calls[id]; k != nil && k.Ended.IsZero() {
		k.Ended, k.EndedByController = time.Now(), true
		c.changed()
	}
}

// End ends a call that stands: its circuit is free at once, and the release follows after ReleaseWait.
func (c *Core) End(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[id]
	if k == nil || !k.Stands || !k.Ended.IsZero() {
		Fail("%s has no standing call %s", c.Name, id)
	}
	c.lab.Log(c.Name, "call %s ends", id)
	k.Ended = time.Now()
	c.changed()
	time.AfterFunc(c.ReleaseWait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		x := k.conn
		if !c.conns[x] {
			x = nil
			for other := range c.conns {
				x = other
			}
		}
		if x == nil {
			c.unsent = append(c.unsent, id)
			return
		}
		c.sendRelease(x, id)
	})
}

// ResetConnections resets all connections; new ones are accepted.
func (c *Core) ResetConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lab.Log(c.Name, "resets its %d connections", len(c.conns))
	for x := range c.conns {
		if t, ok := x.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // best effort: without it the close is an orderly one
		}
		x.Close()
	}
}

// Call returns what the core knows of a call, the zero value if nothing.
func (c *Core) Call(id string) CoreCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.calls[id]; k != nil {
		return *k
	}
	return CoreCall{}
}

// Received returns the number of set-ups received.
func (c *Core) Received() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// Connections returns the number of open connections.
func (c *Core) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Newest returns the id of the call that was set up last.
func (c *Core) Newest() (id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for k, call := range c.calls {
		if call.LastSetUp.After(last) {
			id, last = k, call.LastSetUp
		}
	}
	return id
}
