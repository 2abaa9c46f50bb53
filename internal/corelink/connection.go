package corelink

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fastjson"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/liveness"
	"brookmux/internal/stream"
)

const (
	// lineTimeout is the maximum time from the first byte of a line to its last. A line that takes longer is treated as
	// broken off.
	lineTimeout = 500 * time.Millisecond
	// retiredTimeout is how long a core may take to close a connection whose writing half is closed. After it the
	// connection is closed locally.
	retiredTimeout = 8 * time.Second
	// closeAnswerTimeout is how long a core may take to close a connection whose writing half is closed before another one
	// is opened in its place.
	closeAnswerTimeout = 250 * time.Millisecond
	// releaseConfirmDelay is the minimum time between a release and a later message on its connection for that message
	// to confirm that the core reads the connection. A message that arrives earlier may have crossed the release.
	releaseConfirmDelay = 500 * time.Millisecond
)

// closeReason is the reason why this side closes a connection, as logged.
type closeReason string

const (
	closeStale        closeReason = "stale"   // missed group states that the core's other connections received
	closeUnresponsive closeReason = "silent"  // no message received after something was sent
	closeExpired      closeReason = "expired" // the core's lease has expired
	closeBeforeStart  closeReason = "start"   // no message received since the start of the core that is listed now
	closeUnheard      closeReason = "unheard" // no message received since it was opened
	closeUnanswered   closeReason = "close"   // the core has not closed its half after this side did
)

// connection is a connection to a core with the set-ups open on it. It is guarded by the pool's lock.
type connection struct {
	*stream.Writer
	conn            net.Conn
	id              liveness.ConnectionID
	lease           *liveness.Lease         // lease of the core
	pending         map[string]pendingSetUp // open set-ups by call
	connectedAt     time.Time
	lastMessage     time.Time
	statesSeen      int              // the core's group states received on any connection up to lastMessage
	groupState      *brookmux.Report // last group state received on this connection
	unansweredSince time.Time        // time of the first send after the last message, zero if nothing was sent
	messageReceived bool             // at least one message was received
	retired         bool             // no new messages are sent; the writing half is closed once no set-up is open
	replacing       bool             // a replacement connection is being opened
	replaced        bool             // a replacement connection was opened
	halfClosed      bool             // the writing half was closed
	halfClosedAt    time.Time
	replaceRequests chan struct{}    // asks the supervising goroutine to open a replacement
	done            chan struct{}    // closed when the reader has ended
	unconfirmed     []pendingRelease // sent releases that the core may not have read
}

// pendingSetUp is a set-up that is open on a connection. width is the number of circuits it takes.
type pendingSetUp struct{ width float64 }

// preferredOver reports whether a new message is better sent on c than on other. A connection without an overdue message
// comes first, then the one with fewer open set-ups, then one that carries calls already, so that others can be closed to
// check the core, then the one with the later last message.
func (c *connection) preferredOver(other *connection, now time.Time) bool {
	if a, b := c.overdue(now), other.overdue(now); a != b {
		return b
	}
	if len(c.pending) != len(other.pending) {
		return len(c.pending) < len(other.pending)
	}
	if a, b := c.lease.Carries(c.id), c.lease.Carries(other.id); a != b {
		return a
	}
	return c.lastMessage.After(other.lastMessage)
}

// overdue reports whether no message has been received for half of staleAfter although something was sent.
func (c *connection) overdue(now time.Time) bool {
	return !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) > staleAfter/2
}

// send queues a message and records the time if it is the first one sent since the last message was received.
func (c *connection) send(line []byte, now time.Time) {
	if c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
	c.Send(line)
}

// sendSetUp sends a set-up and records it as open. If the connection has ended, its reader reports the set-up lost with
// all others.
func (c *connection) sendSetUp(a core.Attempt, now time.Time) {
	c.pending[a.Key] = pendingSetUp{a.Width}
	c.lease.SetUpSent(a.Key, c.id)
	c.send(encodeSetUp(a), now)
}

// sendRelease sends a release and keeps it until the core is known to have read it. At most maxPendingReleases are
// kept; the oldest is dropped first.
func (c *connection) sendRelease(r pendingRelease, now time.Time) {
	c.unconfirmed = append(c.unconfirmed, pendingRelease{r.call, r.line, r.createdAt, now})
	if len(c.unconfirmed) > maxPendingReleases {
		c.unconfirmed = c.unconfirmed[1:]
	}
	c.send(r.line, now)
}

