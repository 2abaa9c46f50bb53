package sipfront

import (
	"errors"
	"hash/maphash"
	"io"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/stream"
)

const (
	firstMessageTimeout = 2500 * time.Millisecond // from the start of a connection to the end of its first message
	messageTimeout      = 2 * time.Second         // from the first byte of a message to its last
	idleTimeout         = 10 * time.Second        // without open set-ups or calls; callers close theirs after 4 s
	maxFaults           = 16                      // faulty messages, without a successful set-up, that end it when idle
	discardInterval     = 50 * time.Millisecond   // between two checks whether the open set-ups are answered
	maxPendingSetUps    = 512                     // per connection
	messagesPerTurn     = 16                      // handled before other connections get their turn
)

var (
	errTooManyFaults      = errors.New("too many faulty messages")
	errKeyReused          = errors.New("Call-ID reused for a different set-up")
	errUnexpectedResponse = errors.New("response without a matching request")
)

// conn is a connection from a caller. It implements core.Caller for the set-ups received on it.
type conn struct {
	*stream.Writer
	nc           net.Conn
	front        *Front
	group        string // caller group: the peer's IP address
	createdAt    time.Time
	lastReceived atomic.Int64 // Unix nanoseconds, of the last message
	lastSetUp    atomic.Int64 // Unix nanoseconds, of the last set-up
	faults       atomic.Int32 // faulty messages since a set-up last succeeded
	received     atomic.Bool  // a complete message has been received
	usedForCalls atomic.Bool  // has received more than OPTIONS: a caller that only tests may never read releases
	testPassed   atomic.Bool  // an OPTIONS on it was answered with 200
	hadCall      atomic.Bool  // a set-up received on it resulted in a standing call
	keyReused    bool         // a Call-ID was used for two set-ups; only for the reading goroutine

	standingCalls atomic.Int32 // standing calls set up on it; changed under the front's lock

	mu         sync.Mutex
	closing    bool                     // no further set-ups are accepted and no releases are sent
	halfClosed bool                     // halfClose has closed the writing half
	invites    map[string]pendingInvite // set-ups awaiting their final answer, by Call-ID
	byes       map[string]sentRelease   // unacknowledged releases, by Call-ID

	inviteTaken chan struct{} // receives after a set-up was removed from invites

	waiting        bool          // the reading goroutine waits for a message, and none of its input is buffered
	closeRequested bool          // the front has interrupted that wait to close the writing half
	closeWait      time.Duration // time that the caller then has to close the connection
}

// pendingInvite is a set-up awaiting its final answer. The hash of its content distinguishes a retransmission from a
// different set-up with the same Call-ID.
type pendingInvite struct {
	message
	hash uint64
}

// sentRelease is a release that was written to a connection.
type sentRelease struct {
	release
	writtenAt time.Time // last time it was written
}

// newConn returns the state of an accepted connection. Its idle time counts from now.
func newConn(f *Front, nc net.Conn) *conn {
	c := &conn{Writer: stream.NewWriter(nc), nc: nc, front: f, group: callerGroup(nc), createdAt: time.Now(),
		invites: map[string]pendingInvite{}, inviteTaken: make(chan struct{}, 1), byes: map[string]sentRelease{}}
	c.lastReceived.Store(c.createdAt.UnixNano())
	return c
}

// callerGroup returns the caller group of a connection: the peer's IP address, or its whole address if that has no
// port.
func callerGroup(nc net.Conn) string {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return nc.RemoteAddr().String()
	}
	return host
}

// serve handles messages until reading ends. If this side ends it, the pending set-ups are answered first; otherwise
// they are reported to the engine as lost. It then resends the releases that may not have been read, and closes the
// connection.
func (c *conn) serve(r *stream.Reader) {
	err := c.readMessages(r)
	if !connectionEnded(err) {
		c.awaitAnswers()
	}
	if keys := c.markClosing(); len(keys) > 0 {
		c.front.engine.CallerLost(c, keys)
		c.front.log.Info("caller connection ended", "open", len(keys), "error", err)
	} else if err != nil && !errors.Is(err, io.EOF) {
		c.front.log.Debug("caller connection ended", "error", err)
	}
	if !c.cleanlyClosed(err) {
		c.front.resendUnread(c) // before LingerClose, which waits for the caller to read the remaining output
	}
	if connectionEnded(err) {
		c.Finish()
		<-c.Done()
		c.Close()
	} else {
		c.LingerClose()
	}
	c.front.removeConn(c)
}

