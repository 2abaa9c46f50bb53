package lab

import (
	"bufio"
	"fmt"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what a caller was sent for a call.
type Answer struct {
	Status   int       // of the final answer, 0 if there is none
	At       time.Time // of the final answer
	Body     string
	Finals   int       // number of final answers
	Released time.Time // when a BYE came, zero if none
}

// Callers are the callers of one controller, as its front sends them. A call that stands is owned by no connection.
type Callers struct {
	Name, Addr string
	lab        *Lab

	mu    sync.Mutex
	calls map[string]*Answer
}

// Connection is a connection of callers.
type Connection struct {
	*Callers
	net.Conn
	wmu    sync.Mutex
	closed chan struct{}
}

// NewCallers returns the callers of the controller at an address.
func (l *Lab) NewCallers(name, addr string) *Callers {
	return &Callers{Name: name, Addr: addr, lab: l, calls: map[string]*Answer{}}
}

// Connect opens a connection and waits until it has passed a test, as the front does.
func (c *Callers) Connect() *Connection {
	var x *Connection
	Must(15*time.Second, c.Addr+" passes a test", func() bool {
		n, err := net.DialTimeout("tcp", c.Addr, time.Second)
		if err != nil {
			return false
		}
		x = &Connection{Callers: c, Conn: n, closed: make(chan struct{})}
		c.mu.Lock()
		c.calls["ping"] = &Answer{}
		c.mu.Unlock()
		go x.read()
		x.request("OPTIONS", "sip:ping@net", "ping", nil, "")
		ok := Wait(time.Second, func() bool { return c.Answer("ping").Status == 200 || x.Ended() }) && c.Answer("ping").Status == 200
		if !ok {
			n.Close()
		}
		return ok
	})
	return x
}

// request writes a request.
func (x *Connection) request(method, uri, id string, headers []string, body string) {
	x.write(requestText(method, uri, id, headers, body))
}

func requestText(method, uri, id string, headers []string, body string) string {
	text := fmt.Sprintf("%s %s SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n", method, uri, id, method)
	for _, h := range headers {
		text += h + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func (x *Connection) write(text string) {
	for _, part := range strings.Split(text, "\r\n\r\n") {
		if first, rest, _ := strings.Cut(part, "\r\n"); strings.HasSuffix(first, "SIP/2.0") || strings.HasPrefix(first, "SIP/2.0") {
			x.lab.Log(x.Name, "-> %s | %s", first, strings.ReplaceAll(rest, "\r\n", " | "))
		}
	}
	x.wmu.Lock()
	defer x.wmu.Unlock()
	_, _ = x.Write([]byte(text)) // an error is seen by the reader
}

// InviteText returns a set-up and begins to await its answer.
func (c *Callers) InviteText(id string, dest int, class string, deadline time.Duration) string {
	c.mu.Lock()
	c.calls[id] = &Answer{}
	c.mu.Unlock()
	return requestText("INVITE", "sip:7f3a9c21e0b4"+id[12:]+"@net", id, []string{"X-Tier: " + class,
		fmt.Sprintf("X-Deadline: %d", deadline.Milliseconds()),
		fmt.Sprintf("X-Attrs: dest:%d;width:1;via:-1", dest)}, "offer of "+id)
}

// Invite sends a set-up.
func (x *Connection) Invite(id string, dest int, class string, deadline time.Duration) {
	x.write(x.InviteText(id, dest, class, deadline))
}

// ByeText returns the release of a call that stands.
func ByeText(id string) string {
	return requestText("BYE", "sip:peer@net", id, []string{"Reason: Q.850;cause=16"}, "")
}

// Bye releases a call that stands.
func (x *Connection) Bye(id string) { x.write(ByeText(id)) }

// WriteTogether writes several messages at once.
func (x *Connection) WriteTogether(messages ...string) { x.write(strings.Join(messages, "")) }

// Ended reports whether the connection has ended.
func (x *Connection) Ended() bool {
	select {
	case <-x.closed:
		return true
	default:
		return false
	}
}

// Answer returns what was sent for a call.
func (c *Callers) Answer(id string) Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.calls[id]; a != nil {
		return *a
	}
	return Answer{}
}

// Stands reports whether the caller has the call and was told of no end.
func (c *Callers) Stands(id string) bool {
	a := c.Answer(id)
	return a.Status == 200 && a.Released.IsZero()
}

func (x *Connection) read() {
	defer close(x.closed)
	defer x.Close()
	r := textproto.NewReader(bufio.NewReader(x))
	for {
		first, err := r.ReadLine()
		if err != nil {
			x.lab.Log(x.Name, "connection ended: %v", err)
			return
		}
		h, err := r.ReadMIMEHeader()
		if err != nil {
			x.lab.Log(x.Name, "connection ended in a message: %v", err)
			return
		}
		n, _ := strconv.Atoi(h.Get("Content-Length"))
		body := make([]byte, n)
		for i := range body {
			if body[i], err = r.R.ReadByte(); err != nil {
				return
			}
		}
		id, cseq := h.Get("Call-Id"), h.Get("Cseq")
		x.lab.Log(x.Name, "<- %s | %s | %s | %s %s", first, id, cseq, h.Get("X-Cooldown"), body)
		x.mu.Lock()
		a := x.calls[id]
		if a == nil {
			a = &Answer{}
			x.calls[id] = a
		}
		ack := false
		if rest, ok := strings.CutPrefix(first, "SIP/2.0 "); ok {
			status, _ := strconv.Atoi(rest[:3])
			if method := cseq[strings.IndexByte(cseq, ' ')+1:]; status >= 200 && (method == "INVITE" || method == "OPTIONS") {
				a.Status, a.At, a.Body = status, time.Now(), string(body)
				a.Finals++
				ack = method == "INVITE"
			}
		} else if strings.HasPrefix(first, "BYE") && a.Released.IsZero() {
			a.Released = time.Now()
		}
		x.mu.Unlock()
		if ack {
			x.request("ACK", "sip:peer@net", id, nil, "")
		}
		if strings.HasPrefix(first, "BYE") {
			x.write(fmt.Sprintf("SIP/2.0 200 OK\r\nVia: %s\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: 0\r\n\r\n", h.Get("Via"), id, cseq))
		}
	}
}
