package sipfront

import (
	"cmp"
	"slices"
	"time"

	"brookmux/internal/core"
)

// release is the end of a call that stood, to be sent to its caller.
type release struct {
	key       string
	cause     core.Cause
	endedAt   time.Time // when the call ended
	sendCount int       // times that it has been written
}

// ReleaseOrphan releases a call whose connection is not known, for example one set up by an earlier process.
func (f *Front) ReleaseOrphan(key string, cause core.Cause) {
	f.sendRelease(nil, release{key: key, cause: cause, endedAt: time.Now()})
}

// sendRelease sends a release on the given connection if that is open and accepts it, otherwise on another one: a
// standing call is not bound to a connection. on may be nil.
func (f *Front) sendRelease(on *conn, r release) {
	f.mu.Lock()
	f.removeStandingCall(r.key)
	_, open := f.conns[on]
	written := open && on.writeRelease(r)
	f.mu.Unlock()
	f.log.Debug("call_released", "call", r.key, "cause", r.cause, "own_connection", written)
	if !written {
		f.sendReleaseElsewhere(on, r)
	}
}

// sendReleaseElsewhere sends a release on a connection other than except that is used for calls. It tries them by
// descending rank, then by the most recent message. If none accepts it, the release is kept for later, or dropped if
// maxUnsentReleases are kept already, and is also written to the connection whose test has passed last.
func (f *Front) sendReleaseElsewhere(except *conn, r release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []*conn
	for c := range f.conns {
		if c != except && c.usedForCalls.Load() {
			others = append(others, c)
		}
	}
	slices.SortFunc(others, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.lastReceived.Load(), a.lastReceived.Load()))
	})
	for _, c := range others {
		if c.writeRelease(r) {
			return
		}
	}
	f.log.Info("release_waits", "call", r.key, "connections", len(f.conns))
	f.keepUnsent(r)
	if c := f.lastTested(except); c != nil && !f.hasCallConn() {
		c.writeRelease(r)
	}
}

// lastTested returns the connection other than except whose test has passed last, or nil. The lock must be held.
func (f *Front) lastTested(except *conn) *conn {
	var last *conn
	for c := range f.conns {
		if c != except && c.testPassed.Load() && (last == nil || c.lastReceived.Load() > last.lastReceived.Load()) {
			last = c
		}
	}
	return last
}

// hasCallConn reports whether a connection is used for calls. The lock must be held.
func (f *Front) hasCallConn() bool {
	for c := range f.conns {
		if c.usedForCalls.Load() {
			return true
		}
	}
	return false
}

// keepUnsent keeps a release until a connection is used for calls, unless it is kept already or too many are. The lock
// must be held.
func (f *Front) keepUnsent(r release) {
	kept := slices.ContainsFunc(f.unsent, func(x release) bool { return x.key == r.key })
	if !kept && len(f.unsent) < maxUnsentReleases {
		f.unsent = append(f.unsent, r)
	}
}

// dropUnsent forgets a waiting release that a caller has acknowledged.
func (f *Front) dropUnsent(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unsent = slices.DeleteFunc(f.unsent, func(r release) bool { return r.key == key })
}

// sendUnsent sends the releases that wait for a connection, on c. It is called at the first request on c that is not
// a test.
func (f *Front) sendUnsent(c *conn) {
	f.mu.Lock()
	unsent := f.unsent
	f.unsent = nil
	f.mu.Unlock()
	for _, r := range unsent {
		if time.Since(r.endedAt) < releaseLifetime && !c.hasWritten(r.key) {
			f.sendRelease(c, r)
		}
	}
}

// sendAfterTest writes the releases that wait to c, on which a test has passed, if no connection is used for calls. A
// caller that only tests may never read them, so they go on waiting until one is acknowledged.
func (f *Front) sendAfterTest(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unsent) == 0 || f.hasCallConn() {
		return
	}
	for _, r := range f.unsent[:min(len(f.unsent), maxTestReleases)] {
		if time.Since(r.endedAt) < releaseLifetime && !c.hasWritten(r.key) {
			c.writeRelease(r)
		}
	}
}

// resendUnread sends the releases that may not have been read on a closed connection on another one.
func (f *Front) resendUnread(c *conn) {
	for _, r := range c.takeUnreadReleases() {
		f.sendRelease(nil, r)
	}
}

// repeatReleases resends overdue releases on other connections, as their own connection may have failed undetected.
// As long as no caller has acknowledged a release, a connection counts as failed only if it is unresponsive.
func (f *Front) repeatReleases(now time.Time) {
	callersAcknowledge := f.callersAcknowledge.Load()
	f.mu.Lock()
	var overdue []release
	var from []*conn
	for c := range f.conns {
		if !callersAcknowledge && !f.unresponsive(c, now.Add(-repeatAfter)) {
			continue
		}
		for _, r := range c.takeOverdueReleases(now) {
			overdue, from = append(overdue, r), append(from, c)
		}
	}
	f.mu.Unlock()
	for i, r := range overdue {
		f.log.Info("release_repeated", "call", r.key, "sent", r.sendCount, "after", now.Sub(r.endedAt))
		f.sendReleaseElsewhere(from[i], r)
	}
}

// unresponsive reports whether c has received nothing since the given time while another connection that is used for
// calls has. The lock must be held.
func (f *Front) unresponsive(c *conn, since time.Time) bool {
	if c.lastReceived.Load() > since.UnixNano() {
		return false
	}
	for other := range f.conns {
		if other != c && other.usedForCalls.Load() && other.lastReceived.Load() > since.UnixNano() {
			return true
		}
	}
	return false
}
