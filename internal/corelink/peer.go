package corelink

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"brookmux"
	"brookmux/internal/core"
)

const (
	redialLeast  = 100 * time.Millisecond // between two tries to reach a core without a call for it
	redialMost   = time.Second
	silentCut    = 3 * time.Second  // calls on a core that can't be reached again for so long are over
	mostReleases = 1024             // releases kept for a core's next connection
	releaseLast  = 10 * time.Second // and how long

	watchEvery   = 50 * time.Millisecond
	silentBehind = 300 * time.Millisecond // a connection this far behind the others of its core is of no use
	silentCount  = 3                      // if at least so many states came on those meanwhile
	silentAlone  = 800 * time.Millisecond // nothing after something was sent, and nothing on the others either
)

// peer is a core with the connections to it. The pool's lock guards it.
type peer struct {
	Core
	pool     *Pool
	cancel   context.CancelFunc
	wake     chan struct{} // a set-up waits: dial now
	links    map[*link]struct{}
	waiting  []core.Attempt // set-ups that wait for a connection
	releases []held         // for the next connection
	lostAt   time.Time      // when the last connection ended, zero once calls there were cut
	told     int            // states that came on all connections
	lead     *link          // whose word on the group counts
	replaced time.Time      // when a connection was last ended without another to compare it with
}

// held is a release that waits for a connection.
type held struct {
	line []byte
	at   time.Time
}

// drop ends a peer: releases that are queued still leave. The lock is held.
func (x *peer) drop() {
	for l := range x.links {
		l.Finish()
	}
	x.cancel()
}

// restarted ends the connections to a process that has gone since. The lock is held.
func (x *peer) restarted(at time.Time) {
	for l := range x.links {
		if l.up.Before(at) {
			l.Close()
		}
	}
}

// setUp sends a set-up on the best connection, or keeps it for the next one. The lock is held.
func (x *peer) setUp(a core.Attempt) {
	now := time.Now()
	var best *link
	for l := range x.links {
		if best == nil || l.better(best, now) {
			best = l
		}
	}
	if best != nil {
		best.setUp(a, now)
		return
	}
	x.waiting = append(x.waiting, a)
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// release writes a release, at once or on the next connection. A set-up is given up on its own connection.
func (x *peer) release(key string, cause core.Cause) {
	for i, a := range x.waiting {
		if a.Key == key { // it never left
			x.waiting = append(x.waiting[:i], x.waiting[i+1:]...)
			return
		}
	}
	line, now := causeLine("release", key, cause), time.Now()
	var best *link
	for l := range x.links {
		if _, own := l.open[key]; own {
			delete(l.open, key)
			l.send(line, now)
			return
		}
		if best == nil || l.better(best, now) {
			best = l
		}
	}
	switch {
	case best != nil:
		best.send(line, now)
	case len(x.releases) < mostReleases:
		x.releases = append(x.releases, held{line, now})
	}
}

// weed ends connections that stay open and bring nothing any more: after a spoilt or a missing answer a core
// may never use its connection again, and everything sent on it is lost. A group's state goes out on all
// connections alike, so one that falls behind the others is such a one. Where all are silent after something
// was sent, one is replaced, to have one to compare with. The lock is held.
func (x *peer) weed(now time.Time) {
	var quietest *link
	for l := range x.links {
		if now.Sub(l.heard) > silentBehind && x.told-l.mark >= silentCount {
			x.end(l, "behind the others")
		} else if !l.asked.IsZero() && now.Sub(l.asked) > silentAlone && (quietest == nil || l.heard.Before(quietest.heard)) {
			quietest = l
		}
	}
	if quietest == nil || now.Sub(x.replaced) < silentAlone {
		return
	}
	for l := range x.links {
		if l.heard.After(quietest.asked) {
			return // the core is there, and may take longer over a set-up
		}
		if len(l.open) < len(quietest.open) {
			quietest = l
		}
	}
	x.replaced = now
	x.end(quietest, "silent")
}

// leads tells whether a state of the group that came on a connection is news. A core says the same on each of
// them: the second copy is older than what was made of the first, and would free a circuit that is taken by now.
// One connection leads until it is over. The lock is held.
func (x *peer) leads(l *link) bool {
	if x.lead == nil {
		x.lead = l
	}
	return x.lead == l
}

// follow chooses the next connection to lead, the one heard last, and returns what it said of the group, or nil.
// The lock is held.
func (x *peer) follow() *brookmux.Report {
	if x.lead != nil {
		return nil
	}
	for l := range x.links {
		if l.state != nil && (x.lead == nil || l.heard.After(x.lead.heard)) {
			x.lead = l
		}
	}
	if x.lead == nil {
		return nil
	}
	return x.lead.state
}

// end closes a connection of no use. Its reader reports what was open there. The lock is held.
func (x *peer) end(l *link, why string) {
	x.pool.Log.Warn("core connection of no use", "core", x.ID, "why", why, "open", len(l.open),
		"silent", time.Since(l.heard))
	x.remove(l) // nothing more is sent there
	l.Close()
}

// remove takes a connection off. The lock is held.
func (x *peer) remove(l *link) {
	if delete(x.links, l); x.lead == l {
		x.lead = nil
	}
}

// run keeps one lane to the peer connected until its context ends.
func (x *peer) run(ctx context.Context) {
	pause := redialLeast
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: x.pool.within()}
		conn, err := dialer.DialContext(ctx, "tcp", x.Addr)
		if err == nil {
			if lived := x.serve(ctx, conn); lived > redialLeast {
				pause = redialLeast
				continue
			}
		} else {
			x.unreached(err)
		}
		select {
		case <-time.After(pause):
		case <-x.wake:
		case <-ctx.Done():
		}
		pause = min(2*pause, redialMost)
	}
	x.unreached(ctx.Err())
}

// unreached reports the set-ups that waited for a connection that did not come up, and calls that stood on a
// core whose process is gone or that stays away.
func (x *peer) unreached(err error) {
	x.pool.mu.Lock()
	if len(x.links) > 0 { // only this lane could not
		x.pool.mu.Unlock()
		return
	}
	waiting := x.waiting
	x.waiting = nil
	died := !x.lostAt.IsZero() &&
		(errors.Is(err, syscall.ECONNREFUSED) || time.Since(x.lostAt) > silentCut)
	if died {
		x.lostAt = time.Time{}
	}
	x.pool.mu.Unlock()
	if died {
		x.pool.Log.Warn("core gone", "core", x.ID, "error", err)
		x.pool.events.Lost(x.ID, nil, core.Loss{Cut: true, Before: -1, Outcome: lost})
	}
	if len(waiting) > 0 {
		keys := make([]string, len(waiting))
		for i, a := range waiting {
			keys[i] = a.Key
		}
		x.pool.events.Lost(x.ID, keys, core.Loss{Outcome: unreached})
	}
}
