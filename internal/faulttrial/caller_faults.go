package faulttrial

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// textMuted is the event text of a connection that is cut without a FIN or RST. The checker matches it.
const textMuted = "connection cut without a sign"

// mutedLifetime is how long such a connection stays open here after the controller has ended it.
const mutedLifetime = time.Minute

// MuteConnection simulates a connection that is lost without a FIN or RST: from now on, what the controller sends on it
// is discarded, and its close is not answered. It picks a connection without unanswered set-ups, and does nothing if there is none or only one
// connection is open.
func (c *Callers) MuteConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if !c.hasUnanswered(conn) && len(c.conns) > 1 {
			c.record.Add(Event{Kind: Fault, Controller: c.controller, Connection: conn.number, Text: textMuted})
			conn.muted.Store(true)
			c.removeConnection(conn)
			return
		}
	}
}

// hasUnanswered reports whether a connection has a set-up without a final answer. The caller holds c.mu.
func (c *Callers) hasUnanswered(conn *callerConn) bool {
	for _, call := range c.calls {
		if call.conn == conn && !call.answered {
			return true
		}
	}
	return false
}

// OpenIdleConnections opens n connections and sends nothing on them. The returned function closes them.
func (c *Callers) OpenIdleConnections(n int) (closeAll func()) {
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

// SendMalformed opens n connections, sends an invalid, truncated or unexpected message on each, and closes them after
// three seconds.
func (c *Callers) SendMalformed(n int) {
	messages := []string{"NONSENSE\r\n\r\n", "INVITE sip:aa@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: -5\r\n\r\n",
		"INVITE sip:aa@net SIP/2.0\r\nContent-Length: 99999999999\r\n\r\n", "INVITE sip:aa@net SIP/2.0\r\nCall-ID: 12", strings.Repeat("X", 40000),
		"BYE sip:aa@net SIP/2.0\r\nCall-ID: 00000000deadbeef\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"}
	for i := range n {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, messages[i%len(messages)]) // the controller may have closed the connection
		time.AfterFunc(3*time.Second, func() { conn.Close() })
	}
}