// readMessages handles messages until the connection ends, its framing is lost or this side has to end it. It waits while
// the caller does not read its answers, and takes turns with the other connections.
func (c *conn) readMessages(r *stream.Reader) error {
	for handled := 1; ; handled++ {
		c.WaitForRoom()
		if handled%messagesPerTurn == 0 {
			runtime.Gosched()
		}
		if err := c.awaitMessage(r); err != nil {
			return err
		}
		m, err := readMessage(r)
		var bad *messageError
		if errors.As(err, &bad) && m.status == 0 && m.callID() != "" && m.header.Get("Cseq") != "" {
			c.reply(m, bad.status, bad.reason)
		}
		if err != nil {
			return err
		}
		c.lastReceived.Store(time.Now().UnixNano())
		if err := c.handle(m); err != nil {
			return err
		}
		if err := c.endDue(); err != nil {
			return err
		}
	}
}

// handle handles a message. An error ends the connection.
func (c *conn) handle(m message) error {
	if m.status != 0 {
		if !c.acknowledgeRelease(m) && !c.received.Load() {
			return errUnexpectedResponse
		}
		c.received.Store(true)
		return nil
	}
	c.received.Store(true)
	if m.method != "OPTIONS" && !c.usedForCalls.Swap(true) {
		defer c.front.sendUnsent(c)
	}
	switch {
	case m.callID() == "" || m.header.Get("Cseq") == "":
		c.replyFault(m, 400, "Call-ID or CSeq is missing")
	case m.method == "INVITE":
		c.lastSetUp.Store(c.lastReceived.Load())
		return c.handleInvite(m)
	case m.method == "ACK":
	case m.method == "CANCEL":
		c.front.engine.Withdraw(c, m.callID(), func(pending, known bool) {
			if !known {
				c.replyUnknownCall(m)
				return
			}
			c.reply(m, 200, "OK")
			if pending {
				c.terminateInvite(m.callID())
			}
		})
	case m.method == "BYE":
		c.front.engine.Hangup(c, m.callID(), m.cause(), func(known bool) {
			if !known {
				c.replyUnknownCall(m)
				return
			}
			c.reply(m, 200, "OK")
			c.terminateInvite(m.callID())
			c.front.callerHungUp(m.callID())
		})
	case m.method == "OPTIONS":
		if c.front.available() {
			c.reply(m, 200, "OK")
			c.testPassed.Store(true)
			c.front.sendAfterTest(c)
		} else {
			c.reply(m, 503, "Not Serving")
		}
	default:
		c.replyFault(m, 405, "Method Not Allowed")
	}
	return nil
}

// acknowledgeRelease handles a response and reports whether a release with its Call-ID was pending. A final response
// to a BYE acknowledges the release.
func (c *conn) acknowledgeRelease(m message) bool {
	c.mu.Lock()
	_, pending := c.byes[m.callID()]
	acknowledged := pending && m.method == "BYE" && m.status >= 200
	if acknowledged {
		delete(c.byes, m.callID())
	}
	c.mu.Unlock()
	if acknowledged {
		c.front.callersAcknowledge.Store(true)
		c.front.dropUnsent(m.callID())
	}
	return pending
}

// hasWritten reports whether a release was written to the connection and is not acknowledged.
func (c *conn) hasWritten(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.byes[key]
	return ok
}

// handleInvite validates a set-up and offers it to the engine, unless its caller has left. An error ends the connection.
func (c *conn) handleInvite(m message) error {
	r, err := m.toRequest()
	var bad *messageError
	if errors.As(err, &bad) {
		c.replyFault(m, bad.status, bad.reason)
		return nil
	}
	c.awaitShare()
	if stream.Ended(c.nc) {
		c.front.log.Debug("set_up_of_closed_connection", "call", r.Key)
		return nil
	}
	r.Caller, r.Group = c, c.group
	pending := pendingInvite{message{method: m.method, header: m.echoedHeader()}, m.contentHash(c.front.seed)}
	r.Retained = headerSize(pending.header)
	c.mu.Lock()
	first, repeated := c.invites[r.Key]
	full, closing := len(c.invites) >= c.front.shares.share(), c.closing
	if !repeated && !full && !closing {
		c.addInvite(r.Key, pending)
	}
	c.mu.Unlock()
	switch {
	case closing: // the caller sees the close and resends the set-up
	case repeated && first.hash != pending.hash:
		// A later answer could not be attributed to one of the two set-ups: both get only this one.
		if _, ok := c.takeInvite(r.Key); ok {
			c.front.engine.CallerLost(c, []string{r.Key})
			c.reply(m, 482, "Loop Detected")
		}
		c.keyReused = true
	case repeated: // a retransmission: the first copy receives the only answer
		c.faults.Add(1)
	case full:
		c.reply(m, 503, "Service Unavailable")
	default:
		c.front.engine.Offer(r)
	}
	return nil
}

