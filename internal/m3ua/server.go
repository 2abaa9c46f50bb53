package m3ua

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/stream"
)

// Engine receives the requests of the server's peers. *core.Engine implements it.
type Engine interface {
	CallerConnected(group string)
	Offer(r core.Request)
	CallerLost(who core.Caller, keys []string)
	Hangup(who core.Caller, key string, cause core.Cause, then func(known bool))
}

// acceptRetryDelay is the wait after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// Causes of calls that the server rejects itself (Q.850).
const (
	causeNoRoute       core.Cause = 3
	causeInvalidNumber core.Cause = 28
	causeProtocol      core.Cause = 111
)

// Server accepts associations from the configured peers and passes their calls to the engine.
type Server struct {
	Config
	engine          Engine
	log             *slog.Logger
	classes         map[uint8]string
	exchanges       map[uint32]int // numbers by point code
	maxAssociations int

	SendLevel      bool // the REL of a rejected call holds the automatic congestion level
	SendConditions bool // peers are notified of exchanges that are congested or unreachable

	associations sync.WaitGroup
	mu           sync.Mutex
	peers        map[uint32]*peer // by ASP identifier
	numOpen      int
	conditions   map[uint32]core.Condition // last set, by point code
	unclaimed    unclaimedReleases
}

// peer is the state of one configured peer: its association and a circuit group for each point code that it calls.
type peer struct {
	Peer
	server      *Server
	mu          sync.Mutex
	groups      map[uint32]*circuitGroup
	association *association // the active association, nil if there is none
}

// NewServer returns a Server that keeps at most maxAssociations associations at a time, and at least one. Set SendLevel
// and SendConditions before Serve.
func NewServer(c Config, engine Engine, maxAssociations int, log *slog.Logger) *Server {
	s := &Server{Config: c, engine: engine, log: log, maxAssociations: max(1, maxAssociations),
		classes: map[uint8]string{}, exchanges: map[uint32]int{}, peers: map[uint32]*peer{},
		conditions: map[uint32]core.Condition{}}
	for _, class := range c.Classes {
		s.classes[class.Category] = class.Name
	}
	for _, e := range c.Exchanges {
		s.exchanges[e.PointCode] = e.Number
	}
	for _, p := range c.Peers {
		s.peers[p.ASP] = &peer{Peer: p, server: s, groups: map[uint32]*circuitGroup{}}
	}
	return s
}

// Wait waits until all associations have ended. Call it after the context of Serve has ended and Serve has returned.
func (s *Server) Wait() { s.associations.Wait() }

// Serve accepts associations until the context ends, when it returns nil, or the listener is closed. Other accept
// errors are logged and accepting continues.
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
		if err != nil { // out of descriptors, or the connection ended before accept: both are temporary
			s.log.Warn("m3ua: accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.mu.Lock()
		full := s.numOpen >= s.maxAssociations
		if !full {
			s.numOpen++
		}
		s.mu.Unlock()
		if full {
			s.log.Warn("m3ua: too many associations")
			conn.Close()
			continue
		}
		s.associations.Go(func() { s.serveAssociation(ctx, conn) })
	}
}

// serveAssociation serves an association until it ends.
func (s *Server) serveAssociation(ctx context.Context, conn net.Conn) {
	a := newAssociation(conn, s.RoutingContext, s.log)
	var p *peer
	a.acceptASP = func(asp uint32, hasID bool) *messageError {
		if s.peers[asp] == nil || !hasID {
			return &messageError{codeNoAS, fmt.Sprintf("ASP identifier %d", asp)}
		}
		if p != nil && p != s.peers[asp] {
			return &messageError{codeUnexpectedMessage, "ASP identifier changed"}
		}
		p = s.peers[asp]
		return nil
	}
	a.hasOpen = func() bool { return p != nil && p.hasOpenSetUps() }
	a.onState = func(to State) {
		if p.associationChanged(a, to == Active); to == Active {
			s.engine.CallerConnected(p.callerGroup())
			p.sendConditions(a)
		}
		s.log.Info("m3ua association", "asp", p.ASP, "state", to.String())
	}
	a.onISUP = func(d protocolData, m isupMessage) error {
		if m.kind == kindIAM && stream.Ended(conn) {
			return nil // the peer has left, and the end of the association withdraws its set-ups
		}
		return p.handleISUP(d, m)
	}
	a.onSSNM = func(_ Message, ranges []pointCodeRange) error {
		p.handleAudit(a, ranges)
		return nil
	}
	err := a.serve(ctx, milliseconds(s.Timers.Beat), milliseconds(s.Timers.Ack))
	if ctx.Err() == nil {
		s.log.Info("m3ua association ended", "error", err)
	}
	s.mu.Lock()
	s.numOpen--
	s.mu.Unlock()
}

