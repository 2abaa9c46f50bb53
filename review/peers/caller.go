//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// caller is a stand-in caller: one SIP connection that carries many calls. It acknowledges answers and releases.
type caller struct {
	trial *trial
	conn  net.Conn

	lastID int // of the calls, in hex

	mu       sync.Mutex
	answers  map[string]int       // status of the final answer, by Call-ID
	released map[string]time.Time // when a BYE was received, by Call-ID
}

// dialCaller connects to the controller.
func dialCaller(t *trial, address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{trial: t, conn: conn, answers: map[string]int{}, released: map[string]time.Time{}}
	go c.read()
	return c, nil
}

// invite sends a set-up for an exchange.
func (c *caller) invite(id string, exchange int, deadline time.Duration) error {
	body := "v=0 " + id
	c.trial.log("caller", "INVITE %s to exchange %d, X-Deadline %d", id, exchange, deadline.Milliseconds())
	_, err := fmt.Fprintf(c.conn, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"+
		"X-Tier: result-page\r\nX-Deadline: %d\r\nX-Attrs: dest:%d;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s",
		id, deadline.Milliseconds(), exchange, len(body), body)
	return err
}

// maxTries is how often a caller dials until its call stands: an exchange that has just been added gets few calls at first.
const (
	maxTries  = 20
	redialGap = 200 * time.Millisecond
)

// callThatStands dials an exchange until a call stands there, with a new id each time, and returns the id.
func (c *caller) callThatStands(exchange int) (string, error) {
	for range maxTries {
		c.lastID++
		id := fmt.Sprintf("%08x%08x", exchange, c.lastID)
		if err := c.invite(id, exchange, callDeadline); err != nil {
			return "", err
		}
		if !await(callDeadline+timeSlack, func() bool { return c.answer(id) != 0 }) {
			return "", fmt.Errorf("call %s got no answer", id)
		}
		if c.answer(id) == statusOK {
			return id, nil
		}
		time.Sleep(redialGap)
	}
	return "", fmt.Errorf("no call to exchange %d stands", exchange)
}

// statusOK is the status of a positive final answer.
const statusOK = 200

// read handles messages until the connection ends.
func (c *caller) read() {
	r := textproto.NewReader(bufio.NewReader(c.conn))
	for {
		line, err := r.ReadLine()
		if err != nil {
			c.trial.log("caller", "connection ended: %v", err)
			return
		}
		header, err := r.ReadMIMEHeader()
		if err != nil {
			return
		}
		n, _ := strconv.Atoi(header.Get("Content-Length"))
		body := make([]byte, n)
		if _, err := io.ReadFull(r.R, body); err != nil {
			return
		}
		c.handle(line, header, string(body))
	}
}

// handle handles one message.
func (c *caller) handle(line string, header textproto.MIMEHeader, body string) {
	id := header.Get("Call-Id")
	c.trial.log("caller", "got %s, Call-ID %s, %q", line, id, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, _, _ := strings.Cut(rest, " ")
		status, _ := strconv.Atoi(code)
		if strings.HasSuffix(header.Get("Cseq"), "INVITE") && status >= 200 {
			c.answers[id] = status
			fmt.Fprintf(c.conn, "ACK sip:net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", id)
		}
		return
	}
	if strings.HasPrefix(line, "BYE ") {
		if _, ok := c.released[id]; !ok {
			c.released[id] = time.Now()
		}
		fmt.Fprintf(c.conn, "SIP/2.0 200 OK\r\nVia: %s\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: 0\r\n\r\n", header.Get("Via"), id, header.Get("Cseq"))
	}
}

// answer returns the status of the final answer to a call, 0 if there is none.
func (c *caller) answer(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[id]
}

// releasedAt returns when a call was released towards the caller.
func (c *caller) releasedAt(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.released[id]
	return at, ok
}
