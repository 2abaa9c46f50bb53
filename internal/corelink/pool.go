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
)

const (
	defaultConnectTimeout = 500 * time.Millisecond
	shutdownInterval      = 10 * time.Millisecond
)

// Core is a line of the list: a core that may be reached.
type Core struct {
	ID       brookmux.SwitchID
	Addr     string
	Since    time.Duration // of its last start, on the clock whose zero is Config.Origin
	Draining bool          // nothing new may be sent to it
}

// Config is what a Pool is made of.
type Config struct {
	ConnectTimeout time.Duration // a connection must come up in this time
	Connections    int           // to each core
	Origin         time.Time     // the clock's zero
	Log            *slog.Logger
}

// Pool is the set of connections to all cores. Use New; Update says which cores there are.
type Pool struct {
	Config
	ctx    context.Context
	events core.Events

	mu             sync.Mutex
	endpoints      map[brookmux.SwitchID]*endpoint
	lastConnection liveness.ConnectionID
	keepers        sync.WaitGroup // a goroutine for each connection that is to be open
	readers        sync.WaitGroup // and for each that is
	watcher        sync.WaitGroup
}

// New returns a Pool without cores, whose connections end with the context.
func New(ctx context.Context, c Config) *Pool {
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	c.Connections = max(1, c.Connections)
	return &Pool{Config: c, ctx: ctx, endpoints: map[brookmux.SwitchID]*endpoint{}}
}

// Serve names who takes the events and starts to watch the connections; it is called once, before Update.
func (p *Pool) Serve(events core.Events) {
	p.events = events
	p.watcher.Go(p.watch)
}

// clock is a time on the clock of the engine.
func (p *Pool) clock(t time.Time) time.Duration { return t.Sub(p.Origin) }

// watch looks for connections of no use and for calls whose core is silent, until the context ends.
func (p *Pool) watch() {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-tick.C:
			p.examine(now)
		}
	}
}

// examine looks at all cores once.
func (p *Pool) examine(now time.Time) {
	expired := map[brookmux.SwitchID][]liveness.Expiry{}
	p.mu.Lock()
	for id, e := range p.endpoints {
		e.closeStalled(now)
		if x := e.renewLease(now); len(x) > 0 {
			expired[id] = x
		}
	}
	p.mu.Unlock()
	for id, list := range expired {
		for _, x := range list {
			// Only silence leaves it open whether the core still has the calls.
			p.events.Lost(id, x.Calls, core.Loss{Cut: true, Unsure: x.Reason == liveness.ReasonSilent, Outcome: lost})
		}
	}
}

// over is a core whose calls are over: all of them, or those that were sent before it started again.
type over struct {
	id     brookmux.SwitchID
	before time.Duration
}

// takeover is a core that was reached under another's id until the list told of it: it has that core's address.
type takeover struct {
	endpoint *endpoint
	from     brookmux.SwitchID
	to       Core
}

// Update takes the whole list of the cores that run. Calls on a core that is no longer there are over, and
// those that were sent to one before it started again. Those that were sent to another core's address after this core
// started there are this core's.
func (p *Pool) Update(cores []Core) {
	p.mu.Lock()
	taken := p.takeovers(cores)
	dead := p.dropUnlisted(cores)
	for _, c := range cores {
		dead = append(dead, p.update(c)...)
	}
	p.mu.Unlock()
	for _, d := range dead {
		p.events.Lost(d.id, nil, core.Loss{Cut: true, Before: d.before, Outcome: lost})
	}
	for _, t := range taken {
		p.events.Lost(t.from, nil, core.Loss{Cut: true, Before: t.to.Since, Outcome: lost})
		p.events.Moved(t.from, t.to.ID)
		t.endpoint.listedAs.Store(uint32(t.to.ID)) // after the engine has it: what comes until then has the old id
	}
}

// takeovers hands the endpoints of cores that are gone to those that have started at their addresses since. The lock is
// held.
func (p *Pool) takeovers(cores []Core) (taken []takeover) {
	listed := map[brookmux.SwitchID]bool{}
	for _, c := range cores {
		listed[c.ID] = true
	}
	for _, c := range cores {
		if p.endpoints[c.ID] != nil || c.Since <= 0 {
			continue
		}
		for id, e := range p.endpoints {
			if listed[id] || e.Addr != c.Addr {
				continue
			}
			e.restarted(c.Since)
			e.Since, e.Draining = c.Since, c.Draining
			delete(p.endpoints, id)
			p.endpoints[c.ID] = e
			taken = append(taken, takeover{e, id, c})
			break
		}
	}
	return taken
}