// associationChanged records that an association has become active or is no longer. A new active association replaces
// an older one: the peer may reconnect before the end of the old association is detected.
func (p *peer) associationChanged(a *association, active bool) {
	p.mu.Lock()
	old := p.association
	switch {
	case active:
		p.association = a
	case old == a:
		p.association = nil
	default:
		p.mu.Unlock()
		return
	}
	groups := make(map[uint32]*circuitGroup, len(p.groups))
	for dpc, g := range p.groups {
		groups[dpc] = g
	}
	p.mu.Unlock()
	if old != nil && old != a {
		old.Close()
	}
	for dpc, g := range groups {
		if active {
			if old != nil {
				p.withdrawUnanswered(g)
			}
			g.associationUp(a.isupSender(dpc, p.PointCode))
			g.announceStanding()
		} else {
			p.withdrawUnanswered(g)
		}
	}
}

// withdrawUnanswered withdraws the unanswered set-ups of a group whose association has ended. Standing calls continue.
func (p *peer) withdrawUnanswered(g *circuitGroup) {
	for _, c := range g.associationDown() {
		g.free(c.cic)
		p.server.engine.CallerLost(c.owner.(*caller), []string{c.key})
	}
}

// callerGroup returns the name of the peer's caller group.
func (p *peer) callerGroup() string { return fmt.Sprintf("point code %d", p.PointCode) }

// group returns the circuit group to a point code, and creates it on first use.
func (p *peer) group(dpc uint32) *circuitGroup {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[dpc]
	if g == nil {
		g = newCircuitGroup(milliseconds(p.server.Timers.T1))
		p.groups[dpc] = g
		if p.association != nil {
			g.send = p.association.isupSender(dpc, p.PointCode)
		}
	}
	return g
}

// handleISUP handles an ISUP message from the peer.
func (p *peer) handleISUP(d protocolData, m isupMessage) error {
	_, known := p.server.exchanges[d.dpc]
	if d.opc != p.PointCode {
		return &messageError{codeProtocolError, fmt.Sprintf("point code %d is not the peer's", d.opc)}
	}
	if !known {
		if m.kind == kindIAM {
			p.rejectUnrouted(d.dpc, m.cic)
		}
		return nil // other messages belong to a call that was rejected for its destination
	}
	g := p.group(d.dpc)
	switch c, callPhase := g.lookup(m.cic); m.kind {
	case kindIAM:
		p.offer(g, d.dpc, m)
	case kindREL:
		p.handleREL(g, c, callPhase, m)
	case kindANM:
		p.adopt(g, m)
	case kindRLC:
		if callPhase == releasing {
			g.free(m.cic)
		}
	}
	return nil
}

// handleREL handles and confirms a REL on a circuit, c, which is nil if it is not in use here.
func (p *peer) handleREL(g *circuitGroup, c *circuit, callPhase phase, m isupMessage) {
	engine := p.server.engine
	switch {
	case c == nil && m.keys.server != "": // a call of an earlier process
		engine.Hangup(&caller{engine: engine, group: g}, m.keys.server, m.cause, func(bool) {})
	case c == nil:
	case c.keys.differ(m.keys):
		// The peer has restarted and releases a set-up that was dropped, as its circuit is in use.
		p.server.log.Debug("m3ua: REL of another call", "asp", p.ASP, "cic", m.cic)
	case callPhase == releasing: // both ends sent a REL
		g.free(m.cic)
	default:
		// The peer may seize the circuit again once it has the RLC. An answer that crosses this REL finds no circuit.
		g.free(m.cic)
		engine.Hangup(c.owner.(*caller), c.key, m.cause, func(bool) {})
	}
	g.sendMessage(isupMessage{cic: m.cic, kind: kindRLC})
}

// adopt handles an ANM from the peer, which announces a call that stands and was set up by an earlier process.
func (p *peer) adopt(g *circuitGroup, m isupMessage) {
	s := p.server
	if m.keys.server == "" || m.cic > maxCIC {
		return
	}
	call := &caller{engine: s.engine, group: g, sendLevel: s.SendLevel}
	adopted, _ := g.adopt(m.cic, m.keys.server, m.keys, call)
	if adopted == nil {
		return
	}
	call.circuit = adopted
	s.log.Info("m3ua call of an earlier process", "asp", p.ASP, "cic", m.cic, "call", adopted.key)
	if cause, released := s.unclaimed.take(adopted.key, time.Now()); released {
		g.release(adopted, cause, 0)
	}
}