// contentHash returns a hash of the fields of a set-up that identify its content.
func (m message) contentHash(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	for _, s := range []string{m.uri, m.header.Get("X-Tier"), m.header.Get("X-Attrs"), m.header.Get("X-Deadline")} {
		_, _ = h.WriteString(s) // documented never to fail
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(m.body)
	return h.Sum64()
}

// replyFault rejects a faulty message and counts it towards maxFaults.
func (c *conn) replyFault(m message, status int, reason string) {
	c.faults.Add(1)
	c.reply(m, status, reason)
}

// replyUnknownCall rejects a request for a call that this process does not know. That is not a fault of the caller: after
// a restart the call may be one of an earlier process.
func (c *conn) replyUnknownCall(m message) { c.reply(m, 481, "Call Does Not Exist") }

// reply sends a response without a body.
func (c *conn) reply(m message, status int, reason string) {
	c.Send(appendBody(m.response(status, reason), nil))
}

// terminateInvite answers a set-up that is pending, and that its caller has withdrawn, with 487.
func (c *conn) terminateInvite(key string) {
	if invite, ok := c.takeInvite(key); ok {
		c.reply(invite.message, 487, "Request Terminated")
	}
}

// idle reports whether the connection has no pending set-ups.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.invites) == 0
}

// Answered implements core.Caller.
func (c *conn) Answered(key string, description []byte) {
	c.faults.Store(0)
	c.hadCall.Store(true)
	if m, ok := c.takeInvite(key); ok {
		c.front.addStandingCall(key, c)
		c.Send(appendBody(m.response(200, "OK"), description))
	}
}

// Refuse implements core.Caller.
func (c *conn) Refuse(key string, v core.Verdict) {
	m, ok := c.takeInvite(key)
	if !ok {
		return
	}
	status, reason := 503, "Service Unavailable"
	switch {
	case v.Invalid:
		c.faults.Add(1)
		status, reason = 400, v.Detail
	case v.Failed:
		status, reason = 500, "Server Internal Error"
	}
	b := m.response(status, reason)
	if wait := v.Wait.Milliseconds(); wait > 0 {
		b = appendHeader(b, "X-Cooldown", strconv.FormatInt(wait, 10))
		if c.front.retryAfter.Load() { // in whole seconds (RFC 3261, 20.33), rounded up so that no retry comes early
			b = appendHeader(b, "Retry-After", strconv.FormatInt((wait+999)/1000, 10))
		}
	}
	c.Send(appendBody(b, nil))
}

// Release implements core.Caller.
func (c *conn) Release(key string, cause core.Cause) {
	c.front.sendRelease(c, release{key: key, cause: cause, endedAt: time.Now()})
}

// writeRelease queues a BYE for the call, and reports whether the connection accepted it. It also forgets releases
// written longer ago than resendWindow.
func (c *conn) writeRelease(r release) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for k, s := range c.byes {
		if now.Sub(s.writtenAt) > resendWindow {
			delete(c.byes, k)
		}
	}
	if c.closing || !c.Send(byeRequest(r.key, r.cause)) {
		return false
	}
	r.sendCount++
	c.byes[r.key] = sentRelease{r, now}
	return true
}

// takeOverdueReleases removes and returns the releases whose acknowledgement is overdue, except those that have been
// sent maxReleaseSends times.
func (c *conn) takeOverdueReleases(now time.Time) []release {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []release
	for k, s := range c.byes {
		if now.Sub(s.writtenAt) >= repeatAfter && s.sendCount < maxReleaseSends {
			out = append(out, s.release)
			delete(c.byes, k)
		}
	}
	return out
}

// numUnacknowledged returns the number of unacknowledged releases.
func (c *conn) numUnacknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byes)
}

// takeUnreadReleases removes all unacknowledged releases and returns those written within resendWindow, which the
// caller may not have read.
func (c *conn) takeUnreadReleases() []release {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []release
	for _, s := range c.byes {
		if time.Since(s.writtenAt) < resendWindow {
			out = append(out, s.release)
		}
	}
	clear(c.byes)
	return out
}
