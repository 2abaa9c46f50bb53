package sipfront

import (
	"errors"
	"hash/maphash"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/stream"
)

const (
	firstWithin   = 2500 * time.Millisecond // a new connection brings its first whole message in this time
	messageWithin = 2 * time.Second         // from the first byte of a message to its last
	idleMost      = 10 * time.Second        // with no set-up open; callers close theirs after 4 s
	mostFaults    = 16                      // messages at fault, one after another, before the connection ends
	mostOpen      = 512                     // set-ups open on one connection
)

var (
	errFaults   = errors.New("too many messages at fault")
	errRepeated = errors.New("one id for two set-ups")
	errAnswer   = errors.New("answer to nothing")
)

// conn is a caller's connection. It is the core's Caller for the set-ups that came on it.
type conn struct {
	*stream.Writer
	nc      net.Conn
	front   *Front
	group   string // of callers: the address it came from
	born    time.Time
	last    atomic.Int64 // Unix nanoseconds of the last message
	faults  atomic.Int32 // messages at fault since the last good one
	heard   atomic.Bool  // a whole message has come
	called  atomic.Bool  // one that is not a test: whoever only tests may read nothing else
	hadCall atomic.Bool  // a set-up that came on it stood

	standing atomic.Int32 // calls that stand whose set-up came on it; changed under the front's lock

	mu      sync.Mutex
	over    bool            // nothing more is taken
	parted  bool            // its writing half has been ended, in order
	invites map[string]open // set-ups that are owed an answer
	byes    map[string]sent // releases not yet heard
}

// open is a set-up that is owed an answer, with what tells it from another under the same id.
type open struct {
	message
	sum uint64
}

// sent is a release with the time of its writing.
type sent struct {
	release
	at time.Time // of the last writing
}

func newConn(f *Front, nc net.Conn) *conn {
	c := &conn{Writer: stream.NewWriter(nc), nc: nc, front: f, group: group(nc), born: time.Now(), invites: map[string]open{},
		byes: map[string]sent{}}
	c.last.Store(c.born.UnixNano())
	return c
}

// group is the caller group of a connection.
func group(nc net.Conn) string {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return nc.RemoteAddr().String()
	}
	return host
}

// serve reads the connection to its end; set-ups open on it are withdrawn then.
func (c *conn) serve(r *stream.Reader) {
	err := c.read(r)
	if keys := c.end(); len(keys) > 0 {
		c.front.engine.CallerLost(c, keys)
		c.front.log.Info("caller connection over", "open", len(keys), "error", err)
	} else if err != nil && !errors.Is(err, io.EOF) {
		c.front.log.Debug("caller connection over", "error", err)
	}
	if !c.readToEnd(err) {
		c.front.resendReleases(c) // not only once the caller has had its time to read what was left
	}
	if gone := (*net.OpError)(nil); errors.Is(err, io.EOF) || errors.As(err, &gone) && !gone.Timeout() {
		c.Finish() // the caller has ended it
		<-c.Done()
		c.Close()
	} else {
		c.Part()
	}
	c.front.gone(c)
}

// readToEnd tells whether the caller has ended the connection after all that was written on it, by the error of its reader.
func (c *conn) readToEnd(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parted && errors.Is(err, io.EOF)
}

// end marks the connection as over and returns the set-ups that were open on it.
func (c *conn) end() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	keys := make([]string, 0, len(c.invites))
	for k := range c.invites {
		keys = append(keys, k)
	}
	clear(c.invites)
	return keys
}

// read takes messages until the connection ends, is out of step or is not worth keeping.
func (c *conn) read(r *stream.Reader) error {
	for {
		if err := c.await(r); err != nil {
			return err
		}
		m, err := read(r)
		var bad *problem
		if errors.As(err, &bad) && m.status == 0 && m.id() != "" && m.header.Get("Cseq") != "" {
			c.reply(m, bad.status, bad.why)
		}
		if err != nil {
			return err
		}
		c.last.Store(time.Now().UnixNano())
		if err := c.take(m); err != nil {
			return err
		}
		if c.faults.Load() >= mostFaults { // the same again as soon as it is turned away, for ever
			return errFaults
		}
	}
}