// ReleaseOrphan releases a call of an earlier process to the peer that has announced it, and reports whether one has.
// Otherwise the call is released as soon as a peer does.
func (s *Server) ReleaseOrphan(key string, cause core.Cause) bool {
	s.unclaimed.add(key, cause, time.Now()) // before the search: the call may be announced meanwhile
	for _, p := range s.peers {
		for _, g := range p.allGroups() {
			if c := g.findCall(key); c != nil {
				s.unclaimed.take(key, time.Now())
				g.release(c, cause, 0)
				return true
			}
		}
	}
	return false
}

// hasOpenSetUps reports whether a set-up of the peer is unanswered.
func (p *peer) hasOpenSetUps() bool {
	return slices.ContainsFunc(p.allGroups(), (*circuitGroup).hasSeized)
}

// allGroups returns the circuit groups of the peer.
func (p *peer) allGroups() []*circuitGroup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.groups))
}

// rejectUnrouted rejects a call to a point code that no exchange has. It stores nothing, since a peer could otherwise
// use up memory with arbitrary point codes.
func (p *peer) rejectUnrouted(dpc uint32, cic uint16) {
	p.mu.Lock()
	a := p.association
	p.mu.Unlock()
	if a != nil {
		a.isupSender(dpc, p.PointCode)(isupMessage{cic: cic, kind: kindREL, cause: causeNoRoute})
	}
}

// offer passes the call of an IAM to the engine, or rejects it.
func (p *peer) offer(g *circuitGroup, dpc uint32, m isupMessage) {
	s := p.server
	key := newKey()
	call := &caller{engine: s.engine, group: g, sendLevel: s.SendLevel}
	keys := callKeys{client: m.keys.client}
	if keys.client != "" {
		keys.server = key
	}
	call.circuit = g.seize(m.cic, key, keys, call)
	if call.circuit == nil {
		if former := g.freeForgotten(m.cic, keys); former != nil {
			s.log.Info("m3ua: IAM for the circuit of a call that the peer has lost", "asp", p.ASP, "cic", m.cic, "call", former.key)
			s.engine.Hangup(former.owner.(*caller), former.key, core.TemporaryFailure, func(bool) {})
			call.circuit = g.seize(m.cic, key, keys, call)
		}
	}
	if call.circuit == nil {
		s.log.Debug("m3ua: IAM for a circuit in use", "asp", p.ASP, "cic", m.cic)
		return // a REL would be the final answer of the call that already has the circuit
	}
	class, ok := s.classes[m.category]
	destination := s.exchanges[dpc]
	switch {
	case !ok:
		call.Refuse(key, core.Verdict{Cause: core.NotImplemented})
		return
	case m.number == "":
		call.Refuse(key, core.Verdict{Cause: causeInvalidNumber})
		return
	}
	r := core.Request{Group: p.callerGroup(), Key: key, Class: class, Number: m.number, Remaining: m.timeout,
		Destination: destination, Width: 1, Via: -1, Description: m.description, Caller: call}
	if from, ok := s.exchanges[p.PointCode]; ok {
		r.Transit, r.Via = true, from
	}
	g.sendMessage(isupMessage{cic: m.cic, kind: kindACM})
	s.engine.Offer(r)
}

// newKey returns a random key for a call: 16 hex digits.
func newKey() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// caller implements core.Caller for one call of a peer.
type caller struct {
	engine    Engine
	group     *circuitGroup
	circuit   *circuit
	sendLevel bool // the REL of a rejected call holds the congestion level
}

// Answered implements core.Caller. If the description does not fit in a message, the call fails: the circuit is
// released and the core is notified, from another goroutine since Answered is called on the core's goroutine.
func (c *caller) Answered(key string, description []byte) {
	if !descriptionFits(description) {
		c.group.release(c.circuit, core.TemporaryFailure, 0)
		go c.engine.Hangup(c, key, core.TemporaryFailure, func(bool) {})
		return
	}
	if c.group.markAnswered(c.circuit, callKeys{}) {
		c.group.sendMessage(isupMessage{cic: c.circuit.cic, kind: kindANM, description: description,
			keys: c.circuit.keys})
	}
}

// Refuse implements core.Caller. It releases the circuit with the verdict's cause, retry advice and congestion level.
func (c *caller) Refuse(_ string, v core.Verdict) {
	rel := isupMessage{cause: v.Cause, retryAfter: v.Wait}
	if c.sendLevel {
		rel.level = v.Level
	}
	c.group.releaseWith(c.circuit, rel)
}

// Release implements core.Caller. It releases the circuit.
func (c *caller) Release(_ string, cause core.Cause) { c.group.release(c.circuit, cause, 0) }
