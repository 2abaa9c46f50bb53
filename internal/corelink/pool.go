package corelink

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/liveness"
	"brookmux/internal/settings"
	"brookmux/internal/stream"
)

const (
	defaultConnectTimeout = 500 * time.Millisecond
	shutdownPollInterval  = 10 * time.Millisecond
)

// Core is an entry of the membership list: a core that may be reached.
type Core struct {
	ID       brookmux.SwitchID
	Addr     string
	Since    time.Duration // time of its last start, relative to Config.Origin
	Draining bool          // no new set-ups may be sent to it
}

// Config configures a Pool.
type Config struct {
	ConnectTimeout time.Duration // maximum time for a connection to come up; a default applies if it is not positive
	IdleTimeout    time.Duration // time after which cores close idle connections, 0 if it is not known
	Connections    int           // number of connections to each core, at least 1
	Origin         time.Time     // zero of the engine's clock
	Log            *slog.Logger
}

// Pool maintains the connections to all cores. Create it with New, and pass the list of cores to Update.
type Pool struct {
	Config
	ctx    context.Context
	events core.Events

	mu             sync.Mutex
	endpoints      map[brookmux.SwitchID]*endpoint
	lastConnection liveness.ConnectionID
	dialers        sync.WaitGroup // goroutines that open and supervise connections
	readers        sync.WaitGroup // goroutines that read open connections
	watcher        sync.WaitGroup
}

// New returns a Pool without cores. Its connections end with the context.
func New(ctx context.Context, c Config) *Pool {
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	c.Connections = max(1, c.Connections)
	return &Pool{Config: c, ctx: ctx, endpoints: map[brookmux.SwitchID]*endpoint{}}
}

// Serve sets the receiver of the events and starts the goroutine that watches the connections. It must be called once,
// before Update.
func (p *Pool) Serve(events core.Events) {
	p.events = events
	p.watcher.Go(p.watch)
}

// sinceOrigin converts a time to the engine's clock.
func (p *Pool) sinceOrigin(t time.Time) time.Duration { return t.Sub(p.Origin) }

// watch periodically closes unusable connections and reports expired calls, until the context ends.
func (p *Pool) watch() {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-tick.C:
			p.checkCores(now)
		}
	}
}

// checkCores checks all cores once and reports the calls whose lease has expired.
func (p *Pool) checkCores(now time.Time) {
	expired := map[brookmux.SwitchID][]liveness.Expiry{}
	p.mu.Lock()
	for id, e := range p.endpoints {
		e.closeStalled(now)
		if x := e.tickLease(now); len(x) > 0 {
			expired[id] = x
		}
		if e.unlisted && e.carriesNothing() {
			e.drop()
			delete(p.endpoints, id)
		}
	}
	p.mu.Unlock()
	for id, list := range expired {
		for _, x := range list {
			reason := expiryLosses[x.Reason]
			mayStand := reason == core.LossSilent || reason == core.LossUndecided
			p.events.Lost(id, x.Calls, core.Loss{Reason: reason, Cut: true, MayStand: mayStand, Outcome: lostOutcome})
		}
	}
}

// expiryLosses maps why a lease has ended to the loss of its calls.
var expiryLosses = map[liveness.Reason]core.LossReason{
	liveness.ReasonExpired:   core.LossSilent,
	liveness.ReasonUndecided: core.LossUndecided,
	liveness.ReasonRefused:   core.LossRefused,
	liveness.ReasonReplaced:  core.LossMissing,
}

// endedCalls identifies the calls on a core that have ended: those sent to it before a time, or all of them if the time
// is negative.
type endedCalls struct {
	id        brookmux.SwitchID
	reason    core.LossReason
	before    time.Duration
	except    []string       // keys of calls that have not ended
	unreached []core.Attempt // set-ups that were never sent
}

// report reports the calls as lost, after the set-ups that were never sent.
func (p *Pool) report(d endedCalls) {
	p.reportUnreached(d.id, d.unreached)
	p.events.Lost(d.id, nil, core.Loss{Reason: d.reason, Cut: true, Before: d.before, Except: d.except, Outcome: lostOutcome})
}

// takeover records that the endpoint of an unlisted core passes to a newly listed core at the same address. That core
// was reached under the ID of the unlisted one until the membership list named it.
type takeover struct {
	endpoint *endpoint
	to       brookmux.SwitchID
	ended    endedCalls // under the former ID
}