// await waits for the start of a message, and sets the time that the rest of it may take. Connections that say
// nothing must not hold the descriptors of those that do.
func (c *conn) await(r *stream.Reader) error {
	until, heard := time.Now().Add(idleMost), c.heard.Load()
	if !heard {
		until = c.born.Add(firstWithin)
	}
	for {
		if err := c.nc.SetReadDeadline(until); err != nil {
			return err
		}
		b, err := r.R.Peek(1)
		switch {
		case err == nil && (b[0] == '\r' || b[0] == '\n'): // a keep-alive
			_, _ = r.R.Discard(1) // it was peeked
		case err == nil && !heard:
			return nil
		case err == nil:
			return c.nc.SetReadDeadline(time.Now().Add(messageWithin))
		case errors.Is(err, os.ErrDeadlineExceeded) && heard && (!c.idle() || c.standing.Load() > 0):
			until = time.Now().Add(idleMost)
		default:
			return err
		}
	}
}

// take handles a message. An error ends the connection.
func (c *conn) take(m message) error {
	if m.status != 0 {
		if !c.acknowledge(m) && !c.heard.Load() {
			return errAnswer
		}
		c.heard.Store(true)
		return nil
	}
	c.heard.Store(true)
	if m.method != "OPTIONS" && !c.called.Swap(true) {
		defer c.front.open(c)
	}
	switch {
	case m.id() == "" || m.header.Get("Cseq") == "":
		c.fault(m, 400, "Call-ID or CSeq is missing")
	case m.method == "INVITE":
		return c.invite(m)
	case m.method == "ACK":
	case m.method == "CANCEL":
		c.front.engine.Withdraw(c, m.id(), func(open, known bool) {
			if !known {
				c.fault(m, 481, "Call Does Not Exist")
				return
			}
			c.reply(m, 200, "OK")
			if open {
				c.withdrawn(m.id())
			}
		})
	case m.method == "BYE":
		c.front.engine.Hangup(c, m.id(), m.cause(), func(known bool) {
			if !known {
				c.fault(m, 481, "Call Does Not Exist")
				return
			}
			c.reply(m, 200, "OK")
			c.withdrawn(m.id())
			c.front.hungUp(m.id())
		})
	case m.method == "OPTIONS":
		if c.front.tested() {
			c.reply(m, 200, "OK")
		} else {
			c.reply(m, 503, "Not Serving")
		}
	default:
		c.fault(m, 405, "Method Not Allowed")
	}
	return nil
}

// acknowledge takes the answer to a release, and tells whether there was one to answer.
func (c *conn) acknowledge(m message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.byes[m.id()]
	if ok && m.method == "BYE" && m.status >= 200 {
		delete(c.byes, m.id())
		c.front.acknowledged.Store(true)
	}
	return ok
}

// invite hands a set-up to the core. An error ends the connection.
func (c *conn) invite(m message) error {
	r, err := m.request()
	var bad *problem
	if errors.As(err, &bad) {
		c.fault(m, bad.status, bad.why)
		return nil
	}
	r.Caller, r.Group = c, c.group
	o := open{message{method: m.method, header: m.header}, m.sum(c.front.seed)}
	c.mu.Lock()
	first, repeated := c.invites[r.Key]
	if !repeated && len(c.invites) < mostOpen && !c.over {
		c.invites[r.Key] = o
	}
	full, over := len(c.invites) >= mostOpen, c.over
	c.mu.Unlock()
	switch {
	case over: // the caller sees the close, and sends the set-up again
	case repeated && first.sum != o.sum:
		// Which of the two an answer would be to, nobody could tell: neither gets more than this one.
		if _, ok := c.settle(r.Key); ok {
			c.front.engine.CallerLost(c, []string{r.Key})
			c.reply(m, 482, "Loop Detected")
		}
		return errRepeated
	case repeated: // the same again: its first copy is owed the one answer
		c.faults.Add(1)
	case full:
		c.reply(m, 503, "Service Unavailable")
	default:
		c.front.engine.Offer(r)
	}
	return nil
}

