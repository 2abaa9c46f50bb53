package sipfront

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/lifecycle"
	"brookmux/internal/stream"
)

const (
	resendWindow      = 2 * time.Second  // releases written this shortly before a connection ends are resent
	maxUnsentReleases = 4096             // releases kept until a connection is available
	maxTestReleases   = 64               // releases written at once to a connection that only tests
	releaseLifetime   = 30 * time.Second // then unsent ones are dropped: the caller was informed otherwise or has left
	acceptRetryDelay  = 20 * time.Millisecond

	watchInterval   = 50 * time.Millisecond
	repeatAfter     = 500 * time.Millisecond // unacknowledged releases are then sent on another connection; after a lease, within 8 s
	maxReleaseSends = 5                      // per release, the first included
	minDrainTime    = 800 * time.Millisecond // after SIGTERM, all connections stay open at least this long,
	drainIdleTime   = 100 * time.Millisecond // and then until they have received nothing for this long
	drainSetUpTime  = time.Second            // or, if set-ups go on in the drain, no set-up for this long

	drainAckWait     = 500 * time.Millisecond // a draining connection waits this long for an acknowledgement
	closeTimeout     = time.Second            // and, half-closed, this long for the caller to close it
	minCloseWait     = 100 * time.Millisecond // lower bound of both waits when the kill time shortens them
	killReserve      = 250 * time.Millisecond // time kept before the kill for closing the connections to the cores
	shutdownInterval = 10 * time.Millisecond
)

// Engine handles the requests of a front; *core.Engine implements it. CallerConnected reports a new connection of a
// caller group. Withdraw and Hangup report through then whether the call was known and, for Withdraw, whether its
// set-up was pending.
type Engine interface {
	CallerConnected(group string)
	Offer(r core.Request)
	Withdraw(who core.Caller, key string, then func(pending, known bool))
	CallerLost(who core.Caller, keys []string)
	Hangup(who core.Caller, key string, cause core.Cause, then func(known bool))
}

// Front accepts and serves the callers' SIP connections.
type Front struct {
	engine       Engine
	phase        *lifecycle.Lifecycle
	log          *slog.Logger
	maxConns     int         // connections held at a time
	outOfService atomic.Bool // OPTIONS is answered with 503
	seed         maphash.Seed

	shares      shareCounter // of the set-ups in progress
	retryAfter  atomic.Bool  // rejections carry Retry-After in addition to X-Cooldown
	acceptQueue *acceptQueue // paces new connections; nil if they are served at once

	callersAcknowledge atomic.Bool // a caller has acknowledged a release

	mu        sync.Mutex
	listener  net.Listener // the last one passed to Serve
	conns     map[*conn]struct{}
	killAt    time.Time        // when the process may be killed, zero before SIGTERM
	unsent    []release        // waiting for a connection that is used for calls
	callConns map[string]*conn // connection that set up each standing call
}

// New returns a Front that holds at most maxConns connections, but at least one.
func New(engine Engine, phase *lifecycle.Lifecycle, maxConns int, log *slog.Logger) *Front {
	return &Front{engine: engine, phase: phase, maxConns: max(1, maxConns), log: log, seed: maphash.MakeSeed(),
		conns: map[*conn]struct{}{}, callConns: map[string]*conn{}}
}

// Serve accepts connections from l until the context ends, in which case it returns nil, or the listener is closed.
// Connections that are already open stay open. It closes l when the context ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	f.mu.Lock()
	f.listener = l
	f.mu.Unlock()
	go f.watch(ctx)
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("sipfront: accept: %w", err)
		case err != nil: // out of descriptors, or the connection was aborted before accept: later ones can succeed
			f.log.Warn("accept", "error", err)
			time.Sleep(acceptRetryDelay)
		default:
			f.admit(c)
		}
	}
}

// SetRetryAfter sets whether rejections carry Retry-After (RFC 3261, 20.33) in addition to X-Cooldown.
func (f *Front) SetRetryAfter(on bool) { f.retryAfter.Store(on) }

// addConn starts serving a connection. At the limit it evicts another one, or closes the new one if none can be
// evicted.
func (f *Front) addConn(nc net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) >= f.maxConns && !f.evictOne() {
		f.log.Warn("too many connections", "open", len(f.conns))
		nc.Close()
		return
	}
	c := newConn(f, nc)
	f.conns[c] = struct{}{}
	go func() {
		f.engine.CallerConnected(c.group)
		c.serve(stream.NewReader(nc))
	}()
}

// SetMaxConns sets the maximum number of connections, at least one. Idle connections above it are evicted at once; the
// number stays above it while the others have pending set-ups.
func (f *Front) SetMaxConns(maxConns int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.maxConns = max(1, maxConns); len(f.conns) > f.maxConns && f.evictOne(); {
	}
}

// rank returns the priority of a connection: lower ranks are evicted first. It is 0 before the first message, 1
// before the first standing call, and 2 after that. So hundreds of connections that send nothing evict each other and
// not the regular callers.
func (c *conn) rank() int {
	switch {
	case !c.received.Load():
		return 0
	case !c.hadCall.Load():
		return 1
	}
	return 2
}

