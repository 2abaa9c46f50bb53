package sipfront

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/lifecycle"
	"brookmux/internal/stream"
)

const (
	byeAgain     = 2 * time.Second  // releases written so shortly before a connection ended are written again
	mostReleases = 4096             // releases kept for the next connection
	releaseLast  = 30 * time.Second // and how long: whoever was on the call has been told by others, or has gone
	acceptPause  = 20 * time.Millisecond

	watchInterval  = 50 * time.Millisecond
	repeatAfter    = 600 * time.Millisecond // a release that is not acknowledged by then goes out on another connection
	maxReleaseSent = 5                      // times in all
	drainKeep      = 800 * time.Millisecond // after SIGTERM, connections stay for so long in any case
	drainIdle      = 100 * time.Millisecond // and then until nothing has come on them for so long

	acknowledgedWithin = 500 * time.Millisecond // a drained connection stays so long for the acknowledgement of a release
	partWithin         = time.Second            // and so long for its caller to end it, after its writing half was ended
	endLeast           = 100 * time.Millisecond // both are cut short before the program may be killed, to this at least
	killReserve        = 250 * time.Millisecond // by so much, for the cores
	shutdownInterval   = 10 * time.Millisecond
)

// Engine is what the front hands requests to. *core.Engine is one.
type Engine interface {
	Linked(group string)
	Offer(r core.Request)
	Withdraw(who core.Caller, key string, then func(open, known bool))
	CallerLost(who core.Caller, keys []string)
	Hangup(who core.Caller, key string, cause core.Cause, then func(known bool))
}

// Front holds the callers' connections.
type Front struct {
	engine Engine
	phase  *lifecycle.Lifecycle
	log    *slog.Logger
	most   int         // connections
	out    atomic.Bool // out of service: tests fail
	seed   maphash.Seed

	retryAfter atomic.Bool // refusals say Retry-After beside X-Cooldown
	paced      *paced      // new connections get their turn, nil for at once

	acknowledged atomic.Bool // callers acknowledge releases

	mu      sync.Mutex
	conns   map[*conn]struct{}
	kill    time.Time        // when the program may be killed, zero while it has not been told to end
	unsent  []release        // no connection was open for them
	callers map[string]*conn // of the calls that stand: the connection of their set-up
}

// release is a call that stood and is over.
type release struct {
	key   string
	cause core.Cause
	at    time.Time
	sent  int // how many times it was written
}

// New returns a Front that holds at most so many connections.
func New(engine Engine, phase *lifecycle.Lifecycle, most int, log *slog.Logger) *Front {
	return &Front{engine: engine, phase: phase, most: max(1, most), log: log, seed: maphash.MakeSeed(),
		conns: map[*conn]struct{}{}, callers: map[string]*conn{}}
}

// Serve accepts callers until the context ends or the listener fails.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	go f.watch(ctx)
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("sipfront: accept: %w", err)
		case err != nil: // no descriptor, or a connection that ended before it was taken: others will come
			f.log.Warn("accept", "error", err)
			time.Sleep(acceptPause)
		default:
			f.admit(c)
		}
	}
}

// SetRetryAfter has refusals say Retry-After (RFC 3261, 20.33) beside X-Cooldown.
func (f *Front) SetRetryAfter(on bool) { f.retryAfter.Store(on) }

// take starts a connection, in place of another where there are as many as may be.
func (f *Front) take(nc net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) >= f.most && !f.makeRoom() {
		f.log.Warn("too many connections", "open", len(f.conns))
		nc.Close()
		return
	}
	c := newConn(f, nc)
	f.conns[c] = struct{}{}
	go func() {
		f.engine.Linked(c.group)
		c.serve(stream.NewReader(nc))
	}()
}

// SetMost sets how many connections may be held; those over it go as their turn comes to make room.
func (f *Front) SetMost(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.most = max(1, n); len(f.conns) > f.most && f.makeRoom(); {
	}
}

// rank orders connections by what they are worth keeping: those that have said nothing go first, then those on
// which no call ever stood. Hundreds that connect and say nothing push each other out, not the usual callers.
func (c *conn) rank() int {
	switch {
	case !c.heard.Load():
		return 0
	case !c.hadCall.Load():
		return 1
	}
	return 2
}

// makeRoom ends the connection that is worth least and, among those, has been silent longest. The lock is held.
func (f *Front) makeRoom() bool {
	var least *conn
	for c := range f.conns {
		if c.idle() && (least == nil || c.rank() < least.rank() ||
			c.rank() == least.rank() && c.last.Load() < least.last.Load()) {
			least = c
		}
	}
	if least == nil || !least.evict() { // a set-up came in between
		return false
	}
	delete(f.conns, least)
	return true
}

// open takes a connection's first message that is not a test: releases that waited for a connection go out on it. Not
// before: one that says nothing, or only tests, may never read them.
func (f *Front) open(c *conn) {
	f.mu.Lock()
	unsent := f.unsent
	f.unsent = nil
	f.mu.Unlock()
	for _, r := range unsent {
		if time.Since(r.at) < releaseLast {
			f.release(c, r)
		}
	}
}

// gone takes a connection off.
func (f *Front) gone(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	if c.standing.Load() == 0 {
		return
	}
	for key, on := range f.callers {
		if on == c {
			delete(f.callers, key)
		}
	}
}

// stands notes that a call stands whose set-up came on a connection.
func (f *Front) stands(key string, on *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.conns[on]; open {
		f.callers[key] = on
		on.standing.Add(1)
	}
}

