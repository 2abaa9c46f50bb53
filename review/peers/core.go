//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxMessage   = 16 << 10              // bytes of a message
	coreWork     = 20 * time.Millisecond // from a set-up to its answer
	coreCircuits = 100
)

// core is a stand-in core: it answers each set-up, holds the call, and releases it with cause 16.
type core struct {
	trial    *trial
	name     string
	listener net.Listener
	hold     time.Duration

	mu      sync.Mutex
	conns   []*coreConn // open ones, in the order of opening
	calls   map[string]*coreCall
	endedAt map[string]time.Time
	unsent  []string // releases that found no connection
}

// coreCall is a set-up in progress or a call that stands.
type coreCall struct {
	conn   *coreConn
	stands bool
}

// coreConn is a connection from the controller.
type coreConn struct {
	mu   sync.Mutex
	conn net.Conn
}

// coreLine is a message of the protocol between controllers and cores.
type coreLine struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  *int           `json:"cause,omitempty"`
	SDP    *string        `json:"sdp,omitempty"`
}

// newCore starts a core.
func newCore(t *trial, name string, hold time.Duration) (*core, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(t.host, "0"))
	if err != nil {
		return nil, err
	}
	c := &core{trial: t, name: name, listener: l, hold: hold, calls: map[string]*coreCall{}, endedAt: map[string]time.Time{}}
	go c.accept()
	return c, nil
}

// address returns the address at which the core listens.
func (c *core) address() string { return c.listener.Addr().String() }

// accept serves connections until the listener is closed.
func (c *core) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		x := &coreConn{conn: conn}
		c.mu.Lock()
		c.conns = append(c.conns, x)
		unsent := c.unsent
		c.unsent = nil
		load := c.load()
		c.mu.Unlock()
		x.send(coreLine{Type: "state", ID: "0", Fields: map[string]any{"load": load}})
		for _, id := range unsent {
			c.sendRelease(x, id)
		}
		go c.serve(x)
	}
}

// load returns the state of the group. The lock must be held.
func (c *core) load() string {
	return fmt.Sprintf("x0:%d;x1:%d", coreCircuits-len(c.calls), coreCircuits)
}

// send writes a line and reports whether that succeeded.
func (x *coreConn) send(m coreLine) bool {
	b, err := json.Marshal(m)
	if err != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	_, err = x.conn.Write(append(b, '\n'))
	return err == nil
}

// serve handles the messages of a connection until it ends. The set-ups open on it are then given up.
func (c *core) serve(x *coreConn) {
	lines := bufio.NewScanner(x.conn)
	lines.Buffer(nil, 2*maxMessage)
	for lines.Scan() {
		var m coreLine
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			break
		}
		switch m.Type {
		case "setup":
			c.handleSetUp(x, m)
		case "release":
			c.handleRelease(m)
		case "ping":
			one := 1
			x.send(coreLine{Type: "pong", ID: m.ID, Fields: map[string]any{}, Cause: &one})
		}
	}
	x.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.conns {
		if other == x {
			c.conns = append(c.conns[:i:i], c.conns[i+1:]...)
			break
		}
	}
	for id, call := range c.calls {
		if call.conn == x && !call.stands {
			c.trial.log(c.name, "set-up %s given up with its connection", id)
			delete(c.calls, id)
		}
	}
}

// handleSetUp answers a set-up after the service time.
func (c *core) handleSetUp(x *coreConn, m coreLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trial.log(c.name, "got set-up %s, fields %v", m.ID, m.Fields)
	call := &coreCall{conn: x}
	c.calls[m.ID] = call
	time.AfterFunc(coreWork, func() {
		c.mu.Lock()
		if c.calls[m.ID] != call {
			c.mu.Unlock()
			return
		}
		call.stands = true
		load := c.load()
		c.mu.Unlock()
		sdp := "answer of " + c.name + " to " + m.ID
		c.trial.log(c.name, "answers %s: the call stands", m.ID)
		x.send(coreLine{Type: "answer", ID: m.ID, Fields: map[string]any{"load": load}, SDP: &sdp})
		time.AfterFunc(c.hold, func() { c.finish(m.ID, call) })
	})
}

// finish ends a call that stands.
func (c *core) finish(id string, call *coreCall) {
	c.mu.Lock()
	if c.calls[id] != call {
		c.mu.Unlock()
		return
	}
	delete(c.calls, id)
	c.endedAt[id] = time.Now()
	c.trial.log(c.name, "call %s has come to its end", id)
	conns := append([]*coreConn{call.conn}, c.conns...)
	c.mu.Unlock()
	for _, x := range conns {
		if c.sendRelease(x, id) {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = append(c.unsent, id)
}

// sendRelease sends the release of a call that has ended.
func (c *core) sendRelease(x *coreConn, id string) bool {
	cause := 16
	if !x.send(coreLine{Type: "release", ID: id, Fields: map[string]any{}, Cause: &cause}) {
		return false
	}
	c.trial.log(c.name, "sends release of %s, cause %d", id, cause)
	return true
}

// handleRelease ends a set-up or a call on behalf of the controller.
func (c *core) handleRelease(m coreLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[m.ID] != nil {
		c.trial.log(c.name, "got release of %s", m.ID)
		delete(c.calls, m.ID)
	}
}

// endOf returns when a call came to its end at the core.
func (c *core) endOf(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.endedAt[id]
	return at, ok
}
