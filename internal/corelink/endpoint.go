package corelink

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/liveness"
)

const (
	minReconnectDelay          = 100 * time.Millisecond // initial delay between dials; a waiting set-up ends it
	maxReconnectDelay          = time.Second            // maximum delay after back-off
	maxReconnectDelayWithCalls = 250 * time.Millisecond // the same while calls stand on the core
	checkConnectTimeout        = time.Second            // for connections opened to check a core
	maxPendingReleases         = 1024                   // releases kept for a core's next connection
	releaseLifetime            = 60 * time.Second       // maximum time for which a release is kept
	maxPromptReleaseDelay      = 50 * time.Millisecond  // a release sent later than this had to wait for a connection

	watchInterval     = 50 * time.Millisecond
	staleAfter        = 300 * time.Millisecond // a connection without a message for this time may be stale
	minStaleStates    = 3                      // minimum group states missed by a stale connection; see staleThreshold
	unresponsiveAfter = 800 * time.Millisecond // without a message on any connection after something was sent
)

// endpoint is a core with the connections to it. It is guarded by the pool's lock.
type endpoint struct {
	Core                      // Core.ID is the ID at the start; see id
	listedID    atomic.Uint32 // current ID in the membership list
	pool        *Pool
	ctx         context.Context // ends with the endpoint
	cancel      context.CancelFunc
	wake        chan struct{} // wakes a dialer from its delay to connect at once
	connections map[*connection]struct{}
	lease       *liveness.Lease
	waiting     []core.Attempt   // set-ups that wait for a connection
	releases    []pendingRelease // releases that wait for a connection
	statesSeen  int              // group states received on all connections, without the first message of each
	leader      *connection      // the only connection whose group states are used, nil if none is elected
	extraOpen   bool             // keepExtra keeps a connection beyond Config.Connections
	replacedAt  time.Time        // when closeStalled last closed an unresponsive connection
	unlisted    bool             // kept for calls that stand, although the membership list has the core no more
}

// id returns the ID under which the core is currently listed.
func (e *endpoint) id() brookmux.SwitchID { return brookmux.SwitchID(e.listedID.Load()) }

// pendingRelease is a release that the core is not known to have read.
type pendingRelease struct {
	call      string
	line      []byte
	createdAt time.Time
	sentAt    time.Time // when it was sent on the current connection
}

// drop ends an endpoint and closes its connections after the queued releases have been written. The lock is held.
func (e *endpoint) drop() {
	for c := range e.connections {
		c.Finish()
	}
	e.cancel()
}

// keepUnlisted keeps an endpoint whose core is not listed any more, without new set-ups, if calls or set-ups on it are on
// a process that took the address after the core had ended: it may be listed only later. It returns their keys, or none
// if the endpoint has to be dropped. The lock is held.
func (e *endpoint) keepUnlisted() []string {
	kept := e.lease.SuccessorCalls(e.pool.sinceOrigin(time.Now()))
	if len(kept) > 0 {
		e.unlisted = true
		e.failWaiting()
		e.pool.Log.Info("core_unlisted", "core", e.id(), "kept", len(kept))
	}
	return kept
}

// failWaiting reports the set-ups that wait for a connection as not reached. The lock is held.
func (e *endpoint) failWaiting() {
	waiting := e.waiting
	e.waiting = nil
	if len(waiting) > 0 {
		go e.pool.reportUnreached(e.id(), waiting) // asynchronous: the lock is held
	}
}

// carriesNothing reports whether no call stands on the endpoint and no set-up is pending. The lock is held.
func (e *endpoint) carriesNothing() bool {
	for c := range e.connections {
		if len(c.pending) > 0 {
			return false
		}
	}
	return e.lease.Calls() == 0
}

// finish closes the writing halves of the connections after the queued messages have been written, and stops opening
// new ones. The lock is held.
func (e *endpoint) finish() {
	for c := range e.connections {
		c.retired = true
		c.HalfClose()
	}
	e.cancel()
}

// bestConnection returns the preferred connection for a new message, or nil if there is none. The lock is held.
func (e *endpoint) bestConnection(now time.Time) *connection {
	var best *connection
	for c := range e.connections {
		if !c.retired && (best == nil || c.preferredOver(best, now)) {
			best = c
		}
	}
	return best
}

// setUp sends a set-up on the best connection, or keeps it for the next one. If the core is not listed any more, or may
// not have read a release of an earlier set-up of the call yet, setUp reports the new one as not reached: the release
// would end it, or it would follow the release too soon. The lock is held.
func (e *endpoint) setUp(a core.Attempt) {
	now := time.Now()
	if e.unlisted || e.releaseOutstanding(a.Key) {
		go e.pool.reportUnreached(e.id(), []core.Attempt{a}) // asynchronous: the event receiver is the caller
		return
	}
	e.dropUnconfirmed(a.Key)
	if c := e.bestConnection(now); c != nil {
		c.sendSetUp(a, now)
		return
	}
	e.waiting = append(e.waiting, a)
	e.wakeDialer()
}