// sum tells a message's content from another's.
func (m message) sum(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	for _, s := range []string{m.uri, m.header.Get("X-Tier"), m.header.Get("X-Attrs"), m.header.Get("X-Deadline")} {
		_, _ = h.WriteString(s) // never fails, see maphash
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(m.body)
	return h.Sum64()
}

// fault answers a message that is at fault itself, and counts it.
func (c *conn) fault(m message, status int, reason string) {
	c.faults.Add(1)
	c.reply(m, status, reason)
}

// reply writes an answer without a body.
func (c *conn) reply(m message, status int, reason string) {
	c.Send(end(m.answer(status, reason), nil))
}

// withdrawn gives a set-up that its caller took back its final answer.
func (c *conn) withdrawn(key string) {
	if invite, ok := c.settle(key); ok {
		c.reply(invite.message, 487, "Request Terminated")
	}
}

// settle takes a set-up off those that are owed an answer.
func (c *conn) settle(key string) (open, bool) {
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

// evict ends a connection with nothing open, and tells whether it did. A set-up that is read after that is not
// taken: its caller sees the close, and sends it again on another connection.
func (c *conn) evict() bool {
	c.mu.Lock()
	idle := len(c.invites) == 0
	c.over = c.over || idle
	c.mu.Unlock()
	if idle {
		c.Finish()
	}
	return idle
}

// part ends the writing half of a connection with nothing open, after what is queued, and tells whether it did. What the
// caller still sends is read until it ends the connection as well, for a time at most: a close would discard what the
// caller has not read. A set-up that is read after that is not taken, as with evict. The front's lock is held.
func (c *conn) part(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over || len(c.invites) > 0 {
		return false
	}
	c.over, c.parted = true, true
	c.HalfClose()
	time.AfterFunc(c.front.within(now, partWithin), c.Close)
	return true
}

// unsettled tells whether something has come on the connection of late, or the acknowledgement of a release may. The
// front's lock is held.
func (c *conn) unsettled(now time.Time) bool {
	if now.UnixNano()-c.last.Load() < int64(drainIdle) {
		return true
	}
	if !c.front.acknowledged.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.byes {
		if now.Sub(s.at) < c.front.within(s.at, acknowledgedWithin) {
			return true
		}
	}
	return false
}

// Stands implements core.Caller.
func (c *conn) Stands(key string, description []byte) {
	c.faults.Store(0)
	c.hadCall.Store(true)
	if m, ok := c.settle(key); ok {
		c.front.stands(key, c)
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
	switch {
	case v.Bad:
		c.faults.Add(1)
		status, reason = 400, v.Why
	case v.Failed:
		status, reason = 500, "Server Internal Error"
	}
	b := m.answer(status, reason)
	if wait := v.Wait.Milliseconds(); wait > 0 {
		b = header(b, "X-Cooldown", strconv.FormatInt(wait, 10))
		if c.front.retryAfter.Load() { // whole seconds (RFC 3261, 20.33): never sooner than was meant
			b = header(b, "Retry-After", strconv.FormatInt((wait+999)/1000, 10))
		}
	}
	c.Send(end(b, nil))
}

// Release implements core.Caller.
func (c *conn) Release(key string, cause core.Cause) {
	c.front.release(c, release{key: key, cause: cause, at: time.Now()})
}

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
	if c.over || !c.Send(bye(r.key, r.cause)) {
		return false
	}
	r.sent++
	c.byes[r.key] = sent{r, now}
	return true
}

// unacknowledged takes off the releases whose acknowledgement is overdue and returns them.
func (c *conn) unacknowledged(now time.Time) []release {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []release
	for k, s := range c.byes {
		if now.Sub(s.at) >= repeatAfter && s.sent < maxReleaseSent {
			out = append(out, s.release)
			delete(c.byes, k)
		}
	}
	return out
}

// releasesOut is how many releases are not acknowledged.
func (c *conn) releasesOut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byes)
}

// unreadReleases lists the releases that may not have been read.
func (c *conn) unreadReleases() []release {
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