// Update applies the whole membership list of running cores. It reports as lost the calls on cores that are no longer
// listed or have another address, and those on earlier processes of a core. Calls at the address of an unlisted core
// that may be on the process of a newly listed one there are moved to the new core, see liveness.Lease.HandOver.
func (p *Pool) Update(cores []Core) {
	p.mu.Lock()
	moved := p.takeovers(cores)
	ended := p.dropUnlisted(cores)
	for _, c := range cores {
		ended = append(ended, p.updateCore(c)...)
	}
	p.mu.Unlock()
	for _, d := range ended {
		p.report(d)
	}
	for _, t := range moved {
		p.report(t.ended)
		p.events.Moved(t.ended.id, t.to)
		t.endpoint.listedID.Store(uint32(t.to)) // after Moved: events until then carry the old ID
	}
}

// takeovers assigns the endpoints of unlisted cores to the new cores that have started at their addresses. An endpoint
// without calls passes only to a core whose start is listed: its set-ups are lost otherwise. The lock is held.
func (p *Pool) takeovers(cores []Core) (found []takeover) {
	listed := map[brookmux.SwitchID]bool{}
	for _, c := range cores {
		listed[c.ID] = true
	}
	for _, c := range cores {
		if p.endpoints[c.ID] != nil {
			continue
		}
		for id, e := range p.endpoints {
			if listed[id] || e.Addr != c.Addr || c.Since <= 0 && e.lease.Calls() == 0 {
				continue
			}
			found = append(found, takeover{e, c.ID, p.handOver(e, id, c, core.LossReplaced)})
			delete(p.endpoints, id)
			p.endpoints[c.ID] = e
			break
		}
	}
	return found
}

// handOver passes an endpoint to a listed core and returns what has ended under the endpoint's ID. The lock is held.
func (p *Pool) handOver(e *endpoint, id brookmux.SwitchID, to Core, reason core.LossReason) endedCalls {
	kept, unreached := e.handOver(to)
	return endedCalls{id: id, reason: reason, before: p.sinceOrigin(time.Now()), except: kept, unreached: unreached}
}

// dropUnlisted drops the endpoints of cores that are not listed, and of those whose old address now belongs to a new
// core: the connections lead to that core. An endpoint whose address nobody has is kept while calls stand there on a
// process that is known to be another one. The lock is held.
func (p *Pool) dropUnlisted(cores []Core) (ended []endedCalls) {
	listed, byAddr := map[brookmux.SwitchID]bool{}, map[string]brookmux.SwitchID{}
	for _, c := range cores {
		listed[c.ID], byAddr[c.Addr] = true, c.ID
	}
	for id, old := range p.endpoints {
		owner, taken := byAddr[old.Addr]
		if listed[id] && (!taken || owner == id || p.endpoints[owner] != nil) || old.unlisted && !taken {
			continue
		}
		var kept []string
		if !taken {
			kept = old.keepUnlisted()
		}
		if len(kept) > 0 {
			ended = append(ended, endedCalls{id: id, reason: core.LossUnlisted, before: -1, except: kept})
		} else {
			old.drop()
			delete(p.endpoints, id)
			ended = append(ended, endedCalls{id: id, reason: core.LossUnlisted, before: -1})
		}
	}
	return ended
}

// updateCore applies an entry of the membership list and returns the calls that it ends. The lock is held.
func (p *Pool) updateCore(c Core) (ended []endedCalls) {
	e := p.endpoints[c.ID]
	switch {
	case e == nil:
		p.addCore(c)
		return nil
	case e.Addr != c.Addr:
		ended = append(ended, endedCalls{id: c.ID, reason: core.LossMoved, before: -1})
		e.drop()
		p.addCore(c)
		return ended
	case c.Since > e.Since: // an entry without a start time does not report a start
		ended = append(ended, p.handOver(e, c.ID, c, core.LossRestarted))
	}
	e.Since, e.Draining, e.unlisted = max(e.Since, c.Since), c.Draining, false
	if c.Draining { // they must not be sent when a connection comes up later
		e.failWaiting()
	}
	return ended
}

