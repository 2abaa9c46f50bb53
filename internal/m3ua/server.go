package m3ua

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"brookmux/internal/core"
)

// Engine is what the server hands requests to. *core.Engine is one.
type Engine interface {
	Linked(group string)
	Offer(r core.Request)
	CallerLost(who core.Caller, keys []string)
	Hangup(who core.Caller, key string, cause core.Cause, then func(known bool))
}

const acceptPause = 20 * time.Millisecond

// Causes that the server gives itself (Q.850).
const (
	causeNoRoute       core.Cause = 3
	causeInvalidNumber core.Cause = 28
	causeProtocol      core.Cause = 111
)

// Server takes calls from peers.
type Server struct {
	Config
	engine    Engine
	log       *slog.Logger
	classes   map[uint8]string
	exchanges map[uint32]int // by point code
	most      int

	TellLevel   bool // refusals carry the automatic congestion level
	TellNetwork bool // peers are told of exchanges that are congested or can't be reached

	sessions   sync.WaitGroup
	mu         sync.Mutex
	peers      map[uint32]*peer // by ASP identifier
	open       int
	conditions map[uint32]core.Condition // by point code, as last told
}

// peer is a configured peer with its circuits, a group for each point code that it calls.
type peer struct {
	Peer
	server  *Server
	mu      sync.Mutex
	groups  map[uint32]*group
	session *session // the active association, nil if there is none
}

// NewServer returns a Server that holds at most so many associations.
func NewServer(c Config, engine Engine, most int, log *slog.Logger) *Server {
	s := &Server{Config: c, engine: engine, log: log, most: max(1, most),
		classes: map[uint8]string{}, exchanges: map[uint32]int{}, peers: map[uint32]*peer{}, conditions: map[uint32]core.Condition{}}
	for _, k := range c.Classes {
		s.classes[k.Category] = k.Name
	}
	for _, e := range c.Exchanges {
		s.exchanges[e.PointCode] = e.Number
	}
	for _, p := range c.Peers {
		s.peers[p.ASP] = &peer{Peer: p, server: s, groups: map[uint32]*group{}}
	}
	return s
}

// Wait returns once all associations are over, after Serve has returned as its context ended.
func (s *Server) Wait() { s.sessions.Wait() }

// Serve accepts associations until the context ends or the listener fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("m3ua: accept: %w", err)
		}
		if err != nil { // no descriptor, or a connection that ended before it was taken: others will come
			s.log.Warn("m3ua: accept", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		s.mu.Lock()
		full := s.open >= s.most
		if !full {
			s.open++
		}
		s.mu.Unlock()
		if full {
			s.log.Warn("m3ua: too many associations")
			conn.Close()
			continue
		}
		s.sessions.Go(func() { s.take(ctx, conn) })
	}
}

// take serves an association to its end.
func (s *Server) take(ctx context.Context, conn net.Conn) {
	x := newSession(conn, s.RoutingContext, s.log)
	var p *peer
	x.accept = func(asp uint32, named bool) *codeError {
		if s.peers[asp] == nil || !named {
			return &codeError{errNoAS, fmt.Sprintf("ASP identifier %d", asp)}
		}
		if p != nil && p != s.peers[asp] {
			return &codeError{errUnexpected, "ASP identifier changed"}
		}
		p = s.peers[asp]
		return nil
	}
	x.changed = func(to State) {
		if p.changed(x, to == Active); to == Active {
			s.engine.Linked(p.name())
			p.brief(x)
		}
		s.log.Info("m3ua association", "asp", p.ASP, "state", to.String())
	}
	x.data = func(t transfer, m isup) error { return p.data(t, m) }
	x.managed = func(_ Message, list []pointRange) error {
		p.audit(x, list)
		return nil
	}
	err := x.run(ctx, ms(s.Timers.Beat), ms(s.Timers.Ack))
	if ctx.Err() == nil {
		s.log.Info("m3ua association over", "error", err)
	}
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// changed takes an association's start or end. A new one takes an older one's place: the peer has come back
// before the end of the old one was seen.
func (p *peer) changed(x *session, active bool) {
	p.mu.Lock()
	old := p.session
	switch {
	case active:
		p.session = x
	case old == x:
		p.session = nil
	default:
		p.mu.Unlock()
		return
	}
	groups := make(map[uint32]*group, len(p.groups))
	for dpc, g := range p.groups {
		groups[dpc] = g
	}
	p.mu.Unlock()
	if old != nil && old != x {
		old.Close()
	}
	for dpc, g := range groups {
		if active {
			if old != nil {
				p.lost(g)
			}
			g.up(x.isup(dpc, p.PointCode))
		} else {
			p.lost(g)
		}
	}
}

// lost withdraws the set-ups that were open on an association that is over. Calls that stand go on.
func (p *peer) lost(g *group) {
	for _, c := range g.down() {
		g.clear(c.cic)
		p.server.engine.CallerLost(c.owner.(*caller), []string{c.key})
	}
}

// name is the peer's as a caller group.
func (p *peer) name() string { return fmt.Sprintf("point code %d", p.PointCode) }

// group returns the circuits to a point code.
func (p *peer) group(dpc uint32) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[dpc]
	if g == nil {
		g = newGroup(ms(p.server.Timers.T1))
		p.groups[dpc] = g
		if p.session != nil {
			g.send = p.session.isup(dpc, p.PointCode)
		}
	}
	return g
}

