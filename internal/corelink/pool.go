package corelink

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/settings"
)

const defaultWithin = 500 * time.Millisecond

// Core is a line of the list: a core that may be reached.
type Core struct {
	ID    brookmux.SwitchID
	Addr  string
	Since time.Duration
}

// Config is what a Pool is made of.
type Config struct {
	Within time.Duration // a connection must come up in this time
	Lanes  int           // connections to each core
	Origin time.Time     // the clock's zero
	Log    *slog.Logger
}

// Pool is the set of connections. Use New; Update says which cores there are.
type Pool struct {
	Config
	ctx    context.Context
	events core.Events

	mu    sync.Mutex
	peers map[brookmux.SwitchID]*peer
	lanes sync.WaitGroup // a goroutine for each
	watch sync.WaitGroup
}

// New returns a Pool without cores, whose connections end with the context.
func New(ctx context.Context, c Config) *Pool {
	if c.Within <= 0 {
		c.Within = defaultWithin
	}
	c.Lanes = max(1, c.Lanes)
	return &Pool{Config: c, ctx: ctx, peers: map[brookmux.SwitchID]*peer{}}
}

// Serve names who takes the events and starts to watch the connections; it is called once, before Update.
func (p *Pool) Serve(events core.Events) {
	p.events = events
	p.watch.Go(p.weed)
}

// weed looks for connections that are open and of no use, until the context ends.
func (p *Pool) weed() {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-tick.C:
			p.mu.Lock()
			for _, x := range p.peers {
				x.weed(now)
			}
			p.mu.Unlock()
		}
	}
}

// over is a core whose calls are over: all of them, or those that were sent before it started again.
type over struct {
	id     brookmux.SwitchID
	before time.Duration
}

// Update takes the whole list of the cores that run. Calls on a core that is no longer there are over, and
// those that were sent to one before it started again.
func (p *Pool) Update(cores []Core) {
	var dead []over
	p.mu.Lock()
	listed, at := map[brookmux.SwitchID]bool{}, map[string]brookmux.SwitchID{}
	for _, c := range cores {
		listed[c.ID], at[c.Addr] = true, c.ID
	}
	for id, old := range p.peers {
		// An address that has passed on to another core leads to that one: what is connected there is not ours.
		if taker, taken := at[old.Addr]; !listed[id] || taken && taker != id && p.peers[taker] == nil {
			old.drop()
			delete(p.peers, id)
			dead = append(dead, over{id: id, before: -1})
		}
	}
	for _, c := range cores {
		old := p.peers[c.ID]
		switch {
		case old == nil:
			p.add(c)
		case old.Core == c:
		case old.Addr == c.Addr:
			// Connections that came up since then are to the new process, and so are the calls on them.
			dead = append(dead, over{c.ID, c.Since})
			old.Since = c.Since
			old.restarted(p.Origin.Add(c.Since))
		default:
			dead = append(dead, over{id: c.ID, before: -1})
			old.drop()
			p.add(c)
		}
	}
	p.mu.Unlock()
	for _, d := range dead {
		p.events.Lost(d.id, nil, core.Loss{Cut: true, Before: d.before, Outcome: lost})
	}
}

// lost is the outcome of what was open at a core, or at a connection, that is no more.
var lost = core.Outcome{Result: brookmux.ResultReset, Report: settings.NoReport(), Cause: core.TemporaryFailure}

// unreached is the outcome of a set-up that found no connection: it never ran.
var unreached = core.Outcome{Result: brookmux.ResultConnectFailed, Report: settings.NoReport()}

// add starts a peer. The lock is held.
func (p *Pool) add(c Core) {
	ctx, cancel := context.WithCancel(p.ctx)
	x := &peer{Core: c, pool: p, cancel: cancel, wake: make(chan struct{}, p.Lanes), links: map[*link]struct{}{}}
	p.peers[c.ID] = x
	for range p.Lanes {
		p.lanes.Go(func() { x.run(ctx) })
	}
}

// SetWithin sets the time in which a connection must come up, from the next one on.
func (p *Pool) SetWithin(d time.Duration) {
	if d <= 0 {
		d = defaultWithin
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Within = d
}

// within is the time in which a connection must come up.
func (p *Pool) within() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Within
}

// Wait returns once all connections are over, after the context has ended.
func (p *Pool) Wait() {
	p.lanes.Wait()
	p.watch.Wait()
}

// SetUp implements core.Trunks.
func (p *Pool) SetUp(to brookmux.SwitchID, a core.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[to]; x != nil {
		x.setUp(a)
		return
	}
	// Not from here: the owner calls this.
	go p.events.Lost(to, []string{a.Key}, core.Loss{Outcome: unreached})
}

// Release implements core.Trunks.
func (p *Pool) Release(to brookmux.SwitchID, key string, cause core.Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[to]; x != nil {
		x.release(key, cause)
	}
}

// ReleaseAnywhere implements core.Trunks.
func (p *Pool) ReleaseAnywhere(key string, cause core.Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.peers {
		x.release(key, cause)
	}
}