// dropUnlisted drops the cores that are not listed, or whose address is another's by now: what is connected there is
// not theirs. The lock is held.
func (p *Pool) dropUnlisted(cores []Core) (dead []over) {
	listed, at := map[brookmux.SwitchID]bool{}, map[string]brookmux.SwitchID{}
	for _, c := range cores {
		listed[c.ID], at[c.Addr] = true, c.ID
	}
	for id, old := range p.endpoints {
		if owner, taken := at[old.Addr]; !listed[id] || taken && owner != id && p.endpoints[owner] == nil {
			old.drop()
			delete(p.endpoints, id)
			dead = append(dead, over{id: id, before: -1})
		}
	}
	return dead
}

// update takes a line of the list. The lock is held.
func (p *Pool) update(c Core) (dead []over) {
	old := p.endpoints[c.ID]
	switch {
	case old == nil:
		p.add(c)
		return nil
	case old.Addr != c.Addr:
		dead = append(dead, over{id: c.ID, before: -1})
		old.drop()
		p.add(c)
		return dead
	case c.Since > old.Since: // a list that has lost the time of the start tells of no start
		// Connections that came up since then are to the new process, and so are the calls on them.
		dead = append(dead, over{c.ID, c.Since})
		old.restarted(c.Since)
	}
	old.Since, old.Draining = max(old.Since, c.Since), c.Draining
	if c.Draining && len(old.waiting) > 0 { // they would be sent whenever a connection comes up
		waiting := old.waiting
		old.waiting = nil
		go p.unreached(c.ID, waiting) // not from here: the lock is held
	}
	return dead
}

// unreached reports set-ups that found no connection.
func (p *Pool) unreached(at brookmux.SwitchID, waiting []core.Attempt) {
	if len(waiting) == 0 {
		return
	}
	keys := make([]string, len(waiting))
	for i, a := range waiting {
		keys[i] = a.Key
	}
	p.events.Lost(at, keys, core.Loss{Outcome: notReached})
}

// lost is the outcome of what was open at a core, or at a connection, that is no more.
var lost = core.Outcome{Result: brookmux.ResultReset, Report: settings.NoReport(), Cause: core.TemporaryFailure}

// notReached is the outcome of a set-up that found no connection: it never ran.
var notReached = core.Outcome{Result: brookmux.ResultConnectFailed, Report: settings.NoReport()}

// add starts an endpoint. The lock is held.
func (p *Pool) add(c Core) {
	ctx, cancel := context.WithCancel(p.ctx)
	e := &endpoint{Core: c, pool: p, ctx: ctx, cancel: cancel, wake: make(chan struct{}, p.Connections),
		connections: map[*connection]struct{}{}, lease: liveness.New()}
	e.listedAs.Store(uint32(c.ID))
	p.endpoints[c.ID] = e
	for range p.Connections {
		p.keepers.Go(func() { e.run(ctx) })
	}
}

// SetConnectTimeout sets the time in which a connection must come up, from the next one on.
func (p *Pool) SetConnectTimeout(d time.Duration) {
	if d <= 0 {
		d = defaultConnectTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ConnectTimeout = d
}

// connectTimeout is the time in which a connection must come up.
func (p *Pool) connectTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ConnectTimeout
}

// Wait returns once all connections are over, after the context has ended.
func (p *Pool) Wait() {
	p.keepers.Wait()
	p.readers.Wait()
	p.watcher.Wait()
}

// Unfinished is what a Shutdown has left, by reason.
type Unfinished struct {
	Unsent int // releases for which there was no connection
	Open   int // connections that their cores had not ended
}

// Shutdown ends all connections in order, once no set-up is open: releases that wait for a connection get one if it comes
// up in time, then the writing halves are ended, and it returns when the cores have ended them too, at the given time at
// the latest. Nothing may be set up any more.
func (p *Pool) Shutdown(until time.Time) Unfinished {
	for half := time.Until(until) / 2; p.unsentReleases() > 0 && time.Until(until) > half; {
		time.Sleep(shutdownInterval)
	}
	left := Unfinished{Unsent: p.unsentReleases()}
	p.mu.Lock()
	for _, e := range p.endpoints {
		e.finish()
	}
	p.mu.Unlock()
	for time.Now().Before(until) && p.openConnections() > 0 {
		time.Sleep(shutdownInterval)
	}
	left.Open = p.openConnections()
	return left
}

// unsentReleases is how many releases wait for a connection.
func (p *Pool) unsentReleases() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.endpoints {
		n += len(e.releases)
	}
	return n
}

// openConnections is how many connections are up.
func (p *Pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.endpoints {
		n += len(e.connections)
	}
	return n
}

// SetUp implements core.Trunks.
func (p *Pool) SetUp(to brookmux.SwitchID, a core.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[to]; e != nil {
		e.setUp(a)
		return
	}
	// Not from here: the owner calls this.
	go p.unreached(to, []core.Attempt{a})
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
