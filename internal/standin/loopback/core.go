// Package loopback simulates a core and its callers on real sockets against the deployed program, on loopback addresses
// only. It owns the simulated ends and their measurements, and depends on the program only through its protocols.
package loopback

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"brookmux/internal/testhost"
)

const (
	maxLine      = 16 << 10               // bytes
	holdTime     = 300 * time.Millisecond // from answer to release
	freeCircuits = 2000                   // reported in state and answer messages
)

// Core is a core that processes one set-up at a time, in order of arrival. It rejects set-ups that would wait too long
// and drops those that the program has abandoned. It is safe for concurrent use.
type Core struct {
	listener  net.Listener
	setUpTime time.Duration // processing time of a set-up
	maxWait   time.Duration // set-ups that would wait longer are rejected

	mu          sync.Mutex
	queue       []job
	abandoned   map[string]bool // set-ups in the queue that the program has abandoned
	busyUntil   time.Time       // end of the current set-up's processing
	longestWait time.Duration
	rejected    int
	received    int
}

// job is a set-up in the queue.
type job struct {
	client *client
	id     string
}

// client is a connection to the core.
type client struct {
	mu   sync.Mutex
	conn net.Conn
}

// send writes a line. It ignores errors: the reader of the connection detects its end.
func (c *client) send(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.conn, format+"\n", args...)
}

// NewCore starts a core that processes perSecond set-ups per second and rejects those that would wait longer than
// maxWait. The caller closes it.
func NewCore(perSecond float64, maxWait time.Duration) (*Core, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0"))
	if err != nil {
		return nil, fmt.Errorf("loopback: core: %w", err)
	}
	c := &Core{listener: l, setUpTime: time.Duration(float64(time.Second) / perSecond), maxWait: maxWait,
		abandoned: map[string]bool{}}
	go c.accept()
	return c, nil
}

// Addr returns the address at which the core listens.
func (c *Core) Addr() string { return c.listener.Addr().String() }

// Close closes the listener. Connections stay open until their far ends close them.
func (c *Core) Close() error { return c.listener.Close() }

// Seen returns the longest expected wait of an arriving set-up and the number of rejected set-ups.
func (c *Core) Seen() (time.Duration, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestWait, c.rejected
}

// SetUps returns the number of set-ups received.
func (c *Core) SetUps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// accept serves connections until the listener is closed. Each starts with a state message.
func (c *Core) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		x := &client{conn: conn}
		x.send(`{"type":"state","id":"0","fields":{"load":"x0:%d;x1:%d"}}`, freeCircuits, freeCircuits)
		go c.serve(x)
	}
}

// serve handles a connection's messages until it ends. The set-ups waiting on it are abandoned then.
func (c *Core) serve(x *client) {
	defer x.conn.Close()
	lines := bufio.NewScanner(x.conn)
	lines.Buffer(nil, maxLine)
	var p fastjson.Parser
	for lines.Scan() {
		v, err := p.ParseBytes(lines.Bytes())
		if err != nil {
			return
		}
		id := string(v.GetStringBytes("id"))
		switch string(v.GetStringBytes("type")) {
		case "setup":
			c.offer(job{x, id})
		case "release":
			c.mu.Lock()
			for _, j := range c.queue {
				if j.id == id {
					c.abandoned[id] = true
				}
			}
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.queue {
		if j.client == x {
			c.abandoned[j.id] = true
		}
	}
}

// offer queues a set-up, or rejects it if it would wait longer than maxWait.
func (c *Core) offer(j job) {
	c.mu.Lock()
	c.received++
	waiting := 0
	for _, q := range c.queue {
		if !c.abandoned[q.id] {
			waiting++
		}
	}
	wait := time.Duration(waiting) * c.setUpTime
	c.longestWait = max(c.longestWait, wait)
	if wait > c.maxWait {
		c.rejected++
		c.mu.Unlock()
		j.client.send(`{"type":"release","id":%q,"fields":{"note":"swamped"},"cause":34}`, j.id)
		return
	}
	c.queue = append(c.queue, j)
	if len(c.queue) == 1 {
		c.startNext(time.Now())
	}
	c.mu.Unlock()
}

// startNext drops abandoned set-ups and starts the processing of the first other one. c.mu must be held.
func (c *Core) startNext(now time.Time) {
	for len(c.queue) > 0 && c.abandoned[c.queue[0].id] {
		delete(c.abandoned, c.queue[0].id)
		c.queue = c.queue[1:]
	}
	if len(c.queue) == 0 {
		return
	}
	if c.busyUntil.Before(now) { // idle; else processing continues from busyUntil, so that late timers do not add up
		c.busyUntil = now
	}
	c.busyUntil = c.busyUntil.Add(c.setUpTime)
	time.AfterFunc(time.Until(c.busyUntil), c.finishSetUp)
}

// finishSetUp answers the first set-up, unless it is abandoned, starts the next one, and releases the answered call
// after holdTime.
func (c *Core) finishSetUp() {
	c.mu.Lock()
	j := c.queue[0]
	abandoned := c.abandoned[j.id]
	delete(c.abandoned, j.id)
	c.queue = c.queue[1:]
	c.startNext(c.busyUntil)
	c.mu.Unlock()
	if abandoned {
		return
	}
	j.client.send(`{"type":"answer","id":%q,"fields":{"load":"x0:%d;x1:%d"},"sdp":"v=0"}`, j.id,
		freeCircuits, freeCircuits)
	time.AfterFunc(holdTime, func() { j.client.send(`{"type":"release","id":%q,"fields":{},"cause":16}`, j.id) })
}
