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
	redialMin       = 100 * time.Millisecond // between two tries to reach a core without a call for it
	redialMax       = time.Second
	redialCalls     = 250 * time.Millisecond // the same while calls stand there
	maxExtra        = 2                      // connections that are opened to check a core beyond the usual ones
	checkTimeout    = time.Second            // a connection that is opened to check a core comes up in this time at most
	maxReleases     = 1024                   // releases kept for a core's next connection
	releaseLifetime = 60 * time.Second       // and how long
	promptRelease   = 50 * time.Millisecond  // a release written later than this after it was made had to wait for a connection

	watchInterval = 50 * time.Millisecond
	staleAfter    = 300 * time.Millisecond // a connection this far behind the others of its core is of no use
	staleStates   = 3                      // if at least so many states came on those meanwhile, or a half more than there are of them
	silentAfter   = 800 * time.Millisecond // nothing after something was sent, and nothing on the others either
)

// endpoint is a core with the connections to it. The pool's lock guards it.
type endpoint struct {
	Core                      // its ID is that of the start; see id
	listedAs    atomic.Uint32 // the id that it is listed under
	pool        *Pool
	ctx         context.Context // ends with the endpoint
	cancel      context.CancelFunc
	wake        chan struct{} // a connection is wanted: dial now
	connections map[*connection]struct{}
	lease       *liveness.Lease
	waiting     []core.Attempt // set-ups that wait for a connection
	releases    []heldRelease  // for the next connection
	statesSeen  int            // group states that came on all connections
	leader      *connection    // whose word on the group counts
	extra       int            // connections beyond those that are to be open
	replacedAt  time.Time      // when a connection was last closed without another to compare it with
}

// id is the id that the core is listed under.
func (e *endpoint) id() brookmux.SwitchID { return brookmux.SwitchID(e.listedAs.Load()) }

// heldRelease is a release that the core has yet to read.
type heldRelease struct {
	call  string
	line  []byte
	since time.Time // when it was made
	sent  time.Time // on the present connection
}

// drop ends an endpoint: releases that are queued still leave. The lock is held.
func (e *endpoint) drop() {
	for c := range e.connections {
		c.Finish()
	}
	e.cancel()
}

// finish ends the writing halves of the connections, after what is queued, and opens no more. The lock is held.
func (e *endpoint) finish() {
	for c := range e.connections {
		c.retired = true
		c.HalfClose()
	}
	e.cancel()
}

// restarted ends the connections to a process that has gone since, and forgets its calls. The lock is held.
func (e *endpoint) restarted(since time.Duration) {
	at := e.pool.Origin.Add(since)
	e.lease.OverBefore(since)
	for c := range e.connections {
		if c.connectedAt.Before(at) {
			c.Close()
		}
	}
}

// best is the connection that a message had best go out on, or nil. The lock is held.
func (e *endpoint) best(now time.Time) *connection {
	var best *connection
	for c := range e.connections {
		if !c.retired && (best == nil || c.preferredOver(best, now)) {
			best = c
		}
	}
	return best
}

// setUp sends a set-up on the best connection, or keeps it for the next one. Where the core has yet to let go of an earlier
// set-up of the call, it is reported as not reached: the release would end it, or it would follow that too soon. The lock is
// held.
func (e *endpoint) setUp(a core.Attempt) {
	now := time.Now()
	if e.releaseOutstanding(a.Key) {
		go e.pool.unreached(e.id(), []core.Attempt{a}) // not from here: the owner calls this
		return
	}
	e.dropUnconfirmed(a.Key)
	if c := e.best(now); c != nil {
		c.sendSetUp(a, now)
		return
	}
	e.waiting = append(e.waiting, a)
	e.dialNow()
}

// releaseOutstanding tells whether a release of a call waits for a connection, or had to and may not have been read. The
// lock is held.
func (e *endpoint) releaseOutstanding(call string) bool {
	if slices.ContainsFunc(e.releases, func(r heldRelease) bool { return r.call == call }) {
		return true
	}
	for c := range e.connections {
		for _, r := range c.unconfirmed {
			if r.call == call && r.sent.Sub(r.since) > promptRelease {
				return true
			}
		}
	}
	return false
}

// dropUnconfirmed forgets the releases of a call that were written and might be sent again: the core gets another set-up
// of it now, which they would end. The lock is held.
func (e *endpoint) dropUnconfirmed(call string) {
	for c := range e.connections {
		c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r heldRelease) bool { return r.call == call })
	}
}