// evictOne evicts the idle connection of the lowest rank that has received nothing for the longest time, and reports
// whether it did. The lock must be held.
func (f *Front) evictOne() bool {
	var victim *conn
	for c := range f.conns {
		if c.idle() && (victim == nil || c.rank() < victim.rank() ||
			c.rank() == victim.rank() && c.lastReceived.Load() < victim.lastReceived.Load()) {
			victim = c
		}
	}
	if victim == nil || !victim.evict() { // a set-up arrived in between
		return false
	}
	delete(f.conns, victim)
	return true
}

// removeConn removes a connection and the records of the standing calls set up on it.
func (f *Front) removeConn(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	if c.standingCalls.Load() == 0 {
		return
	}
	for key, callConn := range f.callConns {
		if callConn == c {
			delete(f.callConns, key)
		}
	}
}

// addStandingCall records that a call set up on a connection stands.
func (f *Front) addStandingCall(key string, on *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.conns[on]; open {
		f.callConns[key] = on
		on.standingCalls.Add(1)
	}
}

// removeStandingCall records that a standing call has ended. The lock must be held.
func (f *Front) removeStandingCall(key string) {
	if c := f.callConns[key]; c != nil {
		delete(f.callConns, key)
		c.standingCalls.Add(-1)
	}
}

// callerHungUp records that a caller has ended its call.
func (f *Front) callerHungUp(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeStandingCall(key)
}

// watch repeats unacknowledged releases, and closes idle connections while the program drains. It returns when the
// context ends.
func (f *Front) watch(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.repeatReleases(now)
			if since := f.phase.Since(lifecycle.Draining); since > minDrainTime {
				f.closeIdle(now)
			}
		}
	}
}

// closeIdle gracefully closes the connections without pending set-ups, standing calls or expected messages. A set-up
// that crosses the close is resent by its caller.
func (f *Front) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.standingCalls.Load() == 0 && !c.expectsTraffic(now) {
			c.closeGracefully(now)
		}
	}
}

// SetKillTime sets the time at which the process may be killed. It is called on SIGTERM; waits for callers are then
// shortened to end before that time.
func (f *Front) SetKillTime(killAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killAt = killAt
}

// limitWait shortens a wait that begins at from to end killReserve before the kill time, but not below minCloseWait.
// It returns the wait unchanged if no kill time lies after from. The lock must be held.
func (f *Front) limitWait(from time.Time, wait time.Duration) time.Duration {
	if untilKill := f.killAt.Sub(from); untilKill > 0 {
		return max(minCloseWait, min(wait, untilKill-killReserve))
	}
	return wait
}

// Unfinished counts the releases and connections that Shutdown could not complete.
type Unfinished struct {
	Unacknowledged int // releases written to the remaining connections and not acknowledged
	Unsent         int // releases that found no connection
	Open           int // connections that the callers had not closed
}

// Shutdown closes all connections gracefully; it is called when no call is left. Each is closed once no more messages
// are expected on it, or closeTimeout before the deadline. It returns when the callers have closed theirs too and no
// connection waits to be accepted, or at the deadline. The engine must keep running meanwhile, to reject set-ups that
// still arrive.
func (f *Front) Shutdown(deadline time.Time) Unfinished {
	for now := time.Now(); now.Before(deadline) && (f.closeSettled(now, deadline) > 0 || f.mustAccept()); now = time.Now() {
		time.Sleep(shutdownInterval)
	}
	f.mu.Lock()
	unfinished := Unfinished{Unsent: len(f.unsent), Open: len(f.conns)}
	for c := range f.conns {
		unfinished.Unacknowledged += c.numUnacknowledged()
	}
	f.mu.Unlock()
	f.Close()
	return unfinished
}

// Close closes all connections after writing their queued output, without waiting for the callers to read it. It also
// closes the connections that wait to be served and those accepted later.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Finish()
	}
	if f.acceptQueue != nil {
		f.acceptQueue.close()
	}
}

// mustAccept reports whether a connection waits to be accepted.
func (f *Front) mustAccept() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return stream.HasUnread(f.listener)
}

// closeSettled gracefully closes the connections on which no message is expected, or all of them from closeTimeout
// before the deadline on. It returns the number of connections that are open.
func (f *Front) closeSettled(now, deadline time.Time) int {
	closeAll := deadline.Sub(now) <= closeTimeout
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if closeAll || !c.expectsTraffic(now) {
			c.closeGracefully(now)
		}
	}
	return len(f.conns)
}

// SetInService sets whether OPTIONS requests may succeed. Set-ups are accepted in either case.
func (f *Front) SetInService(inService bool) { f.outOfService.Store(!inService) }

// available reports whether OPTIONS is answered with 200: the program is ready and in service.
func (f *Front) available() bool {
	s := f.phase.State()
	return (s == lifecycle.Ready || s == lifecycle.Serving) && !f.outOfService.Load()
}
