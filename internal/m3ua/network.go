package m3ua

import (
	"encoding/binary"
	"fmt"

	"brookmux"
	"brookmux/internal/core"
)

// Signalling network management (RFC 4666, 3.4): the server tells its peers which exchanges can't be reached and
// which are congested, and answers their audits; the client obeys what it is told of the exchange it reaches.

// mostAffected bounds the point codes that one message may name.
const mostAffected = 256

// affected is a parameter that names one point code.
func affected(pc uint32) Param { return word(paramAffected, pc&0xffffff) }

// readAffected reads the affected point codes of a message. One with a mask stands for as many as it covers: it
// is returned with its mask.
func readAffected(m Message) ([]pointRange, error) {
	b, ok := m.Get(paramAffected)
	if !ok {
		return nil, &codeError{errMissing, "affected point code"}
	}
	if len(b) == 0 || len(b)%4 != 0 || len(b) > 4*mostAffected {
		return nil, &codeError{errField, "affected point code"}
	}
	var out []pointRange
	for ; len(b) > 0; b = b[4:] {
		v := binary.BigEndian.Uint32(b)
		out = append(out, pointRange{code: v & 0xffffff, mask: uint8(v >> 24)})
	}
	return out, nil
}

// pointRange is point codes that differ in their last mask bits only (RFC 4666, 3.4.1).
type pointRange struct {
	code uint32
	mask uint8
}

// has tells whether a point code is one of them.
func (r pointRange) has(pc uint32) bool { return r.mask >= 24 || r.code>>r.mask == pc>>r.mask }

// level reads the congestion level of a SCON; one without is congested at the level that there is where levels
// do not apply.
func level(m Message) (int, error) {
	b, ok := m.Get(paramLevel)
	if !ok {
		return 1, nil
	}
	if len(b) != 4 {
		return 0, &codeError{errField, "congestion indications"}
	}
	return int(min(b[3], 3)), nil
}

// conditions says how an exchange is, in the messages for it.
func conditions(context, pc uint32, c core.Condition) []Message {
	p := []Param{word(paramContext, context), affected(pc)}
	if !c.Available {
		return []Message{{classSSNM, typeDUNA, p}}
	}
	return []Message{{classSSNM, typeDAVA, p},
		{classSSNM, typeSCON, []Param{p[0], p[1], word(paramLevel, uint32(c.Level))}}}
}

// SetCondition takes how an exchange is, and tells the active peers what is new of it. It does not block.
func (s *Server) SetCondition(exchange int, c core.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc, number := range s.exchanges {
		was := s.conditions[pc]
		if number != exchange || was == c {
			continue
		}
		s.conditions[pc] = c
		for _, m := range conditions(s.RoutingContext, pc, c) {
			if !s.TellNetwork || m.Type == typeDAVA && was.Available || m.Type == typeSCON && was.Level == c.Level {
				continue
			}
			for _, p := range s.peers {
				p.tell(m)
			}
		}
	}
}

// tell sends a message on the peer's active association, if there is one.
func (p *peer) tell(m Message) {
	p.mu.Lock()
	x := p.session
	p.mu.Unlock()
	if x != nil {
		x.say(m)
	}
}

// brief tells a peer that has become active how the exchanges are that are not well.
func (p *peer) brief(x *session) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.TellNetwork {
		return
	}
	for pc := range s.exchanges {
		c := s.conditions[pc] // one that was never listed can't be reached
		for _, m := range conditions(s.RoutingContext, pc, c) {
			if m.Type == typeDUNA || m.Type == typeSCON && c.Level > 0 {
				x.say(m)
			}
		}
	}
}

// network takes a message on the state of the network. Its direction is that of the association's ends (RFC
// 4666, 3.4): audits go to the server, all others to the client.
func (s *session) network(m Message, unexpected error) error {
	if m.Type < typeDUNA || m.Type > typeDRST {
		return &codeError{errType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
	}
	if State(s.state.Load()) != Active || (s.accept != nil) != (m.Type == typeDAUD) {
		return unexpected
	}
	list, err := readAffected(m)
	if err != nil {
		return err
	}
	return s.managed(m, list)
}

// audit answers a peer's audit.
func (p *peer) audit(x *session, list []pointRange) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range list {
		found := false
		for pc := range s.exchanges {
			if !r.has(pc) {
				continue
			}
			found = true
			c := s.conditions[pc]
			for _, m := range conditions(s.RoutingContext, pc, c) {
				if m.Type != typeSCON || c.Level > 0 {
					x.say(m)
				}
			}
		}
		if !found { // nothing leads there
			x.say(conditions(s.RoutingContext, r.code, core.Condition{})[0])
		}
	}
}

// managed obeys what the far end says of its exchange: nothing new is sent to one that can't be reached, less to
// one that is congested. Calls that stand go on.
func (l *link) managed(m Message, list []pointRange) error {
	for _, r := range list {
		if !r.has(l.PointCode) {
			continue
		}
		switch m.Type {
		case typeDUNA, typeDUPU:
			l.reach(false)
		case typeDAVA, typeDRST:
			l.reach(true)
		case typeSCON:
			n, err := level(m)
			if err != nil {
				return err
			}
			l.client.events.Congested(brookmux.SwitchID(l.ID), n)
		}
	}
	return nil
}

// reach takes whether the exchange can be reached over the association.
func (l *link) reach(ok bool) {
	x := l.client
	x.mu.Lock()
	changed := l.unreachable == ok
	l.unreachable = !ok
	x.mu.Unlock()
	if changed {
		x.log.Info("m3ua exchange", "exchange", l.Number, "reachable", ok)
		x.list()
	}
}