// dialNow wakes those who wait before they dial again.
func (e *endpoint) dialNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// release writes a release, at once or on the next connection. A set-up is given up on its own connection.
func (e *endpoint) release(key string, cause core.Cause) {
	e.lease.Over(key)
	for i, a := range e.waiting {
		if a.Key == key { // it never left
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	now := time.Now()
	r := heldRelease{call: key, line: causeLine(kindRelease, key, cause), since: now}
	for c := range e.connections {
		if _, own := c.pending[key]; own {
			c.sendRelease(r, now)
			c.settle(key)
			return
		}
	}
	e.sendRelease(r)
}

// sendRelease writes a release on the best connection, or keeps it for the next one.
func (e *endpoint) sendRelease(r heldRelease) {
	now := time.Now()
	switch c := e.best(now); {
	case now.Sub(r.since) > releaseLifetime:
	case c != nil:
		c.sendRelease(r, now)
	case len(e.releases) < maxReleases:
		e.releases = append(e.releases, r)
	}
}

// closeStalled closes connections that stay open and bring nothing any more: after a spoilt or a missing answer a core
// may never use its connection again, and everything sent on it is lost. A group's state goes out on all
// connections alike, so one that falls behind the others is such a one. Where all are silent after something
// was sent, one is replaced, to have one to compare with. The lock is held.
func (e *endpoint) closeStalled(now time.Time) {
	var quietest *connection
	for c := range e.connections {
		if now.Sub(c.lastMessage) > staleAfter && e.statesSeen-c.statesSeen >= e.staleStates() {
			e.close(c, closeStale)
		} else if !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) > silentAfter &&
			(quietest == nil || c.lastMessage.Before(quietest.lastMessage)) {
			quietest = c
		}
	}
	if quietest == nil || now.Sub(e.replacedAt) < silentAfter {
		return
	}
	for c := range e.connections {
		if c.lastMessage.After(quietest.unansweredSince) {
			return // the core is there, and may take longer over a set-up
		}
		if len(c.pending) < len(quietest.pending) {
			quietest = c
		}
	}
	e.replacedAt = now
	e.close(quietest, closeSilent)
}

// staleStates is how many states have to come on the other connections for one without to be stale. The lock is held.
func (e *endpoint) staleStates() int { return max(staleStates, (3*(len(e.connections)-1)+1)/2) }

// renewLease carries out what the lease asks for, and returns the calls that are over. The lock is held.
func (e *endpoint) renewLease(now time.Time) []liveness.Expiry {
	d := e.lease.Tick(e.pool.clock(now))
	if d.Check {
		e.startCheck(d)
	}
	for _, x := range d.Expired {
		e.pool.Log.Warn("core_lease_expired", "core", e.id(), "reason", x.Reason, "calls", len(x.Calls), "silent", x.Silent)
		if x.Reason == liveness.ReasonSilent {
			e.closeSilentSince(now.Add(-x.Silent))
		}
	}
	return d.Expired
}

// closeSilentSince closes the connections that have brought nothing since a time. The lock is held.
func (e *endpoint) closeSilentSince(at time.Time) {
	for c := range e.connections {
		if !c.lastMessage.After(at) {
			e.close(c, closeExpired)
		}
	}
}

// startCheck opens a new connection, in the place of an idle one if there is any. The lock is held.
func (e *endpoint) startCheck(d liveness.Decision) {
	if d.Prove && e.replaceOne(d.Silent) || e.replaceOne(d.Idle) {
		return
	}
	if len(e.connections) < e.pool.Connections {
		e.dialNow() // one that is to be open anyway
		return
	}
	if e.extra >= maxExtra {
		e.replaceOne(d.Silent)
		return
	}
	e.extra++
	e.pool.keepers.Go(func() { e.runExtra(e.ctx) })
}

// replaceOne has one of these connections replaced on which no set-up is open, and tells whether there is one. The lock
// is held.
func (e *endpoint) replaceOne(ids []liveness.ConnectionID) bool {
	for _, id := range ids {
		for c := range e.connections {
			if c.id != id || c.retired || len(c.pending) > 0 {
				continue
			}
			if !c.checking {
				c.checking = true
				c.check <- struct{}{} // it has room: one check at a time
				return true
			}
		}
	}
	return false
}

// markSpare keeps set-ups off a connection while there are others.
func (e *endpoint) markSpare(c *connection) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if c != nil {
		c.spare = true
	}
}