// removeSetUp removes a set-up if it is open on this connection.
func (c *connection) removeSetUp(key string, now time.Duration) {
	if _, open := c.pending[key]; !open {
		return
	}
	delete(c.pending, key)
	c.lease.SetUpEnded(key)
	c.closeIfRetired(now)
}

// retire stops new messages on the connection and closes its writing half once no set-up is open on it and the lease
// permits it. Messages from the core are read until the core closes the connection as well, for at most retiredTimeout.
func (c *connection) retire(now time.Duration) {
	c.retired = true
	c.lease.Retired(c.id, now, c.replaced)
	c.closeIfRetired(now)
}

// closeIfRetired closes the writing half of a retired connection without open set-ups, unless the lease needs it.
func (c *connection) closeIfRetired(now time.Duration) {
	if c.retired && !c.halfClosed && len(c.pending) == 0 && c.lease.MayHalfClose(c.id, now) {
		c.halfClosed, c.halfClosedAt = true, time.Now()
		c.lease.HalfClosed(c.id, now, stream.Ended(c.conn))
		c.HalfClose()
		time.AfterFunc(retiredTimeout, c.Close)
	}
}

// received records that a message was received, and drops the releases that it confirms as read.
func (c *connection) received(now time.Time, statesSeen int) {
	c.lastMessage, c.statesSeen, c.unansweredSince = now, statesSeen, time.Time{}
	kept := c.unconfirmed[:0]
	for _, r := range c.unconfirmed {
		if now.Sub(r.sentAt) < releaseConfirmDelay {
			kept = append(kept, r)
		}
	}
	c.unconfirmed = kept
}

// addConnection adds a new connection to the endpoint, sends the waiting releases and set-ups on it and starts its
// reader. It closes the connection and returns nil if the endpoint has ended.
func (e *endpoint) addConnection(ctx context.Context, conn net.Conn) *connection {
	now := time.Now()
	c := &connection{Writer: stream.NewWriter(conn), conn: conn, lease: e.lease, pending: map[string]pendingSetUp{}, connectedAt: now,
		lastMessage: now, replaceRequests: make(chan struct{}, 1), done: make(chan struct{})}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if ctx.Err() != nil {
		c.Close()
		return nil
	}
	e.pool.lastConnection++
	c.id, c.statesSeen = e.pool.lastConnection, e.statesSeen
	e.connections[c] = struct{}{}
	e.lease.Connected(c.id, e.pool.sinceOrigin(now))
	for _, r := range e.releases {
		if now.Sub(r.createdAt) < releaseLifetime {
			c.sendRelease(r, now)
		}
	}
	for _, a := range e.waiting {
		c.sendSetUp(a, now)
	}
	e.releases, e.waiting = nil, nil
	e.pool.Log.Debug("core_connected", "core", e.id(), "connection", c.id, "processes", e.lease.Processes(), "calls", e.lease.Calls())
	e.pool.readers.Go(func() { e.serve(ctx, c) })
	return c
}

// serve reads a connection until it ends. It then reports the set-ups that were open on it as lost, sends its
// unconfirmed releases again on another connection, and elects a new leader if it led. Once the pool's context has
// ended, no release is sent again.
func (e *endpoint) serve(ctx context.Context, c *connection) {
	defer close(c.done)
	stop := context.AfterFunc(e.pool.ctx, c.Close)
	err := e.read(c, stream.NewReader(c.conn))
	stop()
	c.Close()

	e.pool.mu.Lock()
	e.remove(c, endFromError(err))
	state := e.electLeader()
	open := make([]string, 0, len(c.pending))
	for k := range c.pending {
		open = append(open, k)
		e.lease.SetUpEnded(k)
	}
	e.openAfter(c)
	unconfirmed := c.unconfirmed
	c.unconfirmed = nil
	for _, r := range unconfirmed {
		if e.pool.ctx.Err() != nil {
			break
		}
		e.sendRelease(r)
	}
	e.pool.mu.Unlock()
	if ctx.Err() == nil {
		level := slog.LevelInfo
		if c.retired {
			level = slog.LevelDebug
		}
		e.pool.Log.Log(ctx, level, "core_connection_closed", "core", e.id(), "connection", c.id, "open", len(open), "error", err)
	}
	if state != nil {
		e.pool.events.Reported(e.id(), *state, true)
	}
	if len(open) > 0 {
		e.pool.events.Lost(e.id(), open, core.Loss{Reason: core.LossConnection, Outcome: lostOutcome})
	}
}

