package playback

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// actor is a caller, core, M3UA peer or exchange that exchanges messages with the program.
type actor struct {
	name, addr string
	listener   net.Listener // of a core or an exchange
	conns      chan net.Conn
	conn       net.Conn
	r          *bufio.Reader

	// The program may open several connections to a core. Exchanges use only ended, acceptDone and accepted.
	received   chan coreEvent      // from all connections
	deferred   []coreEvent         // received on other connections while waiting for the end of one
	connOfCall map[string]net.Conn // by call: the connection that carried its set-up
	ended      map[net.Conn]bool
	answered   map[string]bool // calls that the core has answered
	acceptDone chan struct{}   // closed when no more connections are accepted
	accepted   []net.Conn      // complete once acceptDone is closed
	connCount  atomic.Int32    // connections accepted so far

	readers sync.WaitGroup
}

// coreEvent is a message on a connection to a core, or the end of the connection.
type coreEvent struct {
	message []byte
	err     error
	conn    net.Conn
}

// readConn passes on the messages of one connection to a core until it ends. The program may use several connections
// at once.
func (a *actor) readConn(c net.Conn) {
	for r := bufio.NewReaderSize(c, 1<<16); ; {
		message, err := r.ReadBytes('\n')
		if a.received <- (coreEvent{message, err, c}); err != nil {
			c.Close() // as a server does when its client has closed
			return
		}
	}
}

// connect opens the actor's connection. For a core or an exchange it takes the next connection from the program.
func (a *actor) connect(s *session) {
	if a.conn != nil {
		return
	}
	if a.listener != nil {
		for a.conn == nil || a.ended[a.conn] {
			select {
			case a.conn = <-a.conns:
			case <-time.After(stepTimeout):
				require.Fail(s.t, "the program does not connect", "%s\n%s", a.name, s.log)
			}
		}
	} else {
		front := "sip listens"
		if a.name[0] == 'p' {
			front = "m3ua listens"
		}
		var err error
		a.conn, err = net.Dial("tcp", s.log.address(s.t, front))
		require.NoError(s.t, err)
	}
	a.r = bufio.NewReaderSize(a.conn, 1<<16)
}

// usesHex reports whether the actor's payloads are hex: those of M3UA peers and exchanges.
func (a *actor) usesHex() bool { return a.name[0] == 'p' || a.name[0] == 'x' }

// isBeat reports whether a message is an M3UA BEAT (RFC 4666, 3.5.5).
func isBeat(b []byte) bool { return len(b) > 3 && b[2] == 3 && b[3] == 3 }

// readCore returns the next message to a core on any connection, or an error if the current connection ends while a
// set-up on it is pending. With awaitEnd it returns an error once the current connection ends, and defers messages on
// other connections to the next steps: events on different connections have no defined order.
func (a *actor) readCore(awaitEnd bool) ([]byte, error) {
	for {
		e, err := a.nextEvent(awaitEnd)
		switch {
		case err != nil:
			return nil, err
		case e.err == nil && awaitEnd && e.conn != a.conn:
			a.deferred = append(a.deferred, e)
		case e.err == nil:
			a.conn = e.conn
			a.connOfCall[jsonID(e.message)] = e.conn
			return e.message, nil
		default:
			// The program may close a connection without calls at any time.
			if a.ended[e.conn] = true; e.conn == a.conn && (awaitEnd || a.hasPendingSetUp(e.conn)) {
				return nil, e.err
			}
		}
	}
}

// nextEvent returns the next event: the deferred ones first, unless the caller awaits the end of a connection.
func (a *actor) nextEvent(awaitEnd bool) (coreEvent, error) {
	if len(a.deferred) > 0 && !awaitEnd {
		e := a.deferred[0]
		a.deferred = a.deferred[1:]
		return e, nil
	}
	select {
	case e := <-a.received:
		return e, nil
	case <-time.After(stepTimeout):
		return coreEvent{}, os.ErrDeadlineExceeded
	}
}

