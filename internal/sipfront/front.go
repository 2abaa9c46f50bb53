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

	mu     sync.Mutex
	conns  map[*conn]struct{}
	unsent []release // no connection was open for them
}

// release is a call that stood and is over.
type release struct {
	key   string
	cause core.Cause
	at    time.Time
}

// New returns a Front that holds at most so many connections.
func New(engine Engine, phase *lifecycle.Lifecycle, most int, log *slog.Logger) *Front {
	return &Front{engine: engine, phase: phase, most: max(1, most), log: log, seed: maphash.MakeSeed(),
		conns: map[*conn]struct{}{}}
}

// Serve accepts callers until the context ends or the listener fails.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
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
			f.come(c)
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
	case !c.proved.Load():
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

// open takes a connection's first message: releases that waited for a connection go out on it. Not before: one
// that says nothing may never read them.
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
}

// retell sends the releases that may not have been read on a connection that is over on another.
func (f *Front) retell(c *conn) {
	for _, r := range c.unheard() {
		f.release(nil, r)
	}
}

// release tells a caller that a call is over, on the connection named if it is open, else on the one of most
// worth that was heard last, else on the next: no connection owns a call that stands.
func (f *Front) release(on *conn, r release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.conns[on]; open && on.bye(r) {
		return
	}
	var others []*conn
	for c := range f.conns {
		if c != on && c.heard.Load() {
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
	if len(f.unsent) < mostReleases {
		f.unsent = append(f.unsent, r)
	}
}

// Stray releases a call whose connection is not known, as one that an earlier process set up.
func (f *Front) Stray(key string, cause core.Cause) { f.release(nil, release{key, cause, time.Now()}) }

// Close ends all connections once what is queued on them has been written.
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

// SetInService tells whether tests pass. Calls are taken all the same.
func (f *Front) SetInService(in bool) { f.out.Store(!in) }

// tested tells whether a test passes now.
func (f *Front) tested() bool {
	s := f.phase.State()
	return (s == lifecycle.Ready || s == lifecycle.Serving) && !f.out.Load()
}