// reportUnreached reports set-ups for which no connection was available.
func (p *Pool) reportUnreached(id brookmux.SwitchID, waiting []core.Attempt) {
	if len(waiting) == 0 {
		return
	}
	keys := make([]string, len(waiting))
	for i, a := range waiting {
		keys[i] = a.Key
	}
	p.events.Lost(id, keys, core.Loss{Reason: core.LossNotReached, Outcome: notReachedOutcome})
}

// lostOutcome is the outcome of set-ups and calls whose core or connection has ended.
var lostOutcome = core.Outcome{Result: brookmux.ResultReset, Report: settings.EmptyReport(), Cause: core.TemporaryFailure}

// notReachedOutcome is the outcome of a set-up for which no connection was available: it was never attempted at a core.
var notReachedOutcome = core.Outcome{Result: brookmux.ResultConnectFailed, Report: settings.EmptyReport()}

// addCore adds an endpoint and starts its dialers. The lock is held.
func (p *Pool) addCore(c Core) {
	ctx, cancel := context.WithCancel(p.ctx)
	e := &endpoint{Core: c, pool: p, ctx: ctx, cancel: cancel, wake: make(chan struct{}, p.Connections),
		connections: map[*connection]struct{}{}, lease: liveness.New(p.IdleTimeout)}
	e.listedID.Store(uint32(c.ID))
	p.endpoints[c.ID] = e
	for range p.Connections {
		p.dialers.Go(func() { e.run(ctx) })
	}
}

// SetConnectTimeout sets the maximum time for a connection to come up. It applies from the next connection on. The
// default applies if d is not positive.
func (p *Pool) SetConnectTimeout(d time.Duration) {
	if d <= 0 {
		d = defaultConnectTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ConnectTimeout = d
}

// connectTimeout returns the maximum time for a connection to come up.
func (p *Pool) connectTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ConnectTimeout
}

// Wait blocks until all goroutines of the Pool have ended. The context must be cancelled for that.
func (p *Pool) Wait() {
	p.dialers.Wait()
	p.readers.Wait()
	p.watcher.Wait()
}

// Unfinished counts what was left when Shutdown returned.
type Unfinished struct {
	Unsent int // releases for which there was no connection
	Open   int // connections that the cores had not closed
}

// Shutdown closes all connections in order. It must be called when no set-up is open, and nothing may be set up
// afterwards. For up to half the time until the deadline it waits for connections for the releases that need one. It
// then closes the writing halves, and returns when the cores have closed the connections or the deadline has passed.
func (p *Pool) Shutdown(deadline time.Time) Unfinished {
	for half := time.Until(deadline) / 2; p.unsentReleases() > 0 && time.Until(deadline) > half; {
		time.Sleep(shutdownPollInterval)
	}
	unfinished := Unfinished{Unsent: p.unsentReleases()}
	p.mu.Lock()
	for _, e := range p.endpoints {
		e.finish()
	}
	p.mu.Unlock()
	for time.Now().Before(deadline) && p.openConnections() > 0 {
		time.Sleep(shutdownPollInterval)
	}
	unfinished.Open = p.openConnections()
	return unfinished
}

// unsentReleases returns the number of releases that wait for a connection.
func (p *Pool) unsentReleases() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.endpoints {
		n += len(e.releases)
	}
	return n
}

// openConnections returns the number of open connections.
func (p *Pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.endpoints {
		n += len(e.connections)
	}
	return n
}

// AnswersWait reports whether input of a core is unread.
func (p *Pool) AnswersWait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sockets []any
	for _, e := range p.endpoints {
		for c := range e.connections {
			sockets = append(sockets, c.conn)
		}
	}
	return stream.AnyUnread(sockets)
}

// SetUp implements core.Trunks.
func (p *Pool) SetUp(to brookmux.SwitchID, a core.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[to]; e != nil {
		e.setUp(a)
		return
	}
	// Asynchronous: the event receiver is the caller.
	go p.reportUnreached(to, []core.Attempt{a})
}

// Release implements core.Trunks.
func (p *Pool) Release(to brookmux.SwitchID, key string, cause core.Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[to]; e != nil {
		e.release(key, cause)
	}
}

// ReleaseAnywhere implements core.Trunks.
func (p *Pool) ReleaseAnywhere(key string, cause core.Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		e.release(key, cause)
	}
}