// hasPendingSetUp reports whether a set-up that arrived on the connection has not been answered.
func (a *actor) hasPendingSetUp(conn net.Conn) bool {
	for call, c := range a.connOfCall {
		if c == conn && !a.answered[call] {
			return true
		}
	}
	return false
}

// selectOpenConn selects another connection if the current one has ended: a core sends a message about a call on the
// connection of the call's set-up or, if that has ended, on any open one.
func (a *actor) selectOpenConn() {
	for {
		select {
		case e := <-a.received:
			if e.err == nil {
				a.received <- e
				return // received holds messages and ends of connections in order
			}
			a.ended[e.conn] = true
			continue
		default:
		}
		break
	}
	if !a.ended[a.conn] {
		return
	}
	for {
		select {
		case c := <-a.conns:
			a.conn = c
			if !a.ended[c] {
				return
			}
			continue
		default:
		}
		return
	}
}

// remaining returns the messages to a core that no step has read. The program must have exited.
func (a *actor) remaining() string {
	a.readers.Wait()
	close(a.received)
	var out strings.Builder
	for _, e := range a.deferred {
		out.Write(e.message)
	}
	for e := range a.received {
		out.Write(e.message)
	}
	return out.String()
}

// expandCaptures replaces each <name> in a payload by the captured word.
func (a *actor) expandCaptures(s *session, payload string) string {
	for name, value := range s.captures {
		payload = strings.ReplaceAll(payload, "<"+name+">", value)
	}
	return payload
}

// selectConnOf selects the connection of the first of the calls that has one.
func (a *actor) selectConnOf(calls ...string) {
	for _, call := range calls {
		if a.connOfCall[call] != nil {
			a.conn = a.connOfCall[call]
			return
		}
	}
}

// encode converts a payload to the bytes of a message.
func (a *actor) encode(s *session, payload string) []byte {
	payload = a.expandCaptures(s, payload)
	switch {
	case a.usesHex():
		b, err := hex.DecodeString(stripHex(payload))
		require.NoError(s.t, err)
		return b
	case a.name[0] == 'c':
		return []byte(payload + "\n")
	}
	head, body, _ := strings.Cut(payload, "\n\n")
	body, err := strconv.Unquote(`"` + strings.ReplaceAll(body, `"`, `\"`) + `"`)
	require.NoError(s.t, err)
	return []byte(strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + body)
}

// jsonID returns the call id in a message of a core's connection.
func jsonID(b []byte) string { return fastjson.GetString(b, "id") }

// stripHex removes comments, spaces and line breaks from a hex payload.
func stripHex(payload string) string {
	var b strings.Builder
	for line := range strings.SplitSeq(payload, "\n") {
		line, _, _ = strings.Cut(line, ";")
		b.WriteString(strings.ReplaceAll(strings.TrimSpace(line), " ", ""))
	}
	return b.String()
}

// read returns the actor's next message; awaitEnd is for cores, see readCore.
func (a *actor) read(awaitEnd bool) ([]byte, error) {
	if a.name[0] == 'c' {
		return a.readCore(awaitEnd) // from any connection, as the current one may have ended
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(stepTimeout)); err != nil {
		return nil, err
	}
	switch {
	case a.usesHex():
		head, err := a.r.Peek(8)
		if err != nil {
			return nil, err
		}
		b := make([]byte, int(head[6])<<8|int(head[7]))
		_, err = io.ReadFull(a.r, b)
		return b, err
	}
	var raw bytes.Buffer
	for n := 0; ; {
		line, err := a.r.ReadString('\n')
		if raw.WriteString(line); err != nil {
			return nil, err
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			if n, err = strconv.Atoi(strings.TrimSpace(v)); err != nil {
				return nil, err
			}
		}
		if line == "\r\n" {
			_, err = io.CopyN(&raw, a.r, int64(n))
			return raw.Bytes(), err
		}
	}
}
