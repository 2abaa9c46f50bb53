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
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// actor is one end of what the program speaks with.
type actor struct {
	name, addr string
	listener   net.Listener // of a core or an exchange
	conns      chan net.Conn
	conn       net.Conn
	r          *bufio.Reader

	// Of a core, to which the program has several connections:
	lines  chan line           // what they bring
	aside  []line              // what came on others while the end of one was waited for
	calls  map[string]net.Conn // the one that brought a call's set-up
	ended  map[net.Conn]bool
	stands map[string]bool // calls that it has answered
	closed chan struct{}   // when nothing more is accepted
	all    []net.Conn      // complete then

	following sync.WaitGroup
}

// line is what a core's connection brought, or the end of the connection.
type line struct {
	text []byte
	err  error
	conn net.Conn
}

// follow reads one of a core's connections to its end: the program may have several, and uses any of them.
func (a *actor) follow(c net.Conn) {
	for r := bufio.NewReaderSize(c, 1<<16); ; {
		b, err := r.ReadBytes('\n')
		if a.lines <- (line{b, err, c}); err != nil {
			c.Close() // as any server does when its client has closed
			return
		}
	}
}

// connect opens the actor's connection, or takes the program's next one.
func (a *actor) connect(s *stage) {
	if a.conn != nil {
		return
	}
	if a.listener != nil {
		for a.conn == nil || a.ended[a.conn] {
			select {
			case a.conn = <-a.conns:
			case <-time.After(patience):
				require.Fail(s.t, "no connection", "%s\n%s", a.name, s.log)
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

func (a *actor) hex() bool { return a.name[0] == 'p' || a.name[0] == 'x' }

// beat tells whether a message is a BEAT (RFC 4666, 3.5.5).
func beat(b []byte) bool { return len(b) > 3 && b[2] == 3 && b[3] == 3 }

// readLine reads a core's next message, from whichever connection, or the end of the present one. Where that end is waited
// for, what comes on others meanwhile is kept for the next steps: nothing orders one connection's events and another's.
func (a *actor) readLine(closing bool) ([]byte, error) {
	for {
		l, err := a.nextLine(closing)
		switch {
		case err != nil:
			return nil, err
		case l.err == nil && closing && l.conn != a.conn:
			a.aside = append(a.aside, l)
		case l.err == nil:
			a.conn = l.conn
			a.calls[jsonID(l.text)] = l.conn
			return l.text, nil
		default:
			// One that carries no call may end at any time, as one that the program found to be of no use.
			if a.ended[l.conn] = true; l.conn == a.conn && (closing || a.carries(l.conn)) {
				return nil, l.err
			}
		}
	}
}

// nextLine takes the next line, of those that were kept first, unless the end of a connection is waited for.
func (a *actor) nextLine(closing bool) (line, error) {
	if len(a.aside) > 0 && !closing {
		l := a.aside[0]
		a.aside = a.aside[1:]
		return l, nil
	}
	select {
	case l := <-a.lines:
		return l, nil
	case <-time.After(patience):
		return line{}, os.ErrDeadlineExceeded
	}
}

// carries tells whether a set-up that a connection brought is not answered yet.
func (a *actor) carries(conn net.Conn) bool {
	for k, c := range a.calls {
		if c == conn && !a.stands[k] {
			return true
		}
	}
	return false
}

// chooseOpen makes another connection the present one where that has ended: a core sends what concerns a call on the
// connection of its set-up, or else on any open one.
func (a *actor) chooseOpen() {
	for {
		select {
		case l := <-a.lines:
			if l.err == nil {
				a.lines <- l
				return // the connections that ended come with the lines, in order
			}
			a.ended[l.conn] = true
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

// rest returns what a core was sent beside what the steps expected, once the program has ended.
func (a *actor) rest() string {
	a.following.Wait()
	close(a.lines)
	var out strings.Builder
	for _, l := range a.aside {
		out.Write(l.text)
	}
	for l := range a.lines {
		out.Write(l.text)
	}
	return out.String()
}

// text puts the words into a payload.
func (a *actor) text(s *stage, payload string) string {
	for k, v := range s.words {
		payload = strings.ReplaceAll(payload, "<"+k+">", v)
	}
	return payload
}

// choose makes the connection of the first of these calls that has one the present one.
func (a *actor) choose(calls ...string) {
	for _, k := range calls {
		if a.calls[k] != nil {
			a.conn = a.calls[k]
			return
		}
	}
}

// encode turns a payload into bytes.
func (a *actor) encode(s *stage, payload string) []byte {
	payload = a.text(s, payload)
	switch {
	case a.hex():
		b, err := hex.DecodeString(plainHex(payload))
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

// jsonID reads the call that a core's message is of.
func jsonID(b []byte) string { return fastjson.GetString(b, "id") }

// plainHex strips comments and blanks.
func plainHex(payload string) string {
	var b strings.Builder
	for line := range strings.SplitSeq(payload, "\n") {
		line, _, _ = strings.Cut(line, ";")
		b.WriteString(strings.ReplaceAll(strings.TrimSpace(line), " ", ""))
	}
	return b.String()
}

// read reads one message.
func (a *actor) read(closing bool) ([]byte, error) {
	if a.name[0] == 'c' {
		return a.readLine(closing) // from any of its connections: the present one may have ended
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return nil, err
	}
	switch {
	case a.hex():
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