// runExtra opens one more connection to check the core while all others carry calls, and keeps it until it ends.
func (e *endpoint) runExtra(ctx context.Context) {
	dialer := net.Dialer{Timeout: min(e.pool.connectTimeout(), checkTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", e.Addr)
	if err == nil {
		c := e.connected(ctx, conn)
		e.markSpare(c)
		e.keep(ctx, c)
	} else if ctx.Err() == nil {
		e.dialFailed(err)
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.extra--
}

// leads tells whether a state of the group that came on a connection is news. A core says the same on each of
// them: the second copy is older than what was made of the first, and would free a circuit that is taken by now.
// One connection leads until it is over. The lock is held.
func (e *endpoint) leads(c *connection) bool {
	if e.leader == nil {
		e.leader = c
	}
	return e.leader == c
}

// electLeader chooses the next connection to lead, the one heard last, and returns what it said of the group, or nil.
// The lock is held.
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

// close closes a connection of no use. Its reader reports what was open there. The lock is held.
func (e *endpoint) close(c *connection, why closeReason) {
	e.pool.Log.Warn("core_connection_dropped", "core", e.id(), "connection", c.id, "reason", string(why), "open", len(c.pending),
		"silent", time.Since(c.lastMessage))
	e.remove(c, liveness.EndLocal) // nothing more is sent there
	c.Close()
}

// remove takes a connection off. The lock is held.
func (e *endpoint) remove(c *connection, how liveness.End) {
	e.lease.Disconnected(c.id, e.pool.clock(time.Now()), how)
	if delete(e.connections, c); e.leader == c {
		e.leader = nil
	}
}

// run keeps one connection to the core open until its context ends.
func (e *endpoint) run(ctx context.Context) {
	pause := redialMin
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: e.pool.connectTimeout()}
		conn, err := dialer.DialContext(ctx, "tcp", e.Addr)
		if err == nil {
			began := time.Now()
			e.keep(ctx, e.connected(ctx, conn))
			if time.Since(began) > redialMin {
				pause = redialMin
				continue
			}
		} else {
			e.dialFailed(err)
		}
		select {
		case <-time.After(pause):
		case <-e.wake:
		case <-ctx.Done():
		}
		pause = min(2*pause, e.maxPause())
	}
	e.dialFailed(ctx.Err())
}

// maxPause is the most time between two dials. While calls stand, a core that is back is reached soon: the ends of its
// calls are due within a second.
func (e *endpoint) maxPause() time.Duration {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.lease.Calls() > 0 {
		return redialCalls
	}
	return redialMax
}

// keep returns when a connection is over. Where a check asks for it, another takes its place before.
func (e *endpoint) keep(ctx context.Context, c *connection) {
	for c != nil {
		select {
		case <-c.done:
			return
		case <-c.check:
			c = e.replace(ctx, c)
		}
	}
}

// replace opens a connection in the place of another, which is retired then. Where it does not come up, the old one
// stays.
func (e *endpoint) replace(ctx context.Context, c *connection) *connection {
	dialer := net.Dialer{Timeout: min(e.pool.connectTimeout(), checkTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", e.Addr)
	e.pool.mu.Lock()
	c.checking = false
	e.pool.mu.Unlock()
	if err != nil {
		e.dialFailed(err)
		return c
	}
	next := e.connected(ctx, conn)
	if next == nil {
		return c
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if _, open := e.connections[c]; open {
		e.pool.Log.Debug("core_connection_retired", "core", e.id(), "connection", c.id, "next", next.id, "open", len(c.pending))
		next.spare = c.spare
		c.retire()
		e.lease.Retired(c.id)
		if e.leader == c {
			e.leader = nil // its next state would come too late
		}
	}
	return next
}

// dialFailed reports that a connection did not come up, and the set-ups that waited for it.
func (e *endpoint) dialFailed(err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	e.pool.mu.Lock()
	e.lease.DialFailed(e.pool.clock(time.Now()), refused)
	var waiting []core.Attempt
	if e.best(time.Now()) == nil {
		waiting, e.waiting = e.waiting, nil
	}
	e.pool.mu.Unlock()
	e.pool.Log.Debug("core_dial_failed", "core", e.id(), "refused", refused, "waiting", len(waiting), "error", err)
	e.pool.unreached(e.id(), waiting)
}