// releaseOutstanding reports whether a release of a call waits for a connection, or had to wait for one and may not
// have been read yet. The lock is held.
func (e *endpoint) releaseOutstanding(call string) bool {
	if slices.ContainsFunc(e.releases, func(r pendingRelease) bool { return r.call == call }) {
		return true
	}
	for c := range e.connections {
		for _, r := range c.unconfirmed {
			if r.call == call && r.sentAt.Sub(r.createdAt) > maxPromptReleaseDelay {
				return true
			}
		}
	}
	return false
}

// dropUnconfirmed drops the sent releases of a call that might be sent again: they would end the new set-up of the call
// that is about to be sent. The lock is held.
func (e *endpoint) dropUnconfirmed(call string) {
	for c := range e.connections {
		c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r pendingRelease) bool { return r.call == call })
	}
}

// wakeDialer wakes a dialer that waits before its next attempt to connect.
func (e *endpoint) wakeDialer() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// release sends a release at once or on the next connection. The release of an open set-up is sent on the connection of
// the set-up; a set-up that waits for a connection is only dropped. The lock is held.
func (e *endpoint) release(key string, cause core.Cause) {
	now := time.Now()
	e.lease.CallEnded(key)
	for i, a := range e.waiting {
		if a.Key == key { // the set-up was never sent
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	r := pendingRelease{call: key, line: encodeCause(kindRelease, key, cause), createdAt: now}
	for c := range e.connections {
		if _, found := c.pending[key]; found {
			c.sendRelease(r, now)
			c.removeSetUp(key, e.pool.sinceOrigin(now))
			return
		}
	}
	e.sendRelease(r)
}

// sendRelease sends a release on the best connection, or keeps it for the next one. It drops a release older than
// releaseLifetime, and one beyond maxPendingReleases. The lock is held.
func (e *endpoint) sendRelease(r pendingRelease) {
	now := time.Now()
	switch c := e.bestConnection(now); {
	case now.Sub(r.createdAt) > releaseLifetime:
	case c != nil:
		c.sendRelease(r, now)
	case len(e.releases) < maxPendingReleases:
		e.releases = append(e.releases, r)
	}
}

// closeStalled closes connections that are open but no longer deliver messages. After an invalid or a missing answer a
// core may never use its connection again, and everything sent on it is lost. A core sends group states on all
// connections alike, so a connection that falls behind the others is stale. If no connection delivers messages after
// something was sent, one is closed so that its replacement can be compared with the others. The lock is held.
func (e *endpoint) closeStalled(now time.Time) {
	var quietest *connection
	for c := range e.connections {
		c.closeIfRetired(e.pool.sinceOrigin(now))
		if c.retired {
			e.replaceUnanswered(c, now)
		}
		if c.retired && e.lease.HoldsEvidence(c.id) {
			continue
		}
		if now.Sub(c.lastMessage) > staleAfter && e.statesSeen-c.statesSeen >= e.staleThreshold() {
			e.abandon(c, closeStale)
		} else if !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) > unresponsiveAfter &&
			(quietest == nil || c.lastMessage.Before(quietest.lastMessage)) {
			quietest = c
		}
	}
	if quietest == nil || now.Sub(e.replacedAt) < unresponsiveAfter {
		return
	}
	for c := range e.connections {
		if c.lastMessage.After(quietest.unansweredSince) {
			return // the core is alive and may take longer over a set-up
		}
		if len(c.pending) < len(quietest.pending) && !(c.retired && e.lease.HoldsEvidence(c.id)) {
			quietest = c
		}
	}
	e.replacedAt = now
	e.abandon(quietest, closeUnresponsive)
}

// abandon closes a connection that is no longer usable, or stops using it if what may still arrive on it decides on the
// calls of its process: the set-ups on it are then released and reported lost, and another connection replaces it. The lock
// is held.
func (e *endpoint) abandon(c *connection, why closeReason) {
	if !e.lease.HoldsEvidence(c.id) {
		e.close(c, why)
		return
	}
	now := time.Now()
	e.pool.Log.Info("core_connection_kept", "core", e.id(), "connection", c.id, "reason", string(why), "open", len(c.pending),
		"silent", time.Since(c.lastMessage))
	var lost []string
	for key := range c.pending {
		lost = append(lost, key)
		c.sendRelease(pendingRelease{call: key, line: encodeCause(kindRelease, key, normalRelease), createdAt: now}, now)
		e.lease.SetUpEnded(key)
	}
	clear(c.pending)
	c.retire(e.pool.sinceOrigin(now))
	if e.leader == c {
		e.leader = nil
	}
	e.requestReplacement(c)
	if len(lost) > 0 {
		id := e.id()
		go e.pool.events.Lost(id, lost, core.Loss{Reason: core.LossConnection, Outcome: lostOutcome}) // asynchronous: the lock is held
	}
}

// requestReplacement asks the goroutine that supervises a connection to open another one in its place, unless it has. The
// lock is held.
func (e *endpoint) requestReplacement(c *connection) {
	if !c.replacing && !c.replaced {
		c.replacing = true
		c.replaceRequests <- struct{}{} // does not block: replacing allows one request at a time
	}
}

// staleThreshold returns the number of states that a connection must miss to be stale: the larger of minStaleStates and
// one and a half times the number of the other connections. The lock is held.
func (e *endpoint) staleThreshold() int { return max(minStaleStates, (3*(len(e.connections)-1)+1)/2) }

// claimLead reports whether c is the leading connection, and makes it that if there is none. A core sends the same
// group state on each connection. A second copy is older than the changes made since the first, and would free a
// circuit that has been taken since. One connection leads until it ends. The lock is held.
func (e *endpoint) claimLead(c *connection) bool {
	if e.leader == nil {
		e.leader = c
	}
	return e.leader == c
}

// electLeader makes the connection with the most recent message the leader if there is none, and returns its last group
// state. It returns nil if there is a leader or no candidate. The lock is held.
func (e *endpoint) electLeader() *brookmux.Report {
	if e.leader != nil {
		return nil
	}
	for c := range e.connections {
		if c.groupState != nil && !c.retired && (e.leader == nil || c.lastMessage.After(e.leader.lastMessage)) {
			e.leader = c
		}
	}
	if e.leader == nil {
		return nil
	}
	return e.leader.groupState
}

// close closes a connection that is no longer usable. Its reader reports the open set-ups. The lock is held.
func (e *endpoint) close(c *connection, why closeReason) {
	e.pool.Log.Warn("core_connection_dropped", "core", e.id(), "connection", c.id, "reason", string(why), "open", len(c.pending),
		"silent", time.Since(c.lastMessage))
	e.remove(c, liveness.EndLocal) // no more messages are sent on it
	c.Close()
}

// remove removes a connection from the endpoint and the lease. The lock is held.
func (e *endpoint) remove(c *connection, how liveness.End) {
	e.lease.Disconnected(c.id, e.pool.sinceOrigin(time.Now()), how)
	if delete(e.connections, c); e.leader == c {
		e.leader = nil
	}
}

// run keeps one connection to the core open until the context ends. Failed attempts are repeated with exponential
// back-off.
func (e *endpoint) run(ctx context.Context) {
	e.runWhile(ctx, func() bool { return true })
	e.dialFailed(ctx.Err())
}

// runWhile is run until the context ends or needed reports false between two connections.
func (e *endpoint) runWhile(ctx context.Context, needed func() bool) {
	delay := minReconnectDelay
	for ctx.Err() == nil && needed() {
		dialer := net.Dialer{Timeout: e.pool.connectTimeout()}
		conn, err := dialer.DialContext(ctx, "tcp", e.Addr)
		if err == nil {
			connectedAt := time.Now()
			e.supervise(ctx, e.addConnection(ctx, conn))
			if time.Since(connectedAt) > minReconnectDelay {
				delay = minReconnectDelay
				continue
			}
		} else {
			e.dialFailed(err)
		}
		select {
		case <-time.After(delay):
		case <-e.wake:
		case <-ctx.Done():
		}
		delay = min(2*delay, e.reconnectDelayLimit())
	}
}

// reconnectDelayLimit returns the maximum delay between two attempts to connect. It is shorter while calls stand,
// because the releases of these calls are due within a second after the core is reachable again.
func (e *endpoint) reconnectDelayLimit() time.Duration {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.lease.Calls() > 0 {
		return maxReconnectDelayWithCalls
	}
	return maxReconnectDelay
}

// supervise returns when a connection has ended. On request it opens a replacement and supervises that instead.
func (e *endpoint) supervise(ctx context.Context, c *connection) {
	for c != nil {
		select {
		case <-c.done:
			return
		case <-c.replaceRequests:
			c = e.replace(ctx, c)
		}
	}
}

// replace opens a connection that replaces c, retires c and returns the new one. If the new connection does not come
// up, replace returns c.
func (e *endpoint) replace(ctx context.Context, c *connection) *connection {
	dialer := net.Dialer{Timeout: min(e.pool.connectTimeout(), checkConnectTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", e.Addr)
	e.pool.mu.Lock()
	c.replacing = false
	e.pool.mu.Unlock()
	if err != nil {
		e.dialFailed(err)
		return c
	}
	next := e.addConnection(ctx, conn)
	if next == nil {
		return c
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if _, open := e.connections[c]; open {
		e.pool.Log.Debug("core_connection_retired", "core", e.id(), "connection", c.id, "next", next.id, "open", len(c.pending))
		c.replaced = true
		c.retire(e.pool.sinceOrigin(time.Now()))
		if e.leader == c {
			e.leader = nil // its next state would arrive too late
		}
	}
	return next
}

// dialFailed reports to the lease that a connection did not come up. If no connection is open, it also reports the
// waiting set-ups as not reached.
func (e *endpoint) dialFailed(err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	e.pool.mu.Lock()
	e.lease.DialFailed(e.pool.sinceOrigin(time.Now()), refused)
	var waiting []core.Attempt
	if e.bestConnection(time.Now()) == nil {
		waiting, e.waiting = e.waiting, nil
	}
	e.pool.mu.Unlock()
	e.pool.Log.Debug("core_dial_failed", "core", e.id(), "refused", refused, "waiting", len(waiting), "error", err)
	e.pool.reportUnreached(e.id(), waiting)
}