// endFromError maps a reader's error to how the connection ended.
func endFromError(err error) liveness.End {
	switch {
	case errors.Is(err, io.EOF):
		return liveness.EndClosed
	case errors.Is(err, syscall.ECONNRESET):
		return liveness.EndReset
	}
	return liveness.EndLocal
}

// read handles the messages of a connection until it ends, and skips empty lines. It returns an error on a line that is
// invalid or incomplete, because the bytes that follow can no longer be trusted; the open set-ups are then reported
// lost.
func (e *endpoint) read(c *connection, r *stream.Reader) error {
	var parser fastjson.Parser
	for {
		r.Begin()
		if _, err := r.R.Peek(1); err != nil {
			return err
		}
		if err := c.conn.SetReadDeadline(time.Now().Add(lineTimeout)); err != nil {
			return err
		}
		line, err := r.Line()
		if err != nil {
			return errors.Join(errIncompleteLine, err)
		}
		if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
		if len(line) == 0 {
			continue
		}
		m, err := parse(&parser, line)
		if err != nil {
			return err
		}
		e.handleMessage(c, m)
	}
}

// handleMessage updates the state of the connection and its core and passes the message to the engine. An answer counts
// once, and only for a set-up that is open on this connection. The release of a call that stands may arrive on any
// connection.
func (e *endpoint) handleMessage(c *connection, m message) {
	now := time.Now()
	e.pool.mu.Lock()
	if m.kind == kindState && c.messageReceived { // the first state on a new connection is not sent on the others
		e.statesSeen++
	}
	c.messageReceived = true
	c.received(now, e.statesSeen)
	e.lease.MessageReceived(c.id, e.pool.sinceOrigin(now), m.evidence())
	e.logMerges()
	setUp, openHere := c.pending[m.id]
	elsewhere := e.pendingElsewhere(c, m.id)
	switch {
	case m.kind == kindAnswer && openHere:
		e.lease.CallAnswered(m.id, setUp.width, c.id, e.pool.sinceOrigin(now))
	case m.kind == kindRelease && !openHere:
		e.lease.CallEnded(m.id)
	}
	if m.kind == kindAnswer || m.kind == kindRelease {
		c.removeSetUp(m.id, e.pool.sinceOrigin(now))
	}
	newReport := m.kind == kindState && !c.retired && e.claimLead(c)
	if m.kind == kindState {
		c.groupState = &m.report
	} else if e.leader != nil && e.leader != c {
		m.report.Free = brookmux.Absent // Free may be outdated, as c does not lead; other values are current
	}
	e.pool.mu.Unlock()
	if m.kind == kindRelease || m.kind == kindAnswer {
		e.pool.Log.Debug("core_message", "core", e.id(), "connection", c.id, "type", m.kind, "call", m.id, "cause", m.cause, "own", openHere)
	}
	switch {
	case m.kind == kindAnswer && openHere:
		e.pool.events.Answered(e.id(), m.id, m.sdp, m.report)
	case m.kind == kindAnswer:
		e.pool.events.Ignored(e.id(), m.id, "answer without an open set-up on its connection")
	case m.kind == kindRelease:
		o := m.outcome()
		o.OtherConnection = elsewhere && !openHere
		e.pool.events.Ended(e.id(), m.id, o)
	case newReport:
		e.pool.events.Reported(e.id(), m.report, true)
	case m.kind == kindPing:
		c.Send(encodeCause(kindPong, m.id, 1))
	}
}

// pendingElsewhere reports whether a set-up is open on a connection other than c.
func (e *endpoint) pendingElsewhere(c *connection, key string) bool {
	for other := range e.connections {
		if _, open := other.pending[key]; open && other != c {
			return true
		}
	}
	return false
}
