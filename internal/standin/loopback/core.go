// Package loopback plays a core and its callers on real sockets against the program as it is deployed, on loopback
// addresses only. It owns the stand-ins and their figures; it knows the program by its protocol alone.
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
	mostLine = 16 << 10
	holds    = 300 * time.Millisecond // from answer to release
	circuits = 2000
)

// Core is a core with one line: set-ups wait in turn, those that would wait too long are turned away, and those
// that were given up are dropped.
type Core struct {
	listener net.Listener
	setUp    time.Duration
	turnAway time.Duration

	mu     sync.Mutex
	queue  []job
	given  map[string]bool // set-ups in the queue that were given up
	busy   time.Time       // until then the line works
	worst  time.Duration
	turned int
	asked  int
}

type job struct {
	on *client
	id string
}

// client is a connection to the core.
type client struct {
	mu   sync.Mutex
	conn net.Conn
}

// say writes a line; one that can't be written is the end of the connection, which its reader sees.
func (c *client) say(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.conn, format+"\n", args...)
}

// NewCore starts a core that does so many set-ups a second.
func NewCore(perSecond float64, turnAway time.Duration) (*Core, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0"))
	if err != nil {
		return nil, fmt.Errorf("loopback: core: %w", err)
	}
	c := &Core{listener: l, setUp: time.Duration(float64(time.Second) / perSecond), turnAway: turnAway, given: map[string]bool{}}
	go c.accept()
	return c, nil
}

// Addr is where it listens.
func (c *Core) Addr() string { return c.listener.Addr().String() }

// Close ends the listening; connections end with their far ends.
func (c *Core) Close() error { return c.listener.Close() }

// Seen returns the longest wait that a set-up met, and how many were turned away.
func (c *Core) Seen() (time.Duration, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst, c.turned
}

// Asked returns how many set-ups came.
func (c *Core) Asked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

func (c *Core) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		x := &client{conn: conn}
		x.say(`{"type":"state","id":"0","fields":{"load":"x0:%d;x1:%d"}}`, circuits, circuits)
		go c.read(x)
	}
}

// read takes a connection's lines to its end; what waits on it is given up then.
func (c *Core) read(x *client) {
	defer x.conn.Close()
	lines := bufio.NewScanner(x.conn)
	lines.Buffer(nil, mostLine)
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
					c.given[id] = true
				}
			}
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.queue {
		if j.on == x {
			c.given[j.id] = true
		}
	}
}

// offer queues a set-up, or turns it away.
func (c *Core) offer(j job) {
	c.mu.Lock()
	c.asked++
	waits := 0
	for _, q := range c.queue {
		if !c.given[q.id] {
			waits++
		}
	}
	wait := time.Duration(waits) * c.setUp
	c.worst = max(c.worst, wait)
	if wait > c.turnAway {
		c.turned++
		c.mu.Unlock()
		j.on.say(`{"type":"release","id":%q,"fields":{"note":"swamped"},"cause":34}`, j.id)
		return
	}
	c.queue = append(c.queue, j)
	if len(c.queue) == 1 {
		c.next(time.Now())
	}
	c.mu.Unlock()
}

// next has the first set-up that is still wanted answered when the line has done it. The lock is held.
func (c *Core) next(now time.Time) {
	for len(c.queue) > 0 && c.given[c.queue[0].id] {
		delete(c.given, c.queue[0].id)
		c.queue = c.queue[1:]
	}
	if len(c.queue) == 0 {
		return
	}
	if c.busy.Before(now) { // the line was idle; else it goes on from where it was, however late a timer is
		c.busy = now
	}
	c.busy = c.busy.Add(c.setUp)
	time.AfterFunc(time.Until(c.busy), c.done)
}

// done answers the first set-up.
func (c *Core) done() {
	c.mu.Lock()
	j := c.queue[0]
	given := c.given[j.id]
	delete(c.given, j.id)
	c.queue = c.queue[1:]
	c.next(c.busy)
	c.mu.Unlock()
	if given {
		return
	}
	j.on.say(`{"type":"answer","id":%q,"fields":{"load":"x0:%d;x1:%d"},"sdp":"v=0"}`, j.id, circuits, circuits)
	time.AfterFunc(holds, func() { j.on.say(`{"type":"release","id":%q,"fields":{},"cause":16}`, j.id) })
}
