package sipfront

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/stream"
)

// conn is a caller's connection. It is the core's Caller for the set-ups that came on it.
type conn struct {
	*stream.Writer
	front *Front
	last  atomic.Int64 // Unix nanoseconds of the last message

	mu      sync.Mutex
	invites map[string]message // set-ups that are owed an answer
	byes    map[string]sent    // releases not yet heard
}

// sent is a release with the time of its writing.
type sent struct {
	release
	at time.Time
}

func newConn(f *Front, nc net.Conn) *conn {
	c := &conn{Writer: stream.NewWriter(nc), front: f, invites: map[string]message{}, byes: map[string]sent{}}
	c.last.Store(time.Now().UnixNano())
	return c
}

// serve reads the connection to its end; set-ups open on it are withdrawn then.
func (c *conn) serve(r *stream.Reader) {
	err := c.read(r)
	c.mu.Lock()
	keys := make([]string, 0, len(c.invites))
	for k := range c.invites {
		keys = append(keys, k)
	}
	clear(c.invites)
	c.mu.Unlock()
	c.Finish() // an answer to a malformed message still leaves
	c.front.gone(c)
	if len(keys) > 0 {
		c.front.engine.CallerLost(c, keys)
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.front.log.Info("caller connection over", "open", len(keys), "error", err)
	}
}

// read takes messages until the connection ends or is out of step.
func (c *conn) read(r *stream.Reader) error {
	for {
		m, err := read(r)
		var bad *problem
		if errors.As(err, &bad) && m.status == 0 && m.id() != "" && m.header.Get("Cseq") != "" {
			c.reply(m, bad.status, bad.why)
		}
		if err != nil {
			return err
		}
		c.last.Store(time.Now().UnixNano())
		if m.status == 0 && (m.id() == "" || m.header.Get("Cseq") == "") {
			c.reply(m, 400, "Call-ID or CSeq is missing")
			continue
		}
		c.take(m)
	}
}

// take handles a message.
func (c *conn) take(m message) {
	switch {
	case m.status != 0:
		if m.method == "BYE" && m.status >= 200 {
			c.mu.Lock()
			delete(c.byes, m.id())
			c.mu.Unlock()
		}
	case m.method == "INVITE":
		c.invite(m)
	case m.method == "ACK":
	case m.method == "CANCEL":
		c.reply(m, 200, "OK")
		c.front.engine.Withdraw(m.id(), func(open bool) {
			if invite, ok := c.settle(m.id()); ok && open {
				c.Send(end(invite.answer(487, "Request Terminated"), nil))
			}
		})
	case m.method == "BYE":
		c.front.engine.Hangup(m.id(), m.cause(), func(known bool) {
			if known {
				c.reply(m, 200, "OK")
			} else {
				c.reply(m, 481, "Call Does Not Exist")
			}
		})
	case m.method == "OPTIONS":
		if c.front.tested() {
			c.reply(m, 200, "OK")
		} else {
			c.reply(m, 503, "Not Serving")
		}
	default:
		c.reply(m, 405, "Method Not Allowed")
	}
}

// invite hands a set-up to the core.
func (c *conn) invite(m message) {
	r, err := m.request()
	var bad *problem
	if errors.As(err, &bad) {
		c.reply(m, bad.status, bad.why)
		return
	}
	r.Caller = c
	c.mu.Lock()
	c.invites[r.Key] = message{method: m.method, header: m.header}
	c.mu.Unlock()
	c.front.engine.Offer(r)
}

// reply writes an answer without a body.
func (c *conn) reply(m message, status int, reason string) {
	c.Send(end(m.answer(status, reason), nil))
}

// settle takes a set-up off those that are owed an answer.
func (c *conn) settle(key string) (message, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.invites[key]
	delete(c.invites, key)
	return m, ok
}

// idle tells whether nothing is open on the connection.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.invites) == 0
}

// Stands implements core.Caller.
func (c *conn) Stands(key string, description []byte) {
	if m, ok := c.settle(key); ok {
		c.Send(end(m.answer(200, "OK"), description))
	}
}

// Refuse implements core.Caller.
func (c *conn) Refuse(key string, v core.Verdict) {
	m, ok := c.settle(key)
	if !ok {
		return
	}
	status, reason := 503, "Service Unavailable"
	if v.Failed {
		status, reason = 500, "Server Internal Error"
	}
	b := m.answer(status, reason)
	if wait := v.Wait.Milliseconds(); wait > 0 {
		b = header(b, "X-Cooldown", strconv.FormatInt(wait, 10))
	}
	c.Send(end(b, nil))
}

// Release implements core.Caller.
func (c *conn) Release(key string, cause core.Cause) { c.front.release(c, release{key, cause}) }

// bye writes a release, and tells whether the connection took it.
func (c *conn) bye(r release) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for k, s := range c.byes {
		if now.Sub(s.at) > byeAgain {
			delete(c.byes, k)
		}
	}
	c.byes[r.key] = sent{r, now}
	return c.Send(bye(r.key, r.cause))
}

// unheard lists the releases that may not have been read.
func (c *conn) unheard() []release {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []release
	for _, s := range c.byes {
		if time.Since(s.at) < byeAgain {
			out = append(out, s.release)
		}
	}
	clear(c.byes)
	return out
}