// over notes that a call that stood is over. The lock is held.
func (f *Front) over(key string) {
	if c := f.callers[key]; c != nil {
		delete(f.callers, key)
		c.standing.Add(-1)
	}
}

// hungUp notes that a caller has ended its call.
func (f *Front) hungUp(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over(key)
}

// watch repeats releases that were not acknowledged, and ends idle connections while the program drains.
func (f *Front) watch(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.repeatReleases(now)
			if since := f.phase.Since(lifecycle.Draining); since > drainKeep {
				f.closeIdle(now)
			}
		}
	}
}

// repeatReleases sends releases again on other connections that were not acknowledged: their own may be cut without a
// sign. Where callers acknowledge none, a connection counts as cut that has been silent since while another has not.
func (f *Front) repeatReleases(now time.Time) {
	acknowledged := f.acknowledged.Load()
	f.mu.Lock()
	var late []release
	var from []*conn
	for c := range f.conns {
		if !acknowledged && !f.silentAlone(c, now.Add(-repeatAfter)) {
			continue
		}
		for _, r := range c.unacknowledged(now) {
			late, from = append(late, r), append(from, c)
		}
	}
	f.mu.Unlock()
	for i, r := range late {
		f.log.Info("release_repeated", "call", r.key, "sent", r.sent, "after", now.Sub(r.at))
		f.releaseElsewhere(from[i], r)
	}
}

// silentAlone tells whether a connection has brought nothing since a time, and another has. The lock is held.
func (f *Front) silentAlone(c *conn, since time.Time) bool {
	if c.last.Load() > since.UnixNano() {
		return false
	}
	for other := range f.conns {
		if other != c && other.called.Load() && other.last.Load() > since.UnixNano() {
			return true
		}
	}
	return false
}

// closeIdle parts with the connections on which nothing is left. A set-up that crosses that is sent again by its caller.
func (f *Front) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.standing.Load() == 0 && !c.unsettled(now) {
			c.part(now)
		}
	}
}

// resendReleases sends the releases that may not have been read on a connection that is over on another.
func (f *Front) resendReleases(c *conn) {
	for _, r := range c.unreadReleases() {
		f.release(nil, r)
	}
}

// release tells a caller that a call is over, on the connection named if it is open, else on another: no connection
// owns a call that stands.
func (f *Front) release(on *conn, r release) {
	f.mu.Lock()
	f.over(r.key)
	_, open := f.conns[on]
	told := open && on.bye(r)
	f.mu.Unlock()
	f.log.Debug("call_released", "call", r.key, "cause", r.cause, "own_connection", told)
	if !told {
		f.releaseElsewhere(on, r)
	}
}

// releaseElsewhere tells a caller on another connection that a call is over: on the one of most worth that was heard
// last, or on the next.
func (f *Front) releaseElsewhere(than *conn, r release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []*conn
	for c := range f.conns {
		if c != than && c.called.Load() {
			others = append(others, c)
		}
	}
	slices.SortFunc(others, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.last.Load(), a.last.Load()))
	})
	for _, c := range others {
		if c.bye(r) {
			return
		}
	}
	f.log.Info("release_waits", "call", r.key, "connections", len(f.conns))
	if len(f.unsent) < mostReleases {
		f.unsent = append(f.unsent, r)
	}
}

// ReleaseOrphan releases a call whose connection is not known, as one that an earlier process set up.
func (f *Front) ReleaseOrphan(key string, cause core.Cause) {
	f.release(nil, release{key: key, cause: cause, at: time.Now()})
}

// Drain tells when the program may be killed, once it has been told to end.
func (f *Front) Drain(kill time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill = kill
}

// within cuts a wait that begins at a time short of the kill, where that is ahead. The lock is held.
func (f *Front) within(from time.Time, wait time.Duration) time.Duration {
	if left := f.kill.Sub(from); left > 0 {
		return max(endLeast, min(wait, left-killReserve))
	}
	return wait
}

// Unfinished is what a Shutdown has left, by reason.
type Unfinished struct {
	Unacknowledged int // releases written on connections that their callers had not ended
	Unsent         int // releases for which there was no connection
	Open           int // connections that their callers had not ended
}

// Shutdown ends all connections in order, once no call is left: each when it is settled, and those that never are when it
// is time. It returns once their callers have ended them too, at the given time at the latest. Meanwhile the engine has to
// go on: set-ups that still come are owed their refusals.
func (f *Front) Shutdown(until time.Time) Unfinished {
	for now := time.Now(); now.Before(until) && f.partSettled(now, until) > 0; now = time.Now() {
		time.Sleep(shutdownInterval)
	}
	f.mu.Lock()
	left := Unfinished{Unsent: len(f.unsent), Open: len(f.conns)}
	for c := range f.conns {
		left.Unacknowledged += c.releasesOut()
	}
	f.mu.Unlock()
	f.Close()
	return left
}

// Close ends all connections, whether what was written on them has been read or not.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Finish()
	}
	if f.paced != nil {
		f.paced.close()
	}
}

// partSettled parts with the connections that are settled, or with all when there is just time for that, and returns how
// many there are.
func (f *Front) partSettled(now, until time.Time) int {
	last := until.Sub(now) <= partWithin
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if last || !c.unsettled(now) {
			c.part(now)
		}
	}
	return len(f.conns)
}

// SetInService tells whether tests pass. Calls are taken all the same.
func (f *Front) SetInService(in bool) { f.out.Store(!in) }

// tested tells whether a test passes now.
func (f *Front) tested() bool {
	s := f.phase.State()
	return (s == lifecycle.Ready || s == lifecycle.Serving) && !f.out.Load()
}