// data takes an ISUP message from the peer.
func (p *peer) data(t transfer, m isup) error {
	_, known := p.server.exchanges[t.dpc]
	if t.opc != p.PointCode {
		return &codeError{errProtocol, fmt.Sprintf("point code %d is not the peer's", t.opc)}
	}
	if !known {
		if m.kind == kindIAM {
			p.unrouted(t.dpc, m.cic)
		}
		return nil // else of a call that was refused for its destination
	}
	g := p.group(t.dpc)
	switch c, at := g.at(m.cic); m.kind {
	case kindIAM:
		p.offer(g, t.dpc, m)
	case kindREL:
		if c != nil && at != releasing {
			// The circuit is free from RLC on; an ANM that crosses this REL finds it gone.
			g.clear(m.cic)
			p.server.engine.Hangup(c.owner.(*caller), c.key, m.cause, func(bool) {})
		} else if c != nil {
			g.clear(m.cic) // both ends released it
		}
		g.say(isup{cic: m.cic, kind: kindRLC})
	case kindRLC:
		if at == releasing {
			g.clear(m.cic)
		}
	}
	return nil
}

// unrouted refuses a call to a destination that there is none of. Nothing is kept of it: a peer can make up as
// many point codes as it likes.
func (p *peer) unrouted(dpc uint32, cic uint16) {
	p.mu.Lock()
	x := p.session
	p.mu.Unlock()
	if x != nil {
		x.isup(dpc, p.PointCode)(isup{cic: cic, kind: kindREL, cause: causeNoRoute})
	}
}

// offer takes a call.
func (p *peer) offer(g *group, dpc uint32, m isup) {
	s := p.server
	key := newKey()
	w := &caller{engine: s.engine, group: g, level: s.TellLevel}
	w.circuit = g.seize(m.cic, key, w)
	if w.circuit == nil {
		s.log.Debug("m3ua: IAM for a circuit in use", "asp", p.ASP, "cic", m.cic)
		return // the circuit's first call is still owed its one answer
	}
	class, ok := s.classes[m.category]
	destination := s.exchanges[dpc]
	switch {
	case !ok:
		w.Refuse(key, core.Verdict{Cause: core.NotImplemented})
		return
	case m.number == "":
		w.Refuse(key, core.Verdict{Cause: causeInvalidNumber})
		return
	}
	r := core.Request{Group: p.name(), Key: key, Class: class, Number: m.number, Left: m.left, Destination: destination, Width: 1,
		Via: -1, Description: m.description, Caller: w}
	if from, ok := s.exchanges[p.PointCode]; ok {
		r.Transit, r.Via = true, from
	}
	g.say(isup{cic: m.cic, kind: kindACM})
	s.engine.Offer(r)
}

// newKey makes a call's name: 16 hex digits.
func newKey() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// caller is the core's Caller for one call.
type caller struct {
	engine  Engine
	group   *group
	circuit *circuit
	level   bool // refusals say the congestion level
}

// Stands implements core.Caller. An answer that no message can hold fails: the peer is told so, and the call
// is released, from another goroutine since the owner of the core calls this.
func (c *caller) Stands(key string, description []byte) {
	if !fits(description) {
		c.group.release(c.circuit, core.TemporaryFailure, 0)
		go c.engine.Hangup(c, key, core.TemporaryFailure, func(bool) {})
		return
	}
	if c.group.answer(c.circuit) {
		c.group.say(isup{cic: c.circuit.cic, kind: kindANM, description: description})
	}
}

// Refuse implements core.Caller.
func (c *caller) Refuse(_ string, v core.Verdict) {
	rel := isup{cause: v.Cause, wait: v.Wait}
	if c.level {
		rel.level = v.Level
	}
	c.group.refuse(c.circuit, rel)
}

// Release implements core.Caller.
func (c *caller) Release(_ string, cause core.Cause) { c.group.release(c.circuit, cause, 0) }
