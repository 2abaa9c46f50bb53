package faulttrial

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// textMuted is the text of the fault that a connection is cut without a sign.
const textMuted = "connection cut without a sign"

// Mute cuts one of the connections without a sign: what the controller sends on it is not read any more.
func (c *Callers) Mute() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		if !c.hasOpen(x) && len(c.conns) > 1 {
			c.record.Add(Event{Kind: Fault, Controller: c.controller, Connection: x.number, Text: textMuted})
			x.muted.Store(true)
			c.remove(x)
			return
		}
	}
}

// hasOpen tells whether a set-up on a connection is not answered. The lock is held.
func (c *Callers) hasOpen(x *callerConn) bool {
	for _, call := range c.open {
		if call.conn == x && !call.answered {
			return true
		}
	}
	return false
}

// Crowd opens connections that say nothing, until the returned function is called.
func (c *Callers) Crowd(n int) (end func()) {
	c.record.Add(Event{Kind: Fault, Controller: c.controller, Text: fmt.Sprintf("crowd of %d connections", n)})
	var conns []net.Conn
	for range n {
		if conn, err := net.DialTimeout("tcp", c.address, time.Second); err == nil {
			conns = append(conns, conn)
		}
	}
	return func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// Misbehave sends what can't be read, on connections of its own.
func (c *Callers) Misbehave(n int) {
	texts := []string{"NONSENSE\r\n\r\n", "INVITE sip:aa@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: -5\r\n\r\n",
		"INVITE sip:aa@net SIP/2.0\r\nContent-Length: 99999999999\r\n\r\n", "INVITE sip:aa@net SIP/2.0\r\nCall-ID: 12", strings.Repeat("X", 40000),
		"BYE sip:aa@net SIP/2.0\r\nCall-ID: 00000000deadbeef\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"}
	for i := range n {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, texts[i%len(texts)]) // it may be closed meanwhile
		time.AfterFunc(3*time.Second, func() { conn.Close() })
	}
}
